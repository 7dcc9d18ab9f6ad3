import anyio
import pytest

from standins import deployment
from tests import base

CATALOGUE = """
[team harness]
objective = tail-latency
cores = 400
memory-gb = 1600

[workload check]
owner = harness
class = latency-critical
service = planning
idempotent = yes
cores = 0.5
memory-gb = 0.5

[workload build]
owner = harness
class = batch
cores = 40
memory-gb = 10
"""


@pytest.mark.processes
class ColocationTest(base.TestCase):
    async def test_noisy_task_is_throttled_by_late_reports(self):
        """A build quadruples the latency of checks on its instance.

        The worker's usage reports arrive half a second late. The sidecar
        joins them with its requests' service times, attributes the
        slowdown to the build, and throttles only the build.
        """
        async with deployment.Deployment(self.make_directory()) as running:
            await running.start_store()
            entry = await running.start_entry('entry-1')
            listening = entry.find('listening')[0]
            worker = await running.start_stand_in('worker', 'worker-1')
            await running.set_faults(worker, usage_lag=0.5)
            backend = await running.start_stand_in('backend', 'backend-1')
            sidecar = await running.start_sidecar(
                'one',
                [listening['control']],
                worker,
                backend,
                'planning',
                sidecar={'usage-interval': 0.2},
            )
            await running.apply_catalogue(CATALOGUE)
            await entry.wait_event('catalogue', revision='1')
            await entry.wait_event('announced', instance='one')
            await entry.wait_event('partition-opened', count=8)
            base_url = f'http://{listening["http"]}/v1/workloads'
            check_seconds = 0.02

            async def send_checks() -> None:
                while True:
                    await running.client.post(
                        f'{base_url}/check/requests',
                        json={'seconds': check_seconds},
                    )

            async with anyio.create_task_group() as group:
                for _ in range(4):
                    group.start_soon(send_checks)
                await running.processes['one'].wait_event('outcome', 200)
                await running.client.post(
                    f'{base_url}/build/requests', json={}
                )
                check_seconds = 0.08
                placement = await entry.wait_event('placement-choice')
                throttled = await sidecar.wait_event('throttle')
                group.cancel_scope.cancel()
            self.assertEqual('one', placement['chosen'])
            self.assertIn('interference:', placement['terms'])
            self.assertEqual(placement['task'], throttled['task'])
            self.assertEqual('check', throttled['victim'])
            self.assertIn('build:', throttled['terms'])
            speed = float(throttled['speed'])
            self.assertTrue(0.5 <= speed < 1.0, speed)
            applied = await running.processes['worker-1'].wait_event(
                'worker-throttled', task=placement['task']
            )
            self.assertAlmostEqual(speed, float(applied['reason']), places=4)
