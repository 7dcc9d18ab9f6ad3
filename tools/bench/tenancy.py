"""Batch tasks of many teams on fake instances, planned by real holders.

Orders, quotas, quarantine, learnt sizes and admission are the package's
own; instances, store and time are fakes. A latency here is how long a
task waited from its acceptance to its first start.
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
TICK = 0.1
COMMIT = 0.1
RENEW = 1.5
REPORT = 0.5
USAGE = 2.0
LEASE = 6.0
LEASE_MARGIN = 2.0
CHECKPOINT = 5.0
MAX_ATTEMPTS = 3
_FAIL_SECONDS = 0.05


@dataclasses.dataclass(frozen=True)
class Rules:
    """Which of the package's policies a run uses, by name."""

    tracker: str = 'crossings'
    learner: str = 'quantiles'
    order: str = 'fair-share'


@dataclasses.dataclass(frozen=True)
class Kind:
    """The truth of a workload; no policy is told ``used`` or ``broken``.

    ``rate`` is in tasks a second, ``wave`` arrives at the start.
    """

    name: str
    team: str
    declared: admission.Size
    used: admission.Size
    seconds: float
    rate: float
    idempotent: bool = True
    broken: bool = False
    wave: int = 0


@dataclasses.dataclass
class Running:
    """One attempt on an instance."""

    task: str
    attempt: int
    kind: Kind
    began: float
    left: float
    phase: str = 'active'


class Node:
    """An instance with its sidecar's real admission and probation."""

    def __init__(
        self, name: str, zone: str, probed: bool, clock: t.Callable
    ) -> None:
        self.name = name
        self.zone = zone
        self.alive = True
        self.broken = False
        self._probed = probed
        self._clock = clock
        self.starts = 0
        self.canaries = 0
        self.kills = 0
        self.overuse = 0.0
        self.restart()

    def restart(self) -> None:
        """Come back empty."""
        self.commitments = admission.Commitments(CAPACITY)
        self.probation = None
        if self._probed:
            self.probation = quarantine.Probation(self._clock)
        self.running: dict[str, Running] = {}
        self.ended: dict[tuple[str, int], str] = {}

    @property
    def used(self) -> admission.Size:
        """What the running tasks really take."""
        sizes = (run.kind.used for run in self.running.values())
        return sum(sizes, admission.Size())

    def start(
        self,
        step: planner_module.Placement,
        attempt: int,
        kind: Kind,
        now: float,
    ) -> str:
        """Start an attempt; return why it is refused, if it is."""
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
        seconds = kind.seconds
        if self.broken or kind.broken:
            seconds = _FAIL_SECONDS
        self.running[step.task.id] = Running(
            step.task.id, attempt, kind, now, seconds
        )
        return ''

    def advance(self, seconds: float) -> None:
        """Let tasks run; cores are shared, memory kills the newest."""
        used = self.used
        while used.memory_gb > CAPACITY.memory_gb:
            newest = max(self.running.values(), key=lambda r: r.began)
            self.kills += 1
            self.end(newest, 'failed')
            used = self.used
        self.overuse += max(used.cores - CAPACITY.cores, 0.0) * seconds
        speed = min(1.0, CAPACITY.cores / max(used.cores, 1.0))
        for run in list(self.running.values()):
            run.left -= seconds * speed
            if run.left <= 0:
                failed = self.broken or run.kind.broken
                self.end(run, 'failed' if failed else 'succeeded')

    def end(self, run: Running, phase: str) -> None:
        """Note an attempt's end for the next renewal."""
        run.phase = phase
        del self.running[run.task]
        self.commitments.release(run.task)
        self.ended[run.task, run.attempt] = phase

    def read_state(self, task: str, attempt: int) -> str:
        """Answer a renewal, and tell the probation what it shows."""
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
    """An entry's view, on the virtual clock."""

    def __init__(self, clock: clock_module.EventQueue) -> None:
        super().__init__(2.0)
        self._clock = clock

    def note_node(self, node: Node) -> None:
        """Take a sidecar's report in."""
        found = self._instances.get(node.name)
        if found is None:
            found = self._instances[node.name] = _make_instance(node)
        found.committed = node.commitments.total
        found.reported_at = self._clock.now
        if node.probation:
            found.failures = node.probation.failures
            found.unproved = node.probation.unproved

    def list_live(self, service: str = '') -> list[fleet_module.Instance]:
        """Return the instances that were heard of lately."""
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
    """The tasks of some teams, followed as a partition's holder does."""

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
        self.open: dict[str, tasks_module.Task] = {}
        self.busy: set[str] = set()
        self.claimed_at: dict[str, float] = {}

    def submit(self, kind: Kind, task: str) -> None:
        """Accept a task."""
        made = tasks_module.Task(task, kind.name, kind.team, '{}', 1)
        self.tasks[task] = self.open[task] = made

    def dispatch(self) -> None:
        """Plan a round and commit its steps."""
        if self.world.store_down:
            return
        pending = [
            task
            for task in self.open.values()
            if task.phase is records.TaskPhase.PENDING
            and task.id not in self.busy
        ]
        for step in self.planner.plan(
            pending, self.world.catalogue, self.world.clock.now
        ):
            self.busy.add(step.task.id)
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
        self.busy.discard(task.id)
        if not node.alive:
            return
        kind = self.world.kinds[task.workload]
        if node.start(step, task.attempt, kind, now):
            self.busy.add(task.id)
            self._commit(self._release, task)
            return
        self.world.note_start(task, kind)

    def _release(self, task: tasks_module.Task) -> None:
        task.phase = records.TaskPhase.PENDING
        task.instance = ''
        self._settle(task)

    def _finish(
        self, task: tasks_module.Task, phase: records.TaskPhase
    ) -> None:
        task.phase = phase
        self.open.pop(task.id)
        self._settle(task)
        self.world.note_end(task)

    def _settle(self, task: tasks_module.Task) -> None:
        self.planner.note_task(task, self.world.catalogue)
        self.busy.discard(task.id)

    def renew(self) -> None:
        """Ask the sidecars how the claimed tasks stand."""
        now = self.world.clock.now
        for task in list(self.open.values()):
            claimed = task.phase is records.TaskPhase.CLAIMED
            if not claimed or task.id in self.busy:
                continue
            node = self.world.nodes[task.instance]
            if node.alive:
                self.claimed_at[task.id] = now
                self._note_state(task, node)
            elif now - self.claimed_at[task.id] >= LEASE + LEASE_MARGIN:
                self.busy.add(task.id)
                self._commit(self._give_up, task)

    def _note_state(self, task: tasks_module.Task, node: Node) -> None:
        phase = node.read_state(task.id, task.attempt)
        if phase == 'active':
            return
        self.busy.add(task.id)
        if phase == 'absent':
            self._commit(self._give_up, task)
            return
        failed = phase == 'failed'
        self.learned_state.tracker.note(task.workload, node.name, failed)
        if failed:
            self._commit(self._note_failure, task)
        else:
            kind = self.world.kinds[task.workload]
            self.learned_state.learner.note_run(kind.name, kind.seconds)
            self._commit(self._finish, task, records.TaskPhase.SUCCEEDED)

    def _note_failure(self, task: tasks_module.Task) -> None:
        kind = self.world.kinds[task.workload]
        to_blame = self.learned_state.tracker.is_job_faulty(task.workload)
        if kind.idempotent and task.attempt < MAX_ATTEMPTS and not to_blame:
            self._release(task)
        else:
            self._finish(task, records.TaskPhase.FAILED)

    def _give_up(self, task: tasks_module.Task) -> None:
        if self.world.kinds[task.workload].idempotent:
            self._release(task)
        else:
            self._finish(task, records.TaskPhase.UNKNOWN)

    def note_usage(self) -> None:
        """Learn what this holder's tasks use."""
        for node in self.world.nodes.values():
            for run in node.running.values():
                if run.task in self.tasks:
                    used = run.kind.used
                    self.learned_state.learner.note_usage(
                        run.kind.name, used.cores, used.memory_gb
                    )


def _choose(candidates, task, size) -> fleet_module.Instance | None:
    return placement.choose_instance(candidates, size)


class World:
    """One run: arrivals, holders, nodes, and all counting."""

    def __init__(
        self,
        rules: Rules,
        kinds: t.Sequence[Kind],
        catalogue: catalogue_module.Catalogue,
        seed: int,
    ) -> None:
        # The decisions' log lines would drown the bench's tables.
        absl_logging.set_verbosity(absl_logging.ERROR)
        self.clock = clock_module.EventQueue()
        self.rules = rules
        self.kinds = {kind.name: kind for kind in kinds}
        self.catalogue = catalogue
        self.run = results.Run()
        self.arrivals = random.Random(f'tenancy {seed}')
        self.store_down = False
        self.nodes = {
            f'instance-{number:02d}': Node(
                f'instance-{number:02d}',
                'abc'[number // machines.RACK_SIZE % machines.ZONES],
                probed=rules.tracker != 'none',
                clock=self.clock.read,
            )
            for number in range(machines.WORKERS)
        }
        self.holders = [Holder(self, n) for n in range(ENTRIES)]
        self.accepted: dict[str, float] = {}
        self.answered: dict[str, float] = {}
        self.work: dict[str, float] = collections.defaultdict(float)
        self.most_quarantined = 0.0
        self._stalled: list[t.Callable[[], None]] = []
        self._starts: collections.Counter[str] = collections.Counter()
        self._arriving = True

    def find_holder(self, team: str) -> Holder:
        """Return the holder of a team's partition."""
        number = list(self.catalogue.teams).index(team) % ENTRIES
        return self.holders[number]

    def commit(self, action: t.Callable[[], None]) -> None:
        """Run an action once the store has taken its record."""

        def end() -> None:
            if self.store_down:
                self._stalled.append(action)
            else:
                action()

        self.clock.call_later(COMMIT, end)

    def set_store(self, down: bool) -> None:
        """Take the store away, or bring it back."""
        self.store_down = down
        if not down:
            stalled, self._stalled = self._stalled, []
            for action in stalled:
                self.commit(action)

    def set_zone(self, zone: str, alive: bool) -> None:
        """Lose a zone's instances, or bring them back empty."""
        for node in self.nodes.values():
            if node.zone == zone:
                node.alive = alive
                node.restart()

    def execute(self, seconds: float, drain: float = 60.0) -> results.Run:
        """Let arrivals come for a time, drain, and count."""
        for kind in self.kinds.values():
            for _ in range(kind.wave):
                self._submit(kind)
            if kind.rate:
                self._schedule(kind)
        self.clock.call_every(TICK, self._advance)
        self.clock.call_every(REPORT, self._report)
        for holder in self.holders:
            self.clock.call_every(TICK, holder.dispatch)
            self.clock.call_every(RENEW, holder.renew)
            self.clock.call_every(USAGE, holder.note_usage)
        self.clock.run(seconds)
        self._arriving = False
        self.clock.run(seconds + drain)
        self._count()
        return self.run

    def _schedule(self, kind: Kind) -> None:
        delay = self.arrivals.expovariate(kind.rate)
        self.clock.call_later(delay, self._arrive, kind)

    def _arrive(self, kind: Kind) -> None:
        if self._arriving:
            self._submit(kind)
            self._schedule(kind)

    def _submit(self, kind: Kind) -> None:
        # An entry without the store can't accept a task; it says so.
        if self.store_down:
            self.run.extras['turned away'] += 1
            return
        self.run.batch_submitted += 1
        name = f'{self.run.batch_submitted:06d}'
        self.accepted[name] = self.clock.now
        self.find_holder(kind.team).submit(kind, name)

    def _advance(self) -> None:
        for node in self.nodes.values():
            if node.alive:
                node.advance(TICK)
            fits = node.commitments.total.fits(CAPACITY)
            self.run.extras['overcommitted'] += not fits

    def _report(self) -> None:
        for holder in self.holders:
            for node in self.nodes.values():
                if node.alive:
                    holder.view.note_node(node)
            held = holder.learned_state.tracker.count_quarantined()
            share = held / max(len(holder.view.list_live()), 1)
            self.most_quarantined = max(self.most_quarantined, share)

    def note_start(self, task: tasks_module.Task, kind: Kind) -> None:
        """Count a start that an instance has taken."""
        self._starts[task.id] += 1
        if self._starts[task.id] == 1:
            waited = self.clock.now - self.accepted[task.id]
            self.run.latencies.record(waited)
        elif not kind.idempotent:
            self.run.doubled += 1
        places = sum(task.id in n.running for n in self.nodes.values())
        self.run.doubled += max(places - 1, 0)

    def note_end(self, task: tasks_module.Task) -> None:
        """Count a final outcome."""
        if task.id in self.answered:
            self.run.doubled += 1
        kind = self.kinds[task.workload]
        self.answered[task.id] = self.clock.now
        if task.phase is records.TaskPhase.SUCCEEDED:
            self.run.batch_finished += 1
            self.run.batch_work += kind.used.cores * kind.seconds
            self.work[task.team] += kind.used.cores * kind.seconds
        elif task.phase is records.TaskPhase.UNKNOWN:
            self.run.extras['unknown'] += 1
        elif not kind.broken:
            self.run.extras['good work failed'] += 1

    def find_answer_times(self, workloads: t.Container[str]) -> list[float]:
        """Return seconds from acceptance to the final answer, sorted."""
        return sorted(
            self.answered[task.id] - self.accepted[task.id]
            for holder in self.holders
            for task in holder.tasks.values()
            if task.workload in workloads and task.id in self.answered
        )

    def _count(self) -> None:
        known = sum(len(holder.tasks) for holder in self.holders)
        self.run.lost += self.run.batch_submitted - known
        nodes = self.nodes.values()
        extras = self.run.extras
        extras['memory kills'] = sum(n.kills for n in nodes)
        extras['overused core-s'] = sum(n.overuse for n in nodes)
        extras['unanswered'] = sum(len(h.open) for h in self.holders)
        extras['most quarantined'] = self.most_quarantined
