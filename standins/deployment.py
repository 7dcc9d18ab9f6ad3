"""Starts the system and its stand-ins as processes on loopback.

Each process has a log file in a common directory; the addresses that a
process listens on are read from its ``listening`` event.
"""

import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import typing as t

import anyio
import anyio.abc
import httpx

from persimmonsail import logs
from persimmonsail import looplag

START_SECONDS = 30.0
STOP_SECONDS = 30.0
# Servers close connections that were idle for 5 s. A request sent at the
# same time gets no response, so the client closes idle connections earlier.
_LIMITS = httpx.Limits(
    max_connections=100, max_keepalive_connections=20, keepalive_expiry=2.0
)


class ProcessEnded(Exception):
    """A process ended before it logged the expected event."""


@dataclasses.dataclass
class Process:
    """A process and the events that it has logged."""

    name: str
    handle: anyio.abc.Process
    log: pathlib.Path
    events: list[dict[str, str]] = dataclasses.field(default_factory=list)
    ended: bool = False
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    @property
    def pid(self) -> int:
        """The process id."""
        return self.handle.pid

    def find(self, event: str, **fields: str) -> list[dict[str, str]]:
        """Return the logged events of this name with these fields."""
        return [
            logged
            for logged in self.events
            if logged.get('event') == event
            and all(logged.get(k) == v for k, v in fields.items())
        ]

    async def wait_event(
        self,
        event: str,
        count: int = 1,
        seconds: float = START_SECONDS,
        **fields: str,
    ) -> dict[str, str]:
        """Return the ``count``-th such event, once it is logged.

        Raises
        ------
        ProcessEnded
            If the process ended first.
        TimeoutError
            If that does not happen within ``seconds``.
        """
        with anyio.fail_after(seconds):
            while len(logged := self.find(event, **fields)) < count:
                if self.ended:
                    raise ProcessEnded(f'{self.name} ended; see {self.log}')
                await self.changed.wait()
        return logged[count - 1]

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.handle.send_signal(number)

    async def stop(self, number: int = signal.SIGTERM) -> int:
        """End the process and return its exit code."""
        if self.handle.returncode is None:
            self.send_signal(number)
        with anyio.fail_after(STOP_SECONDS):
            return await self.handle.wait()


class Deployment:
    """Runs processes and kills them on exit; use with ``async with``.

    Parameters
    ----------
    directory : pathlib.Path
        Directory of the settings and logs.
    program : sequence of str, optional
        Command line that runs the program.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        program: t.Sequence[str] = (sys.executable, '-m', 'persimmonsail'),
    ) -> None:
        self.directory = directory
        self.processes: dict[str, Process] = {}
        self.store = ''
        self._stand_ins: set[str] = set()
        self._program = list(program)
        self._exit_stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> 'Deployment':
        self.directory.mkdir(parents=True, exist_ok=True)
        self._group = await self._exit_stack.enter_async_context(
            anyio.create_task_group()
        )
        # Logs stalls of the test's own event loop, which delay its actions.
        self._group.start_soon(looplag.monitor)
        self.client = await self._exit_stack.enter_async_context(
            httpx.AsyncClient(timeout=60, trust_env=False, limits=_LIMITS)
        )
        return self

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        with anyio.CancelScope(shield=True):
            for process in self.processes.values():
                if process.handle.returncode is None:
                    process.handle.kill()
                    await process.handle.wait()
        self._group.cancel_scope.cancel()
        return await self._exit_stack.__aexit__(*exc_info)

    @property
    def log_files(self) -> list[pathlib.Path]:
        """The logs of all processes started so far."""
        return sorted(self.directory.glob('*.log'))

    @property
    def system_log_files(self) -> list[pathlib.Path]:
        """The logs of the system's own processes, without stand-ins."""
        return [
            path for path in self.log_files if path.stem not in self._stand_ins
        ]

    async def start(
        self,
        name: str,
        command: t.Sequence[str],
        variables: t.Mapping[str, str] | None = None,
    ) -> Process:
        """Start a process; it appends to the log of an earlier one."""
        log = self.directory / f'{name}.log'
        handle = await anyio.open_process(
            list(command),
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            env={**os.environ, **(variables or {})},
        )
        process = Process(name, handle, log)
        self.processes[name] = process
        self._group.start_soon(self._read_log, process)
        return process

    async def start_stand_in(self, kind: str, name: str, *options: str) -> str:
        """Start a stand-in and return its HTTP address."""
        self._stand_ins.add(name)
        process = await self.start(
            name,
            [
                sys.executable,
                '-m',
                f'standins.{kind}',
                '--name',
                name,
                *options,
            ],
        )
        return (await process.wait_event('listening'))['http']

    async def start_store(self) -> str:
        """Start the store stand-in."""
        self.store = await self.start_stand_in('store', 'store')
        return self.store

    async def start_proxy(self, name: str, target: str) -> tuple[str, str]:
        """Start a proxy and return its address and control address."""
        control = await self.start_stand_in('proxy', name, '--target', target)
        event = await self.processes[name].wait_event('proxying')
        return event['address'], control

    async def start_role(
        self, role: str, name: str, sections: dict[str, dict[str, object]]
    ) -> Process:
        """Start a role of the program with these settings."""
        path = self.write_settings(name, sections)
        process = await self.start(name, [*self._program, role, str(path)])
        await process.wait_event('listening')
        return process

    def write_settings(
        self, name: str, sections: dict[str, dict[str, object]]
    ) -> pathlib.Path:
        """Write a settings file; return its path."""
        path = self.directory / f'{name}.ini'
        path.write_text(_format_ini(sections), encoding='utf-8')
        return path

    async def start_entry(
        self,
        name: str,
        zone: str = 'piedmont-a',
        store: str = '',
        process: dict[str, object] | None = None,
        entry: dict[str, object] | None = None,
    ) -> Process:
        """Start an entry; ``process`` and ``entry`` add options."""
        region = zone.rpartition('-')[0] or zone
        return await self.start_role(
            'entry',
            name,
            {
                'process': {
                    'name': name,
                    'region': region,
                    'zone': zone,
                    **(process or {}),
                },
                'store': {'address': store or self.store},
                'entry': entry or {},
            },
        )

    async def start_sidecar(
        self,
        name: str,
        entries: t.Sequence[str],
        worker: str,
        backend: str,
        service: str,
        zone: str = 'piedmont-a',
        process: dict[str, object] | None = None,
        sidecar: dict[str, object] | None = None,
    ) -> Process:
        """Start a sidecar; ``process`` and ``sidecar`` add options."""
        region = zone.rpartition('-')[0] or zone
        return await self.start_role(
            'sidecar',
            name,
            {
                'process': {
                    'name': name,
                    'region': region,
                    'zone': zone,
                    **(process or {}),
                },
                'sidecar': {
                    'entries': ', '.join(entries),
                    'worker': worker,
                    'backend': backend,
                    'service': service,
                    **(sidecar or {}),
                },
            },
        )

    async def start_instance(
        self,
        name: str,
        entries: t.Sequence[str],
        service: str,
        **options: t.Any,
    ) -> Process:
        """Start a worker, a backend server and their sidecar."""
        worker = await self.start_stand_in('worker', f'worker-{name}')
        backend = await self.start_stand_in('backend', f'backend-{name}')
        return await self.start_sidecar(
            name, entries, worker, backend, service, **options
        )

    async def run_command(self, *arguments: str) -> tuple[int, str]:
        """Run a command of the program; return its exit code and output."""
        result = await anyio.run_process(
            [*self._program, *arguments],
            check=False,
            stderr=subprocess.STDOUT,
        )
        return result.returncode, result.stdout.decode()

    async def apply_catalogue(self, text: str) -> tuple[int, str]:
        """Apply a catalogue with the operators' command."""
        path = self.directory / 'catalogue.ini'
        path.write_text(text, encoding='utf-8')
        base = [] if text.startswith('; revision') else ['--base', 'head']
        code, output = await self.run_command(
            'catalogue', 'apply', str(path), '--store', self.store, *base
        )
        with (self.directory / 'catalogue.log').open('a') as log:
            log.write(output)
        return code, output

    async def set_faults(self, address: str, **faults: object) -> None:
        """Set the faults of a stand-in or a proxy."""
        response = await self.client.post(
            f'http://{address}/faults', json=faults
        )
        response.raise_for_status()

    async def _read_log(self, process: Process) -> None:
        remainder = b''
        with process.log.open('ab') as log:
            async for chunk in process.handle.stdout:
                log.write(chunk)
                log.flush()
                *lines, remainder = (remainder + chunk).split(b'\n')
                for line in lines:
                    _record_line(process, line.decode())
        process.ended = True
        process.changed.set()


def _record_line(process: Process, line: str) -> None:
    try:
        process.events.append(logs.parse_line(line))
    except logs.LogSyntaxError:
        return
    process.changed.set()
    process.changed = anyio.Event()


def _format_ini(sections: dict[str, dict[str, object]]) -> str:
    lines = []
    for section, options in sections.items():
        lines.append(f'[{section}]')
        lines.extend(f'{key} = {value}' for key, value in options.items())
        lines.append('')
    return '\n'.join(lines)
