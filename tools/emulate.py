"""Plays emulated days and prints their scores: `make emulate`.

Deployments are one of the known shapes, or `random`: drawn anew for each
seed, and then also compared with a floor and an oracle; `harmed` are the
same with tasks that crash their agents, and capacities that shrink and
recover. Seeds below 1000 are for choosing between decisions, those above
for judging the choice.
"""

import argparse
import concurrent.futures
import dataclasses
import functools
import math
import statistics
import sys

from absl import logging

from persimmonsail.jobs import interference
from tools.emulator import ablations
from tools.emulator import day
from tools.emulator import deployments
from tools.emulator import load
from tools.emulator import score
from tools.emulator import truth
from tools.emulator import yardsticks

_SHAPES = {
    'tallowford': (truth.Shape(), load.Rates()),
    'phamgia': (
        truth.Shape(
            base_latency_ms=10.0,
            load_period_seconds=14.0,
            interfering_share=0.3,
            stop_seconds=0.4,
            restore_seconds=0.6,
            estimate_error=0.5,
        ),
        load.Rates(quick=2.8, heavy=0.49, heavy_seconds=5.4),
    ),
}
# Functions that draw a deployment from a seed.
_DRAW_FUNCTIONS = {
    'random': deployments.draw,
    'harmed': deployments.draw_harmed,
}
_MODELS = {
    'floor': lambda behaviour: yardsticks.Floor(),
    'learnt': lambda behaviour: interference.Model(),
    'oracle': yardsticks.Oracle,
}
# Where floor and oracle are closer than this, a share carries no information.
_MIN_GAP = 0.04
_WORST_SHARE = 0.1


def _play(
    name: str,
    without: str,
    takeover_seconds: float,
    policy: str,
    seed: int,
) -> score.Result:
    logging.set_verbosity(logging.FATAL)
    if name in _DRAW_FUNCTIONS:
        deployment = _DRAW_FUNCTIONS[name](seed)
    else:
        deployment = deployments.Deployment(*_SHAPES[name])
    with ablations.switch_off(without):
        played = day.Day(deployment, seed, _MODELS[policy], takeover_seconds)
        return played.play()


def _print_means(label: str, results: list[score.Result]) -> None:
    for field in dataclasses.fields(score.Result):
        values = [getattr(result, field.name) for result in results]
        deviation = statistics.stdev(values) if len(values) > 1 else 0.0
        mean = statistics.mean(values)
        print(f'{label} {field.name}={mean:.3f} +-{deviation:.3f}')


def _print_shares(by_policy: dict[str, list[score.Result]]) -> None:
    """Print the share of the gap from floor to oracle that was gained."""
    shares = [
        (learnt.worth - floor.worth) / (oracle.worth - floor.worth)
        for floor, learnt, oracle in zip(
            by_policy['floor'],
            by_policy['learnt'],
            by_policy['oracle'],
            strict=True,
        )
        if oracle.worth - floor.worth >= _MIN_GAP
    ]
    worst = sorted(shares)[: max(round(len(shares) * _WORST_SHARE), 1)]
    print(f'share of the way: {statistics.mean(shares):.3f}')
    print(f'worst tenth: {statistics.mean(worst):.3f}')
    print(f'days where they differ: {len(shares)}')


def main() -> int:
    """Print the mean and standard deviation of each score over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('shape', choices=[*sorted(_SHAPES), *_DRAW_FUNCTIONS])
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=16)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--policies', nargs='*', choices=sorted(_MODELS))
    parser.add_argument(
        '--without', choices=sorted(ablations.ABLATIONS), default=''
    )
    parser.add_argument(
        '--takeover-seconds',
        type=float,
        default=math.inf,
        help='how often another leader takes over',
    )
    parser.add_argument('--each', action='store_true')
    arguments = parser.parse_args()
    policies = arguments.policies or ['learnt']
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    by_policy = {}
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs) as pool:
        for policy in policies:
            play = functools.partial(
                _play,
                arguments.shape,
                arguments.without,
                arguments.takeover_seconds,
                policy,
            )
            by_policy[policy] = list(pool.map(play, seeds))
            _print_means(policy, by_policy[policy])
            if arguments.each:
                for seed, result in zip(seeds, by_policy[policy], strict=True):
                    starts = round(result.crash_starts)
                    print(policy, seed, f'{result.worth:.3f} {starts}')
    if by_policy.keys() >= _MODELS.keys():
        _print_shares(by_policy)
    return 0


if __name__ == '__main__':
    sys.exit(main())
