"""The way of callers' tasks to the holders of their partitions."""

import typing as t

from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import holder as holder_module
from persimmonsail import problems

_FORWARD_TIMEOUT = 3.0
_RETRY_AFTER = 2.0


class TaskForwarder:
    """Brings callers' tasks to the holders of their partitions."""

    def __init__(self, entry: t.Any) -> None:
        self._entry = entry

    async def submit(
        self, task: str, workload: str, payload: bytes, timeout: float
    ) -> control_pb2.TaskReply:
        """Accept a task wherever its partition is held."""
        request = control_pb2.SubmitRequest(
            task=task,
            partition=_read_partition(task),
            workload=workload,
            payload=payload or b'{}',
            revision=self._entry.view.revision,
            timeout_seconds=timeout,
        )
        return await self._forward('Submit', request, self.submit_here)

    async def query(self, task: str, wait: float) -> control_pb2.TaskReply:
        """Return a task's state, after waiting for its end."""
        request = control_pb2.TaskQuery(
            task=task, partition=_read_partition(task), wait_seconds=wait
        )
        return await self._forward('Query', request, self.query_here, wait)

    async def cancel(self, task: str) -> control_pb2.TaskReply:
        """Ask for a task's end."""
        request = control_pb2.TaskQuery(
            task=task, partition=_read_partition(task)
        )
        return await self._forward('Cancel', request, self.cancel_here)

    async def submit_here(
        self, request: control_pb2.SubmitRequest
    ) -> control_pb2.TaskReply:
        """Accept a task of a partition held by this process."""
        holder = self._find_own(request.partition)
        if holder is None:
            return _not_held()
        if reason := self._find_refusal(request, holder):
            return control_pb2.TaskReply(
                reason=reason,
                verdict=control_pb2.NOT_RUN,
                retry_after_seconds=_RETRY_AFTER,
            )
        if request.workload not in self._entry.view.catalogue.workloads:
            return control_pb2.TaskReply(
                reason='the holder knows no such workload',
                verdict=control_pb2.NOT_RUN,
                retry_after_seconds=_RETRY_AFTER,
            )
        try:
            return _describe_task(await holder.submit(request))
        except exceptions.NotHolder as error:
            return control_pb2.TaskReply(
                reason=str(error), verdict=control_pb2.UNKNOWN
            )

    async def query_here(
        self, request: control_pb2.TaskQuery
    ) -> control_pb2.TaskReply:
        """Return the state of a task of a partition held here."""
        holder = self._find_own(request.partition)
        if holder is None:
            return _not_held()
        found = await holder.wait_final(request.task, request.wait_seconds)
        return _describe_found(found)

    async def cancel_here(
        self, request: control_pb2.TaskQuery
    ) -> control_pb2.TaskReply:
        """End a task of a partition held here."""
        holder = self._find_own(request.partition)
        if holder is None:
            return _not_held()
        return _describe_found(await holder.cancel(request.task))

    def _find_refusal(
        self,
        request: control_pb2.SubmitRequest,
        holder: holder_module.Holder,
    ) -> str:
        # 'Not run' would be false for a task accepted earlier.
        if request.task in holder.table.tasks:
            return ''
        view = self._entry.view
        if request.revision > view.revision:
            return 'the holder does not know the revision yet'
        return view.find_staleness()

    def _find_own(self, partition: int) -> holder_module.Holder | None:
        holder = self._entry.partitions.held.get(partition)
        return holder if holder is not None and holder.ready else None

    async def _forward(
        self,
        method: str,
        request: t.Any,
        here: t.Callable[[t.Any], t.Awaitable[control_pb2.TaskReply]],
        wait: float = 0.0,
    ) -> control_pb2.TaskReply:
        if self._find_own(request.partition) is not None:
            return _check_reply(await here(request))
        found = self._entry.partitions.find_holder(request.partition)
        if found is None:
            raise _not_held_problem('no entry holds the partition now')
        try:
            reply = await self._entry.links.call(
                found.control,
                control_grpc.EntryStub,
                method,
                request,
                _FORWARD_TIMEOUT + wait,
            )
        except exceptions.LinkLost as error:
            raise problems.Problem(
                504,
                'Outcome unknown',
                problems.UNKNOWN,
                str(error),
                _RETRY_AFTER,
            ) from error
        return _check_reply(reply)


def _read_partition(task: str) -> int:
    prefix, _, rest = task.partition('-')
    if not prefix.isdigit() or not rest:
        raise problems.Problem(404, 'No such task', problems.NOT_RUN, task)
    return int(prefix)


def _not_held() -> control_pb2.TaskReply:
    return control_pb2.TaskReply(
        reason='the partition is not held here',
        verdict=control_pb2.NOT_RUN,
        retry_after_seconds=_RETRY_AFTER,
    )


def _not_held_problem(detail: str) -> problems.Problem:
    return problems.Problem(
        503, 'Not accepted', problems.NOT_RUN, detail, _RETRY_AFTER
    )


def _describe_found(found: t.Any) -> control_pb2.TaskReply:
    if found is None:
        return control_pb2.TaskReply(reason='no such task')
    return _describe_task(found)


def _describe_task(task: t.Any) -> control_pb2.TaskReply:
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
    if reply.verdict == control_pb2.NOT_RUN:
        raise _not_held_problem(reply.reason)
    if reply.verdict == control_pb2.UNKNOWN:
        raise problems.Problem(
            504, 'Outcome unknown', problems.UNKNOWN, reply.reason
        )
    raise problems.Problem(404, 'No such task', problems.NOT_RUN, reply.reason)
