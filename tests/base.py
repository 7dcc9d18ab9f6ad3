"""What all tests share."""

import functools
import inspect
import pathlib
import tempfile

import anyio
import testtools


def _run_in_loop(method):
    @functools.wraps(method)
    def run(self):
        anyio.run(method, self)

    return run


class TestCase(testtools.TestCase):
    """Runs a coroutine method as a test, in an event loop of its own."""

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        for name, value in list(vars(cls).items()):
            if name.startswith('test_') and inspect.iscoroutinefunction(value):
                setattr(cls, name, _run_in_loop(value))

    def make_directory(self) -> pathlib.Path:
        """Return a directory that goes with the test."""
        directory = tempfile.TemporaryDirectory(prefix='persimmonsail-')
        self.addCleanup(directory.cleanup)
        return pathlib.Path(directory.name)
