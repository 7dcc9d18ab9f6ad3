"""Scenarios of fair shares, quarantine, learned sizes and outages."""

import typing as t

from persimmonsail.catalogues import catalogue as catalogue_module
from persimmonsail.decisions import admission
from persimmonsail.decisions import quarantine
from tools.bench import cancellation
from tools.bench import overload
from tools.bench import registry
from tools.bench import results
from tools.bench import tenancy

_RUN_SECONDS = 180.0
_OVERLOAD_SECONDS = 40.0
_FAULT_AT_SECONDS = 40.0
_UNDISTURBED = 'undisturbed'
# Tasks accepted this close to the end have no time to complete and are not
# counted.
_COMPLETION_SECONDS = 30.0

RULES = {
    'limits': tenancy.Rules(),
    'no quarantine': tenancy.Rules(tracker='none'),
    'sizes as declared': tenancy.Rules(learner='declared'),
    'order of arrival': tenancy.Rules(order='arrival'),
    _UNDISTURBED: tenancy.Rules(),
}


def make_catalogue(
    workloads: t.Sequence[tenancy.Workload], cores: float = 400.0
) -> catalogue_module.Catalogue:
    """Return a catalogue whose teams have equal quotas."""
    sections = [
        f'[team {team}]\nobjective = throughput\n'
        f'cores = {cores}\nmemory-gb = {cores * 4}\n'
        for team in sorted({workload.team for workload in workloads})
    ]
    for workload in workloads:
        idempotent = 'yes' if workload.idempotent else 'no'
        sections.append(
            f'[workload {workload.name}]\nowner = {workload.team}\n'
            'class = batch\n'
            f'idempotent = {idempotent}\n'
            f'cores = {workload.declared.cores}\n'
            f'memory-gb = {workload.declared.memory_gb}\n'
        )
    return catalogue_module.parse('bench', '\n'.join(sections))


def make_workload(
    name: str,
    team: str,
    seconds: float,
    rate: float,
    declared: float = 1.0,
    **options: t.Any,
) -> tenancy.Workload:
    """Return a workload of 8 cores that declares a multiple of its size."""
    return tenancy.Workload(
        name,
        team,
        admission.Size(8.0 * declared, 20.0 * declared),
        admission.Size(8.0, 20.0),
        seconds,
        rate,
        **options,
    )


def make_healthy_workloads(rate: float = 0.4) -> list[tenancy.Workload]:
    """Return workloads of three teams.

    At the default rate of 0.4 a second each, they take two thirds of the
    capacity.
    """
    return [
        make_workload('build', 'a', 30.0, rate, idempotent=False),
        make_workload('match', 'b', 30.0, rate),
        make_workload('sweep', 'c', 30.0, rate),
    ]


def make_world(
    policy: str,
    seed: int,
    workloads: t.Sequence[tenancy.Workload],
    cores: float = 400.0,
) -> tenancy.World:
    """Return a world with a policy's rules."""
    return tenancy.World(
        RULES[policy], workloads, make_catalogue(workloads, cores), seed
    )


@registry.scenario('bad worker', 'limits', ('no quarantine',))
def run_bad_worker(policy: str, seed: int) -> results.Run:
    """One instance fails all tasks it starts from 40 s on and appears idle.

    Latency columns show the wait for a task's first start.
    """
    world = make_world(policy, seed, make_healthy_workloads())
    faulty = world.nodes['instance-04']
    starts_before = []

    def inject_fault() -> None:
        faulty.broken = True
        starts_before.append(faulty.starts)

    world.clock.call_later(_FAULT_AT_SECONDS, inject_fault)
    run = world.execute(_RUN_SECONDS)
    run.extras['tasks at bad worker'] = (
        faulty.starts - starts_before[0] - faulty.canaries
    )
    run.extras['canaries'] = faulty.canaries
    return run


@registry.goal('bad worker', 'tasks to the bad worker before quarantine', 3)
def measure_bad_worker(outcomes: registry.Outcomes) -> list[float]:
    """Return the starts other than canaries, per seed."""
    runs = outcomes['limits']
    return [run.extras['tasks at bad worker'] for run in runs]


@registry.goal(
    'bad worker', 'largest share in quarantine', quarantine.MAX_SHARE
)
def measure_bad_worker_share(outcomes: registry.Outcomes) -> list[float]:
    """Return the largest quarantined share of the instances, per seed."""
    return [run.extras['most quarantined'] for run in outcomes['limits']]


@registry.scenario('jobs that never run', 'limits', ('no quarantine',))
def run_impossible(policy: str, seed: int) -> results.Run:
    """Two workloads can never run: one fits no instance, one always fails.

    Each submits a burst of 50 at the start and one every ten seconds.
    """
    oversized = tenancy.Workload(
        'huge',
        'a',
        admission.Size(60.0, 20.0),
        admission.Size(60.0, 20.0),
        30.0,
        0.1,
        broken=True,
        burst=50,
    )
    failing = make_workload('typo', 'b', 30.0, 0.1, broken=True, burst=50)
    world = make_world(
        policy, seed, [*make_healthy_workloads(), oversized, failing]
    )
    run = world.execute(_RUN_SECONDS)
    for name in ('huge', 'typo'):
        times = world.list_answer_times({name})
        if times:
            run.extras[f'{name} answered max s'] = times[-1]
    return run


@registry.goal('jobs that never run', 'seconds to the last final answer', 20.0)
def measure_impossible(outcomes: registry.Outcomes) -> list[float]:
    """Return the longest wait for a final answer, per seed."""
    return [
        max(
            run.extras['huge answered max s'],
            run.extras['typo answered max s'],
        )
        for run in outcomes['limits']
    ]


@registry.goal(
    'jobs that never run',
    'batch work over that without quarantine',
    0.95,
    True,
)
def measure_impossible_work(outcomes: registry.Outcomes) -> list[float]:
    """Return the ratio of completed batch work, per seed."""
    return registry.divide(outcomes, 'batch_work', 'limits', 'no quarantine')


@registry.scenario('sizes off by 4x', 'limits', ('sizes as declared',))
def run_wrong_sizes(policy: str, seed: int) -> results.Run:
    """Half the tasks declare a quarter of their size, half four times it.

    The offered work is 0.9 of the cores available to tasks.
    """
    workloads = [
        make_workload('small', 'a', 30.0, 1.1, declared=0.25),
        make_workload('large', 'b', 30.0, 1.1, declared=4.0),
    ]
    return make_world(policy, seed, workloads, cores=4000.0).execute(
        _RUN_SECONDS
    )


@registry.goal(
    'sizes off by 4x', 'batch work over that as declared', 1.0, True
)
def measure_wrong_sizes(outcomes: registry.Outcomes) -> list[float]:
    """Return the ratio of completed batch work, per seed."""
    return registry.divide(
        outcomes, 'batch_work', 'limits', 'sizes as declared'
    )


@registry.scenario('150 teams', 'limits', ('order of arrival',))
def run_many_teams(policy: str, seed: int) -> results.Run:
    """150 teams share 11 instances; one of them submits 2,000 tasks.

    The quotas add up to ten times the fleet. ``least served`` is the
    lowest fraction of its demand that any other team had completed.
    """
    greedy = make_workload('build-000', 'team-000', 10.0, 0.0, burst=2000)
    others = [
        make_workload(f'build-{n:03d}', f'team-{n:03d}', 10.0, 0.03)
        for n in range(1, 150)
    ]
    world = make_world(policy, seed, [greedy, *others], cores=64.0)
    run = world.execute(_RUN_SECONDS, drain=0.0)
    served = _find_served_fractions(world, 'team-000')
    run.extras['least served'] = min(served)
    run.extras['mean served'] = sum(served) / len(served)
    run.extras['greedy core-s'] = world.work_by_team['team-000']
    return run


def _find_served_fractions(
    world: tenancy.World, excluded_team: str
) -> list[float]:
    outcomes_by_team: dict[str, list[bool]] = {}
    for holder in world.holders:
        for task in holder.tasks.values():
            if (
                world.accepted_at[task.id]
                <= _RUN_SECONDS - _COMPLETION_SECONDS
            ):
                done = task.id in world.answered_at
                outcomes_by_team.setdefault(task.team, []).append(done)
    return [
        sum(done) / len(done)
        for team, done in outcomes_by_team.items()
        if team != excluded_team
    ]


@registry.goal('150 teams', 'mean served part of the modest teams', 0.8, True)
def measure_many_teams(outcomes: registry.Outcomes) -> list[float]:
    """Return the mean served fraction of demand, per seed."""
    return [run.extras['mean served'] for run in outcomes['limits']]


@registry.scenario('zone lost', 'limits', (_UNDISTURBED,))
def run_zone_lost(policy: str, seed: int) -> results.Run:
    """Fail a zone's instances for a minute; they recover without tasks."""
    world = make_world(policy, seed, make_healthy_workloads())
    if policy != _UNDISTURBED:
        world.clock.call_later(
            _FAULT_AT_SECONDS, world.set_zone_alive, 'b', False
        )
        world.clock.call_later(
            _FAULT_AT_SECONDS + 60.0, world.set_zone_alive, 'b', True
        )
    return world.execute(_RUN_SECONDS, drain=120.0)


@registry.scenario('store down', 'limits', (_UNDISTURBED,))
def run_store_down(policy: str, seed: int) -> results.Run:
    """Make the store unavailable for two minutes; running tasks continue."""
    world = make_world(policy, seed, make_healthy_workloads())
    if policy != _UNDISTURBED:
        world.clock.call_later(_FAULT_AT_SECONDS, world.set_store_down, True)
        world.clock.call_later(
            _FAULT_AT_SECONDS + 120.0, world.set_store_down, False
        )
    return world.execute(_RUN_SECONDS + 60.0, drain=120.0)


_OVERLOADED = 'shedding x3'
_AT_CAPACITY = 'shedding x1'


@registry.scenario(
    'overload',
    _OVERLOADED,
    [name for name in overload.POLICIES if name != _OVERLOADED],
)
def run_overload(policy: str, seed: int) -> results.Run:
    """Offer quick requests at 0.7, 1, 1.5 and 3 times capacity.

    One in seven is urgent. A request counts as served if its complete
    answer arrives within its deadline of two seconds.
    """
    return overload.run_policy(policy, seed, _OVERLOAD_SECONDS)


@registry.goal(
    'overload', 'goodput at 3 times capacity over that at 1', 0.95, True
)
def measure_goodput(outcomes: registry.Outcomes) -> list[float]:
    """Return the ratio of goodputs, per seed."""
    overloaded = overload.list_goodput(outcomes[_OVERLOADED])
    at_capacity = overload.list_goodput(outcomes[_AT_CAPACITY])
    return [
        numerator / denominator
        for numerator, denominator in zip(overloaded, at_capacity, strict=True)
    ]


@registry.goal(
    'overload', 'urgent requests served in time at 3 times', 0.95, True
)
def measure_urgent(outcomes: registry.Outcomes) -> list[float]:
    """Return the fraction of urgent requests served in time, per seed."""
    name = f'{overload.URGENT} in time'
    return [run.extras[name] for run in outcomes[_OVERLOADED]]


@registry.goal('overload', 'p99 ms until a refusal at 3 times', 10.0)
def measure_refusals(outcomes: registry.Outcomes) -> list[float]:
    """Return the 99th percentile of refusal latencies, per seed."""
    runs = outcomes[_OVERLOADED]
    return [run.extras['refused after p99 ms'] for run in runs]


@registry.scenario('cancellation wave', 'coalesced', ('a commit each',))
def run_cancellations(policy: str, seed: int) -> results.Run:
    """Cancel a thousand pending tasks concurrently, in real time.

    A real holder uses an in-memory store with a write latency of 5 ms.
    Latency columns show the duration of a cancel call.
    """
    del seed
    return cancellation.run_policy(policy == 'coalesced')


@registry.goal('cancellation wave', 'store writes for the whole wave', 20)
def measure_cancel_writes(outcomes: registry.Outcomes) -> list[float]:
    """Return the number of store writes, per seed."""
    return [run.extras['store writes'] for run in outcomes['coalesced']]


def _count_violations(outcomes: registry.Outcomes) -> list[float]:
    return [
        run.doubled + run.lost + run.extras['overcommitted']
        for run in outcomes['limits']
    ]


for _name in (
    'bad worker',
    'jobs that never run',
    'sizes off by 4x',
    '150 teams',
    'zone lost',
    'store down',
):
    registry.goal(_name, 'doubled, lost and overcommitted', 0)(
        _count_violations
    )
