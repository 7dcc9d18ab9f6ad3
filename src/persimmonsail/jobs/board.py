"""All jobs that the leader knows, and what may happen to them next.

The board is plain state without input or output. Whatever changes a job
marks it as changed; the leader commits changed jobs before anything that
follows from the change leaves the process.
"""

import dataclasses
import enum
import functools
import time
import typing as t

from persimmonsail.jobs import record
from persimmonsail.jobs import specification as specification_module

_MILLISECONDS = 1000


class End(enum.StrEnum):
    """How a run ended, as the worker's agent says."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
    # Not said by an agent: its process has ended, or the order never ran.
    LOST = 'lost'
    NOT_STARTED = 'not-started'


@dataclasses.dataclass
class Task:
    """One task of a job, with what is known beside its record.

    Attributes
    ----------
    job : Job
        The job it belongs to.
    key : persimmonsail.jobs.record.TaskKey
        Which of the job's tasks.
    step : persimmonsail.jobs.specification.Step
        What it needs.
    state : persimmonsail.jobs.record.TaskRecord
        What is committed with the job.
    avoid : set of str
        Instances where it failed; others are tried first.
    not_before : float
        Seconds of the leader's clock before which it is not placed.
    """

    job: 'Job'
    key: record.TaskKey
    step: specification_module.Step
    state: record.TaskRecord
    avoid: set[str] = dataclasses.field(default_factory=set)
    not_before: float = 0.0

    @property
    def name(self) -> str:
        """The task's full name, unique over all jobs."""
        return f'{self.job.id}.{self.key}'

    @property
    def step_name(self) -> str:
        """Names job, occurrence and step."""
        return self.name.rpartition('.')[0]

    @property
    def is_placed(self) -> bool:
        """Whether its last run is claimed for an instance."""
        return self.state.phase is record.TaskPhase.PLACED

    @property
    def due_ms(self) -> int:
        """When it may begin, in milliseconds since the epoch."""
        return self.job.specification.find_due_ms(self.key.occurrence)

    @property
    def since_ms(self) -> int:
        """From when on its job's objective counts for it."""
        return max(self.job.accepted_ms, self.due_ms)


class Job:
    """An accepted job."""

    def __init__(
        self,
        id: str,
        queue: str,
        accepted_ms: int,
        specification: specification_module.Specification,
        progress: record.Progress | None = None,
    ) -> None:
        self.id = id
        self.queue = queue
        self.accepted_ms = accepted_ms
        self.specification = specification
        self.progress = progress or record.Progress()
        # The phase that the store has; callers are shown no other.
        self.committed_phase = self.progress.phase
        self.tasks: dict[record.TaskKey, Task] = {}
        for key in self._list_keys():
            state = self.progress.tasks.setdefault(key, record.TaskRecord())
            step = specification.steps[key.step]
            self.tasks[key] = Task(self, key, step, state)
        self._left = self._count_left()
        # The tasks that may be placed now. Kept up to date, since a full
        # look at every task took the leader a tenth of its processor.
        self.waiting: dict[record.TaskKey, Task] = {}
        # How many tasks have a place, and since when none has had one, in
        # seconds of the leader's clock; 0 if that is not known.
        self.placed_count = len(self.list_placed())
        self.idle_since = 0.0
        # How much has been saved by tasks since the last commit: the
        # millicores of each new checkpoint, which come at even intervals.
        self.unsaved_work = 0
        self._open_steps()

    @property
    def phase(self) -> record.JobPhase:
        """How far the job is; may not be committed yet."""
        return self.progress.phase

    @functools.cached_property
    def tails_ms(self) -> tuple[int, ...]:
        """For each step, the estimated time from its start to the end."""
        steps = self.specification.steps
        tails = [step.estimate_ms for step in steps]
        for index in reversed(range(len(steps))):
            for earlier in steps[index].after:
                through = steps[earlier].estimate_ms + tails[index]
                tails[earlier] = max(tails[earlier], through)
        return tuple(tails)

    def list_placed(self) -> list[Task]:
        """Return the tasks that have a place."""
        return [task for task in self.tasks.values() if task.is_placed]

    def list_gang(self, task: Task) -> list[Task]:
        """Return all tasks that only work together with this one."""
        return [
            member
            for key, member in self.tasks.items()
            if key.of_step == task.key.of_step
        ]

    def note_placed(self, task: Task) -> None:
        """Take a task out of those that wait."""
        self.waiting.pop(task.key, None)
        self.placed_count += 1

    def note_waiting(self, task: Task) -> None:
        """Put a task back to those that wait."""
        if not self.phase.is_final:
            self.waiting[task.key] = task

    def note_done(self, task: Task) -> None:
        """Count a task as done, and open the steps that it held up."""
        step = task.key.of_step
        self._left[step] -= 1
        if not self._left[step]:
            self._open_steps()

    @property
    def left_core_ms(self) -> float:
        """The estimated processor time of all tasks that aren't done."""
        steps = self.specification.steps
        return sum(
            count * steps[step].work_core_ms
            for (_, step), count in self._left.items()
        )

    @property
    def is_done(self) -> bool:
        """Whether no task is left."""
        return not any(self._left.values())

    def _count_left(self) -> dict[tuple[int, int], int]:
        left: dict[tuple[int, int], int] = {}
        for key, task in self.tasks.items():
            done = task.state.phase is record.TaskPhase.DONE
            left[key.of_step] = left.get(key.of_step, 0) + (not done)
        return left

    def _open_steps(self) -> None:
        if self.phase.is_final:
            return
        for key, task in self.tasks.items():
            if task.state.phase is not record.TaskPhase.WAITING:
                continue
            earlier = self.specification.steps[key.step].after
            if not any(self._left[key.occurrence, e] for e in earlier):
                self.waiting[key] = task

    def _list_keys(self) -> t.Iterator[record.TaskKey]:
        for occurrence in range(max(1, self.specification.occurrences)):
            for index, step in enumerate(self.specification.steps):
                for task in range(step.count):
                    yield record.TaskKey(occurrence, index, task)


class Board:
    """The leader's jobs by their ids.

    Attributes
    ----------
    changed : set of str
        Jobs whose progress has to be committed.
    broken : list of Task
        Tasks of gangs whose run ended without success; what else of the
        gang has a place waits in vain and has to be stopped.
    recalled : list of Task
        Tasks that an earlier run has done; their last one has a place
        and has to be stopped.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.changed: set[str] = set()
        self.broken: list[Task] = []
        self.recalled: list[Task] = []
        # Jobs with checkpoints that are not committed.
        self._unsaved: set[str] = set()
        # Cancels that came before their job was seen here.
        self._cancelled: set[str] = set()

    def add(self, job: Job) -> bool:
        """Take a job in; tell whether it is new."""
        if job.id in self.jobs:
            return False
        self.jobs[job.id] = job
        if job.id in self._cancelled:
            self.cancel(job.id)
        return True

    def find(self, name: str) -> Task | None:
        """Return a task by its full name."""
        parsed = record.parse_task_name(name)
        if parsed is None:
            return None
        job = self.jobs.get(parsed[0])
        return job.tasks.get(parsed[1]) if job else None

    def cancel(self, id: str) -> Job | None:
        """Cancel a job; return it unless it had ended before."""
        self._cancelled.add(id)
        job = self.jobs.get(id)
        if job is None or job.phase.is_final:
            return None
        self._finish(job, record.JobPhase.CANCELLED)
        return job

    def forget(self, id: str) -> None:
        """Drop a job that callers may no longer ask for."""
        self.jobs.pop(id, None)
        self._cancelled.discard(id)
        self.changed.discard(id)
        self._unsaved.discard(id)

    def note_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Note what a running task has saved."""
        if checkpoint == task.state.checkpoint:
            return
        task.state.checkpoint = checkpoint
        task.job.unsaved_work += task.step.size.millicores
        self._unsaved.add(task.job.id)

    def note_saved(self, job: Job) -> None:
        """Note that a job is being committed as it stands."""
        job.unsaved_work = 0
        self._unsaved.discard(job.id)

    def mark_unsaved(self, most: int) -> None:
        """Have the jobs committed whose checkpoints are worth most.

        Parameters
        ----------
        most : int
            How many jobs at the most.
        """
        worth = sorted(
            self._unsaved,
            key=lambda id: self.jobs[id].unsaved_work,
            reverse=True,
        )
        self.changed.update(worth[:most])

    def place(
        self, task: Task, instance: str, boot: str, number: int | None = None
    ) -> int:
        """Claim a task's next run for an instance; return its number.

        Parameters
        ----------
        task : Task
            A waiting task.
        instance, boot : str
            Where it is to run.
        number : int, optional
            The run's number, higher than any before; the next one if it
            is left out.
        """
        state = task.state
        state.phase = record.TaskPhase.PLACED
        state.run = number or state.run + 1
        state.instance = instance
        state.boot = boot
        state.earlier_done = False
        task.job.note_placed(task)
        task.job.progress.phase = record.JobPhase.ACTIVE
        self.changed.add(task.job.id)
        return state.run

    def note_end(
        self, task: Task, run: int, end: End, checkpoint: str, attempts: int
    ) -> bool:
        """Take a run's end in; tell whether it changed anything.

        Parameters
        ----------
        task : Task
            Whose run ended.
        run : int
            Which run; any but the last one claimed changes nothing.
        end : End
            How it ended.
        checkpoint : str
            What a next run resumes from; empty for none.
        attempts : int
            How often a task of this queue may fail.
        """
        state = task.state
        if state.phase is not record.TaskPhase.PLACED or state.run != run:
            return False
        self.changed.add(task.job.id)
        if checkpoint:
            state.checkpoint = checkpoint
        if state.earlier_done:
            self._mark_done([task])
            return True
        if end is End.DONE and not task.step.long_running:
            self._mark_done(_list_stood_for(task))
            return True
        state.phase = record.TaskPhase.WAITING
        task.job.placed_count -= 1
        task.job.note_waiting(task)
        if task.step.gang:
            self.broken.append(task)
        if end is End.FAILED:
            state.failures += 1
            task.avoid.add(state.instance)
            spent = _count_failures(task) >= attempts
            if spent and not task.step.long_running:
                self._fail(task.job)
        return True

    def note_late_done(self, task: Task, run: int) -> bool:
        """Take in that a run which was given up had done its work.

        A sidecar that is away for longer than a lease comes back with ends
        that nobody has heard of. Thrown away, they cost callers the whole
        work once more, and have it done twice where that does harm.

        A task that waits has no run left anywhere: each way back to
        waiting is an end that was seen, a start that was barred, or a lease
        that was waited out. So it is done. One that has a place may have
        begun again: its last run is recalled, and the task is done when
        that has ended, so that nothing of a complete job still runs.

        Parameters
        ----------
        task : Task
            Whose run has ended as done.
        run : int
            Which run; it is not the last one, or was given up.

        Returns
        -------
        bool
            Whether the task is done by it, now or with its last run's end.
        """
        state = task.state
        # Runs are claimed in the store before they are ordered, so that no
        # run of this job has a higher number than the record.
        claimed = 0 < run <= state.run
        over = task.job.phase.is_final or state.phase is record.TaskPhase.DONE
        if over or not claimed or task.step.long_running:
            return False
        self.changed.add(task.job.id)
        members = _list_stood_for(task)
        placed = [member for member in members if member.is_placed]
        for member in placed:
            member.state.earlier_done = True
        self.recalled += placed
        self._mark_done([m for m in members if not m.is_placed])
        return True

    def _mark_done(self, tasks: t.Iterable[Task]) -> None:
        """Count tasks as done, and their job as complete with the last."""
        for task in tasks:
            job = task.job
            if task.state.phase is record.TaskPhase.DONE:
                continue
            job.placed_count -= task.is_placed
            job.waiting.pop(task.key, None)
            task.state.phase = record.TaskPhase.DONE
            job.note_done(task)
            if job.is_done and not job.phase.is_final:
                self._finish(job, record.JobPhase.COMPLETE)

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of a queue have had no task started."""
        return sum(
            job.queue == queue and job.phase is record.JobPhase.QUEUED
            for job in self.jobs.values()
        )

    def _fail(self, job: Job) -> None:
        if not job.phase.is_final:
            self._finish(job, record.JobPhase.FAILED)

    def _finish(self, job: Job, phase: record.JobPhase) -> None:
        job.progress.phase = phase
        job.waiting.clear()
        job.progress.ended_ms = round(time.time() * _MILLISECONDS)
        self.changed.add(job.id)


def _list_stood_for(task: Task) -> list[Task]:
    """Return the tasks that a task's end speaks for: itself or its gang."""
    return task.job.list_gang(task) if task.step.gang else [task]


def _count_failures(task: Task) -> int:
    """Return how often a task, or the gang that it is of, has failed."""
    return sum(member.state.failures for member in _list_stood_for(task))
