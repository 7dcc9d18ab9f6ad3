"""Starts the project's roles as the deploy file does, on loopback."""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import signal
import socket
import tempfile
import time
import tomllib
import typing as t

from reviewkit import store as store_module
from reviewkit import web
from reviewkit import worker as worker_module

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = 'nony24.example'
PREFIX = '/lohu930/'
SERVICE = 'huvo11a'
QUEUE = 'q1'
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n', re.DOTALL)
_FIELD = re.compile(r'\{\{([\w.]+)\}\}')
_STOP_SECONDS = 4.0
_CALL_SECONDS = 3.0


class Unusable(Exception):
    """The case can't run here."""


class Record:
    """The record of what was sent, answered and run.

    Parameters
    ----------
    path : pathlib.Path
        The file that the lines go to.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._began = time.monotonic()

    def read_time(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f'{self.read_time():8.3f} {text}\n')

    def close(self) -> None:
        """Write the rest."""
        self._file.close()


class Machine:
    """One machine: its address, its ports, and the process of its role."""

    def __init__(self, role: str, name: str, ip: str) -> None:
        self.role = role
        self.name = name
        self.ip = ip
        self.ports = [_find_port(ip) for _ in range(4)]
        self.process: asyncio.subprocess.Process | None = None
        self.worker: worker_module.Worker | None = None

    @property
    def control(self) -> str:
        """Where other daemons reach it."""
        return f'{self.ip}:{self.ports[0]}'

    @property
    def front(self) -> str:
        """Where clients or its runner reach it."""
        return f'{self.ip}:{self.ports[1]}'


class Deployment:
    """A small deployment; use with ``async with``.

    Parameters
    ----------
    record : Record
        Gets a line for each event.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.note = record.note
        self.store = store_module.Store()
        self.entries: list[Machine] = []
        self.sidecars: list[Machine] = []
        self.workers: list[worker_module.Worker] = []
        self.gangs = worker_module.Gangs()
        self._net = f'127.{random.randrange(20, 250)}'
        self._hosts = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._directory = tempfile.TemporaryDirectory()
        self._logs: list[t.Any] = []
        self._roles = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
        )['roles']
        if not (ROOT / 'target/deps').is_dir():
            raise Unusable('target/deps is missing: run the build')

    async def __aenter__(self) -> 'Deployment':
        await self.store.start(self._pick_ip())
        self._spawn(self.store.run())
        return self

    async def __aexit__(self, *exc_info: t.Any) -> None:
        machines = [*self.entries, *self.sidecars]
        await asyncio.gather(*(self._end(one) for one in machines))
        for task in self._tasks:
            task.cancel()
        for worker in self.workers:
            worker.close()
        self.store.close()
        for file in self._logs:
            file.close()
        if os.environ.get('KEEP_LOGS'):
            _copy_logs(self._directory.name, os.environ['KEEP_LOGS'])
        self._directory.cleanup()

    def configure(self, routes: t.Sequence[dict[str, t.Any]] = ()) -> None:
        """Write the config as the operator."""
        route = {
            'name': QUEUE,
            'host': HOST,
            'prefix': PREFIX,
            'service': SERVICE,
            'priority': 0,
            'maxAttempts': 3,
            'slackFactor': 2.0,
            'targetDurationMs': 1000,
        }
        config = {
            'version': 3,
            'routes': [route, *routes],
            'services': [{'name': SERVICE, 'enforcesCapacity': False}],
            'limits': {'maxBodyBytes': 262144, 'idleTimeoutMs': 15000},
        }
        self.store.write_as_operator('op/config', config)

    async def add_entry(self) -> Machine:
        """Start an entry."""
        name = f'edge-{len(self.entries) + 1}'
        machine = Machine('entry', name, self._pick_ip())
        self.entries.append(machine)
        await self.start(machine)
        return machine

    async def add_instance(self, **options: t.Any) -> Machine:
        """Start a runner and its sidecar."""
        number = len(self.sidecars) + 1
        machine = Machine('sidecar', f'side-{number}', self._pick_ip())
        self.sidecars.append(machine)
        worker = worker_module.Worker(
            f'w{number}',
            SERVICE,
            self.note,
            self.record.read_time,
            gangs=self.gangs,
            **options,
        )
        machine.worker = worker
        await worker.start(machine.ip)
        worker.control = machine.front
        self.workers.append(worker)
        self._spawn(worker.run())
        await self.start(machine)
        return machine

    async def start(self, machine: Machine) -> None:
        """Start the process of a machine's role."""
        directory = pathlib.Path(self._directory.name)
        settings = directory / f'{machine.name}.ini'
        settings.write_text(self._fill(machine), encoding='utf-8')
        role = self._roles[machine.role]
        names = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in names if name in os.environ}
        env.update(role.get('env', {}))
        env['PERSIMMONSAIL_BOOT'] = str(settings)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        log = (directory / f'{machine.name}.log').open('ab')
        self._logs.append(log)
        machine.process = await asyncio.create_subprocess_exec(
            *role['run'].split(),
            cwd=ROOT,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.note(f'{machine.name} starts, process {machine.process.pid}')

    async def kill(self, machine: Machine) -> None:
        """Send SIGKILL to the process of a machine's role."""
        self.note(f'{machine.name} is killed')
        assert machine.process is not None
        machine.process.kill()
        await machine.process.wait()

    async def wait_ready(self, seconds: float = 30.0) -> None:
        """Wait until all entries are ready and all sidecars are known."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            known = self.store.list_keys('inbox/instance/')
            ready = [await self.is_ready(one) for one in self.entries]
            if all(ready) and len(known) >= len(self.sidecars):
                return
            await asyncio.sleep(0.2)
        raise Unusable('the deployment did not become ready')

    async def is_ready(self, machine: Machine) -> bool:
        """Ask an entry for its readiness, as the platform does."""
        address = f'{machine.ip}:{machine.ports[2]}'
        try:
            reply = await web.call(address, 'GET', '/v1/readyz', timeout=1)
        except web.Unanswered:
            return False
        return reply.status == 200

    async def call(
        self,
        machine: Machine,
        method: str,
        id: str = '',
        body: t.Any = None,
        prefix: str = PREFIX,
    ) -> web.Reply:
        """Send one call of a client, and record its answer."""
        headers = {'Host': HOST, 'Deadline-Ms': '3000'}
        path = prefix + id
        self.note(f'client sends {method} {path} to {machine.name}')
        try:
            reply = await web.call(
                machine.front, method, path, body, headers, _CALL_SECONDS
            )
        except web.Unanswered as error:
            self.note(f'client gets nothing for {method} {path}: {error}')
            return web.Reply(0)
        text = f'{reply.status} {reply.body}'
        self.note(f'client gets {text} for {method} {path}')
        return reply

    async def submit(
        self, id: str, body: t.Any, seconds: float = 20.0
    ) -> None:
        """Hand a job in until it is accepted."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            for machine in self.entries:
                reply = await self.call(machine, 'POST', id, body)
                if reply.status // 100 == 2:
                    return
            await asyncio.sleep(0.5)
        raise Unusable(f'job {id} was not accepted')

    async def wait_state(
        self, id: str, states: t.Collection[str], seconds: float
    ) -> str:
        """Ask for a job's state until it is one of these; return the last."""
        ends_at = time.monotonic() + seconds
        state = ''
        number = 0
        while time.monotonic() < ends_at:
            machine = self.entries[number % len(self.entries)]
            number += 1
            reply = await self.call(machine, 'GET', id)
            state = reply.body.get('state', state)
            if state in states:
                break
            await asyncio.sleep(0.5)
        return state

    @property
    def runs(self) -> list[worker_module.Run]:
        """All runs of all workers, in the order of their starts."""
        runs = [run for worker in self.workers for run in worker.runs]
        return sorted(runs, key=lambda run: run.began)

    def _pick_ip(self) -> str:
        self._hosts += 1
        return f'{self._net}.{self._hosts // 200}.{1 + self._hosts % 200}'

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    def _fill(self, machine: Machine) -> str:
        """Fill the template of a role's settings, as the platform does."""
        template = ROOT / self._roles[machine.role]['template']
        values = {
            'node': machine.name,
            'region': 'piedmont',
            'zone': 'z1',
            'ip': machine.ip,
            'portRange.0': str(machine.ports[0]),
            'listen.front': machine.front,
            'listen.control': machine.front,
            'listen.readiness': f'{machine.ip}:{machine.ports[2]}',
            'platform.address': self.store.address,
            'limits.cores': '2',
            'limits.cpuShare': '0.537',
        }
        if machine.worker is not None:
            values['app'] = machine.worker.address
        text = template.read_text(encoding='utf-8')
        text = text.replace(':9464', f':{machine.ports[3]}')

        def fill_section(found: re.Match[str]) -> str:
            name, body = found.groups()
            if name not in values:
                return ''
            return body.replace('{{.}}', values[name])

        text = _SECTION.sub(fill_section, text)
        return _FIELD.sub(lambda found: values[found.group(1)], text)

    async def _end(self, machine: Machine) -> None:
        process = machine.process
        if process is None or process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
            process.terminate()
        try:
            await asyncio.wait_for(process.wait(), _STOP_SECONDS)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


def _copy_logs(source: str, target: str) -> None:
    for path in pathlib.Path(source).glob('*.log'):
        (pathlib.Path(target) / path.name).write_bytes(path.read_bytes())


def _find_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]
