"""In which order waiting tasks get room.

Load pattern: a burst of heavy jobs comes on a fleet that is nearly full,
so that what is started first decides which jobs meet their objective. A
job earns nearly all of its worth within its objective and little after
it, so work that can still be on time goes before work that can't, and of
two that can, the one with less time to spare. Of those that can't, the
shortest goes first: it frees its room soonest. What can be on time is
judged at the speed that runs reach, not at the one that was estimated:
else everything is started, and everything ends a little late.
"""

import dataclasses

from persimmonsail.jobs import board
from persimmonsail.jobs import queues

# A late job still earns a part until three times its objective.
_LATE_FACTOR = 3.0
# Estimates are off by up to this part either way, so a job counts as too
# late only when it is late by more than this part of its remaining time.
_ESTIMATE_ERROR = 0.3


@dataclasses.dataclass(frozen=True)
class Urgency:
    """How urgent a waiting task is; sorts with the most urgent first.

    Attributes
    ----------
    priority : int
        The queue's; 0 comes first.
    lateness : int
        0 if the job can be on time, 1 if it can still be late, else 2.
    spare_ms : float
        Time to spare, or the remaining time of a job that is too late.
    """

    priority: int
    lateness: int
    spare_ms: float

    @property
    def sort_key(self) -> tuple[int, int, float]:
        """What tasks are sorted by."""
        return (self.priority, self.lateness, self.spare_ms)


def rate(
    task: board.Task, queue: queues.Queue, now_ms: float, slowdown: float
) -> Urgency:
    """Return how urgent a task is.

    Parameters
    ----------
    task : persimmonsail.jobs.board.Task
        A waiting task.
    queue : persimmonsail.jobs.queues.Queue
        Its job's queue.
    now_ms : float
        Milliseconds since the epoch.
    slowdown : float
        How much longer tasks of this queue take here than estimated.
    """
    job = task.job
    objective_ms = find_objective_ms(job, queue)
    remaining_ms = job.tails_ms[task.key.step] * slowdown
    age_ms = now_ms - job.accepted_ms
    spare_ms = objective_ms - age_ms - remaining_ms
    if spare_ms >= -_ESTIMATE_ERROR * remaining_ms:
        return Urgency(queue.priority, 0, spare_ms)
    late = age_ms + remaining_ms <= _LATE_FACTOR * objective_ms
    return Urgency(queue.priority, 1 if late else 2, remaining_ms)


def find_objective_ms(job: board.Job, queue: queues.Queue) -> float:
    """Return how long a job may take from its acceptance to its end."""
    path_ms = job.specification.critical_path_ms
    return queue.slack_factor * path_ms + queue.target_ms
