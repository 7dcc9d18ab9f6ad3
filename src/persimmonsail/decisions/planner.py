"""Planning of which pending tasks of a partition start next, and where.

A holder requests a round of steps every tenth of a second. Quotas and
fair sharing determine the order, quarantine the candidates, and learned
usage the size; the placement policy chooses among the candidates.
"""

import dataclasses
import typing as t

from persimmonsail.bookkeeping import tasks as tasks_module
from persimmonsail.catalogues import catalogue as catalogue_module
from persimmonsail.decisions import admission
from persimmonsail.decisions import fleet as fleet_module
from persimmonsail.decisions import learning
from persimmonsail.decisions import placement
from persimmonsail.decisions import quarantine
from persimmonsail.decisions import quotas

# Seconds after its first announcement before an entry calls a task too
# large for every instance: other instances may not have reported yet.
SETTLING_SECONDS = 10.0
MAX_TASKS_PER_ROUND = 512

Chooser = t.Callable[
    [list[fleet_module.Instance], tasks_module.Task, admission.Size],
    fleet_module.Instance | None,
]


def choose(
    candidates: list[fleet_module.Instance],
    task: tasks_module.Task,
    size: admission.Size,
) -> fleet_module.Instance | None:
    """Choose the fitting candidate with the lowest share of cores taken."""
    return placement.choose_instance(candidates, size)


@dataclasses.dataclass(frozen=True)
class Placement:
    """A decision to start a task on an instance, with its terms.

    ``canary`` marks a test of an instance with consecutive failures,
    ``suspect`` a task whose workload fails on any instance.
    """

    task: tasks_module.Task
    instance: fleet_module.Instance
    estimate: learning.Estimate
    decision: quotas.Decision
    canary: bool
    suspect: bool


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A final decision that a task can never run."""

    task: tasks_module.Task
    reason: str


Step = Placement | Refusal


@dataclasses.dataclass
class LearnedState:
    """State learned jointly by all partitions that one entry holds.

    ``started_at`` has the start of each task's attempt in monotonic
    seconds, ``failed_on`` the instances on which each task has failed.
    """

    tracker: quarantine.Tracker = dataclasses.field(
        default_factory=quarantine.Tracker
    )
    learner: learning.Learner = dataclasses.field(
        default_factory=learning.Learner
    )
    started_at: dict[str, float] = dataclasses.field(default_factory=dict)
    failed_on: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    first_report_at: float | None = None

    def note_start(self, task: str, now: float) -> None:
        """Record the start of a task's attempt."""
        self.started_at[task] = now

    def note_end(
        self,
        task: tasks_module.Task,
        instance: str,
        failed: bool,
        now: float,
    ) -> quarantine.Verdict:
        """Record how an attempt ended and return its instance's verdict."""
        self.tracker.note(task.workload, instance, failed)
        began = self.started_at.pop(task.id, None)
        if failed:
            self.failed_on.setdefault(task.id, set()).add(instance)
        elif began is not None:
            self.learner.note_run(task.workload, now - began)
        return self.tracker.judge(instance)

    def forget(self, task: str) -> None:
        """Drop the state of a task that has its final outcome."""
        self.started_at.pop(task, None)
        self.failed_on.pop(task, None)

    def is_settled(self, fleet: fleet_module.Fleet, now: float) -> bool:
        """Whether enough instances are known to call tasks impossible."""
        if self.first_report_at is None and fleet.list_all():
            self.first_report_at = now
        first_report_at = self.first_report_at
        return (
            first_report_at is not None
            and now - first_report_at >= SETTLING_SECONDS
        )


def find_infeasibility(
    workload: catalogue_module.Workload,
    catalogue: catalogue_module.Catalogue,
    instances: t.Iterable[fleet_module.Instance],
) -> str:
    """Return why a workload can never run as declared; empty if it can.

    Instances that do not report count as known: a disconnected zone
    returns, and its tasks are not refused meanwhile.
    """
    size = read_declared(workload)
    quota = quotas.read_quota(catalogue.teams[workload.owner])
    if not size.fits(quota):
        return f'larger than the quota of {workload.owner}'
    limits = [admission.subtract_headroom(i.capacity) for i in instances]
    if not any(size.fits(limit) for limit in limits):
        return 'fits no known instance'
    return ''


def read_declared(workload: catalogue_module.Workload) -> admission.Size:
    """Return the size that the catalogue declares for a workload."""
    return admission.Size(
        workload.cores, workload.memory_gb, workload.accelerators
    )


class Planner:
    """Plans the rounds of one partition.

    Parameters
    ----------
    fleet : persimmonsail.decisions.fleet.Fleet
        The entry's view of instances.
    learned_state : Knowledge
        The state shared by all partitions that the entry holds.
    choose : callable
        The placement policy.
    order : str, optional
        The name of the order of tasks; see ``quotas.ORDERS``.
    """

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        learned_state: LearnedState,
        choose: Chooser,
        order: str = 'fair-share',
    ) -> None:
        self.accounts = quotas.Accounts()
        self.wait_reasons: dict[str, str] = {}
        self._fleet = fleet
        self._learned_state = learned_state
        self._choose = choose
        self._sort_tasks = quotas.ORDERS[order]

    def plan(
        self,
        pending: t.Sequence[tasks_module.Task],
        catalogue: catalogue_module.Catalogue,
        now: float,
    ) -> t.Iterator[Step]:
        """Yield the steps of one round.

        Each placement is charged and committed in the entry's view
        before the next step is chosen. Afterwards, ``wait_reasons`` has the
        reason why each considered task still waits.
        """
        self.wait_reasons = {}
        self._learned_state.is_settled(self._fleet, now)
        if pending:
            yield from _PlanningRound(self, catalogue, now).run(pending)

    def note_task(
        self,
        task: tasks_module.Task,
        catalogue: catalogue_module.Catalogue,
    ) -> None:
        """Update the accounts for a task in the ledger."""
        workload = catalogue.workloads.get(task.workload)
        size = read_declared(workload) if workload else admission.Size()
        quotas.note_task(self.accounts, task, size)


class _PlanningRound:
    def __init__(
        self,
        planner: Planner,
        catalogue: catalogue_module.Catalogue,
        now: float,
    ) -> None:
        self._planner = planner
        self._catalogue = catalogue
        self._now = now
        self._learned_state = planner._learned_state
        self._live = planner._fleet.list_live()
        limits = [admission.subtract_headroom(i.capacity) for i in self._live]
        self._limits = limits
        self._policy = quotas.Policy(
            planner.accounts,
            catalogue.teams,
            sum(limits, admission.Size()),
            sum((i.committed for i in self._live), admission.Size()),
        )
        self._quarantined = self._learned_state.tracker.select(
            {i.name: i.failures for i in self._live}, now
        )
        self._unplaceable_sizes: list[admission.Size] = []
        # No capacity is released within a round, so a reason that blocks
        # one task of a workload blocks all later ones.
        self._blocked: dict[str, str] = {}

    def run(self, pending: t.Sequence[tasks_module.Task]) -> t.Iterator[Step]:
        tasks = self._planner._sort_tasks(
            pending, self._catalogue.workloads, self._policy
        )
        for index, task in enumerate(tasks):
            if index >= MAX_TASKS_PER_ROUND:
                return
            if (step := self._plan_task(task)) is not None:
                yield step

    def _plan_task(self, task: tasks_module.Task) -> Step | None:
        if task.workload in self._blocked:
            self._planner.wait_reasons[task.id] = self._blocked[task.workload]
            return None
        workload = self._catalogue.workloads[task.workload]
        if reason := self._find_infeasibility(workload):
            return Refusal(task, reason)
        estimate = self._estimate(task.workload, workload)
        decision = self._policy.decide(
            task.team, task.workload, workload, estimate.size
        )
        if decision.reason:
            return self._block(task, decision.reason)
        chosen = self._choose(task, workload, estimate.size)
        if chosen is None:
            return self._block(task, 'no-room')
        return self._place(task, chosen, estimate, decision)

    def _block(self, task: tasks_module.Task, reason: str) -> None:
        self._planner.wait_reasons[task.id] = reason
        self._blocked[task.workload] = reason

    def _find_infeasibility(self, workload: catalogue_module.Workload) -> str:
        fleet = self._planner._fleet
        if not self._learned_state.is_settled(fleet, self._now):
            return ''
        return find_infeasibility(workload, self._catalogue, fleet.list_all())

    def _estimate(
        self, name: str, workload: catalogue_module.Workload
    ) -> learning.Estimate:
        declared = read_declared(workload)
        learner = self._learned_state.learner
        max_size = max(
            (limit for limit in self._limits if declared.fits(limit)),
            key=lambda limit: limit.cores,
            default=declared,
        )
        estimate = learner.estimate_size(name, declared, max_size)
        quota = quotas.read_quota(self._catalogue.teams[workload.owner])
        if not estimate.size.fits(quota):
            # An estimate must not exclude a workload from its team's quota.
            return learning.Estimate(declared, 'declared', estimate.samples)
        return estimate

    def _choose(
        self,
        task: tasks_module.Task,
        workload: catalogue_module.Workload,
        size: admission.Size,
    ) -> fleet_module.Instance | None:
        if any(
            unplaceable.fits(size) for unplaceable in self._unplaceable_sizes
        ):
            return None
        candidates = [i for i in self._live if self._may_start(i, workload)]
        # A task that failed on an instance is likely to fail there again;
        # its outcome elsewhere shows whether the task or the instance is
        # at fault.
        avoided = self._learned_state.failed_on.get(task.id, ())
        candidates = [
            i for i in candidates if i.name not in avoided
        ] or candidates
        canary_candidates = [
            i for i in candidates if i.name in self._quarantined
        ]
        if canary_candidates:
            # No policy would choose a failing instance, so a due canary
            # goes there regardless of free capacity elsewhere.
            chosen = self._planner._choose(canary_candidates, task, size)
            if chosen is not None:
                return chosen
        chosen = self._planner._choose(candidates, task, size)
        is_unfiltered = len(candidates) == len(self._live)
        if (
            chosen is None
            and is_unfiltered
            and not placement.list_fitting(candidates, size)
        ):
            self._unplaceable_sizes.append(size)
        return chosen

    def _may_start(
        self,
        instance: fleet_module.Instance,
        workload: catalogue_module.Workload,
    ) -> bool:
        if instance.name in self._quarantined:
            tracker = self._learned_state.tracker
            return (
                not instance.unproved
                and is_restartable(workload)
                and tracker.may_test(instance.name, self._now)
            )
        limit = self._learned_state.tracker.max_failures
        if instance.failures >= limit:
            return not instance.unproved
        return instance.failures + instance.unproved < limit

    def _place(
        self,
        task: tasks_module.Task,
        chosen: fleet_module.Instance,
        estimate: learning.Estimate,
        decision: quotas.Decision,
    ) -> Placement:
        tracker = self._learned_state.tracker
        quarantined = chosen.name in self._quarantined
        if quarantined:
            tracker.note_canary(chosen.name, self._now)
        chosen.committed = chosen.committed + estimate.size
        chosen.unproved += 1
        self._policy.note_placed(
            quotas.Charge(task.id, task.team, task.workload, estimate.size)
        )
        return Placement(
            task,
            chosen,
            estimate,
            decision,
            canary=quarantined or chosen.failures >= quarantine.MAX_FAILURES,
            suspect=tracker.is_job_faulty(task.workload),
        )


def is_restartable(workload: catalogue_module.Workload) -> bool:
    """Whether a failed attempt may be followed by another.

    Only such work tests a quarantined instance: a task that runs at most
    once would be lost if the test failed.
    """
    kind = catalogue_module.WorkloadClass.WATCHER
    return workload.idempotent or workload.workload_class is kind
