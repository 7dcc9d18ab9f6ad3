"""The sidecar role: admission to one instance, and its tasks' leases."""

import contextlib
import signal
import typing as t

import anyio
from grpclib.health import service as health_service
import grpclib.server

from persimmonsail import addresses
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import links
from persimmonsail import logs
from persimmonsail import looplag
from persimmonsail import measurements
from persimmonsail import metrics
from persimmonsail import settings as settings_module
from persimmonsail import shutdown
from persimmonsail.sidecars import announcer as announcer_module
from persimmonsail.sidecars import attempts
from persimmonsail.sidecars import backends
from persimmonsail.sidecars import colocation
from persimmonsail.sidecars import execution
from persimmonsail.sidecars import healthchecks
from persimmonsail.sidecars import instance as instance_module
from persimmonsail.sidecars import supervisor
from persimmonsail.sidecars import workers

_WORKER_TIMEOUT_SECONDS = 1.0


class Sidecar(control_grpc.SidecarBase):
    """Serves one instance to entries; use inside ``async with``."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self.own = instance_module.OwnInstance(
            max_evidence_age=settings.links.silence,
            backend_leaving=True,
        )
        self.calls = shutdown.CallTracker()

    async def __aenter__(self) -> 'Sidecar':
        self._exit_stack = contextlib.AsyncExitStack()
        limits = self.settings.sidecar
        worker = await self._exit_stack.enter_async_context(
            workers.Worker(limits.worker, _WORKER_TIMEOUT_SECONDS)
        )
        self.backend = await self._exit_stack.enter_async_context(
            backends.Backend(limits.backend, limits.connections)
        )
        self._group = await self._exit_stack.enter_async_context(
            anyio.create_task_group()
        )
        self.executor = execution.Executor(
            self.own, self.backend, limits, self._group
        )
        self.supervisor = supervisor.Supervisor(self.own, worker)
        self.colocation = colocation.Colocation(
            self.own, worker, limits.slots, limits.usage_interval
        )
        return self

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        self._group.cancel_scope.cancel()
        return await self._exit_stack.__aexit__(*exc_info)

    async def Execute(self, stream) -> None:
        """Run one quick request, at most once for each attempt."""
        request = await stream.recv_message()
        with self.calls.track():
            reply = self._complete(await self.executor.execute(request))
            self._log_admission(request, reply)
            await stream.send_message(reply)

    def _complete(
        self, outcome: control_pb2.ExecuteReply
    ) -> control_pb2.ExecuteReply:
        # Copied, as the outcome itself is retained for settlement.
        reply = control_pb2.ExecuteReply()
        reply.CopyFrom(outcome)
        reply.load.CopyFrom(self.own.describe_load())
        reply.revision = self.own.revision
        reply.clock_ms = attempts.read_clock()
        return reply

    def _log_admission(
        self,
        request: control_pb2.ExecuteRequest,
        reply: control_pb2.ExecuteReply,
    ) -> None:
        logs.write_event(
            'admission',
            attempt=request.attempt,
            request=request.request,
            workload=request.workload,
            incarnation=self.own.incarnation,
            revision=self.own.revision,
            request_revision=request.revision,
            verdict=instance_module.name_verdict(reply.verdict),
            reason=reply.reason,
            busy_slots=self.own.busy_slots,
            queued=self.own.queued,
            retry_after=reply.retry_after_seconds,
        )
        _count_admission(request.workload, reply.verdict)

    async def Settle(self, stream) -> None:
        """Return an attempt's outcome, or bar it permanently."""
        request = await stream.recv_message()
        with self.calls.track():
            reply = self._complete(await self.executor.settle(request))
            self._log_settle(request, reply)
            await stream.send_message(reply)

    def _log_settle(
        self,
        request: control_pb2.SettleRequest,
        reply: control_pb2.ExecuteReply,
    ) -> None:
        logs.write_event(
            'settle',
            attempt=request.attempt,
            incarnation=self.own.incarnation,
            verdict=instance_module.name_verdict(reply.verdict),
            reason=reply.reason,
            cancel=request.cancel,
        )

    async def StartTask(self, stream) -> None:
        """Start one attempt at a task on the worker."""
        request = await stream.recv_message()
        reply = await self.supervisor.start(request)
        reply.load.CopyFrom(self.own.describe_load())
        reply.revision = self.own.revision
        logs.write_event(
            'task-admission',
            task=request.task,
            attempt=request.attempt,
            partition=request.partition,
            epoch=request.epoch,
            revision=request.revision,
            incarnation=self.own.incarnation,
            verdict=instance_module.name_verdict(reply.verdict),
            reason=reply.reason,
        )
        _count_admission(request.workload, reply.verdict)
        await stream.send_message(reply)

    async def Renew(self, stream) -> None:
        """Extend a partition's leases and report its tasks' states."""
        request = await stream.recv_message()
        reply = await self.supervisor.renew(request)
        reply.load.CopyFrom(self.own.describe_load())
        await stream.send_message(reply)

    async def StopTask(self, stream) -> None:
        """Stop one attempt, with a checkpoint if requested."""
        request = await stream.recv_message()
        await stream.send_message(await self.supervisor.stop(request))


def _count_admission(workload: str, verdict: int) -> None:
    name = instance_module.name_verdict(verdict)
    metrics.ADMISSIONS.increment(workload, name)


async def run(settings: settings_module.Settings) -> None:
    """Run the role until SIGTERM, then stop gracefully."""
    stop = shutdown.Stop()
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with (
            Sidecar(settings) as sidecar,
            anyio.create_task_group() as group,
        ):
            group.start_soon(_wait_for_signal, signals, stop)
            # Rebuilding retries while the worker is down; a stop that
            # waited for its completion might never happen.
            await stop.run_until_stop(sidecar.supervisor.rebuild)
            if not stop.begun.is_set():
                await _serve(sidecar, stop)
            group.cancel_scope.cancel()
    measurements.write_all()
    logs.write_event('stopped', incarnation=sidecar.own.incarnation)


async def _wait_for_signal(
    signals: t.AsyncIterator[signal.Signals], stop: shutdown.Stop
) -> None:
    await anext(signals)
    stop.begun.set()


async def _serve(sidecar: Sidecar, stop: shutdown.Stop) -> None:
    settings = sidecar.settings
    server = grpclib.server.Server([sidecar, health_service.Health()])
    sock = addresses.bind(settings.process.control)
    address = addresses.format_address(sock)
    await server.start(sock=sock)
    logs.write_event(
        'listening', control=address, incarnation=sidecar.own.incarnation
    )
    with links.Links(links.make_limits(settings.links)) as opened:
        async with anyio.create_task_group() as group:
            announcer = announcer_module.Announcer(
                sidecar.own, settings, address, opened, sidecar.colocation
            )
            probe = healthchecks.BackendProbe(
                sidecar.own,
                sidecar.backend,
                settings.sidecar.health_interval,
                announcer.announce_now,
            )
            await probe.probe_once()
            group.start_soon(looplag.monitor)
            group.start_soon(probe.run)
            group.start_soon(announcer.run)
            group.start_soon(sidecar.colocation.run)
            group.start_soon(measurements.run)
            await stop.begun.wait()
            await _drain(sidecar, announcer)
            group.cancel_scope.cancel()
    server.close()
    await server.wait_closed()


async def _drain(
    sidecar: Sidecar, announcer: announcer_module.Announcer
) -> None:
    logs.write_event('stopping', incarnation=sidecar.own.incarnation)
    sidecar.own.leaving = True
    announcer.announce_now()
    with anyio.move_on_after(sidecar.settings.sidecar.drain):
        await anyio.sleep(sidecar.settings.sidecar.notice)
        await sidecar.executor.finish_requests()
        await sidecar.calls.wait_idle()
