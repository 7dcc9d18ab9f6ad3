"""Admission, leases and completion of tasks on one instance."""

import time
import typing as t

import anyio

from persimmonsail.bookkeeping import reasons
from persimmonsail.bookkeeping import refsets
from persimmonsail import control_pb2
from persimmonsail.decisions import admission
from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail.sidecars import instance as instance_module
from persimmonsail.sidecars import tasklog
from persimmonsail.sidecars import workers

_WORKER_RETRY_SECONDS = 0.2
_BUSY_RETRY_AFTER_SECONDS = 0.1
_SETTLED_RETENTION_SECONDS = 60.0
_PHASES = {
    'active': control_pb2.ACTIVE,
    'succeeded': control_pb2.SUCCEEDED,
    'failed': control_pb2.FAILED,
    'evicted': control_pb2.EVICTED,
    'stopped': control_pb2.STOPPED,
}
_WORKER_REFUSALS = (exceptions.StaleIncarnation, exceptions.StaleEpoch)


class Supervisor:
    """Starts, renews and stops attempts at tasks on the worker.

    Each reply carries a ticket: this process's monotonic time. A lease
    that a later request grants ends at its ticket plus the duration,
    whenever the request arrives. Otherwise a holder that freezes between
    the check of its own lease and its send would, on resuming, extend a
    lease whose expiry the next holder has waited for.
    """

    def __init__(
        self, own: instance_module.OwnInstance, worker: workers.Worker
    ) -> None:
        self._own = own
        self._worker = worker
        self._epochs: dict[int, int] = {}
        self._bars: dict[workers.Attempt, float] = {}
        self._unsettled: set[str] = set()
        self._settled_at: dict[str, float] = {}
        self._takeover_lock = anyio.Lock()
        self._ref_sets = refsets.RefSetReader()

    async def rebuild(self) -> None:
        """Take the worker over and restore its tasks' commitments.

        Nothing is admitted before: a restarted sidecar has no record of
        the tasks its predecessor admitted, and would commit their
        processors and memory a second time.
        """
        while True:
            try:
                await self._take_over()
                return
            except exceptions.WorkerUnavailable as error:
                logs.write_warning('worker-unavailable', error=error)
                await anyio.sleep(_WORKER_RETRY_SECONDS)

    async def start(
        self, request: control_pb2.StartTaskRequest
    ) -> control_pb2.StartTaskReply:
        """Start one attempt at a task on the worker."""
        reply = await self._start(request)
        reply.ticket = time.monotonic()
        reply.boot = self._worker.boot
        reply.incarnation = self._own.incarnation
        return reply

    async def _start(
        self, request: control_pb2.StartTaskRequest
    ) -> control_pb2.StartTaskReply:
        reason = self._find_refusal(request)
        commitment = _name_commitment(request.task, request.attempt)
        size = admission.read_size(request.size)
        limit = admission.subtract_headroom(self._own.commitments.capacity)
        if not reason and not self._own.commitments.try_commit(
            commitment, size, limit
        ):
            reason = 'no capacity'
        if reason:
            self._bar((request.task, request.attempt), request.lease_seconds)
            return _refuse_start(reason)
        self._unsettled.add(commitment)
        reply = await self._send_start(request, commitment)
        if reply.verdict != control_pb2.UNKNOWN:
            self._mark_settled(commitment)
        return reply

    def _mark_settled(self, commitment: str) -> None:
        self._unsettled.discard(commitment)
        self._settled_at[commitment] = time.monotonic()

    async def _send_start(
        self, request: control_pb2.StartTaskRequest, commitment: str
    ) -> control_pb2.StartTaskReply:
        until = request.ticket + request.lease_seconds
        tasklog.log_dispatch(self._own.incarnation, request)
        if not request.suspect:
            self._own.probation.note_start(request.task, request.attempt)
        try:
            await self._worker.start(self._describe_start(request), until)
        except (*_WORKER_REFUSALS, exceptions.AttemptRefused) as error:
            self._own.commitments.release(commitment)
            self._own.probation.forget(request.task, request.attempt)
            self._bar((request.task, request.attempt), request.lease_seconds)
            return _refuse_start(str(error))
        except exceptions.WorkerUnavailable as error:
            return control_pb2.StartTaskReply(
                verdict=control_pb2.UNKNOWN, reason=str(error)
            )
        return control_pb2.StartTaskReply(verdict=control_pb2.RUNNING)

    def _find_refusal(self, request: control_pb2.StartTaskRequest) -> str:
        if request.incarnation != self._own.incarnation:
            return 'other incarnation'
        if not self._accept_epoch(request.partition, request.epoch):
            return reasons.LATER_EPOCH
        if not self._is_ticket_valid(request):
            return 'the lease is over'
        if request.boot != self._worker.boot:
            return 'the worker was restarted'
        if reason := self._own.find_staleness():
            return reason
        if request.revision < self._own.revision:
            return 'stale revision'
        self._own.record_revision(request.revision)
        if (request.task, request.attempt) in self._bars:
            return 'barred'
        if self._own.leaving:
            return reasons.LEAVING
        return self._own.probation.find_refusal(request.canary)

    def _accept_epoch(self, partition: int, epoch: int) -> bool:
        """Record a holder's epoch; return false if a later one is known.

        A holder that was frozen while its partition was taken over
        would, on resuming, command tasks that its successor has moved.
        """
        highest = self._epochs.get(partition, 0)
        if epoch < highest:
            tasklog.log_refused_epoch(partition, epoch, highest)
            return False
        self._epochs[partition] = epoch
        return True

    def _find_lease_end(self, request: control_pb2.RenewRequest) -> float:
        # Only a ticket from this process's past can extend a lease.
        is_valid = self._is_ticket_valid(request)
        return request.ticket + request.lease_seconds if is_valid else 0.0

    def _is_ticket_valid(self, request: t.Any) -> bool:
        now = time.monotonic()
        return request.ticket <= now < request.ticket + request.lease_seconds

    def _bar(self, key: workers.Attempt, lease_seconds: float) -> None:
        # A start sent before now is valid for at most one lease; after
        # that it is refused because of its ticket.
        now = time.monotonic()
        self._bars[key] = now + lease_seconds
        for expired in [key for key, end in self._bars.items() if end < now]:
            del self._bars[expired]

    def _describe_start(
        self, request: control_pb2.StartTaskRequest
    ) -> dict[str, t.Any]:
        return {
            'incarnation': self._own.incarnation,
            'task': request.task,
            'attempt': request.attempt,
            'partition': request.partition,
            'epoch': request.epoch,
            'workload': request.workload,
            'cores': request.size.cores,
            'memory_gb': request.size.memory_gb,
            'accelerators': request.size.accelerators,
            'payload': request.payload.decode(),
            'checkpoint': request.checkpoint,
        }

    async def renew(
        self, request: control_pb2.RenewRequest
    ) -> control_pb2.RenewReply:
        """Extend a partition's leases and report its tasks' states."""
        reply = control_pb2.RenewReply(incarnation=self._own.incarnation)
        if not self._ref_sets.restore(request):
            reply.reason = 'the tasks have to be named'
            reply.resend = True
            return reply
        reply.reason = await self._renew(request, reply)
        reply.accepted = not reply.reason
        refsets.drop_active(reply)
        reply.ticket = time.monotonic()
        return reply

    async def _renew(
        self, request: control_pb2.RenewRequest, reply: control_pb2.RenewReply
    ) -> str:
        if not self._accept_epoch(request.partition, request.epoch):
            return reasons.LATER_EPOCH
        reply.boot = self._worker.boot
        if request.incarnation != self._own.incarnation:
            return 'other incarnation'
        requested = [(ref.task, ref.attempt) for ref in request.tasks]
        requested_at = time.monotonic()
        verdict = 'unknown'
        try:
            view = await self._renew_worker(request, requested)
            verdict = 'renewed'
        except exceptions.WorkerUnavailable as error:
            return str(error)
        except _WORKER_REFUSALS as error:
            verdict = 'refused'
            return str(error)
        finally:
            tasklog.log_renewal(
                self._own.incarnation, request, verdict, requested_at
            )
        reply.boot = view.boot
        for key in requested:
            self._clear_unsettled(_name_commitment(*key))
        self._reconcile(view, requested_at)
        self._describe_states(request, requested, view, reply)
        return ''

    async def _renew_worker(
        self,
        request: control_pb2.RenewRequest,
        requested: list[workers.Attempt],
    ) -> workers.WorkerView:
        ended = tuple((ref.task, ref.attempt) for ref in request.acknowledged)
        for key in ended:
            self._bar(key, request.lease_seconds)
        renewal = workers.Renewal(
            incarnation=self._own.incarnation,
            partition=request.partition,
            epoch=request.epoch,
            tasks=tuple(requested),
            until=self._find_lease_end(request),
            lease_seconds=request.lease_seconds,
            acknowledged=ended,
        )
        try:
            return await self._worker.renew(renewal)
        except exceptions.StaleIncarnation:
            if self._worker.incarnation:
                raise
        # No sidecar has taken this worker over, so it was restarted.
        await self._take_over()
        return await self._worker.renew(renewal)

    async def _take_over(self) -> None:
        requested_at = time.monotonic()
        async with self._takeover_lock:
            view = await self._worker.take_over(
                self._own.incarnation, self._epochs
            )
        self._epochs.update(view.epochs)
        capacity = admission.Size(
            view.cores, view.memory_gb, view.accelerators
        )
        self._own.commitments.capacity = capacity
        self._reconcile(view, requested_at)
        tasklog.log_takeover(self._own.incarnation, view)

    def _describe_states(
        self,
        request: control_pb2.RenewRequest,
        requested: list[workers.Attempt],
        view: workers.WorkerView,
        reply: control_pb2.RenewReply,
    ) -> None:
        found_tasks = {(task.task, task.attempt): task for task in view.tasks}
        for key in requested:
            if key not in found_tasks:
                self._bar(key, request.lease_seconds)
            reply.states.append(
                self._describe_state(key, found_tasks.get(key))
            )
        for key, task in found_tasks.items():
            if key not in requested and task.partition == request.partition:
                reply.unasked.append(self._describe_state(key, task))

    def _clear_unsettled(self, commitment: str) -> None:
        # The worker bars a requested attempt that it does not know, so a
        # start that is still in transit cannot use the capacity.
        self._unsettled.discard(commitment)

    def _reconcile(
        self, view: workers.WorkerView, requested_at: float
    ) -> None:
        """Commit running tasks and release the commitments of ended ones.

        A start that was in transit when the worker was queried is
        missing from its answer, and retains its commitment.
        """
        active = {
            _name_commitment(task.task, task.attempt): task
            for task in view.tasks
            if task.phase == 'active'
        }
        for name in self._own.commitments.list_holders('task/'):
            if name in active or name in self._unsettled:
                continue
            if self._settled_at.get(name, requested_at) <= requested_at:
                self._own.commitments.release(name)
                tasklog.log_freed(self._own.incarnation, name)
        self._settled_at = {
            name: at
            for name, at in self._settled_at.items()
            if at > requested_at - _SETTLED_RETENTION_SECONDS
        }
        for name, task in active.items():
            size = admission.Size(
                task.cores, task.memory_gb, task.accelerators
            )
            self._own.commitments.restore(name, size)

    async def stop(
        self, request: control_pb2.StopTaskRequest
    ) -> control_pb2.StopTaskReply:
        """Stop one attempt, with a checkpoint if requested."""
        reply = control_pb2.StopTaskReply()
        if not self._accept_epoch(request.partition, request.epoch):
            reply.reason = reasons.LATER_EPOCH
            return reply
        key = (request.task, request.attempt)
        self._bar(key, request.lease_seconds)
        try:
            task = await self._worker.stop(
                {
                    'incarnation': self._own.incarnation,
                    'task': request.task,
                    'attempt': request.attempt,
                    'partition': request.partition,
                    'epoch': request.epoch,
                    'checkpoint': request.checkpoint,
                    'lease_seconds': request.lease_seconds,
                }
            )
        except (exceptions.WorkerUnavailable, *_WORKER_REFUSALS) as error:
            reply.reason = str(error)
            return reply
        if task is None or task.phase != 'active':
            self._own.commitments.release(_name_commitment(*key))
        reply.accepted = True
        reply.boot = self._worker.boot
        reply.state.CopyFrom(self._describe_state(key, task))
        return reply

    def _describe_state(
        self, key: workers.Attempt, task: workers.WorkerTask | None
    ) -> control_pb2.TaskState:
        state = control_pb2.TaskState(task=key[0], attempt=key[1])
        state.phase = control_pb2.ABSENT
        phase = task.phase if task else 'absent'
        self._own.probation.note_phase(*key, phase)
        if task is not None:
            state.phase = _PHASES[task.phase]
            state.answer = task.answer
            state.checkpoint = task.checkpoint
        if state.phase != control_pb2.ACTIVE:
            tasklog.log_ended(
                self._own.incarnation, key, phase, state.checkpoint
            )
        return state


def _name_commitment(task: str, attempt: int) -> str:
    return f'task/{task}/{attempt}'


def _refuse_start(reason: str) -> control_pb2.StartTaskReply:
    return control_pb2.StartTaskReply(
        verdict=control_pb2.NOT_RUN,
        reason=reason,
        retry_after_seconds=_BUSY_RETRY_AFTER_SECONDS,
    )
