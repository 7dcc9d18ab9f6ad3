import collections

import anyio
import pytest

from standins import platform_deployment as deployed
from tests import base

# Three crashes tell who it was; two more starts may be on their way.
MOST_STARTS = 5


@pytest.mark.processes
class CrashBoundsTest(base.TestCase):
    """Several tasks at one moment crash the agents that start them."""

    async def play(self, instances, bad, harmless, down_seconds=0.2):
        """Hand bad and harmless jobs in together; check starts and ends."""
        async with deployed.Deployed(self.make_directory()) as running:
            await running.start_entry('entry-1')
            for number in range(instances):
                await running.start_instance(f'side-{number}')
            for runner in running.runners.values():
                await running.set_faults(runner, down_seconds=down_seconds)
            crashing = [f'b{number:015x}' for number in range(bad)]
            others = [f'a{number:015x}' for number in range(harmless)]
            async with anyio.create_task_group() as group:
                for id in crashing:
                    body = deployed.make_body(1, payload='crash=0.0.0 300')
                    group.start_soon(running.submit, 'entry-1', id, body)
                for id in others:
                    body = deployed.make_body(1, payload='400')
                    group.start_soon(running.submit, 'entry-1', id, body)
            for id in crashing:
                await running.wait_state('entry-1', id, 'failed', 120.0)
            for id in others:
                await running.wait_state('entry-1', id, 'complete', 60.0)
            counts = collections.Counter(
                start['task'].partition('.')[0]
                for start in await running.list_starts()
            )
            most = max(counts[id] for id in crashing)
            self.assertLessEqual(most, MOST_STARTS, counts)

    async def test_three_on_two_instances_beside_little_work(self):
        await self.play(2, 3, 6)

    async def test_three_on_two_instances_beside_much_work(self):
        await self.play(2, 3, 24)

    async def test_three_on_two_instances_whose_agents_stay_away(self):
        await self.play(2, 3, 24, down_seconds=3.0)

    async def test_six_on_six_instances_beside_much_work(self):
        await self.play(6, 6, 24)

    async def test_six_on_six_instances_whose_agents_stay_away(self):
        await self.play(6, 6, 24, down_seconds=3.0)

    async def test_six_on_sixteen_instances_beside_much_work(self):
        await self.play(16, 6, 24)
