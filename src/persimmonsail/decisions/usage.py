"""Joins delayed usage reports with the tasks that ran in their window.

A worker's report arrives seconds after the window that it covers. By
then other tasks may run on the instance; attributing the measurement to
those would train the estimator on the wrong pair. So the sidecar keeps
a short history of which tasks ran when, and joins each report with the
part of it that falls into the report's window.
"""

import collections
import dataclasses
import typing as t

from persimmonsail import control_pb2
from persimmonsail.decisions import interference

HISTORY_SECONDS = 120.0
_MAX_LATENCIES = 8192
_MIN_WINDOW_SECONDS = 1e-3


@dataclasses.dataclass(frozen=True)
class ClassLatency:
    """Requests of one class that ended in a window."""

    workload: str
    count: int
    seconds: float

    @property
    def mean(self) -> float:
        """The mean service time in seconds."""
        return self.seconds / self.count if self.count else 0.0


@dataclasses.dataclass(frozen=True)
class Report:
    """What a worker measured between ``begin`` and ``end``.

    Times are on the sidecar's monotonic clock; ``cores`` maps tasks to
    their average cores in use and may lack some tasks.
    """

    begin: float
    end: float
    latencies: tuple[ClassLatency, ...]
    cores: t.Mapping[str, float]


class LatencyLog:
    """Service times of recent requests, kept for delayed reports."""

    def __init__(self) -> None:
        self._ended: collections.deque[tuple[float, str, float]] = (
            collections.deque(maxlen=_MAX_LATENCIES)
        )

    def note(self, workload: str, seconds: float, at: float) -> None:
        """Record a request that has ended."""
        self._ended.append((at, workload, seconds))

    def find(self, begin: float, end: float) -> tuple[ClassLatency, ...]:
        """Return the classes whose requests ended in a window."""
        counts: collections.Counter[str] = collections.Counter()
        sums: dict[str, float] = collections.defaultdict(float)
        for at, workload, seconds in self._ended:
            if begin <= at < end:
                counts[workload] += 1
                sums[workload] += seconds
        return tuple(
            ClassLatency(name, count, sums[name])
            for name, count in counts.items()
        )


@dataclasses.dataclass(frozen=True)
class TaskUsage:
    """A worker's measurement of one task in one window."""

    task: str
    workload: str
    cores: float
    speed: float
    active: bool


@dataclasses.dataclass(frozen=True)
class Window:
    """A worker's report; times are on the sidecar's clock."""

    sequence: int
    begin: float
    end: float
    tasks: tuple[TaskUsage, ...]


@dataclasses.dataclass
class _Segment:
    """An interval in which a task ran at constant speed."""

    task: str
    workload: str
    cores: float
    speed: float
    begin: float
    end: float | None = None

    def overlap(self, begin: float, end: float) -> float:
        latest = end if self.end is None else min(end, self.end)
        return max(0.0, latest - max(begin, self.begin))


class Timeline:
    """History of the tasks on one instance and their speeds.

    Parameters
    ----------
    cores : float
        The instance's processors.
    history_seconds : float, optional
        Seconds for which history is retained.
    """

    def __init__(
        self, cores: float, history_seconds: float = HISTORY_SECONDS
    ) -> None:
        self.history_seconds = history_seconds
        self._cores = cores
        self._running: dict[str, _Segment] = {}
        self._finished: collections.deque[_Segment] = collections.deque()

    def note_start(
        self, task: str, workload: str, cores: float, at: float
    ) -> None:
        """Record a task's start with its declared cores."""
        self.note_stop(task, at)
        self._running[task] = _Segment(task, workload, cores, 1.0, at)

    def note_speed(self, task: str, speed: float, at: float) -> None:
        """Record that a task was throttled or released."""
        previous = self._running.get(task)
        if previous is None or previous.speed == speed:
            return
        self.note_stop(task, at)
        self._running[task] = dataclasses.replace(
            previous, speed=speed, begin=at, end=None
        )

    def note_stop(self, task: str, at: float) -> None:
        """Record that a task has left the instance."""
        segment = self._running.pop(task, None)
        if segment is None:
            return
        segment.end = at
        self._finished.append(segment)
        while (
            self._finished
            and self._finished[0].end < at - self.history_seconds
        ):
            self._finished.popleft()

    def note_usage(self, task: str, cores: float) -> None:
        """Record the measured core usage of a running task."""
        segment = self._running.get(task)
        if segment is not None and segment.speed > 0:
            segment.cores = cores / segment.speed

    def sync(self, window: Window) -> None:
        """Update the history to a worker's report on a window."""
        reported = {use.task for use in window.tasks}
        for task in [name for name in self._running if name not in reported]:
            self.note_stop(task, window.begin)
        for use in window.tasks:
            if use.task not in self._running:
                full_speed_cores = (
                    use.cores / use.speed if use.speed else use.cores
                )
                self.note_start(
                    use.task, use.workload, full_speed_cores, window.begin
                )
            self.note_speed(use.task, use.speed, window.begin)
            if not use.active:
                self.note_stop(use.task, window.end)

    def list_tasks(self) -> list[tuple[str, str, float, float]]:
        """Return task, workload, share at full speed, and speed."""
        return [
            (s.task, s.workload, s.cores / self._cores, s.speed)
            for s in self._running.values()
        ]

    def find_shares(self) -> dict[str, float]:
        """Return the part of the cores currently used, by class."""
        shares: dict[str, float] = {}
        for _, workload, share, speed in self.list_tasks():
            shares[workload] = shares.get(workload, 0.0) + share * speed
        return shares

    def find_past_shares(
        self, begin: float, end: float, cores: t.Mapping[str, float]
    ) -> dict[str, float]:
        """Return the part of the cores used in a window, by class.

        Parameters
        ----------
        begin, end : float
            The window in seconds.
        cores : mapping of str to float
            Measured cores by task; tasks without a measurement count
            with their declared or last measured cores.
        """
        window_seconds = max(end - begin, _MIN_WINDOW_SECONDS)
        shares: dict[str, float] = {}
        for segment in (*self._finished, *self._running.values()):
            part = segment.overlap(begin, end) / window_seconds
            if part <= 0:
                continue
            used = cores.get(segment.task, segment.cores * segment.speed)
            share = part * used / self._cores
            shares[segment.workload] = (
                shares.get(segment.workload, 0.0) + share
            )
        return shares


class Joiner:
    """Converts one instance's delayed reports into samples.

    ``lag`` is the age of the last report on arrival, in seconds;
    ``dropped`` counts reports that are older than the history.
    """

    def __init__(self, timeline: Timeline, slots: int) -> None:
        self.lag = 0.0
        self.dropped = 0
        self.demand: dict[str, float] = {}
        self._timeline = timeline
        self._slots = slots

    def join(self, report: Report, now: float) -> list[interference.Sample]:
        """Return one sample for each class with requests in a report."""
        if report.begin < now - self._timeline.history_seconds:
            self.dropped += 1
            return []
        self.lag = now - report.end
        shares = self._timeline.find_past_shares(
            report.begin, report.end, report.cores
        )
        for task, cores in report.cores.items():
            self._timeline.note_usage(task, cores)
        window_seconds = max(report.end - report.begin, _MIN_WINDOW_SECONDS)
        self.demand = {
            latency.workload: latency.seconds / (window_seconds * self._slots)
            for latency in report.latencies
        }
        busy = sum(self.demand.values())
        return [
            interference.Sample(
                latency.workload,
                latency.mean,
                latency.count,
                shares,
                busy,
                report.end,
            )
            for latency in report.latencies
            if latency.count
        ]


def describe_shares(
    shares: t.Mapping[str, float],
) -> list[control_pb2.ClassShare]:
    """Return the protocol messages; parts are rounded to 1/100."""
    return [
        control_pb2.ClassShare(workload=name, part=round(part, 2))
        for name, part in sorted(shares.items())
    ]


def read_shares(
    shares: t.Iterable[control_pb2.ClassShare],
) -> dict[str, float]:
    """Return the shares from protocol messages."""
    return {share.workload: share.part for share in shares}


def describe_sample(
    sample: interference.Sample, now: float
) -> control_pb2.InterferenceSample:
    """Return the protocol message of a sample, with its age."""
    return control_pb2.InterferenceSample(
        victim=sample.victim,
        seconds=sample.seconds,
        count=sample.count,
        shares=describe_shares(sample.shares),
        busy=sample.busy,
        age_seconds=now - sample.measured_at,
    )


def read_sample(
    message: control_pb2.InterferenceSample, now: float
) -> interference.Sample:
    """Return a sample; its age is subtracted from this clock's time."""
    return interference.Sample(
        message.victim,
        message.seconds,
        message.count,
        read_shares(message.shares),
        message.busy,
        now - message.age_seconds,
    )
