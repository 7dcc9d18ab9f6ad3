"""An in-process instance: worker, sidecar's supervisor, links."""

import contextlib
import typing as t

import anyio
import anyio.abc
import httpx

from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail.sidecars import instance as instance_module
from persimmonsail.sidecars import supervisor as supervisor_module
from persimmonsail.sidecars import workers
from standins import worker as worker_module

LEASE = 6.0


class BlockingTransport(httpx.ASGITransport):
    """Delivers requests to the worker; blocks one to ``blocked_path``."""

    def __init__(self, app) -> None:
        super().__init__(app=app)
        self.blocked_path = ''
        self.arrived = anyio.Event()
        self.released = anyio.Event()

    async def handle_async_request(self, request):
        """See ``httpx.AsyncBaseTransport``."""
        if self.blocked_path and request.url.path.endswith(self.blocked_path):
            self.blocked_path = ''
            self.arrived.set()
            await self.released.wait()
        return await super().handle_async_request(request)


class Instance:
    """A worker's process and one sidecar; ``server`` is the worker.

    The worker's own clock does not advance: its tasks end only when a
    test ends them.
    """

    def __init__(self, server: worker_module.WorkerServer | None = None):
        self.server = server or worker_module.WorkerServer(64, 250, 0)
        self.own = instance_module.OwnInstance()
        self.worker = workers.Worker('127.0.0.1:1', 1.0)
        self.transport = BlockingTransport(self.server.app)
        self.worker._client = httpx.AsyncClient(
            base_url='http://worker', transport=self.transport
        )
        self.supervisor = supervisor_module.Supervisor(self.own, self.worker)
        self.reachable = True

    async def open(self) -> 'Instance':
        """Let the supervisor take over the worker's tasks."""
        await self.supervisor.rebuild()
        return self

    def replace_worker(self) -> None:
        """Replace the worker with a new process, as after a kill."""
        self.server = worker_module.WorkerServer(64, 250, 0)
        self.transport.app = self.server.app

    def disconnect_worker(self) -> None:
        """Make every later request to the worker fail."""

        async def refuse(scope, receive, send):
            raise httpx.ConnectError('the worker is disconnected')

        self.transport.app = refuse

    def make_start(self, task: str, **changes: t.Any):
        """Return a start request that would be granted, with changes."""
        fields = {
            'task': task,
            'attempt': 1,
            'partition': 0,
            'epoch': 1,
            'incarnation': self.own.incarnation,
            'workload': 'build',
            'size': control_pb2.Size(cores=8, memory_gb=16),
            'lease_seconds': LEASE,
            'payload': b'{}',
            'ticket': self.read_clock(),
            'boot': self.worker.boot,
        }
        return control_pb2.StartTaskRequest(**{**fields, **changes})

    def make_renew(self, *keys: tuple[str, int], **changes: t.Any):
        """Return a renewal that would be granted, with changes."""
        fields = {
            'partition': 0,
            'epoch': 1,
            'incarnation': self.own.incarnation,
            'lease_seconds': LEASE,
            'ticket': self.read_clock(),
            'tasks': [
                control_pb2.TaskRef(task=task, attempt=attempt)
                for task, attempt in keys
            ],
        }
        return control_pb2.RenewRequest(**{**fields, **changes})

    def read_clock(self) -> float:
        """Return the sidecar's clock, which tickets carry."""
        return supervisor_module.time.monotonic()

    def find_run(self, task: str) -> worker_module.Run:
        """Return the worker's latest attempt at a task."""
        return self.server._runs[task]

    def has_attempt(self, task: str, attempt: int) -> bool:
        """Return whether the worker has this attempt, not an earlier one.

        The worker deletes an earlier one once its end is acknowledged,
        before the next one starts.
        """
        run = self.server._runs.get(task)
        return run is not None and run.attempt == attempt


class Links:
    """Calls sidecars' supervisors and entries' promises directly.

    With a task group, a call continues at the sidecar when its caller
    is killed, as between processes.
    """

    def __init__(self) -> None:
        self.group: anyio.abc.TaskGroup | None = None
        self.sidecars: dict[str, Instance] = {}
        self.entries: dict[str, t.Any] = {}
        self.calls: list[tuple[str, t.Any]] = []
        self.unreachable: set[str] = set()

    async def call(self, address, stub, method, message, timeout):
        """See ``persimmonsail.links.Links.call``."""
        self.calls.append((method, message))
        if address in self.unreachable:
            raise exceptions.LinkLost(f'{method} {address}')
        if method in ('Consent', 'Fence'):
            return await self._call_entry(address, method, message)
        supervisor = self.sidecars[address].supervisor
        calls = {
            'StartTask': supervisor.start,
            'Renew': supervisor.renew,
            'StopTask': supervisor.stop,
        }
        with contextlib.suppress(TimeoutError), anyio.fail_after(timeout):
            if self.group is None:
                return await calls[method](message)
            return await self._call_in_group(calls[method], message)
        raise exceptions.LinkLost(f'{method} {address}')

    async def _call_in_group(self, call, message):
        replies = []
        ended = anyio.Event()

        async def run():
            replies.append(await call(message))
            ended.set()

        self.group.start_soon(run)
        await ended.wait()
        return replies[0]

    async def _call_entry(self, address, method, message):
        promises = self.entries[address]
        if method == 'Consent':
            return promises.consent(message)
        promises.fence(message)
        return control_pb2.FenceReply(id=promises.id)
