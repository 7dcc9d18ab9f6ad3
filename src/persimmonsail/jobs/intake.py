"""Callers' requests about jobs, which any entry handles.

A job is accepted by one write of its own key, which only succeeds if the
key is absent: two entries, or a repeated request, create one job.
"""

import enum
import time
import typing as t

import anyio
import pydantic

from persimmonsail import exceptions
from persimmonsail.jobs import capacities as capacities_module
from persimmonsail.jobs import clock
from persimmonsail.jobs import counts
from persimmonsail.jobs import fleet_grpc
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import queues
from persimmonsail.jobs import record
from persimmonsail.jobs import specification as specification_module
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail import metrics
from persimmonsail import store as store_module

if t.TYPE_CHECKING:
    from persimmonsail.jobs import leader as leader_module

_MILLISECONDS = 1000
_RETRY_PAUSE_SECONDS = 0.1
# A read is sent again after this time while the first one is still pending:
# the store takes at most 0.3 s to answer, and after an outage it doesn't
# answer requests that it received before.
_READ_RETRY_SECONDS = 0.3
# Timeout for calls to another entry; the caller needs time for the store.
_PEER_TIMEOUT_SECONDS = 0.6
# The fraction of a caller's timeout that the store may use; the rest is for
# transmitting the answer.
STORE_SHARE = 0.75
# Sent to callers that are refused because the store is unreachable: outages
# last seconds, and another entry may reach the store.
RETRY_SECONDS = 1


class Outcome(enum.Enum):
    """The outcome of a request.

    ``REFUSED``: nothing was stored. ``UNKNOWN``: it may have been stored,
    so the caller has to retry with the same id. ``CANCELLED``: it will
    never be stored, as the job was cancelled first.
    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    ABSENT = 'absent'
    CANCELLED = 'cancelled'


def log_call(
    call: str,
    id: str,
    queue: str,
    outcome: str,
    seconds: float,
    **fields: object,
) -> None:
    """Record the outcome of a caller's call in metrics and log.

    Parameters
    ----------
    call : str
        ``submit``, ``find`` or ``cancel``.
    id, queue : str
        The job and its queue.
    outcome : str
        The outcome reported to the caller.
    seconds : float
        Time from the call to its answer.
    **fields : object
        Further log fields.
    """
    metrics.REQUEST_SECONDS.record(seconds, call, outcome)
    logs.write_event(
        'job-call',
        call=call,
        job=id,
        queue=queue,
        outcome=outcome,
        seconds=seconds,
        **fields,
    )


class Intake:
    """Accepts, cancels and finds jobs.

    Parameters
    ----------
    store : persimmonsail.store.TransactionalStore
        Where accepted jobs are stored.
    links : persimmonsail.links.Links
        Connections to the leader's entry.
    find_leader : callable
        Returns the leader's address; empty while none is known.
    get_local_leader : callable
        Returns the leader if it runs in this process.
    capacities : persimmonsail.jobs.capacities.Capacities
        The observed capacities of instances.
    advised : bool
        Whether this deployment has an advisor.
    """

    def __init__(
        self,
        store: store_module.TransactionalStore,
        links: links_module.Links,
        find_leader: t.Callable[[], str],
        get_local_leader: t.Callable[[], 'leader_module.Leader | None'],
        capacities: capacities_module.Capacities,
        advised: bool = False,
    ) -> None:
        self._advised = advised
        self._capacities = capacities
        self._store = store
        self._links = links
        self._find_leader = find_leader
        self._get_local_leader = get_local_leader
        self._counts = counts.Counts(
            store, self._call_leader, get_local_leader
        )

    async def submit(
        self,
        id: str,
        queue: queues.Queue,
        specification: specification_module.Specification,
        deadline: float,
    ) -> Outcome:
        """Store a job; a repeated submission has no further effect.

        Parameters
        ----------
        id : str
            The caller's id of the job.
        queue : persimmonsail.jobs.queues.Queue
            The job's queue.
        specification : persimmonsail.jobs.specification.Specification
            The job's specification, already checked.
        deadline : float
            When the caller stops waiting, on ``clock``.

        Raises
        ------
        persimmonsail.exceptions.JobInvalid
            If it could never run here; nothing is stored.
        """
        if queue.advised and not self._advised:
            raise exceptions.JobInvalid(
                'queue: it needs an advisor, and the settings name none'
            )
        self._capacities.check(queue.service, specification)
        text = record.StoredSubmission(
            queue=queue.name,
            accepted_ms=round(time.time() * _MILLISECONDS),
            specification=specification_module.encode(specification),
            terms=queue,
        ).model_dump_json()
        if self._store.is_lost:
            message = fleet_pb2.SubmitQuery(
                job=id, queue=queue.name, submission=text
            )
            return await self._forward('Submit', message, deadline)
        return await self.store_job(id, text, deadline)

    async def store_job(self, id: str, text: str, deadline: float) -> Outcome:
        """Write a job's key, retrying until the outcome is known."""
        if self._store.is_lost:
            # Sending the write would make the outcome unknown. After a
            # refusal, the caller may use another entry; after an unknown
            # outcome, it may not.
            logs.write_event('submit-refused', job=id, error='store lost')
            return Outcome.REFUSED
        maybe_sent = False
        key = record.JOBS + id
        # A cancelled job must never start, even if the store executes the
        # submission after the cancellation.
        conditions = {key: 0, record.CANCELS + id: 0}
        while True:
            try:
                await self._store.commit(
                    conditions, [store_module.Write(key, text)]
                )
            except exceptions.TransactionConflict as error:
                stored = key in error.found
                return Outcome.ACCEPTED if stored else Outcome.CANCELLED
            except exceptions.CallRefused as error:
                # This write had no effect; an earlier one may still succeed.
                logs.write_event('submit-refused', job=id, error=error)
                if not maybe_sent:
                    return Outcome.REFUSED
            except exceptions.StoreUnavailable as error:
                maybe_sent = True
                logs.write_event(
                    'submit-unanswered',
                    job=id,
                    error=error,
                    store_silent=self._store.silent_seconds,
                )
            else:
                leader = self._get_local_leader()
                if leader is not None and leader.loaded:
                    leader.add_job(id, text)
                return Outcome.ACCEPTED
            if self._should_abandon(deadline):
                return Outcome.UNKNOWN
            await anyio.sleep(_RETRY_PAUSE_SECONDS)

    async def cancel(self, id: str, deadline: float) -> Outcome:
        """Mark a job as permanently cancelled."""
        if self._store.is_lost:
            message = fleet_pb2.CancelQuery(job=id)
            return await self._forward('Cancel', message, deadline)
        return await self.store_cancel(id, deadline)

    async def store_cancel(self, id: str, deadline: float) -> Outcome:
        """Write a cancellation marker, retrying until it is stored."""
        while True:
            try:
                return await self._cancel_once(id)
            except exceptions.StoreUnavailable as error:
                logs.write_event(
                    'cancel-unanswered',
                    job=id,
                    error=error,
                    store_silent=self._store.silent_seconds,
                )
            if self._should_abandon(deadline):
                return Outcome.UNKNOWN
            await anyio.sleep(_RETRY_PAUSE_SECONDS)

    def _should_abandon(self, deadline: float) -> bool:
        """Tell whether to abandon a write, so that its caller can retry.

        A lost store stays lost for seconds, or is lost to this entry only.
        Waiting for the deadline would cost the caller the time to retry
        on another entry, where the same id denotes the same job.
        """
        if self._store.is_lost:
            return True
        return clock.read() + _RETRY_PAUSE_SECONDS >= deadline

    async def _forward(
        self, method: str, message: t.Any, deadline: float
    ) -> Outcome:
        """Forward a request that needs the store to the leader's entry.

        The store may be unreachable from some machines only.
        """
        address = self._find_leader()
        if not address or self._get_local_leader() is not None:
            return Outcome.REFUSED
        timeout = min(max(deadline - clock.read(), 0.0), _PEER_TIMEOUT_SECONDS)
        message.wait_seconds = timeout
        try:
            reply = await self._links.call(
                address, fleet_grpc.LeaderStub, method, message, timeout
            )
        except exceptions.LinkRefused as error:
            logs.write_event('leader-unheard', error=error)
            return Outcome.REFUSED
        except exceptions.LinkLost as error:
            logs.write_event('leader-unheard', error=error)
            return Outcome.UNKNOWN
        return Outcome(reply.outcome)

    async def _cancel_once(self, id: str) -> Outcome:
        """Write the cancellation marker, then check for the job.

        The order matters, since a submission may still be in flight: once
        the marker is written, it can't be stored any more.
        """
        marker = record.StoredCancel(
            cancelled_ms=round(time.time() * _MILLISECONDS)
        ).model_dump_json()
        try:
            await self._store.put(record.CANCELS + id, marker, expected=0)
        except exceptions.Conflict:
            logs.write_event('cancel-repeated', job=id)
        leader = self._get_local_leader()
        if leader is not None and leader.loaded:
            leader.cancel_job(id, marker)
        if await self._store.get(record.JOBS + id) is None:
            return Outcome.ABSENT
        return Outcome.ACCEPTED

    async def find_state(
        self, id: str, deadline: float
    ) -> record.JobState | Outcome:
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
            return Outcome.UNKNOWN if found is None else found
        # A caller whose deadline has passed gets one try.
        deadline = max(deadline, clock.read() + _READ_RETRY_SECONDS)
        answers: list[record.JobState | Outcome] = []
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
        return answers[0] if answers else Outcome.UNKNOWN

    async def _find_once(self, id: str) -> record.JobState | Outcome | None:
        """Query the store once, then the leader; None without an answer."""
        try:
            return await self._read_state(id)
        except exceptions.StoreUnavailable as error:
            logs.write_event(
                'find-unanswered',
                job=id,
                error=error,
                store_silent=self._store.silent_seconds,
            )
        return await self._query_leader(id)

    async def _read_state(self, id: str) -> record.JobState | Outcome:
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
        return Outcome.ABSENT

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

    async def _call_leader(self, method: str, query: t.Any) -> t.Any:
        """Call the leader's entry; return None without an answer."""
        address = self._find_leader()
        if not address:
            return None
        try:
            return await self._links.call(
                address,
                fleet_grpc.LeaderStub,
                method,
                query,
                _PEER_TIMEOUT_SECONDS,
            )
        except exceptions.LinkLost as error:
            logs.write_event('leader-unheard', error=error)
            return None

    async def count_pending(self, queue: str) -> int | None:
        """Return how many jobs of a queue wait for their first task.

        None is returned when neither leader nor store answers.
        """
        return await self._counts.count(queue)
