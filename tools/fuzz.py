"""Runs the stateful fuzzing repeatedly with new seeds: ``make fuzz``.

Each round runs the state machines of ``_TESTS`` with its own seed in its own
process. A failure prints its seed and the path of its
complete output; the same seed reproduces it.
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
_TESTS = ('tests/test_stateful.py', 'tests/test_stateful_restarts.py')
_SEED_BITS = 32
_ERROR_LINE = re.compile(r'^E +(\S*Broken: .*|\S*Error: .*)$', re.MULTILINE)


@dataclasses.dataclass(frozen=True)
class Round:
    """One seed's run: whether it passed, and its output."""

    seed: int
    passed: bool
    output: str

    def describe(self) -> str:
        """Return the first error in the output."""
        match = _ERROR_LINE.search(self.output)
        return match[1] if match else 'see the output'


def run_round(seed: int, examples: int, steps: int, shrink: bool) -> Round:
    """Run the state machines with one seed in their own process."""
    environment = {
        **os.environ,
        'PERSIMMONSAIL_FUZZ_SEED': str(seed),
        'PERSIMMONSAIL_FUZZ_EXAMPLES': str(examples),
        'PERSIMMONSAIL_FUZZ_STEPS': str(steps),
        'PERSIMMONSAIL_FUZZ_SHRINK': 'yes' if shrink else '',
        'PYTHONHASHSEED': '0',
    }
    result = subprocess.run(
        [sys.executable, '-m', 'pytest', *_TESTS],
        cwd=_ROOT,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    return Round(seed, result.returncode == 0, result.stdout)


def main() -> int:
    """Run all rounds; the exit code is 1 if any of them failed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--rounds', type=int, default=8)
    parser.add_argument('--examples', type=int, default=25)
    parser.add_argument('--steps', type=int, default=30)
    parser.add_argument('--processes', type=int, default=4)
    parser.add_argument('--seed', type=int, help='run this seed only')
    parser.add_argument('--shrink', action='store_true')
    arguments = parser.parse_args()
    system_rng = random.SystemRandom()
    seeds = [
        system_rng.getrandbits(_SEED_BITS) for _ in range(arguments.rounds)
    ]
    if arguments.seed is not None:
        seeds = [arguments.seed]
    with concurrent.futures.ThreadPoolExecutor(arguments.processes) as pool:
        rounds = pool.map(
            lambda seed: run_round(
                seed, arguments.examples, arguments.steps, arguments.shrink
            ),
            seeds,
        )
        failed = sum(not _report(result) for result in rounds)
    max_steps = len(seeds) * arguments.examples * arguments.steps
    print(f'rounds={len(seeds)} steps_at_most={max_steps} broken={failed}')
    return 1 if failed else 0


def _report(result: Round) -> bool:
    if result.passed:
        print(f'seed={result.seed} held', flush=True)
        return True
    directory = pathlib.Path(tempfile.mkdtemp(prefix='persimmonsail-fuzz-'))
    path = directory / f'{result.seed}.txt'
    path.write_text(result.output, encoding='utf-8')
    print(f'seed={result.seed} broken {result.describe()}: {path}', flush=True)
    return False


if __name__ == '__main__':
    sys.exit(main())
