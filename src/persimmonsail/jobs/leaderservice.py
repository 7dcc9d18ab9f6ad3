"""The gRPC service of the leading entry for the other entries."""

import typing as t

from persimmonsail.jobs import clock
from persimmonsail.jobs import fleet_grpc
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import forecasts
from persimmonsail.jobs import intake as intake_module
from persimmonsail.jobs import terms as terms_module

if t.TYPE_CHECKING:
    from persimmonsail.jobs import leader as leader_module


class LeaderService(fleet_grpc.LeaderBase):
    """Handles other entries' calls to the leader."""

    def __init__(
        self,
        intake: intake_module.Intake,
        get_leader: t.Callable[[], 'leader_module.Leader | None'],
        terms: terms_module.Terms,
    ) -> None:
        self._intake = intake
        self._get_leader = get_leader
        self._terms = terms

    async def Submit(self, stream: t.Any) -> None:
        """Store a job for an entry that can't reach the store."""
        request = await stream.recv_message()
        deadline = clock.read() + request.wait_seconds
        outcome = await self._intake.store_job(
            request.job, request.submission, deadline
        )
        reply = fleet_pb2.OutcomeReply(outcome=outcome.value)
        await stream.send_message(reply)

    async def Cancel(self, stream: t.Any) -> None:
        """Cancel a job for an entry that can't reach the store."""
        request = await stream.recv_message()
        deadline = clock.read() + request.wait_seconds
        outcome = await self._intake.store_cancel(request.job, deadline)
        reply = fleet_pb2.OutcomeReply(outcome=outcome.value)
        await stream.send_message(reply)

    async def FindJob(self, stream: t.Any) -> None:
        """Return a job's committed phase."""
        request = await stream.recv_message()
        reply = fleet_pb2.JobReply()
        leader = self._get_leader()
        if leader is not None:
            reply.leads = leader.loaded
            job = leader.board.jobs.get(request.job)
            if job is not None:
                reply.known = True
                state = job.committed_state
                reply.phase = state.phase.value
                reply.reason = state.reason
        await stream.send_message(reply)

    async def CountPending(self, stream: t.Any) -> None:
        """Return how many jobs of a queue wait for their first task."""
        request = await stream.recv_message()
        reply = fleet_pb2.QueueReply()
        leader = self._get_leader()
        pending = leader.count_pending(request.queue) if leader else None
        if pending is not None:
            reply.leads = True
            reply.pending = pending
        await stream.send_message(reply)

    async def GetForecasts(self, stream: t.Any) -> None:
        """Return the forecasts of the services' backlogs."""
        await stream.recv_message()
        leader = self._get_leader()
        reply = fleet_pb2.ForecastReply()
        if leader is not None:
            reply = forecasts.describe(leader)
        await stream.send_message(reply)

    async def ConfirmTerm(self, stream: t.Any) -> None:
        """Return the latest term that this entry knows of."""
        request = await stream.recv_message()
        answer = self._terms.answer(request.epoch, request.follower)
        reply = fleet_pb2.TermReply(
            epoch=answer.epoch, informed=answer.informed
        )
        await stream.send_message(reply)
