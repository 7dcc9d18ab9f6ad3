"""The base class of all test cases."""

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

# Where the directories of failed tests are saved.
FAILED_DIRECTORY_VARIABLE = 'PERSIMMONSAIL_KEPT'
_FAILED_DIRECTORY = 'build/failed'
_MAX_PRINTED_WARNINGS = 60


def _run_in_loop(method):
    @functools.wraps(method)
    def run(self):
        anyio.run(method, self)

    return run


def _print_warnings(directory: pathlib.Path) -> None:
    """Print the last warnings of all logs in a directory, by time."""
    lines = [
        line
        for path in directory.rglob('*.log')
        for line in path.read_text(errors='replace').splitlines()
        if ' level=warning ' in line or ' level=error ' in line
    ]
    for line in sorted(lines)[-_MAX_PRINTED_WARNINGS:]:
        print(line)
    for name, event in find_longest_stalls(lines).items():
        print(
            f'{name}: event loop blocked for {event["seconds"]} s'
            f' at {event["time"]}'
        )


def find_longest_stalls(lines: t.Iterable[str]) -> dict[str, dict[str, str]]:
    """Return the longest event loop stall of each process that had one."""
    stalls: dict[str, dict[str, str]] = {}
    for line in lines:
        if ' event=loop-late ' not in line:
            continue
        event = logs.parse_line(line)
        longest = stalls.get(event['process'])
        if longest is None or float(event['seconds']) > float(
            longest['seconds']
        ):
            stalls[event['process']] = event
    return stalls


class TestCase(testtools.TestCase):
    """Runs each coroutine test method in its own event loop."""

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        for name, value in list(vars(cls).items()):
            if name.startswith('test_') and inspect.iscoroutinefunction(value):
                setattr(cls, name, _run_in_loop(value))

    def make_directory(self) -> pathlib.Path:
        """Return a temporary directory for the test.

        The logs of the test's processes are the only trace of a rare fault,
        so if the test fails, their last warnings are printed and the
        directory is saved.
        """
        directory = tempfile.TemporaryDirectory(prefix='persimmonsail-')
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name)
        self.addOnException(functools.partial(self._save_directory, path))
        return path

    def _save_directory(self, path: pathlib.Path, exc_info: tuple) -> None:
        _print_warnings(path)
        saved = pathlib.Path(
            os.environ.get(FAILED_DIRECTORY_VARIABLE, _FAILED_DIRECTORY)
        )
        if path.exists():
            target = saved / self.id() / path.name
            shutil.copytree(path, target, dirs_exist_ok=True)
            print(f'saved to {target}')
