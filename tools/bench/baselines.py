"""Baseline policies that the package is compared with."""

import typing as t

from persimmonsail.decisions import admission
from persimmonsail.decisions import fleet
from tools.bench import colocation
from tools.bench import machines

POLICIES: dict[str, t.Callable[[colocation.World], colocation.Policy]] = {}

_MAX_P99_SECONDS = 0.8
_EVICTION_INTERVAL_SECONDS = 10.0


def register(name: str) -> t.Callable[[t.Callable], t.Callable]:
    """Register a policy under a name."""

    def add(policy: t.Callable) -> t.Callable:
        POLICIES[name] = policy
        return policy

    return add


def list_fitting(
    candidates: list[fleet.Instance], task: machines.BatchTask
) -> list[fleet.Instance]:
    """Return the instances whose last report leaves enough capacity."""
    size = admission.Size(task.cores, task.memory_gb)
    return [
        instance
        for instance in candidates
        if (instance.committed + size).fits(colocation.MAX_COMMITTED)
    ]


def _count_outstanding(instance: fleet.Instance) -> int:
    return max(instance.outstanding, instance.busy_slots + instance.queued)


@register('random')
class RandomPolicy(colocation.Policy):
    """A random instance with enough free capacity."""

    def route(self, candidates, workload, zone):
        """Choose a random candidate."""
        return self.world.chances.choice(candidates)

    def place(self, candidates, task):
        """Choose a random candidate that fits the task."""
        fitting = list_fitting(candidates, task)
        return self.world.chances.choice(fitting) if fitting else None


@register('least-outstanding')
class LeastOutstandingPolicy(colocation.Policy):
    """The least loaded instance, for requests and tasks alike."""

    def route(self, candidates, workload, zone):
        """Choose the candidate with the fewest outstanding requests."""
        chances = self.world.chances
        return min(
            candidates, key=lambda i: (_count_outstanding(i), chances.random())
        )

    def place(self, candidates, task):
        """Choose the candidate with the fewest cores committed."""
        chances = self.world.chances
        return min(
            list_fitting(candidates, task),
            key=lambda i: (i.committed.cores, chances.random()),
            default=None,
        )


@register('best-fit-still')
class BestFitPolicy(LeastOutstandingPolicy):
    """Best fit that ignores interference and never evicts."""

    def place(self, candidates, task):
        """Choose the candidate with the least free capacity."""
        return max(
            list_fitting(candidates, task),
            key=lambda i: (i.committed.cores, i.name),
            default=None,
        )


@register('best-fit')
class EvictingBestFitPolicy(BestFitPolicy):
    """Best fit that evicts the newest task from slow instances.

    An instance is slow by the 99th percentile of its last report. Which
    task interferes is not considered.
    """

    def __init__(self, world: colocation.World) -> None:
        super().__init__(world)
        self._slow: dict[str, bool] = {}
        self._evicted_at: dict[str, float] = {}

    def note_usage(self, usage):
        """Record whether the instance was slow."""
        self._slow[usage.worker] = usage.max_p99_seconds > _MAX_P99_SECONDS

    def act(self):
        """Evict one task from each slow instance, at most every 10 s."""
        now = self.world.clock.now
        for name, slow in self._slow.items():
            tasks = self.world.workers[name].tasks
            last = self._evicted_at.get(name, -_EVICTION_INTERVAL_SECONDS)
            if slow and tasks and now - last >= _EVICTION_INTERVAL_SECONDS:
                self._evicted_at[name] = now
                self.world.evict(name, max(tasks))
