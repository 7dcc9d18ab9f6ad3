import anyio
import pytest

from standins import platform_deployment as deployed
from tests import base

IDS = tuple(f'{number:016x}' for number in range(1, 40))
# Clocks that read less and more than that of any start before.
EARLIER_CLOCK_MS = 1
LATER_CLOCK_MS = 2_000_000


def count_done(starts):
    """Return how often each task has been executed to its end."""
    counts = {}
    for start in starts:
        counts[start['task']] = counts.get(start['task'], 0)
        counts[start['task']] += start['how'] == 'done'
    return counts


@pytest.mark.processes
class RestartTest(base.TestCase):
    """Agents crash and start again under the ids that they had."""

    def deploy(self) -> deployed.PlatformDeployment:
        return deployed.PlatformDeployment(self.make_directory())

    async def start(self, running, *names):
        await running.start_entry('entry-1')
        for name in names:
            await running.start_instance(name)

    async def restart_agents(self, running, **faults):
        faults.setdefault('new_ids', False)
        for runner in running.runners.values():
            await running.set_faults(runner, restart=True, **faults)

    async def complete(self, running, id, *counts, **fields):
        body = deployed.make_body(*counts, **fields)
        await running.submit('entry-1', id, body)
        await running.wait_state('entry-1', id, 'complete')

    async def assert_done_once(self, running):
        starts = await running.list_starts()
        self.assertEqual([], deployed.find_overlaps(starts))
        self.assertEqual({1}, set(count_done(starts).values()))

    async def test_ends_after_a_restart_are_read(self):
        """A completed task is executed again after its agent restarted.

        Its end was discarded unread: its number had been acknowledged to
        the start before.
        """
        async with self.deploy() as running:
            await self.start(running, 'side-1', 'side-2')
            await self.complete(running, IDS[0], 12)
            await self.restart_agents(running, clock_ms=LATER_CLOCK_MS)
            for id in IDS[1:4]:
                await self.complete(running, id, 6, payload='300')
            await self.assert_done_once(running)

    async def test_a_watcher_runs_again_after_a_restart(self):
        """A watcher never runs again after its agent restarted.

        The agent's clock read less than before, and its lists of runs were
        ignored as old ones.
        """
        async with self.deploy() as running:
            await self.start(running, 'side-1')
            body = deployed.make_body(2, payload='lasts', longRunning=True)
            await running.submit('entry-1', IDS[0], body)
            await running.wait_starts(2)
            await self.restart_agents(running, clock_ms=EARLIER_CLOCK_MS)
            await running.wait_starts(4, 8.0)
            await anyio.sleep(0.5)
            starts = await running.list_starts()
            self.assertEqual(['', ''], [start['how'] for start in starts[2:]])
