"""How fast best-effort tasks may work beside tasks that serve.

Load pattern: the load of a serving task swings within seconds, and with
it what the best-effort tasks beside it may do. Slowing is fast, since
each second over the target is felt by that task's own users; speeding up
again is slow, so that both don't swing against each other.
"""

import typing as t

from persimmonsail.jobs import instances

# Parts of the latency target. Above the first the best-effort tasks are
# slowed, below the second they get faster again.
_SLOW_ABOVE = 0.95
_SPEED_BELOW = 0.75
# Each look (twice a second) halves the pace at least.
_SLOW_FACTOR = 0.5
_LOWEST_PERCENT = 10
_SPEED_STEP_PERCENT = 10
# Over the target for so long, the tasks beside it stop working: the next
# look and the worker's own delay stay below the 4 s that are promised.
_STOP_AFTER_SECONDS = 1.6


class Change(t.NamedTuple):
    """A run's new pace, in percent."""

    run: instances.Run
    percent: int


def decide(instance: instances.Instance, now: float) -> list[Change]:
    """Return the runs of an instance whose pace has to change.

    Parameters
    ----------
    instance : persimmonsail.jobs.instances.Instance
        With gauges from its latest report.
    now : float
        Seconds of the leader's clock.
    """
    serving = [
        run
        for run in instance.serving
        if run.phase is instances.RunPhase.RUNNING
    ]
    worst = max(
        (run.gauge / run.step.latency_target_ms for run in serving),
        default=0.0,
    )
    longest = max(
        (now - run.over_since for run in serving if run.over_since),
        default=0.0,
    )
    changes = []
    for run in instance.fillers:
        if run.phase is not instances.RunPhase.RUNNING:
            continue
        percent = _choose_percent(run.pace, worst, longest)
        if percent != run.pace:
            changes.append(Change(run, percent))
    return changes


def _choose_percent(pace: int, worst: float, longest: float) -> int:
    if worst > 1.0 and longest >= _STOP_AFTER_SECONDS:
        return 0
    if worst > _SLOW_ABOVE:
        return min(pace, max(_LOWEST_PERCENT, int(pace * _SLOW_FACTOR)))
    if worst < _SPEED_BELOW:
        return min(100, pace + _SPEED_STEP_PERCENT)
    return pace
