"""Health of instances: those that fail their runs or make no progress."""

from persimmonsail.decisions import quarantine
from persimmonsail.jobs import instances
from persimmonsail.jobs import observations
from persimmonsail import logs

# An instance that fails several jobs gets no work for this long, then one task
# at a time; such failures usually last some seconds.
_QUARANTINE_SECONDS = 4.0
# An instance without progress gets no work for this long after the last poll
# that showed it; three polls that don't show it end the pause.
_STALL_PAUSE_SECONDS = 1.4


class HealthTracker:
    """Withholds new work from instances that fail it.

    Parameters
    ----------
    tracker : persimmonsail.decisions.quarantine.Tracker
        Distinguishes faulty instances from faulty jobs.
    """

    def __init__(self, tracker: quarantine.Tracker) -> None:
        self._tracker = tracker

    def note_end(
        self,
        instance: instances.Instance,
        job: str,
        failed: bool,
        now: float,
    ) -> None:
        """Count a failed or completed run against or for its instance."""
        self._tracker.note(job, instance.address, failed)
        verdict = self._tracker.judge(instance.address)
        if failed and verdict.is_bad:
            instance.suspect_until = now + _QUARANTINE_SECONDS
            logs.write_warning(
                'instance-suspect',
                instance=instance.address,
                log_odds=verdict.log_odds,
                streak=verdict.streak,
                jobs=verdict.jobs,
            )


def note_progress(instance: instances.Instance, now: float) -> None:
    """Start nothing new on an instance where no run makes progress."""
    if not observations.is_stalled(instance, now):
        return
    if now >= instance.suspect_until:
        logs.write_warning(
            'instance-still',
            instance=instance.address,
            runs=len(instance.runs),
        )
    until = now + _STALL_PAUSE_SECONDS
    instance.suspect_until = max(instance.suspect_until, until)
