"""What the leader's entry does for the other entries."""

import typing as t

from persimmonsail.jobs import clock
from persimmonsail.jobs import fleet_grpc
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import intake as intake_module

if t.TYPE_CHECKING:
    from persimmonsail.jobs import leader as leader_module


class LeaderService(fleet_grpc.LeaderBase):
    """Answers other entries' questions to the leader."""

    def __init__(
        self,
        intake: intake_module.Intake,
        get_own: t.Callable[[], 'leader_module.Leader | None'],
    ) -> None:
        self._intake = intake
        self._get_own = get_own

    async def Submit(self, stream: t.Any) -> None:
        """Store a job for an entry that can't reach the store."""
        query = await stream.recv_message()
        until = clock.read() + query.wait_seconds
        outcome = await self._intake.store_job(
            query.job, query.submission, until
        )
        reply = fleet_pb2.OutcomeReply(outcome=outcome.value)
        await stream.send_message(reply)

    async def Cancel(self, stream: t.Any) -> None:
        """Cancel a job for an entry that can't reach the store."""
        query = await stream.recv_message()
        until = clock.read() + query.wait_seconds
        outcome = await self._intake.store_cancel(query.job, until)
        reply = fleet_pb2.OutcomeReply(outcome=outcome.value)
        await stream.send_message(reply)

    async def FindJob(self, stream: t.Any) -> None:
        """Return a job's committed phase."""
        query = await stream.recv_message()
        reply = fleet_pb2.JobReply()
        own = self._get_own()
        if own is not None:
            reply.leads = own.loaded
            job = own.board.jobs.get(query.job)
            if job is not None:
                reply.known = True
                state = job.committed_state
                reply.phase = state.phase.value
                reply.reason = state.reason
        await stream.send_message(reply)

    async def CountPending(self, stream: t.Any) -> None:
        """Return how many jobs of a queue wait for their first task."""
        query = await stream.recv_message()
        reply = fleet_pb2.QueueReply()
        own = self._get_own()
        pending = own.count_pending(query.queue) if own else None
        if pending is not None:
            reply.leads = True
            reply.pending = pending
        await stream.send_message(reply)
