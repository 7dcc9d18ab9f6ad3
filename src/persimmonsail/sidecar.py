"""The sidecar role: admission to one instance, and its tasks' leases."""

import contextlib
import dataclasses
import signal
import time
import typing as t
import uuid

import anyio
import grpclib.exceptions
import grpclib.server
import httpx

from persimmonsail import admission
from persimmonsail import attempts
from persimmonsail import backends
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import httpserver
from persimmonsail import links
from persimmonsail import logs
from persimmonsail import settings as settings_module
from persimmonsail import workers

_WORKER_TIMEOUT = 1.0
_WORKER_RETRY = 0.2
_BUSY_RETRY_AFTER = 0.1
_PHASES = {
    'active': control_pb2.ACTIVE,
    'succeeded': control_pb2.SUCCEEDED,
    'failed': control_pb2.FAILED,
    'evicted': control_pb2.EVICTED,
    'stopped': control_pb2.STOPPED,
}


@dataclasses.dataclass
class _Queue:
    """Requests that run in slots or wait for one."""

    slots: anyio.Semaphore
    busy: int = 0
    waiting: int = 0
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def announce(self) -> None:
        """Wake whoever waits for the queue to empty."""
        self.changed.set()
        self.changed = anyio.Event()


class Sidecar(control_grpc.SidecarBase):
    """Admits work to one instance; use inside ``async with``."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self.incarnation = uuid.uuid4().hex
        self.revision = 0
        self.leaving = False
        self.commitments = admission.Commitments(admission.Size())
        self.address = ''
        own = settings.sidecar
        self._queue = _Queue(anyio.Semaphore(own.slots))
        self._attempts = attempts.AttemptTable()
        self._worker = workers.Worker(own.worker, _WORKER_TIMEOUT)
        self._backend = backends.Backend(own.backend, own.connections)
        self._epochs: dict[int, int] = {}
        self._barred: set[tuple[str, int]] = set()

    async def __aenter__(self) -> 'Sidecar':
        self._owned = contextlib.AsyncExitStack()
        await self._owned.enter_async_context(self._worker)
        await self._owned.enter_async_context(self._backend)
        self._group = await self._owned.enter_async_context(
            anyio.create_task_group()
        )
        return self

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        self._group.cancel_scope.cancel()
        return await self._owned.__aexit__(*exc_info)

    async def rebuild(self) -> None:
        """Take the worker over and recommit what it runs.

        Nothing is admitted before: a restarted sidecar knows nothing of
        the tasks its predecessor admitted, and would commit their
        processors and memory a second time.
        """
        while True:
            try:
                view = await self._worker.take_over(self.incarnation)
                break
            except exceptions.WorkerUnavailable as error:
                logs.write_warning('worker-unavailable', error=error)
                await anyio.sleep(_WORKER_RETRY)
        capacity = admission.Size(
            view.cores, view.memory_gb, view.accelerators
        )
        self.commitments = admission.Commitments(capacity)
        for task in view.tasks:
            if task.phase == 'active':
                size = admission.Size(
                    task.cores, task.memory_gb, task.accelerators
                )
                self.commitments.try_commit(f'task/{task.task}', size)

    def describe_load(self) -> control_pb2.Load:
        """Return the load that goes with every reply."""
        return control_pb2.Load(
            committed=self.commitments.total.to_message(),
            busy_slots=self._queue.busy,
            queued=self._queue.waiting,
        )

    def note_revision(self, revision: int) -> None:
        """Remember the highest catalogue revision seen."""
        self.revision = max(self.revision, revision)

    async def Execute(self, stream) -> None:
        """Run one quick request, at most once for each attempt."""
        request = await stream.recv_message()
        known = self._attempts.find(request.attempt)
        if known is not None:
            await known.ended.wait()
            reply = known.reply
        elif reason := self._find_refusal(request):
            reply = control_pb2.ExecuteReply(
                verdict=control_pb2.NOT_RUN,
                reason=reason,
                retry_after_seconds=_BUSY_RETRY_AFTER,
            )
        else:
            reply = await self._run_attempt(request)
        reply.load.CopyFrom(self.describe_load())
        reply.revision = self.revision
        logs.write_event(
            'admission',
            attempt=request.attempt,
            request=request.request,
            workload=request.workload,
            incarnation=self.incarnation,
            revision=self.revision,
            verdict=control_pb2.Verdict.Name(reply.verdict).lower(),
            reason=reply.reason,
        )
        await stream.send_message(reply)

    async def Settle(self, stream) -> None:
        """Tell what became of an attempt, or bar it for ever."""
        request = await stream.recv_message()
        known = self._attempts.find(request.attempt)
        if request.incarnation != self.incarnation:
            reply = control_pb2.ExecuteReply(
                verdict=control_pb2.UNKNOWN, reason='other incarnation'
            )
        elif known is None:
            reply = self._attempts.bar(request.attempt)
        else:
            with anyio.move_on_after(request.wait_seconds):
                await known.ended.wait()
            reply = known.reply or control_pb2.ExecuteReply(
                verdict=control_pb2.RUNNING
            )
        logs.write_event(
            'settle',
            attempt=request.attempt,
            incarnation=self.incarnation,
            verdict=control_pb2.Verdict.Name(reply.verdict).lower(),
            reason=reply.reason,
        )
        await stream.send_message(reply)

    async def StartTask(self, stream) -> None:
        """Start one attempt at a task on the worker."""
        request = await stream.recv_message()
        reply = await self._start_task(request)
        reply.load.CopyFrom(self.describe_load())
        reply.revision = self.revision
        logs.write_event(
            'task-admission',
            task=request.task,
            attempt=request.attempt,
            partition=request.partition,
            epoch=request.epoch,
            incarnation=self.incarnation,
            verdict=control_pb2.Verdict.Name(reply.verdict).lower(),
            reason=reply.reason,
        )
        await stream.send_message(reply)

    async def Renew(self, stream) -> None:
        """Extend a partition's leases and tell how its tasks stand."""
        request = await stream.recv_message()
        reply = control_pb2.RenewReply(incarnation=self.incarnation)
        if request.epoch < self._epochs.get(request.partition, 0):
            reply.reason = 'a later epoch is known'
        else:
            self._epochs[request.partition] = request.epoch
            await self._renew(request, reply)
        reply.load.CopyFrom(self.describe_load())
        await stream.send_message(reply)

    async def StopTask(self, stream) -> None:
        """Stop one attempt, with a checkpoint if asked for."""
        request = await stream.recv_message()
        reply = control_pb2.StopTaskReply()
        if request.epoch < self._epochs.get(request.partition, 0):
            reply.reason = 'a later epoch is known'
        else:
            self._barred.add((request.task, request.attempt))
            await self._stop_task(request, reply)
        await stream.send_message(reply)

    def _find_refusal(self, request: control_pb2.ExecuteRequest) -> str:
        if request.incarnation != self.incarnation:
            return 'other incarnation'
        if request.revision < self.revision:
            return 'stale revision'
        self.note_revision(request.revision)
        if self.leaving:
            return 'leaving'
        if self._queue.waiting >= self.settings.sidecar.queue:
            return 'queue full'
        return ''

    async def _run_attempt(
        self, request: control_pb2.ExecuteRequest
    ) -> control_pb2.ExecuteReply:
        # The call's own task is cancelled when its link breaks. The work
        # runs in a task of the sidecar, so that its outcome is kept for
        # whoever settles the attempt over a fresh link.
        attempt = self._attempts.begin(request.attempt)
        self._group.start_soon(self._finish_attempt, attempt, request)
        await attempt.ended.wait()
        return attempt.reply

    async def _finish_attempt(
        self,
        attempt: attempts.Attempt,
        request: control_pb2.ExecuteRequest,
    ) -> None:
        reply = control_pb2.ExecuteReply(
            verdict=control_pb2.UNKNOWN, reason='cut off'
        )
        try:
            reply = await self._queue_and_send(request)
        finally:
            attempt.end(reply)

    async def _queue_and_send(
        self, request: control_pb2.ExecuteRequest
    ) -> control_pb2.ExecuteReply:
        deadline = time.monotonic() + request.timeout_seconds
        self._queue.waiting += 1
        try:
            with anyio.fail_after(request.timeout_seconds):
                await self._queue.slots.acquire()
        except TimeoutError:
            return _refuse('deadline passed in the queue')
        finally:
            self._queue.waiting -= 1
        self._queue.busy += 1
        holder = f'request/{request.attempt}'
        size = admission.read_size(request.size)
        try:
            if not self.commitments.try_commit(holder, size):
                return _refuse('no capacity')
            return await self._send(request, deadline)
        finally:
            self.commitments.release(holder)
            self._queue.busy -= 1
            self._queue.slots.release()
            self._queue.announce()

    async def _send(
        self, request: control_pb2.ExecuteRequest, deadline: float
    ) -> control_pb2.ExecuteReply:
        left = deadline - time.monotonic()
        if left <= 0:
            return _refuse('deadline passed in the queue')
        try:
            answer = await self._backend.send(
                request.request, request.body, request.content_type, left
            )
        except (httpx.ConnectError, httpx.ConnectTimeout):
            return _refuse('no connection to the backend server')
        except httpx.HTTPError as error:
            return control_pb2.ExecuteReply(
                verdict=control_pb2.UNKNOWN, reason=type(error).__name__
            )
        return control_pb2.ExecuteReply(
            verdict=control_pb2.ANSWERED,
            status=answer.status,
            body=answer.body,
            content_type=answer.content_type,
        )

    async def _start_task(
        self, request: control_pb2.StartTaskRequest
    ) -> control_pb2.StartTaskReply:
        reason = self._find_task_refusal(request)
        holder = f'task/{request.task}'
        size = admission.read_size(request.size)
        limit = admission.leave_headroom(self.commitments.capacity)
        if not reason and not self.commitments.try_commit(holder, size, limit):
            reason = 'no capacity'
        if reason:
            self._barred.add((request.task, request.attempt))
            return control_pb2.StartTaskReply(
                verdict=control_pb2.NOT_RUN,
                reason=reason,
                retry_after_seconds=_BUSY_RETRY_AFTER,
            )
        try:
            await self._worker.start(self._describe_start(request))
        except exceptions.StaleIncarnation as error:
            self.commitments.release(holder)
            return control_pb2.StartTaskReply(
                verdict=control_pb2.NOT_RUN, reason=str(error)
            )
        except exceptions.WorkerUnavailable as error:
            return control_pb2.StartTaskReply(
                verdict=control_pb2.UNKNOWN, reason=str(error)
            )
        return control_pb2.StartTaskReply(verdict=control_pb2.RUNNING)

    def _find_task_refusal(self, request: control_pb2.StartTaskRequest) -> str:
        if request.incarnation != self.incarnation:
            return 'other incarnation'
        if request.epoch < self._epochs.get(request.partition, 0):
            return 'a later epoch is known'
        self._epochs[request.partition] = request.epoch
        if request.revision < self.revision:
            return 'stale revision'
        self.note_revision(request.revision)
        if (request.task, request.attempt) in self._barred:
            return 'barred'
        return 'leaving' if self.leaving else ''

    def _describe_start(
        self, request: control_pb2.StartTaskRequest
    ) -> dict[str, t.Any]:
        return {
            'incarnation': self.incarnation,
            'task': request.task,
            'attempt': request.attempt,
            'partition': request.partition,
            'workload': request.workload,
            'cores': request.size.cores,
            'memory_gb': request.size.memory_gb,
            'accelerators': request.size.accelerators,
            'lease_seconds': request.lease_seconds,
            'payload': request.payload.decode(),
            'checkpoint': request.checkpoint,
        }

    async def _renew(
        self,
        request: control_pb2.RenewRequest,
        reply: control_pb2.RenewReply,
    ) -> None:
        wanted = [(ref.task, ref.attempt) for ref in request.tasks]
        try:
            view = await self._worker.renew(
                self.incarnation, wanted, request.lease_seconds
            )
        except (
            exceptions.WorkerUnavailable,
            exceptions.StaleIncarnation,
        ) as error:
            reply.reason = str(error)
            return
        reply.accepted = True
        found = {(task.task, task.attempt): task for task in view.tasks}
        for key in wanted:
            reply.states.append(self._describe_state(key, found.get(key)))

    def _describe_state(
        self, key: tuple[str, int], task: workers.WorkerTask | None
    ) -> control_pb2.TaskState:
        state = control_pb2.TaskState(task=key[0], attempt=key[1])
        if task is None:
            # The start may still be on its way; barred, it can't run
            # after the holder has claimed the task elsewhere.
            self._barred.add(key)
            state.phase = control_pb2.ABSENT
            return state
        state.phase = _PHASES[task.phase]
        state.answer = task.answer
        state.checkpoint = task.checkpoint
        if task.phase != 'active':
            self.commitments.release(f'task/{task.task}')
        return state

    async def _stop_task(
        self,
        request: control_pb2.StopTaskRequest,
        reply: control_pb2.StopTaskReply,
    ) -> None:
        key = (request.task, request.attempt)
        try:
            task = await self._worker.stop(
                self.incarnation, *key, request.checkpoint
            )
        except (
            exceptions.WorkerUnavailable,
            exceptions.StaleIncarnation,
        ) as error:
            reply.reason = str(error)
            return
        reply.accepted = True
        reply.state.CopyFrom(self._describe_state(key, task))

    def describe(self, sequence: int) -> control_pb2.SidecarReport:
        """Return the announcement of this instance."""
        process = self.settings.process
        own = self.settings.sidecar
        return control_pb2.SidecarReport(
            instance=process.name,
            zone=process.zone,
            rack=process.rack,
            incarnation=self.incarnation,
            address=process.control_advertised or self.address,
            service=own.service,
            leaving=self.leaving,
            slots=own.slots,
            max_connections=own.connections,
            capacity=self.commitments.capacity.to_message(),
            load=self.describe_load(),
            revision=self.revision,
            sequence=sequence,
        )

    async def finish_requests(self) -> None:
        """Wait until no request is in flight."""
        while self._queue.busy or self._queue.waiting:
            await self._queue.changed.wait()


def _refuse(reason: str) -> control_pb2.ExecuteReply:
    return control_pb2.ExecuteReply(
        verdict=control_pb2.NOT_RUN,
        reason=reason,
        retry_after_seconds=_BUSY_RETRY_AFTER,
    )


class Announcer:
    """Announces an instance to entries, one task for each entry."""

    def __init__(self, sidecar: Sidecar, opened: links.Links) -> None:
        self._sidecar = sidecar
        self._links = opened
        self._known: set[str] = set()
        self.changed = anyio.Event()

    async def run(self) -> None:
        """Keep a link to every known entry, until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            self._add(self._sidecar.settings.sidecar.entries)
            await anyio.sleep_forever()

    def announce_now(self) -> None:
        """Send a report at once, on every link."""
        self.changed.set()
        self.changed = anyio.Event()

    def _add(self, addresses: t.Iterable[str]) -> None:
        for address in addresses:
            if address not in self._known:
                self._known.add(address)
                self._group.start_soon(self._keep_link, address)

    async def _keep_link(self, address: str) -> None:
        limits = self._sidecar.settings.links
        while True:
            try:
                await self._run_link(address)
            except (
                OSError,
                TimeoutError,
                grpclib.exceptions.GRPCError,
                grpclib.exceptions.StreamTerminatedError,
            ) as error:
                name = type(error).__name__
                logs.write_event('link-lost', entry=address, error=name)
            self._links.drop(address)
            await anyio.sleep(limits.heartbeat)

    async def _run_link(self, address: str) -> None:
        settings = self._sidecar.settings
        stub = control_grpc.EntryStub(self._links.open(address))
        sequence = 0
        with anyio.fail_after(settings.links.silence) as scope:
            async with stub.Link.open() as stream:
                while True:
                    sequence += 1
                    await stream.send_message(self._sidecar.describe(sequence))
                    notice = await stream.recv_message()
                    if notice is None:
                        return
                    self._note(notice)
                    scope.deadline = (
                        anyio.current_time() + settings.links.silence
                    )
                    with anyio.move_on_after(settings.sidecar.report_interval):
                        await self.changed.wait()

    def _note(self, notice: control_pb2.EntryNotice) -> None:
        self._sidecar.note_revision(notice.revision)
        self._add(notice.entries)


async def run(settings: settings_module.Settings) -> None:
    """Run the role until SIGTERM, then stop gracefully."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with Sidecar(settings) as sidecar:
            await sidecar.rebuild()
            server = grpclib.server.Server([sidecar])
            sock = httpserver.bind(settings.process.control)
            sidecar.address = httpserver.name_of(sock)
            await server.start(sock=sock)
            logs.write_event(
                'listening',
                control=sidecar.address,
                incarnation=sidecar.incarnation,
            )
            with links.Links() as opened:
                async with anyio.create_task_group() as group:
                    announcer = Announcer(sidecar, opened)
                    group.start_soon(announcer.run)
                    await anext(aiter(signals))
                    await _stop(sidecar, announcer)
                    group.cancel_scope.cancel()
            server.close()
            await server.wait_closed()
    logs.write_event('stopped')


async def _stop(sidecar: Sidecar, announcer: Announcer) -> None:
    logs.write_event('stopping')
    sidecar.leaving = True
    announcer.announce_now()
    with anyio.move_on_after(sidecar.settings.sidecar.drain):
        await anyio.sleep(sidecar.settings.links.heartbeat)
        await sidecar.finish_requests()
