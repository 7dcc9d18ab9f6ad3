"""Throttling of best-effort tasks that are colocated with serving tasks.

Load pattern: the load of a serving task varies within seconds, and with it
the interference that it tolerates. The learned interference of each pair of
images gives the speed limit at which the latency target is just met. Runs
that hardly interfere are only throttled at load peaks, and only down to a
floor. If the target is missed nevertheless, runs that interfere or may do
so are paused, and after some time all best-effort runs on the instance.

A rolling restart of all entries changes the leader every few seconds. A new
leader doesn't know the limits of the runs that it finds, and sets each to what
is allowed now: raised step by step from nothing, all work on the fleet would
stall at each change.
"""

import typing as t

from persimmonsail.jobs import instances
from persimmonsail.jobs import interference

# Minimum time between changes of a run's limit. Reports arrive twice a
# second, and more often when runs end.
_MIN_CHANGE_INTERVAL_SECONDS = 0.4
# Once a target has been missed for this long, all best-effort runs on the
# instance are paused, whatever was learned: with the next report and the
# worker's delay, this stays below the guaranteed 4 s. If the target is still
# missed after the second time, they were not the cause.
_STOP_ALL_SECONDS = 1.8
_RESUME_AFTER_SECONDS = 5.0
# Smaller relative changes are not worth an order; lower limits become 0.
_MIN_CHANGE = 0.2
_MIN_PERCENT = 4
# Floor for runs that hardly interfere, which do most of the work.
_MIN_LIGHT_PERCENT = 40
# A limit rises by at most this factor, or from 0 to this percentage.
_MAX_RISE_FACTOR = 3.0
_INITIAL_RISE_PERCENT = 15


_GetCoefficient = t.Callable[[str, str], float]


class Change(t.NamedTuple):
    """A run's new speed limit, in percent of full speed."""

    run: instances.Run
    percent: int


def choose_changes(
    instance: instances.Instance, model: interference.Model, now: float
) -> list[Change]:
    """Return the changed speed limits of an instance's runs.

    Parameters
    ----------
    instance : persimmonsail.jobs.instances.Instance
        The instance, with gauges from its latest report.
    model : persimmonsail.jobs.interference.Model
        Learned interference between images.
    now : float
        Seconds of the leader's clock.
    """
    best_effort = [
        run
        for run in instance.best_effort_runs
        if run.phase is instances.RunPhase.RUNNING
    ]
    if not best_effort:
        return []
    limits = _allocate(
        best_effort, instance, model, now, model.get_lower_bound
    )
    changes = []
    for run, allowed in zip(best_effort, limits, strict=True):
        if now - run.speed_limit_at < _MIN_CHANGE_INTERVAL_SECONDS:
            continue
        percent = _choose_percent(run, allowed)
        if not run.speed_limit_known or _is_significant(
            run.speed_limit, percent
        ):
            changes.append(Change(run, percent))
    return changes


def choose_initial_percent(
    run: instances.Run,
    instance: instances.Instance,
    model: interference.Model,
    now: float,
) -> int:
    """Return the speed limit with which a run starts."""
    best_effort = [*instance.best_effort_runs, run]
    safe_limits = _allocate(
        best_effort, instance, model, now, model.get_upper_bound
    )
    return round(safe_limits[-1])


def _allocate(
    best_effort: t.Sequence[instances.Run],
    instance: instances.Instance,
    model: interference.Model,
    now: float,
    get_coefficient: _GetCoefficient,
) -> list[float]:
    """Return a speed limit for each run so that every target is met.

    The tolerable interference is given to the runs whose jobs are due
    first: with equal shares, all of them would be late.
    """
    limits = [100.0] * len(best_effort)
    ranked = sorted(
        range(len(best_effort)),
        key=lambda i: _order_by_deadline(best_effort[i], now),
    )
    for serving in instance.serving:
        if serving.phase is not instances.RunPhase.RUNNING:
            continue
        headroom = _measure_headroom(serving, instance.address, model, now)
        demands = _estimate_interference(
            best_effort, serving, instance, get_coefficient
        )
        interfering = _find_interfering(
            best_effort, serving, model, now, get_coefficient
        )
        light = [i for i in ranked if i not in interfering]
        remaining = _throttle_light(limits, light, demands, headroom, model)
        for i in ranked:
            if i not in interfering:
                continue
            share = min(remaining / demands[i], 1.0) if demands[i] else 1.0
            # After a missed target nothing is tolerable, whatever was learned.
            ceiling = 0.0 if serving.over_target_since else 100.0
            limits[i] = min(limits[i], 100 * share, ceiling)
            remaining -= share * demands[i]
    return limits


def _throttle_light(
    limits: list[float],
    light: t.Sequence[int],
    demands: t.Sequence[float],
    headroom: float,
    model: interference.Model,
) -> float:
    """Throttle light runs if their combined interference is too high.

    Parameters
    ----------
    limits : list of float
        The runs' speed limits; changed in place.
    light : sequence of int
        Indices of the runs that hardly interfere.
    demands : sequence of float
        The interference of each run at full speed.
    headroom : float
        The interference that the serving task tolerates.
    model : persimmonsail.jobs.interference.Model
        Learned interference between images.

    Returns
    -------
    float
        The headroom left for the other runs; never below 0.
    """
    total = sum(demands[i] for i in light)
    tolerable = headroom + model.estimate_uncertainty()
    if total > tolerable:
        percent = max(100 * tolerable / total, _MIN_LIGHT_PERCENT)
        for i in light:
            limits[i] = min(limits[i], percent)
    return max(headroom - total, 0.0)


def _order_by_deadline(run: instances.Run, now: float) -> tuple[bool, float]:
    return (run.due_at < now, run.due_at)


def _measure_headroom(
    serving: instances.Run,
    address: str,
    model: interference.Model,
    now: float,
) -> float:
    load = model.estimate_load(serving, address, now)
    limit = model.estimate_limit() - model.estimate_uncertainty()
    return max(limit - load, 0.0)


def _estimate_interference(
    best_effort: t.Sequence[instances.Run],
    serving: instances.Run,
    instance: instances.Instance,
    get_coefficient: _GetCoefficient,
) -> list[float]:
    """Return the interference of each run at full speed."""
    capacity = max(instance.capacity.millicores, 1)
    return [
        get_coefficient(serving.step.image, run.step.image)
        * run.step.size.millicores
        / capacity
        for run in best_effort
    ]


def _find_interfering(
    best_effort: t.Sequence[instances.Run],
    serving: instances.Run,
    model: interference.Model,
    now: float,
    get_coefficient: _GetCoefficient,
) -> set[int]:
    """Return the indices of the runs that interfere with a serving run.

    If the target is missed although no run is known to interfere, all
    runs are considered responsible.
    """
    image = serving.step.image
    over_seconds = (
        now - serving.over_target_since if serving.over_target_since else 0.0
    )
    # While the target is met, uncertainty alone throttles no run.
    missed = bool(serving.over_target_since)
    estimate = model.get_upper_bound if missed else get_coefficient
    known = {
        i
        for i, run in enumerate(best_effort)
        if estimate(image, run.step.image) >= model.get_threshold()
    }
    stop_all = _STOP_ALL_SECONDS <= over_seconds < _RESUME_AFTER_SECONDS
    if stop_all or (over_seconds and not known):
        return set(range(len(best_effort)))
    return known


def _choose_percent(run: instances.Run, allowed: float) -> int:
    percent = round(allowed)
    if run.speed_limit_known:
        max_percent = max(
            run.speed_limit * _MAX_RISE_FACTOR, _INITIAL_RISE_PERCENT
        )
        percent = round(min(allowed, max_percent))
    return percent if percent >= _MIN_PERCENT else 0


def _is_significant(current: int, wanted: int) -> bool:
    if wanted == current:
        return False
    if wanted in (0, 100) or current == 0:
        return True
    return abs(wanted - current) > _MIN_CHANGE * current
