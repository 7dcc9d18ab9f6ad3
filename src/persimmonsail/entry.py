"""The entry role: callers' requests, and partitions of the ledger."""

import contextlib
import hashlib
import random
import signal
import typing as t

import anyio
import grpclib.server

from persimmonsail import consents
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import fleet as fleet_module
from persimmonsail import follower as follower_module
from persimmonsail import forwarding
from persimmonsail import gateway
from persimmonsail import holder as holder_module
from persimmonsail import holders
from persimmonsail import httpserver
from persimmonsail import ledger
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail import partitions as partitions_module
from persimmonsail import peers as peers_module
from persimmonsail import problems
from persimmonsail import quick
from persimmonsail import revisions
from persimmonsail import settings as settings_module
from persimmonsail import status
from persimmonsail import store as store_module

_RETRY_AFTER = 2.0
_KEY_LENGTH = 24
_FRESHNESS_PERIOD = 0.1


class Entry(control_grpc.EntryBase):
    """One entry instance; use inside ``async with``."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self.view = revisions.View(settings.entry.freshness)
        self.fleet = fleet_module.Fleet(settings.links.silence)
        self.links = links_module.Links()
        self.leaving = False
        self.store = _open_store(settings.store)
        self.quick = quick.QuickPath(
            self.fleet,
            self.links,
            self.view,
            settings.process.zone,
            random.Random(settings.process.name),
        )
        self.partitions: partitions_module.Partitions
        self.tasks = forwarding.TaskForwarder(self)

    async def __aenter__(self) -> 'Entry':
        self._owned = contextlib.AsyncExitStack()
        self._owned.push_async_callback(self.store.close)
        self._owned.enter_context(self.links)
        return self

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        return await self._owned.__aexit__(*exc_info)

    def open_partitions(self, control: str) -> None:
        """Prepare to hold partitions under this control address."""
        self.partitions = partitions_module.Partitions(
            self.store, self.settings, control, self._make_holder
        )
        self.peers = peers_module.Peers(
            self.settings,
            self.view,
            self.links,
            lambda: self.partitions.entries,
        )
        self.view.witness = self.peers.find_agreement

    async def follow_catalogue(self) -> None:
        """Keep the catalogue's view up to date, until cancelled."""
        follower = follower_module.Follower(
            self.store, self.view, self.settings.entry.catalogue_poll
        )
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            group.start_soon(self.peers.run)
            group.start_soon(
                revisions.watch_freshness, self.view, _FRESHNESS_PERIOD
            )

    def check_serving(self) -> None:
        """Refuse work that this entry may not admit now.

        Raises
        ------
        persimmonsail.problems.Problem
            If the entry is stopping, has no catalogue, or can't show
            that its catalogue is the newest.
        """
        reason = self.find_unready()
        if reason:
            raise problems.Problem(
                503, 'Not ready', problems.NOT_RUN, reason, _RETRY_AFTER
            )

    def find_unready(self) -> str:
        """Return why callers should go elsewhere; empty if ready."""
        if self.leaving:
            return 'the entry is stopping'
        if not self.view.revision:
            return 'no catalogue is known'
        return self.view.find_staleness()

    def name_task(self, workload: str, key: str) -> str:
        """Return the task that an idempotency key stands for."""
        limits = self.view.catalogue.workloads[workload]
        partition = partitions_module.find_partition(
            limits.owner, self.settings.entry.partitions
        )
        text = f'{limits.owner}/{workload}/{key}'
        digest = hashlib.sha256(text.encode()).hexdigest()[:_KEY_LENGTH]
        return f'{partition:03d}-{digest}'

    def _make_holder(
        self,
        partition: int,
        lease: consents.StoreLease,
        partitions: partitions_module.Partitions,
    ) -> holder_module.Holder:
        return holder_module.Holder(
            ledger.Ledger(self.store, partition),
            self.fleet,
            self.links,
            self.view,
            self.settings,
            lease,
            partitions.promises.id,
            partitions.list_members,
        )

    async def Link(self, stream) -> None:
        """Take a sidecar's reports in, and answer each."""
        async for report in stream:
            known = self.fleet.find(report.instance)
            self.fleet.note_report(report)
            if known is None or known.incarnation != report.incarnation:
                logs.write_event(
                    'announced',
                    instance=report.instance,
                    incarnation=report.incarnation,
                    service=report.service,
                )
            elif report.leaving and not known.leaving:
                logs.write_event('leaving', instance=report.instance)
            entries = [e.control for e in self.partitions.entries.values()]
            await stream.send_message(
                control_pb2.EntryNotice(
                    revision=self.view.revision,
                    entries=entries,
                    sequence=report.sequence,
                    fresh=self.view.is_fresh,
                )
            )

    async def Submit(self, stream) -> None:
        """Accept a task of a partition held here."""
        request = await stream.recv_message()
        await stream.send_message(await self.tasks.submit_here(request))

    async def Query(self, stream) -> None:
        """Return the state of a task of a partition held here."""
        request = await stream.recv_message()
        await stream.send_message(await self.tasks.query_here(request))

    async def Cancel(self, stream) -> None:
        """End a task of a partition held here."""
        request = await stream.recv_message()
        await stream.send_message(await self.tasks.cancel_here(request))

    async def Status(self, stream) -> None:
        """Tell an operator how this entry stands."""
        await stream.recv_message()
        await stream.send_message(status.describe_entry(self))

    async def Peer(self, stream) -> None:
        """Tell another entry the catalogue in force here."""
        query = await stream.recv_message()
        reply = control_pb2.PeerReply(
            entry=self.settings.process.name,
            revision=self.view.revision,
            store_age_seconds=self.view.age,
            established=self.view.established,
        )
        if query.revision < self.view.revision:
            reply.catalogue = self.view.describe()
        await stream.send_message(reply)


def _open_store(settings: settings_module.Store) -> store_module.Store:
    return store_module.open_kind(
        settings.kind, settings.address, settings.timeout
    )


async def run(settings: settings_module.Settings) -> None:
    """Run the role until SIGTERM, then stop gracefully."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with Entry(settings) as entry:
            sock = httpserver.bind(settings.process.control)
            control = httpserver.name_of(sock)
            entry.open_partitions(
                settings.process.control_advertised or control
            )
            server = grpclib.server.Server(
                [entry, holders.Holders(entry.partitions)]
            )
            await server.start(sock=sock)
            app = gateway.Gateway(entry).app
            drain = settings.entry.drain
            async with anyio.create_task_group() as group:
                async with httpserver.HttpServer(
                    app, settings.process.http, drain
                ) as http:
                    logs.write_event(
                        'listening', control=control, http=http.address
                    )
                    group.start_soon(entry.follow_catalogue)
                    group.start_soon(entry.partitions.run)
                    await anext(aiter(signals))
                    logs.write_event('stopping')
                    entry.leaving = True
                    await anyio.sleep(settings.links.heartbeat)
                await entry.partitions.leave()
                group.cancel_scope.cancel()
            server.close()
            await server.wait_closed()
    logs.write_event('stopped')
