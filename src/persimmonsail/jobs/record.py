"""The store's keys, and the stored form of jobs and their progress."""

import dataclasses
import enum
import functools
import typing as t

import pydantic

from persimmonsail.jobs import boots
from persimmonsail.jobs import queues
from persimmonsail.jobs import specification as specification_module

# Keys and key prefixes in the store. Entries write below the inbox; only
# the leader writes progress.
INBOX = 'inbox/'
JOBS = INBOX + 'job/'
CANCELS = INBOX + 'cancel/'
INSTANCES = INBOX + 'instance/'
PROGRESS = 'progress/'
# Jobs that were rejected and may be submitted again.
REJECTIONS = 'rejected/'
LEADER = 'leader'
HEAD = 'head'
# The entries that may confirm the leader while the store is unavailable.
ELECTORATE = 'electorate'
LEARNED_STATE = 'knowledge'
CAPACITIES = 'capacities'
# Each report names all running tasks; a fleet of the size designed for runs
# 17,300 tasks at a time.
_PARSE_CACHE_SIZE = 1 << 15


class JobPhase(enum.StrEnum):
    """A job's phase; the last three are final."""

    QUEUED = 'queued'
    ACTIVE = 'active'
    COMPLETE = 'complete'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Whether the job has ended."""
        return self not in (JobPhase.QUEUED, JobPhase.ACTIVE)


@dataclasses.dataclass(frozen=True)
class JobState:
    """A job's state as reported to callers.

    Attributes
    ----------
    phase : JobPhase
        The job's phase.
    reason : str
        Why the job failed; empty if it didn't.
    """

    phase: JobPhase
    reason: str = ''


class TaskPhase(enum.StrEnum):
    """A task's phase."""

    WAITING = 'waiting'
    PLACED = 'placed'
    DONE = 'done'


class TaskKey(t.NamedTuple):
    """Identifies a task within its job."""

    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f'{self.occurrence}.{self.step}.{self.index}'

    @property
    def step_key(self) -> tuple[int, int]:
        """Occurrence and step, shared by all tasks of one step."""
        return self.occurrence, self.step


@functools.lru_cache(_PARSE_CACHE_SIZE)
def parse_task_name(name: str) -> tuple[str, TaskKey] | None:
    """Return job and key of a task's full name; None if it is invalid."""
    job, _, rest = name.partition('.')
    parts = rest.split('.')
    if len(parts) != 3 or not all(part.isdecimal() for part in parts):
        return None
    return job, TaskKey(*(int(part) for part in parts))


class Crashes(t.NamedTuple):
    """Evidence against a task whose workers' agents crashed during its runs.

    Attributes
    ----------
    count : int
        Number of consecutive counted crashes.
    longest_ms : int
        The longest time from a start to the crash, among the counted and
        the excused ones.
    run : int
        The last run whose crash was evaluated.
    apart : bool
        Whether the last run was isolated from other suspects.
    proofs : int
        How many of the crashes were hardly caused by another task: this one
        was isolated, or no other task present had as many crashes before.
    excused : int
        How many crashes were not counted, since many agents crashed
        simultaneously.
    beside : bool
        Whether the next run may be colocated with others all the same.
    """

    count: int = 0
    longest_ms: int = 0
    run: int = 0
    apart: bool = False
    proofs: int = 0
    excused: int = 0
    beside: bool = False

    @property
    def total(self) -> int:
        """Number of consecutive crashes, including excused ones."""
        return self.count + self.excused


@dataclasses.dataclass
class TaskRecord:
    """A task's stored state.

    Attributes
    ----------
    phase : TaskPhase
        Whether it waits, is placed, or is done.
    run : int
        The number of its last run; 0 before the first.
    instance, boot : str
        Where that run is placed: the instance's address, and the
        incarnation of its worker's agent.
    failures : int
        Number of failed runs. A run of a gang counts once, for the member
        whose failure was noted first.
    failed_run : int
        The last run that failed; 0 for none.
    checkpoint : str
        The newest reported checkpoint; empty for none.
    earlier_done : bool
        Whether a run before the last one completed the task: the last run
        is stopped, and the task is done as soon as it has ended.
    crashes : Crashes
        Evidence of crashes that it may have caused.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    instance: str = ''
    boot: str = ''
    failures: int = 0
    checkpoint: str = ''
    earlier_done: bool = False
    crashes: Crashes = Crashes()
    failed_run: int = 0


class _Row(t.NamedTuple):
    key: str
    phase: TaskPhase
    run: int
    instance: str
    # The agent's id alone: earlier versions compare it with a report's.
    boot: str
    failures: int
    checkpoint: str
    # Missing in rows written by an earlier version.
    earlier_done: bool = False


class _StoredProgress(pydantic.BaseModel):
    phase: JobPhase
    ended_ms: int
    tasks: list[_Row]
    # By task key, only for the few tasks with crashes. Missing, like the
    # reason, in progress written by an earlier version.
    crashes: dict[str, Crashes] = {}
    reason: str = ''
    # By task key, when the boot of a placed task was born, in ms since the
    # epoch. Missing if its agent has not reported it.
    born_ms: dict[str, int] = {}
    # By task key, the last run that failed. Missing in progress written by
    # an earlier version.
    failed_runs: dict[str, int] = {}


class StoredSubmission(pydantic.BaseModel):
    """An accepted job as written to the inbox by an entry.

    Attributes
    ----------
    queue : str
        Its queue's name.
    accepted_ms : int
        When it was accepted, in milliseconds since the epoch.
    specification : object
        The encoded specification.
    terms : persimmonsail.jobs.queues.Queue
        The queue's configuration at that time: a newly started leader may
        have no configuration yet, or one without the queue.
    """

    queue: str
    accepted_ms: int
    specification: t.Any
    terms: queues.Queue | None = None

    def read_specification(self) -> specification_module.Specification:
        """Return the decoded specification."""
        return specification_module.decode(self.specification)


class StoredCancel(pydantic.BaseModel):
    """A job's cancel marker as written to the inbox by an entry.

    Attributes
    ----------
    cancelled_ms : int
        When it was cancelled, in milliseconds since the epoch; 0 in
        markers written by an earlier version.
    """

    cancelled_ms: int = 0


class StoredInstance(pydantic.BaseModel):
    """A sidecar's instance as written to the inbox, keyed by address."""

    name: str
    zone: str


@dataclasses.dataclass
class Progress:
    """A job's phase and its tasks' states.

    Attributes
    ----------
    phase : JobPhase
        The job's phase.
    ended_ms : int
        When it ended, in milliseconds since the epoch; 0 before.
    reason : str
        Why it failed; empty if it didn't.
    tasks : dict of TaskKey to TaskRecord
        Tasks without a record may be missing.
    """

    phase: JobPhase = JobPhase.QUEUED
    ended_ms: int = 0
    reason: str = ''
    tasks: dict[TaskKey, TaskRecord] = dataclasses.field(default_factory=dict)

    def encode(self) -> str:
        """Return the stored text; tasks of an ended job are omitted.

        They are not read any more, and a new leader reads every text before
        it places anything: 6 KB for a job of 80 tasks, and most jobs have
        ended.
        """
        tasks = {} if self.phase.is_final else self.tasks
        born_ms = {}
        rows = []
        for key, task in tasks.items():
            agent_id, born = boots.split(task.boot)
            if born and task.phase is TaskPhase.PLACED:
                born_ms[str(key)] = born
            row = _Row(
                str(key),
                task.phase,
                task.run,
                task.instance,
                agent_id,
                task.failures,
                task.checkpoint,
                task.earlier_done,
            )
            rows.append(row)
        crashes = {
            str(key): task.crashes
            for key, task in tasks.items()
            if task.crashes != Crashes()
        }
        failed_runs = {
            str(key): task.failed_run
            for key, task in tasks.items()
            if task.failed_run
        }
        return _StoredProgress(
            phase=self.phase,
            ended_ms=self.ended_ms,
            tasks=rows,
            crashes=crashes,
            reason=self.reason,
            born_ms=born_ms,
            failed_runs=failed_runs,
        ).model_dump_json(exclude_defaults=True)


def decode_progress(text: str) -> Progress:
    """Decode a text returned by ``Progress.encode``.

    Raises
    ------
    ValueError
        If the text is invalid.
    """
    stored = _StoredProgress.model_validate_json(text)
    tasks = {}
    for name, *state in stored.tasks:
        key = TaskKey(*(int(part) for part in name.split('.')))
        crashes = stored.crashes.get(name, Crashes())
        failed_run = stored.failed_runs.get(name, 0)
        task = TaskRecord(*state, crashes=crashes, failed_run=failed_run)
        task.boot = boots.join(task.boot, stored.born_ms.get(name, 0))
        tasks[key] = task
    return Progress(stored.phase, stored.ended_ms, stored.reason, tasks)


def decode_state(text: str) -> JobState:
    """Decode only the state that is reported to callers."""
    stored = _StoredProgress.model_validate_json(text)
    return JobState(stored.phase, stored.reason)
