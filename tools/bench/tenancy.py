"""Batch tasks of many teams on fake instances, planned by real planners.

Ordering, quotas, quarantine, learned sizes and admission are the
package's own; instances, store and time are fakes. Latencies are the
times from a task's acceptance to its first start.
"""

import collections
import dataclasses
import functools
import random
import typing as t

from absl import logging as absl_logging

from persimmonsail.bookkeeping import records
from persimmonsail.bookkeeping import tasks as tasks_module
from persimmonsail.catalogues import catalogue as catalogue_module
from persimmonsail.decisions import admission
from persimmonsail.decisions import fleet as fleet_module
from persimmonsail.decisions import learning
from persimmonsail.decisions import placement
from persimmonsail.decisions import planner as planner_module
from persimmonsail.decisions import quarantine
from tools.bench import clock as clock_module
from tools.bench import machines
from tools.bench import results

CAPACITY = admission.Size(machines.CORES, machines.MEMORY_GB)
ENTRIES = 3
TICK_SECONDS = 0.1
COMMIT_SECONDS = 0.1
RENEWAL_INTERVAL_SECONDS = 1.5
REPORT_INTERVAL_SECONDS = 0.5
USAGE_INTERVAL_SECONDS = 2.0
LEASE_SECONDS = 6.0
LEASE_MARGIN_SECONDS = 2.0
CHECKPOINT_SECONDS = 5.0
MAX_ATTEMPTS = 3
_FAILURE_SECONDS = 0.05


@dataclasses.dataclass(frozen=True)
class Rules:
    """Names of the package's policies that a run uses."""

    tracker: str = 'crossings'
    learner: str = 'quantiles'
    order: str = 'fair-share'


@dataclasses.dataclass(frozen=True)
class Workload:
    """A workload; policies can't observe ``used`` and ``broken``.

    ``rate`` is in tasks per second; ``burst`` tasks arrive at the start.
    """

    name: str
    team: str
    declared: admission.Size
    used: admission.Size
    seconds: float
    rate: float
    idempotent: bool = True
    broken: bool = False
    burst: int = 0


@dataclasses.dataclass
class Attempt:
    """One attempt of a task on an instance."""

    task: str
    attempt: int
    workload: Workload
    started_at: float
    remaining_seconds: float
    phase: str = 'active'


class Node:
    """An instance with a sidecar's real admission and probation."""

    def __init__(
        self, name: str, zone: str, has_probation: bool, clock: t.Callable
    ) -> None:
        self.name = name
        self.zone = zone
        self.alive = True
        self.broken = False
        self._has_probation = has_probation
        self._clock = clock
        self.starts = 0
        self.canaries = 0
        self.memory_kills = 0
        self.overused_core_seconds = 0.0
        self.restart()

    def restart(self) -> None:
        """Return to service without any work."""
        self.commitments = admission.Commitments(CAPACITY)
        self.probation = None
        if self._has_probation:
            self.probation = quarantine.Probation(self._clock)
        self.running: dict[str, Attempt] = {}
        self.ended: dict[tuple[str, int], str] = {}

    @property
    def used(self) -> admission.Size:
        """The actual usage of the running tasks."""
        sizes = (run.workload.used for run in self.running.values())
        return sum(sizes, admission.Size())

    def start(
        self,
        step: planner_module.Placement,
        attempt: int,
        workload: Workload,
        now: float,
    ) -> str:
        """Start an attempt; return the reason if it is refused."""
        if self.probation and (
            reason := self.probation.find_refusal(step.canary)
        ):
            return reason
        limit = admission.subtract_headroom(CAPACITY)
        if not self.commitments.try_commit(
            step.task.id, step.estimate.size, limit
        ):
            return 'no capacity'
        self.starts += 1
        self.canaries += step.canary
        if self.probation and not step.suspect:
            self.probation.note_start(step.task.id, attempt)
        seconds = workload.seconds
        if self.broken or workload.broken:
            seconds = _FAILURE_SECONDS
        self.running[step.task.id] = Attempt(
            step.task.id, attempt, workload, now, seconds
        )
        return ''

    def advance(self, seconds: float) -> None:
        """Run the tasks for a time.

        Cores are shared in proportion; if memory is exhausted, the newest
        task is killed.
        """
        used = self.used
        while used.memory_gb > CAPACITY.memory_gb:
            newest = max(self.running.values(), key=lambda r: r.started_at)
            self.memory_kills += 1
            self.end(newest, 'failed')
            used = self.used
        self.overused_core_seconds += (
            max(used.cores - CAPACITY.cores, 0.0) * seconds
        )
        speed = min(1.0, CAPACITY.cores / max(used.cores, 1.0))
        for run in list(self.running.values()):
            run.remaining_seconds -= seconds * speed
            if run.remaining_seconds <= 0:
                failed = self.broken or run.workload.broken
                self.end(run, 'failed' if failed else 'succeeded')

    def end(self, run: Attempt, phase: str) -> None:
        """Record an attempt's end for the next renewal."""
        run.phase = phase
        del self.running[run.task]
        self.commitments.release(run.task)
        self.ended[run.task, run.attempt] = phase

    def read_state(self, task: str, attempt: int) -> str:
        """Return an attempt's state and report it to the probation."""
        run = self.running.get(task)
        phase = self.ended.get((task, attempt), 'absent')
        if run is not None and run.attempt == attempt:
            phase = 'active'
        if self.probation is None:
            return phase
        if phase == 'failed':
            self.probation.note_failure(task, attempt)
        elif phase == 'succeeded':
            self.probation.note_success(task, attempt)
        elif phase == 'active':
            self.probation.note_active(task, attempt)
        return phase


class View(fleet_module.Fleet):
    """An entry's view of the fleet, on the virtual clock."""

    def __init__(self, clock: clock_module.EventQueue) -> None:
        super().__init__(2.0)
        self._clock = clock

    def note_node(self, node: Node) -> None:
        """Process a sidecar's report."""
        found = self._instances.get(node.name)
        if found is None:
            found = self._instances[node.name] = _make_instance(node)
        found.committed = node.commitments.total
        found.reported_at = self._clock.now
        if node.probation:
            found.failures = node.probation.failures
            found.unproved = node.probation.unproved

    def list_live(self, service: str = '') -> list[fleet_module.Instance]:
        """Return the instances that reported recently."""
        oldest = self._clock.now - self._timeout
        return [i for i in self._instances.values() if i.reported_at >= oldest]


def _make_instance(node: Node) -> fleet_module.Instance:
    return fleet_module.Instance(
        name=node.name,
        zone=node.zone,
        rack='none',
        incarnation='1',
        address=node.name,
        service='none',
        leaving=False,
        slots=machines.SLOTS,
        max_connections=machines.CONNECTIONS,
        capacity=CAPACITY,
        committed=admission.Size(),
        busy_slots=0,
        queued=0,
        connections=0,
        reported_at=0.0,
    )


class Holder:
    """The tasks of some teams, managed as by a partition's holder."""

    def __init__(self, world: 'World', number: int) -> None:
        rules = world.rules
        self.world = world
        self.view = View(world.clock)
        self.learned_state = planner_module.LearnedState(
            quarantine.POLICIES[rules.tracker](),
            learning.POLICIES[rules.learner](),
        )
        self.planner = planner_module.Planner(
            self.view, self.learned_state, _choose, rules.order
        )
        self.tasks: dict[str, tasks_module.Task] = {}
        self.open_tasks: dict[str, tasks_module.Task] = {}
        self.committing: set[str] = set()
        self.claimed_at: dict[str, float] = {}

    def submit(self, workload: Workload, task: str) -> None:
        """Accept a task."""
        created = tasks_module.Task(
            task, workload.name, workload.team, '{}', 1
        )
        self.tasks[task] = self.open_tasks[task] = created

    def dispatch(self) -> None:
        """Plan a round of steps and commit them."""
        if self.world.store_down:
            return
        pending = [
            task
            for task in self.open_tasks.values()
            if task.phase is records.TaskPhase.PENDING
            and task.id not in self.committing
        ]
        for step in self.planner.plan(
            pending, self.world.catalogue, self.world.clock.now
        ):
            self.committing.add(step.task.id)
            if isinstance(step, planner_module.Refusal):
                self._commit(self._refuse, step)
            else:
                self._commit(self._start, step)

    def _commit(self, action: t.Callable, *args: t.Any) -> None:
        self.world.commit(functools.partial(action, *args))

    def _refuse(self, step: planner_module.Refusal) -> None:
        self.world.run.refused += 1
        self._finish(step.task, records.TaskPhase.FAILED)

    def _start(self, step: planner_module.Placement) -> None:
        task = step.task
        now = self.world.clock.now
        task.phase = records.TaskPhase.CLAIMED
        task.attempt += 1
        task.instance = step.instance.name
        node = self.world.nodes[task.instance]
        self.claimed_at[task.id] = now
        self.committing.discard(task.id)
        if not node.alive:
            return
        workload = self.world.workloads[task.workload]
        if node.start(step, task.attempt, workload, now):
            self.committing.add(task.id)
            self._commit(self._release, task)
            return
        self.world.note_start(task, workload)

    def _release(self, task: tasks_module.Task) -> None:
        task.phase = records.TaskPhase.PENDING
        task.instance = ''
        self._settle(task)

    def _finish(
        self, task: tasks_module.Task, phase: records.TaskPhase
    ) -> None:
        task.phase = phase
        self.open_tasks.pop(task.id)
        self._settle(task)
        self.world.note_end(task)

    def _settle(self, task: tasks_module.Task) -> None:
        self.planner.note_task(task, self.world.catalogue)
        self.committing.discard(task.id)

    def renew(self) -> None:
        """Request the states of the claimed tasks from the sidecars."""
        now = self.world.clock.now
        for task in list(self.open_tasks.values()):
            claimed = task.phase is records.TaskPhase.CLAIMED
            if not claimed or task.id in self.committing:
                continue
            node = self.world.nodes[task.instance]
            if node.alive:
                self.claimed_at[task.id] = now
                self._note_state(task, node)
            elif (
                now - self.claimed_at[task.id]
                >= LEASE_SECONDS + LEASE_MARGIN_SECONDS
            ):
                self.committing.add(task.id)
                self._commit(self._abandon, task)

    def _note_state(self, task: tasks_module.Task, node: Node) -> None:
        phase = node.read_state(task.id, task.attempt)
        if phase == 'active':
            return
        self.committing.add(task.id)
        if phase == 'absent':
            self._commit(self._abandon, task)
            return
        failed = phase == 'failed'
        self.learned_state.tracker.note(task.workload, node.name, failed)
        if failed:
            self._commit(self._note_failure, task)
        else:
            workload = self.world.workloads[task.workload]
            self.learned_state.learner.note_run(
                workload.name, workload.seconds
            )
            self._commit(self._finish, task, records.TaskPhase.SUCCEEDED)

    def _note_failure(self, task: tasks_module.Task) -> None:
        workload = self.world.workloads[task.workload]
        job_faulty = self.learned_state.tracker.is_job_faulty(task.workload)
        if (
            workload.idempotent
            and task.attempt < MAX_ATTEMPTS
            and not job_faulty
        ):
            self._release(task)
        else:
            self._finish(task, records.TaskPhase.FAILED)

    def _abandon(self, task: tasks_module.Task) -> None:
        if self.world.workloads[task.workload].idempotent:
            self._release(task)
        else:
            self._finish(task, records.TaskPhase.UNKNOWN)

    def note_usage(self) -> None:
        """Record the usage of this holder's tasks."""
        for node in self.world.nodes.values():
            for run in node.running.values():
                if run.task in self.tasks:
                    used = run.workload.used
                    self.learned_state.learner.note_usage(
                        run.workload.name, used.cores, used.memory_gb
                    )


def _choose(candidates, task, size) -> fleet_module.Instance | None:
    return placement.choose_instance(candidates, size)


class World:
    """One run: arrivals, holders, nodes, and the measurements."""

    def __init__(
        self,
        rules: Rules,
        workloads: t.Sequence[Workload],
        catalogue: catalogue_module.Catalogue,
        seed: int,
    ) -> None:
        # The decisions' log lines would hide the bench's tables.
        absl_logging.set_verbosity(absl_logging.ERROR)
        self.clock = clock_module.EventQueue()
        self.rules = rules
        self.workloads = {workload.name: workload for workload in workloads}
        self.catalogue = catalogue
        self.run = results.Run()
        self.arrivals = random.Random(f'tenancy {seed}')
        self.store_down = False
        self.nodes = {
            f'instance-{number:02d}': Node(
                f'instance-{number:02d}',
                'abc'[number // machines.RACK_SIZE % machines.ZONES],
                has_probation=rules.tracker != 'none',
                clock=self.clock.read,
            )
            for number in range(machines.WORKERS)
        }
        self.holders = [Holder(self, n) for n in range(ENTRIES)]
        self.accepted_at: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.work_by_team: dict[str, float] = collections.defaultdict(float)
        self.max_quarantined_share = 0.0
        self._stalled_commits: list[t.Callable[[], None]] = []
        self._start_counts: collections.Counter[str] = collections.Counter()
        self._arriving = True

    def find_holder(self, team: str) -> Holder:
        """Return the holder of a team's partition."""
        number = list(self.catalogue.teams).index(team) % ENTRIES
        return self.holders[number]

    def commit(self, action: t.Callable[[], None]) -> None:
        """Run an action once the store has committed its record."""

        def end() -> None:
            if self.store_down:
                self._stalled_commits.append(action)
            else:
                action()

        self.clock.call_later(COMMIT_SECONDS, end)

    def set_store_down(self, down: bool) -> None:
        """Make the store unavailable or available."""
        self.store_down = down
        if not down:
            stalled, self._stalled_commits = self._stalled_commits, []
            for action in stalled:
                self.commit(action)

    def set_zone_alive(self, zone: str, alive: bool) -> None:
        """Fail a zone's instances or recover them without their tasks."""
        for node in self.nodes.values():
            if node.zone == zone:
                node.alive = alive
                node.restart()

    def execute(self, seconds: float, drain: float = 60.0) -> results.Run:
        """Generate arrivals for a time, drain, and return the counts."""
        for workload in self.workloads.values():
            for _ in range(workload.burst):
                self._submit(workload)
            if workload.rate:
                self._schedule(workload)
        self.clock.call_every(TICK_SECONDS, self._advance)
        self.clock.call_every(REPORT_INTERVAL_SECONDS, self._report)
        for holder in self.holders:
            self.clock.call_every(TICK_SECONDS, holder.dispatch)
            self.clock.call_every(RENEWAL_INTERVAL_SECONDS, holder.renew)
            self.clock.call_every(USAGE_INTERVAL_SECONDS, holder.note_usage)
        self.clock.run(seconds)
        self._arriving = False
        self.clock.run(seconds + drain)
        self._count_outcomes()
        return self.run

    def _schedule(self, workload: Workload) -> None:
        delay = self.arrivals.expovariate(workload.rate)
        self.clock.call_later(delay, self._arrive, workload)

    def _arrive(self, workload: Workload) -> None:
        if self._arriving:
            self._submit(workload)
            self._schedule(workload)

    def _submit(self, workload: Workload) -> None:
        # An entry refuses tasks while the store is unavailable.
        if self.store_down:
            self.run.extras['turned away'] += 1
            return
        self.run.batch_submitted += 1
        name = f'{self.run.batch_submitted:06d}'
        self.accepted_at[name] = self.clock.now
        self.find_holder(workload.team).submit(workload, name)

    def _advance(self) -> None:
        for node in self.nodes.values():
            if node.alive:
                node.advance(TICK_SECONDS)
            fits = node.commitments.total.fits(CAPACITY)
            self.run.extras['overcommitted'] += not fits

    def _report(self) -> None:
        for holder in self.holders:
            for node in self.nodes.values():
                if node.alive:
                    holder.view.note_node(node)
            quarantined = holder.learned_state.tracker.count_quarantined()
            share = quarantined / max(len(holder.view.list_live()), 1)
            self.max_quarantined_share = max(self.max_quarantined_share, share)

    def note_start(self, task: tasks_module.Task, workload: Workload) -> None:
        """Count a start that an instance has accepted."""
        self._start_counts[task.id] += 1
        if self._start_counts[task.id] == 1:
            wait = self.clock.now - self.accepted_at[task.id]
            self.run.latencies.record(wait)
        elif not workload.idempotent:
            self.run.doubled += 1
        instances = sum(task.id in n.running for n in self.nodes.values())
        self.run.doubled += max(instances - 1, 0)

    def note_end(self, task: tasks_module.Task) -> None:
        """Count a task's final outcome."""
        if task.id in self.answered_at:
            self.run.doubled += 1
        workload = self.workloads[task.workload]
        self.answered_at[task.id] = self.clock.now
        if task.phase is records.TaskPhase.SUCCEEDED:
            self.run.batch_finished += 1
            self.run.batch_work += workload.used.cores * workload.seconds
            self.work_by_team[task.team] += (
                workload.used.cores * workload.seconds
            )
        elif task.phase is records.TaskPhase.UNKNOWN:
            self.run.extras['unknown'] += 1
        elif not workload.broken:
            self.run.extras['good work failed'] += 1

    def list_answer_times(self, workloads: t.Container[str]) -> list[float]:
        """Return the sorted seconds from acceptance to the final answer."""
        return sorted(
            self.answered_at[task.id] - self.accepted_at[task.id]
            for holder in self.holders
            for task in holder.tasks.values()
            if task.workload in workloads and task.id in self.answered_at
        )

    def _count_outcomes(self) -> None:
        recorded = sum(len(holder.tasks) for holder in self.holders)
        self.run.lost += self.run.batch_submitted - recorded
        nodes = self.nodes.values()
        extras = self.run.extras
        extras['memory kills'] = sum(n.memory_kills for n in nodes)
        extras['overused core-s'] = sum(n.overused_core_seconds for n in nodes)
        extras['unanswered'] = sum(len(h.open_tasks) for h in self.holders)
        extras['most quarantined'] = self.max_quarantined_share
