"""Forwarding of task calls to the holders of their partitions."""

import re
import time
import typing as t

import anyio

from persimmonsail.bookkeeping import records
from persimmonsail.bookkeeping import tasks
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail.partitioning import holder as holder_module
from persimmonsail import problems

_TIME_BUDGET_SECONDS = 6.0
_CALL_TIMEOUT_SECONDS = 4.0
_MAX_QUERY_WAIT_SECONDS = 2.0
_MAX_COMMIT_SECONDS = 3.5
_RETRY_PERIOD_SECONDS = 0.1
_RETRY_AFTER_SECONDS = 2.0
_PARTITION_PREFIX = re.compile('[0-9]{3}')
_LocalCall = t.Callable[[t.Any], t.Awaitable[control_pb2.TaskReply]]


class TaskForwarder:
    """Forwards task calls to the holders of their partitions.

    While a partition changes holders, calls are retried at the next one
    for some seconds. That is safe because the task's name is derived
    from the caller's key, and the ledger accepts each name once.
    """

    def __init__(self, entry: t.Any) -> None:
        self._entry = entry

    async def submit(
        self, task: str, workload: str, payload: bytes, timeout: float
    ) -> control_pb2.TaskReply:
        """Submit a task to the holder of its partition."""
        request = control_pb2.SubmitRequest(
            task=task,
            partition=_parse_partition(task),
            workload=workload,
            payload=payload or b'{}',
            revision=self._entry.view.revision,
            timeout_seconds=min(timeout, _MAX_COMMIT_SECONDS),
        )
        seconds = min(timeout, _TIME_BUDGET_SECONDS)
        return await self._forward(
            'Submit', request, self.submit_local, seconds
        )

    async def query(self, task: str, wait: float) -> control_pb2.TaskReply:
        """Return a task's state, waiting up to ``wait`` for its end."""
        request = control_pb2.TaskQuery(
            task=task, partition=_parse_partition(task), wait_seconds=wait
        )
        deadline = time.monotonic() + wait
        while True:
            # Short waits, so that a frozen holder is detected.
            remaining = max(deadline - time.monotonic(), 0)
            request.wait_seconds = min(remaining, _MAX_QUERY_WAIT_SECONDS)
            reply = await self._forward(
                'Query',
                request,
                self.query_local,
                remaining + _TIME_BUDGET_SECONDS,
            )
            if not remaining or reply.phase in records.FINAL_PHASES:
                return reply

    async def cancel(self, task: str) -> control_pb2.TaskReply:
        """Request a task's cancellation."""
        request = control_pb2.TaskQuery(
            task=task, partition=_parse_partition(task)
        )
        return await self._forward(
            'Cancel', request, self.cancel_local, _TIME_BUDGET_SECONDS
        )

    async def submit_local(
        self, request: control_pb2.SubmitRequest
    ) -> control_pb2.TaskReply:
        """Accept a task of a partition that this process holds."""
        holder = self._find_local_holder(request.partition)
        if holder is None:
            return _make_not_held_reply()
        if reason := self._find_refusal(request, holder):
            return control_pb2.TaskReply(
                reason=reason,
                verdict=control_pb2.NOT_RUN,
                retry_after_seconds=_RETRY_AFTER_SECONDS,
            )
        if request.workload not in self._entry.view.catalogue.workloads:
            return control_pb2.TaskReply(
                reason='the holder knows no such workload',
                verdict=control_pb2.NOT_RUN,
                retry_after_seconds=_RETRY_AFTER_SECONDS,
            )
        return await _await_reply(holder, holder.submit(request))

    async def query_local(
        self, request: control_pb2.TaskQuery
    ) -> control_pb2.TaskReply:
        """Return the state of a task that this process holds."""
        holder = self._find_local_holder(request.partition)
        if holder is None:
            return _make_not_held_reply()
        waiting = holder.wait_final(request.task, request.wait_seconds)
        return await _await_reply(holder, waiting)

    async def cancel_local(
        self, request: control_pb2.TaskQuery
    ) -> control_pb2.TaskReply:
        """Cancel a task that this process holds."""
        holder = self._find_local_holder(request.partition)
        if holder is None:
            return _make_not_held_reply()
        return await _await_reply(holder, holder.cancel(request.task))

    def _find_refusal(
        self,
        request: control_pb2.SubmitRequest,
        holder: holder_module.Holder,
    ) -> str:
        # 'Not run' would be wrong for a task that was accepted earlier.
        if request.task in holder.table.tasks:
            return ''
        view = self._entry.view
        if request.revision > view.revision:
            return 'the holder does not know the revision yet'
        return view.find_staleness()

    def _find_local_holder(
        self, partition: int
    ) -> holder_module.Holder | None:
        holder = self._entry.partitions.held.get(partition)
        return holder if holder is not None and holder.ready else None

    async def _forward(
        self,
        method: str,
        request: t.Any,
        call_local: _LocalCall,
        seconds: float,
    ) -> control_pb2.TaskReply:
        if request.partition >= self._entry.settings.entry.partitions:
            # No entry will ever hold it, so a retry would not help.
            raise problems.Problem(
                404, 'No such task', problems.NOT_RUN, request.task
            )
        deadline = time.monotonic() + seconds
        reply = _make_not_held_reply()
        uncertain = False
        while (remaining := deadline - time.monotonic()) > 0:
            reply = await self._call_holder(
                method, request, call_local, remaining
            )
            if not reply.moved:
                break
            uncertain = uncertain or reply.verdict == control_pb2.UNKNOWN
            if self._is_without_holder(request.partition):
                break
            await anyio.sleep(_RETRY_PERIOD_SECONDS)
        if uncertain and reply.verdict == control_pb2.NOT_RUN:
            # Only the last attempt is known not to have taken effect.
            reply.verdict = control_pb2.UNKNOWN
        return _check_reply(reply)

    def _is_without_holder(self, partition: int) -> bool:
        """Whether there is no holder and none can start without the store."""
        partitions = self._entry.partitions
        return (
            partitions.find_holder(partition) is None
            and not partitions.lease_is_valid
        )

    async def _call_holder(
        self,
        method: str,
        request: t.Any,
        call_local: _LocalCall,
        remaining: float,
    ) -> control_pb2.TaskReply:
        if self._find_local_holder(request.partition) is not None:
            return await call_local(request)
        found = self._entry.partitions.find_holder(request.partition)
        if found is None or found.id == self._entry.partitions.promises.id:
            return _make_not_held_reply()
        try:
            return await self._entry.links.call(
                found.control,
                control_grpc.EntryStub,
                method,
                request,
                min(remaining, _CALL_TIMEOUT_SECONDS),
            )
        except exceptions.LinkLost as error:
            return control_pb2.TaskReply(
                reason=str(error),
                verdict=control_pb2.UNKNOWN,
                moved=True,
                retry_after_seconds=_RETRY_AFTER_SECONDS,
            )


async def _await_reply(
    holder: holder_module.Holder, call: t.Awaitable[tasks.Task | None]
) -> control_pb2.TaskReply:
    try:
        return _describe_found(await call)
    except exceptions.NotAccepted as error:
        return control_pb2.TaskReply(
            reason=str(error),
            verdict=control_pb2.NOT_RUN,
            status=error.status,
            retry_after_seconds=error.retry_after,
        )
    except (exceptions.NotCommitted, exceptions.NotHolder) as error:
        verdict, reason = control_pb2.NOT_RUN, str(error)
    except exceptions.CommitUnknown as error:
        verdict, reason = control_pb2.UNKNOWN, str(error)
    return control_pb2.TaskReply(
        reason=reason,
        verdict=verdict,
        moved=not holder.ready,
        retry_after_seconds=_RETRY_AFTER_SECONDS,
    )


def _parse_partition(task: str) -> int:
    prefix, _, rest = task.partition('-')
    if not _PARTITION_PREFIX.fullmatch(prefix) or not rest:
        raise problems.Problem(404, 'No such task', problems.NOT_RUN, task)
    return int(prefix)


def _make_not_held_reply() -> control_pb2.TaskReply:
    return control_pb2.TaskReply(
        reason='no entry holds the partition now',
        moved=True,
        verdict=control_pb2.NOT_RUN,
        retry_after_seconds=_RETRY_AFTER_SECONDS,
    )


def _describe_found(found: tasks.Task | None) -> control_pb2.TaskReply:
    if found is None:
        return control_pb2.TaskReply(reason='no such task')
    return _describe_task(found)


def _describe_task(task: tasks.Task) -> control_pb2.TaskReply:
    return control_pb2.TaskReply(
        accepted=True,
        phase=task.phase,
        answer=task.answer,
        reason=task.reason,
        instance=task.instance,
        workload=task.workload,
        attempt=task.attempt,
    )


def _check_reply(reply: control_pb2.TaskReply) -> control_pb2.TaskReply:
    if reply.accepted:
        return reply
    if reply.verdict == control_pb2.NOT_RUN and reply.status:
        raise problems.Problem(
            reply.status,
            'Not accepted',
            problems.NOT_RUN,
            reply.reason,
            reply.retry_after_seconds,
        )
    if reply.verdict == control_pb2.NOT_RUN:
        raise problems.Problem(
            503,
            'Not accepted',
            problems.NOT_RUN,
            reply.reason,
            _RETRY_AFTER_SECONDS,
        )
    if reply.verdict == control_pb2.UNKNOWN:
        raise problems.Problem(
            504,
            'Outcome unknown',
            problems.UNKNOWN,
            reply.reason,
            _RETRY_AFTER_SECONDS,
        )
    raise problems.Problem(404, 'No such task', problems.NOT_RUN, reply.reason)
