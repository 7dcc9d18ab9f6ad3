"""Which runs have to leave an instance that is going away.

Load pattern: instances are replaced one after the other under full load.
What can finish before its instance goes stays, since stopping it costs
the work after its last checkpoint; all else is stopped at once, so that
it resumes elsewhere from the checkpoint that the stop takes.
"""

from persimmonsail.jobs import instances

# Estimates are off by half either way in the worst queue.
_ESTIMATE_FACTOR = 1.5
_MILLISECONDS = 1000


def select(instance: instances.Instance, now: float) -> list[instances.Run]:
    """Return the runs of a leaving instance that can't stay."""
    if not instance.leaving:
        return []
    remaining = instance.gone_at - now
    return [
        run
        for run in instance.runs.values()
        if run.phase is instances.RunPhase.RUNNING
        and not _can_finish(run, remaining)
    ]


def _can_finish(run: instances.Run, remaining: float) -> bool:
    if run.step.long_running:
        return False
    left = run.step.estimate_ms * (100 - run.percent) / 100
    return left * _ESTIMATE_FACTOR <= remaining * _MILLISECONDS
