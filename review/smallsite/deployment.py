"""Starts entries and sidecars as processes, beside stand-ins."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing as t

from smallsite import advisor as advisor_module
from smallsite import runner as runner_module
from smallsite import store as store_module
from smallsite import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'builds.example'
PREFIX = '/builds/'
SERVICE = 'planner'
_READY_SECONDS = 30.0
_POLL_SECONDS = 0.1
_LINGER_SECONDS = 5.0
_DEADLINE_MS = 3000
_ROUTE = {
    'name': 'builds',
    'host': HOST,
    'prefix': PREFIX,
    'service': SERVICE,
    'priority': 0,
    'maxAttempts': 3,
    'slackFactor': 2.0,
    'targetDurationMs': 1000,
}


class NotRun(Exception):
    """The case could not be run as it is written."""


@dataclasses.dataclass
class Process:
    """One of the system's processes."""

    name: str
    role: str
    settings: pathlib.Path
    log: pathlib.Path
    handle: subprocess.Popen | None = None


class Deployment:
    """A small deployment; use with ``async with``.

    Parameters
    ----------
    folder : pathlib.Path
        The case's folder, which gets ``record.txt``.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.store = store_module.Store()
        self.runners: dict[str, runner_module.Runner] = {}
        self.fronts: dict[str, str] = {}
        self.processes: dict[str, Process] = {}
        self._record = (folder / 'record.txt').open('w', encoding='utf-8')
        self._began_at = time.monotonic()
        self._background: set[asyncio.Task] = set()
        self._store_address = ''
        self._advisor: advisor_module.Advisor | None = None
        self._advisor_address = ''

    async def __aenter__(self) -> 'Deployment':
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        port = _find_port('127.0.0.1')
        await self.store.server.open('127.0.0.1', port)
        self._store_address = f'127.0.0.1:{port}'
        self.spawn(self.store.run())
        self.write_config(1)
        return self

    async def __aexit__(self, *exc_info: t.Any) -> None:
        for process in self.processes.values():
            self.signal(process.name, signal.SIGKILL)
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        for one in self.runners.values():
            await one.crash()
        await self.store.server.close()
        if self._advisor is not None:
            await self._advisor.server.close()
        self._record.close()
        shutil.rmtree(self._directory, ignore_errors=True)

    def note(self, event: str, **fields: t.Any) -> None:
        """Write a line of the record."""
        seconds = time.monotonic() - self._began_at
        text = ' '.join(f'{k}={json.dumps(v)}' for k, v in fields.items())
        self._record.write(f'{seconds:8.3f} {event} {text}\n')
        self._record.flush()

    def spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> None:
        """Run something in the background until the deployment ends."""
        task = asyncio.create_task(work)
        self._background.add(task)

    async def start_advisor(self, valid_ms: int) -> None:
        """Start an advisor, and let the queue's policy require it."""
        one = advisor_module.Advisor(50, 5, valid_ms, self.note)
        port = _find_port('127.0.0.1')
        await one.server.open('127.0.0.1', port)
        self._advisor = one
        self._advisor_address = f'127.0.0.1:{port}'
        self.write_config(2)

    def add_route(self, version: int, name: str, prefix: str) -> None:
        """Write a version of the operator's config with one more route."""
        self.write_config(version, {**_ROUTE, 'name': name, 'prefix': prefix})

    def write_config(self, version: int, *routes: t.Any) -> None:
        """Write a version of the operator's config."""
        route: dict[str, t.Any] = dict(_ROUTE)
        if self._advisor is not None:
            route['advisor'] = self._advisor.policy
        self.store.write(
            'op/config',
            {
                'version': version,
                'routes': [route, *routes],
                'services': [{'name': SERVICE}],
                'limits': {'maxBodyBytes': 262144, 'idleTimeoutMs': 15000},
            },
        )

    async def start_entry(self, name: str) -> None:
        """Start an entry and wait until it is ready."""
        host = _choose_host(len(self.processes))
        front, ready, control = (
            f'{host}:{port}' for port in _find_ports(host, 3)
        )
        text = (
            f'[process]\nname = {name}\nregion = piedmont\nzone = hall-a\n'
            f'control = {control}\nhttp = {front}\n\n'
            f'[store]\nkind = platform\naddress = {self._store_address}\n'
            'timeout = 0.8\n\n'
            f'[jobs]\nreadiness = {ready}\nadmission = forecast\n'
            'processors = 2\nprocessor-share = 0.537\n'
        )
        if self._advisor_address:
            text += f'advisor = {self._advisor_address}\n'
        self.fronts[name] = front
        self._add_process(name, 'entry', text)
        self.launch(name)
        async with self._limit('entry not ready'):
            while True:
                answer = await wire.call(ready, 'GET', '/v1/readyz')
                if answer is not None and answer.status == 200:
                    return
                await asyncio.sleep(_POLL_SECONDS)

    async def start_side(
        self,
        name: str,
        capacity: runner_module.Size,
        labels: t.Sequence[str] = ('a', 'r1-1'),
    ) -> runner_module.Runner:
        """Start a sidecar, and a runner that checks in there."""
        one = self.add_side(name, capacity, labels)
        await one.start()
        async with self._limit('sidecar not ready'):
            while await one.beat() is None:  # noqa: ASYNC110
                await asyncio.sleep(_POLL_SECONDS)
        self.spawn(one.run())
        return one

    def add_side(
        self,
        name: str,
        capacity: runner_module.Size,
        labels: t.Sequence[str] = ('a', 'r1-1'),
    ) -> runner_module.Runner:
        """Launch a sidecar; return its runner, which is not started."""
        host = _choose_host(len(self.processes))
        worker, beats, control = (
            f'{host}:{port}' for port in _find_ports(host, 3)
        )
        text = (
            f'[process]\nname = {name}\nregion = piedmont\nzone = hall-a\n'
            f'control = {control}\n\n'
            f'[store]\nkind = platform\naddress = {self._store_address}\n'
            'timeout = 0.8\n\n'
            f'[jobs]\nworker = {worker}\nheartbeats = {beats}\n'
        )
        self._add_process(name, 'sidecar', text)
        self.launch(name)
        one = runner_module.Runner(
            name, worker, beats, capacity, labels, self.note
        )
        self.runners[name] = one
        return one

    def has_ended(self, name: str) -> bool:
        """Return whether a process has ended and is not started again."""
        handle = self.processes[name].handle
        return handle is not None and handle.poll() is not None

    def launch(self, name: str) -> None:
        """Start a process with the command of the deploy file."""
        process = self.processes[name]
        variables = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        variables.update(
            PERSIMMONSAIL_BOOT=str(process.settings),
            PYTHONPATH=str(ROOT / 'target' / 'deps'),
            OPENBLAS_NUM_THREADS='1',
        )
        with process.log.open('ab') as log:
            process.handle = subprocess.Popen(
                [sys.executable, 'deploy/persimmonsail.py', process.role],
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.note('launched', process=name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this script started."""
        handle = self.processes[name].handle
        if handle is None or handle.poll() is not None:
            return
        handle.send_signal(number)
        self.note('signalled', process=name, signal=number.name)
        if number == signal.SIGKILL:
            handle.wait(_LINGER_SECONDS)

    def read_log(self, name: str) -> str:
        """Return what a process has written."""
        return self.processes[name].log.read_text(errors='replace')

    def find_leader(self) -> str:
        """Return the entry that was elected last."""
        found: tuple[float, str] = (0.0, '')
        for name, process in self.processes.items():
            for line in self.read_log(name).splitlines():
                if process.role == 'entry' and ' event=leading ' in line:
                    at = float(line.split()[0].partition('=')[2])
                    found = max(found, (at, name))
        if not found[1]:
            raise NotRun('no leader')
        return found[1]

    async def call(
        self, entry: str, method: str, id: str = '', body: t.Any = None
    ) -> wire.Answer | None:
        """Send a caller's request; write it and its answer down."""
        answer = await wire.call(
            self.fronts[entry],
            method,
            PREFIX + id,
            body,
            {'Host': HOST, 'Deadline-Ms': str(_DEADLINE_MS)},
            _DEADLINE_MS / 1000,
        )
        self.note(
            'call',
            entry=entry,
            method=method,
            id=id,
            status=answer.status if answer else 0,
            answer=answer.body if answer else None,
        )
        return answer

    async def submit(self, entry: str, id: str, body: t.Any) -> None:
        """Hand a job in, with the same id until it is accepted."""
        async with self._limit('job not accepted'):
            while True:
                answer = await self.call(entry, 'POST', id, body)
                if answer is not None and answer.status == 200:
                    return
                await asyncio.sleep(_POLL_SECONDS)

    async def wait_running(self, job: str, count: int) -> None:
        """Wait until so many tasks of a job run."""
        async with self._limit(f'{job} does not run'):
            while len(self.list_running(job)) < count:  # noqa: ASYNC110
                await asyncio.sleep(_POLL_SECONDS)

    def list_runs(self, job: str) -> list[runner_module.Run]:
        """Return all runs of a job's tasks, the earliest first."""
        found = [
            run
            for one in self.runners.values()
            for run in one.runs
            if run.task.startswith(f'{job}.')
        ]
        return sorted(found, key=lambda run: run.began)

    def list_running(self, job: str) -> list[runner_module.Run]:
        """Return the runs of a job that have not ended."""
        return [run for run in self.list_runs(job) if not run.ended]

    def _add_process(self, name: str, role: str, text: str) -> None:
        settings = self._directory / f'{name}.ini'
        settings.write_text(text, encoding='utf-8')
        log = self._directory / f'{name}.log'
        self.processes[name] = Process(name, role, settings, log)

    @contextlib.asynccontextmanager
    async def _limit(self, text: str) -> t.AsyncIterator[None]:
        try:
            async with asyncio.timeout(_READY_SECONDS):
                yield
        except TimeoutError as error:
            raise NotRun(text) from error


def run_case(
    folder: pathlib.Path,
    play: t.Callable[[Deployment, bool], t.Awaitable[bool]],
) -> int:
    """Play a case; return 1 if the rule was broken, 0 if not, else 2.

    Parameters
    ----------
    folder : pathlib.Path
        The case's folder.
    play : callable
        Plays it with or without the disruption; returns whether the rule
        held.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> int:
        async with Deployment(folder) as deployment:
            try:
                held = await play(deployment, trouble)
            except NotRun as error:
                deployment.note('not-run', error=str(error))
                print(f'not run: {error}')
                for name in deployment.processes:
                    print(deployment.read_log(name)[-1000:])
                return 2
            verdict = 'held' if held else 'broken'
            deployment.note('verdict', rule=verdict, trouble=trouble)
            print(f'rule {verdict}')
            return 0 if held else 1

    return asyncio.run(run())


def _choose_host(number: int) -> str:
    return f'127.0.{1 + number // 200}.{1 + number % 200}'


def _find_ports(host: str, count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind((host, 0))
        return [one.getsockname()[1] for one in sockets]


def _find_port(host: str) -> int:
    return _find_ports(host, 1)[0]
