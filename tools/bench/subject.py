"""The package's own decisions as a policy of the bench, and an oracle.

The oracle takes the same decisions with actual values in place of
estimates: interference, the work on each worker and the lengths of the
queues, all without delay.
"""

import dataclasses
import functools
import random
import typing as t

from persimmonsail.catalogues import catalogue
from persimmonsail.decisions import admission
from persimmonsail.decisions import interference
from persimmonsail.decisions import ladder
from persimmonsail.decisions import objectives
from persimmonsail.decisions import placement
from persimmonsail.decisions import routing
from persimmonsail.decisions import usage as usage_module
from tools.bench import baselines
from tools.bench import colocation
from tools.bench import machines

_EVICTIONS_PER_SECOND = 1 / 15
_EVICTION_BURST = 4.0
_DEMAND_SMOOTHING = 0.8
_OWNER = 'owner'


def make_catalogue(
    load: colocation.Load, objective: catalogue.Objective
) -> catalogue.Catalogue:
    """Return a catalogue in which one team owns all workloads."""
    sections = [
        f'[team {_OWNER}]\nobjective = {objective}\n'
        'cores = 10000\nmemory-gb = 100000\n'
    ]
    classes = {
        **dict.fromkeys(load.quick, 'latency-critical'),
        **dict.fromkeys(load.batch, 'batch'),
    }
    for name, workload_class in classes.items():
        sections.append(
            f'[workload {name}]\nowner = {_OWNER}\nclass = {workload_class}\n'
            'cores = 1\nmemory-gb = 1\n'
        )
    return catalogue.parse('bench', '\n'.join(sections))


class SubjectPolicy(colocation.Policy):
    """The package's placement, routing and escalation ladder."""

    objective = catalogue.Objective.TAIL_LATENCY

    def __init__(self, world: colocation.World) -> None:
        super().__init__(world)
        clock = world.clock.read
        self.estimator = self._make_estimator()
        owner_objectives = objectives.Objectives(
            functools.partial(
                objectives.find_objective,
                make_catalogue(world.load, self.objective),
            )
        )
        self.placer = placement.Placer(self.estimator, owner_objectives, clock)
        self.router = routing.Router(
            self.estimator,
            clock,
            random.Random(world.chances.random()),
            2 * world.site.zone_delay,
        )
        budget = ladder.EvictionBudget(
            clock, _EVICTIONS_PER_SECOND, _EVICTION_BURST
        )
        self.ladder = ladder.Ladder(
            self.estimator, owner_objectives, budget, clock
        )
        self.timelines = {
            name: usage_module.Timeline(machines.CORES)
            for name in world.workers
        }
        self.joiners = {
            name: usage_module.Joiner(timeline, machines.SLOTS)
            for name, timeline in self.timelines.items()
        }
        self.evicted_from: dict[int, str] = {}

    def _make_estimator(self) -> interference.Estimator:
        return interference.Estimator()

    def route(self, candidates, workload, zone):
        """Choose the instance with the router."""
        return self.router.choose(candidates, workload, zone).instance

    def place(self, candidates, task):
        """Choose the instance with the placer."""
        requirement = placement.Requirement(
            workload=task.workload,
            size=admission.Size(task.cores, task.memory_gb),
            waited=self.world.clock.now - task.submitted,
            avoid=frozenset(filter(None, [self.evicted_from.get(task.id)])),
        )
        return self.placer.choose(candidates, requirement).instance

    def note_started(self, worker, task):
        """Record the start in the history, as a sidecar does."""
        self.timelines[worker].note_start(
            str(task.id), task.workload, task.cores, self.world.clock.now
        )
        self._update_views(worker)

    def note_stopped(self, worker, task):
        """Record the end in the history, as a sidecar does."""
        self.timelines[worker].note_stop(str(task.id), self.world.clock.now)
        self._update_views(worker)

    def note_usage(self, usage):
        """Join a delayed report with the history and learn from it."""
        joiner = self.joiners[usage.worker]
        report = usage_module.Report(
            usage.begin,
            usage.end,
            tuple(
                usage_module.ClassLatency(name, count, seconds)
                for name, (count, seconds) in usage.latencies.items()
            ),
            {str(task): cores for task, cores in usage.cores.items()},
        )
        for sample in joiner.join(report, self.world.clock.now):
            self.estimator.learn(sample)
        self._update_views(usage.worker)

    def _update_views(self, worker: str) -> None:
        shares = self.timelines[worker].find_shares()
        for view in (*self.world.entries, self.world.holder):
            instance = view[worker]
            instance.shares = shares
            instance.demand = self._smooth(
                instance.demand, self.joiners[worker].demand
            )

    @staticmethod
    def _smooth(
        previous: dict[str, float], current: dict[str, float]
    ) -> dict[str, float]:
        return {
            name: _DEMAND_SMOOTHING * previous.get(name, 0.0)
            + (1 - _DEMAND_SMOOTHING) * current.get(name, 0.0)
            for name in {*previous, *current}
        }

    def act(self):
        """Execute the ladder's decision for each instance."""
        for name, timeline in self.timelines.items():
            snapshot = self.make_snapshot(name, timeline)
            action = self.ladder.decide(
                snapshot, lambda task, n=name: self._find_relief(n, task)
            )
            if action is not None:
                self._execute(action)

    def make_snapshot(
        self, name: str, timeline: usage_module.Timeline
    ) -> ladder.InstanceSnapshot:
        """Return the ladder's snapshot of an instance."""
        return ladder.InstanceSnapshot(
            instance=name,
            tasks=tuple(
                ladder.RunningTask(*task) for task in timeline.list_tasks()
            ),
            demand=self.world.holder[name].demand,
            waiting=self.world.holder[name].queued / machines.SLOTS,
            lag=self.joiners[name].lag,
        )

    def _find_relief(self, name: str, task: ladder.RunningTask) -> float:
        live = self.world.list_live(self.world.holder)
        size = admission.Size(colocation.TASK_CORES, colocation.TASK_MEMORY_GB)
        here = self.world.holder[name]
        without_task = dataclasses.replace(
            here,
            shares={
                **here.shares,
                task.workload: here.shares.get(task.workload, 0.0)
                - task.share * task.speed,
            },
        )
        current = self.placer.find_interference(
            without_task, task.workload, task.share
        )
        elsewhere = [
            self.placer.find_interference(i, task.workload, task.share)
            for i in placement.list_fitting(live, size)
            if i.name != name
        ]
        if not elsewhere or current <= 0:
            return 0.0
        return 1.0 - min(elsewhere) / current

    def _execute(self, action: ladder.Action) -> None:
        task = int(action.task)
        if action.kind is ladder.Kind.EVICT:
            self.evicted_from[task] = action.instance
            self.world.evict(action.instance, task)
            return
        if self.world.throttle(action.instance, task, action.speed):
            self.timelines[action.instance].note_speed(
                action.task, action.speed, self.world.clock.now
            )
            self._update_views(action.instance)


@baselines.register('tail objective')
class TailPolicy(SubjectPolicy):
    """The package's decisions with Tallowford's objective."""


@baselines.register('throughput objective')
class ThroughputPolicy(SubjectPolicy):
    """The package's decisions with Pham Gia's objective."""

    objective = catalogue.Objective.THROUGHPUT


class TrueEstimator(interference.Estimator):
    """Returns the actual interference of a run."""

    def __init__(self, world: colocation.World) -> None:
        super().__init__()
        self._truth = world.truth
        self._quick = world.load.quick

    def find_base(self, victim, default=0.0):
        """Return the actual mean service time."""
        return self._quick[victim][0]

    def find_coefficient(self, victim, aggressor, busy):
        """Return the actual slowdown at a share of 1."""
        return (
            self._truth.find_request_slowdown(victim, {aggressor: 1.0}, busy)
            - 1.0
        )

    def predict(self, victim, shares, busy):
        """Return the actual factor."""
        return self._truth.find_request_slowdown(victim, shares, busy)

    def explain(self, victim, shares, busy):
        """Return the actual factor, with one term for each class."""
        terms = []
        for name, share in shares.items():
            excess = (
                self._truth.find_request_slowdown(victim, {name: share}, busy)
                - 1
            )
            coefficient = excess / share if share else 0.0
            terms.append(interference.Term(name, share, coefficient))
        terms.sort(key=lambda term: term.excess, reverse=True)
        return interference.Estimate(
            victim, self.predict(victim, shares, busy), tuple(terms)
        )


@baselines.register('oracle')
class OraclePolicy(SubjectPolicy):
    """The same decisions with actual values, observed without delay."""

    reporting = colocation.Reporting(lag=0.0, missing=0.0)

    def _make_estimator(self):
        return TrueEstimator(self.world)

    def route(self, candidates, workload, zone):
        """Choose with the actual shares and queues."""
        for instance in candidates:
            self.world.note_load(instance)
            worker = self.world.workers[instance.name]
            instance.shares = worker.list_shares()
        return super().route(candidates, workload, zone)


@baselines.register('throughput oracle')
class ThroughputOraclePolicy(OraclePolicy):
    """The oracle with Pham Gia's objective."""

    objective = catalogue.Objective.THROUGHPUT


def find_policy(
    name: str,
) -> t.Callable[[colocation.World], colocation.Policy]:
    """Return a policy of this module or a baseline by its name."""
    return baselines.POLICIES[name]
