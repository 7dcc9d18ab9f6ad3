"""Hedging of idempotent quick requests with a second attempt."""

import abc
import collections
import typing as t

from hdrh import histogram

_MIN_LATENCY_MS = 1
_MAX_LATENCY_MS = 60_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILE = 95.0
_MIN_SAMPLES = 20
_ROTATION_SAMPLES = 1000
_MAX_WORKLOADS = 256

POLICIES: dict[str, t.Callable[[], 'Hedging']] = {}


def register(name: str) -> t.Callable[[type], type]:
    """Add a hedging policy under a name."""

    def add(cls: type) -> type:
        POLICIES[name] = cls
        return cls

    return add


class Hedging(abc.ABC):
    """Derives hedging delays from the latencies of workloads."""

    @abc.abstractmethod
    def note_latency(self, workload: str, seconds: float) -> None:
        """Record the latency of one answered request."""

    @abc.abstractmethod
    def find_delay(self, workload: str) -> float | None:
        """Return the seconds after which to hedge; none for never."""


class _LatencyWindow:
    """Recent latencies of one workload, in two rotating histograms."""

    def __init__(self) -> None:
        self._current = _make_histogram()
        self._previous: histogram.HdrHistogram | None = None

    def record(self, milliseconds: int) -> None:
        """Record one latency."""
        self._current.record_value(milliseconds)
        if self._current.get_total_count() >= _ROTATION_SAMPLES:
            self._previous = self._current
            self._current = _make_histogram()

    def find_percentile(self, percentile: float) -> float | None:
        """Return a percentile in seconds; none with too few samples."""
        selected = self._current
        if (
            selected.get_total_count() < _MIN_SAMPLES
            and self._previous is not None
        ):
            selected = self._previous
        if selected.get_total_count() < _MIN_SAMPLES:
            return None
        return selected.get_value_at_percentile(percentile) / 1000


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        _MIN_LATENCY_MS, _MAX_LATENCY_MS, _SIGNIFICANT_DIGITS
    )


@register('percentile')
class PercentileHedging(Hedging):
    """Hedges requests that take longer than a high percentile."""

    def __init__(self, percentile: float = _PERCENTILE) -> None:
        self._percentile = percentile
        self._latencies: collections.OrderedDict[str, _LatencyWindow] = (
            collections.OrderedDict()
        )

    def note_latency(self, workload: str, seconds: float) -> None:
        """See ``Hedging.note_latency``."""
        if workload not in self._latencies:
            self._latencies[workload] = _LatencyWindow()
        self._latencies.move_to_end(workload)
        milliseconds = max(round(seconds * 1000), _MIN_LATENCY_MS)
        self._latencies[workload].record(milliseconds)
        if len(self._latencies) > _MAX_WORKLOADS:
            self._latencies.popitem(last=False)

    def find_delay(self, workload: str) -> float | None:
        """See ``Hedging.find_delay``."""
        latencies = self._latencies.get(workload)
        return latencies and latencies.find_percentile(self._percentile)


@register('never')
class NoHedging(Hedging):
    """Never sends a second attempt."""

    def note_latency(self, workload: str, seconds: float) -> None:
        """See ``Hedging.note_latency``."""

    def find_delay(self, workload: str) -> float | None:
        """See ``Hedging.find_delay``."""
        return None
