"""In which order waiting tasks get room.

Load pattern: a burst of heavy jobs comes on a fleet that is nearly full,
so that what is started first decides which jobs meet their objective. A
job earns nearly all of its worth within its objective and little after
it, so work that can still be on time goes before work that can't, and of
two that can, the one with less work left for what it is worth: with the
one first that has less time to spare, a full fleet works on everything at
once and ends all of it a little late (in the emulator, 16 days: 0.75 of
the heavy jobs on time, 0.80 with this order). Of those that can't, the
shortest goes first: it frees its room soonest. What can be on time is
judged at the speed that runs reach, not at the one that was estimated.
"""

import collections
import dataclasses
import typing as t

from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import queues

# A late job still earns a part until three times its objective.
_LATE_FACTOR = 3.0
# Part of a job's worth does not depend on its size: as much as that of
# 0.43 of a mean job's work (0.3 of the worth against 0.7).
_FIXED_PART = 0.43
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
    cost : float
        Work left against the job's worth, or the remaining time of a job
        that is too late.
    """

    priority: int
    lateness: int
    cost: float

    @property
    def sort_key(self) -> tuple[int, int, float]:
        """What tasks are sorted by."""
        return (self.priority, self.lateness, self.cost)


def rate(
    task: job_module.Task,
    queue: queues.Queue,
    now_ms: float,
    slowdown: float,
    mean_work: float,
) -> Urgency:
    """Return how urgent a task is.

    Parameters
    ----------
    task : persimmonsail.jobs.job.Task
        A waiting task.
    queue : persimmonsail.jobs.queues.Queue
        Its job's queue.
    now_ms : float
        Milliseconds since the epoch.
    slowdown : float
        How much longer tasks of this queue take here than estimated.
    mean_work : float
        Core-milliseconds of this queue's jobs in the mean.
    """
    job = task.job
    objective_ms = find_objective_ms(job, queue)
    remaining_ms = job.tails_ms[task.key.step] * slowdown
    age_ms = now_ms - task.since_ms
    spare_ms = objective_ms - age_ms - remaining_ms
    if spare_ms >= -_ESTIMATE_ERROR * remaining_ms:
        work = job.specification.work_core_ms
        worth = work + _FIXED_PART * mean_work
        return Urgency(queue.priority, 0, job.left_core_ms / max(worth, 1.0))
    late = age_ms + remaining_ms <= _LATE_FACTOR * objective_ms
    return Urgency(queue.priority, 1 if late else 2, remaining_ms)


def measure_mean_works(jobs: t.Iterable[job_module.Job]) -> dict[str, float]:
    """Return the mean work of each queue's jobs, in core-milliseconds."""
    works = collections.defaultdict(list)
    for job in jobs:
        works[job.queue].append(job.specification.work_core_ms)
    return {
        queue: sum(values) / len(values) for queue, values in works.items()
    }


def find_objective_ms(job: job_module.Job, queue: queues.Queue) -> float:
    """Return how long a job may take from its acceptance to its end."""
    path_ms = job.specification.critical_path_ms
    return queue.slack_factor * path_ms + queue.target_ms
