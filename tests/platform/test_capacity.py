import time

import anyio
import pytest

from standins import platform_deployment as deployed
from tests import base

IDS = tuple(f'{number:016x}' for number in range(1, 40))
# The reduced capacity of an instance, and the size of a task.
REDUCED_MILLICORES = 2000
TASK_MILLICORES = 500
# Heartbeats are sent every 0.2 s; orders and reports take less than that.
REPORT_SECONDS = 1.0


def count_max_concurrent(starts, since):
    """Return the maximum concurrency at any start since a time."""
    max_count = 0
    for start in starts:
        if start['began'] < since:
            continue
        concurrent = [
            other
            for other in starts
            if other['began'] <= start['began']
            and (not other['ended'] or other['ended'] > start['began'])
        ]
        max_count = max(max_count, len(concurrent))
    return max_count


@pytest.mark.processes
class CapacityTest(base.TestCase):
    """The capacity of an instance shrinks while it runs, and grows again.

    Its agent executes every start order; a start that exceeds the capacity
    slows down all tasks on the instance.
    """

    def deploy(self) -> deployed.PlatformDeployment:
        return deployed.PlatformDeployment(self.make_directory())

    async def start(self, running, *names):
        await running.start_entry('entry-1')
        for name in names:
            await running.start_instance(name)

    async def submit(self, running, id, *counts, **fields):
        body = deployed.make_body(*counts, cpu=TASK_MILLICORES, **fields)
        self.assertEqual(200, await running.submit('entry-1', id, body))

    async def set_capacity(self, running, name, millicores):
        runner = running.runners[name]
        await running.set_faults(runner, millicores=millicores)

    async def test_a_reduced_capacity_is_never_exceeded(self):
        async with self.deploy() as running:
            await self.start(running, 'side-1')
            for id in IDS[:4]:
                await self.submit(running, id, 16, payload='400')
            await running.wait_starts(16)
            await self.set_capacity(running, 'side-1', REDUCED_MILLICORES)
            since = time.time() + REPORT_SECONDS
            await running.wait_starts(48, seconds=40.0)
            until = time.time()
            await self.set_capacity(running, 'side-1', 8000)
            for id in IDS[:4]:
                await running.wait_state('entry-1', id, 'complete', 40.0)
            starts = await running.list_starts()
            reduced = [s for s in starts if s['began'] < until]
            self.assertLessEqual(
                count_max_concurrent(reduced, since),
                REDUCED_MILLICORES // TASK_MILLICORES,
            )
            self.assertEqual(64, len(starts))

    async def test_a_job_larger_than_the_reduced_capacity_waits(self):
        """No instance is large enough now, but one was and may be again."""
        async with self.deploy() as running:
            await self.start(running, 'side-1')
            entry = running.running.processes['entry-1']
            await entry.wait_event('capacities-saved')
            await self.set_capacity(running, 'side-1', 400)
            await anyio.sleep(REPORT_SECONDS)
            await self.submit(running, IDS[0], 1)
            await anyio.sleep(REPORT_SECONDS)
            self.assertEqual([], await running.list_starts())
            await self.set_capacity(running, 'side-1', 8000)
            await running.wait_state('entry-1', IDS[0], 'complete')

    async def test_a_gang_waits_as_a_unit_for_one_reduced_instance(self):
        """One member is refused for lack of capacity; the others starve."""
        async with self.deploy() as running:
            await self.start(running, 'side-1', 'side-2')
            await self.set_capacity(running, 'side-2', 400)
            await self.submit(
                running, IDS[0], 4, payload='300', gang=True, maxPerServer=2
            )
            await anyio.sleep(REPORT_SECONDS)
            await self.set_capacity(running, 'side-2', 8000)
            await running.wait_state('entry-1', IDS[0], 'complete')
            last = (await running.list_starts())[-4:]
            self.assertEqual(4, len({start['task'] for start in last}))
            self.assertEqual(1, len({start['run'] for start in last}))
            # The end of one member ends the gang: the others are stopped.
            ends = {start['how'] for start in last}
            self.assertIn('done', ends)
            self.assertEqual(set(), ends - {'done', 'stopped'})
