"""Leader election: the entry that holds a key of the store leads.

Two elected leaders at once do no harm: only one process can advance the
head (see ``ledger``), and a new leader waits until leases that a former
one may have granted to runs have expired. So any entry may take over from
a leader whose process is known to have ended, without waiting for its
lease to expire.
"""

import contextlib
import random
import typing as t
import uuid

import anyio
import anyio.abc
import pydantic

from persimmonsail import exceptions
from persimmonsail.jobs import ledger
from persimmonsail.jobs import mandate
from persimmonsail.jobs import record
from persimmonsail.jobs import terms as terms_module
from persimmonsail import logs
from persimmonsail import store as store_module

# A leader whose machine failed is replaced after this time. At the slowest
# store response time (0.3 s) the lease is still renewed three times.
LEASE_SECONDS = 2.0
RENEW_SECONDS = 0.5
_WATCH_SECONDS = 1.0
# How often the leader is asked while its key is watched: its end is noticed
# within this time, by a connection that is refused.
_PING_SECONDS = 0.4
_RETRY_SECONDS = 0.2
# Entries that observe the key's removal campaign after a random delay up to
# this; the others observe the winner's key and don't campaign. An election
# takes two store calls, 10 ms; of 15 entries one or two campaign within that,
# and the first after 20 ms on average (three entries: 75 ms).
_MAX_JITTER_SECONDS = 0.3
# A leader of 53 instances uses 0.56 cores at peak. An entry with less than
# this defers to larger ones: as the leader it would process reports late, and
# serving tasks would miss their latency targets.
MIN_LEADER_CORES = 1.0
# Larger entries campaign within the jitter and one store call.
_SMALL_DELAY_SECONDS = 0.4

# Minimum between two calls of one kind, also if the store refuses calls
# immediately.
_MIN_PAUSE_SECONDS = 0.2

IsAlive = t.Callable[[str], t.Awaitable[bool]]
Lead = t.Callable[[ledger.Ledger, mandate.Mandate], t.Awaitable[None]]
_Step = t.Callable[[ledger.Ledger], t.Awaitable[None]]


class Candidate:
    """Takes part in elections; runs ``lead`` for each term it wins.

    Parameters
    ----------
    store : persimmonsail.store.TransactionalStore
        Holds the leader key.
    name : str
        This entry's name.
    is_alive : callable
        Checks whether a process still listens at an address; false only
        if certainly none does.
    lead : callable
        Leads until it is cancelled or deposed.
    terms : persimmonsail.jobs.terms.Terms
        What this entry knows of terms.
    ask : callable
        Tells this entry's term to the entry at an address; returns its
        answer.
    cores : float, optional
        CPU limit of this entry's process; unknown if omitted.
    """

    def __init__(
        self,
        store: store_module.TransactionalStore,
        name: str,
        is_alive: IsAlive,
        lead: Lead,
        terms: terms_module.Terms,
        ask: mandate.Ask,
        cores: float | None = None,
    ) -> None:
        # Whether this entry defers to larger ones.
        self.is_small = cores is not None and cores < MIN_LEADER_CORES
        self._delay_seconds = _SMALL_DELAY_SECONDS if self.is_small else 0.0
        self._store = store
        self._name = name
        self._is_alive = is_alive
        self._lead = lead
        self._terms = terms
        self._ask = ask
        self._random = random.Random(name)
        self._id = ''
        # The addresses of this entry and of the leader.
        self.address = ''
        self.leader = ''

    async def run(self) -> None:
        """Take part in elections until cancelled."""
        while True:
            try:
                await self._follow_leader()
            except exceptions.StoreError as error:
                logs.write_event('election-failed', error=error)
                await anyio.sleep(_RETRY_SECONDS)

    async def _follow_leader(self) -> None:
        # The key may be older than the store's retained history; a watch from
        # the page's revision returns the changes from now on.
        page = await self._store.scan(record.LEADER)
        item = _find_leader(page)
        # If the key is absent, all terms up to the page's revision have ended.
        self._terms.note_stored(item.revision if item else page.revision)
        if item is None:
            await self._campaign(page.revision, 0)
            return
        current = _parse_leader(item)
        if current is None:
            await self._campaign(page.revision, item.revision)
            return
        self._update_leader(current)
        if current.address == self.address:
            # Left by an earlier incarnation of this process.
            await self._campaign(page.revision, item.revision)
            return
        if not await self._is_alive(current.address):
            logs.write_event('leader-dead', name=current.name)
            await self._campaign(page.revision, item.revision)
            return
        await self._watch_leader(current.address, page.revision)

    async def _watch_leader(self, address: str, revision: int) -> None:
        """Return at a change of the key, at the leader's end, or in a while.

        Parameters
        ----------
        address : str
            The leader's address.
        revision : int
            The store's revision when the key was read.
        """

        async def wait_end() -> None:
            while True:
                await anyio.sleep(_PING_SECONDS)
                if not await self._is_alive(address):
                    group.cancel_scope.cancel()

        async with _create_task_group() as group:
            group.start_soon(wait_end)
            with contextlib.suppress(exceptions.HistoryLost):
                await self._store.watch_changes(
                    record.LEADER, revision, _WATCH_SECONDS
                )
            group.cancel_scope.cancel()

    def _update_leader(self, current: ledger.LeaderItem) -> None:
        if self._id != current.id:
            self._id = current.id
            logs.write_event(
                'leader-known', name=current.name, address=current.address
            )
        self.leader = current.address

    async def _campaign(self, read_revision: int, key_revision: int) -> None:
        """Run for leader, unless another entry is elected first.

        Parameters
        ----------
        read_revision : int
            The store's revision when the key was read.
        key_revision : int
            The key's own revision; 0 if it is absent.
        """
        if not await self._wait_to_campaign(read_revision):
            return
        term = await self._acquire_term(key_revision)
        if term is None:
            return
        logs.write_event('leading', epoch=term.epoch)
        self.leader = self.address
        self._terms.note_stored(term.epoch)
        try:
            await self._serve_term(ledger.Ledger(self._store, term))
        finally:
            self.leader = ''

    async def _wait_to_campaign(self, read_revision: int) -> bool:
        """Wait for this entry's delay; return whether the key is unchanged.

        Each lost election costs the store a lease and a refused transaction,
        and delays the winner's calls, which queue behind them.
        """
        delay = (
            self._delay_seconds + self._random.random() * _MAX_JITTER_SECONDS
        )
        deadline = anyio.current_time() + delay
        try:
            observed = await self._store.watch_changes(
                record.LEADER, read_revision, delay
            )
        except exceptions.HistoryLost:
            # Changes can't be observed; the election itself detects them.
            await anyio.sleep(max(deadline - anyio.current_time(), 0.0))
            return True
        return not observed.changes

    async def _serve_term(self, term_ledger: ledger.Ledger) -> None:
        term_mandate = mandate.Mandate(
            term_ledger, self.address, self._terms, self._ask
        )
        try:
            async with anyio.create_task_group() as group:
                # Run concurrently: in sequence, a leader with a slow event
                # loop or store renewed too late, and lost its term to one
                # that had less state and more to do.
                group.start_soon(
                    self._run_periodically, self._renew, term_ledger
                )
                group.start_soon(
                    self._run_periodically, self._confirm, term_ledger
                )
                group.start_soon(term_mandate.run)
                await self._lead(term_ledger, term_mandate)
                group.cancel_scope.cancel()
        except* exceptions.Deposed as errors:
            logs.write_warning(
                'deposed',
                epoch=term_ledger.term.epoch,
                error=_find_cause(errors),
            )
        except* exceptions.StoreError as errors:
            logs.write_warning(
                'term-ended',
                epoch=term_ledger.term.epoch,
                error=_find_cause(errors),
            )
        finally:
            with anyio.CancelScope(shield=True):
                await self._resign(term_ledger.term)

    async def _resign(self, term: ledger.Term) -> None:
        # Lets others take over immediately, not after the lease expires.
        try:
            with anyio.move_on_after(LEASE_SECONDS):
                await self._store.revoke_lease(term.lease)
        except exceptions.StoreError as error:
            logs.write_event('resign-failed', error=error)
        else:
            logs.write_event('resigned', epoch=term.epoch)

    async def _acquire_term(self, key_revision: int) -> ledger.Term | None:
        items: dict[str, store_module.Item | None] = {}

        async def read(key: str) -> None:
            items[key] = await self._store.get(key)

        async with _create_task_group() as group:
            group.start_soon(read, record.HEAD)
            group.start_soon(read, record.ELECTORATE)
            lease = await self._store.grant_lease(LEASE_SECONDS)
        id = uuid.uuid4().hex
        leader = ledger.LeaderItem(
            id=id, name=self._name, address=self.address
        )
        electorate = ledger.inherit_electorate(
            id, items[record.HEAD], items[record.ELECTORATE]
        )
        head_write = store_module.Write(
            record.HEAD, ledger.Head(leader=id, writes=0).model_dump_json()
        )
        writes = [
            store_module.Write(record.LEADER, leader.model_dump_json(), lease),
            head_write,
            store_module.Write(
                record.ELECTORATE, electorate.model_dump_json()
            ),
        ]
        # The electorate is inherited from the head's leader, so neither may
        # have changed since they were read.
        conditions = {
            key: item.revision if item else 0 for key, item in items.items()
        }
        conditions[record.LEADER] = key_revision
        try:
            epoch = await self._store.commit(conditions, writes)
        except exceptions.TransactionConflict:
            logs.write_event('election-lost')
            return None
        except exceptions.CallRefused:
            raise
        except exceptions.StoreUnavailable as error:
            # The commit may still have taken effect.
            logs.write_event('election-unknown', error=error)
            item = await self._store.get(record.HEAD)
            if item is None or item.value != head_write.value:
                return None
            epoch = item.revision
        entries = electorate.entries
        return ledger.Term(
            id, epoch, lease, None if entries is None else frozenset(entries)
        )

    async def _run_periodically(
        self, step: _Step, term_ledger: ledger.Ledger
    ) -> None:
        """Run a step for a term at regular intervals, whatever it takes."""
        while True:
            due = anyio.current_time() + RENEW_SECONDS
            await step(term_ledger)
            await anyio.sleep(
                max(due - anyio.current_time(), _MIN_PAUSE_SECONDS)
            )

    async def _renew(self, term_ledger: ledger.Ledger) -> None:
        try:
            await self._store.renew_lease(term_ledger.term.lease)
        except exceptions.LeaseExpired:
            await self._end_term(term_ledger)
        except exceptions.StoreUnavailable as error:
            logs.write_event('renew-failed', error=error)

    async def _confirm(self, term_ledger: ledger.Ledger) -> None:
        try:
            await term_ledger.confirm()
        except exceptions.StoreUnavailable as error:
            logs.write_event('confirm-failed', error=error)

    async def _end_term(self, term_ledger: ledger.Ledger) -> None:
        """End a term whose lease has expired at the store.

        Leases may also expire while the store is unavailable. The head is
        read first, so that the log shows whether another entry leads by now.
        """
        await term_ledger.confirm()
        raise exceptions.Deposed('the lease of the leader key has expired')


@contextlib.asynccontextmanager
async def _create_task_group() -> t.AsyncIterator[anyio.abc.TaskGroup]:
    """Create a task group that raises the first error of its tasks."""
    try:
        async with anyio.create_task_group() as group:
            yield group
    except ExceptionGroup as errors:
        raise _find_cause(errors) from errors


def _find_cause(error: BaseException) -> BaseException:
    """Return the first error, unwrapped from all exception groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _find_leader(page: store_module.Page) -> store_module.Item | None:
    """Return the leader key; other writers' keys may share its prefix."""
    for item in page.items:
        if item.key == record.LEADER:
            return item
    return None


def _parse_leader(item: store_module.Item) -> ledger.LeaderItem | None:
    """Parse the leader key; return None if it is unreadable.

    Another writer may have replaced it. Handled like an unavailable store,
    an unreadable key kept every entry from campaigning, and no task started
    any more. If a leader exists all the same, the head shows it the next
    term.
    """
    try:
        return ledger.LeaderItem.model_validate_json(item.value)
    except pydantic.ValidationError as error:
        logs.write_error('leader-unreadable', error=error)
        return None
