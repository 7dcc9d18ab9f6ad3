"""Selection of runs that are stopped to resume elsewhere.

Load patterns: a rolling replacement of instances under full load; and load
peaks of serving tasks that last for seconds and stall the best-effort tasks
beside them while other instances have capacity.
"""

import typing as t

from persimmonsail.jobs import instances

# In the worst queue, estimates are off by half in either direction.
_ESTIMATE_ERROR_FACTOR = 1.5
_MILLISECONDS = 1000
# A best-effort run that was throttled below this speed for this long is
# evicted: a load peak lasts about 3 s, while stopping and resuming takes 0.3
# to 1.0 s.
_SLOW_PERCENT = 25
_MAX_THROTTLED_SECONDS = 0.7
# A run with more progress than this is not worth moving.
_NEARLY_DONE_PERCENT = 92


def record_speed_limit(run: instances.Run, percent: int, now: float) -> None:
    """Record a run's new speed limit, and since when it has been low."""
    run.speed_limit = percent
    run.speed_limit_known = True
    run.speed_limit_at = now
    if percent >= _SLOW_PERCENT:
        run.throttled_since = 0.0
    else:
        run.throttled_since = run.throttled_since or now


def select_leaving(
    instance: instances.Instance, now: float
) -> list[instances.Run]:
    """Return the runs to evict from an instance that is leaving.

    Runs that can finish before the instance goes stay, since stopping
    one costs the work after its last checkpoint; all others are stopped
    immediately and resume elsewhere from the checkpoint taken at the
    stop.
    """
    if not instance.leaving:
        return []
    remaining_seconds = instance.departs_at - now
    return [
        run
        for run in instance.runs.values()
        if run.phase is instances.RunPhase.RUNNING
        and not _can_finish(run, remaining_seconds)
    ]


def select_starved(
    instance: instances.Instance,
    now: float,
    is_last: t.Callable[[instances.Run], bool],
) -> list[instances.Run]:
    """Return best-effort runs that have been throttled for too long.

    Parameters
    ----------
    instance : persimmonsail.jobs.instances.Instance
        The instance that runs them.
    now : float
        Seconds of the leader's clock.
    is_last : callable
        Tells whether a run is its job's only one; such a run stays, so
        that the job makes progress.
    """
    return [
        run
        for run in instance.best_effort_runs
        if run.phase is instances.RunPhase.RUNNING
        and run.step.checkpoints
        and run.throttled_since
        and now - run.throttled_since >= _MAX_THROTTLED_SECONDS
        and run.percent < _NEARLY_DONE_PERCENT
        and not is_last(run)
    ]


def _can_finish(run: instances.Run, remaining_seconds: float) -> bool:
    if run.step.long_running:
        return False
    left_ms = run.step.estimate_ms * (100 - run.percent) / 100
    return (
        left_ms * _ESTIMATE_ERROR_FACTOR <= remaining_seconds * _MILLISECONDS
    )
