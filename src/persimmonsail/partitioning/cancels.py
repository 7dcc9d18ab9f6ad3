"""Cancellation of tasks at their callers' request."""

import anyio
import anyio.abc

from persimmonsail.bookkeeping import records
from persimmonsail.bookkeeping import tasks
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail.partitioning import endings as endings_module
from persimmonsail.partitioning import holdercontext

_STOP_TIMEOUT_SECONDS = 1.5
_SCAN_PERIOD_SECONDS = 0.1
_MAX_CONCURRENT_STOPS = 64


class Canceller:
    """Stops cancelled tasks; a burst of them shares a few commits."""

    def __init__(
        self,
        context: holdercontext.HolderContext,
        endings: endings_module.Endings,
    ) -> None:
        self._context = context
        self._endings = endings
        self._limiter = anyio.Semaphore(_MAX_CONCURRENT_STOPS)

    async def run(self) -> None:
        """Process cancellation requests until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                if self._context.authority.lease_is_valid:
                    self._start_cancels(group)
                await anyio.sleep(_SCAN_PERIOD_SECONDS)

    def _start_cancels(self, group: anyio.abc.TaskGroup) -> None:
        for task in list(self._context.table.tasks.values()):
            if not task.cancel_asked or task.is_final:
                continue
            if task.id not in self._context.task_locks:
                group.start_soon(self._cancel, task)

    async def _cancel(self, task: tasks.Task) -> None:
        if task.id in self._context.task_locks or task.is_final:
            return
        with self._context.task_locks.acquire(task.id):
            if task.phase is records.TaskPhase.PENDING:
                await self._commit_cancelled(task)
            else:
                async with self._limiter:
                    await self._stop(task)

    async def _stop(self, task: tasks.Task) -> None:
        instance = self._context.fleet.find(task.instance)
        if instance is None:
            return
        request = control_pb2.StopTaskRequest(
            task=task.id,
            attempt=task.attempt,
            partition=self._context.partition,
            epoch=self._context.epoch,
            lease_seconds=self._context.lease_seconds,
        )
        try:
            reply = await self._context.links.call(
                instance.address,
                control_grpc.SidecarStub,
                'StopTask',
                request,
                _STOP_TIMEOUT_SECONDS,
            )
        except exceptions.LinkLost:
            return
        if not reply.accepted:
            return
        if reply.state.phase == control_pb2.SUCCEEDED:
            await self._endings.note_state(task, reply.state, reply.boot)
        else:
            await self._commit_cancelled(task)

    async def _commit_cancelled(self, task: tasks.Task) -> None:
        await self._endings.finish(
            task, records.TaskPhase.CANCELLED, 'cancelled'
        )
