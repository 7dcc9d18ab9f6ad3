"""Quick requests on one instance: queue, slots and backend server."""

import time

import anyio
import anyio.abc
import httpx

from persimmonsail import admission
from persimmonsail import attempts
from persimmonsail import backends
from persimmonsail import control_pb2
from persimmonsail import instance as instance_module
from persimmonsail import logs
from persimmonsail import metrics
from persimmonsail import settings as settings_module

_BUSY_RETRY_AFTER = 0.1


class Executor:
    """Runs attempts at quick requests, each at most once."""

    def __init__(
        self,
        own: instance_module.OwnInstance,
        backend: backends.Backend,
        settings: settings_module.Sidecar,
        group: anyio.abc.TaskGroup,
    ) -> None:
        self._own = own
        self._backend = backend
        self._settings = settings
        self._group = group
        self._slots = anyio.Semaphore(settings.slots)
        self._attempts = attempts.AttemptTable()
        self._changed = anyio.Event()

    async def execute(
        self, request: control_pb2.ExecuteRequest
    ) -> control_pb2.ExecuteReply:
        """Run an attempt, or return the outcome it already has."""
        known = self._attempts.find(request.attempt)
        if known is not None:
            await known.ended.wait()
            return known.reply
        if reason := self._find_refusal(request):
            return _refuse(reason)
        return await self._run_attempt(request)

    async def settle(
        self, request: control_pb2.SettleRequest
    ) -> control_pb2.ExecuteReply:
        """Tell what became of an attempt, or bar it for ever."""
        if request.incarnation != self._own.incarnation:
            return control_pb2.ExecuteReply(
                verdict=control_pb2.UNKNOWN, reason='other incarnation'
            )
        known = self._attempts.find(request.attempt)
        if known is None:
            return self._attempts.bar(request.attempt)
        with anyio.move_on_after(request.wait_seconds):
            await known.ended.wait()
        return known.reply or control_pb2.ExecuteReply(
            verdict=control_pb2.RUNNING
        )

    async def finish_requests(self) -> None:
        """Wait until no request is in flight."""
        while self._own.busy_slots or self._own.queued:
            await self._changed.wait()

    def _find_refusal(self, request: control_pb2.ExecuteRequest) -> str:
        if request.incarnation != self._own.incarnation:
            return 'other incarnation'
        if reason := self._own.find_staleness():
            return reason
        if request.revision < self._own.revision:
            return 'stale revision'
        self._own.note_revision(request.revision)
        if self._own.leaving:
            return 'leaving'
        if self._own.queued >= self._settings.queue:
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
            self._note_outcome(request, reply)

    def _note_dispatch(self, request: control_pb2.ExecuteRequest) -> None:
        logs.write_event(
            'dispatch',
            request=request.request,
            attempt=request.attempt,
            incarnation=self._own.incarnation,
            idempotent=request.idempotent,
            revision=request.revision,
            cores=request.size.cores,
            memory_gb=request.size.memory_gb,
            accelerators=request.size.accelerators,
        )

    def _note_outcome(
        self,
        request: control_pb2.ExecuteRequest,
        reply: control_pb2.ExecuteReply,
    ) -> None:
        logs.write_event(
            'outcome',
            request=request.request,
            attempt=request.attempt,
            incarnation=self._own.incarnation,
            verdict=instance_module.name_verdict(reply.verdict),
            status=reply.status,
            answer=logs.digest(reply.body),
            reason=reply.reason,
        )

    async def _queue_and_send(
        self, request: control_pb2.ExecuteRequest
    ) -> control_pb2.ExecuteReply:
        begun = time.monotonic()
        deadline = begun + request.timeout_seconds
        self._own.queued += 1
        try:
            with anyio.fail_after(request.timeout_seconds):
                await self._slots.acquire()
        except TimeoutError:
            return _refuse('deadline passed in the queue')
        finally:
            self._own.queued -= 1
            metrics.QUEUE_SECONDS.record(
                time.monotonic() - begun, request.workload
            )
        self._own.busy_slots += 1
        holder = f'request/{request.attempt}'
        size = admission.read_size(request.size)
        try:
            if not self._own.commitments.try_commit(holder, size):
                return _refuse('no capacity')
            return await self._send(request, deadline)
        finally:
            self._own.commitments.release(holder)
            self._own.busy_slots -= 1
            self._slots.release()
            self._announce()

    async def _send(
        self, request: control_pb2.ExecuteRequest, deadline: float
    ) -> control_pb2.ExecuteReply:
        left = deadline - time.monotonic()
        if left <= 0:
            return _refuse('deadline passed in the queue')
        self._note_dispatch(request)
        try:
            answer = await self._backend.send(
                request.request, request.body, request.content_type, left
            )
        except (httpx.ConnectError, httpx.ConnectTimeout):
            return _refuse(backends.NO_CONNECTION)
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

    def _announce(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _refuse(reason: str) -> control_pb2.ExecuteReply:
    return control_pb2.ExecuteReply(
        verdict=control_pb2.NOT_RUN,
        reason=reason,
        retry_after_seconds=_BUSY_RETRY_AFTER,
    )
