"""The leader's view of each instance and of its runs."""

import collections
import dataclasses
import enum
import functools
import math

from persimmonsail.jobs import specification


class RunPhase(enum.Enum):
    """The phase of a run, as far as the leader knows."""

    ORDERED = 'ordered'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclasses.dataclass(eq=False)
class Run:
    """One run that takes, or may take, capacity of an instance.

    Attributes
    ----------
    task : str
        The task's full name.
    number : int
        The number of this run of the task.
    boot : str
        The boot of the worker's agent that it was claimed for.
    step : persimmonsail.jobs.specification.Step
        The task's requirements.
    queue : str
        The job's queue.
    phase : RunPhase
        Its last known phase.
    order : int
        The sequence number of the orders with its start or its stop; 0 for
        none by this leader.
    ordered_at, observed_at : float
        When the start was claimed, and when the run was first observed
        running; 0 before. Seconds of the leader's clock.
    due_at : float
        When its job's objective is missed, in seconds of the leader's
        clock; 0 if it has none.
    percent : float
        Progress in percent; for a long-running task whether it is
        working.
    progressed_at : float
        When ``percent`` last changed.
    gauge : float
        Tail latency in milliseconds for a serving task, else millicores
        in use.
    speed_limit : int
        The speed limit that was last ordered, in percent.
    speed_limit_known : bool
        Whether this leader ordered it. A run that another leader started
        has some other limit until the first order.
    speed_limit_at : float
        When the speed limit was last ordered; 0 for never.
    throttled_since : float
        Since when the speed limit has been low; 0 if it is not.
    over_target_since : float
        Since when it has been over its latency target; 0 if it is not.
    reports_within_target : int
        Number of consecutive reports since then with the gauge within
        the target.
    suspect : bool
        Whether its task is a crash suspect.
    isolation_seconds : float
        For how long nothing else is started on its instance, if it is
        isolated.
    trial_seconds : float
        How long after its start a crash of its task is expected; 0 if it is
        not suspected of any.
    """

    task: str
    number: int
    boot: str
    step: specification.Step
    queue: str
    phase: RunPhase = RunPhase.ORDERED
    order: int = 0
    ordered_at: float = 0.0
    observed_at: float = 0.0
    due_at: float = 0.0
    percent: float = 0.0
    progressed_at: float = 0.0
    gauge: float = 0.0
    speed_limit: int = 100
    speed_limit_known: bool = True
    speed_limit_at: float = 0.0
    throttled_since: float = 0.0
    over_target_since: float = 0.0
    reports_within_target: int = 0
    suspect: bool = False
    isolation_seconds: float = 0.0
    trial_seconds: float = 0.0

    @property
    def id(self) -> tuple[str, int]:
        """The task's full name and the run's number."""
        return (self.task, self.number)

    @property
    def serves(self) -> bool:
        """Whether the run has a latency target of its own."""
        return self.step.latency_target_ms > 0

    @functools.cached_property
    def step_name(self) -> str:
        """The name of job, occurrence and step."""
        return self.task.rpartition('.')[0]


RunId = tuple[str, int]


@dataclasses.dataclass(eq=False)
class Instance:
    """One instance, identified by its sidecar's address.

    Attributes
    ----------
    address : str
        The address where its sidecar accepts orders.
    name, zone : str
        From its registration.
    service, boot, rack, labels, capacity
        From its worker's agent; empty until that is known.
    leaving : bool
        Whether it is draining and gets no new work.
    deferred : bool
        Whether its worker's agent has just restarted and gets no work yet.
    evacuated : bool
        Whether operators have evacuated its zone: it gets no new work.
    departs_at : float
        When a leaving one may end; 0 if it is not known.
    attached : bool
        Whether this leader has a link to it.
    has_reported : bool
        Whether its sidecar has reported all running and ended runs over
        that link. Before that it gets nothing new, since the work that it
        would get may be among the ends in the first report.
    leases_until : float
        Time up to which its runs may hold leases that this leader has
        allowed.
    inherits_leases : bool
        Whether they may hold leases that earlier leaders have allowed.
    silent_seconds : float
        For how long its worker's agent has not answered its sidecar.
    answered_at : float
        When that agent last answered, in seconds of the leader's clock.
    has_agent : bool
        Whether its sidecar knows a worker's agent.
    suspect_until : float
        Time up to which it gets no work because its runs have failed, or
        its agent has refused starts.
    refusals : int
        How often its agent has refused starts since it last accepted one.
    isolated_run : Run, optional
        The last run that was isolated here.
    reserved_for : str
        The crash suspect that the instance is reserved for; empty for
        none.
    reserved_until : float
        Time up to which it is reserved.
    committed : persimmonsail.jobs.specification.Size
        The capacity that all runs take, including stopping ones.
    processed_end : int
        The last end of this boot that was processed.
    committed_end, acknowledged : int
        The last end that is committed, and acknowledged to the sidecar.
    version : int
        Rises with each change of its runs or of their reports.
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
    deferred: bool = False
    evacuated: bool = False
    departs_at: float = 0.0
    attached: bool = False
    has_reported: bool = False
    leases_until: float = 0.0
    inherits_leases: bool = False
    silent_seconds: float = 0.0
    answered_at: float = 0.0
    has_agent: bool = True
    suspect_until: float = 0.0
    refusals: int = 0
    runs: dict[RunId, Run] = dataclasses.field(default_factory=dict)
    isolated_run: Run | None = None
    reserved_for: str = ''
    reserved_until: float = 0.0
    committed: specification.Size = specification.Size()
    processed_end: int = 0
    committed_end: int = 0
    acknowledged: int = 0
    version: int = 0
    _step_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add_run(self, run: Run) -> None:
        """Add a claimed run and its committed capacity."""
        self.drop_run((run.task, run.number))
        self.runs[run.task, run.number] = run
        self.committed = self.committed + run.step.committed
        self._step_counts[run.step_name] += 1
        self.version += 1

    def drop_run(self, key: RunId) -> Run | None:
        """Remove a run and free its capacity."""
        run = self.runs.pop(key, None)
        if run is not None:
            self.committed = self.committed - run.step.committed
            self._step_counts[run.step_name] -= 1
            if not self._step_counts[run.step_name]:
                del self._step_counts[run.step_name]
            self.version += 1
        return run

    def note_report(self) -> None:
        """Record that its reported state may have changed."""
        self.version += 1

    @property
    def free(self) -> specification.Size:
        """The free capacity."""
        return self.capacity - self.committed

    @property
    def serving(self) -> list[Run]:
        """The runs with a latency target."""
        return [run for run in self.runs.values() if run.serves]

    @property
    def best_effort_runs(self) -> list[Run]:
        """The best-effort runs, which use spare capacity."""
        return [r for r in self.runs.values() if r.step.best_effort_cpu]

    @property
    def suspect_count(self) -> int:
        """The number of runs whose task is a crash suspect."""
        return sum(run.suspect for run in self.runs.values())

    def count_trials(self, now: float) -> int:
        """Return the number of runs that may be about to crash the agent."""
        return sum(
            now - (run.observed_at or now) < run.trial_seconds
            for run in self.runs.values()
        )

    def is_reserved(self, now: float) -> bool:
        """Return whether a crash suspect has or awaits it exclusively."""
        if now < self.reserved_until:
            return True
        run = self.isolated_run
        if run is None or self.runs.get((run.task, run.number)) is not run:
            return False
        return (
            now - (run.observed_at or run.ordered_at) < run.isolation_seconds
        )

    def is_reserved_for(self, task: str, now: float) -> bool:
        """Return whether it is reserved for this crash suspect."""
        return now < self.reserved_until and self.reserved_for == task

    def measure_seconds_since_start(self, now: float) -> float:
        """Return the seconds since the last start of a run.

        A run that was ordered and not yet observed may start at any time.
        """
        began = [run.observed_at or now for run in self.runs.values()]
        return now - max(began, default=-math.inf)

    def count_step(self, step_name: str) -> int:
        """Return the number of the step's tasks that run here."""
        return self._step_counts[step_name]
