import os
import pathlib
import subprocess
import tempfile

import psutil
import pytest

from standins import deployment
from tests import base
from tools import binary

_WAIT_SECONDS = 30


def describe_threads(pid: int) -> list[str]:
    """Return process and user of each thread, as the kernel reports them."""
    owners = []
    for folder in sorted(pathlib.Path(f'/proc/{pid}/task').iterdir()):
        status = dict(
            line.split(':\t', 1)
            for line in (folder / 'status').read_text().splitlines()
            if ':\t' in line
        )
        owners.append(
            f'process={status["Tgid"]} user={status["Uid"].split()[0]}'
        )
    return owners


def list_files(root: pathlib.Path) -> dict[str, tuple[int, int]]:
    """Return each file's size and modification time."""
    return {
        str(path): (path.stat().st_size, path.stat().st_mtime_ns)
        for path in root.rglob('*')
    }


@pytest.mark.processes
class BinaryTest(base.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.build_directory = tempfile.TemporaryDirectory(
            prefix='persimmonsail-'
        )
        cls.program = pathlib.Path(cls.build_directory.name) / 'persimmonsail'
        binary.build(cls.program)

    @classmethod
    def tearDownClass(cls):
        cls.build_directory.cleanup()
        super().tearDownClass()

    def make_environment(self, root: pathlib.Path) -> dict[str, str]:
        return {'PATH': os.environ['PATH'], 'SHIV_ROOT': str(root)}

    def run_version(self, root: pathlib.Path) -> subprocess.Popen:
        return subprocess.Popen(
            [str(self.program), '--version'],
            env=self.make_environment(root),
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def assert_one_process(self, process: deployment.Process) -> None:
        found = psutil.Process(process.pid)
        self.assertEqual([], found.children(recursive=True))
        self.assertIn(str(self.program), found.cmdline())
        owner = f'process={process.pid} user={os.getuid()}'
        self.assertEqual([owner], describe_threads(process.pid))

    async def test_each_role_is_one_process_of_one_thread(self):
        """Guards against a loader that stays as a parent process.

        It would exceed the instance's allowance of one small process,
        and a signal sent to the process known to the platform would not
        reach the child that runs the program.
        """
        root = self.make_directory()
        command = ['env', f'SHIV_ROOT={root}', str(self.program)]
        async with deployment.Deployment(
            self.make_directory(), command
        ) as running:
            await running.start_store()
            entry = await running.start_entry('entry-1')
            listening = entry.find('listening')[0]
            sidecar = await running.start_instance(
                'one', [listening['control']], 'planning'
            )
            await entry.wait_event('announced', instance='one')
            self.assert_one_process(entry)
            self.assert_one_process(sidecar)
            ready = await running.client.get(
                f'http://{listening["http"]}/health'
            )
            self.assertEqual(200, ready.status_code)
            self.assert_one_process(entry)
            self.assertEqual(0, await sidecar.stop())
            self.assertEqual(0, await entry.stop())

    def test_two_first_starts_at_once_both_work(self):
        """Guards against a failed first start on a new instance.

        Several roles start simultaneously and unpack to the same
        folder; one may import a module that another has only partly
        written.
        """
        root = self.make_directory() / 'root'
        started = [self.run_version(root) for _ in range(4)]
        for process in started:
            output, _ = process.communicate(timeout=_WAIT_SECONDS)
            self.assertEqual('persimmonsail 0.1.0\n', output)
            self.assertEqual(0, process.returncode)

    def test_a_second_start_writes_nothing(self):
        """Guards against failing to start from a read-only folder."""
        root = self.make_directory() / 'root'
        self.assertEqual(0, self.run_version(root).wait(_WAIT_SECONDS))
        before = list_files(root)
        self.assertEqual(0, self.run_version(root).wait(_WAIT_SECONDS))
        self.assertEqual(before, list_files(root))

    def test_unwritable_folder_is_reported(self):
        process = self.run_version(pathlib.Path('/proc/none'))
        output, _ = process.communicate(timeout=_WAIT_SECONDS)
        self.assertEqual(1, process.returncode)
        self.assertIn('/proc/none', output)

    def test_builds_are_reproducible(self):
        second_build = self.make_directory() / 'persimmonsail'
        binary.build(second_build)
        self.assertEqual(self.program.read_bytes(), second_build.read_bytes())

    def test_reads_pins_without_packages_that_are_not_bundled(self):
        text = '# why\nanyio==4.16.0\npbr==7.1.3\nsetuptools==84.2.1\n'
        self.assertEqual({'anyio': '4.16.0'}, binary.read_pins(text))
