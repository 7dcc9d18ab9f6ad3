import signal

import anyio
import pytest

from standins import platform_deployment as deployed
from tests import base

# Each job takes the only instance for 3.2 s, and is of use for 51 s.
BODY = deployed.make_body(16, payload='400', cpu=4000, estimateMs=8000)
CROWD = [f'{number:016x}' for number in range(1, 31)]
LATECOMER = 'a' * 16
OVERLOADED = 503
# The rate is known after 5 s of saturation, and entries poll each second.
FORECAST_SECONDS = 10.0


@pytest.mark.processes
class AdmissionTest(base.TestCase):
    """A crowd of callers hands in a minute and a half of work at once."""

    def deploy(self) -> deployed.PlatformDeployment:
        return deployed.PlatformDeployment(self.make_directory())

    async def overload(self, running):
        """Start two entries and an instance, and hand in the work."""
        self.running = running
        running.admission = 'forecast'
        self.leader = await running.start_entry('entry-1')
        await self.leader.wait_event('leading')
        self.other = await running.start_entry('entry-2')
        await running.start_instance('side-1')
        await self.leader.wait_event('instance-boot')
        for id in CROWD:
            response = await running.call('entry-2', 'POST', id, BODY)
            self.assertEqual(200, response.status_code)
        await self.leader.wait_event('service-saturated')

    async def submit_until_rejected(self):
        """Submit one more job, cancelling each that is accepted."""
        with anyio.fail_after(FORECAST_SECONDS):
            for number in range(1000, 2000):
                id = f'{number:016x}'
                response = await self.running.call('entry-2', 'POST', id, BODY)
                if response.status_code != 200:
                    return id, response
                await self.running.call('entry-2', 'DELETE', id)
                await anyio.sleep(0.5)

    async def count_starts(self, id):
        starts = await self.running.list_starts()
        return sum(start['task'].startswith(id) for start in starts)

    async def test_a_rejected_job_runs_once_its_caller_returns(self):
        """Guards against callers that wait in vain, and untrue rejections."""
        async with self.deploy() as running:
            await self.overload(running)
            id, response = await self.submit_until_rejected()
            self.assertEqual(OVERLOADED, response.status_code)
            self.assertGreater(int(response.headers['retry-after']), 1)
            event = await self.other.wait_event('job-rejected', job=id)
            self.assertGreater(float(event['end_seconds']), 51.0)
            response = await running.call('entry-1', 'GET', id)
            self.assertEqual(410, response.status_code)
            response = await running.call('entry-2', 'POST', CROWD[-1], BODY)
            self.assertEqual(200, response.status_code)
            for other in CROWD:
                await running.call('entry-2', 'DELETE', other)
            await self.leader.wait_event('service-relieved')
            self.assertEqual(0, await self.count_starts(id))
            status = await running.submit('entry-1', id, BODY)
            self.assertEqual(200, status)
            await running.wait_state('entry-1', id, 'complete')
            self.assertEqual(16, await self.count_starts(id))

    async def test_a_new_leader_rejects_nothing_unmeasured(self):
        """Guards against rejections by the figures of a leader that died."""
        async with self.deploy() as running:
            await self.overload(running)
            id, _ = await self.submit_until_rejected()
            await self.leader.stop(signal.SIGKILL)
            await self.other.wait_event('loaded')
            status = await running.submit('entry-2', id, BODY)
            self.assertEqual(200, status)
            self.assertEqual([], self.find_rejections_after_takeover())

    def find_rejections_after_takeover(self):
        loaded = self.other.find('loaded')[-1]
        return [
            event
            for event in self.other.find('job-rejected')
            if event['time'] > loaded['time']
        ]
