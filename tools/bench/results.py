"""Measurements of one run of a scenario under one policy."""

import collections
import dataclasses

from hdrh import histogram

_MAX_MICROSECONDS = 120_000_000
_SIGNIFICANT_DIGITS = 3
_MICROSECONDS = 1e6


class Latencies:
    """A histogram of latencies in seconds."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS
        )

    def record(self, seconds: float) -> None:
        """Record one latency."""
        self._histogram.record_value(max(1, int(seconds * _MICROSECONDS)))

    def quantile(self, percent: float) -> float:
        """Return a percentile in seconds, or zero without values."""
        if not self._histogram.get_total_count():
            return 0.0
        value = self._histogram.get_value_at_percentile(percent)
        return value / _MICROSECONDS


@dataclasses.dataclass
class Run:
    """Counts and latencies of one run; only its summary is picklable.

    ``batch_work`` is progress in core-seconds. ``lost`` counts accepted
    work without an outcome, ``doubled`` work that ran on two instances
    simultaneously or ended twice. ``extras`` holds figures specific to a
    scenario.
    """

    latencies: Latencies = dataclasses.field(default_factory=Latencies)
    requests: int = 0
    answered: int = 0
    refused: int = 0
    batch_submitted: int = 0
    batch_finished: int = 0
    batch_work: float = 0.0
    evictions: int = 0
    throttles: int = 0
    doubled: int = 0
    lost: int = 0
    extras: dict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )

    def summarize(self) -> 'Summary':
        """Return the figures for the tables."""
        return Summary(
            p50=self.latencies.quantile(50),
            p99=self.latencies.quantile(99),
            p999=self.latencies.quantile(99.9),
            requests=self.requests,
            refused=self.refused,
            batch_finished=self.batch_finished,
            batch_work=self.batch_work,
            evictions=self.evictions,
            throttles=self.throttles,
            doubled=self.doubled,
            lost=self.lost,
            extras=dict(self.extras),
        )


@dataclasses.dataclass(frozen=True)
class Summary:
    """The figures of one run, with latencies in seconds."""

    p50: float
    p99: float
    p999: float
    requests: int
    refused: int
    batch_finished: int
    batch_work: float
    evictions: int
    throttles: int
    doubled: int
    lost: int
    extras: dict[str, float]
