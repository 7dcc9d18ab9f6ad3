import pytest

from standins import deployment
from tests import base

NOBODY = '127.0.0.1:1'


@pytest.mark.processes
class EarlyStopTest(base.TestCase):
    async def test_a_sidecar_without_its_worker_stops_when_told_to(self):
        """A planned stop hangs until the platform kills the process.

        The worker is down, so the new sidecar tries again and again to
        take it over. The signal is caught, and nobody waits for it yet.
        """
        async with deployment.Deployment(self.make_directory()) as running:
            path = running.directory / 'one.ini'
            path.write_text(
                '[process]\nname = one\nregion = r\nzone = z\n'
                f'[sidecar]\nentries = {NOBODY}\nworker = {NOBODY}\n'
                f'service = planning\nbackend = {NOBODY}\n',
                encoding='utf-8',
            )
            sidecar = await running.start(
                'one', [*running._program, 'sidecar', str(path)]
            )
            await sidecar.wait_event('worker-unavailable')
            self.assertEqual(0, await sidecar.stop())
            await sidecar.wait_event('stopped')

    async def test_an_entry_without_its_store_stops_when_told_to(self):
        async with deployment.Deployment(self.make_directory()) as running:
            entry = await running.start_entry('entry-1', store=NOBODY)
            await entry.wait_event('store-unavailable')
            self.assertEqual(0, await entry.stop())
            await entry.wait_event('stopped')
