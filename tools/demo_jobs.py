"""The part of the demo that runs multi-step jobs."""

import collections
import pathlib
import typing as t

import anyio

from standins import platform_deployment

_BUILD_JOBS = 6
_QUEUE = 'builds'
_JOB_TIMEOUT_SECONDS = 30.0
_FINAL_PHASES = ('complete', 'failed', 'cancelled')
_BUILD = {
    # Run time of each task on the stand-in, in milliseconds.
    'payload': '80',
    'steps': [
        {'count': 3, 'size': {'millicores': 500}, 'estimate_ms': 80},
        {
            'count': 2,
            'size': {'millicores': 1000},
            'estimate_ms': 80,
            'after': [0],
        },
    ],
}
_WATCHER = {
    'payload': 'lasts',
    'steps': [{'count': 2, 'long_running': True}],
}


class JobsDemo:
    """Submits jobs through two entries and counts their outcomes.

    Attributes
    ----------
    phases : collections.Counter
        Number of jobs that ended in each phase.
    violations : collections.Counter
        Number of lost jobs and of tasks that ran twice.
    """

    def __init__(self, directory: pathlib.Path, program: list[str]) -> None:
        self.phases: collections.Counter[str] = collections.Counter()
        self.violations: collections.Counter[str] = collections.Counter()
        directory.mkdir()
        self._running = platform_deployment.PlatformDeployment(
            directory, program
        )

    async def run(self) -> None:
        """Start all processes, submit the jobs and wait until they end."""
        async with self._running as running:
            for name in ('entry-1', 'entry-2'):
                await running.start_entry(name)
            for name in ('side-1', 'side-2'):
                await running.start_instance(name)
            async with anyio.create_task_group() as group:
                for number in range(_BUILD_JOBS):
                    group.start_soon(self._run_build, f'build-{number}')
                group.start_soon(self._run_watcher, 'watcher-1')
            starts = await running.list_starts()
            overlaps = platform_deployment.find_overlaps(starts)
            self.violations['doubled'] += len(overlaps)

    def describe(self) -> str:
        """Return one line of counts."""
        counts = ' '.join(f'{p}={self.phases[p]}' for p in _FINAL_PHASES)
        return f'jobs: {counts} doubled={self.violations["doubled"]}'

    async def _run_build(self, id: str) -> None:
        await self._call('PUT', id, _BUILD)
        # A retry of the same job at the other entry must have no effect.
        await self._call('PUT', id, _BUILD, 'entry-2')
        await self._wait_end(id, 'complete')

    async def _run_watcher(self, id: str) -> None:
        await self._call('PUT', id, _WATCHER)
        await self._call('DELETE', id, entry='entry-2')
        await self._wait_end(id, 'cancelled')

    async def _wait_end(self, id: str, expected_phase: str) -> None:
        phase = ''
        with anyio.move_on_after(_JOB_TIMEOUT_SECONDS):
            while phase not in _FINAL_PHASES:
                await anyio.sleep(0.1)
                answer = await self._call('GET', id)
                phase = answer.json().get('phase', '')
        self.phases[phase] += 1
        self.violations['lost'] += phase != expected_phase

    async def _call(
        self,
        method: str,
        id: str,
        body: t.Any = None,
        entry: str = 'entry-1',
    ) -> t.Any:
        running = self._running
        url = f'http://{running.api_hosts[entry]}/v1/queues/{_QUEUE}/jobs/{id}'
        answer = await running.running.client.request(method, url, json=body)
        answer.raise_for_status()
        return answer
