"""A small deployment on the platform's wire, as processes on loopback."""

import contextlib
import json
import pathlib
import typing as t

import anyio
import httpx

from standins import deployment

HOST = 'jobs.test'
PREFIX = '/builds/'
CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': 'builds',
            'host': HOST,
            'prefix': PREFIX,
            'service': 'planner',
            'priority': 0,
            'maxAttempts': 3,
            'slackFactor': 2.0,
            'targetDurationMs': 1000,
        }
    ],
    'services': [{'name': 'planner'}],
    'limits': {'maxBodyBytes': 65536, 'idleTimeoutMs': 15000},
}


_AGAIN = (
    httpx.codes.SERVICE_UNAVAILABLE,
    httpx.codes.GATEWAY_TIMEOUT,
)
_AGAIN_SECONDS = 0.2


def make_body(*counts: int, payload: str = '50', **fields: t.Any) -> dict:
    """Return a submission with one phase after the other."""
    phases = []
    for i, count in enumerate(counts):
        phase = {'count': count, 'cpu': 500, 'memMb': 100, 'estimateMs': 50}
        if i:
            phase['after'] = [i - 1]
        phases.append({**phase, **fields})
    return {'spec': payload, 'phases': phases}


class Deployed:
    """Store, entries and instances; use inside ``async with``."""

    def __init__(
        self, directory: pathlib.Path, program: list[str] | None = None
    ) -> None:
        more = [program] if program else []
        self.running = deployment.Deployment(directory, *more)
        self.entries: dict[str, str] = {}
        # The same entries' addresses of the product's own interface.
        self.apis: dict[str, str] = {}
        self.runners: dict[str, str] = {}
        self.store = ''
        self.advisor = ''
        # How long leases last; the roles' own default if it is not set.
        self.lease_seconds: float | None = None

    async def __aenter__(self) -> 'Deployed':
        self._owned = contextlib.AsyncExitStack()
        await self._owned.enter_async_context(self.running)
        self.store = await self.running.start_stand_in(
            'platform_store', 'store'
        )
        await self.operate('op/config', CONFIGURATION)
        return self

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        return await self._owned.__aexit__(*exc_info)

    async def operate(self, key: str, value: t.Any) -> None:
        """Write a key as an operator does."""
        await self._post(f'{self.store}/operator', key=key, value=value)

    async def set_faults(
        self, address: str, **faults: t.Any
    ) -> dict[str, t.Any]:
        """Set the faults of a stand-in; return what it says of itself."""
        return await self._post(f'{address}/faults', **faults)

    async def start_advisor(self) -> None:
        """Start an advisor, and have the queue need it."""
        self.advisor = await self.running.start_stand_in('advisor', 'advisor')
        (route,) = CONFIGURATION['routes']
        advised = {
            **route,
            'advisor': {'decideMs': 5, 'periodMs': 1, 'validMs': 3000},
        }
        await self.operate(
            'op/config', {**CONFIGURATION, 'version': 2, 'routes': [advised]}
        )

    async def set_policy(self, **policy: t.Any) -> None:
        """Set which boots the advisor approves."""
        await self._post(f'{self.advisor}/policy', **policy)

    async def start_entry(
        self, name: str, store: str = ''
    ) -> deployment.Process:
        """Start an entry and wait until it serves."""
        sections = self._make_sections(
            name,
            readiness='127.0.0.1:0',
            api='127.0.0.1:0',
            metrics='127.0.0.1:0',
        )
        sections['store']['address'] = store or self.store
        if self.advisor:
            sections['jobs']['advisor'] = self.advisor
        process = await self.running.start_role('entry', name, sections)
        await process.wait_event('configuration')
        self.entries[name] = process.find('listening')[-1]['http']
        self.apis[name] = process.find('api-listening')[-1]['http']
        return process

    async def start_instance(self, name: str) -> deployment.Process:
        """Start a worker's agent and its sidecar."""
        runner = await self.running.start_stand_in('runner', f'runner-{name}')
        self.runners[name] = runner
        return await self.start_sidecar(name)

    async def start_sidecar(
        self, name: str, control: str = '127.0.0.1:0'
    ) -> deployment.Process:
        """Start a sidecar for a worker's agent that is there."""
        sections = self._make_sections(
            name,
            worker=self.runners[name],
            heartbeats='127.0.0.1:0',
        )
        sections['process']['control'] = control
        process = await self.running.start_role('sidecar', name, sections)
        heartbeats = process.find('listening')[-1]['http']
        await self._post(f'{self.runners[name]}/connect', address=heartbeats)
        return process

    async def call(
        self, entry: str, method: str, id: str = '', body: t.Any = None
    ):
        """Make one call as a caller does."""
        return await self.running.client.request(
            method,
            f'http://{self.entries[entry]}{PREFIX}{id}',
            content=None if body is None else json.dumps(body),
            headers={'Host': HOST, 'Deadline-Ms': '3000'},
        )

    async def submit(
        self, entry: str, id: str, body: t.Any, seconds: float = 20.0
    ) -> int:
        """Submit a job until the answer is final; return its status.

        A caller that is told that it was not accepted, or that this is not
        known, sends the same name again.
        """
        with anyio.fail_after(seconds):
            while True:
                answer = await self.call(entry, 'POST', id, body)
                if answer.status_code not in _AGAIN:
                    return answer.status_code
                await anyio.sleep(_AGAIN_SECONDS)

    async def read(
        self, entry: str, id: str, seconds: float = 20.0
    ) -> httpx.Response:
        """Ask for a job; again where the answer is to come back later."""
        with anyio.fail_after(seconds):
            while True:
                answer = await self.call(entry, 'GET', id)
                if answer.status_code != httpx.codes.SERVICE_UNAVAILABLE:
                    return answer
                await anyio.sleep(float(answer.headers['retry-after']))

    async def wait_state(
        self, entry: str, id: str, state: str, seconds: float = 20.0
    ) -> None:
        """Ask for a job's state until it is this one."""
        with anyio.fail_after(seconds):
            while True:
                answer = await self.call(entry, 'GET', id)
                if answer.json().get('state') == state:
                    return
                await anyio.sleep(0.05)

    async def list_starts(self) -> list[dict[str, t.Any]]:
        """Return every start that any worker's agent carried out."""
        starts = []
        for runner in self.runners.values():
            answer = await self.running.client.get(f'http://{runner}/starts')
            starts += answer.json()
        return sorted(starts, key=lambda start: start['began'])

    async def wait_starts(self, count: int, seconds: float = 20.0) -> None:
        """Wait until so many starts were carried out."""
        with anyio.fail_after(seconds):
            while len(await self.list_starts()) < count:  # noqa: ASYNC110
                await anyio.sleep(0.05)

    def find_leader(self) -> str:
        """Return the entry that leads, by its log."""
        leading = [
            (float(event['time']), process.name)
            for process in self.running.processes.values()
            for event in process.find('leading')
        ]
        return max(leading)[1]

    async def _post(self, url: str, **body: t.Any) -> dict[str, t.Any]:
        """Tell a stand-in something."""
        answer = await self.running.client.post(f'http://{url}', json=body)
        answer.raise_for_status()
        return answer.json()

    def _make_sections(self, name: str, **jobs: t.Any) -> dict:
        if self.lease_seconds is not None:
            jobs['lease'] = self.lease_seconds
        return {
            'process': {'name': name, 'region': 'r', 'zone': 'r-a'},
            'store': {
                'kind': 'platform',
                'address': self.store,
                'timeout': 0.5,
            },
            'jobs': jobs,
        }


def find_overlaps(
    starts: list[dict[str, t.Any]], kept: bool = False
) -> list[str]:
    """Return the tasks that ran twice at the same time, or after done.

    Parameters
    ----------
    starts : list of dict
        What ``Deployed.list_starts`` returned.
    kept : bool
        Whether only such ends as done count that the agent was told to
        forget; one that a crash took with it may be followed by a run.
    """
    found = []
    for i, first in enumerate(starts):
        for second in starts[i + 1 :]:
            if first['task'] != second['task']:
                continue
            open_ended = not first['ended']
            done = first['how'] == 'done'
            if kept and not first['acknowledged']:
                done = False
            if open_ended or second['began'] < first['ended'] or done:
                found.append(first['task'])
    return found
