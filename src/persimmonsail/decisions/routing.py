"""Choice of the instance that serves a quick request."""

import dataclasses
import random
import typing as t

from persimmonsail.decisions import fleet
from persimmonsail.decisions import interference

SAMPLE_SIZE = 5
DEFAULT_SERVICE_SECONDS = 0.1
# Round trip to another availability zone, as on the larger site.
CROSS_ZONE_RTT_SECONDS = 0.0028

_SAMPLED_POLICY_SIZE = 2
_LOAD_HALF_LIFE_SECONDS = 1.0

POLICIES: dict[str, t.Callable[..., fleet.Instance]] = {}


def register(name: str) -> t.Callable[[t.Callable], t.Callable]:
    """Add a policy under a name."""

    def add(policy: t.Callable) -> t.Callable:
        POLICIES[name] = policy
        return policy

    return add


@register('random')
def choose_random(
    candidates: list[fleet.Instance], zone: str, generator: random.Random
) -> fleet.Instance:
    """Choose any candidate."""
    return generator.choice(candidates)


@register('sampled')
def choose_sampled(
    candidates: list[fleet.Instance], zone: str, generator: random.Random
) -> fleet.Instance:
    """Choose the less loaded of two sampled candidates."""
    sample = generator.sample(
        candidates, min(_SAMPLED_POLICY_SIZE, len(candidates))
    )
    return min(sample, key=lambda instance: score(instance, zone))


def score(instance: fleet.Instance, zone: str) -> float:
    """Return the cost of an instance; lower is better."""
    busy = instance.busy_slots + instance.queued + instance.outstanding
    distance = 0.0 if instance.zone == zone else 0.5
    return busy / max(instance.slots, 1) + distance


@dataclasses.dataclass(frozen=True)
class Cost:
    """The terms of one instance's cost in seconds."""

    instance: fleet.Instance
    service: float
    waiting: float
    distance: float

    @property
    def total(self) -> float:
        """The predicted response time in seconds."""
        return self.service + self.waiting + self.distance

    def describe(self) -> str:
        """Return the terms for a decision's log line."""
        names = ('service', 'waiting', 'distance')
        return ','.join(f'{name}:{getattr(self, name):.4f}' for name in names)


class Router:
    """Chooses among sampled instances by predicted response time.

    Parameters
    ----------
    estimator : persimmonsail.decisions.interference.Estimator
        Predicts base times and slowdowns.
    clock : callable
        Returns monotonic seconds, on the clock of ``reported_at``.
    generator : random.Random
        Draws the sample.
    cross_zone_seconds : float
        The round-trip time to another zone.
    sample_size : int, optional
        How many candidates are scored.
    """

    def __init__(
        self,
        estimator: interference.Estimator,
        clock: t.Callable[[], float],
        generator: random.Random,
        cross_zone_seconds: float,
        sample_size: int = SAMPLE_SIZE,
    ) -> None:
        self._estimator = estimator
        self._clock = clock
        self._generator = generator
        self._cross_zone_seconds = cross_zone_seconds
        self._sample_size = sample_size

    def choose(
        self, candidates: t.Sequence[fleet.Instance], workload: str, zone: str
    ) -> Cost:
        """Return the lowest cost in a sample of the candidates."""
        size = min(self._sample_size, len(candidates))
        sample = self._generator.sample(candidates, size)
        return min(
            (self.find_cost(i, workload, zone) for i in sample),
            key=lambda cost: cost.total,
        )

    def find_cost(
        self, instance: fleet.Instance, workload: str, zone: str
    ) -> Cost:
        """Return the terms of one instance's predicted response time."""
        slots = max(instance.slots, 1)
        outstanding = self.estimate_outstanding(instance)
        busy = min(1.0, (outstanding + 1) / slots)
        base = self._estimator.find_base(workload, DEFAULT_SERVICE_SECONDS)
        service = base * self._estimator.predict(
            workload, instance.shares, busy
        )
        queued = outstanding + 1 - slots
        waiting = 0.0
        if queued > 0:
            mean = self._find_mean_service(instance, service)
            waiting = queued / slots * mean
        return Cost(
            instance=instance,
            service=service,
            waiting=waiting,
            distance=0.0
            if instance.zone == zone
            else self._cross_zone_seconds,
        )

    def estimate_outstanding(self, instance: fleet.Instance) -> float:
        """Estimate the outstanding requests of an instance.

        The entry counts its own exactly; those of other entries come
        from a report, whose weight decays with its age.
        """
        reported = instance.busy_slots + instance.queued
        others = max(0.0, reported - instance.outstanding)
        age = max(0.0, self._clock() - instance.reported_at)
        return instance.outstanding + others * 0.5 ** (
            age / _LOAD_HALF_LIFE_SECONDS
        )

    def _find_mean_service(
        self, instance: fleet.Instance, default: float
    ) -> float:
        total = sum(instance.demand.values())
        if total <= 0:
            return default
        busy = min(1.0, total)
        return sum(
            demand
            / total
            * self._estimator.find_base(victim, DEFAULT_SERVICE_SECONDS)
            * self._estimator.predict(victim, instance.shares, busy)
            for victim, demand in instance.demand.items()
        )
