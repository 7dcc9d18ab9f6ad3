"""Sizes and run times of tasks, learned from their actual usage.

Declared sizes and run times are often far off. Learned values are used
to estimate backlogs and to commit less or more than was declared. They
never overcommit an instance, because the sidecar checks these
commitments like any other.
"""

import dataclasses
import typing as t

from hdrh import histogram

from persimmonsail.decisions import admission

# Reports needed to commit more than declared; few, because too small a
# size overloads the instance immediately.
MIN_GROW_SAMPLES = 3
# Reports needed to commit less than declared; more, because it gives the
# declared capacity to others.
MIN_SHRINK_SAMPLES = 20
# Processors are compressible, so rare peaks are tolerable; memory is not.
CORES_PERCENTILE = 95
CORES_MARGIN = 1.1
MEMORY_MARGIN = 1.25
# At least this fraction of the declared size is committed.
MIN_DECLARED_FRACTION = 0.1

_SIGNIFICANT_DIGITS = 1
_MAX_STEPS = 10_000_000
_STEPS_PER_UNIT = 100
_STEPS_PER_SECOND = 1000
# Values in a window; the previous window still counts.
_WINDOW_SAMPLES = 256


class Quantiles:
    """Quantiles of the last one to two windows of values.

    Parameters
    ----------
    scale : int
        Steps per unit; values are accurate to about a twentieth.
    """

    def __init__(self, scale: int, window: int = _WINDOW_SAMPLES) -> None:
        self._scale = scale
        self._window = window
        self._current = self._make_histogram()
        self._previous = self._make_histogram()
        self._cache: dict[float, float] = {}

    def __len__(self) -> int:
        return (
            self._current.get_total_count() + self._previous.get_total_count()
        )

    def add(self, value: float) -> None:
        """Add a value; the oldest window expires, so that shifts show."""
        if self._current.get_total_count() >= self._window:
            self._previous, self._current = (
                self._current,
                self._make_histogram(),
            )
        self._cache.clear()
        steps = round(value * self._scale)
        self._current.record_value(min(max(steps, 1), _MAX_STEPS))

    def find(self, percentile: float) -> float:
        """Return a percentile; zero if there is no value."""
        if not len(self):
            return 0.0
        if percentile not in self._cache:
            merged = self._make_histogram()
            merged.add(self._previous)
            merged.add(self._current)
            steps = merged.get_value_at_percentile(percentile)
            self._cache[percentile] = steps / self._scale
        return self._cache[percentile]

    def _make_histogram(self) -> histogram.HdrHistogram:
        return histogram.HdrHistogram(1, _MAX_STEPS, _SIGNIFICANT_DIGITS)


@dataclasses.dataclass(frozen=True)
class Estimate:
    """A size to commit and its source.

    ``source`` is ``declared``, ``grown``, ``shrunk`` or ``clamped``.
    """

    size: admission.Size
    source: str
    samples: int


class _WorkloadHistory:
    def __init__(self) -> None:
        self.cores = Quantiles(_STEPS_PER_UNIT)
        self.memory_gb = Quantiles(_STEPS_PER_UNIT)
        self.seconds = Quantiles(_STEPS_PER_SECOND)


POLICIES: dict[str, type['Learner']] = {}


def register(name: str) -> t.Callable[[type], type]:
    """Add a learner class under a name."""

    def add(kind: type) -> type:
        POLICIES[name] = kind
        return kind

    return add


@register('quantiles')
class Learner:
    """Usage and run times of each workload, learned by this process."""

    def __init__(self) -> None:
        self._workloads: dict[str, _WorkloadHistory] = {}

    def note_usage(self, name: str, cores: float, memory_gb: float) -> None:
        """Record what one task of a workload used."""
        history = self._get_history(name)
        history.cores.add(cores)
        history.memory_gb.add(memory_gb)

    def note_run(self, name: str, seconds: float) -> None:
        """Record how long one task of a workload ran to completion."""
        self._get_history(name).seconds.add(seconds)

    def estimate_seconds(
        self, name: str, percentile: float, default: float
    ) -> float:
        """Return a percentile of run times, or the default if unknown."""
        history = self._workloads.get(name)
        if history is None or not len(history.seconds):
            return default
        return history.seconds.find(percentile)

    def estimate_size(
        self, name: str, declared: admission.Size, max_size: admission.Size
    ) -> Estimate:
        """Return the size to commit for a task.

        Parameters
        ----------
        name : str
            The workload.
        declared : admission.Size
            The size that the catalogue declares.
        max_size : admission.Size
            The most that tasks may use on any known instance. A learned
            size never makes a task unplaceable that fits as declared.
        """
        history = self._workloads.get(name)
        samples = len(history.cores) if history else 0
        if history is None or samples < MIN_GROW_SAMPLES:
            return Estimate(declared, 'declared', samples)
        cores = history.cores.find(CORES_PERCENTILE) * CORES_MARGIN
        memory_gb = history.memory_gb.find(100) * MEMORY_MARGIN
        size = admission.Size(
            _bound(cores, declared.cores, samples),
            _bound(memory_gb, declared.memory_gb, samples),
            declared.accelerators,
        )
        return _clamp(size, declared, max_size, samples)

    def _get_history(self, name: str) -> _WorkloadHistory:
        return self._workloads.setdefault(name, _WorkloadHistory())


@register('declared')
class DeclaredLearner(Learner):
    """Uses every size as declared; the baseline."""

    def estimate_size(
        self, name: str, declared: admission.Size, max_size: admission.Size
    ) -> Estimate:
        """Return the declared size."""
        return Estimate(declared, 'declared', 0)


def _bound(learned: float, declared: float, samples: int) -> float:
    if learned < declared and samples < MIN_SHRINK_SAMPLES:
        return declared
    return max(learned, declared * MIN_DECLARED_FRACTION)


def _clamp(
    size: admission.Size,
    declared: admission.Size,
    max_size: admission.Size,
    samples: int,
) -> Estimate:
    if not size.fits(max_size) and declared.fits(max_size):
        clamped = admission.Size(
            min(size.cores, max_size.cores),
            min(size.memory_gb, max_size.memory_gb),
            declared.accelerators,
        )
        return Estimate(clamped, 'clamped', samples)
    if size == declared:
        return Estimate(size, 'declared', samples)
    grown = size.cores > declared.cores or size.memory_gb > declared.memory_gb
    return Estimate(size, 'grown' if grown else 'shrunk', samples)
