"""Tasks on one instance: their admission, leases and ends."""

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

_WORKER_RETRY = 0.2
_BUSY_RETRY_AFTER = 0.1
_SETTLED_KEPT = 60.0
_PHASES = {
    'active': control_pb2.ACTIVE,
    'succeeded': control_pb2.SUCCEEDED,
    'failed': control_pb2.FAILED,
    'evicted': control_pb2.EVICTED,
    'stopped': control_pb2.STOPPED,
}
_WORKER_REFUSED = (exceptions.StaleIncarnation, exceptions.StaleEpoch)


class Supervisor:
    """Starts, renews and stops attempts at tasks on the worker.

    A reply carries a ticket: this process's monotonic time. A later
    request is granted until its ticket plus the lease, whenever it
    arrives. Otherwise a holder that is frozen between the check of its
    own lease and its send would extend, on waking, a lease that the
    next holder has waited out.
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
        self._rebuilding = anyio.Lock()
        self._ref_sets = refsets.RefSetReader()

    async def rebuild(self) -> None:
        """Take the worker over and recommit what it runs.

        Nothing is admitted before: a restarted sidecar knows nothing of
        the tasks its predecessor admitted, and would commit their
        processors and memory a second time.
        """
        while True:
            try:
                await self._take_over()
                return
            except exceptions.WorkerUnavailable as error:
                logs.write_warning('worker-unavailable', error=error)
                await anyio.sleep(_WORKER_RETRY)

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
        holder = _name_commitment(request.task, request.attempt)
        size = admission.read_size(request.size)
        limit = admission.subtract_headroom(self._own.commitments.capacity)
        if not reason and not self._own.commitments.try_commit(
            holder, size, limit
        ):
            reason = 'no capacity'
        if reason:
            self._bar((request.task, request.attempt), request.lease_seconds)
            return _refuse_start(reason)
        self._unsettled.add(holder)
        reply = await self._send_start(request, holder)
        if reply.verdict != control_pb2.UNKNOWN:
            self._settle(holder)
        return reply

    def _settle(self, holder: str) -> None:
        self._unsettled.discard(holder)
        self._settled_at[holder] = time.monotonic()

    async def _send_start(
        self, request: control_pb2.StartTaskRequest, holder: str
    ) -> control_pb2.StartTaskReply:
        until = request.ticket + request.lease_seconds
        tasklog.note_dispatch(self._own.incarnation, request)
        if not request.suspect:
            self._own.probation.note_start(request.task, request.attempt)
        try:
            await self._worker.start(self._describe_start(request), until)
        except (*_WORKER_REFUSED, exceptions.AttemptRefused) as error:
            self._own.commitments.release(holder)
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
        if not self._is_granted(request):
            return 'the lease is over'
        if request.boot != self._worker.boot:
            return 'the worker was restarted'
        if reason := self._own.find_staleness():
            return reason
        if request.revision < self._own.revision:
            return 'stale revision'
        self._own.note_revision(request.revision)
        if (request.task, request.attempt) in self._bars:
            return 'barred'
        if self._own.leaving:
            return reasons.LEAVING
        return self._own.probation.find_refusal(request.canary)

    def _accept_epoch(self, partition: int, epoch: int) -> bool:
        """Refuse a holder that another one has followed.

        It may have been frozen while its partition was taken over; on
        waking it would command tasks that its follower has moved.
        """
        highest = self._epochs.get(partition, 0)
        if epoch < highest:
            tasklog.note_refused_epoch(partition, epoch, highest)
            return False
        self._epochs[partition] = epoch
        return True

    def _find_end(self, request: control_pb2.RenewRequest) -> float:
        # Only a ticket of this process's past can extend a lease.
        granted = self._is_granted(request)
        return request.ticket + request.lease_seconds if granted else 0.0

    def _is_granted(self, request: t.Any) -> bool:
        now = time.monotonic()
        return request.ticket <= now < request.ticket + request.lease_seconds

    def _bar(self, key: workers.Attempt, lease_seconds: float) -> None:
        # A start sent before this moment is valid for a lease at most;
        # after that its ticket alone gets it refused.
        now = time.monotonic()
        self._bars[key] = now + lease_seconds
        for old in [key for key, end in self._bars.items() if end < now]:
            del self._bars[old]

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
        """Extend a partition's leases and tell how its tasks stand."""
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
        wanted = [(ref.task, ref.attempt) for ref in request.tasks]
        asked_at = time.monotonic()
        verdict = 'unknown'
        try:
            view = await self._renew_worker(request, wanted)
            verdict = 'renewed'
        except exceptions.WorkerUnavailable as error:
            return str(error)
        except _WORKER_REFUSED as error:
            verdict = 'refused'
            return str(error)
        finally:
            tasklog.note_renewal(
                self._own.incarnation, request, verdict, asked_at
            )
        reply.boot = view.boot
        for key in wanted:
            self._settle_asked(_name_commitment(*key))
        self._reconcile(view, asked_at)
        self._describe_states(request, wanted, view, reply)
        return ''

    async def _renew_worker(
        self, request: control_pb2.RenewRequest, wanted: list[workers.Attempt]
    ) -> workers.WorkerView:
        ended = tuple((ref.task, ref.attempt) for ref in request.acknowledged)
        for key in ended:
            self._bar(key, request.lease_seconds)
        renewal = workers.Renewal(
            incarnation=self._own.incarnation,
            partition=request.partition,
            epoch=request.epoch,
            tasks=tuple(wanted),
            until=self._find_end(request),
            lease_seconds=request.lease_seconds,
            acknowledged=ended,
        )
        try:
            return await self._worker.renew(renewal)
        except exceptions.StaleIncarnation:
            if self._worker.incarnation:
                raise
        # No sidecar has taken this worker over: it was restarted.
        await self._take_over()
        return await self._worker.renew(renewal)

    async def _take_over(self) -> None:
        asked_at = time.monotonic()
        async with self._rebuilding:
            view = await self._worker.take_over(
                self._own.incarnation, self._epochs
            )
        self._epochs.update(view.epochs)
        capacity = admission.Size(
            view.cores, view.memory_gb, view.accelerators
        )
        self._own.commitments.capacity = capacity
        self._reconcile(view, asked_at)
        tasklog.note_takeover(self._own.incarnation, view)

    def _describe_states(
        self,
        request: control_pb2.RenewRequest,
        wanted: list[workers.Attempt],
        view: workers.WorkerView,
        reply: control_pb2.RenewReply,
    ) -> None:
        found = {(task.task, task.attempt): task for task in view.tasks}
        for key in wanted:
            if key not in found:
                self._bar(key, request.lease_seconds)
            reply.states.append(self._describe_state(key, found.get(key)))
        for key, task in found.items():
            if key not in wanted and task.partition == request.partition:
                reply.unasked.append(self._describe_state(key, task))

    def _settle_asked(self, holder: str) -> None:
        # The worker has barred an attempt that it was asked about and
        # did not know; a start still on its way can't take the room.
        self._unsettled.discard(holder)

    def _reconcile(self, view: workers.WorkerView, asked_at: float) -> None:
        """Commit what the worker runs and release what has ended.

        A start that was under way when the worker was asked is missing
        in its answer, and keeps its commitment.
        """
        active = {
            _name_commitment(task.task, task.attempt): task
            for task in view.tasks
            if task.phase == 'active'
        }
        for name in self._own.commitments.list_holders('task/'):
            if name in active or name in self._unsettled:
                continue
            if self._settled_at.get(name, asked_at) <= asked_at:
                self._own.commitments.release(name)
                tasklog.note_freed(self._own.incarnation, name)
        self._settled_at = {
            name: at
            for name, at in self._settled_at.items()
            if at > asked_at - _SETTLED_KEPT
        }
        for name, task in active.items():
            size = admission.Size(
                task.cores, task.memory_gb, task.accelerators
            )
            self._own.commitments.restore(name, size)

    async def stop(
        self, request: control_pb2.StopTaskRequest
    ) -> control_pb2.StopTaskReply:
        """Stop one attempt, with a checkpoint if asked for."""
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
        except (exceptions.WorkerUnavailable, *_WORKER_REFUSED) as error:
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
            tasklog.note_ended(
                self._own.incarnation, key, phase, state.checkpoint
            )
        return state


def _name_commitment(task: str, attempt: int) -> str:
    return f'task/{task}/{attempt}'


def _refuse_start(reason: str) -> control_pb2.StartTaskReply:
    return control_pb2.StartTaskReply(
        verdict=control_pb2.NOT_RUN,
        reason=reason,
        retry_after_seconds=_BUSY_RETRY_AFTER,
    )
