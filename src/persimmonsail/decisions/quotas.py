"""Quotas by team, and fair sharing when demand exceeds capacity.

A team belongs to one partition, so its holder's accounts are exact. A
team's guaranteed part depends on the catalogue and the fleet only, so
holders of different partitions agree on it without communication.
"""

import dataclasses
import heapq
import itertools
import typing as t

from persimmonsail.bookkeeping import records
from persimmonsail.bookkeeping import tasks as tasks_module
from persimmonsail.catalogues import catalogue
from persimmonsail.decisions import admission

# Teams above their entitlement leave this part of the capacity free, so
# that a team below its own can start tasks without an eviction.
RESERVE_FRACTION = 0.1


@dataclasses.dataclass(frozen=True)
class Charge:
    """The resources one claimed task uses of its team's quota."""

    task: str
    team: str
    workload: str
    size: admission.Size


@dataclasses.dataclass(frozen=True)
class Decision:
    """Whether a task may be placed now, and what decided it.

    Attributes
    ----------
    reason : str
        Why it waits; empty if it may be placed.
    share : float
        The team's dominant share: the largest part of its quota in use
        over all resources.
    entitlement : float
        The part of their quotas that the fleet can give all teams.
    """

    reason: str
    share: float
    entitlement: float


class Accounts:
    """Current usage by the partition's teams and workloads."""

    def __init__(self) -> None:
        self._charges: dict[str, Charge] = {}
        self._teams: dict[str, admission.Size] = {}
        self._running: dict[str, int] = {}

    def charge(self, charge: Charge) -> None:
        """Charge a task to its team; idempotent."""
        if charge.task in self._charges:
            return
        self._charges[charge.task] = charge
        self._add(charge, 1)

    def release(self, task: str) -> None:
        """Release a task's charge, if any."""
        charge = self._charges.pop(task, None)
        if charge is not None:
            self._add(charge, -1)

    def retain_only(self, tasks: t.Container[str]) -> None:
        """Release all charges except those of the given tasks."""
        for task in list(self._charges):
            if task not in tasks:
                self.release(task)

    def find_usage(self, team: str) -> admission.Size:
        """Return the sum of a team's charges."""
        return self._teams.get(team, admission.Size())

    def count_running(self, workload: str) -> int:
        """Return the number of charged tasks of a workload."""
        return self._running.get(workload, 0)

    def _add(self, charge: Charge, sign: int) -> None:
        usage = self.find_usage(charge.team)
        self._teams[charge.team] = admission.Size(
            usage.cores + sign * charge.size.cores,
            usage.memory_gb + sign * charge.size.memory_gb,
            usage.accelerators + sign * charge.size.accelerators,
        )
        self._running[charge.workload] = (
            self.count_running(charge.workload) + sign
        )


def read_quota(team: catalogue.Team) -> admission.Size:
    """Return a team's quota as a size."""
    return admission.Size(team.cores, team.memory_gb, team.accelerators)


def find_share(usage: admission.Size, total: admission.Size) -> float:
    """Return the dominant share of a usage in a total."""
    shares = [0.0]
    for used, limit in (
        (usage.cores, total.cores),
        (usage.memory_gb, total.memory_gb),
        (usage.accelerators, total.accelerators),
    ):
        if limit > 0:
            shares.append(used / limit)
        elif used > 0:
            shares.append(float('inf'))
    return max(shares)


def find_entitlement(
    teams: t.Iterable[catalogue.Team], capacity: admission.Size
) -> float:
    """Return the part of their quotas that all teams can use at once.

    Parameters
    ----------
    teams : iterable of catalogue.Team
        All teams of the catalogue, not just the partition's.
    capacity : admission.Size
        Allocatable resources on all live instances.

    Returns
    -------
    float
        Between 0 and 1; 1 if the quotas are not over-subscribed.
    """
    total_quota = sum((read_quota(team) for team in teams), admission.Size())
    share = find_share(total_quota, capacity)
    return 1.0 if share <= 1.0 else 1.0 / share


class Policy:
    """Decides which task of which team may be placed next.

    Parameters
    ----------
    accounts : Accounts
        Current usage by the partition's tasks.
    teams : mapping of str to catalogue.Team
        All teams of the catalogue in force.
    capacity, committed : admission.Size
        Allocatable and allocated resources on all live instances.
    """

    def __init__(
        self,
        accounts: Accounts,
        teams: t.Mapping[str, catalogue.Team],
        capacity: admission.Size,
        committed: admission.Size,
    ) -> None:
        self._accounts = accounts
        self._teams = teams
        self._capacity = capacity
        self._committed = committed
        self.entitlement = find_entitlement(teams.values(), capacity)

    def find_share(self, team: str) -> float:
        """Return a team's dominant share of its quota."""
        if team not in self._teams:
            return float('inf')
        quota = read_quota(self._teams[team])
        return find_share(self._accounts.find_usage(team), quota)

    def decide(
        self,
        team: str,
        name: str,
        workload: catalogue.Workload,
        size: admission.Size,
    ) -> Decision:
        """Decide whether one more task of a workload may be placed."""
        share = self.find_share(team)
        reason = ''
        if self._accounts.count_running(name) >= workload.max_concurrent:
            reason = 'max-concurrent'
        elif not self._is_within_quota(team, size):
            reason = 'quota'
        elif share >= self.entitlement and not self._leaves_reserve(size):
            reason = 'fair-share'
        return Decision(reason, share, self.entitlement)

    def note_placed(self, charge: Charge) -> None:
        """Charge a task that is placed in the current round."""
        self._accounts.charge(charge)
        self._committed = self._committed + charge.size

    def _is_within_quota(self, team: str, size: admission.Size) -> bool:
        if team not in self._teams:
            return False
        usage = self._accounts.find_usage(team) + size
        return usage.fits(read_quota(self._teams[team]))

    def _leaves_reserve(self, size: admission.Size) -> bool:
        limit = admission.Size(
            self._capacity.cores * (1 - RESERVE_FRACTION),
            self._capacity.memory_gb * (1 - RESERVE_FRACTION),
            self._capacity.accelerators,
        )
        return (self._committed + size).fits(limit)


Order = t.Callable[
    [
        t.Iterable[tasks_module.Task],
        t.Mapping[str, catalogue.Workload],
        Policy,
    ],
    t.Iterator[tasks_module.Task],
]
ORDERS: dict[str, Order] = {}


def register(name: str) -> t.Callable[[Order], Order]:
    """Register an order under a name."""

    def add(order: Order) -> Order:
        ORDERS[name] = order
        return order

    return add


@register('arrival')
def arrange_by_arrival(
    pending: t.Iterable[tasks_module.Task],
    workloads: t.Mapping[str, catalogue.Workload],
    policy: Policy,
) -> t.Iterator[tasks_module.Task]:
    """Yield pending tasks in order of acceptance; the baseline."""
    return (task for task in pending if task.workload in workloads)


@register('fair-share')
def arrange_by_fair_share(
    pending: t.Iterable[tasks_module.Task],
    workloads: t.Mapping[str, catalogue.Workload],
    policy: Policy,
) -> t.Iterator[tasks_module.Task]:
    """Yield pending tasks in the order in which they may be placed.

    Urgent tasks come first. Among the others, and among the urgent, the
    team with the smallest dominant share is next; each team's tasks
    come in order of acceptance. Shares are recomputed after each task,
    so the caller must charge a task before it requests the next.
    """
    queues: dict[bool, dict[str, list[tasks_module.Task]]] = {
        True: {},
        False: {},
    }
    for task in pending:
        if (workload := workloads.get(task.workload)) is not None:
            teams = queues[workload.urgent]
            teams.setdefault(task.team, []).append(task)
    yield from _interleave_teams(queues[True], policy)
    yield from _interleave_teams(queues[False], policy)


def _interleave_teams(
    queues: dict[str, list[tasks_module.Task]], policy: Policy
) -> t.Iterator[tasks_module.Task]:
    tie_breaker = itertools.count()
    heap = [
        (policy.find_share(team), next(tie_breaker), team, iter(queue))
        for team, queue in queues.items()
    ]
    heapq.heapify(heap)
    while heap:
        _, _, team, queue = heapq.heappop(heap)
        task = next(queue, None)
        if task is None:
            continue
        yield task
        entry = (policy.find_share(team), next(tie_breaker), team, queue)
        heapq.heappush(heap, entry)


def note_task(
    accounts: Accounts, task: tasks_module.Task, size: admission.Size
) -> None:
    """Update the accounts to a task's phase in the ledger."""
    if task.phase is records.TaskPhase.CLAIMED:
        accounts.charge(Charge(task.id, task.team, task.workload, size))
    else:
        accounts.release(task.id)
