"""The leader's writes to the store, fenced by one key.

Every write is conditional on the head's revision after the previous write,
and advances the head. A replaced leader finds the head advanced by its
successor and can't write any more; a write that the store applies seconds
late finds it advanced by this leader's next write.
"""

import dataclasses
import typing as t

import anyio
import pydantic

from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import record
from persimmonsail import logs
from persimmonsail import store as store_module

# The total of writes and of keys required to be absent. The store accepts 32
# rows in one transaction; the head takes two of them.
MAX_ROWS = 28
_RETRY_SECONDS = 0.05
_MAX_RETRY_SECONDS = 0.4


class Head(pydantic.BaseModel):
    """The leader that may write, and how many writes it has made."""

    leader: str
    writes: int


class LeaderItem(pydantic.BaseModel):
    """The leading entry, and its address for other entries."""

    id: str
    name: str
    address: str


class Electorate(pydantic.BaseModel):
    """The entries that may confirm leaders up to the present one.

    Attributes
    ----------
    leader : str
        The term in which it was written. If the head names another one, that
        leader is of a version that writes no electorate.
    entries : list of str, optional
        The entries' addresses; None if an earlier leader may extend leases
        without being confirmed.
    """

    leader: str
    entries: list[str] | None


@dataclasses.dataclass(frozen=True)
class Term:
    """One process's term as the leader.

    Attributes
    ----------
    id : str
        Unique to this term.
    epoch : int
        Rises with each term; workers reject orders of lower ones.
    lease : str
        The store lease that the leader key is attached to.
    electorate : frozenset of str, optional
        The entries that may confirm earlier leaders; None if those leaders
        may extend leases without being confirmed.
    """

    id: str
    epoch: int
    lease: str
    electorate: frozenset[str] | None = None


class Ledger:
    """Commits progress while this process leads.

    Parameters
    ----------
    store : persimmonsail.store.TransactionalStore
        Holds the progress.
    term : Term
        The term that this process was elected for.
    """

    def __init__(
        self, store: store_module.TransactionalStore, term: Term
    ) -> None:
        self._store = store
        self.term = term
        self._revision = term.epoch
        self._writes = 0
        # Each write is conditional on the one before.
        self._lock = anyio.Lock()
        # When this process was last confirmed to be the only leader.
        self.confirmed_at = clock.read()

    async def commit(
        self,
        writes: t.Sequence[store_module.Write],
        absent: t.Sequence[str] = (),
    ) -> float:
        """Write atomically, retrying for as long as the store takes.

        The same transaction is retried until its outcome is known: one of
        its copies may still take effect, and a different transaction sent
        instead could then be lost.

        Parameters
        ----------
        writes : sequence of persimmonsail.store.Write
            The writes.
        absent : sequence of str
            Keys that must all be absent. If one is written, and removed while
            a copy of a refused transaction is still in flight, that copy may
            take effect; the next commit then ends this term.

        Returns
        -------
        float
            The earliest time, on ``clock``, at which the write may have
            taken effect. All of ``absent`` were absent at that time; they
            may have been written since.

        Raises
        ------
        persimmonsail.exceptions.KeysPresent
            If one of ``absent`` exists. The transaction was not applied, and
            won't be.
        persimmonsail.exceptions.Deposed
            If another process leads now.
        """
        async with self._lock:
            return await self._commit(writes, absent)

    async def _commit(
        self, writes: t.Sequence[store_module.Write], absent: t.Sequence[str]
    ) -> float:
        self._writes += 1
        head = Head(leader=self.term.id, writes=self._writes)
        rows = [
            store_module.Write(record.HEAD, head.model_dump_json()),
            *writes,
        ]
        conditions = {record.HEAD: self._revision}
        conditions.update(dict.fromkeys(absent, 0))
        backoff = _RETRY_SECONDS
        first_attempt_at = clock.read()
        while True:
            attempted_at = clock.read()
            try:
                self._revision = await self._store.commit(conditions, rows)
                verified_at = attempted_at
            except exceptions.TransactionConflict as error:
                self._resolve_conflict(error, head, absent)
                verified_at = first_attempt_at
            except exceptions.StoreUnavailable as error:
                logs.write_warning(
                    'commit-retried',
                    writes=self._writes,
                    rows=len(rows),
                    error=error,
                )
                await anyio.sleep(backoff)
                backoff = min(2 * backoff, _MAX_RETRY_SECONDS)
                continue
            self.confirmed_at = max(self.confirmed_at, attempted_at)
            return verified_at

    async def confirm(self) -> None:
        """Read the head to confirm that this process still leads.

        Raises
        ------
        persimmonsail.exceptions.Deposed
            If another process leads now.
        persimmonsail.exceptions.StoreUnavailable
            If the store did not respond.
        """
        attempted_at = clock.read()
        item = await self._store.get(record.HEAD)
        head = _parse_head(item) if item is not None else None
        if head is None or head.leader != self.term.id:
            raise exceptions.Deposed('the head does not name this leader')
        self.confirmed_at = max(self.confirmed_at, attempted_at)

    def _resolve_conflict(
        self,
        error: exceptions.TransactionConflict,
        head: Head,
        absent: t.Sequence[str],
    ) -> None:
        item = error.found.get(record.HEAD)
        if item is not None and item.revision == self._revision:
            found = {
                key: error.found[key].value
                for key in absent
                if key in error.found
            }
            if found:
                raise exceptions.KeysPresent(found) from error
        if item is None or _parse_head(item) != head:
            raise exceptions.Deposed(
                'another writer moved the head'
            ) from error
        # An earlier attempt, whose response was lost, has taken effect.
        self._revision = item.revision


def inherit_electorate(
    leader: str,
    head: store_module.Item | None,
    stored: store_module.Item | None,
) -> Electorate:
    """Return the electorate of a new term, before the leader changes it.

    Parameters
    ----------
    leader : str
        The new term's id.
    head, stored : persimmonsail.store.Item, optional
        The head and the electorate of the term before.
    """
    if head is None:
        return Electorate(leader=leader, entries=[])
    previous = _parse_electorate(stored) if stored is not None else None
    present = _parse_head(head)
    entries = None
    if previous is not None and present is not None:
        if previous.leader == present.leader:
            entries = previous.entries
    return Electorate(leader=leader, entries=entries)


def _parse_electorate(item: store_module.Item) -> Electorate | None:
    """Parse the electorate; return None if another writer changed it."""
    try:
        return Electorate.model_validate_json(item.value)
    except pydantic.ValidationError as error:
        logs.write_error('electorate-unreadable', error=error)
        return None


def _parse_head(item: store_module.Item) -> Head | None:
    """Parse the head; return None if another writer made it unreadable.

    The term ends then, as with any head that is not its own: its next write
    would be refused, and a new term writes a new head.
    """
    try:
        return Head.model_validate_json(item.value)
    except pydantic.ValidationError as error:
        logs.write_error('head-unreadable', error=error)
        return None
