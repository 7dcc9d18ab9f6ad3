"""The package's own decisions as a policy of the bench, and an oracle.

The oracle runs the same decisions with the truth in place of the
estimate: it knows the true interference, what truly runs on each worker
and how long each queue is, all without delay.
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
_DEMAND_MEMORY = 0.8
_OWNER = 'owner'


def make_catalogue(
    load: colocation.Load, objective: catalogue.Objective
) -> catalogue.Catalogue:
    """Return a catalogue in which one team owns everything."""
    sections = [
        f'[team {_OWNER}]\nobjective = {objective}\n'
        'cores = 10000\nmemory-gb = 100000\n'
    ]
    kinds = {
        **dict.fromkeys(load.quick, 'latency-critical'),
        **dict.fromkeys(load.batch, 'batch'),
    }
    for name, kind in kinds.items():
        sections.append(
            f'[workload {name}]\nowner = {_OWNER}\nclass = {kind}\n'
            'cores = 1\nmemory-gb = 1\n'
        )
    return catalogue.parse('bench', '\n'.join(sections))


class SubjectPolicy(colocation.Policy):
    """Placement, routing and ladder as the package decides them."""

    objective = catalogue.Objective.TAIL_LATENCY

    def __init__(self, world: colocation.World) -> None:
        super().__init__(world)
        clock = world.clock.read
        self.estimator = self._make_estimator()
        owners = objectives.Objectives(
            functools.partial(
                objectives.find_objective,
                make_catalogue(world.load, self.objective),
            )
        )
        self.placer = placement.Placer(self.estimator, owners, clock)
        self.router = routing.Router(
            self.estimator,
            clock,
            random.Random(world.chances.random()),
            2 * world.site.zone_delay,
        )
        budget = ladder.EvictionBudget(
            clock, _EVICTIONS_PER_SECOND, _EVICTION_BURST
        )
        self.ladder = ladder.Ladder(self.estimator, owners, budget, clock)
        self.timelines = {
            name: usage_module.Timeline(machines.CORES)
            for name in world.workers
        }
        self.joiners = {
            name: usage_module.Joiner(timeline, machines.SLOTS)
            for name, timeline in self.timelines.items()
        }
        self.left: dict[int, str] = {}

    def _make_estimator(self) -> interference.Estimator:
        return interference.Estimator()

    def route(self, candidates, workload, zone):
        """Choose by the router's cost."""
        return self.router.choose(candidates, workload, zone).instance

    def place(self, candidates, task):
        """Choose by the placer's cost."""
        need = placement.Requirement(
            workload=task.workload,
            size=admission.Size(task.cores, task.memory_gb),
            waited=self.world.clock.now - task.submitted,
            avoid=frozenset(filter(None, [self.left.get(task.id)])),
        )
        return self.placer.choose(candidates, need).instance

    def note_started(self, worker, task):
        """Keep the sidecar's history of who ran."""
        self.timelines[worker].note_start(
            str(task.id), task.workload, task.cores, self.world.clock.now
        )
        self._announce(worker)

    def note_stopped(self, worker, task):
        """Keep the sidecar's history of who ran."""
        self.timelines[worker].note_stop(str(task.id), self.world.clock.now)
        self._announce(worker)

    def note_usage(self, usage):
        """Join a late report and learn from it."""
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
        self._announce(usage.worker)

    def _announce(self, worker: str) -> None:
        shares = self.timelines[worker].find_shares()
        for view in (*self.world.entries, self.world.holder):
            instance = view[worker]
            instance.shares = shares
            instance.demand = self._smooth(
                instance.demand, self.joiners[worker].demand
            )

    @staticmethod
    def _smooth(
        before: dict[str, float], now: dict[str, float]
    ) -> dict[str, float]:
        return {
            name: _DEMAND_MEMORY * before.get(name, 0.0)
            + (1 - _DEMAND_MEMORY) * now.get(name, 0.0)
            for name in {*before, *now}
        }

    def act(self):
        """Let the ladder take one step on each instance."""
        for name, timeline in self.timelines.items():
            situation = self.describe(name, timeline)
            action = self.ladder.decide(
                situation, lambda task, n=name: self._find_relief(n, task)
            )
            if action is not None:
                self._carry_out(action)

    def describe(
        self, name: str, timeline: usage_module.Timeline
    ) -> ladder.InstanceSnapshot:
        """Return what the ladder is told of an instance."""
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
        without = dataclasses.replace(
            here,
            shares={
                **here.shares,
                task.workload: here.shares.get(task.workload, 0.0)
                - task.share * task.speed,
            },
        )
        now = self.placer.find_interference(without, task.workload, task.share)
        others = [
            self.placer.find_interference(i, task.workload, task.share)
            for i in placement.list_fitting(live, size)
            if i.name != name
        ]
        if not others or now <= 0:
            return 0.0
        return 1.0 - min(others) / now

    def _carry_out(self, action: ladder.Action) -> None:
        task = int(action.task)
        if action.kind is ladder.Kind.EVICT:
            self.left[task] = action.instance
            self.world.evict(action.instance, task)
            return
        if self.world.throttle(action.instance, task, action.speed):
            self.timelines[action.instance].note_speed(
                action.task, action.speed, self.world.clock.now
            )
            self._announce(action.instance)


@baselines.register('tail objective')
class TailPolicy(SubjectPolicy):
    """The package's decisions with Tallowford's objective."""


@baselines.register('throughput objective')
class ThroughputPolicy(SubjectPolicy):
    """The package's decisions with Pham Gia's objective."""

    objective = catalogue.Objective.THROUGHPUT


class TrueEstimator(interference.Estimator):
    """Answers from the truth."""

    def __init__(self, world: colocation.World) -> None:
        super().__init__()
        self._truth = world.truth
        self._quick = world.load.quick

    def find_base(self, victim, default=0.0):
        """Return the true mean service time."""
        return self._quick[victim][0]

    def find_coefficient(self, victim, aggressor, busy):
        """Return the true slowdown by the whole instance's cores."""
        return self._truth.slow_request(victim, {aggressor: 1.0}, busy) - 1.0

    def predict(self, victim, shares, busy):
        """Return the true factor."""
        return self._truth.slow_request(victim, shares, busy)

    def explain(self, victim, shares, busy):
        """Return the true factor; a term is its class's part of it."""
        terms = []
        for name, share in shares.items():
            excess = self._truth.slow_request(victim, {name: share}, busy) - 1
            coefficient = excess / share if share else 0.0
            terms.append(interference.Term(name, share, coefficient))
        terms.sort(key=lambda term: term.excess, reverse=True)
        return interference.Estimate(
            victim, self.predict(victim, shares, busy), tuple(terms)
        )


@baselines.register('oracle')
class OraclePolicy(SubjectPolicy):
    """The same decisions by one who knows the truth at once."""

    reporting = colocation.Reporting(lag=0.0, missing=0.0)

    def _make_estimator(self):
        return TrueEstimator(self.world)

    def route(self, candidates, workload, zone):
        """Choose with the true shares and queues."""
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
