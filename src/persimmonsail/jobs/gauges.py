"""Fullness of serving tasks and best-effort usage, as read from gauges.

A gauge is a tail latency over half a second. It is noisy, follows its causes
with a delay, and carries no information beyond a certain value.
"""

import collections
import dataclasses
import math
import statistics
import typing as t

from persimmonsail.jobs import instances

# Fullness is 1 where a gauge is infinite and 0 where it is this share of the
# target. It is only a unit: with another one, loads, limits and coefficients
# scale alike. With a quarter, coefficients are about as large as in units of
# the load that a task tolerates without interference.
ZERO_FULLNESS_RATIO = 0.25
# Delay with which a tail latency follows its causes, since requests that
# already wait are served first.
_LAG_SECONDS = 0.6
# Smaller shares of an instance are negligible.
_MIN_SHARE = 0.002
# Above this fullness a gauge is saturated.
MAX_FULLNESS = 0.93
# Relative standard deviation of a gauge.
_GAUGE_NOISE = 0.15
# Uncertainty of the interference, for each share of an instance that
# best-effort work occupied or released recently.
_CHANGE_UNCERTAINTY = 1.0
# Errors of successive gauges are correlated, so each carries less information
# than its variance alone suggests.
_MIN_VARIANCE = 0.05**2

Shares = t.Mapping[str, float]


@dataclasses.dataclass
class Sample:
    """One step's gauges on one instance.

    ``interference`` is the sum over all shares by the coefficients of
    ``generation``; it is computed again when these have changed.
    """

    read_at: float
    fullness: float
    shares: Shares
    recent_change: float
    interference: float = 0.0
    generation: int = -1


@dataclasses.dataclass(frozen=True)
class FilteredUsage:
    """Best-effort usage of an instance, filtered with the gauges' delay."""

    read_at: float
    shares: Shares
    recent_change: float


class UsageFilter:
    """Tracks each instance's best-effort usage with the gauges' delay."""

    def __init__(self) -> None:
        self._last: dict[str, FilteredUsage] = {}

    def update(
        self, instance: instances.Instance, now: float
    ) -> FilteredUsage:
        """Return an instance's usage as delayed as its gauges show it."""
        shares = measure_shares(instance)
        current = shares
        previous = self._last.get(instance.address)
        if previous is not None and now > previous.read_at:
            elapsed = now - previous.read_at
            decay = math.exp(-elapsed / _LAG_SECONDS)
            shares = {
                name: decay * previous.shares.get(name, 0.0)
                + (1 - decay) * shares.get(name, 0.0)
                for name in shares.keys() | previous.shares.keys()
            }
            shares = {n: s for n, s in shares.items() if s > _MIN_SHARE}
        recent_change = sum(
            abs(current.get(name, 0.0) - shares.get(name, 0.0))
            for name in current.keys() | shares.keys()
        )
        usage = FilteredUsage(now, shares, recent_change)
        self._last[instance.address] = usage
        return usage


def read(instance: instances.Instance) -> dict[tuple[str, str], float]:
    """Return the fullness of each image in each step."""
    ratios = collections.defaultdict(list)
    for run in instance.serving:
        if run.phase is instances.RunPhase.RUNNING and run.gauge > 0:
            ratio = run.gauge / run.step.latency_target_ms
            ratios[run.step.image, run.step_name].append(ratio)
    # Single gauges are sometimes off by half.
    return {
        key: 1 - ZERO_FULLNESS_RATIO / statistics.median_low(values)
        for key, values in ratios.items()
    }


def measure_variance(first: Sample, second: Sample) -> float:
    """Return the variance of the difference of two gauges.

    The noise of a gauge is relative to its value, so fullness varies more the
    less full a task is. Recent changes of best-effort usage may or may not
    show yet.
    """
    variance = 0.0
    for sample in (first, second):
        variance += (_GAUGE_NOISE * (1 - sample.fullness)) ** 2
        variance += (_CHANGE_UNCERTAINTY * sample.recent_change) ** 2
    return variance + _MIN_VARIANCE


def measure_shares(instance: instances.Instance) -> dict[str, float]:
    """Return the shares of an instance that best-effort images use."""
    shares: dict[str, float] = collections.defaultdict(float)
    capacity = max(instance.capacity.millicores, 1)
    for run in instance.best_effort_runs:
        if run.phase is instances.RunPhase.RUNNING and run.gauge > 0:
            shares[run.step.image] += run.gauge / capacity
    return dict(shares)
