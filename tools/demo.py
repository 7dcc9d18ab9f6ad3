"""End-to-end demo on one machine: ``make demo``.

Starts stand-ins, two entries and three sidecars as processes, sends
requests for all workloads through both entries, shuts everything down
gracefully, audits the evidence, and prints one line of counts. Then runs
multi-step jobs on stand-ins for the users' platform.
"""

import collections
import json
import pathlib
import shutil
import sys
import tempfile

import anyio

from standins import deployment
from tools import demo_jobs

QUICK_REQUESTS = 90
BUILDS = 8
WATCHERS = 3
_CATALOGUE = pathlib.Path(__file__).parent.parent / 'examples/catalogue.ini'
_QUICK = ('wire-cut-check', 'photo-tag')
_BATCH = ('routing-build', 'pedigree-match')
_WATCHERS = ('board-watcher', 'bid-watcher')
_INSTANCES = (
    ('tallowford-1', 'planning', 'piedmont-a'),
    ('tallowford-2', 'planning', 'piedmont-b'),
    ('phamgia-1', 'listings', 'delta-a'),
)


class Demo:
    """Sends requests and counts their outcomes."""

    def __init__(self, running: deployment.Deployment) -> None:
        self._running = running
        self.counts: collections.Counter[str] = collections.Counter()
        self._addresses: list[str] = []
        self._workers: list[str] = []
        self._backends: list[str] = []
        self._answered_requests: list[str] = []
        self._succeeded_tasks: list[str] = []

    async def start(self) -> None:
        """Start all processes and apply the catalogue."""
        running = self._running
        await running.start_store()
        controls = []
        for name, zone in (('entry-1', 'piedmont-a'), ('entry-2', 'delta-a')):
            entry = await running.start_entry(name, zone)
            listening = entry.find('listening')[0]
            self._addresses.append(listening['http'])
            controls.append(listening['control'])
        for name, service, zone in _INSTANCES:
            worker = await running.start_stand_in('worker', f'worker-{name}')
            backend = await running.start_stand_in(
                'backend', f'backend-{name}'
            )
            self._workers.append(worker)
            self._backends.append(backend)
            await running.start_sidecar(
                name, controls, worker, backend, service, zone
            )
        code, output = await running.apply_catalogue(
            _CATALOGUE.read_text(encoding='utf-8')
        )
        print(output.strip())
        if code:
            raise SystemExit('applying the example catalogue failed')
        for name in ('entry-1', 'entry-2'):
            entry = running.processes[name]
            await entry.wait_event('catalogue')
            await entry.wait_event('announced', count=len(_INSTANCES))
        await self._wait_partitions()

    async def _wait_partitions(self) -> None:
        with anyio.fail_after(deployment.START_SECONDS):
            while True:
                open_partitions = {
                    event['partition']
                    for name in ('entry-1', 'entry-2')
                    for event in self._running.processes[name].find(
                        'partition-opened'
                    )
                }
                if len(open_partitions) == 8:
                    return
                await anyio.sleep(0.1)

    async def send_all(self) -> None:
        """Send all workloads through both entries concurrently."""
        async with anyio.create_task_group() as group:
            for address in self._addresses:
                for workload in _QUICK:
                    group.start_soon(self._send_quick, address, workload)
                for workload in _BATCH:
                    group.start_soon(self._send_builds, address, workload)
                for workload in _WATCHERS:
                    group.start_soon(self._send_watchers, address, workload)

    async def _post(self, address, workload, body, **headers):
        return await self._running.client.post(
            f'http://{address}/v1/workloads/{workload}/requests',
            json=body,
            headers=headers,
        )

    async def _send_quick(self, address: str, workload: str) -> None:
        for number in range(QUICK_REQUESTS):
            body = {'number': f'{address}/{workload}/{number}'}
            answer = await self._post(address, workload, body)
            if answer.status_code != 200:
                self._count_refusal(answer)
            elif answer.json()['echo'] != body:
                self.counts['broken'] += 1
            else:
                self.counts['answered'] += 1
                self._answered_requests.append(answer.json()['request'])

    async def _send_builds(self, address: str, workload: str) -> None:
        async with anyio.create_task_group() as group:
            for _ in range(BUILDS):
                group.start_soon(self._run_build, address, workload)

    async def _run_build(self, address: str, workload: str) -> None:
        answer = await self._post(address, workload, {'seconds': 0.5})
        if answer.status_code != 202:
            self._count_refusal(answer)
            return
        task = answer.json()['task']
        final = await self._running.client.get(
            f'http://{address}/v1/tasks/{task}', params={'wait': 30}
        )
        phase = final.json().get('phase')
        if phase == 'succeeded' and json.loads(final.json()['answer'])['done']:
            self.counts['answered'] += 1
            self._succeeded_tasks.append(task)
        elif phase == 'unknown':
            self.counts['unknown'] += 1
        else:
            self.counts['lost'] += 1

    async def _send_watchers(self, address: str, workload: str) -> None:
        for _ in range(WATCHERS):
            answer = await self._post(address, workload, {})
            if answer.status_code != 202:
                self._count_refusal(answer)
                continue
            task = answer.json()['task']
            url = f'http://{address}/v1/tasks/{task}'
            await self._running.client.delete(url)
            final = await self._running.client.get(url, params={'wait': 30})
            cancelled = final.json().get('phase') == 'cancelled'
            self.counts['answered' if cancelled else 'lost'] += 1

    def _count_refusal(self, answer) -> None:
        unknown = answer.json().get('work') == 'unknown'
        self.counts['unknown' if unknown else 'refused'] += 1

    async def compare_records(self) -> None:
        """Compare the answers with the records of workers and backends."""
        run_counts: collections.Counter[str] = collections.Counter()
        for address in self._backends:
            for entry in await self._read_record(address):
                run_counts[entry['request']] += 1
        hedged = self._list_hedged()
        for request in self._answered_requests:
            self.counts['lost'] += run_counts[request] == 0
            # A hedge runs a slow idempotent request a second time.
            self.counts['doubled'] += run_counts[request] > 1 + (
                request in hedged
            )
        start_counts: collections.Counter[str] = collections.Counter()
        for address in self._workers:
            for entry in await self._read_record(address):
                start_counts[entry['task']] += entry['event'] == 'started'
        for task in self._succeeded_tasks:
            self.counts['lost'] += start_counts[task] == 0
            self.counts['doubled'] += start_counts[task] > 1

    def _list_hedged(self) -> set[str]:
        return {
            event['request']
            for name in ('entry-1', 'entry-2')
            for event in self._running.processes[name].find('hedge')
        }

    async def _read_record(self, address: str) -> list[dict]:
        answer = await self._running.client.get(f'http://{address}/record')
        return answer.json()

    async def stop(self) -> None:
        """Stop the entries and sidecars gracefully."""
        names = [name for name, _, _ in _INSTANCES] + ['entry-1', 'entry-2']
        for name in names:
            code = await self._running.processes[name].stop()
            if code:
                print(f'{name} exited with code {code}')
                self.counts['broken'] += 1

    def print_decisions(self, lines: int = 4) -> None:
        """Print some log lines of decisions."""
        for path in self._running.log_files:
            decision_lines = [
                line
                for line in path.read_text(encoding='utf-8').splitlines()
                if ' event=routing ' in line or ' event=placement ' in line
            ]
            for line in decision_lines[: lines // 2]:
                print(line)

    async def audit(self) -> str:
        """Run the ``audit`` command on the evidence."""
        files = [str(path) for path in self._running.system_log_files]
        code, output = await self._running.run_command(
            'audit', '--store', self._running.store, *files
        )
        *lines, verdict = output.strip().splitlines()
        print('\n'.join(lines))
        return verdict.partition('=')[2] if verdict[:6] == 'audit=' else output


async def main() -> int:
    """Run the demo and return the exit code."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix='persimmonsail-'))
    program = sys.argv[1:] or [sys.executable, '-m', 'persimmonsail']
    async with deployment.Deployment(directory, program) as running:
        demo = Demo(running)
        await demo.start()
        await demo.send_all()
        await demo.compare_records()
        await demo.stop()
        demo.print_decisions()
        verdict = await demo.audit()
    jobs = demo_jobs.JobsDemo(directory / 'jobs', program)
    await jobs.run()
    print(jobs.describe())
    demo.counts.update(jobs.violations)
    names = ('answered', 'refused', 'unknown', 'lost', 'doubled')
    counts = ' '.join(f'{name}={demo.counts[name]}' for name in names)
    print(f'{counts} audit={verdict}')
    violations = sum(demo.counts[n] for n in ('lost', 'doubled', 'broken'))
    if violations or verdict != 'ok':
        print(f'evidence is retained in {directory}', file=sys.stderr)
        return 1
    shutil.rmtree(directory)
    return 0


if __name__ == '__main__':
    sys.exit(anyio.run(main))
