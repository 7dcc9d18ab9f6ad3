import anyio
import pytest

from standins import platform_deployment as deployed
from tests import base

IDS = tuple(f'{number:016x}' for number in range(1, 40))
# Whose first task ends the agent that starts it.
BAD = 'f' * 16
# Three crashes may be needed to tell who it was, two more starts may be on
# their way; what comes after those only does harm.
MOST_STARTS = 5


@pytest.mark.processes
class CrashingTasksTest(base.TestCase):
    """A task ends the worker's agent that starts it, wherever that is.

    Its job stayed active, the task was started about five times a second,
    and all that ran beside it was thrown back each time. A run that is lost
    with its agent costs the task no attempt, so nothing ended it.
    """

    def deploy(self) -> deployed.Deployed:
        return deployed.Deployed(self.make_directory())

    async def start(self, running):
        for name in ('entry-1', 'entry-2'):
            await running.start_entry(name)
        for number in range(1, 5):
            await running.start_instance(f'side-{number}')

    async def submit(self, running, id, *counts, **fields):
        body = deployed.make_body(*counts, **fields)
        answer = await running.call('entry-1', 'POST', id, body)
        self.assertEqual(200, answer.status_code, answer.text)

    async def wait_given_up(self, running, id, *keys):
        """Wait for the job's end, or for one start too many."""
        names = {f'{id}.{key}' for key in keys}
        with anyio.fail_after(40.0):
            while True:
                starts = await running.list_starts()
                tasks = [start['task'] for start in starts]
                most = max(tasks.count(name) for name in names)
                answer = await running.call('entry-2', 'GET', id)
                if answer.json().get('state') == 'failed':
                    break
                if most > MOST_STARTS:
                    break
                await anyio.sleep(0.05)
        self.assertLessEqual(most, MOST_STARTS)

    async def test_a_task_that_crashes_its_agents_is_given_up(self):
        async with self.deploy() as running:
            await self.start(running)
            for id in IDS[:6]:
                await self.submit(running, id, 3, payload='1500')
            await self.submit(running, BAD, 1, payload='crash=0.0.0 300')
            await self.wait_given_up(running, BAD, '0.0.0')
            for id in IDS[:6]:
                await running.wait_state('entry-1', id, 'complete', 40.0)
