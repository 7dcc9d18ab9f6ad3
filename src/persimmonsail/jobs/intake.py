"""Callers' requests about jobs, which any entry handles.

A job is accepted by one write of its own key, which only succeeds if the
key is absent: two entries, or a repeated request, create one job.
"""

import random
import time
import typing as t

import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import capacities as capacities_module
from persimmonsail.jobs import clock
from persimmonsail.jobs import counts
from persimmonsail.jobs import fleet_grpc
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import forecasts
from persimmonsail.jobs import lookup
from persimmonsail.jobs import outcomes
from persimmonsail.jobs import queues
from persimmonsail.jobs import record
from persimmonsail.jobs import rejections
from persimmonsail.jobs import specification as specification_module
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail import store as store_module

if t.TYPE_CHECKING:
    from persimmonsail.jobs import leader as leader_module

_MILLISECONDS = 1000
_RETRY_PAUSE_SECONDS = 0.1
# Timeout for calls to another entry; the caller needs time for the store.
_PEER_TIMEOUT_SECONDS = 0.6
# The fraction of a caller's timeout that the store may use; the rest is for
# transmitting the answer.
STORE_SHARE = 0.75
# Sent to callers that are refused because the store is unreachable: outages
# last seconds, and another entry may reach the store.
RETRY_SECONDS = 1


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
    admits_by_forecast : bool
        Whether jobs that would end too late are rejected.
    """

    def __init__(
        self,
        store: store_module.TransactionalStore,
        links: links_module.Links,
        find_leader: t.Callable[[], str],
        get_local_leader: t.Callable[[], 'leader_module.Leader | None'],
        capacities: capacities_module.Capacities,
        advised: bool = False,
        admits_by_forecast: bool = False,
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
        self._lookup = lookup.Lookup(
            store, self._call_leader, get_local_leader
        )
        self._gate: forecasts.Gate | None = None
        if admits_by_forecast:
            self._gate = forecasts.Gate(
                self._call_leader, get_local_leader, random.Random()
            )

    async def follow_forecasts(self) -> None:
        """Keep the forecasts up to date that decide on admission."""
        if self._gate is not None:
            await self._gate.run()

    async def submit(
        self,
        id: str,
        queue: queues.Queue,
        specification: specification_module.Specification,
        deadline: float,
    ) -> outcomes.Outcome:
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
        persimmonsail.exceptions.JobRejected
            If it would end too late, and is not stored.
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
        if self._gate is not None:
            try:
                self._gate.check(id, queue, specification)
            except exceptions.JobRejected as rejection:
                return await self._reject(id, rejection)
        return await self.store_job(id, text, deadline)

    async def _reject(
        self, id: str, rejection: exceptions.JobRejected
    ) -> outcomes.Outcome:
        """Reject a job unless it is stored already."""
        try:
            rejected = await rejections.write(self._store, id)
        except exceptions.CallRefused as error:
            logs.write_event('submit-refused', job=id, error=error)
            return outcomes.Outcome.REFUSED
        except exceptions.StoreUnavailable as error:
            logs.write_event('submit-unanswered', job=id, error=error)
            return outcomes.Outcome.UNKNOWN
        if rejected:
            raise rejection
        return outcomes.Outcome.ACCEPTED

    async def store_job(
        self, id: str, text: str, deadline: float
    ) -> outcomes.Outcome:
        """Write a job's key, retrying until the outcome is known."""
        if self._store.is_lost:
            # Sending the write would make the outcome unknown. After a
            # refusal, the caller may use another entry; after an unknown
            # outcome, it may not.
            logs.write_event('submit-refused', job=id, error='store lost')
            return outcomes.Outcome.REFUSED
        maybe_sent = False
        submission = rejections.Submission(id, text)
        while True:
            try:
                await submission.send(self._store)
            except exceptions.TransactionConflict as error:
                if submission.is_stored(error):
                    return outcomes.Outcome.ACCEPTED
                if submission.is_cancelled(error):
                    return outcomes.Outcome.CANCELLED
                submission.note_marker(error)
                if not self._should_abandon(deadline):
                    continue
            except exceptions.CallRefused as error:
                # This write had no effect; an earlier one may still succeed.
                logs.write_event('submit-refused', job=id, error=error)
                if not maybe_sent:
                    return outcomes.Outcome.REFUSED
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
                return outcomes.Outcome.ACCEPTED
            if self._should_abandon(deadline):
                return outcomes.Outcome.UNKNOWN
            await anyio.sleep(_RETRY_PAUSE_SECONDS)

    async def cancel(self, id: str, deadline: float) -> outcomes.Outcome:
        """Mark a job as permanently cancelled."""
        if self._store.is_lost:
            message = fleet_pb2.CancelQuery(job=id)
            return await self._forward('Cancel', message, deadline)
        return await self.store_cancel(id, deadline)

    async def store_cancel(self, id: str, deadline: float) -> outcomes.Outcome:
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
                return outcomes.Outcome.UNKNOWN
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
    ) -> outcomes.Outcome:
        """Forward a request that needs the store to the leader's entry.

        The store may be unreachable from some machines only.
        """
        address = self._find_leader()
        if not address or self._get_local_leader() is not None:
            return outcomes.Outcome.REFUSED
        timeout = min(max(deadline - clock.read(), 0.0), _PEER_TIMEOUT_SECONDS)
        message.wait_seconds = timeout
        try:
            reply = await self._links.call(
                address, fleet_grpc.LeaderStub, method, message, timeout
            )
        except exceptions.LinkRefused as error:
            logs.write_event('leader-unheard', error=error)
            return outcomes.Outcome.REFUSED
        except exceptions.LinkLost as error:
            logs.write_event('leader-unheard', error=error)
            return outcomes.Outcome.UNKNOWN
        return outcomes.Outcome(reply.outcome)

    async def _cancel_once(self, id: str) -> outcomes.Outcome:
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
            return outcomes.Outcome.ABSENT
        return outcomes.Outcome.ACCEPTED

    async def find_state(
        self, id: str, deadline: float
    ) -> record.JobState | outcomes.Outcome:
        """Return a job's committed state; see ``lookup.Lookup.find``."""
        return await self._lookup.find(id, deadline)

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
