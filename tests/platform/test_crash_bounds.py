import collections

import anyio
import pytest

from standins import platform_deployment as deployed
from tests import base

# Three crashes identify the task; two more starts may be in flight.
MAX_STARTS = 5


@pytest.mark.processes
class CrashBoundsTest(base.TestCase):
    """Several tasks simultaneously crash the agents that start them."""

    async def check_crashes(
        self, instances, bad_count, harmless_count, down_seconds=0.2
    ):
        """Submit bad and harmless jobs together; check starts and ends."""
        async with deployed.PlatformDeployment(
            self.make_directory()
        ) as running:
            await running.start_entry('entry-1')
            for number in range(instances):
                await running.start_instance(f'side-{number}')
            for runner in running.runners.values():
                await running.set_faults(runner, down_seconds=down_seconds)
            bad_ids = [f'b{number:015x}' for number in range(bad_count)]
            harmless_ids = [
                f'a{number:015x}' for number in range(harmless_count)
            ]
            async with anyio.create_task_group() as group:
                for id in bad_ids:
                    body = deployed.make_body(1, payload='crash=0.0.0 300')
                    group.start_soon(running.submit, 'entry-1', id, body)
                for id in harmless_ids:
                    body = deployed.make_body(1, payload='400')
                    group.start_soon(running.submit, 'entry-1', id, body)
            for id in bad_ids:
                await running.wait_state('entry-1', id, 'failed', 120.0)
            for id in harmless_ids:
                await running.wait_state('entry-1', id, 'complete', 60.0)
            counts = collections.Counter(
                start['task'].partition('.')[0]
                for start in await running.list_starts()
            )
            max_count = max(counts[id] for id in bad_ids)
            self.assertLessEqual(max_count, MAX_STARTS, counts)

    async def test_three_on_two_instances_with_little_other_work(self):
        await self.check_crashes(2, 3, 6)

    async def test_three_on_two_instances_with_much_other_work(self):
        await self.check_crashes(2, 3, 24)

    async def test_three_on_two_instances_with_slow_agent_restarts(self):
        await self.check_crashes(2, 3, 24, down_seconds=3.0)

    async def test_six_on_six_instances_with_much_other_work(self):
        await self.check_crashes(6, 6, 24)

    async def test_six_on_six_instances_with_slow_agent_restarts(self):
        await self.check_crashes(6, 6, 24, down_seconds=3.0)

    async def test_six_on_sixteen_instances_with_much_other_work(self):
        await self.check_crashes(16, 6, 24)
