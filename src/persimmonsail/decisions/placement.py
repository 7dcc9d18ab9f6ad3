"""Choice of the instance on which a task is placed."""

import collections
import dataclasses
import typing as t

from persimmonsail.bookkeeping import tasks
from persimmonsail.decisions import admission
from persimmonsail.decisions import fleet
from persimmonsail.decisions import interference
from persimmonsail.decisions import objectives
from persimmonsail import logs

_CROWDING_WEIGHT = 0.05
_SPREAD_WEIGHT = 0.02
_QUEUE_WEIGHT = 0.05
_AGE_WEIGHT = 0.01
_MAX_AGE = 10.0


@dataclasses.dataclass(frozen=True)
class Requirement:
    """The requirements of a task on the instance it is placed on."""

    workload: str
    size: admission.Size
    waited: float = 0.0
    avoid: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Cost:
    """The terms of one instance's cost; the lowest sum is chosen."""

    instance: fleet.Instance
    interference: float
    crowding: float
    spread: float
    queue: float
    age: float

    @property
    def total(self) -> float:
        """The sum of all terms."""
        return (
            self.interference
            + self.crowding
            + self.spread
            + self.queue
            + self.age
        )

    def describe(self) -> str:
        """Return the terms for a decision's log line."""
        names = ('interference', 'crowding', 'spread', 'queue', 'age')
        return ','.join(f'{name}:{getattr(self, name):.3f}' for name in names)


@dataclasses.dataclass(frozen=True)
class Choice:
    """A chosen instance, or the reason why the task waits.

    ``fitting`` is the number of instances that fit the task.
    ``is_costly`` marks a cost that is high enough to hold tasks.
    """

    cost: Cost | None
    reason: str
    fitting: int
    is_costly: bool = False

    @property
    def instance(self) -> fleet.Instance | None:
        """The instance, if the task is to start now."""
        return self.cost.instance if self.cost and not self.reason else None


def list_fitting(
    candidates: t.Iterable[fleet.Instance], size: admission.Size
) -> list[fleet.Instance]:
    """Return the candidates that fit a size and keep the headroom free."""
    return [
        instance
        for instance in candidates
        if (instance.committed + size).fits(
            admission.subtract_headroom(instance.capacity)
        )
    ]


def choose_instance(
    candidates: list[fleet.Instance], size: admission.Size
) -> fleet.Instance | None:
    """Return the fitting candidate with the lowest share of cores taken."""
    fitting = list_fitting(candidates, size)
    if not fitting:
        return None
    return min(fitting, key=lambda i: i.committed.cores / i.capacity.cores)


class Placer:
    """Scores instances for tasks by the interference they would cause.

    Parameters
    ----------
    estimator : persimmonsail.decisions.interference.Estimator
        Predicts slowdowns.
    weights : persimmonsail.decisions.objectives.Objectives
        The owners' objectives.
    clock : callable
        Returns monotonic seconds, on the clock of ``reported_at``.
    """

    def __init__(
        self,
        estimator: interference.Estimator,
        weights: objectives.Objectives,
        clock: t.Callable[[], float],
    ) -> None:
        self._estimator = estimator
        self._objectives = weights
        self._clock = clock
        self._held_since: dict[str, float] = {}

    def choose(
        self, candidates: t.Sequence[fleet.Instance], need: Requirement
    ) -> Choice:
        """Return the cheapest instance, or a reason to wait."""
        fitting = [
            instance
            for instance in list_fitting(candidates, need.size)
            if instance.name not in need.avoid
        ]
        if not fitting:
            return Choice(None, 'no room', 0)
        racks = _sum_shares(candidates, need.workload, 'rack')
        zones = _sum_shares(candidates, need.workload, 'zone')
        costs = [
            self._find_cost(instance, need, racks, zones)
            for instance in fitting
        ]
        best = min(costs, key=_get_sort_key)
        weights = self._objectives.find_weights(need.workload)
        is_costly = best.interference > weights.hold_above
        is_held = is_costly and need.waited < weights.hold_seconds
        reason = 'interference' if is_held else ''
        return Choice(best, reason, len(fitting), is_costly)

    def choose_task(
        self,
        candidates: t.Sequence[fleet.Instance],
        task: tasks.Task,
        size: admission.Size,
    ) -> fleet.Instance | None:
        """Return the instance for a task's next attempt, if any.

        All tasks of a workload share one hold period. The decision is
        logged with its terms. The entry's view of the instance is updated
        immediately, since further decisions precede its next report.
        """
        now = self._clock()
        waited = now - self._held_since.get(task.workload, now)
        choice = self.choose(
            candidates, Requirement(task.workload, size, waited)
        )
        chosen = choice.instance
        if choice.is_costly and task.workload not in self._held_since:
            _log_choice('placement-held', task, choice)
            self._held_since[task.workload] = now
        elif chosen is not None and not choice.is_costly:
            self._held_since.pop(task.workload, None)
        if chosen is None:
            return None
        share = size.cores / chosen.capacity.cores
        before = chosen.shares.get(task.workload, 0.0)
        chosen.shares = {**chosen.shares, task.workload: before + share}
        _log_choice('placement-choice', task, choice)
        return chosen

    def find_interference(
        self, instance: fleet.Instance, workload: str, share: float
    ) -> float:
        """Return the cost of a task to the instance's requests.

        This is the additional fraction of the slots that the present
        requests would keep busy, weighted by the objectives of their
        owners.
        """
        before = instance.shares
        after = {**before, workload: before.get(workload, 0.0) + share}
        busy = sum(instance.demand.values())
        return sum(
            demand
            * self._objectives.find_weights(victim).tail
            * (
                self._estimator.predict(victim, after, busy)
                - self._estimator.predict(victim, before, busy)
            )
            for victim, demand in instance.demand.items()
        )

    def _find_cost(
        self,
        instance: fleet.Instance,
        need: Requirement,
        racks: t.Mapping[str, float],
        zones: t.Mapping[str, float],
    ) -> Cost:
        share = need.size.cores / instance.capacity.cores
        age = min(_MAX_AGE, self._clock() - instance.reported_at)
        waiting = instance.queued / max(instance.slots, 1)
        return Cost(
            instance=instance,
            interference=self.find_interference(
                instance, need.workload, share
            ),
            crowding=_CROWDING_WEIGHT * instance.shares.get(need.workload, 0),
            spread=_SPREAD_WEIGHT
            * (racks[instance.rack] + zones[instance.zone]),
            queue=_QUEUE_WEIGHT * min(1.0, waiting),
            age=_AGE_WEIGHT * age,
        )


def _get_sort_key(cost: Cost) -> tuple[float, float]:
    """Sort by cost, then by the share of cores taken."""
    instance = cost.instance
    return cost.total, instance.committed.cores / instance.capacity.cores


def _log_choice(event: str, task: tasks.Task, choice: Choice) -> None:
    logs.write_event(
        event,
        task=task.id,
        workload=task.workload,
        chosen=choice.cost.instance.name,
        fitting=choice.fitting,
        cost=choice.cost.total,
        terms=choice.cost.describe(),
        reason=choice.reason,
    )


def _sum_shares(
    candidates: t.Iterable[fleet.Instance], workload: str, domain: str
) -> dict[str, float]:
    """Return each rack's or zone's fraction of a workload's usage."""
    sums: dict[str, float] = collections.defaultdict(float)
    for instance in candidates:
        sums[getattr(instance, domain)] += instance.shares.get(workload, 0.0)
    total = sum(sums.values())
    return {
        key: value / total if total else 0.0 for key, value in sums.items()
    }
