"""Health of instances: those that fail or refuse runs, or don't move."""

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
# An instance whose agent refuses a start gets no work for this long, doubled
# with each further refusal: a refused task costs its caller little, and an
# agent that accepts again is used within two seconds.
_REFUSAL_PAUSE_SECONDS = 0.25
_MAX_REFUSAL_DOUBLINGS = 3


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


def note_refusal(instance: instances.Instance, now: float) -> None:
    """Start nothing new for a while where the agent refuses starts.

    Load pattern: the agent of one instance refuses every start while its
    status is good. Nothing runs there, so it looks the emptiest, and all
    new work of the fleet goes there and is refused.
    """
    if now < instance.suspect_until:
        # One of several starts that were under way together.
        return
    doublings = min(instance.refusals, _MAX_REFUSAL_DOUBLINGS)
    pause = _REFUSAL_PAUSE_SECONDS * 2**doublings
    instance.refusals += 1
    instance.suspect_until = now + pause
    logs.write_warning(
        'instance-refusing',
        instance=instance.address,
        refusals=instance.refusals,
        pause_seconds=pause,
        runs=len(instance.runs),
    )


def note_accepted_start(instance: instances.Instance) -> None:
    """Record that the agent has accepted a start."""
    instance.refusals = 0


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
