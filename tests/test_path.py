import pathlib

import pytest

from standins import deployment
from tests import base
from tests import oracle

CATALOGUE = pathlib.Path(__file__).parent.parent / 'examples/catalogue.ini'


@pytest.mark.processes
class EndToEndTest(base.TestCase):
    async def test_every_workload_class_end_to_end(self):
        async with deployment.Deployment(self.make_directory()) as running:
            await running.start_store()
            entry = await running.start_entry('entry-1')
            listening = entry.find('listening')[0]
            worker = await running.start_stand_in('worker', 'worker-1')
            backend = await running.start_stand_in('backend', 'backend-1')
            sidecar = await running.start_sidecar(
                'one', [listening['control']], worker, backend, 'planning'
            )
            text = CATALOGUE.read_text(encoding='utf-8')
            code, _ = await running.apply_catalogue(text)
            self.assertEqual(0, code)
            await entry.wait_event('catalogue', revision='1')
            await entry.wait_event('announced', instance='one')
            await entry.wait_event('partition-opened', count=8)
            base_url = f'http://{listening["http"]}/v1'

            answer = await running.client.post(
                f'{base_url}/workloads/wire-cut-check/requests',
                json={'cut': 7},
            )
            self.assertEqual(200, answer.status_code)
            self.assertEqual({'cut': 7}, answer.json()['echo'])

            answer = await running.client.post(
                f'{base_url}/workloads/routing-build/requests',
                json={'seconds': 0.1},
                headers={'idempotency-key': 'board-9'},
            )
            self.assertEqual(202, answer.status_code)
            task = answer.json()['task']
            final = await running.client.get(
                f'{base_url}/tasks/{task}', params={'wait': 20}
            )
            self.assertEqual('succeeded', final.json()['phase'])

            answer = await running.client.post(
                f'{base_url}/workloads/board-watcher/requests'
            )
            watcher = answer.json()['task']
            await entry.wait_event('placement', task=watcher)
            await running.client.delete(f'{base_url}/tasks/{watcher}')
            final = await running.client.get(
                f'{base_url}/tasks/{watcher}', params={'wait': 20}
            )
            self.assertEqual('cancelled', final.json()['phase'])

            self.assertEqual(0, await sidecar.stop())
            self.assertEqual(0, await entry.stop())
            await oracle.check_evidence(self, running, [worker], [backend])
