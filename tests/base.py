"""What all tests share."""

import functools
import inspect
import os
import pathlib
import shutil
import tempfile

import anyio
import testtools


# Where the directories of tests that fail are kept; nowhere if unset.
KEPT_VARIABLE = 'PERSIMMONSAIL_KEPT'


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
        """Return a directory that goes with the test.

        That of a test that fails is kept where the environment says so: what
        its processes have logged is the only trace of a rare fault.
        """
        directory = tempfile.TemporaryDirectory(prefix='persimmonsail-')
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name)
        self.addOnException(functools.partial(self._keep, path))
        return path

    def _keep(self, path: pathlib.Path, exc_info: tuple) -> None:
        kept = os.environ.get(KEPT_VARIABLE)
        if kept and path.exists():
            place = pathlib.Path(kept) / self.id() / path.name
            shutil.copytree(path, place, dirs_exist_ok=True)
