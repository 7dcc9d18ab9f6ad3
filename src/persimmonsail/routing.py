"""Choice of the instance that gets a quick request."""

import random
import typing as t

from persimmonsail import fleet

_SAMPLE = 2
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
    sample = generator.sample(candidates, min(_SAMPLE, len(candidates)))
    return min(sample, key=lambda instance: score(instance, zone))


def score(instance: fleet.Instance, zone: str) -> float:
    """Return the cost of an instance; lower is better."""
    busy = instance.busy_slots + instance.queued + instance.outstanding
    distance = 0.0 if instance.zone == zone else 0.5
    return busy / max(instance.slots, 1) + distance
