import pytest

from standins import deployment
from tests import base

UNUSED_ADDRESS = '127.0.0.1:1'


@pytest.mark.processes
class EarlyStopTest(base.TestCase):
    async def test_a_sidecar_without_its_worker_stops_on_a_signal(self):
        """A planned stop hangs until the platform kills the process.

        The worker is down, so the new sidecar keeps retrying to take it
        over. The signal is caught, but nothing waits for it yet.
        """
        async with deployment.Deployment(self.make_directory()) as cluster:
            path = cluster.directory / 'one.ini'
            path.write_text(
                '[process]\nname = one\nregion = r\nzone = z\n'
                f'[sidecar]\nentries = {UNUSED_ADDRESS}\n'
                f'worker = {UNUSED_ADDRESS}\n'
                f'service = planning\nbackend = {UNUSED_ADDRESS}\n',
                encoding='utf-8',
            )
            sidecar = await cluster.start(
                'one', [*cluster._program, 'sidecar', str(path)]
            )
            await sidecar.wait_event('worker-unavailable')
            self.assertEqual(0, await sidecar.stop())
            await sidecar.wait_event('stopped')

    async def test_an_entry_without_its_store_stops_on_a_signal(self):
        async with deployment.Deployment(self.make_directory()) as cluster:
            entry = await cluster.start_entry('entry-1', store=UNUSED_ADDRESS)
            await entry.wait_event('store-unavailable')
            self.assertEqual(0, await entry.stop())
            await entry.wait_event('stopped')
