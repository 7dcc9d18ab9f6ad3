"""Exchange of catalogue revisions between entries; one task per peer.

A peer provides either a higher revision or evidence that there is none,
based on how recently it read the store. In an outage that affects all
entries, they confirm the revision to each other: see
``Peers.find_agreement``.
"""

import dataclasses
import math
import time
import typing as t

import anyio
import anyio.abc

from persimmonsail.catalogues import revisions
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail.partitioning import partitions as partitions_module
from persimmonsail import settings as settings_module

_NORMAL_PERIOD_HEARTBEATS = 10
_STALE_AGE_HEARTBEATS = 3
_LIST_PERIOD_SECONDS = 0.5


@dataclasses.dataclass
class _Answer:
    """A peer's last reply; ``asked_at`` is monotonic seconds."""

    asked_at: float
    revision: int
    established: bool


class Peers:
    """Queries every other live entry for its revision.

    Parameters
    ----------
    settings : persimmonsail.settings.Settings
        This process's settings.
    view : persimmonsail.catalogues.revisions.View
        The view to keep up to date.
    links : persimmonsail.links.Links
        The links for outgoing calls.
    list_entries : callable
        Returns the live entries by name, as last read from the store.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        view: revisions.View,
        links: links_module.Links,
        list_entries: t.Callable[[], dict[str, partitions_module.LiveEntry]],
    ) -> None:
        self._own = settings.process.name
        self._limits = settings.links
        self._view = view
        self._links = links
        self._list_entries = list_entries
        self._answers: dict[str, _Answer] = {}
        self._tasks: dict[str, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Run a task for each listed peer until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._update_tasks(group)
                await anyio.sleep(_LIST_PERIOD_SECONDS)

    def find_confirmed_since(self) -> float:
        """Return since when all entries have confirmed the revision.

        While the whole store is down the catalogue cannot be replaced,
        and stopping every entry would take the system down as well. So
        an entry continues while *every* entry last listed still answers
        and none has a higher revision. Without the reply of even one
        peer it stops, as that peer might reach the store and have a new
        revision.

        Returns
        -------
        float
            Monotonic seconds; minus infinity if they have not.
        """
        entries = self._list_entries()
        if self._own not in entries or not self._view.established:
            return -math.inf
        oldest = time.monotonic()
        for name in entries:
            if name == self._own:
                continue
            answer = self._answers.get(name)
            if answer is None or answer.revision > self._view.revision:
                return -math.inf
            # A restarted peer has lost its state; until it has read the
            # store it cannot confirm anything.
            if not answer.established:
                return -math.inf
            oldest = min(oldest, answer.asked_at)
        return oldest

    def _update_tasks(self, group: anyio.abc.TaskGroup) -> None:
        listed = {
            entry.control
            for name, entry in self._list_entries().items()
            if name != self._own
        }
        for address in self._tasks.keys() - listed:
            self._tasks.pop(address).cancel()
        for address in listed - self._tasks.keys():
            self._tasks[address] = anyio.CancelScope()
            group.start_soon(
                self._run_peer_loop, address, self._tasks[address]
            )

    async def _run_peer_loop(
        self, address: str, scope: anyio.CancelScope
    ) -> None:
        asked_at = -math.inf
        with scope:
            while True:
                if self._is_due(asked_at):
                    asked_at = time.monotonic()
                    await self._try_query(address)
                await anyio.sleep(self._limits.heartbeat)

    async def _try_query(self, address: str) -> None:
        try:
            await self._query(address)
        except exceptions.LinkLost as error:
            logs.write_event('peer-unreachable', entry=address, error=error)
        except exceptions.CatalogueUnreadable as error:
            logs.write_warning('catalogue-unreadable', error=error)

    def _is_due(self, asked_at: float) -> bool:
        # While the store answers, peers are queried rarely: with 20 peers,
        # a query every half second would use up the budget of 4 KB/s.
        # Once it does not, all must answer within 'freshness'.
        heartbeat = self._limits.heartbeat
        if self._view.age > heartbeat * _STALE_AGE_HEARTBEATS:
            return True
        return (
            time.monotonic() - asked_at
            >= heartbeat * _NORMAL_PERIOD_HEARTBEATS
        )

    async def _query(self, address: str) -> None:
        asked_at = time.monotonic()
        reply = await self._links.call(
            address,
            control_grpc.EntryStub,
            'Peer',
            control_pb2.PeerQuery(
                entry=self._own, revision=self._view.revision
            ),
            self._limits.connect,
        )
        if reply.catalogue:
            self._view.offer(revisions.load_head(reply.catalogue), 'peer')
        self._answers[reply.entry] = _Answer(
            asked_at, reply.revision, reply.established
        )
        if reply.revision <= self._view.revision:
            # The peer's evidence is that old, counted from the query; a
            # peer with a lower revision provides the same evidence.
            at = asked_at - reply.store_age_seconds
            self._view.confirmed_at = max(self._view.confirmed_at, at)
