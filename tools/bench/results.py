"""What one run of a scenario under one policy has measured."""

import collections
import dataclasses

from hdrh import histogram

_HIGHEST_MICROSECONDS = 120_000_000
_DIGITS = 3
_MICROSECONDS = 1e6


class Latencies:
    """A histogram of latencies in seconds."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            1, _HIGHEST_MICROSECONDS, _DIGITS
        )

    def record(self, seconds: float) -> None:
        """Note one request's latency."""
        self._histogram.record_value(max(1, int(seconds * _MICROSECONDS)))

    def quantile(self, percent: float) -> float:
        """Return a percentile in seconds; zero without values."""
        if not self._histogram.get_total_count():
            return 0.0
        value = self._histogram.get_value_at_percentile(percent)
        return value / _MICROSECONDS


@dataclasses.dataclass
class Run:
    """Counts and latencies of one run; picklable once summarized.

    ``batch_work`` is in core-seconds of progress. ``lost`` counts
    accepted work without any outcome, ``doubled`` work that ran in two
    places at once or ended twice. ``extras`` holds figures that only
    one scenario has.
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
        """Return the figures that the tables show."""
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
    """The figures of one run; latencies in seconds."""

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
