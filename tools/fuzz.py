"""Runs the stateful fuzzing for long with fresh seeds: ``make fuzz``.

Each round runs the machine of ``tests/test_stateful.py`` under a seed of
its own, in a process of its own. A failure prints its seed and where its
whole output is kept; the same seed brings it about again.
"""

import argparse
import concurrent.futures
import dataclasses
import os
import pathlib
import random
import re
import subprocess
import sys
import tempfile

_ROOT = pathlib.Path(__file__).parent.parent
_SEED_BITS = 32
_BROKEN = re.compile(r'^E +(\S*Broken: .*|\S*Error: .*)$', re.MULTILINE)


@dataclasses.dataclass(frozen=True)
class Round:
    """One seed's run: whether it held, and what it printed."""

    seed: int
    held: bool
    output: str

    def describe(self) -> str:
        """Return the first thing that broke."""
        found = _BROKEN.search(self.output)
        return found[1] if found else 'see the output'


def run_round(seed: int, examples: int, steps: int, shrink: bool) -> Round:
    """Run the machine under one seed, in a process of its own."""
    environment = {
        **os.environ,
        'PERSIMMONSAIL_FUZZ_SEED': str(seed),
        'PERSIMMONSAIL_FUZZ_EXAMPLES': str(examples),
        'PERSIMMONSAIL_FUZZ_STEPS': str(steps),
        'PERSIMMONSAIL_FUZZ_SHRINK': 'yes' if shrink else '',
        'PYTHONHASHSEED': '0',
    }
    result = subprocess.run(
        [sys.executable, '-m', 'pytest', 'tests/test_stateful.py'],
        cwd=_ROOT,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    return Round(seed, result.returncode == 0, result.stdout)


def main() -> int:
    """Run all rounds; the exit code is one if any of them broke."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--rounds', type=int, default=8)
    parser.add_argument('--examples', type=int, default=25)
    parser.add_argument('--steps', type=int, default=30)
    parser.add_argument('--processes', type=int, default=4)
    parser.add_argument('--seed', type=int, help='run this seed only')
    parser.add_argument('--shrink', action='store_true')
    given = parser.parse_args()
    fresh = random.SystemRandom()
    seeds = [fresh.getrandbits(_SEED_BITS) for _ in range(given.rounds)]
    if given.seed is not None:
        seeds = [given.seed]
    with concurrent.futures.ThreadPoolExecutor(given.processes) as pool:
        rounds = pool.map(
            lambda seed: run_round(
                seed, given.examples, given.steps, given.shrink
            ),
            seeds,
        )
        broken = sum(not _report(one) for one in rounds)
    most = len(seeds) * given.examples * given.steps
    print(f'rounds={len(seeds)} steps_at_most={most} broken={broken}')
    return 1 if broken else 0


def _report(one: Round) -> bool:
    if one.held:
        print(f'seed={one.seed} held', flush=True)
        return True
    directory = pathlib.Path(tempfile.mkdtemp(prefix='persimmonsail-fuzz-'))
    path = directory / f'{one.seed}.txt'
    path.write_text(one.output, encoding='utf-8')
    print(f'seed={one.seed} broken {one.describe()}: {path}', flush=True)
    return False


if __name__ == '__main__':
    sys.exit(main())
