"""Quick requests on one instance: queue, slots and backend server."""

import random
import time

import anyio
import anyio.abc

from persimmonsail import control_pb2
from persimmonsail.decisions import admission
from persimmonsail.decisions import backlog
from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail import metrics
from persimmonsail import settings as settings_module
from persimmonsail.sidecars import attempts
from persimmonsail.sidecars import backends
from persimmonsail.sidecars import instance as instance_module

_PROBE_CONNECTIONS = 1


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
        self._group = group
        slots = count_slots(settings)
        self._max_admitted = slots + settings.queue
        self._slots = anyio.Semaphore(slots)
        self._backlog = backlog.Backlog(slots, random.Random(own.incarnation))
        self._attempts = attempts.AttemptTable(settings.attempt_window)
        self._changed = anyio.Event()

    async def execute(
        self, request: control_pb2.ExecuteRequest
    ) -> control_pb2.ExecuteReply:
        """Run an attempt, or return the outcome it already has."""
        if request.incarnation != self._own.incarnation:
            return _refuse_unrecorded(request, 'other incarnation')
        known = self._attempts.find(request.attempt)
        if known is not None:
            await known.ended.wait()
            return known.reply
        expired = self._attempts.is_expired(request.issued_ms)
        reason = self._find_refusal(request)
        if reason and not (expired and request.resent):
            # Barred as well: a second copy that arrives once there is
            # free capacity would otherwise run after the refusal.
            return self._refuse(request, reason)
        if expired:
            return _refuse_unrecorded(request, 'issued too long ago')
        return await self._run_attempt(request)

    async def settle(
        self, request: control_pb2.SettleRequest
    ) -> control_pb2.ExecuteReply:
        """Return an attempt's outcome, or bar it permanently."""
        if request.incarnation != self._own.incarnation:
            return _make_unknown_reply('other incarnation')
        known = self._attempts.find(request.attempt)
        if known is None:
            if self._attempts.is_expired(request.issued_ms):
                return _make_unknown_reply('its record is no longer kept')
            return self._attempts.bar(request.attempt, request.issued_ms)
        if request.cancel:
            known.cancelled = True
            known.scope.cancel()
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
        if reason := self._own.find_staleness():
            return reason
        if request.revision < self._own.revision:
            return 'stale revision'
        self._own.record_revision(request.revision)
        if self._own.leaving:
            return 'leaving'
        if self._own.backend_leaving:
            return 'the backend server is leaving'
        admitted = self._own.busy_slots + self._own.queued
        if admitted >= self._max_admitted:
            return 'queue full'
        wait = self._backlog.estimate_wait(
            self._own.busy_slots, self._own.queued
        )
        if wait > request.timeout_seconds:
            return 'the queue takes longer than the deadline'
        return ''

    def _refuse(
        self, request: control_pb2.ExecuteRequest, reason: str
    ) -> control_pb2.ExecuteReply:
        reply = self._attempts.bar(request.attempt, request.issued_ms, reason)
        reply.retry_after_seconds = self._suggest_retry_after()
        return reply

    def _suggest_retry_after(self) -> float:
        return self._backlog.suggest_retry_delay(
            self._own.busy_slots, self._own.queued
        )

    async def _run_attempt(
        self, request: control_pb2.ExecuteRequest
    ) -> control_pb2.ExecuteReply:
        # The call's own task is cancelled when its link breaks. The work
        # runs in a task of the sidecar, so that its outcome is retained
        # for settlement of the attempt over a new link.
        attempt = self._attempts.begin(request.attempt, request.issued_ms)
        # Counted before its task starts: otherwise every request of a
        # simultaneous burst would pass the check of the queue's length.
        self._own.queued += 1
        self._group.start_soon(self._finish_attempt, attempt, request)
        await attempt.ended.wait()
        return attempt.reply

    async def _finish_attempt(
        self,
        attempt: attempts.Attempt,
        request: control_pb2.ExecuteRequest,
    ) -> None:
        reply = cut_off = _make_unknown_reply('cut off')
        try:
            with attempt.scope:
                reply = await self._queue_and_send(request)
            if attempt.scope.cancelled_caught and reply is cut_off:
                # Cancelled by its entry: another attempt was faster. The
                # logs must distinguish this from work that a stop of the
                # sidecar cut off.
                reply = _make_unknown_reply('no longer wanted')
        finally:
            self._attempts.end(attempt, reply)
            self._log_outcome(request, reply)
            self._notify_change()

    def _log_dispatch(self, request: control_pb2.ExecuteRequest) -> None:
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

    def _log_outcome(
        self,
        request: control_pb2.ExecuteRequest,
        reply: control_pb2.ExecuteReply,
    ) -> None:
        # The audit's evidence of what ran, even if no caller waits.
        logs.write_event(
            'outcome',
            request=request.request,
            attempt=request.attempt,
            incarnation=self._own.incarnation,
            verdict=instance_module.name_verdict(reply.verdict),
            status=reply.status,
            answer=logs.digest(reply.body),
            reason=reply.reason,
            busy_slots=self._own.busy_slots,
            queued=self._own.queued,
        )

    async def _queue_and_send(
        self, request: control_pb2.ExecuteRequest
    ) -> control_pb2.ExecuteReply:
        queued_at = time.monotonic()
        deadline = queued_at + request.timeout_seconds
        try:
            with anyio.fail_after(request.timeout_seconds):
                await self._slots.acquire()
        except TimeoutError:
            return self._make_refusal('deadline passed in the queue')
        except anyio.get_cancelled_exc_class():
            # Nothing was sent yet, so the request certainly did not run.
            return self._make_refusal('cancelled in the queue')
        finally:
            self._own.queued -= 1
            metrics.QUEUE_SECONDS.record(
                time.monotonic() - queued_at, request.workload
            )
        self._own.busy_slots += 1
        holder = f'request/{request.attempt}'
        size = admission.read_size(request.size)
        try:
            commitments = self._own.commitments
            limit = admission.find_quick_limit(
                commitments.capacity, request.urgent
            )
            if not commitments.try_commit(holder, size, limit):
                return self._make_refusal('no capacity')
            return await self._send(request, deadline)
        finally:
            self._own.commitments.release(holder)
            self._own.busy_slots -= 1
            self._slots.release()

    async def _send(
        self, request: control_pb2.ExecuteRequest, deadline: float
    ) -> control_pb2.ExecuteReply:
        started_at = time.monotonic()
        if started_at >= deadline:
            return self._make_refusal('deadline passed in the queue')
        self._log_dispatch(request)
        try:
            answer = await self._backend.send(
                request.request,
                request.body,
                request.content_type,
                deadline - started_at,
            )
        except exceptions.BackendNotConnected as error:
            return self._make_refusal(str(error))
        except exceptions.BackendAnswerLost as error:
            return _make_unknown_reply(str(error))
        ended_at = time.monotonic()
        self._own.latencies.note(
            request.workload, ended_at - started_at, ended_at
        )
        self._backlog.note_service(ended_at - started_at)
        return control_pb2.ExecuteReply(
            verdict=control_pb2.ANSWERED,
            status=answer.status,
            body=answer.body,
            content_type=answer.content_type,
            ran_as=request.request,
        )

    def _make_refusal(self, reason: str) -> control_pb2.ExecuteReply:
        return control_pb2.ExecuteReply(
            verdict=control_pb2.NOT_RUN,
            reason=reason,
            retry_after_seconds=self._suggest_retry_after(),
        )

    def _notify_change(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def count_slots(settings: settings_module.Sidecar) -> int:
    """Return the maximum of concurrent requests to the backend server.

    Each takes one slot and one connection; one connection is reserved
    for the health probe.
    """
    connections = max(settings.connections - _PROBE_CONNECTIONS, 1)
    return min(settings.slots, connections)


def _make_unknown_reply(reason: str) -> control_pb2.ExecuteReply:
    return control_pb2.ExecuteReply(verdict=control_pb2.UNKNOWN, reason=reason)


def _refuse_unrecorded(
    request: control_pb2.ExecuteRequest, reason: str
) -> control_pb2.ExecuteReply:
    # An earlier copy of a resent request may have run and its record may
    # be gone; 'not run' is certain only for a request sent once.
    if request.resent:
        return _make_unknown_reply(reason)
    return control_pb2.ExecuteReply(verdict=control_pb2.NOT_RUN, reason=reason)
