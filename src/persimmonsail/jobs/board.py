"""The leader's in-memory state of all jobs, and its transitions.

The board performs no input or output. Every change of a job marks it as
changed; the leader commits changed jobs before any effect of the change
leaves the process.
"""

import enum
import time
import typing as t

from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import record

_MILLISECONDS = 1000


class End(enum.StrEnum):
    """How a run ended, as reported by the worker's agent."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
    # Not reported by agents: the process is gone, or the order never ran.
    LOST = 'lost'
    NOT_STARTED = 'not-started'


# Ends of runs that may never have started. A run that was seen running has
# been noted as started before.
_UNSEEN_ENDS = (End.LOST, End.NOT_STARTED)


class Board:
    """The leader's jobs by id.

    Attributes
    ----------
    changed : set of str
        Jobs whose progress must be committed.
    broken_gang_tasks : list of persimmonsail.jobs.job.Task
        Gang tasks whose run ended without success; the other placed
        members of the gang can't finish and must be stopped.
    superseded_tasks : list of persimmonsail.jobs.job.Task
        Tasks completed by an earlier run; their last run is still placed
        and must be stopped.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, job_module.Job] = {}
        self.changed: set[str] = set()
        self.broken_gang_tasks: list[job_module.Task] = []
        self.superseded_tasks: list[job_module.Task] = []
        # Jobs with uncommitted checkpoints, or an uncommitted first start.
        self._uncommitted: set[str] = set()
        # Tasks suspected of crashing agents, by name.
        self.crash_suspects: dict[str, job_module.Task] = {}
        # When each cancel was received, in milliseconds since the epoch. It
        # may arrive before its job, or without one.
        self._cancelled: dict[str, int] = {}

    def add(self, job: job_module.Job) -> bool:
        """Add a job; return whether it is new."""
        if job.id in self.jobs:
            return False
        self.jobs[job.id] = job
        for task in job.tasks.values():
            if task.is_suspect:
                self.update_crashes(task, task.state.crashes)
        if job.id in self._cancelled:
            self.cancel(job.id)
        return True

    def find_task(self, name: str) -> job_module.Task | None:
        """Return a task by its full name."""
        job_and_key = record.parse_task_name(name)
        if job_and_key is None:
            return None
        job = self.jobs.get(job_and_key[0])
        return job.tasks.get(job_and_key[1]) if job else None

    def cancel(self, id: str) -> job_module.Job | None:
        """Cancel a job; return it unless it is unknown or has ended."""
        self._cancelled.setdefault(id, _wall_ms())
        job = self.jobs.get(id)
        if job is None or job.phase.is_final:
            return None
        self._finish(job, record.JobPhase.CANCELLED)
        return job

    def forget(self, id: str) -> None:
        """Remove an expired job."""
        self.jobs.pop(id, None)
        self._cancelled.pop(id, None)
        self.changed.discard(id)
        self._uncommitted.discard(id)

    def list_ended(self, before_ms: float) -> list[str]:
        """Return the jobs with a committed end before the given time."""
        return [
            job.id
            for job in self.jobs.values()
            if job.committed_phase.is_final
            and 0 < job.progress.ended_ms < before_ms
        ]

    def list_orphaned_cancels(self, before_ms: float) -> list[str]:
        """Return the cancels received before the given time without a job."""
        return [
            id
            for id, received_ms in self._cancelled.items()
            if received_ms < before_ms and id not in self.jobs
        ]

    def note_checkpoint(self, task: job_module.Task, checkpoint: str) -> None:
        """Record the newest checkpoint of a running task."""
        if checkpoint == task.state.checkpoint:
            return
        task.state.checkpoint = checkpoint
        task.job.uncommitted_work += task.step.size.millicores
        self._uncommitted.add(task.job.id)

    def clear_uncommitted(self, job: job_module.Job) -> None:
        """Reset a job's uncommitted work, since it is being committed."""
        job.uncommitted_work = 0
        self._uncommitted.discard(job.id)

    def queue_uncommitted(self, max_jobs: int) -> None:
        """Mark the jobs with the most uncommitted work as changed.

        Parameters
        ----------
        max_jobs : int
            Maximum number of jobs.
        """
        ranked = sorted(
            self._uncommitted, key=self._rank_uncommitted, reverse=True
        )
        self.changed.update(ranked[:max_jobs])

    def _rank_uncommitted(self, id: str) -> tuple[bool, int]:
        """Rank first starts before checkpoints: those come only once."""
        job = self.jobs[id]
        return job.phase is not job.committed_phase, job.uncommitted_work

    def place(
        self,
        task: job_module.Task,
        instance: str,
        boot: str,
        number: int | None = None,
        isolated: bool = False,
    ) -> int:
        """Claim an instance for a task's next run; return the run's number.

        Parameters
        ----------
        task : persimmonsail.jobs.job.Task
            A waiting task.
        instance, boot : str
            The instance's address, and the incarnation of its agent.
        number : int, optional
            The run's number, higher than any before; the next one if
            omitted.
        isolated : bool, optional
            Whether it is isolated from other suspects.
        """
        state = task.state
        state.phase = record.TaskPhase.PLACED
        state.run = number or state.run + 1
        state.instance = instance
        state.boot = boot
        state.crashes = state.crashes._replace(apart=isolated)
        task.job.note_placed(task)
        self.changed.add(task.job.id)
        return state.run

    def note_started(self, job: job_module.Job) -> None:
        """Record that a task of a job has started.

        A claim is no start: its order may be refused.
        """
        if job.phase is record.JobPhase.QUEUED:
            job.progress.phase = record.JobPhase.ACTIVE
            self._uncommitted.add(job.id)

    def note_end(
        self,
        task: job_module.Task,
        run: int,
        end: End,
        checkpoint: str,
        max_attempts: int,
    ) -> bool:
        """Apply a run's end; return whether it changed anything.

        Parameters
        ----------
        task : persimmonsail.jobs.job.Task
            The task whose run ended.
        run : int
            The run's number; any but the last one claimed is ignored.
        end : End
            How it ended.
        checkpoint : str
            The checkpoint that the next run resumes from; empty for none.
        max_attempts : int
            How many failures end a job of this queue.
        """
        state = task.state
        if state.phase is not record.TaskPhase.PLACED or state.run != run:
            return False
        self.changed.add(task.job.id)
        if end not in _UNSEEN_ENDS:
            self.note_started(task.job)
        if checkpoint:
            state.checkpoint = checkpoint
        if state.earlier_done:
            self._mark_done([task])
            return True
        if end is End.DONE and not task.step.long_running:
            self._mark_done(_list_gang_or_self(task))
            return True
        state.phase = record.TaskPhase.WAITING
        task.job.placed_count -= 1
        task.job.note_waiting(task)
        if task.step.gang:
            self.broken_gang_tasks.append(task)
        if end is End.FAILED:
            self._note_failure(task, max_attempts)
        return True

    def _note_failure(self, task: job_module.Task, max_attempts: int) -> None:
        """Count a failed run; fail the job after the last attempt."""
        state = task.state
        task.avoid.add(state.instance)
        members = _list_gang_or_self(task)
        # Members of a gang that fail in the same run are one attempt.
        if all(member.state.failed_run != state.run for member in members):
            state.failures += 1
        state.failed_run = state.run
        failures = sum(member.state.failures for member in members)
        if failures >= max_attempts and not task.step.long_running:
            name = task.step_name if task.step.gang else task.name
            self._fail(task.job, f'{name} has failed {max_attempts} times')

    def update_crashes(
        self, task: job_module.Task, crashes: record.Crashes
    ) -> None:
        """Update the crash evidence against a task."""
        if crashes != task.state.crashes:
            task.state.crashes = crashes
            self.changed.add(task.job.id)
        if task.is_suspect and not task.job.phase.is_final:
            self.crash_suspects[task.name] = task
        else:
            self.crash_suspects.pop(task.name, None)

    def fail_job(self, task: job_module.Task, reason: str) -> None:
        """Fail the job of a task that can't be completed."""
        self._fail(task.job, reason)

    def accept_late_completion(self, task: job_module.Task, run: int) -> bool:
        """Accept the late completion of a run that was abandoned.

        A sidecar that was unreachable for longer than a lease may report
        ends not received before. Discarding them would cost callers the
        complete work once more, and repeat it where that does harm.

        A waiting task has no run left anywhere: it returned to waiting after
        an observed end, a prevented start, or an expired lease. So it is
        done. A placed task may have started again: its last run is stopped,
        and the task is done when that has ended, so that nothing of a
        complete job still runs.

        Parameters
        ----------
        task : persimmonsail.jobs.job.Task
            The task whose run ended as done.
        run : int
            The run's number; it is not the last one, or was abandoned.

        Returns
        -------
        bool
            Whether this completes the task, now or when its last run ends.
        """
        state = task.state
        # Runs are committed before they are ordered, so no run of this task
        # has a higher number than its record.
        was_claimed = 0 < run <= state.run
        ended = task.job.phase.is_final or state.phase is record.TaskPhase.DONE
        if ended or not was_claimed or task.step.long_running:
            return False
        self.changed.add(task.job.id)
        self.note_started(task.job)
        members = _list_gang_or_self(task)
        placed = [member for member in members if member.is_placed]
        for member in placed:
            member.state.earlier_done = True
        self.superseded_tasks += placed
        self._mark_done([other for other in members if not other.is_placed])
        return True

    def _mark_done(self, tasks: t.Iterable[job_module.Task]) -> None:
        """Mark tasks as done, and their job as complete after the last."""
        for task in tasks:
            job = task.job
            if task.state.phase is record.TaskPhase.DONE:
                continue
            job.placed_count -= task.is_placed
            job.waiting.pop(task.key, None)
            self.crash_suspects.pop(task.name, None)
            task.state.phase = record.TaskPhase.DONE
            job.note_done(task)
            if job.is_done and not job.phase.is_final:
                self._finish(job, record.JobPhase.COMPLETE)

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of a queue have no started task."""
        return sum(
            job.queue == queue and job.phase is record.JobPhase.QUEUED
            for job in self.jobs.values()
        )

    def _fail(self, job: job_module.Job, reason: str) -> None:
        if not job.phase.is_final:
            job.progress.reason = reason
            self._finish(job, record.JobPhase.FAILED)

    def _finish(self, job: job_module.Job, phase: record.JobPhase) -> None:
        job.progress.phase = phase
        job.waiting.clear()
        for name in [
            n for n, task in self.crash_suspects.items() if task.job is job
        ]:
            del self.crash_suspects[name]
        job.progress.ended_ms = _wall_ms()
        self.changed.add(job.id)


def _wall_ms() -> int:
    return round(time.time() * _MILLISECONDS)


def _list_gang_or_self(task: job_module.Task) -> list[job_module.Task]:
    """Return the tasks that share a task's end: itself, or its gang."""
    return task.job.list_gang(task) if task.step.gang else [task]
