import signal
import time

import anyio
import pytest

from standins import platform_deployment as deployed
from tests import base

IDS = tuple(f'{number:016x}' for number in range(1, 40))
# The job whose first task crashes the agent that starts it.
BAD = 'f' * 16
# Three crashes may be needed to identify the task, and two more starts may
# be in flight; any further start only disturbs other work.
MAX_STARTS = 5


@pytest.mark.processes
class CrashingTasksTest(base.TestCase):
    """A task crashes every worker's agent that starts it.

    Its job stayed active, the task was started about five times a second,
    and all colocated tasks lost their progress each time. A run that is
    lost with its agent costs the task no attempt, so nothing ended it. At
    each of sixteen crashes in a simulated minute one of three tasks had
    been started 3 to 57 ms before:

        started task=867558e84388ba86.0.0.0 run=2
        worker-lost error="hold: RemoteProtocolError"    0.009 s later
        run-lost reason=boot-over, placed again          3.3 s later
    """

    def deploy(self) -> deployed.PlatformDeployment:
        return deployed.PlatformDeployment(self.make_directory())

    async def start(self, running):
        for name in ('entry-1', 'entry-2'):
            await running.start_entry(name)
        for number in range(1, 5):
            await running.start_instance(f'side-{number}')

    async def submit(self, running, id, *counts, **fields):
        body = deployed.make_body(*counts, **fields)
        self.assertEqual(200, await running.submit('entry-1', id, body))

    async def wait_abandoned(self, running, id, *keys):
        """Wait until the job has failed or exceeds the limit of starts."""
        names = {f'{id}.{key}' for key in keys}
        with anyio.fail_after(40.0):
            while True:
                starts = await running.list_starts()
                tasks = [start['task'] for start in starts]
                max_count = max(tasks.count(name) for name in names)
                answer = await running.call('entry-2', 'GET', id)
                if answer.json().get('state') == 'failed':
                    break
                if max_count > MAX_STARTS:
                    break
                await anyio.sleep(0.05)
        self.assertLessEqual(max_count, MAX_STARTS)

    async def test_a_task_that_crashes_its_agents_is_abandoned(self):
        async with self.deploy() as running:
            await self.start(running)
            for id in IDS[:6]:
                await self.submit(running, id, 3, payload='1500')
            await self.submit(running, BAD, 1, payload='crash=0.0.0 300')
            await self.wait_abandoned(running, BAD, '0.0.0')
            for id in IDS[:6]:
                await running.wait_state('entry-1', id, 'complete', 40.0)

    async def test_the_crash_count_survives_its_leader(self):
        """A new leader restarts the count of crashes.

        The task was started as often again under each leader, since the
        count was only held in the leader's memory.
        """
        async with self.deploy() as running:
            await self.start(running)
            for id in IDS[:6]:
                await self.submit(running, id, 3, payload='1500')
            await self.submit(running, BAD, 1, payload='crash=0.0.0 300')
            leader = running.find_leader()
            process = running.running.processes[leader]
            await process.wait_event(
                'crash-counted', count=2, seconds=20.0, task=f'{BAD}.0.0.0'
            )
            process.send_signal(signal.SIGKILL)
            await process.handle.wait()
            await running.start_entry(leader)
            await self.wait_abandoned(running, BAD, '0.0.0')
            for id in IDS[:6]:
                await running.wait_state('entry-2', id, 'complete', 40.0)

    async def test_a_long_running_task_is_abandoned_as_well(self):
        """Its failures are not limited, and its crashes were not either."""
        async with self.deploy() as running:
            await self.start(running)
            await self.submit(running, IDS[0], 3, payload='1500')
            await self.submit(
                running, BAD, 1, payload='crash=0.0.0 lasts', longRunning=True
            )
            await self.wait_abandoned(running, BAD, '0.0.0')
            await running.wait_state('entry-1', IDS[0], 'complete', 40.0)

    async def test_several_bad_tasks_of_a_step_are_identified(self):
        """Four tasks of one step crash four agents simultaneously.

        That looks like a power failure, which no task has caused. It was
        repeatedly mistaken for one, and the step restarted endlessly.
        """
        async with self.deploy() as running:
            await self.start(running)
            for id in IDS[:6]:
                await self.submit(running, id, 3, payload='1500')
            keys = tuple(f'0.0.{number}' for number in range(4))
            payload = f'crash={"/".join(keys)} 300'
            await self.submit(running, BAD, 4, payload=payload, maxPerServer=1)
            await self.wait_abandoned(running, BAD, *keys)
            for id in IDS[:6]:
                await running.wait_state('entry-1', id, 'complete', 40.0)

    async def test_a_dead_agent_clears_no_task(self):
        """A crashed agent returns after seconds, as most do.

        Its sidecar continues to report the runs of its last poll, so that
        the task seemed to have run for longer than until its earlier
        crashes: it was cleared each time, and its job never abandoned.
        """
        async with self.deploy() as running:
            await self.start(running)
            for runner in running.runners.values():
                await running.set_faults(runner, down_seconds=3.0)
            await self.submit(running, BAD, 1, payload='crash=0.0.0 300')
            await self.wait_abandoned(running, BAD, '0.0.0')

    async def test_starts_that_are_executed_late_end_with_the_job(self):
        """Orders of a bad task are in flight when its job is abandoned.

        Its agents answer no start and execute it 1.5 s later, after the
        leader has settled it or started the task elsewhere.
        """
        async with self.deploy() as running:
            await self.start(running)
            for runner in running.runners.values():
                await running.set_faults(
                    runner, late_starts=3, late_seconds=1.5
                )
            await self.submit(running, BAD, 1, payload='crash=0.0.0 300')
            await self.wait_abandoned(running, BAD, '0.0.0')
            abandoned_at = time.time()
            await anyio.sleep(4.0)
            starts = await running.list_starts()
            late = [start for start in starts if start['began'] > abandoned_at]
            self.assertEqual([], late)
            answer = await running.call('entry-1', 'GET', BAD)
            self.assertEqual('failed', answer.json()['state'])

    async def test_a_later_occurrence_that_crashes_its_agents_ends_the_job(
        self,
    ):
        """A recurring job succeeds until its data make a task crash."""
        async with self.deploy() as running:
            await self.start(running)
            body = deployed.make_body(1, payload='crash=1.0.0 100')
            recurring = {
                'repeatCount': 3,
                'firstMs': round(time.time() * 1000),
                'intervalMs': 1000,
            }
            body.update(recurring)
            status = await running.submit('entry-1', BAD, body)
            self.assertEqual(200, status)
            await self.wait_abandoned(running, BAD, '1.0.0')
            starts = await running.list_starts()
            done = [
                start['task'] for start in starts if start['how'] == 'done'
            ]
            self.assertIn(f'{BAD}.0.0.0', done)
            self.assertNotIn(f'{BAD}.1.0.0', done)

    async def test_a_gang_with_a_bad_member_is_abandoned(self):
        async with self.deploy() as running:
            await self.start(running)
            await self.submit(running, IDS[0], 3, payload='1500')
            await self.submit(
                running,
                BAD,
                4,
                payload='crash=0.0.2 1000',
                gang=True,
                maxPerServer=1,
            )
            await self.wait_abandoned(running, BAD, '0.0.2')
            await running.wait_state('entry-1', IDS[0], 'complete', 40.0)

    async def test_tasks_that_crash_later_are_abandoned(self):
        """An agent may run for a second with the task that crashes it."""
        async with self.deploy() as running:
            await self.start(running)
            for runner in running.runners.values():
                await running.set_faults(runner, crash_seconds=0.8)
            for id in IDS[:6]:
                await self.submit(running, id, 3, payload='1500')
            await self.submit(running, BAD, 1, payload='crash=0.0.0 3000')
            await self.wait_abandoned(running, BAD, '0.0.0')
            for id in IDS[:6]:
                await running.wait_state('entry-1', id, 'complete', 40.0)

    async def test_no_job_is_abandoned_where_all_agents_crash(self):
        """Power fails three times in five seconds; no task is the cause.

        Each task has three crashes on record, all soon after a start.
        """
        async with self.deploy() as running:
            await self.start(running)
            for id in IDS[:6]:
                await self.submit(running, id, 3, payload='1500')
            for _ in range(3):
                await running.wait_starts(1)
                await anyio.sleep(1.2)
                for runner in running.runners.values():
                    await running.set_faults(runner, restart=True)
            for id in IDS[:6]:
                await running.wait_state('entry-1', id, 'complete', 40.0)
