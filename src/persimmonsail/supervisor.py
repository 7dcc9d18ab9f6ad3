"""Tasks on one instance: their admission, leases and ends."""

import dataclasses
import time
import typing as t

import anyio

from persimmonsail import admission
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import instance as instance_module
from persimmonsail import logs
from persimmonsail import workers

_WORKER_RETRY = 0.2
_BUSY_RETRY_AFTER = 0.1
_PHASES = {
    'active': control_pb2.ACTIVE,
    'succeeded': control_pb2.SUCCEEDED,
    'failed': control_pb2.FAILED,
    'evicted': control_pb2.EVICTED,
    'stopped': control_pb2.STOPPED,
}


class Supervisor:
    """Starts, renews and stops attempts at tasks on the worker."""

    def __init__(
        self, own: instance_module.OwnInstance, worker: workers.Worker
    ) -> None:
        self._own = own
        self._worker = worker
        self._epochs: dict[int, int] = {}
        self._barred: set[tuple[str, int]] = set()

    async def rebuild(self) -> None:
        """Take the worker over and recommit what it runs.

        Nothing is admitted before: a restarted sidecar knows nothing of
        the tasks its predecessor admitted, and would commit their
        processors and memory a second time.
        """
        while True:
            try:
                view = await self._worker.take_over(self._own.incarnation)
                break
            except exceptions.WorkerUnavailable as error:
                logs.write_warning('worker-unavailable', error=error)
                await anyio.sleep(_WORKER_RETRY)
        capacity = admission.Size(
            view.cores, view.memory_gb, view.accelerators
        )
        self._own.commitments = admission.Commitments(capacity)
        logs.write_event(
            'takeover',
            incarnation=self._own.incarnation,
            worker_boot=view.boot,
            **_describe_size(capacity),
        )
        for task in view.tasks:
            if task.phase == 'active':
                self._note_found(task)
                size = admission.Size(
                    task.cores, task.memory_gb, task.accelerators
                )
                self._own.commitments.try_commit(f'task/{task.task}', size)

    async def start(
        self, request: control_pb2.StartTaskRequest
    ) -> control_pb2.StartTaskReply:
        """Start one attempt at a task on the worker."""
        reason = self._find_refusal(request)
        holder = f'task/{request.task}'
        size = admission.read_size(request.size)
        limit = admission.leave_headroom(self._own.commitments.capacity)
        if not reason and not self._own.commitments.try_commit(
            holder, size, limit
        ):
            reason = 'no capacity'
        if reason:
            self._barred.add((request.task, request.attempt))
            return control_pb2.StartTaskReply(
                verdict=control_pb2.NOT_RUN,
                reason=reason,
                retry_after_seconds=_BUSY_RETRY_AFTER,
            )
        self._note_dispatch(request)
        try:
            await self._worker.start(self._describe_start(request))
        except exceptions.StaleIncarnation as error:
            self._own.commitments.release(holder)
            return control_pb2.StartTaskReply(
                verdict=control_pb2.NOT_RUN, reason=str(error)
            )
        except exceptions.WorkerUnavailable as error:
            return control_pb2.StartTaskReply(
                verdict=control_pb2.UNKNOWN, reason=str(error)
            )
        return control_pb2.StartTaskReply(verdict=control_pb2.RUNNING)

    def _find_refusal(self, request: control_pb2.StartTaskRequest) -> str:
        if request.incarnation != self._own.incarnation:
            return 'other incarnation'
        if request.epoch < self._epochs.get(request.partition, 0):
            return 'a later epoch is known'
        self._epochs[request.partition] = request.epoch
        if reason := self._own.find_staleness():
            return reason
        if request.revision < self._own.revision:
            return 'stale revision'
        self._own.note_revision(request.revision)
        if (request.task, request.attempt) in self._barred:
            return 'barred'
        return 'leaving' if self._own.leaving else ''

    def _describe_start(
        self, request: control_pb2.StartTaskRequest
    ) -> dict[str, t.Any]:
        return {
            'incarnation': self._own.incarnation,
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

    async def renew(
        self, request: control_pb2.RenewRequest
    ) -> control_pb2.RenewReply:
        """Extend a partition's leases and tell how its tasks stand."""
        reply = control_pb2.RenewReply(incarnation=self._own.incarnation)
        if request.epoch < self._epochs.get(request.partition, 0):
            reply.reason = 'a later epoch is known'
            return reply
        self._epochs[request.partition] = request.epoch
        wanted = [(ref.task, ref.attempt) for ref in request.tasks]
        asked_at = time.monotonic()
        verdict = 'unknown'
        try:
            view = await self._worker.renew(
                self._own.incarnation, wanted, request.lease_seconds
            )
            verdict = 'renewed'
        except exceptions.WorkerUnavailable as error:
            reply.reason = str(error)
            return reply
        except exceptions.StaleIncarnation as error:
            verdict = 'refused'
            reply.reason = str(error)
            return reply
        finally:
            took = time.monotonic() - asked_at
            self._note_renewal(request, verdict, took)
        reply.accepted = True
        found = {(task.task, task.attempt): task for task in view.tasks}
        for key in wanted:
            reply.states.append(self._describe_state(key, found.get(key)))
        return reply

    def _describe_state(
        self, key: tuple[str, int], task: workers.WorkerTask | None
    ) -> control_pb2.TaskState:
        state = control_pb2.TaskState(task=key[0], attempt=key[1])
        if task is None:
            # The start may still be on its way; barred, it can't run
            # after the holder has claimed the task elsewhere.
            self._barred.add(key)
            state.phase = control_pb2.ABSENT
            self._note_ended(key, 'absent', '')
            return state
        state.phase = _PHASES[task.phase]
        state.answer = task.answer
        state.checkpoint = task.checkpoint
        if task.phase != 'active':
            self._note_ended(key, task.phase, task.checkpoint)
            self._own.commitments.release(f'task/{task.task}')
        return state

    async def stop(
        self, request: control_pb2.StopTaskRequest
    ) -> control_pb2.StopTaskReply:
        """Stop one attempt, with a checkpoint if asked for."""
        reply = control_pb2.StopTaskReply()
        if request.epoch < self._epochs.get(request.partition, 0):
            reply.reason = 'a later epoch is known'
            return reply
        self._barred.add((request.task, request.attempt))
        key = (request.task, request.attempt)
        try:
            task = await self._worker.stop(
                self._own.incarnation, *key, request.checkpoint
            )
        except (
            exceptions.WorkerUnavailable,
            exceptions.StaleIncarnation,
        ) as error:
            reply.reason = str(error)
            return reply
        reply.accepted = True
        reply.state.CopyFrom(self._describe_state(key, task))
        return reply

    def _note_found(self, task: workers.WorkerTask) -> None:
        logs.write_event(
            'task-found',
            task=task.task,
            attempt=task.attempt,
            incarnation=self._own.incarnation,
            cores=task.cores,
            memory_gb=task.memory_gb,
            accelerators=task.accelerators,
        )

    def _note_dispatch(self, request: control_pb2.StartTaskRequest) -> None:
        # Written before the worker is called: a sidecar that dies in
        # the call leaves evidence that the attempt may have run.
        logs.write_event(
            'task-dispatch',
            task=request.task,
            attempt=request.attempt,
            partition=request.partition,
            epoch=request.epoch,
            incarnation=self._own.incarnation,
            revision=request.revision,
            lease_seconds=request.lease_seconds,
            checkpoint=logs.digest(request.checkpoint.encode()),
            **_describe_size(admission.read_size(request.size)),
        )

    def _note_renewal(
        self, request: control_pb2.RenewRequest, verdict: str, took: float
    ) -> None:
        # Written after the call: the worker's own deadline is not later
        # than this line's time and the lease.
        logs.write_event(
            'renewal',
            partition=request.partition,
            epoch=request.epoch,
            incarnation=self._own.incarnation,
            lease_seconds=request.lease_seconds,
            verdict=verdict,
            took=took,
            tasks=','.join(f'{r.task}/{r.attempt}' for r in request.tasks),
        )

    def _note_ended(
        self, key: tuple[str, int], phase: str, checkpoint: str
    ) -> None:
        logs.write_event(
            'task-ended',
            task=key[0],
            attempt=key[1],
            incarnation=self._own.incarnation,
            phase=phase,
            checkpoint=logs.digest(checkpoint.encode()),
        )


def _describe_size(size: admission.Size) -> dict[str, float]:
    return dataclasses.asdict(size)
