"""The leader's view of each instance and of what runs there."""

import collections
import dataclasses
import enum
import functools
import math

from persimmonsail.jobs import specification


class RunPhase(enum.Enum):
    """How far the leader knows a run to be."""

    ORDERED = 'ordered'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclasses.dataclass(eq=False)
class Run:
    """One run that takes, or may take, room of an instance.

    Attributes
    ----------
    task : str
        The task's full name.
    number : int
        Which of the task's runs.
    boot : str
        The life of the worker's agent that it was claimed for.
    step : persimmonsail.jobs.specification.Step
        What the task needs.
    queue : str
        The job's queue.
    phase : RunPhase
        How far it is known to be.
    order : int
        The number of the orders that told its start or its stop; 0 for
        none by this leader.
    ordered_at, seen_at : float
        When the start was claimed, and when it was first seen running;
        0 before. Seconds of the leader's clock.
    due : float
        When its job's objective is missed, in seconds of the leader's
        clock; 0 if it has none.
    percent : float
        How much of its work is done; for a long-running task whether it
        is at work.
    moved_at : float
        When ``percent`` last rose.
    gauge : float
        Tail latency in milliseconds for a task that serves, else
        millicores in use.
    pace : int
        The share of its speed that it was told to work at.
    paced_at : float
        When it was told so; 0 for never.
    slow_since : float
        Since when that share has been low; 0 if it is not.
    over_since : float
        Since when it has been over its latency target; 0 if it is not.
    under_looks : int
        How many looks in a row it has been below it since.
    suspect : bool
        Whether crashes are held against its task.
    apart_seconds : float
        For how long nothing else is started beside it, if it is one that
        is kept apart.
    """

    task: str
    number: int
    boot: str
    step: specification.Step
    queue: str
    phase: RunPhase = RunPhase.ORDERED
    order: int = 0
    ordered_at: float = 0.0
    seen_at: float = 0.0
    due: float = 0.0
    percent: float = 0.0
    moved_at: float = 0.0
    gauge: float = 0.0
    pace: int = 100
    paced_at: float = 0.0
    slow_since: float = 0.0
    over_since: float = 0.0
    under_looks: int = 0
    suspect: bool = False
    apart_seconds: float = 0.0

    @property
    def serves(self) -> bool:
        """Whether the run has a latency target of its own."""
        return self.step.latency_target_ms > 0

    @functools.cached_property
    def step_name(self) -> str:
        """Names job, occurrence and step."""
        return self.task.rpartition('.')[0]


RunId = tuple[str, int]


@dataclasses.dataclass(eq=False)
class Instance:
    """One instance, found under its sidecar's address.

    Attributes
    ----------
    address : str
        Where its sidecar takes orders.
    name, zone : str
        From its registration.
    service, boot, rack, labels, capacity
        From its worker's agent; empty until that is known.
    leaving : bool
        Whether it gets no new work.
    gone_at : float
        When a leaving one may end; 0 if it is not known.
    attached : bool
        Whether this leader has a link to it.
    reported : bool
        Whether its sidecar has told over that link what runs and what has
        ended. Before that it gets nothing new: the work that it would get
        may be among the ends that the first report brings.
    trusted_until : float
        Until when its runs may hold leases, by whatever leader: runs may
        be started elsewhere only after it.
    silent_seconds : float
        For how long its worker's agent has not answered its sidecar.
    answered_at : float
        When that agent last answered, in seconds of the leader's clock.
    known : bool
        Whether its sidecar knows of a worker's agent at all.
    suspect_until : float
        Until when it gets no work after it failed what it ran.
    apart : Run, optional
        The last run beside which nothing else was to be started.
    cleared_for : str
        The suspect task that is to be tried here next; empty for none.
    cleared_until : float
        Until when nothing else is started here for its sake.
    committed : persimmonsail.jobs.specification.Size
        What all runs take, those that are being stopped too.
    processed : int
        The last end of this boot that was taken in.
    committed_end, acknowledged : int
        The last one that is committed, and told to the sidecar.
    version : int
        Rises with each change of its runs, or of what they report.
    """

    address: str
    name: str = ''
    zone: str = ''
    service: str = ''
    boot: str = ''
    rack: str = ''
    labels: tuple[str, ...] = ()
    capacity: specification.Size = specification.Size()
    leaving: bool = False
    gone_at: float = 0.0
    attached: bool = False
    reported: bool = False
    trusted_until: float = 0.0
    silent_seconds: float = 0.0
    answered_at: float = 0.0
    known: bool = True
    suspect_until: float = 0.0
    runs: dict[RunId, Run] = dataclasses.field(default_factory=dict)
    apart: Run | None = None
    cleared_for: str = ''
    cleared_until: float = 0.0
    committed: specification.Size = specification.Size()
    processed: int = 0
    committed_end: int = 0
    acknowledged: int = 0
    version: int = 0
    _counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add_run(self, run: Run) -> None:
        """Count a run, from its claim on."""
        self.drop_run((run.task, run.number))
        self.runs[run.task, run.number] = run
        self.committed = self.committed + run.step.committed
        self._counts[run.step_name] += 1
        self.version += 1

    def drop_run(self, key: RunId) -> Run | None:
        """Count a run no more; its room is free."""
        run = self.runs.pop(key, None)
        if run is not None:
            self.committed = self.committed - run.step.committed
            self._counts[run.step_name] -= 1
            if not self._counts[run.step_name]:
                del self._counts[run.step_name]
            self.version += 1
        return run

    def note_report(self) -> None:
        """Note that what it reports may have changed."""
        self.version += 1

    @property
    def free(self) -> specification.Size:
        """What is left of the capacity."""
        return self.capacity - self.committed

    @property
    def serving(self) -> list[Run]:
        """The runs that have a latency target."""
        return [run for run in self.runs.values() if run.serves]

    @property
    def fillers(self) -> list[Run]:
        """The runs that take what others leave unused."""
        return [r for r in self.runs.values() if r.step.best_effort_cpu]

    @property
    def suspects(self) -> int:
        """How many runs there crashes are held against."""
        return sum(run.suspect for run in self.runs.values())

    def is_reserved(self, now: float) -> bool:
        """Tell whether a suspect has, or is to have, this for itself."""
        if now < self.cleared_until:
            return True
        run = self.apart
        if run is None or self.runs.get((run.task, run.number)) is not run:
            return False
        return now - (run.seen_at or run.ordered_at) < run.apart_seconds

    def is_cleared_for(self, task: str, now: float) -> bool:
        """Tell whether this suspect is to be tried here next."""
        return now < self.cleared_until and self.cleared_for == task

    def measure_quiet(self, now: float) -> float:
        """Return for how many seconds nothing has begun here.

        What was ordered and not seen yet may begin at any moment.
        """
        began = [run.seen_at or now for run in self.runs.values()]
        return now - max(began, default=-math.inf)

    def count_step(self, step_name: str) -> int:
        """Return how many tasks of a step run here."""
        return self._counts[step_name]
