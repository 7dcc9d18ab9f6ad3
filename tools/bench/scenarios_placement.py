"""Scenarios of interference: placement, routing, escalation ladder."""

import dataclasses
import functools
import typing as t

from tools.bench import colocation
from tools.bench import interfering
from tools.bench import machines
from tools.bench import registry
from tools.bench import results
from tools.bench import subject

RUN_SECONDS = 180.0
TAIL_OBJECTIVE = 'tail objective'
THROUGHPUT_OBJECTIVE = 'throughput objective'
_UNAWARE_BASELINES = (
    'random',
    'least-outstanding',
    'best-fit',
    'best-fit-still',
)
_BASELINES = ('oracle', *_UNAWARE_BASELINES)

# Each service has one batch class that interferes strongly with it.
_PLANNING_STRENGTHS = {
    ('wire-cut-check', 'routing-build'): 3.0,
    ('wire-cut-check', 'drc-sweep'): 0.4,
    ('wire-cut-check', 'archive'): 0.1,
    ('board-status', 'routing-build'): 0.2,
    ('board-status', 'drc-sweep'): 1.5,
    ('board-status', 'archive'): 0.1,
}
_PLANNING_QUICK = {'wire-cut-check': (0.15, 0.5), 'board-status': (0.10, 0.5)}
_PLANNING_BATCH = {'routing-build': 0.35, 'drc-sweep': 0.30, 'archive': 0.35}

_LISTINGS_STRENGTHS = {
    ('photo-tag', 'pedigree-match'): 2.5,
    ('photo-tag', 'price-match'): 0.6,
    ('photo-tag', 'thumbnails'): 0.1,
    ('listing-view', 'pedigree-match'): 0.6,
    ('listing-view', 'price-match'): 1.2,
    ('listing-view', 'thumbnails'): 0.2,
}
_LISTINGS_QUICK = {'photo-tag': (0.20, 0.4), 'listing-view': (0.08, 0.6)}
_LISTINGS_BATCH = {
    'pedigree-match': 0.45,
    'price-match': 0.35,
    'thumbnails': 0.20,
}


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A customer's site with its workloads and their interference."""

    site: machines.Site
    strengths: dict[tuple[str, str], float]
    quick: dict[str, tuple[float, float]]
    batch: dict[str, float]

    def make_load(
        self, quick: float = 0.7, batch: float = 0.7, **burst: t.Any
    ) -> colocation.Load:
        """Return arrivals at these fractions of capacity."""
        return colocation.Load(quick, batch, self.quick, self.batch, **burst)


TALLOWFORD = Deployment(
    machines.TALLOWFORD, _PLANNING_STRENGTHS, _PLANNING_QUICK, _PLANNING_BATCH
)
PHAM_GIA = Deployment(
    machines.PHAM_GIA, _LISTINGS_STRENGTHS, _LISTINGS_QUICK, _LISTINGS_BATCH
)


def _make_world(
    policy: str,
    seed: int,
    deployment: Deployment = TALLOWFORD,
    load: colocation.Load | None = None,
    reporting: colocation.Reporting | None = None,
) -> colocation.World:
    return colocation.World(
        deployment.site,
        interfering.TrueInterference(dict(deployment.strengths)),
        load or deployment.make_load(),
        reporting or colocation.Reporting(),
        subject.find_policy(policy),
        seed,
    )


@registry.scenario('bad pair', TAIL_OBJECTIVE, _BASELINES)
def run_bad_pair(policy: str, seed: int) -> results.Run:
    """Steady colocation with a bad pair; quick and batch load 0.7."""
    return _make_world(policy, seed).execute(RUN_SECONDS)


@registry.scenario(
    'bad pair, Pham Gia',
    THROUGHPUT_OBJECTIVE,
    ('throughput oracle', *_UNAWARE_BASELINES),
)
def run_bad_pair_listings(policy: str, seed: int) -> results.Run:
    """Steady colocation at the other deployment, with its objective."""
    return _make_world(policy, seed, PHAM_GIA).execute(RUN_SECONDS)


@registry.scenario('shift half-way', TAIL_OBJECTIVE, _BASELINES)
def run_shift(policy: str, seed: int) -> results.Run:
    """Swap the bad pairs after half of the time."""
    world = _make_world(policy, seed)

    def swap() -> None:
        strengths = world.truth.strengths
        for victim in world.load.quick:
            build, sweep = (victim, 'routing-build'), (victim, 'drc-sweep')
            strengths[build], strengths[sweep] = (
                strengths[sweep],
                strengths[build],
            )

    world.clock.call_later(RUN_SECONDS / 2, swap)
    return world.execute(RUN_SECONDS)


def _run_delayed_reports(
    lag: float, missing: float, policy: str, seed: int
) -> results.Run:
    reporting = colocation.Reporting(lag, missing)
    return _make_world(policy, seed, reporting=reporting).execute(RUN_SECONDS)


def _register_delayed_reports(
    name: str, description: str, lag: float, missing: float
) -> None:
    run = functools.partial(_run_delayed_reports, lag, missing)
    run.__doc__ = description
    registry.scenario(name, TAIL_OBJECTIVE, ('oracle', 'best-fit'))(run)


_register_delayed_reports(
    'reports 1 s late', 'Usage reports arrive after 1 s.', 1.0, 0.0
)
_register_delayed_reports(
    'reports 5 s late', 'Usage reports arrive after 5 s.', 5.0, 0.0
)
_register_delayed_reports(
    'reports 30 s late', 'Usage reports arrive after 30 s.', 30.0, 0.0
)
_register_delayed_reports(
    'reports missing',
    'Usage reports arrive after 5 s; half of them are lost.',
    5.0,
    0.5,
)


@registry.scenario('noisy waves', TAIL_OBJECTIVE, _BASELINES)
def run_bursts(policy: str, seed: int) -> results.Run:
    """Batch load 0.5; for 15 s of each minute, 4 times the noisy tasks."""
    load = TALLOWFORD.make_load(0.7, 0.5, burst=('routing-build', 4.0))
    return _make_world(policy, seed, load=load).execute(RUN_SECONDS)


@registry.scenario('load 1.0', TAIL_OBJECTIVE, _BASELINES)
def run_full_load(policy: str, seed: int) -> results.Run:
    """Quick load 1.0 of the capacity without interference, batch load 1.0."""
    load = TALLOWFORD.make_load(1.0, 1.0)
    return _make_world(policy, seed, load=load).execute(RUN_SECONDS)


@registry.scenario('rack lost', TAIL_OBJECTIVE, _BASELINES)
def run_rack_lost(policy: str, seed: int) -> results.Run:
    """Three workers fail after a third of the time, for a third of it."""
    load = TALLOWFORD.make_load(0.5, 0.6)
    world = _make_world(policy, seed, load=load)
    third_seconds = RUN_SECONDS / 3
    world.clock.call_later(
        third_seconds, world.fail_rack, 'rack-0', third_seconds
    )
    return world.execute(RUN_SECONDS)


@registry.scenario(
    'objectives',
    THROUGHPUT_OBJECTIVE,
    (TAIL_OBJECTIVE, 'throughput oracle', 'oracle', *_UNAWARE_BASELINES),
)
def run_objectives(policy: str, seed: int) -> results.Run:
    """Both objectives at the same load: quick 0.6, batch 1.2 (backlog)."""
    load = PHAM_GIA.make_load(0.6, 1.2)
    return _make_world(policy, seed, PHAM_GIA, load).execute(RUN_SECONDS)


def _register_ratio(
    scenario: str,
    text: str,
    limit: float,
    at_least: bool,
    field: str,
    policy: str,
    baseline: str,
) -> None:
    def measure(outcomes: registry.Outcomes) -> list[float]:
        return registry.divide(outcomes, field, policy, baseline)

    registry.goal(scenario, text, limit, at_least)(measure)


def _register_goals() -> None:
    for name, registered in registry.SCENARIOS.items():
        for oracle in ('oracle', 'throughput oracle'):
            if registered.baselines[0] == oracle:
                _register_ratio(
                    name,
                    'p99 against the oracle',
                    1.2,
                    False,
                    'p99',
                    registered.subject,
                    oracle,
                )
    for field, text, limit, at_least in (
        ('p99', 'p99 against best fit', 0.5, False),
        ('batch_work', 'batch work against best fit', 0.95, True),
        ('evictions', 'evictions against best fit', 0.5, False),
    ):
        for name in ('bad pair', 'bad pair, Pham Gia'):
            subject_name = registry.SCENARIOS[name].subject
            _register_ratio(
                name, text, limit, at_least, field, subject_name, 'best-fit'
            )
    _register_ratio(
        'bad pair',
        'p99 against best fit that never evicts',
        0.5,
        False,
        'p99',
        TAIL_OBJECTIVE,
        'best-fit-still',
    )
    _register_ratio(
        'objectives',
        'batch work, throughput objective against tail objective',
        1.1,
        True,
        'batch_work',
        THROUGHPUT_OBJECTIVE,
        TAIL_OBJECTIVE,
    )


_register_goals()
