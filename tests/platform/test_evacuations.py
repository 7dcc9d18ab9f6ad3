import time

import anyio
import pytest

from standins import platform_deployment as deployed
from tests import base

IDS = tuple(f'{number:016x}' for number in range(1, 200))
# No task starts in a zone later than this after its evacuation is accepted.
EVACUATION_SECONDS = 5.0
OBSERVED_SECONDS = 2.5
SUBMIT_INTERVAL_SECONDS = 0.1
LONG_RUNNING = deployed.make_body(1, payload='lasts', longRunning=True)
ZONES = {'side-1': 'r-a', 'side-2': 'r-b'}


@pytest.mark.processes
class EvacuationsTest(base.TestCase):
    """Zones that are evacuated while jobs arrive."""

    def deploy(self) -> deployed.PlatformDeployment:
        return deployed.PlatformDeployment(self.make_directory())

    async def start(self, running):
        """Start two entries, and one instance in each of two zones."""
        self.running = running
        store, self.store_link = await running.running.start_proxy(
            'proxy-store', running.store
        )
        self.leader = await running.start_entry('entry-1', store)
        await self.leader.wait_event('leading')
        await running.start_entry('entry-2')
        for name, zone in ZONES.items():
            await running.start_instance(name, zone)
            await self.leader.wait_event('instance-boot')

    async def run_jobs(self):
        """Submit short jobs until cancelled."""
        body = deployed.make_body(4)
        for id in IDS:
            await self.running.submit('entry-2', id, body)
            await anyio.sleep(SUBMIT_INTERVAL_SECONDS)

    async def evacuate(self, *zones):
        for zone in zones:
            await self.running.evacuate(zone)
        return time.time()

    async def count_late_starts(self, name, evacuated_at):
        starts = await self.running.list_instance_starts(name)
        limit = evacuated_at + EVACUATION_SECONDS
        return sum(start['began'] > limit for start in starts)

    async def assert_none_late(self, evacuated_at):
        """Check that nothing starts in the first zone after the limit."""
        elapsed = time.time() - evacuated_at
        await anyio.sleep(EVACUATION_SECONDS + OBSERVED_SECONDS - elapsed)
        late = await self.count_late_starts('side-1', evacuated_at)
        self.assertEqual(0, late)
        elsewhere = await self.count_late_starts('side-2', evacuated_at)
        self.assertLess(0, elsewhere)

    async def test_an_evacuated_zone_gets_no_starts_until_reopened(self):
        async with self.deploy() as running:
            await self.start(running)
            async with anyio.create_task_group() as group:
                group.start_soon(self.run_jobs)
                evacuated_at = await self.evacuate('r-a')
                await self.leader.wait_event('zone-evacuated', zone='r-a')
                await self.assert_none_late(evacuated_at)
                await running.reopen('r-a')
                await self.leader.wait_event('zone-reopened', zone='r-a')
                await self.wait_start('side-1', time.time())
                group.cancel_scope.cancel()

    async def wait_start(self, name, after):
        with anyio.fail_after(5):
            while True:
                starts = await self.running.list_instance_starts(name)
                if any(start['began'] > after for start in starts):
                    return
                await anyio.sleep(0.05)

    async def test_a_leader_that_reads_no_changes(self):
        """Guards against claims by a leader whose watch and polls hang."""
        async with self.deploy() as running:
            await self.start(running)
            async with anyio.create_task_group() as group:
                group.start_soon(self.run_jobs)
                await running.set_faults(running.store, hang_reads='op/')
                evacuated_at = await self.evacuate('r-a')
                await self.leader.wait_event(
                    'claim-withdrawn', reason='evacuated'
                )
                await self.assert_none_late(evacuated_at)
                group.cancel_scope.cancel()

    async def test_a_leader_that_is_cut_off_and_replaced(self):
        """Guards against starts by a leader that no longer reads the store."""
        async with self.deploy() as running:
            await self.start(running)
            async with anyio.create_task_group() as group:
                group.start_soon(self.run_jobs)
                await anyio.sleep(0.5)
                await running.set_faults(self.store_link, mode='silent')
                evacuated_at = await self.evacuate('r-a')
                await self.assert_none_late(evacuated_at)
                await running.set_faults(self.store_link, mode='pass')
                group.cancel_scope.cancel()

    async def test_starts_that_are_unanswered_before_the_evacuation(self):
        """Guards against starts that are repeated for too long."""
        async with self.deploy() as running:
            await self.start(running)
            runner = running.runners['side-1']
            async with anyio.create_task_group() as group:
                group.start_soon(self.run_jobs)
                await anyio.sleep(0.5)
                await running.set_faults(runner, silent=True)
                evacuated_at = await self.evacuate('r-a')
                await anyio.sleep(EVACUATION_SECONDS)
                await running.set_faults(runner)
                await self.assert_none_late(evacuated_at)
                group.cancel_scope.cancel()

    async def test_what_runs_in_an_evacuated_zone_continues(self):
        """Guards against evictions that throw work away."""
        async with self.deploy() as running:
            await self.start(running)
            for id in IDS[:6]:
                await running.submit('entry-2', id, LONG_RUNNING)
            await running.wait_starts(6)
            await self.evacuate('r-a')
            await self.leader.wait_event('zone-evacuated', zone='r-a')
            await anyio.sleep(OBSERVED_SECONDS)
            starts = await running.list_starts()
            self.assertEqual(6, len(starts))
            self.assertEqual([], [start for start in starts if start['ended']])

    async def test_jobs_wait_while_all_zones_are_evacuated(self):
        async with self.deploy() as running:
            await self.start(running)
            evacuated_at = await self.evacuate(*ZONES.values())
            for zone in ZONES.values():
                await self.leader.wait_event('zone-evacuated', zone=zone)
            body = deployed.make_body(2)
            status = await running.submit('entry-2', IDS[0], body)
            self.assertEqual(200, status)
            await anyio.sleep(OBSERVED_SECONDS)
            self.assertEqual([], await running.list_starts(), evacuated_at)
            await running.reopen('r-b')
            await running.wait_state('entry-2', IDS[0], 'complete')
