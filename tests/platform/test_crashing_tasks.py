import signal
import time

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
    with its agent costs the task no attempt, so nothing ended it. On
    sixteen crashes of a played minute one of three tasks had been started 3
    to 57 ms before:

        started task=867558e84388ba86.0.0.0 run=2
        worker-lost error="hold: RemoteProtocolError"    0.009 s later
        run-lost reason=boot-over, placed again          3.3 s later
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
        self.assertEqual(200, await running.submit('entry-1', id, body))

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

    async def test_the_count_outlives_its_leader(self):
        """A leader that takes over begins to count anew.

        The task was started as often again with each leader: what the
        first one had counted was kept in its memory alone.
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
            await self.wait_given_up(running, BAD, '0.0.0')
            for id in IDS[:6]:
                await running.wait_state('entry-2', id, 'complete', 40.0)

    async def test_a_task_that_lasts_is_given_up_as_well(self):
        """It has no limit on how often it may fail, and had none here."""
        async with self.deploy() as running:
            await self.start(running)
            await self.submit(running, IDS[0], 3, payload='1500')
            await self.submit(
                running, BAD, 1, payload='crash=0.0.0 lasts', longRunning=True
            )
            await self.wait_given_up(running, BAD, '0.0.0')
            await running.wait_state('entry-1', IDS[0], 'complete', 40.0)

    async def test_several_bad_tasks_of_a_step_are_told_from_others(self):
        """Four tasks of one step crash four agents at one moment.

        That looks like a loss of power, for which no task is to blame; it
        was taken for one again and again, and the step went round.
        """
        async with self.deploy() as running:
            await self.start(running)
            for id in IDS[:6]:
                await self.submit(running, id, 3, payload='1500')
            keys = tuple(f'0.0.{number}' for number in range(4))
            payload = f'crash={"/".join(keys)} 300'
            await self.submit(running, BAD, 4, payload=payload, maxPerServer=1)
            await self.wait_given_up(running, BAD, *keys)
            for id in IDS[:6]:
                await running.wait_state('entry-1', id, 'complete', 40.0)

    async def test_a_dead_agent_clears_no_task(self):
        """An agent that crashed is back after seconds, as most are.

        Its sidecar goes on to report what ran at its last look, so that the
        task looked as if it had outlived the time of its crashes: it was
        cleared each time, and its job never given up.
        """
        async with self.deploy() as running:
            await self.start(running)
            for runner in running.runners.values():
                await running.set_faults(runner, down_seconds=3.0)
            await self.submit(running, BAD, 1, payload='crash=0.0.0 300')
            await self.wait_given_up(running, BAD, '0.0.0')

    async def test_starts_that_are_carried_out_late_end_with_the_job(self):
        """Orders of a bad task are on their way when its job is given up.

        Its agents answer no start and carry it out 1.5 s later, after the
        leader has settled it or started the task elsewhere.
        """
        async with self.deploy() as running:
            await self.start(running)
            for runner in running.runners.values():
                await running.set_faults(
                    runner, late_starts=3, late_seconds=1.5
                )
            await self.submit(running, BAD, 1, payload='crash=0.0.0 300')
            await self.wait_given_up(running, BAD, '0.0.0')
            given_up_at = time.time()
            await anyio.sleep(4.0)
            starts = await running.list_starts()
            late = [one for one in starts if one['began'] > given_up_at]
            self.assertEqual([], late)
            answer = await running.call('entry-1', 'GET', BAD)
            self.assertEqual('failed', answer.json()['state'])

    async def test_a_later_occurrence_that_crashes_its_agents_ends_the_job(
        self,
    ):
        """A report that recurs does well, until its data break it."""
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
            await self.wait_given_up(running, BAD, '1.0.0')
            starts = await running.list_starts()
            done = [one['task'] for one in starts if one['how'] == 'done']
            self.assertIn(f'{BAD}.0.0.0', done)
            self.assertNotIn(f'{BAD}.1.0.0', done)

    async def test_a_gang_with_a_bad_member_is_given_up(self):
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
            await self.wait_given_up(running, BAD, '0.0.2')
            await running.wait_state('entry-1', IDS[0], 'complete', 40.0)

    async def test_tasks_that_crash_later_are_given_up(self):
        """An agent may go on for a second with the task that ends it."""
        async with self.deploy() as running:
            await self.start(running)
            for runner in running.runners.values():
                await running.set_faults(runner, crash_seconds=0.8)
            for id in IDS[:6]:
                await self.submit(running, id, 3, payload='1500')
            await self.submit(running, BAD, 1, payload='crash=0.0.0 3000')
            await self.wait_given_up(running, BAD, '0.0.0')
            for id in IDS[:6]:
                await running.wait_state('entry-1', id, 'complete', 40.0)

    async def test_no_job_is_given_up_where_all_agents_crash(self):
        """Power fails three times in five seconds, and nothing is to blame.

        Each task has three crashes to its name, all soon after a start.
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
