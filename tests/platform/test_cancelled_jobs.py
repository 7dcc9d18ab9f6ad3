import signal
import time

import anyio
import pytest

from persimmonsail.jobs import record
from standins import platform_deployment as deployed
from tests import base

IDS = tuple(f'{number:016x}' for number in range(1, 7))
# No task of a job starts later than this after its cancel is acknowledged.
CANCEL_SECONDS = 3.0
# How long starts are observed after a fault has ended.
SETTLE_SECONDS = 2.5
INSTANCES = ('side-1', 'side-2')
LONG_RUNNING = deployed.make_body(1, payload='lasts', longRunning=True)


@pytest.mark.processes
class CancelledJobsTest(base.TestCase):
    """Cancels through the entry that does not lead, during faults."""

    async def start(self, running):
        """Start two entries and two instances; the first entry leads."""
        self.running = running
        store, self.store_link = await running.running.start_proxy(
            'proxy-store', running.store
        )
        self.leader = await running.start_entry('entry-1', store)
        await self.leader.wait_event('leading')
        await running.start_entry('entry-2')
        for name in INSTANCES:
            await running.start_instance(name)
            await self.leader.wait_event('instance-boot')

    async def set_runner_faults(self, **faults):
        for runner in self.running.runners.values():
            await self.running.set_faults(runner, **faults)

    async def submit_all(self):
        for id in IDS:
            await self.running.submit('entry-2', id, LONG_RUNNING)
        for id in IDS:
            await self.leader.wait_event('job-seen', job=id)

    async def cancel_all(self):
        """Cancel all jobs; return when each was acknowledged."""
        acknowledged = {}
        for id in IDS:
            answer = await self.running.call('entry-2', 'DELETE', id)
            self.assertEqual(200, answer.status_code, answer.text)
            acknowledged[id] = time.time()
        return acknowledged

    async def assert_none_late(self, acknowledged):
        """Check that no task started too late or still runs."""
        await anyio.sleep(SETTLE_SECONDS)
        starts = await self.running.list_starts()
        late = []
        for start in starts:
            job = start['task'].partition('.')[0]
            after = start['began'] - acknowledged[job]
            if after > CANCEL_SECONDS or not start['ended']:
                late.append((start['task'], round(after, 2), start['how']))
        self.assertEqual([], late)

    def deploy(self) -> deployed.PlatformDeployment:
        return deployed.PlatformDeployment(self.make_directory())

    async def test_claims_whose_outcome_is_long_unknown(self):
        """Claims written before a cancel are acted on seconds after it."""
        async with self.deploy() as running:
            await self.start(running)
            await self.set_runner_faults(millicores=0)
            await anyio.sleep(0.5)
            await self.submit_all()
            await running.set_faults(self.store_link, mode='one-way')
            await self.set_runner_faults()
            await anyio.sleep(1.2)
            acknowledged = await self.cancel_all()
            await anyio.sleep(3.8)
            await running.set_faults(self.store_link, mode='pass')
            await self.assert_none_late(acknowledged)

    async def test_a_leader_whose_watch_hangs(self):
        """Capacity becomes free while the leader misses the cancels."""
        async with self.deploy() as running:
            await self.start(running)
            await self.set_runner_faults(millicores=0)
            await anyio.sleep(0.5)
            await self.submit_all()
            await running.set_faults(running.store, hang_watch=record.INBOX)
            acknowledged = await self.cancel_all()
            await anyio.sleep(4.0)
            await self.set_runner_faults()
            await anyio.sleep(2.0)
            await running.set_faults(running.store)
            await self.assert_none_late(acknowledged)

    async def test_running_tasks_are_stopped_while_the_watch_hangs(self):
        """Tasks of a cancelled job keep running while the watch hangs."""
        async with self.deploy() as running:
            await self.start(running)
            await self.submit_all()
            await running.wait_starts(len(IDS))
            await running.set_faults(running.store, hang_watch=record.INBOX)
            acknowledged = await self.cancel_all()
            await anyio.sleep(CANCEL_SECONDS)
            starts = await running.list_starts()
            self.assertEqual([], [s for s in starts if not s['ended']])
            await running.set_faults(running.store)
            await self.assert_none_late(acknowledged)

    async def test_agents_that_do_not_answer(self):
        """A start is repeated concurrently with the stop of its run."""
        async with self.deploy() as running:
            await self.start(running)
            await self.set_runner_faults(silent=True)
            await self.submit_all()
            await anyio.sleep(0.5)
            acknowledged = await self.cancel_all()
            await anyio.sleep(4.5)
            await self.set_runner_faults()
            await self.assert_none_late(acknowledged)

    async def test_agents_that_execute_unanswered_starts_late(self):
        """Agents execute starts seconds after receiving them."""
        async with self.deploy() as running:
            await self.start(running)
            await self.set_runner_faults(late_starts=100, late_seconds=4.0)
            await self.submit_all()
            acknowledged = await self.cancel_all()
            await anyio.sleep(4.0)
            await self.set_runner_faults()
            await self.assert_none_late(acknowledged)

    async def test_a_submission_that_is_stored_after_its_cancel(self):
        """A job that its caller has cancelled starts and is never stopped.

        The store executes the submission's write after it has answered that
        it has no such job.
        """
        async with self.deploy() as running:
            await self.start(running)
            await running.set_faults(
                running.store, lose_writes=100, delay_writes=5.0
            )
            acknowledged = {}
            answer = await running.call(
                'entry-2', 'POST', IDS[0], LONG_RUNNING
            )
            self.assertEqual(504, answer.status_code)
            await running.set_faults(running.store)
            answer = await running.call('entry-2', 'DELETE', IDS[0])
            self.assertIn(answer.status_code, (200, 410))
            acknowledged[IDS[0]] = time.time()
            await anyio.sleep(5.0)
            await self.assert_none_late(acknowledged)

    async def test_frozen_sidecars_with_starts_in_flight(self):
        """A sidecar resumes and executes orders that are seconds old."""
        async with self.deploy() as running:
            await self.start(running)
            for name in INSTANCES:
                sidecar = running.running.processes[name]
                sidecar.send_signal(signal.SIGSTOP)
            await self.submit_all()
            await self.leader.wait_event('placed')
            acknowledged = await self.cancel_all()
            await anyio.sleep(CANCEL_SECONDS + 0.5)
            for name in INSTANCES:
                sidecar = running.running.processes[name]
                sidecar.send_signal(signal.SIGCONT)
            await self.assert_none_late(acknowledged)

    async def test_a_leader_frozen_between_claims_and_starts(self):
        """A deposed leader resumes with claims whose starts are not sent."""
        async with self.deploy() as running:
            await self.start(running)
            await self.set_runner_faults(millicores=0)
            await anyio.sleep(0.5)
            await self.submit_all()
            await running.set_faults(self.store_link, mode='freeze')
            await self.set_runner_faults()
            await anyio.sleep(0.3)
            self.leader.send_signal(signal.SIGSTOP)
            await running.set_faults(self.store_link, mode='pass')
            acknowledged = await self.cancel_all()
            await anyio.sleep(CANCEL_SECONDS + 0.5)
            self.leader.send_signal(signal.SIGCONT)
            await self.assert_none_late(acknowledged)

    async def test_a_power_failure_right_after_the_acknowledgements(self):
        """A new leader starts jobs that were cancelled just before."""
        async with self.deploy() as running:
            await self.start(running)
            await self.submit_all()
            acknowledged = await self.cancel_all()
            controls = {
                name: running.running.processes[name].find('listening')[0]
                for name in INSTANCES
            }
            for name in ('entry-1', 'entry-2', *INSTANCES):
                await running.running.processes[name].stop(signal.SIGKILL)
            await self.set_runner_faults(restart=True)
            await running.start_entry('entry-2')
            for name in INSTANCES:
                await running.start_sidecar(name, controls[name]['control'])
            await anyio.sleep(CANCEL_SECONDS)
            await self.assert_none_late(acknowledged)
