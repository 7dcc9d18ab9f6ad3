"""Group commit of one partition's records."""

import dataclasses

import anyio

from persimmonsail.bookkeeping import ledger as ledger_module
from persimmonsail.bookkeeping import ratelimits
from persimmonsail.bookkeeping import records
from persimmonsail import exceptions
from persimmonsail import logs

MAX_BATCH_BYTES = 400_000
_RECORD_OVERHEAD_BYTES = 400


@dataclasses.dataclass
class _Proposal:
    record: records.Record
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    written: bool = False
    error: Exception | None = None

    @property
    def size(self) -> int:
        """Approximate encoded size of the record, in bytes."""
        fields = ('payload', 'answer', 'checkpoint')
        return _RECORD_OVERHEAD_BYTES + sum(
            len(getattr(self.record, name, '')) for name in fields
        )

    def resolve(self, error: Exception | None = None) -> None:
        """Wake the waiting caller; later calls have no effect."""
        if not self.done.is_set():
            self.error = error
            self.done.set()


class Committer:
    """Collects proposed records and appends them in batches, one at a time.

    ``commit`` may be called from any task, ``run`` from a single one.
    """

    def __init__(
        self,
        ledger: ledger_module.Ledger,
        rate_limiter: ratelimits.RateLimiter,
    ) -> None:
        self._ledger = ledger
        self._rate_limiter = rate_limiter
        self._proposals: list[_Proposal] = []
        self._proposed = anyio.Event()
        self._writing = False
        self._closed = False
        self.changed = anyio.Event()

    @property
    def stalled(self) -> bool:
        """Whether the store has not answered the current batch's write."""
        return self._ledger.unavailable

    async def commit(
        self, record: records.Record, seconds: float | None = None
    ) -> None:
        """Commit a record, and return once it is durable.

        Parameters
        ----------
        record : Record
            The record to write.
        seconds : float, optional
            The timeout; without it, waits until the outcome is certain.

        Raises
        ------
        persimmonsail.exceptions.NotCommitted
            If the record is invalid for the table, or was abandoned
            before it was written: it never takes effect.
        persimmonsail.exceptions.CommitUnknown
            If the timeout expired or the partition was lost while the
            record was being written.
        """
        if self._closed:
            raise exceptions.NotCommitted('the partition is handed over')
        proposal = _Proposal(record)
        self._proposals.append(proposal)
        self._proposed.set()
        with anyio.move_on_after(seconds):
            await proposal.done.wait()
        if not proposal.done.is_set():
            self._abandon(proposal)
        if proposal.error is not None:
            raise proposal.error

    async def run(self) -> None:
        """Commit proposed records until cancelled."""
        try:
            while True:
                await self._proposed.wait()
                await self._rate_limiter.wait()
                self._proposed = anyio.Event()
                await self._commit_group(self._pop_group())
        finally:
            self._closed = True
            self._reject_pending()

    async def close(self, seconds: float) -> bool:
        """Reject new records, and write those already proposed.

        Returns
        -------
        bool
            Whether all of them were written in time.
        """
        self._closed = True
        with anyio.move_on_after(seconds):
            while self._proposals or self._writing:
                await self.changed.wait()
            return True
        return False

    def notify_changed(self) -> None:
        """Wake all tasks that wait for a change of the table."""
        self.changed.set()
        self.changed = anyio.Event()

    def _abandon(self, proposal: _Proposal) -> None:
        if proposal in self._proposals:
            self._proposals.remove(proposal)
            proposal.resolve(exceptions.NotCommitted('the store is slow'))
        else:
            proposal.resolve(
                exceptions.CommitUnknown('no answer of the store')
            )

    def _pop_group(self) -> list[_Proposal]:
        group: list[_Proposal] = []
        size = 0
        while self._proposals:
            size += self._proposals[0].size
            if group and size > MAX_BATCH_BYTES:
                self._proposed.set()
                break
            group.append(self._proposals.pop(0))
        return group

    async def _commit_group(self, group: list[_Proposal]) -> None:
        problems = self._ledger.table.find_problems([p.record for p in group])
        valid = [
            proposal
            for proposal, problem in zip(group, problems, strict=True)
            if not problem
        ]
        self._writing = True
        try:
            if valid:
                await self._ledger.append(tuple(p.record for p in valid))
            for proposal in valid:
                proposal.resolve()
            # An invalid record may conflict only with an earlier one of
            # its batch, such as a key that was sent twice: it is rejected
            # after that one is committed.
            _reject_invalid(group, problems)
        finally:
            self._writing = False
            for proposal in group:
                proposal.resolve(
                    exceptions.CommitUnknown('the partition was lost')
                )
            self.notify_changed()
        if self._ledger.needs_snapshot():
            await self._write_snapshot()

    async def _write_snapshot(self) -> None:
        try:
            await self._ledger.write_snapshot()
        except exceptions.StoreUnavailable as error:
            # Retried after the next batch; the ring has free slots left.
            logs.write_event('snapshot-late', error=error)

    def _reject_pending(self) -> None:
        for proposal in self._proposals:
            proposal.resolve(exceptions.NotCommitted('the partition was lost'))
        self._proposals.clear()
        self.notify_changed()


def _reject_invalid(group: list[_Proposal], problems: list[str]) -> None:
    for proposal, problem in zip(group, problems, strict=True):
        if problem:
            logs.write_warning('record-refused', reason=problem)
            proposal.resolve(exceptions.NotCommitted(problem))
