import pytest

from standins import deployment
from tests import base

CATALOGUE = """\
[team builders]
objective = throughput
cores = 400
memory-gb = 1600

[team narrow]
objective = throughput
cores = 8
memory-gb = 16
max-pending = 3

[workload build]
owner = builders
class = batch
idempotent = yes
max-attempts = 5
cores = 4
memory-gb = 8

[workload huge]
owner = builders
class = batch
cores = 100
memory-gb = 8

[workload slow]
owner = narrow
class = batch
cores = 8
memory-gb = 16
"""
TASK_LEASE_SECONDS = 2.0


class LimitsCase(base.TestCase):
    async def start(
        self, running: deployment.Deployment, instances: int
    ) -> deployment.Process:
        await running.start_store()
        entry = await running.start_entry(
            'entry-1', entry={'task-lease': TASK_LEASE_SECONDS}
        )
        listening = entry.find('listening')[0]
        self.url = f'http://{listening["http"]}/v1'
        self.workers = []
        for number in range(instances):
            worker = await running.start_stand_in('worker', f'worker-{number}')
            self.workers.append(worker)
            backend = await running.start_stand_in(
                'backend', f'backend-{number}'
            )
            await running.start_sidecar(
                f'instance-{number}',
                [listening['control']],
                worker,
                backend,
                'planning',
            )
        code, output = await running.apply_catalogue(CATALOGUE)
        self.assertEqual(0, code, output)
        await entry.wait_event('catalogue', revision='1')
        await entry.wait_event('announced', count=instances)
        await entry.wait_event('partition-opened', count=8)
        return entry

    async def submit(self, running, workload: str, payload: dict):
        return await running.client.post(
            f'{self.url}/workloads/{workload}/requests', json=payload
        )

    async def wait_final(self, running, task: str) -> dict:
        answer = await running.client.get(
            f'{self.url}/tasks/{task}', params={'wait': 30}
        )
        return answer.json()


@pytest.mark.processes
class FailingWorkerTest(LimitsCase):
    async def test_failing_instance_gets_three_tasks_of_a_burst(self):
        """One failing instance receives every build of a burst.

        It fails each build immediately, so it always has the most free
        capacity; by free capacity alone it would get every next build.
        """
        async with deployment.Deployment(self.make_directory()) as running:
            entry = await self.start(running, 3)
            await running.set_faults(self.workers[1], broken=True)
            tasks = []
            for _ in range(30):
                answer = await self.submit(running, 'build', {'seconds': 0.2})
                self.assertEqual(202, answer.status_code)
                tasks.append(answer.json()['task'])
            await entry.wait_event('quarantine', instance='instance-1')
            for task in tasks:
                final = await self.wait_final(running, task)
                self.assertEqual('succeeded', final['phase'], final)
            record = await running.client.get(
                f'http://{self.workers[1]}/record'
            )
            started = [r for r in record.json() if r['event'] == 'started']
            canaries = entry.find(
                'placement', chosen='instance-1', canary='yes'
            )
            self.assertLessEqual(len(started) - len(canaries), 3)


@pytest.mark.processes
class IntakeTest(LimitsCase):
    async def test_full_queue_and_oversized_task_are_rejected(self):
        """A caller waits forever for a build that cannot start.

        Its team's queue is full, or no instance has the capacity, but
        the task is accepted and never starts.
        """
        async with deployment.Deployment(self.make_directory()) as running:
            entry = await self.start(running, 1)
            huge = await self.submit(running, 'huge', {})
            if huge.status_code == 202:
                task = huge.json()['task']
                final = await self.wait_final(running, task)
                self.assertEqual('failed', final['phase'])
                self.assertEqual('fits no known instance', final['reason'])
                self.assertEqual(0, final['attempt'])
            huge = await self.submit(running, 'huge', {})
            self.assertEqual(422, huge.status_code)
            self.assertEqual('not-run', huge.json()['work'])

            first = await self.submit(running, 'slow', {})
            placed_task = first.json()['task']
            await entry.wait_event('placement', task=placed_task)
            for _ in range(3):
                answer = await self.submit(running, 'slow', {})
                self.assertEqual(202, answer.status_code)
            refused = await self.submit(running, 'slow', {})
            self.assertEqual(429, refused.status_code)
            self.assertEqual('not-run', refused.json()['work'])
            self.assertGreater(refused.json()['retry_after_seconds'], 0)
            waiting = await entry.wait_event('waiting', reason='quota')
            self.assertNotEqual(placed_task, waiting['task'])
