"""Reads of a job's state, from the store or else from the leader."""

import typing as t

import anyio
import pydantic

from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import counts
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import outcomes
from persimmonsail.jobs import record
from persimmonsail import logs
from persimmonsail import store as store_module

if t.TYPE_CHECKING:
    from persimmonsail.jobs import leader as leader_module

# A read is sent again after this time while the first one is still pending:
# the store takes at most 0.3 s to answer, and after an outage it doesn't
# answer requests that it received before.
_READ_RETRY_SECONDS = 0.3


class Lookup:
    """Finds the states of jobs.

    Parameters
    ----------
    store : persimmonsail.store.TransactionalStore
        Where jobs and their progress are stored.
    call_leader : callable
        Calls a method of the leader's entry with a message; returns
        None without an answer.
    get_local_leader : callable
        Returns the leader if it runs in this process.
    """

    def __init__(
        self,
        store: store_module.TransactionalStore,
        call_leader: counts.CallLeader,
        get_local_leader: t.Callable[[], 'leader_module.Leader | None'],
    ) -> None:
        self._store = store
        self._call_leader = call_leader
        self._get_local_leader = get_local_leader

    async def find(
        self, id: str, deadline: float
    ) -> record.JobState | outcomes.Outcome:
        """Return a job's committed state.

        ``ABSENT`` is only returned when the store itself has no such job;
        ``UNKNOWN`` when neither store nor leader answered in time.

        If the store stops answering during the call, the read is repeated
        until the caller's deadline without waiting for earlier answers: a
        store that is silent for a second may return, and an early failure
        refused callers who still had 1.9 s left when it did. A store that
        was lost before the call is read once: it stays lost for seconds,
        and the caller should use another entry.
        """
        if self._store.is_lost:
            found = await self._find_once(id)
            return outcomes.Outcome.UNKNOWN if found is None else found
        # A caller whose deadline has passed gets one try.
        deadline = max(deadline, clock.read() + _READ_RETRY_SECONDS)
        answers: list[record.JobState | outcomes.Outcome] = []
        async with anyio.create_task_group() as group:

            async def find_once() -> None:
                found = await self._find_once(id)
                if found is not None:
                    answers.append(found)
                    group.cancel_scope.cancel()

            while clock.read() < deadline:
                group.start_soon(find_once)
                remaining = deadline - clock.read()
                await anyio.sleep(min(_READ_RETRY_SECONDS, remaining))
            group.cancel_scope.cancel()
        return answers[0] if answers else outcomes.Outcome.UNKNOWN

    async def _find_once(
        self, id: str
    ) -> record.JobState | outcomes.Outcome | None:
        """Query the store once, then the leader; None without an answer."""
        try:
            return await self._read(id)
        except exceptions.StoreUnavailable as error:
            logs.write_event(
                'find-unanswered',
                job=id,
                error=error,
                store_silent=self._store.silent_seconds,
            )
        return await self._query_leader(id)

    async def _read(self, id: str) -> record.JobState | outcomes.Outcome:
        leader = self._get_local_leader()
        if leader is not None and leader.loaded and id in leader.board.jobs:
            state = leader.board.jobs[id].committed_state
            if state.phase.is_final:
                return state
        item = await self._store.get(record.PROGRESS + id)
        if item is not None:
            try:
                return record.decode_state(item.value)
            except pydantic.ValidationError as error:
                raise exceptions.StoreUnavailable(
                    f'{item.key}: not readable'
                ) from error
        if await self._store.get(record.JOBS + id) is not None:
            return record.JobState(record.JobPhase.QUEUED)
        return outcomes.Outcome.ABSENT

    async def _query_leader(self, id: str) -> record.JobState | None:
        leader = self._get_local_leader()
        if leader is not None:
            job = leader.board.jobs.get(id)
            return job.committed_state if job else None
        reply = await self._call_leader('FindJob', fleet_pb2.JobQuery(job=id))
        if reply is None or not reply.known:
            return None
        phase = record.JobPhase(reply.phase)
        return record.JobState(phase, reply.reason)
