"""Scenarios of interference: placement, routing and the ladder."""

from tools.bench import colocation
from tools.bench import interfering
from tools.bench import machines
from tools.bench import registry
from tools.bench import results
from tools.bench import subject

_SECONDS = 180.0
_BLIND = ('random', 'least-outstanding', 'best-fit', 'best-fit-still')

# Each service has one class of batch work that hurts it badly.
STRENGTHS = {
    ('wire-cut-check', 'routing-build'): 3.0,
    ('wire-cut-check', 'drc-sweep'): 0.4,
    ('wire-cut-check', 'archive'): 0.1,
    ('board-status', 'routing-build'): 0.2,
    ('board-status', 'drc-sweep'): 1.5,
    ('board-status', 'archive'): 0.1,
}
QUICK = {'wire-cut-check': (0.15, 0.5), 'board-status': (0.10, 0.5)}
BATCH = {'routing-build': 0.35, 'drc-sweep': 0.30, 'archive': 0.35}


def _make_world(
    policy: str,
    seed: int,
    load: colocation.Load,
    site: machines.Site = machines.TALLOWFORD,
    reporting: colocation.Reporting | None = None,
) -> colocation.World:
    return colocation.World(
        site,
        interfering.Truth(dict(STRENGTHS)),
        load,
        reporting or colocation.Reporting(),
        subject.find_policy(policy),
        seed,
    )


@registry.scenario('bad pair', 'tail objective', ('oracle', *_BLIND))
def run_bad_pair(policy: str, seed: int) -> results.Run:
    """Steady colocation with a bad pair; quick and batch load 0.7."""
    load = colocation.Load(0.7, 0.7, QUICK, BATCH)
    return _make_world(policy, seed, load).execute(_SECONDS)
