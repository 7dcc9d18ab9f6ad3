import signal

import anyio
import pytest

from standins import platform_deployment as deployed
from tests import base

ID = '00000000000000aa'
LEASE_SECONDS = 1.0
# Renewals and the messages they depend on each occur eight times per lease.
TOLERATED_SECONDS = LEASE_SECONDS / 2
# A read is attempted for three quarters of the 3 s that its caller waits;
# the store is called again every 0.3 s.
SILENCE_SECONDS = 1.6


@pytest.mark.processes
class StandstillsTest(base.TestCase):
    """Effects of a process that is briefly suspended."""

    async def suspend_repeatedly(self, process):
        for _ in range(4):
            process.send_signal(signal.SIGSTOP)
            await anyio.sleep(TOLERATED_SECONDS)
            process.send_signal(signal.SIGCONT)
            await anyio.sleep(LEASE_SECONDS)

    async def check_starts(self, name):
        async with deployed.PlatformDeployment(
            self.make_directory()
        ) as running:
            running.lease_seconds = LEASE_SECONDS
            await running.start_entry('entry-1')
            await running.start_instance('side-1')
            body = deployed.make_body(3, payload='7000')
            await running.submit('entry-1', ID, body)
            await running.wait_starts(3)
            await self.suspend_repeatedly(running.running.processes[name])
            await running.wait_state('entry-1', ID, 'complete')
            self.assertEqual(3, len(await running.list_starts()))

    async def test_an_entry_may_stand_still_for_half_of_a_lease(self):
        await self.check_starts('entry-1')

    async def test_a_sidecar_may_stand_still_for_half_of_a_lease(self):
        await self.check_starts('side-1')

    async def test_a_read_outlasts_a_silence_of_half_its_callers_time(self):
        async with deployed.PlatformDeployment(
            self.make_directory()
        ) as running:
            await running.start_entry('entry-1')
            await running.set_faults(running.store, down='silent')
            async with anyio.create_task_group() as group:
                group.start_soon(self.check_read, running)
                await anyio.sleep(SILENCE_SECONDS)
                await running.set_faults(running.store)

    async def check_read(self, running):
        answer = await running.call('entry-1', 'GET', ID)
        self.assertEqual(410, answer.status_code)
