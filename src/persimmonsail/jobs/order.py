"""The order in which waiting tasks are placed.

Load pattern: a burst of heavy jobs arrives at a nearly full fleet, so the
start order decides which jobs meet their objective. A job earns nearly all
of its value within its objective and little after it, so jobs that can
still be on time precede those that can't. Among the former, the one with
the least remaining work relative to its value comes first: with
least-slack-first, a full fleet works on all jobs concurrently and finishes
all of them slightly late. Among late jobs, the shortest comes first, as it
frees its capacity soonest. Whether a job can be on time is predicted from
the observed speed of runs, not from the estimate.
"""

import collections
import dataclasses
import typing as t

from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import queues

# A late job still earns part of its value until 3 times its objective.
MAX_LATE_FACTOR = 3.0
# The size-independent part of a job's value equals the value of 0.43 of a
# mean job's work (0.3 of the value is fixed, 0.7 proportional to work).
_FIXED_VALUE_SHARE = 0.43
# Relative error of estimates in either direction: a job counts as late only
# if it is late by more than this fraction of its remaining time.
_ESTIMATE_ERROR = 0.3


@dataclasses.dataclass(frozen=True)
class Urgency:
    """The urgency of a waiting task; the most urgent sorts first.

    Attributes
    ----------
    priority : int
        The queue's; 0 comes first.
    lateness : int
        0 if the job can be on time, 1 if it can still earn part of its
        value, else 2.
    cost : float
        Remaining work relative to the job's value, or the remaining time
        of a late job.
    """

    priority: int
    lateness: int
    cost: float

    @property
    def sort_key(self) -> tuple[int, int, float]:
        """The key that tasks are sorted by."""
        return (self.priority, self.lateness, self.cost)


def rate(
    task: job_module.Task,
    queue: queues.Queue,
    now_ms: float,
    slowdown: float,
    mean_work: float,
) -> Urgency:
    """Return the urgency of a task.

    Parameters
    ----------
    task : persimmonsail.jobs.job.Task
        A waiting task.
    queue : persimmonsail.jobs.queues.Queue
        Its job's queue.
    now_ms : float
        Milliseconds since the epoch.
    slowdown : float
        Ratio of actual to estimated duration of this queue's tasks.
    mean_work : float
        Mean work of this queue's jobs, in core-milliseconds.
    """
    job = task.job
    objective_ms = find_objective_ms(job, queue)
    remaining_ms = job.remaining_path_ms[task.key.step] * slowdown
    age_ms = now_ms - task.objective_start_ms
    slack_ms = objective_ms - age_ms - remaining_ms
    if slack_ms >= -_ESTIMATE_ERROR * remaining_ms:
        work = job.specification.work_core_ms
        cost = _find_cost(job.remaining_core_ms, work, mean_work)
        return Urgency(queue.priority, 0, cost)
    late = age_ms + remaining_ms <= MAX_LATE_FACTOR * objective_ms
    return Urgency(queue.priority, 1 if late else 2, remaining_ms)


def rate_new(work: float, queue: queues.Queue, mean_work: float) -> Urgency:
    """Return the urgency of a job that arrives now.

    Parameters
    ----------
    work : float
        Its work, in core-milliseconds.
    queue : persimmonsail.jobs.queues.Queue
        Its queue.
    mean_work : float
        Mean work of this queue's jobs, in core-milliseconds.
    """
    return Urgency(queue.priority, 0, _find_cost(work, work, mean_work))


def _find_cost(remaining: float, work: float, mean_work: float) -> float:
    """Return a job's remaining work relative to its value."""
    value = work + _FIXED_VALUE_SHARE * mean_work
    return remaining / max(value, 1.0)


def measure_mean_works(jobs: t.Iterable[job_module.Job]) -> dict[str, float]:
    """Return the mean work of each queue's jobs, in core-milliseconds."""
    works = collections.defaultdict(list)
    for job in jobs:
        works[job.queue].append(job.specification.work_core_ms)
    return {
        queue: sum(values) / len(values) for queue, values in works.items()
    }


def find_objective_ms(job: job_module.Job, queue: queues.Queue) -> float:
    """Return a job's objective, counted from its acceptance."""
    return queue.find_objective_ms(job.specification.critical_path_ms)
