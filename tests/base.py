"""What all tests share."""

import functools
import inspect
import os
import pathlib
import shutil
import tempfile
import typing as t

import anyio
import testtools

from persimmonsail import logs

# Where the directories of tests that fail are kept.
KEPT_VARIABLE = 'PERSIMMONSAIL_KEPT'
_KEPT = 'build/failed'
# So many lines of a failed test's processes are printed.
_MOST_WARNINGS = 60


def _run_in_loop(method):
    @functools.wraps(method)
    def run(self):
        anyio.run(method, self)

    return run


def _print_warnings(directory: pathlib.Path) -> None:
    """Print the last warnings of all logs there, by their times."""
    lines = [
        line
        for path in directory.rglob('*.log')
        for line in path.read_text(errors='replace').splitlines()
        if ' level=warning ' in line or ' level=error ' in line
    ]
    for line in sorted(lines)[-_MOST_WARNINGS:]:
        print(line)
    for name, event in find_standstills(lines).items():
        print(
            f'{name} stood still for {event["seconds"]} s at {event["time"]}'
        )


def find_standstills(lines: t.Iterable[str]) -> dict[str, dict[str, str]]:
    """Return the longest standstill of each process that had any."""
    found: dict[str, dict[str, str]] = {}
    for line in lines:
        if ' event=loop-late ' not in line:
            continue
        event = logs.parse_line(line)
        known = found.get(event['process'])
        if known is None or float(event['seconds']) > float(known['seconds']):
            found[event['process']] = event
    return found


class TestCase(testtools.TestCase):
    """Runs a coroutine method as a test, in an event loop of its own."""

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        for name, value in list(vars(cls).items()):
            if name.startswith('test_') and inspect.iscoroutinefunction(value):
                setattr(cls, name, _run_in_loop(value))

    def make_directory(self) -> pathlib.Path:
        """Return a directory that goes with the test.

        What its processes have logged is the only trace of a rare fault, so
        their last warnings are printed if the test fails, and the directory
        is kept.
        """
        directory = tempfile.TemporaryDirectory(prefix='persimmonsail-')
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name)
        self.addOnException(functools.partial(self._keep, path))
        return path

    def _keep(self, path: pathlib.Path, exc_info: tuple) -> None:
        _print_warnings(path)
        kept = pathlib.Path(os.environ.get(KEPT_VARIABLE, _KEPT))
        if path.exists():
            place = kept / self.id() / path.name
            shutil.copytree(path, place, dirs_exist_ok=True)
            print(f'kept in {place}')
