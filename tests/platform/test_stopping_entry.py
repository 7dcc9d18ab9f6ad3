import signal

import anyio
import httpx
import pytest

from standins import platform_deployment as deployed
from tests import base

ID = '00000000000000aa'


@pytest.mark.processes
class StoppingEntryTest(base.TestCase):
    """Answers to callers from an entry that is stopping."""

    async def test_a_stopping_entry_answers_each_call(self):
        """A read gets 500, an empty body and no retry time.

        It arrived while the entry was stopping, and waited for a silent
        store for longer than the entry had left to run.
        """
        async with deployed.PlatformDeployment(
            self.make_directory()
        ) as running:
            process = await running.start_entry('entry-1')
            statuses = []

            async def read(delay):
                await anyio.sleep(delay)
                try:
                    answer = await running.call('entry-1', 'GET', ID)
                except httpx.TransportError:
                    # No connection is accepted any more.
                    return
                statuses.append(answer.status_code)

            process.send_signal(signal.SIGTERM)
            async with anyio.create_task_group() as group:
                for number in range(20):
                    group.start_soon(read, 1.9 + 0.02 * number)
                await anyio.sleep(1.8)
                await running.set_faults(running.store, down='silent')
            self.assertEqual({503}, set(statuses))
