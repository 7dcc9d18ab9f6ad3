"""Escalating responses to interference on one instance.

Placement is the first defence (see ``placement``). If a
latency-critical class is slowed down nevertheless, the batch task that
interferes most is throttled, and if that is not enough, it is evicted
with a checkpoint.

Four rules prevent oscillation. The threshold for throttling is higher
than that for release (hysteresis). A task is released only if the
slowdown predicted *after* the release is low enough; the improvement
that its own throttling brought does not count. After each action on an
instance, none follows there until its effect is measurable. And each
throttling soon after a release doubles the wait before the next one.
"""

import collections
import dataclasses
import enum
import typing as t

from persimmonsail.decisions import interference
from persimmonsail.decisions import objectives

SETTLE_SECONDS = 3.0
_MAX_LAG_SECONDS = 5.0
_MIN_DEMAND = 0.01
_MIN_SLOW_EVALUATIONS = 2
_MIN_CALM_EVALUATIONS = 5
_RELAPSE_WINDOW_SECONDS = 60.0
_MAX_RELAPSES = 6
_MIN_EXCESS = 0.05
_MIN_EVICTION_RELIEF = 0.5
_NO_INTERFERENCE = interference.Estimate('', 1.0, ())


class Kind(enum.StrEnum):
    """An action on a task."""

    THROTTLE = 'throttle'
    RELEASE = 'release'
    EVICT = 'evict'


@dataclasses.dataclass(frozen=True)
class RunningTask:
    """A batch task; ``share`` is its part of the cores at full speed."""

    task: str
    workload: str
    share: float
    speed: float = 1.0


@dataclasses.dataclass(frozen=True)
class InstanceSnapshot:
    """The observed state of one instance.

    ``demand`` is the part of the slots that each latency-critical class
    occupies, ``waiting`` the number of queued requests per slot and
    ``lag`` the age of usage reports in seconds.
    """

    instance: str
    tasks: tuple[RunningTask, ...]
    demand: t.Mapping[str, float]
    lag: float = 0.0
    waiting: float = 0.0

    def find_delay(self, slowdown: float) -> float:
        """Return the factor on response time, including queueing.

        If queueing were ignored, an instance on which every class is
        slowed only slightly could stay overloaded permanently: slots
        are occupied longer than the interval between arrivals.
        """
        return slowdown * (1.0 + self.waiting)


@dataclasses.dataclass(frozen=True)
class Action:
    """An action, with the estimate's terms that led to it."""

    kind: Kind
    instance: str
    task: str
    speed: float
    victim: str
    slowdown: float
    terms: str


class EvictionBudget:
    """A token bucket that limits evictions across all instances."""

    def __init__(
        self, clock: t.Callable[[], float], per_second: float, burst: float
    ) -> None:
        self._clock = clock
        self._rate = per_second
        self._burst = burst
        self._tokens = burst
        self._refilled_at = clock()

    def try_acquire(self) -> bool:
        """Consume one eviction; return false if none is available."""
        now = self._clock()
        refilled = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refilled)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclasses.dataclass
class _State:
    """The ladder's state for one instance."""

    settled_at: float = 0.0
    slow_evaluations: int = 0
    calm_evaluations: int = 0
    relapses: int = 0
    released_at: float = -_RELAPSE_WINDOW_SECONDS

    def note(self, kind: Kind, now: float) -> None:
        """Record an action, and whether it reverts a recent release."""
        self.slow_evaluations = self.calm_evaluations = 0
        if kind is Kind.RELEASE:
            self.released_at = now
        elif now - self.released_at < _RELAPSE_WINDOW_SECONDS:
            self.relapses = min(self.relapses + 1, _MAX_RELAPSES)
            self.released_at = -_RELAPSE_WINDOW_SECONDS

    @property
    def min_calm_evaluations(self) -> int:
        """Consecutive evaluations below the threshold for a release."""
        return _MIN_CALM_EVALUATIONS * 2**self.relapses


class Ladder:
    """Decides at most one action at a time for each instance.

    Parameters
    ----------
    estimator : persimmonsail.decisions.interference.Estimator
        Predicts slowdowns.
    weights : persimmonsail.decisions.objectives.Objectives
        The owners' objectives, which determine the thresholds.
    budget : EvictionBudget
        Shared between all instances.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        estimator: interference.Estimator,
        weights: objectives.Objectives,
        budget: EvictionBudget,
        clock: t.Callable[[], float],
    ) -> None:
        self._estimator = estimator
        self._objectives = weights
        self._budget = budget
        self._clock = clock
        self._states: dict[str, _State] = collections.defaultdict(_State)

    def decide(
        self,
        situation: InstanceSnapshot,
        find_relief: t.Callable[[RunningTask], float],
    ) -> Action | None:
        """Return the next action for an instance, if one is due.

        Parameters
        ----------
        situation : Situation
            The last observed state of the instance.
        find_relief : callable
            Returns the part of a task's interference that moving it to
            the best other instance would remove; 0 or less if no other
            instance has free capacity.
        """
        state = self._states[situation.instance]
        if self._clock() < state.settled_at:
            return None
        worst = self._find_worst(situation, situation.tasks)
        weights = self._objectives.find_weights(worst.victim)
        delay = situation.find_delay(worst.slowdown)
        slow = delay > weights.throttle_above
        state.slow_evaluations = state.slow_evaluations + 1 if slow else 0
        if slow:
            state.calm_evaluations = 0
        action = None
        if state.slow_evaluations >= _MIN_SLOW_EVALUATIONS:
            action = self._throttle_or_evict(
                situation, worst, weights, find_relief
            )
        elif not state.slow_evaluations:
            action = self._release(situation, state)
        if action is not None:
            settle = SETTLE_SECONDS + min(situation.lag, _MAX_LAG_SECONDS)
            state.settled_at = self._clock() + settle
            state.note(action.kind, self._clock())
        return action

    def _find_worst(
        self, situation: InstanceSnapshot, tasks: t.Iterable[RunningTask]
    ) -> interference.Estimate:
        shares: dict[str, float] = {}
        for task in tasks:
            used = task.share * task.speed
            shares[task.workload] = shares.get(task.workload, 0.0) + used
        busy = sum(situation.demand.values())
        estimates = [
            self._estimator.explain(victim, shares, busy)
            for victim, demand in situation.demand.items()
            if demand >= _MIN_DEMAND
        ]
        return max(
            estimates, key=lambda e: e.slowdown, default=_NO_INTERFERENCE
        )

    def _throttle_or_evict(
        self,
        situation: InstanceSnapshot,
        worst: interference.Estimate,
        weights: objectives.Weights,
        find_relief: t.Callable[[RunningTask], float],
    ) -> Action | None:
        coefficients = {
            term.aggressor: term.coefficient for term in worst.terms
        }

        def find_excess(task: RunningTask) -> float:
            return coefficients[task.workload] * task.share

        delay = situation.find_delay(worst.slowdown)
        aggressors = [
            t for t in situation.tasks if find_excess(t) >= _MIN_EXCESS
        ]
        aggressors.sort(key=find_excess, reverse=True)
        for task in aggressors:
            if task.speed > weights.min_speed:
                target = (weights.throttle_above + weights.release_below) / 2
                required = task.speed - (delay - target) / find_excess(task)
                speed = max(weights.min_speed, required)
                return _make_action(
                    Kind.THROTTLE, situation, task, speed, worst
                )
        if delay <= weights.evict_above:
            return None
        for task in aggressors:
            if find_relief(task) >= _MIN_EVICTION_RELIEF:
                if not self._budget.try_acquire():
                    return None
                return _make_action(Kind.EVICT, situation, task, 0.0, worst)
        return None

    def _release(
        self, situation: InstanceSnapshot, state: _State
    ) -> Action | None:
        throttled = [task for task in situation.tasks if task.speed < 1.0]
        for task in sorted(throttled, key=lambda task: task.speed):
            after = [
                dataclasses.replace(other, speed=1.0)
                if other.task == task.task
                else other
                for other in situation.tasks
            ]
            worst = self._find_worst(situation, after)
            weights = self._objectives.find_weights(worst.victim)
            delay = situation.find_delay(worst.slowdown)
            if delay > weights.release_below:
                continue
            state.calm_evaluations += 1
            if state.calm_evaluations < state.min_calm_evaluations:
                return None
            return _make_action(Kind.RELEASE, situation, task, 1.0, worst)
        state.calm_evaluations = 0
        return None


def _make_action(
    kind: Kind,
    situation: InstanceSnapshot,
    task: RunningTask,
    speed: float,
    worst: interference.Estimate,
) -> Action:
    return Action(
        kind,
        situation.instance,
        task.task,
        speed,
        worst.victim,
        worst.slowdown,
        worst.describe(),
    )
