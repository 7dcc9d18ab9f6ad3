"""A deployment with the platform's protocol, as processes on loopback."""

import contextlib
import json
import pathlib
import sys
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


_RETRIED_STATUSES = (
    httpx.codes.SERVICE_UNAVAILABLE,
    httpx.codes.GATEWAY_TIMEOUT,
)
_RETRY_SECONDS = 0.2
# Time from an agent's restart until its sidecar has noticed it: a heartbeat,
# and calls that fail on connections of the start before.
_NOTICE_SECONDS = 1.0
_ZONE = 'r-a'
_DEPLOY_SCRIPT = 'deploy/persimmonsail.py'


def make_body(*counts: int, payload: str = '50', **fields: t.Any) -> dict:
    """Return a submission whose phases run one after the other."""
    phases = []
    for i, count in enumerate(counts):
        phase = {'count': count, 'cpu': 500, 'memMb': 100, 'estimateMs': 50}
        if i:
            phase['after'] = [i - 1]
        phases.append({**phase, **fields})
    return {'spec': payload, 'phases': phases}


class PlatformDeployment:
    """A store, entries and instances; use with ``async with``."""

    def __init__(
        self, directory: pathlib.Path, program: list[str] | None = None
    ) -> None:
        arguments = [program] if program else []
        self.running = deployment.Deployment(directory, *arguments)
        self.entries: dict[str, str] = {}
        # Addresses of the product's own API on the same entries.
        self.api_hosts: dict[str, str] = {}
        self.runners: dict[str, str] = {}
        self.store = ''
        self.advisor = ''
        # Duration of leases; None leaves the default of each role.
        self.lease_seconds: float | None = None
        # Which jobs entries accept; None leaves the default.
        self.admission: str | None = None

    async def __aenter__(self) -> 'PlatformDeployment':
        self._exit_stack = contextlib.AsyncExitStack()
        await self._exit_stack.enter_async_context(self.running)
        self.store = await self.running.start_stand_in(
            'platform_store', 'store'
        )
        await self.write_as_operator('op/config', CONFIGURATION)
        return self

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        return await self._exit_stack.__aexit__(*exc_info)

    async def write_as_operator(self, key: str, value: t.Any) -> None:
        """Write a key as an operator would."""
        await self._post(f'{self.store}/operator', key=key, value=value)

    async def evacuate(self, zone: str) -> None:
        """Request that a zone gets no new runs."""
        await self.write_as_operator(f'op/evacuate/{zone}', {})

    async def reopen(self, zone: str) -> None:
        """Withdraw the evacuation of a zone."""
        await self.write_as_operator(f'op/evacuate/{zone}', None)

    async def set_faults(
        self, address: str, **faults: t.Any
    ) -> dict[str, t.Any]:
        """Set the faults of a stand-in; return its response."""
        return await self._post(f'{address}/faults', **faults)

    async def start_advisor(self) -> None:
        """Start an advisor and configure the queue to require it."""
        self.advisor = await self.running.start_stand_in('advisor', 'advisor')
        (route,) = CONFIGURATION['routes']
        route_with_advisor = {
            **route,
            'advisor': {'decideMs': 5, 'periodMs': 1, 'validMs': 3000},
        }
        await self.write_as_operator(
            'op/config',
            {**CONFIGURATION, 'version': 2, 'routes': [route_with_advisor]},
        )

    async def set_policy(self, **policy: t.Any) -> None:
        """Set the policy of the advisor."""
        await self._post(f'{self.advisor}/policy', **policy)

    async def start_entry(
        self, name: str, store: str = ''
    ) -> deployment.Process:
        """Start an entry and wait until it has a configuration."""
        sections = self._make_sections(
            name,
            readiness='127.0.0.1:0',
            api='127.0.0.1:0',
            metrics='127.0.0.1:0',
        )
        if self.admission is not None:
            sections['jobs']['admission'] = self.admission
        sections['store']['address'] = store or self.store
        if self.advisor:
            sections['jobs']['advisor'] = self.advisor
        process = await self.running.start_role('entry', name, sections)
        await process.wait_event('configuration')
        self.entries[name] = process.find('listening')[-1]['http']
        self.api_hosts[name] = process.find('api-listening')[-1]['http']
        return process

    async def start_deployed(self, role: str) -> deployment.Process:
        """Start a role by the deploy file's script; return at once."""
        sections = self._make_sections(role, readiness='127.0.0.1:0')
        if role == 'sidecar':
            runner = await self.running.start_stand_in('runner', 'runner')
            sections = self._make_sections(
                role, worker=runner, heartbeats='127.0.0.1:0'
            )
        path = self.running.write_settings(role, sections)
        script = pathlib.Path(__file__).parent.parent / _DEPLOY_SCRIPT
        return await self.running.start(
            role,
            [sys.executable, str(script), role],
            {'PERSIMMONSAIL_BOOT': str(path)},
        )

    async def start_instance(
        self, name: str, zone: str = _ZONE
    ) -> deployment.Process:
        """Start a worker's agent and its sidecar."""
        runner = await self.running.start_stand_in('runner', f'runner-{name}')
        self.runners[name] = runner
        return await self.start_sidecar(name, zone=zone)

    async def start_sidecar(
        self, name: str, control: str = '127.0.0.1:0', zone: str = _ZONE
    ) -> deployment.Process:
        """Start a sidecar for a running worker's agent."""
        sections = self._make_sections(
            name,
            worker=self.runners[name],
            heartbeats='127.0.0.1:0',
        )
        sections['process'].update(control=control, zone=zone)
        process = await self.running.start_role('sidecar', name, sections)
        heartbeats = process.find('listening')[-1]['http']
        await self._post(f'{self.runners[name]}/connect', address=heartbeats)
        return process

    async def call(
        self, entry: str, method: str, id: str = '', body: t.Any = None
    ):
        """Send one request as a caller would."""
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

        As callers do, submits the same id again if the job was not accepted
        or the outcome is unknown.
        """
        with anyio.fail_after(seconds):
            while True:
                response = await self.call(entry, 'POST', id, body)
                if response.status_code not in _RETRIED_STATUSES:
                    return response.status_code
                await anyio.sleep(_RETRY_SECONDS)

    async def read(
        self, entry: str, id: str, seconds: float = 20.0
    ) -> httpx.Response:
        """Read a job; after a 503, retry as ``Retry-After`` says."""
        with anyio.fail_after(seconds):
            while True:
                response = await self.call(entry, 'GET', id)
                if response.status_code != httpx.codes.SERVICE_UNAVAILABLE:
                    return response
                await anyio.sleep(float(response.headers['retry-after']))

    async def wait_state(
        self, entry: str, id: str, state: str, seconds: float = 20.0
    ) -> None:
        """Poll a job until it is in this state."""
        with anyio.fail_after(seconds):
            while True:
                response = await self.call(entry, 'GET', id)
                if response.json().get('state') == state:
                    return
                await anyio.sleep(0.05)

    async def list_starts(self) -> list[dict[str, t.Any]]:
        """Return every start that any worker's agent executed."""
        starts = []
        for name in self.runners:
            starts += await self.list_instance_starts(name)
        return sorted(starts, key=lambda start: start['began'])

    async def list_instance_starts(self, name: str) -> list[dict[str, t.Any]]:
        """Return every start that one instance's agent executed."""
        runner = self.runners[name]
        response = await self.running.client.get(f'http://{runner}/starts')
        return response.json()

    async def wait_starts(self, count: int, seconds: float = 20.0) -> None:
        """Wait until ``count`` starts were executed."""
        with anyio.fail_after(seconds):
            while len(await self.list_starts()) < count:  # noqa: ASYNC110
                await anyio.sleep(0.05)

    async def wait_lease(
        self, name: str, remaining: float, seconds: float = 20.0
    ) -> None:
        """Wait until an agent's lease lasts for ``remaining`` seconds more."""
        url = f'http://{self.runners[name]}/lease'
        with anyio.fail_after(seconds):
            while True:
                response = await self.running.client.get(url)
                if response.json()['remainingMs'] >= remaining * 1000:
                    return
                await anyio.sleep(0.05)

    def find_leader(self) -> str:
        """Return the entry that last logged that it leads."""
        leading = [
            (float(event['time']), process.name)
            for process in self.running.processes.values()
            for event in process.find('leading')
        ]
        return max(leading)[1]

    async def _post(self, url: str, **body: t.Any) -> dict[str, t.Any]:
        """Post a request to a stand-in and return its response."""
        response = await self.running.client.post(f'http://{url}', json=body)
        response.raise_for_status()
        return response.json()

    def _make_sections(self, name: str, **jobs: t.Any) -> dict:
        if self.lease_seconds is not None:
            jobs['lease'] = self.lease_seconds
        return {
            'process': {'name': name, 'region': 'r', 'zone': _ZONE},
            'store': {
                'kind': 'platform',
                'address': self.store,
                'timeout': 0.5,
            },
            'jobs': jobs,
        }


def is_unpreventable(start: dict[str, t.Any]) -> bool:
    """Return whether nobody could keep a run from starting.

    Its start was sent to an earlier start of the agent, got no answer, and
    was executed by the present one before its sidecar could know of that.
    """
    age = start['began'] - start['born'] / 1000
    return start['meant_for'] != start['born'] and age < _NOTICE_SECONDS


def find_overlaps(
    starts: list[dict[str, t.Any]], acknowledged_only: bool = False
) -> list[str]:
    """Return the tasks that ran twice concurrently, or again after done.

    Parameters
    ----------
    starts : list of dict
        What ``Deployed.list_starts`` returned.
    acknowledged_only : bool
        Whether a task is done only once its end was acknowledged to the
        agent; an end that is lost in a crash may be followed by a run.
    """
    overlaps = []
    for i, first in enumerate(starts):
        for second in starts[i + 1 :]:
            if first['task'] != second['task']:
                continue
            is_running = not first['ended']
            done = first['how'] == 'done'
            if acknowledged_only and not first['acknowledged']:
                done = False
            if is_running or second['began'] < first['ended'] or done:
                overlaps.append(first['task'])
    return overlaps
