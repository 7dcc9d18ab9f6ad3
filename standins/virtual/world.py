"""Simulation of processes that communicate by a simulated network."""

import collections
import contextlib
import dataclasses
import random
import time
import typing as t
import unittest.mock
import uuid

import anyio
import grpclib.client
import grpclib.server
import httpx

from persimmonsail import addresses
from persimmonsail import httpserver
from persimmonsail import logs
from standins.virtual import loops
from standins.virtual import network

_MAX_ROUNDS = 2_000_000


@dataclasses.dataclass
class Process:
    """A simulated process: its event loop, listeners and state."""

    name: str
    loop: loops.Loop
    frozen: bool = False
    dead: bool = False
    main: t.Any = None
    signals: list[t.Callable[[], None]] = dataclasses.field(
        default_factory=list
    )
    apps: dict[str, t.Any] = dataclasses.field(default_factory=dict)
    handlers: dict[str, dict] = dataclasses.field(default_factory=dict)
    streams: set = dataclasses.field(default_factory=set)

    @property
    def is_running(self) -> bool:
        """Whether the process makes progress."""
        return not self.dead and not self.frozen


class World:
    """Runs all simulated processes; use with ``with``."""

    def __init__(self, seed: int = 0) -> None:
        self.clock = loops.Clock()
        self.processes: dict[str, Process] = {}
        self.events: list[dict[str, str]] = []
        self.cut: set[frozenset[str]] = set()
        self.channels: list[network.Channel] = []
        self.current: Process | None = None
        self._random = random.Random(seed)
        self._patches = contextlib.ExitStack()

    def __enter__(self) -> 'World':
        return self

    def __exit__(self, *exc_info: object) -> None:
        for process in self.processes.values():
            self._close_loop(process)

    def start(
        self, name: str, main: t.Callable[..., t.Awaitable], *arguments: t.Any
    ) -> Process:
        """Start a process; an earlier one of that name must be dead."""
        process = Process(name, loops.Loop(self.clock))
        self.processes[name] = process
        with self._patched():
            self.current = process
            process.main = process.loop.create_task(
                self._run_main(main, arguments)
            )
            self.current = None
        return process

    async def _run_main(self, main, arguments):
        return await main(*arguments)

    def kill(self, name: str) -> None:
        """End a process immediately; its streams break at their peers."""
        process = self.processes[name]
        if process.dead:
            return
        process.dead = True
        for stream in list(process.streams):
            stream.break_peer()
        self._close_loop(process)

    def _close_loop(self, process: Process) -> None:
        process.dead = True
        if not process.loop.is_closed():
            process.loop._ready.clear()
            process.loop._scheduled.clear()
            process.loop.close()

    def terminate(self, name: str) -> None:
        """Send SIGTERM."""
        process = self.processes[name]
        for notify in process.signals:
            process.loop.call_soon(notify)

    def freeze(self, name: str, frozen: bool = True) -> None:
        """Suspend a process as SIGSTOP does, or resume it."""
        self.processes[name].frozen = frozen

    def find(self, address: str) -> Process | None:
        """Return the live process that listens on an address."""
        for process in self.processes.values():
            listens = address in process.apps or address in process.handlers
            if listens and not process.dead:
                return process
        return None

    def is_cut(self, one: str, other: str) -> bool:
        """Whether the link between two processes is cut."""
        return frozenset((one, other)) in self.cut

    def run_for(self, seconds: float) -> None:
        """Run all processes for some virtual time."""
        self.run_until(lambda: False, seconds)

    def run_until(
        self, condition: t.Callable[[], bool], seconds: float
    ) -> bool:
        """Run until a condition holds, for at most some virtual time."""
        end = self.clock.now + seconds
        with self._patched():
            for _ in range(_MAX_ROUNDS):
                if condition():
                    return True
                if not self._run_ready() and not self._advance_clock(end):
                    return condition()
        raise RuntimeError('simulation exceeded the maximum number of rounds')

    def call(self, coroutine: t.Callable[..., t.Awaitable], *arguments):
        """Run a coroutine in the client process and return its result."""
        client = self.processes['client']
        with self._patched():
            task = client.loop.create_task(coroutine(*arguments))
        if not self.run_until(task.done, 600):
            raise RuntimeError(
                'call did not finish within 600 s of virtual time'
            )
        return task.result()

    def spawn(self, coroutine: t.Callable[..., t.Awaitable], *arguments):
        """Start a coroutine in the client process."""
        with self._patched():
            return self.processes['client'].loop.create_task(
                coroutine(*arguments)
            )

    def _run_ready(self) -> bool:
        ran = False
        for process in list(self.processes.values()):
            if not process.is_running:
                continue
            due = process.loop.next_time()
            if due is not None and due <= self.clock.now:
                self.current = process
                process.loop.run_round()
                self.current = None
                ran = True
        return ran

    def _advance_clock(self, end: float) -> bool:
        times = [
            process.loop.next_time()
            for process in self.processes.values()
            if process.is_running
        ]
        due = min((when for when in times if when is not None), default=end)
        if due > end or self.clock.now >= end:
            self.clock.now = max(self.clock.now, end)
            return False
        self.clock.now = max(self.clock.now, due)
        return True

    def _record_event(self, event: str, **fields: object) -> None:
        process = self.current
        line = logs.format_line(
            {
                'time': f'{self.clock.now:.6f}',
                'level': 'info',
                'process': process.name if process else 'world',
                'event': event,
                **fields,
            }
        )
        self.events.append(logs.parse_line(line))

    def select(self, event: str, **fields: str) -> list[dict[str, str]]:
        """Return the logged events of this name with these fields."""
        return [
            logged
            for logged in self.events
            if logged['event'] == event
            and all(logged.get(k) == v for k, v in fields.items())
        ]

    @contextlib.contextmanager
    def _patched(self) -> t.Iterator[None]:
        fakes = network.Fakes(self)
        replacements = [
            (time, 'monotonic', lambda: self.clock.now),
            (time, 'time', lambda: self.clock.now),
            (uuid, 'uuid4', self._make_uuid),
            (anyio, 'open_signal_receiver', fakes.open_signal_receiver),
            (addresses, 'bind', str),
            (addresses, 'format_address', str),
            (httpserver, 'HttpServer', fakes.make_http_server),
            (grpclib.server, 'Server', fakes.make_grpc_server),
            (grpclib.client, 'Channel', fakes.make_channel),
            (httpx, 'AsyncClient', fakes.make_client),
            (logs, 'write_event', self._record_event),
            (logs, 'write_warning', self._record_event),
        ]
        with contextlib.ExitStack() as stack:
            for owner, name, fake in replacements:
                stack.enter_context(
                    unittest.mock.patch.object(owner, name, fake)
                )
            yield

    def _make_uuid(self) -> uuid.UUID:
        return uuid.UUID(int=self._random.getrandbits(128), version=4)

    def count_events(self) -> collections.Counter[str]:
        """Return how often each event was logged."""
        return collections.Counter(logged['event'] for logged in self.events)
