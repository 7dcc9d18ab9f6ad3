"""Commits of job progress that reject claims which became invalid.

A claim is only committed if its job is not cancelled and the zone of its
instance is not evacuated.
"""

import time
import typing as t

from persimmonsail import exceptions
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import clock
from persimmonsail.jobs import evacuations as evacuations_module
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import ledger as ledger_module
from persimmonsail.jobs import placer
from persimmonsail.jobs import record
from persimmonsail import logs
from persimmonsail import store as store_module

_MILLISECONDS = 1000

ClaimsByJob = t.Mapping[str, t.Sequence[placer.Claim]]


class Commits:
    """Commits jobs of the board, and records their committed phases.

    Parameters
    ----------
    board : persimmonsail.jobs.board.Board
        The leader's jobs.
    ledger : persimmonsail.jobs.ledger.Ledger
        This term's writes.
    evacuations : persimmonsail.jobs.evacuations.Evacuations
        The evacuated zones; those found by a refused commit are added.
    on_cancel : callable
        Called with the id of a job found to be cancelled, and the text of
        its cancel marker.
    on_evacuation : callable
        Called with a zone found to be evacuated; withdraws its claims.
    on_end : callable
        Called with each job whose final phase is committed.
    """

    def __init__(
        self,
        board: board_module.Board,
        ledger: ledger_module.Ledger,
        evacuations: evacuations_module.Evacuations,
        on_cancel: t.Callable[[str, str], None],
        on_evacuation: t.Callable[[str], None],
        on_end: t.Callable[[job_module.Job], None],
    ) -> None:
        self._board = board
        self._ledger = ledger
        self._evacuations = evacuations
        self._on_evacuation = on_evacuation
        self._on_cancel = on_cancel
        self._on_end = on_end

    async def write(self, ids: t.Sequence[str], claims: ClaimsByJob) -> float:
        """Commit the current state of jobs in one transaction.

        Parameters
        ----------
        ids : sequence of str
            The jobs of one group of ``split_rows``.
        claims : mapping of str to sequence of persimmonsail.jobs.placer.Claim
            The new claims, by job.

        Returns
        -------
        float
            A time, on ``clock``, at which none of the claimed jobs was
            cancelled and none of the zones evacuated, except for those that
            ``on_cancel`` and ``on_evacuation`` were called with.
        """
        started_at = clock.read()
        jobs = [self._board.jobs[id] for id in ids if id in self._board.jobs]
        while True:
            phases = [job.phase for job in jobs]
            try:
                verified_at = await self._write_once(jobs, claims)
            except exceptions.KeysPresent as error:
                self._apply_markers(error.found)
                # The retry writes the jobs as they are then.
                self._board.changed.difference_update(ids)
                continue
            break
        for job, phase in zip(jobs, phases, strict=True):
            if job.committed_phase is not phase:
                self._record_phase(job, phase, clock.read() - started_at)
        return verified_at

    async def _write_once(
        self, jobs: t.Sequence[job_module.Job], claims: ClaimsByJob
    ) -> float:
        for job in jobs:
            self._board.clear_uncommitted(job)
        writes = [
            store_module.Write(record.PROGRESS + job.id, job.progress.encode())
            for job in jobs
        ]
        # The watches for markers may hang while writes succeed.
        claimed = [
            job for job in jobs if job.id in claims and not job.phase.is_final
        ]
        cancels = [record.CANCELS + job.id for job in claimed]
        zones = {
            claim.instance.zone
            for job in claimed
            for claim in claims[job.id]
            if claim.is_held
        }
        absent = [*cancels, *self._evacuations.list_markers(zones)]
        return await self._ledger.commit(writes, absent)

    def _apply_markers(self, markers: t.Mapping[str, str]) -> None:
        """Apply the markers that a write was refused for."""
        for key, text in markers.items():
            zone = self._evacuations.find_zone(key)
            if zone:
                self._evacuations.add_found(zone)
                self._on_evacuation(zone)
            else:
                self._on_cancel(key.removeprefix(record.CANCELS), text)

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
    ids: t.Sequence[str], claims: ClaimsByJob
) -> t.Iterator[list[str]]:
    """Split jobs into groups that fit into one transaction each.

    A claimed job takes a second row: its cancel marker must be absent. So
    does each zone with claims in a group.
    """
    group: list[str] = []
    zones: set[str] = set()
    rows = 0
    for id in ids:
        job_rows = 2 if id in claims else 1
        job_zones = {claim.instance.zone for claim in claims.get(id, ())}
        if rows + job_rows + len(zones | job_zones) > ledger_module.MAX_ROWS:
            yield group
            group, zones, rows = [], set(), 0
        group.append(id)
        zones |= job_zones
        rows += job_rows
    if group:
        yield group
