"""Mutation tests of the guards: ``make guards``.

Each guard prevents one failure. If no test fails without it, nothing
shows that it works. Each guard is removed in a copy of the tree, where
its tests must then fail; they must pass in an unmodified copy.
"""

import argparse
import concurrent.futures
import dataclasses
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from tools import guard as guard_module
from tools import guard_list
from tools import guard_list_catalogue

_ROOT = pathlib.Path(__file__).parent.parent
_COPIED_PATHS = (
    'src',
    'standins',
    'tests',
    'tools',
    'examples',
    'pyproject.toml',
)
_MAX_PARALLEL_RUNS = 4
_TEST_TIMEOUT_SECONDS = 100.0
_BASELINE_TIMEOUT_SECONDS = 600.0
_PASSED = 0
_FAILED = 1
ALL_GUARDS = [*guard_list.GUARDS, *guard_list_catalogue.GUARDS]


@dataclasses.dataclass(frozen=True)
class Result:
    """Outcome of the tests without a guard.

    ``noticed`` is yes, NO, or why the run is inconclusive.
    """

    guard: guard_module.Guard
    noticed: str
    seconds: float


def find_mismatches(root: pathlib.Path) -> list[str]:
    """Describe the guards whose pattern does not occur exactly once."""
    mismatches = []
    for guard in ALL_GUARDS:
        path = root / guard.file
        count = 0
        if path.exists():
            count = path.read_text(encoding='utf-8').count(guard.pattern)
        if count != 1:
            mismatches.append(f'{guard.name}: found {count} times')
    return mismatches


def copy_tree(directory: pathlib.Path) -> None:
    """Copy the files that the tests need."""
    for name in _COPIED_PATHS:
        source = _ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns('__pycache__', '*.egg-info')
            shutil.copytree(source, directory / name, ignore=ignored)
        else:
            shutil.copy(source, directory / name)


def run_tests(
    directory: pathlib.Path, tests: tuple[str, ...], seconds: float
) -> int:
    """Run tests in a copy and return pytest's exit code."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'pytest', '-x', '-q', *tests],
        cwd=directory,
        env={
            'PYTHONPATH': f'{directory}/src:{directory}',
            'PATH': str(pathlib.Path(sys.executable).parent),
            'PYTHONDONTWRITEBYTECODE': '1',
        },
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        start_new_session=True,
    )
    try:
        return process.wait(seconds)
    except subprocess.TimeoutExpired:
        # The process group holds only pytest and its child processes.
        os.killpg(process.pid, signal.SIGKILL)
        process.wait()
        raise


def evaluate_guard(guard: guard_module.Guard) -> Result:
    """Remove one guard in a copy of the tree and run its tests there."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='persimmonsail-') as name:
        directory = pathlib.Path(name)
        copy_tree(directory)
        path = directory / guard.file
        text = path.read_text(encoding='utf-8')
        path.write_text(text.replace(guard.pattern, guard.replacement))
        try:
            noticed = _describe_exit_code(
                run_tests(directory, guard.tests, _TEST_TIMEOUT_SECONDS)
            )
        except subprocess.TimeoutExpired:
            noticed = 'yes (tests hang)'
    return Result(guard, noticed, time.monotonic() - started_at)


def _describe_exit_code(code: int) -> str:
    if code == _FAILED:
        return 'yes'
    return 'NO' if code == _PASSED else f'no run (pytest {code})'


def run_baseline(guards: list[guard_module.Guard]) -> int:
    """Run the tests of all guards in an unmodified copy of the tree."""
    tests = sorted({test for guard in guards for test in guard.tests})
    with tempfile.TemporaryDirectory(prefix='persimmonsail-') as name:
        copy_tree(pathlib.Path(name))
        return run_tests(
            pathlib.Path(name), tuple(tests), _BASELINE_TIMEOUT_SECONDS
        )


def print_row(result: Result) -> None:
    """Print a row of the table in docs/PROOFS.md."""
    guard = result.guard
    tests = ', '.join(f'`{test}`' for test in guard.tests)
    row = f'| {guard.name} | {guard.invariant} | {tests} | {result.noticed} |'
    print(row, flush=True)


def main() -> int:
    """Test all guards, or those whose name contains a given word."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('words', nargs='*', help='part of a name')
    words = parser.parse_args().words
    if mismatches := find_mismatches(_ROOT):
        print('\n'.join(mismatches))
        return 1
    guards = [
        guard
        for guard in ALL_GUARDS
        if not words or any(word in guard.name for word in words)
    ]
    code = run_baseline(guards)
    if code != _PASSED:
        print(f'the tests fail with every guard in place (pytest {code})')
        return 1
    print('| guard | invariant | tests | noticed |')
    print('| --- | --- | --- | --- |', flush=True)
    with concurrent.futures.ThreadPoolExecutor(_MAX_PARALLEL_RUNS) as pool:
        results = []
        for result in pool.map(evaluate_guard, guards):
            print_row(result)
            results.append(result)
    unnoticed = [r for r in results if not r.noticed.startswith('yes')]
    print(f'guards={len(results)} not_noticed={len(unnoticed)}')
    return 1 if unnoticed else 0


if __name__ == '__main__':
    sys.exit(main())
