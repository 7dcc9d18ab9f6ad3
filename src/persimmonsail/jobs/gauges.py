"""What gauges tell: how full serving tasks are, and what presses on them.

A gauge is a tail latency over half a second. It scatters, follows what
causes it with a delay, and tells nothing beyond a certain height.
"""

import collections
import dataclasses
import math
import statistics
import typing as t

from persimmonsail.jobs import instances

# Fullness is 1 where a gauge is infinite and 0 where it is this part of
# the target. It is a unit only: with another one, loads, limits and
# coefficients grow alike. With a quarter, coefficients are about as large
# as in units of what a task bears by itself.
UNIT_PART = 0.25
# A tail latency follows what causes it with about this delay, since the
# requests that wait already are served first (emulator, 28 drawn
# deployments with 0.15 to 0.9 s: worth 0.015 less with 0.35).
_LAG_SECONDS = 0.6
# A part of an instance that is smaller than this is as good as none.
_LEAST_PART = 0.002
# Fuller than this a gauge says nothing more than "too full".
FULL = 0.93
# Gauges scatter by this part of their value.
_GAUGE_NOISE = 0.15
# What presses on a task changes by so much for each part of an instance
# that best-effort work took or left a moment ago.
_CHANGE_DOUBT = 1.0
# Neighbouring gauges scatter alike, so each tells less than it seems to.
_LEAST_VARIANCE = 0.05**2

Parts = t.Mapping[str, float]


@dataclasses.dataclass
class Sample:
    """One step's gauges on one instance.

    ``pressure`` is what the parts press by the coefficients of
    ``generation``; it is summed up again when these have changed.
    """

    read_at: float
    fullness: float
    parts: Parts
    changed: float
    pressure: float = 0.0
    generation: int = -1


@dataclasses.dataclass(frozen=True)
class Pressed:
    """What presses on an instance, followed with the gauges' delay."""

    read_at: float
    parts: Parts
    changed: float


class Pressing:
    """Follows what presses on each instance with the gauges' delay."""

    def __init__(self) -> None:
        self._last: dict[str, Pressed] = {}

    def follow(self, instance: instances.Instance, now: float) -> Pressed:
        """Return what presses on an instance, as late as gauges tell it."""
        parts = measure_parts(instance)
        current = parts
        before = self._last.get(instance.address)
        if before is not None and now > before.read_at:
            passed = now - before.read_at
            kept = math.exp(-passed / _LAG_SECONDS)
            parts = {
                name: kept * before.parts.get(name, 0.0)
                + (1 - kept) * parts.get(name, 0.0)
                for name in parts.keys() | before.parts.keys()
            }
            parts = {n: p for n, p in parts.items() if p > _LEAST_PART}
        changed = sum(
            abs(current.get(name, 0.0) - parts.get(name, 0.0))
            for name in current.keys() | parts.keys()
        )
        pressing = Pressed(now, parts, changed)
        self._last[instance.address] = pressing
        return pressing


def read(instance: instances.Instance) -> dict[tuple[str, str], float]:
    """Return how full each image is in each step."""
    found = collections.defaultdict(list)
    for run in instance.serving:
        if run.phase is instances.RunPhase.RUNNING and run.gauge > 0:
            part = run.gauge / run.step.latency_target_ms
            found[run.step.image, run.step_name].append(part)
    # Single gauges are off by half at times.
    return {
        key: 1 - UNIT_PART / statistics.median_low(parts)
        for key, parts in found.items()
    }


def measure_variance(first: Sample, second: Sample) -> float:
    """Return how far the difference of two gauges may be off.

    Gauges scatter by a part of their value, so that fullness scatters the
    more the less full a task is; and what changed a moment ago may show or
    not.
    """
    variance = 0.0
    for sample in (first, second):
        variance += (_GAUGE_NOISE * (1 - sample.fullness)) ** 2
        variance += (_CHANGE_DOUBT * sample.changed) ** 2
    return variance + _LEAST_VARIANCE


def measure_parts(instance: instances.Instance) -> dict[str, float]:
    """Return the parts of an instance that best-effort images use."""
    parts: dict[str, float] = collections.defaultdict(float)
    capacity = max(instance.capacity.millicores, 1)
    for run in instance.fillers:
        if run.phase is instances.RunPhase.RUNNING and run.gauge > 0:
            parts[run.step.image] += run.gauge / capacity
    return dict(parts)
