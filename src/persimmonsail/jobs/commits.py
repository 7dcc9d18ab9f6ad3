"""Commits of job progress that reject claims of cancelled jobs."""

import time
import typing as t

from persimmonsail import exceptions
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import clock
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import ledger as ledger_module
from persimmonsail.jobs import record
from persimmonsail import logs
from persimmonsail import store as store_module

_MILLISECONDS = 1000


class Commits:
    """Commits jobs of the board, and records their committed phases.

    Parameters
    ----------
    board : persimmonsail.jobs.board.Board
        The leader's jobs.
    ledger : persimmonsail.jobs.ledger.Ledger
        This term's writes.
    on_cancel : callable
        Called with the id of a job found to be cancelled, and the text of
        its cancel marker.
    on_end : callable
        Called with each job whose final phase is committed.
    """

    def __init__(
        self,
        board: board_module.Board,
        ledger: ledger_module.Ledger,
        on_cancel: t.Callable[[str, str], None],
        on_end: t.Callable[[job_module.Job], None],
    ) -> None:
        self._board = board
        self._ledger = ledger
        self._on_cancel = on_cancel
        self._on_end = on_end

    async def write(
        self, ids: t.Sequence[str], claimed: t.Collection[str]
    ) -> float:
        """Commit the current state of jobs in one transaction.

        Parameters
        ----------
        ids : sequence of str
            The jobs of one group of ``split_rows``.
        claimed : collection of str
            Jobs with a newly placed task.

        Returns
        -------
        float
            A time, on ``clock``, at which none of the claimed jobs was
            cancelled, except for those now marked as cancelled.
        """
        started_at = clock.read()
        jobs = [self._board.jobs[id] for id in ids if id in self._board.jobs]
        while True:
            phases = [job.phase for job in jobs]
            try:
                verified_at = await self._write_once(jobs, claimed)
            except exceptions.KeysPresent as error:
                self._apply_cancels(error.found)
                continue
            break
        for job, phase in zip(jobs, phases, strict=True):
            if job.committed_phase is not phase:
                self._record_phase(job, phase, clock.read() - started_at)
        return verified_at

    async def _write_once(
        self, jobs: t.Sequence[job_module.Job], claimed: t.Collection[str]
    ) -> float:
        for job in jobs:
            self._board.clear_uncommitted(job)
        writes = [
            store_module.Write(record.PROGRESS + job.id, job.progress.encode())
            for job in jobs
        ]
        # The watch for cancels may hang while writes succeed.
        absent = [
            record.CANCELS + job.id
            for job in jobs
            if job.id in claimed and not job.phase.is_final
        ]
        return await self._ledger.commit(writes, absent)

    def _apply_cancels(self, markers: t.Mapping[str, str]) -> None:
        """Apply the cancels that a write was refused for."""
        for key, text in markers.items():
            id = key.removeprefix(record.CANCELS)
            self._on_cancel(id, text)
            # The retry of the refused write commits it.
            self._board.changed.discard(id)

    def _record_phase(
        self, job: job_module.Job, phase: record.JobPhase, seconds: float
    ) -> None:
        job.committed_phase = phase
        logs.write_event(
            'job-phase',
            job=job.id,
            queue=job.queue,
            phase=phase.value,
            age_ms=round(time.time() * _MILLISECONDS) - job.accepted_ms,
            commit_seconds=seconds,
        )
        if phase.is_final:
            self._on_end(job)


def split_rows(
    ids: t.Sequence[str], claimed: t.Collection[str]
) -> t.Iterator[list[str]]:
    """Split jobs into groups that fit into one transaction each.

    A claimed job takes a second row: its cancel marker must be absent.
    """
    group: list[str] = []
    rows = 0
    for id in ids:
        job_rows = 2 if id in claimed else 1
        if rows + job_rows > ledger_module.MAX_ROWS:
            yield group
            group, rows = [], 0
        group.append(id)
        rows += job_rows
    if group:
        yield group
