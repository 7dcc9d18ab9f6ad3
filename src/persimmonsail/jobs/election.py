"""Which entry leads: the one that holds a key of the store.

Being elected twice does no harm: only one process can move the head (see
``ledger``), and leases of runs that a former leader may have allowed are
waited out. So any entry may take over from a leader whose process it
knows to have ended, without waiting for its lease.
"""

import contextlib
import random
import typing as t
import uuid

import anyio
import pydantic

from persimmonsail import exceptions
from persimmonsail.jobs import ledger
from persimmonsail.jobs import record
from persimmonsail import logs
from persimmonsail import store as store_module

# A leader whose machine is gone is replaced after this time; the store
# at its slowest (0.3 s an answer) still renews it thrice.
LEASE_SECONDS = 2.0
RENEW_SECONDS = 0.5
_WATCH_SECONDS = 1.0
_RETRY_SECONDS = 0.2
# Entries that see the same key end stand one after the other, each after a
# time of its own within this; the others see the first one's key come and
# don't stand. An election takes two calls of the store, 10 ms; of 15 entries
# one or two stand within that, and the first after 20 ms in the mean (three
# entries: 75 ms).
_SPREAD_SECONDS = 0.3
# A leader of 53 instances takes 0.56 cores at its peak. An entry with less
# than this lets larger ones go first: as the leader it would fall behind
# with its looks, and what serves would miss its targets.
LEADER_CORES = 1.0
# Larger ones stand within the spread and a call of the store.
_SMALL_WAIT_SECONDS = 0.4

# Between two calls of one kind at the least; a store that refuses at once is
# not asked faster.
_PAUSE_SECONDS = 0.2

IsAlive = t.Callable[[str], t.Awaitable[bool]]
Lead = t.Callable[[ledger.Ledger], t.Awaitable[None]]
_Step = t.Callable[[ledger.Ledger], t.Awaitable[None]]


class Candidate:
    """Takes part in elections; runs ``lead`` for each term it wins.

    Parameters
    ----------
    store : persimmonsail.store.TransactionalStore
        Where the leader's key is.
    name : str
        This entry.
    is_alive : callable
        Asks whether a process still listens at an address; false only
        if that is certain.
    lead : callable
        Leads until it is cancelled or deposed.
    cores : float, optional
        What this entry's process may use; unknown if it is left out.
    """

    def __init__(
        self,
        store: store_module.TransactionalStore,
        name: str,
        is_alive: IsAlive,
        lead: Lead,
        cores: float | None = None,
    ) -> None:
        # Whether larger entries go first.
        self.is_small = cores is not None and cores < LEADER_CORES
        self._wait_seconds = _SMALL_WAIT_SECONDS if self.is_small else 0.0
        self._store = store
        self._name = name
        self._is_alive = is_alive
        self._lead = lead
        self._random = random.Random(name)
        self._id = ''
        # Where other entries reach this one, and where the leader is.
        self.address = ''
        self.leader = ''

    async def run(self) -> None:
        """Follow the leader's key, until cancelled."""
        while True:
            try:
                await self._take_part()
            except exceptions.StoreError as error:
                logs.write_event('election-failed', error=error)
                await anyio.sleep(_RETRY_SECONDS)

    async def _take_part(self) -> None:
        # The key may be older than the store's history; a watch from the
        # page's own revision is answered by what changes from now on.
        page = await self._store.scan(record.LEADER)
        item = _find_leader(page)
        if item is None:
            await self._stand(page.revision, 0)
            return
        known = _read_leader(item)
        if known is None:
            await self._stand(page.revision, item.revision)
            return
        self._note_leader(known)
        if known.address == self.address:
            # Left by an earlier life of this very process.
            await self._stand(page.revision, item.revision)
            return
        if not await self._is_alive(known.address):
            logs.write_event('leader-dead', name=known.name)
            await self._stand(page.revision, item.revision)
            return
        with contextlib.suppress(exceptions.HistoryLost):
            await self._store.follow(
                record.LEADER, page.revision, _WATCH_SECONDS
            )

    def _note_leader(self, known: ledger.LeaderItem) -> None:
        if self._id != known.id:
            self._id = known.id
            logs.write_event(
                'leader-known', name=known.name, address=known.address
            )
        self.leader = known.address

    async def _stand(self, seen: int, expected: int) -> None:
        """Try to lead, unless another entry does so first.

        Parameters
        ----------
        seen : int
            The store's revision when the key was read.
        expected : int
            The key's own revision; 0 if there is none.
        """
        if not await self._wait_turn(seen):
            return
        term = await self._take_term(expected)
        if term is None:
            return
        logs.write_event('leading', epoch=term.epoch)
        self.leader = self.address
        try:
            await self._serve_term(ledger.Ledger(self._store, term))
        finally:
            self.leader = ''

    async def _wait_turn(self, seen: int) -> bool:
        """Tell whether the key is as it was after this entry's wait.

        Each election that is lost costs the store a lease and a refused
        transaction, and the winner an answer that waits behind them.
        """
        wait = self._wait_seconds + self._random.random() * _SPREAD_SECONDS
        until = anyio.current_time() + wait
        try:
            found = await self._store.follow(record.LEADER, seen, wait)
        except exceptions.HistoryLost:
            # Nothing tells of a change; the election itself does.
            await anyio.sleep(max(until - anyio.current_time(), 0.0))
            return True
        return not found.changes

    async def _serve_term(self, own: ledger.Ledger) -> None:
        try:
            async with anyio.create_task_group() as group:
                # Apart: one after the other, a leader whose loop or store is
                # slow renewed too late, and lost its term to one that knew
                # less and had more to do.
                group.start_soon(self._keep, self._renew, own)
                group.start_soon(self._keep, self._confirm, own)
                await self._lead(own)
                group.cancel_scope.cancel()
        except* exceptions.Deposed as errors:
            logs.write_warning(
                'deposed', epoch=own.term.epoch, error=_find_cause(errors)
            )
        except* exceptions.StoreError as errors:
            logs.write_warning(
                'term-ended', epoch=own.term.epoch, error=_find_cause(errors)
            )
        finally:
            with anyio.CancelScope(shield=True):
                await self._resign(own.term)

    async def _resign(self, term: ledger.Term) -> None:
        # Others then take over at once instead of after the lease.
        try:
            with anyio.move_on_after(LEASE_SECONDS):
                await self._store.revoke_lease(term.lease)
        except exceptions.StoreError as error:
            logs.write_event('resign-failed', error=error)
        else:
            logs.write_event('resigned', epoch=term.epoch)

    async def _take_term(self, expected: int) -> ledger.Term | None:
        lease = await self._store.grant_lease(LEASE_SECONDS)
        id = uuid.uuid4().hex
        leader = ledger.LeaderItem(
            id=id, name=self._name, address=self.address
        )
        head = ledger.Head(leader=id, writes=0)
        writes = [
            store_module.Write(record.LEADER, leader.model_dump_json(), lease),
            store_module.Write(record.HEAD, head.model_dump_json()),
        ]
        try:
            epoch = await self._store.commit({record.LEADER: expected}, writes)
        except exceptions.TransactionConflict:
            logs.write_event('election-lost')
            return None
        except exceptions.CallRefused:
            raise
        except exceptions.StoreUnavailable as error:
            # It may have taken effect all the same.
            logs.write_event('election-unknown', error=error)
            item = await self._store.get(record.HEAD)
            if item is None or item.value != writes[1].value:
                return None
            epoch = item.revision
        return ledger.Term(id, epoch, lease)

    async def _keep(self, step: _Step, own: ledger.Ledger) -> None:
        """Do something for a term at even intervals, however long it takes."""
        while True:
            due = anyio.current_time() + RENEW_SECONDS
            await step(own)
            await anyio.sleep(max(due - anyio.current_time(), _PAUSE_SECONDS))

    async def _renew(self, own: ledger.Ledger) -> None:
        try:
            await self._store.renew_lease(own.term.lease)
        except exceptions.LeaseExpired:
            await self._end_term(own)
        except exceptions.StoreUnavailable as error:
            logs.write_event('renew-failed', error=error)

    async def _confirm(self, own: ledger.Ledger) -> None:
        try:
            await own.confirm()
        except exceptions.StoreUnavailable as error:
            logs.write_event('confirm-failed', error=error)

    async def _end_term(self, own: ledger.Ledger) -> None:
        """End a term whose key the store has taken away.

        The store may end leases while it is away. Whether another entry
        leads by now is read first, so that the log tells which it was.
        """
        await own.confirm()
        raise exceptions.Deposed("the lease of the leader's key has ended")


def _find_cause(error: BaseException) -> BaseException:
    """Return the first error itself, however many groups it is in."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _find_leader(page: store_module.Page) -> store_module.Item | None:
    """Return the leader's key, which other writers' keys may begin with."""
    for item in page.items:
        if item.key == record.LEADER:
            return item
    return None


def _read_leader(item: store_module.Item) -> ledger.LeaderItem | None:
    """Return who leads; nothing if another writer left something else.

    Taken for a store that is away, it kept every entry from standing, and
    nothing started any more. No leader is known to be there; if there is
    one all the same, its head tells it of the next term.
    """
    try:
        return ledger.LeaderItem.model_validate_json(item.value)
    except pydantic.ValidationError as error:
        logs.write_error('leader-unreadable', error=error)
        return None
