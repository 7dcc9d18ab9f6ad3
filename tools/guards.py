"""Takes each guard out in turn and runs its tests: ``make guards``.

A guard stands against one failure. If no test notices its removal,
nothing proves that it works. Each guard is taken out of a copy of the
tree, where its tests must then fail; they must pass in a copy that is
left as it is.
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
_COPIED = ('src', 'standins', 'tests', 'tools', 'examples', 'pyproject.toml')
_WORKERS = 4
_SECONDS = 100.0
_UNTOUCHED_SECONDS = 600.0
_PASSED = 0
_FAILED = 1
ALL_GUARDS = [*guard_list.GUARDS, *guard_list_catalogue.GUARDS]


@dataclasses.dataclass(frozen=True)
class Result:
    """What the tests said once a guard was gone.

    ``seen`` is yes, NO, or why the run says nothing.
    """

    guard: guard_module.Guard
    seen: str
    seconds: float


def find_misfits(root: pathlib.Path) -> list[str]:
    """Return the guards whose source is not found exactly once."""
    misfits = []
    for guard in ALL_GUARDS:
        path = root / guard.file
        count = 0
        if path.exists():
            count = path.read_text(encoding='utf-8').count(guard.pattern)
        if count != 1:
            misfits.append(f'{guard.name}: found {count} times')
    return misfits


def copy_tree(directory: pathlib.Path) -> None:
    """Copy what the tests need."""
    for name in _COPIED:
        source = _ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns('__pycache__', '*.egg-info')
            shutil.copytree(source, directory / name, ignore=ignored)
        else:
            shutil.copy(source, directory / name)


def run_tests(
    directory: pathlib.Path, tests: tuple[str, ...], seconds: float
) -> int:
    """Run tests in a copy and return pytest's code."""
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
        # The group is the tests' own: pytest and what it has started.
        os.killpg(process.pid, signal.SIGKILL)
        process.wait()
        raise


def try_guard(guard: guard_module.Guard) -> Result:
    """Take one guard out of a copy and run its tests there."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='persimmonsail-') as name:
        directory = pathlib.Path(name)
        copy_tree(directory)
        path = directory / guard.file
        text = path.read_text(encoding='utf-8')
        path.write_text(text.replace(guard.pattern, guard.replacement))
        try:
            seen = _name_seen(run_tests(directory, guard.tests, _SECONDS))
        except subprocess.TimeoutExpired:
            seen = 'yes (tests hang)'
    return Result(guard, seen, time.monotonic() - began)


def _name_seen(code: int) -> str:
    if code == _FAILED:
        return 'yes'
    return 'NO' if code == _PASSED else f'no run (pytest {code})'


def check_untouched(guards: list[guard_module.Guard]) -> int:
    """Run all tests that are named in a copy that is left as it is."""
    tests = sorted({test for guard in guards for test in guard.tests})
    with tempfile.TemporaryDirectory(prefix='persimmonsail-') as name:
        copy_tree(pathlib.Path(name))
        return run_tests(pathlib.Path(name), tuple(tests), _UNTOUCHED_SECONDS)


def print_row(result: Result) -> None:
    """Print a row of the table that docs/PROOFS.md has."""
    guard = result.guard
    tests = ', '.join(f'`{test}`' for test in guard.tests)
    row = f'| {guard.name} | {guard.invariant} | {tests} | {result.seen} |'
    print(row, flush=True)


def main() -> int:
    """Try all guards, or those whose name has a word in it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('words', nargs='*', help='part of a name')
    words = parser.parse_args().words
    if misfits := find_misfits(_ROOT):
        print('\n'.join(misfits))
        return 1
    guards = [
        guard
        for guard in ALL_GUARDS
        if not words or any(word in guard.name for word in words)
    ]
    code = check_untouched(guards)
    if code != _PASSED:
        print(f'the tests fail with every guard in place (pytest {code})')
        return 1
    print('| guard | invariant | tests | noticed |')
    print('| --- | --- | --- | --- |', flush=True)
    with concurrent.futures.ThreadPoolExecutor(_WORKERS) as pool:
        results = []
        for result in pool.map(try_guard, guards):
            print_row(result)
            results.append(result)
    unnoticed = [r for r in results if not r.seen.startswith('yes')]
    print(f'guards={len(results)} not_noticed={len(unnoticed)}')
    return 1 if unnoticed else 0


if __name__ == '__main__':
    sys.exit(main())
