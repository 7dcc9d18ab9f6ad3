"""Admission of jobs by the forecast of their service's backlog.

Load pattern: callers hand in more work than a service does, for longer than
a burst. Without a limit every job is accepted, and those that others precede
end long after their callers have given up; the callers learn it last. So a
job whose forecast end is of no use is rejected before it is stored, and its
caller is told when it could be done in time.

A job is of no use once it ends later than a late job earns anything. As the
forecast may be wrong, a job is only rejected if it is beyond that limit by
more than the forecast's error: one that is rejected in vain costs its caller
all, one that is accepted in vain only the wait.
"""

import dataclasses
import random

from persimmonsail.decisions import retryafter
from persimmonsail.jobs import backlog
from persimmonsail.jobs import order
from persimmonsail.jobs import queues
from persimmonsail.jobs import specification as specification_module

# Relative error of a forecast end.
_FORECAST_ERROR = 0.3
_MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True)
class Decision:
    """Whether a job is admitted, and what decided it.

    Attributes
    ----------
    is_admitted : bool
        Whether it is.
    ahead_core_ms : float
        The work that precedes it, in core-milliseconds.
    end_seconds : float
        When it is forecast to end, from now; 0 without a forecast.
    limit_seconds : float
        The latest end that is of use to its caller, from now.
    excess_seconds : float
        By how much the forecast end misses the objective.
    """

    is_admitted: bool
    ahead_core_ms: float = 0.0
    end_seconds: float = 0.0
    limit_seconds: float = 0.0
    excess_seconds: float = 0.0


ADMITTED = Decision(is_admitted=True)


def decide(
    forecast: backlog.Forecast,
    queue: queues.Queue,
    specification: specification_module.Specification,
    mean_work: float,
) -> Decision:
    """Decide whether to admit a job that arrives now.

    Parameters
    ----------
    forecast : persimmonsail.jobs.backlog.Forecast
        The backlog of the queue's service.
    queue : persimmonsail.jobs.queues.Queue
        The job's queue.
    specification : persimmonsail.jobs.specification.Specification
        The job.
    mean_work : float
        Mean work of the queue's jobs, in core-milliseconds.
    """
    path_ms = specification.critical_path_ms
    objective_ms = queue.find_objective_ms(path_ms)
    if objective_ms <= 0 or not backlog.has_forecast(specification):
        return ADMITTED
    if forecast.rate <= 0:
        return ADMITTED
    work = specification.work_core_ms
    urgency = order.rate_new(work, queue, mean_work)
    end_seconds = max(
        forecast.find_end(urgency, work),
        path_ms / _MILLISECONDS,
    )
    objective_seconds = objective_ms / _MILLISECONDS
    limit_seconds = order.MAX_LATE_FACTOR * objective_seconds
    return Decision(
        end_seconds * (1 - _FORECAST_ERROR) <= limit_seconds,
        forecast.find_ahead(urgency),
        end_seconds,
        limit_seconds,
        end_seconds - objective_seconds,
    )


class RetryTimes:
    """Assigns rejected callers the times to return.

    Callers that were rejected together return one after the other, as fast
    as the service does their jobs, and in the order in which they came.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._schedulers: dict[str, retryafter.RetryScheduler] = {}

    def choose(
        self,
        service: str,
        decision: Decision,
        jobs_per_second: float,
        now: float,
    ) -> float:
        """Return in how many seconds a rejected caller should return.

        Parameters
        ----------
        service : str
            The job's service.
        decision : Decision
            The rejection.
        jobs_per_second : float
            How many such jobs the service does in a second.
        now : float
            Monotonic seconds.
        """
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            scheduler = retryafter.RetryScheduler(self._generator)
            self._schedulers[service] = scheduler
        ahead = decision.excess_seconds * jobs_per_second
        return scheduler.find_retry_after(now, ahead, jobs_per_second)
