"""The leader's state of an accepted job and its tasks."""

import dataclasses
import functools
import typing as t

from persimmonsail.jobs import record
from persimmonsail.jobs import specification as specification_module


@dataclasses.dataclass
class Task:
    """One task of a job: its stored record, and state that is not stored.

    Attributes
    ----------
    job : Job
        The job it belongs to.
    key : persimmonsail.jobs.record.TaskKey
        Its key within the job.
    step : persimmonsail.jobs.specification.Step
        Its requirements.
    state : persimmonsail.jobs.record.TaskRecord
        The part that is committed with the job.
    avoid : set of str
        Instances where it failed; others are tried first.
    not_before : float
        Earliest placement time, in seconds of the leader's clock.
    isolation_wait_since : float
        Since when it waits for an instance where it is isolated from other
        suspects; 0 if it doesn't wait.
    trial_obstacle : str
        What last prevented its isolated start; empty for nothing.
    refusals : int
        Number of consecutive refused starts.
    """

    job: 'Job'
    key: record.TaskKey
    step: specification_module.Step
    state: record.TaskRecord
    avoid: set[str] = dataclasses.field(default_factory=set)
    not_before: float = 0.0
    isolation_wait_since: float = 0.0
    trial_obstacle: str = ''
    refusals: int = 0

    @property
    def name(self) -> str:
        """The task's full name, unique across all jobs."""
        return f'{self.job.id}.{self.key}'

    @property
    def step_name(self) -> str:
        """The step's full name: job, occurrence and step."""
        return self.name.rpartition('.')[0]

    @property
    def is_placed(self) -> bool:
        """Whether an instance is claimed for its last run."""
        return self.state.phase is record.TaskPhase.PLACED

    @property
    def is_suspect(self) -> bool:
        """Whether it is suspected of crashing workers' agents."""
        crashes = self.state.crashes
        return crashes.count > 0 or (
            crashes.excused > 0 and not crashes.beside
        )

    @property
    def due_ms(self) -> int:
        """Earliest start time, in milliseconds since the epoch."""
        return self.job.specification.find_due_ms(self.key.occurrence)

    @property
    def objective_start_ms(self) -> int:
        """When its job's objective starts to apply to it."""
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
        # The committed phase; callers see no other.
        self.committed_phase = self.progress.phase
        self.tasks: dict[record.TaskKey, Task] = {}
        for key in self._list_keys():
            state = self.progress.tasks.setdefault(key, record.TaskRecord())
            step = specification.steps[key.step]
            self.tasks[key] = Task(self, key, step, state)
        self._remaining = self._count_remaining()
        # The tasks that can be placed now. Updated incrementally, since
        # scanning all tasks took a tenth of the leader's CPU.
        self.waiting: dict[record.TaskKey, Task] = {}
        # How many tasks are placed, and since when none has been, in seconds
        # of the leader's clock; 0 if unknown.
        self.placed_count = len(self.list_placed())
        self.idle_since = 0.0
        # How often in a row planning it has failed for an error, and when it
        # is tried again, in seconds of the leader's clock.
        self.planning_failures = 0
        self.plan_again_at = 0.0
        # The work in checkpoints since the last commit: the sum of the tasks'
        # millicores over all new checkpoints, which come at even intervals.
        self.uncommitted_work = 0
        self._open_steps()

    @property
    def phase(self) -> record.JobPhase:
        """The current phase; may not be committed yet."""
        return self.progress.phase

    @property
    def committed_state(self) -> record.JobState:
        """The committed state, as reported to callers."""
        failed = self.committed_phase is record.JobPhase.FAILED
        reason = self.progress.reason if failed else ''
        return record.JobState(self.committed_phase, reason)

    @functools.cached_property
    def remaining_path_ms(self) -> tuple[int, ...]:
        """For each step, the estimated time from its start to the job end."""
        steps = self.specification.steps
        tails = [step.estimate_ms for step in steps]
        for index in reversed(range(len(steps))):
            for predecessor in steps[index].after:
                path_ms = steps[predecessor].estimate_ms + tails[index]
                tails[predecessor] = max(tails[predecessor], path_ms)
        return tuple(tails)

    def list_placed(self) -> list[Task]:
        """Return the placed tasks."""
        return [task for task in self.tasks.values() if task.is_placed]

    def list_gang(self, task: Task) -> list[Task]:
        """Return all members of a task's gang, including itself."""
        return [
            member
            for key, member in self.tasks.items()
            if key.step_key == task.key.step_key
        ]

    def note_placed(self, task: Task) -> None:
        """Remove a task from the waiting ones."""
        self.waiting.pop(task.key, None)
        self.placed_count += 1

    def note_waiting(self, task: Task) -> None:
        """Return a task to the waiting ones."""
        if not self.phase.is_final:
            self.waiting[task.key] = task

    def note_done(self, task: Task) -> None:
        """Count a task as done, and open steps that depended on it."""
        step = task.key.step_key
        self._remaining[step] -= 1
        if not self._remaining[step]:
            self._open_steps()

    @property
    def remaining_core_ms(self) -> float:
        """The estimated CPU time of all tasks that aren't done."""
        steps = self.specification.steps
        return sum(
            count * steps[step].work_core_ms
            for (_, step), count in self._remaining.items()
        )

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return not any(self._remaining.values())

    def _count_remaining(self) -> dict[tuple[int, int], int]:
        remaining: dict[tuple[int, int], int] = {}
        for key, task in self.tasks.items():
            done = task.state.phase is record.TaskPhase.DONE
            remaining[key.step_key] = remaining.get(key.step_key, 0) + (
                not done
            )
        return remaining

    def _open_steps(self) -> None:
        if self.phase.is_final:
            return
        for key, task in self.tasks.items():
            if task.state.phase is not record.TaskPhase.WAITING:
                continue
            after = self.specification.steps[key.step].after
            if not any(
                self._remaining[key.occurrence, step] for step in after
            ):
                self.waiting[key] = task

    def _list_keys(self) -> t.Iterator[record.TaskKey]:
        for occurrence in range(max(1, self.specification.occurrences)):
            for index, step in enumerate(self.specification.steps):
                for task in range(step.count):
                    yield record.TaskKey(occurrence, index, task)
