import time

import anyio
import pytest

from standins import platform_deployment as deployed
from tests import base

IDS = tuple(f'{number:016x}' for number in range(1, 40))
# What the room of an instance shrinks to, and a task's part of it.
SMALL = 2000
TASK = 500
# A heartbeat comes each 0.2 s; orders and reports take less than that.
HEARD_SECONDS = 1.0


def count_most(starts, since):
    """Return how many ran at once after a start since some moment."""
    most = 0
    for start in starts:
        if start['began'] < since:
            continue
        at_once = [
            other
            for other in starts
            if other['began'] <= start['began']
            and (not other['ended'] or other['ended'] > start['began'])
        ]
        most = max(most, len(at_once))
    return most


@pytest.mark.processes
class CapacityTest(base.TestCase):
    """The room of an instance shrinks while it runs, and grows again.

    Its agent starts whatever it is told to; a start that brings it over
    its capacity slows all that runs there down.
    """

    def deploy(self) -> deployed.Deployed:
        return deployed.Deployed(self.make_directory())

    async def start(self, running, *names):
        await running.start_entry('entry-1')
        for name in names:
            await running.start_instance(name)

    async def submit(self, running, id, *counts, **fields):
        body = deployed.make_body(*counts, cpu=TASK, **fields)
        self.assertEqual(200, await running.submit('entry-1', id, body))

    async def set_room(self, running, name, millicores):
        runner = running.runners[name]
        await running.set_faults(runner, millicores=millicores)

    async def test_a_room_that_shrinks_is_never_overfilled(self):
        async with self.deploy() as running:
            await self.start(running, 'side-1')
            for id in IDS[:4]:
                await self.submit(running, id, 16, payload='400')
            await running.wait_starts(16)
            await self.set_room(running, 'side-1', SMALL)
            since = time.time() + HEARD_SECONDS
            await running.wait_starts(48, seconds=40.0)
            until = time.time()
            await self.set_room(running, 'side-1', 8000)
            for id in IDS[:4]:
                await running.wait_state('entry-1', id, 'complete', 40.0)
            starts = await running.list_starts()
            small = [s for s in starts if s['began'] < until]
            self.assertLessEqual(count_most(small, since), SMALL // TASK)
            self.assertEqual(64, len(starts))

    async def test_a_job_for_a_room_that_is_gone_waits_for_it(self):
        """No instance is so large now, but one was; it may be again."""
        async with self.deploy() as running:
            await self.start(running, 'side-1')
            entry = running.running.processes['entry-1']
            await entry.wait_event('capacities-saved')
            await self.set_room(running, 'side-1', 400)
            await anyio.sleep(HEARD_SECONDS)
            await self.submit(running, IDS[0], 1)
            await anyio.sleep(HEARD_SECONDS)
            self.assertEqual([], await running.list_starts())
            await self.set_room(running, 'side-1', 8000)
            await running.wait_state('entry-1', IDS[0], 'complete')

    async def test_a_gang_waits_whole_while_one_room_is_small(self):
        """One member is refused for want of room, the others wait in vain."""
        async with self.deploy() as running:
            await self.start(running, 'side-1', 'side-2')
            await self.set_room(running, 'side-2', 400)
            await self.submit(
                running, IDS[0], 4, payload='300', gang=True, maxPerServer=2
            )
            await anyio.sleep(HEARD_SECONDS)
            await self.set_room(running, 'side-2', 8000)
            await running.wait_state('entry-1', IDS[0], 'complete')
            last = (await running.list_starts())[-4:]
            self.assertEqual(4, len({start['task'] for start in last}))
            self.assertEqual(1, len({start['run'] for start in last}))
            # One member's end stands for all: what still runs is stopped.
            ends = {start['how'] for start in last}
            self.assertIn('done', ends)
            self.assertEqual(set(), ends - {'done', 'stopped'})
