"""Load generator: simulates many sidecars or entries in one process.

The sidecars use the announcer of the product, so that the load follows
changes of its protocol.
"""

import contextlib
import dataclasses
import time
import typing as t

import anyio
import grpclib.const
import grpclib.server

from persimmonsail import addresses
from persimmonsail.bookkeeping import refsets
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail.decisions import admission
from persimmonsail import links
from persimmonsail import settings as settings_module
from persimmonsail.sidecars import announcer as announcer_module
from persimmonsail.sidecars import colocation
from persimmonsail.sidecars import instance as instance_module
from persimmonsail.sidecars import workers
from tools import slope_meter

_SETTINGS = """
[process]
name = {name}
region = {region}
zone = {zone}
rack = {rack}
control-advertised = {address}
[sidecar]
entries = {entries}
worker = 127.0.0.1:1
backend = 127.0.0.1:1
service = planning
"""
CORES = 64.0
MEMORY_GB = 250.0


@dataclasses.dataclass
class _RunningTask:
    attempt: int
    ends_at: float
    size: admission.Size
    renewed_at: float


class _StubWorker(workers.Worker):
    """A worker that is never queried: fake instances report no usage."""

    def __init__(self) -> None:
        self.boot = self.incarnation = ''


class FakeSidecar(control_grpc.SidecarBase):
    """An instance: admits every task and ends it after ``task_seconds``."""

    def __init__(self, name: str, zone: str, proxy) -> None:
        self.name = name
        self.zone = zone
        self.proxy = proxy
        self.task_seconds = float('inf')
        self.own = instance_module.OwnInstance()
        self.own.commitments = admission.Commitments(
            admission.Size(CORES, MEMORY_GB, 2)
        )
        self.tasks: dict[str, _RunningTask] = {}
        self._ref_sets = refsets.RefSetReader()
        self.announcer: announcer_module.Announcer
        self.scope = anyio.CancelScope()
        self.renewed = anyio.Event()
        self.on_start: t.Callable[[], None] = lambda: None

    async def listen(self) -> grpclib.server.Server:
        """Serve the control protocol behind the counting proxy."""
        server = grpclib.server.Server([self])
        sock = addresses.bind('127.0.0.1:0')
        self.proxy.target = addresses.format_address(sock)
        await server.start(sock=sock)
        return server

    def open_announcer(self, entries: t.Iterable[str], control_links) -> None:
        """Create the announcer of this instance."""
        text = _SETTINGS.format(
            name=self.name,
            region=self.zone.rpartition('-')[0],
            zone=self.zone,
            rack=f'{self.zone}-rack',
            address=self.proxy.address,
            entries=', '.join(entries),
        )
        settings = settings_module.parse('fake', text, 'sidecar')
        sidecar_settings = settings.sidecar
        colocation_state = colocation.Colocation(
            self.own,
            _StubWorker(),
            sidecar_settings.slots,
            sidecar_settings.usage_interval,
        )
        self.announcer = announcer_module.Announcer(
            self.own,
            settings,
            self.proxy.address,
            control_links,
            colocation_state,
        )

    async def Execute(self, stream) -> None:
        """Do nothing: quick requests do not count as control cost."""

    async def Settle(self, stream) -> None:
        """Do nothing: quick requests do not count as control cost."""

    async def StartTask(self, stream) -> None:
        """Admit a task unconditionally."""
        request = await stream.recv_message()
        self.own.record_revision(request.revision)
        size = admission.read_size(request.size)
        self.own.commitments.try_commit(f'task/{request.task}', size)
        self.tasks[request.task] = _RunningTask(
            request.attempt,
            time.monotonic() + self.task_seconds,
            size,
            time.monotonic(),
        )
        self.on_start()
        await stream.send_message(
            control_pb2.StartTaskReply(
                verdict=control_pb2.RUNNING,
                load=self.own.describe_load(),
                revision=self.own.revision,
                ticket=time.monotonic(),
                boot=self.name,
                incarnation=self.own.incarnation,
            )
        )

    async def Renew(self, stream) -> None:
        """Report the states of the tasks."""
        request = await stream.recv_message()
        reply = control_pb2.RenewReply(
            incarnation=self.own.incarnation,
            ticket=time.monotonic(),
            boot=self.name,
        )
        reply.resend = not self._ref_sets.restore(request)
        reply.accepted = not reply.resend
        for ref in request.acknowledged:
            self.tasks.pop(ref.task, None)
        for ref in request.tasks:
            reply.states.append(self._describe_state(ref))
        refsets.drop_active(reply)
        self.renewed.set()
        reply.load.CopyFrom(self.own.describe_load())
        await stream.send_message(reply)

    def _describe_state(self, ref) -> control_pb2.TaskState:
        state = control_pb2.TaskState(task=ref.task, attempt=ref.attempt)
        running_task = self.tasks.get(ref.task)
        if running_task is None or running_task.attempt != ref.attempt:
            state.phase = control_pb2.ABSENT
        elif time.monotonic() < running_task.ends_at:
            state.phase = control_pb2.ACTIVE
            running_task.renewed_at = time.monotonic()
        else:
            state.phase = control_pb2.SUCCEEDED
            state.answer = '{"done": true}'
            self.own.commitments.release(f'task/{ref.task}')
        return state

    async def StopTask(self, stream) -> None:
        """Stop a task."""
        request = await stream.recv_message()
        self.tasks.pop(request.task, None)
        self.own.commitments.release(f'task/{request.task}')
        reply = control_pb2.StopTaskReply(accepted=True)
        reply.state.task = request.task
        reply.state.attempt = request.attempt
        reply.state.phase = control_pb2.STOPPED
        reply.boot = self.name
        await stream.send_message(reply)


class FakeSidecars:
    """A growing number of instances; use inside ``async with``."""

    def __init__(self, load_change_seconds: float = 0.0) -> None:
        self.sidecars: list[FakeSidecar] = []
        self._load_change_seconds = load_change_seconds
        self._created = 0
        self.started = anyio.Event()
        self._exit_stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> 'FakeSidecars':
        self._links = self._exit_stack.enter_context(links.Links())
        self._group = await self._exit_stack.enter_async_context(
            anyio.create_task_group()
        )
        return self

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        self._group.cancel_scope.cancel()
        return await self._exit_stack.__aexit__(*exc_info)

    @property
    def proxies(self) -> list[slope_meter.CountingProxy]:
        """The counting proxies in front of the instances."""
        return [sidecar.proxy for sidecar in self.sidecars]

    async def grow(
        self, count: int, entries: t.Iterable[str], zone: str = 'piedmont-a'
    ) -> None:
        """Announce instances until there are ``count``."""
        while len(self.sidecars) < count:
            self._created += 1
            proxy = await self._exit_stack.enter_async_context(
                slope_meter.CountingProxy()
            )
            name = f'fake-{self._created:04d}'
            sidecar = FakeSidecar(name, zone, proxy)
            server = await sidecar.listen()
            self._exit_stack.callback(server.close)
            control_links = self._exit_stack.enter_context(links.Links())
            sidecar.open_announcer(entries, control_links)
            sidecar.on_start = self._notify_started
            self.sidecars.append(sidecar)
            self._group.start_soon(self._announce, sidecar)
            if self._load_change_seconds:
                self._group.start_soon(self._vary_load, sidecar)
            await anyio.sleep(0.002)

    async def wait_started(self, count: int) -> None:
        """Wait until ``count`` tasks run."""
        while sum(len(s.tasks) for s in self.sidecars) < count:
            self.started = anyio.Event()
            await self.started.wait()

    async def wait_renewed(self, count: int, since: float) -> None:
        """Wait until ``count`` tasks were renewed after ``since``."""
        for sidecar in self.sidecars:
            while not all(
                task.renewed_at > since for task in sidecar.tasks.values()
            ):
                sidecar.renewed = anyio.Event()
                await sidecar.renewed.wait()
        task_count = sum(len(sidecar.tasks) for sidecar in self.sidecars)
        if task_count != count:
            raise RuntimeError(
                f'{task_count} tasks run on the fake instances, not {count}'
            )

    def disconnect_last(self, count: int) -> list[FakeSidecar]:
        """Disconnect the most recently added instances and return them."""
        disconnected = self.sidecars[-count:]
        del self.sidecars[-count:]
        for sidecar in disconnected:
            sidecar.scope.cancel()
            sidecar.proxy.discarding = True
        return disconnected

    def _notify_started(self) -> None:
        self.started.set()

    async def _announce(self, sidecar: FakeSidecar) -> None:
        with sidecar.scope:
            await sidecar.announcer.run()

    async def _vary_load(self, sidecar: FakeSidecar) -> None:
        # A busy instance's load differs in nearly every report.
        while True:
            sidecar.own.busy_slots = (sidecar.own.busy_slots + 1) % 8
            await anyio.sleep(self._load_change_seconds)


class FakeEntry:
    """An entry that only answers announcements, as in a full zone."""

    async def Link(self, stream) -> None:
        """Answer each report."""
        async for report in stream:
            await stream.send_message(
                control_pb2.EntryNotice(
                    revision=1, sequence=report.sequence, fresh=True
                )
            )

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        return {
            '/persimmonsail.Entry/Link': grpclib.const.Handler(
                self.Link,
                grpclib.const.Cardinality.STREAM_STREAM,
                control_pb2.SidecarReport,
                control_pb2.EntryNotice,
            )
        }


@contextlib.asynccontextmanager
async def open_fake_entry() -> t.AsyncIterator[
    tuple[FakeEntry, slope_meter.CountingProxy]
]:
    """Run a fake entry behind a counting proxy."""
    entry = FakeEntry()
    server = grpclib.server.Server([entry])
    sock = addresses.bind('127.0.0.1:0')
    target = addresses.format_address(sock)
    await server.start(sock=sock)
    async with slope_meter.CountingProxy(target) as proxy:
        try:
            yield entry, proxy
        finally:
            server.close()
