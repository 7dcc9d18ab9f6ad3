"""Forecasts of when a service works off its backlog.

A new job waits for the waiting tasks of all jobs that precede it in the order
of urgency, and for those that arrive meanwhile and precede it as well. How
long callers go on to hand in work is not known; it is assumed to last as long
again as the service has been saturated.
"""

import dataclasses
import math

from persimmonsail.jobs import order
from persimmonsail.jobs import specification as specification_module

# Work of jobs whose urgency differs by less than this is forecast as one
# level. New jobs range from 0.2 to 0.9.
_LEVEL_WIDTH = 0.05

LevelKey = tuple[int, float]


@dataclasses.dataclass(frozen=True)
class Level:
    """Waiting work of equal urgency.

    Attributes
    ----------
    priority : int
        The queue's.
    cost : float
        The upper limit of the jobs' remaining work relative to their value.
    core_ms : float
        The work of their waiting tasks, in core-milliseconds.
    arriving_core_ms : float
        The work of new ones in a second.
    """

    priority: int
    cost: float
    core_ms: float
    arriving_core_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class Forecast:
    """The backlog of one service.

    Attributes
    ----------
    rate : float
        The work done in a second, in core-milliseconds; 0 while the service
        is not saturated, or its rate is unknown.
    saturated_seconds : float
        For how long it has been saturated.
    levels : tuple of Level
        The backlog, in no particular order.
    correction : float
        The share of their forecast time that ended jobs took; at most 1.
    """

    rate: float = 0.0
    saturated_seconds: float = 0.0
    levels: tuple[Level, ...] = ()
    correction: float = 1.0

    def find_ahead(self, urgency: order.Urgency) -> float:
        """Return the work that precedes a new job, in core-milliseconds."""
        return sum(level.core_ms for level in self._list_ahead(urgency))

    def find_end(self, urgency: order.Urgency, core_ms: float) -> float:
        """Return in how many seconds a new job ends, corrected."""
        return self.correction * self.find_uncorrected_end(urgency, core_ms)

    def find_uncorrected_end(
        self, urgency: order.Urgency, core_ms: float
    ) -> float:
        """Return in how many seconds a new job ends by the rate alone.

        Parameters
        ----------
        urgency : persimmonsail.jobs.order.Urgency
            Its urgency.
        core_ms : float
            Its work, in core-milliseconds.
        """
        ahead = self.find_ahead(urgency) + core_ms
        arriving = sum(
            level.arriving_core_ms for level in self._list_ahead(urgency)
        )
        if arriving < self.rate:
            end = ahead / (self.rate - arriving)
            if end <= self.saturated_seconds:
                return end
        return (ahead + arriving * self.saturated_seconds) / self.rate

    def _list_ahead(self, urgency: order.Urgency) -> list[Level]:
        """Return the levels that precede a new job: those up to its own."""
        limit = find_level(urgency)
        return [
            level
            for level in self.levels
            if (level.priority, level.cost) <= limit
        ]


def has_forecast(specification: specification_module.Specification) -> bool:
    """Return whether the end of a job can be forecast.

    Jobs that last have none, and those with a schedule are not due yet.
    """
    if specification.occurrences or specification.work_core_ms <= 0:
        return False
    return not any(step.long_running for step in specification.steps)


def find_level(urgency: order.Urgency) -> LevelKey:
    """Return the level of an urgency: its priority and upper limit."""
    number = math.ceil(urgency.cost / _LEVEL_WIDTH)
    return urgency.priority, number * _LEVEL_WIDTH
