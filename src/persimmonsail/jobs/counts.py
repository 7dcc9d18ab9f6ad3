"""Counts of the jobs waiting for their first task, on any entry."""

import collections
import typing as t

import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import record
from persimmonsail import logs
from persimmonsail import store as store_module

if t.TYPE_CHECKING:
    from persimmonsail.jobs import leader as leader_module

# How long a count received from the leader is cached.
_CACHE_SECONDS = 0.5
# Callers may receive a count that is 2 s old; the rest is for transmission.
_MAX_AGE_SECONDS = 1.5

CallLeader = t.Callable[[str, t.Any], t.Awaitable[t.Any]]


class Counts:
    """Requests counts from the leader, or reads them from the store.

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
        call_leader: CallLeader,
        get_local_leader: t.Callable[[], 'leader_module.Leader | None'],
    ) -> None:
        self._store = store
        self._call_leader = call_leader
        self._get_local_leader = get_local_leader
        # The leader's counts by queue, each with the time of its request.
        self._cached: dict[str, tuple[float, int]] = {}
        # The counts of all queues from the last scan of the store.
        self._scanned_counts: collections.Counter[str] = collections.Counter()
        self._scanned_at = -_MAX_AGE_SECONDS
        self._scan_lock = anyio.Lock()

    async def count(self, queue: str) -> int | None:
        """Return how many jobs of a queue wait for their first task.

        None is returned when neither leader nor store answers.
        """
        leader = self._get_local_leader()
        pending = leader.count_pending(queue) if leader else None
        if pending is not None:
            return pending
        requested_at, count = self._cached.get(queue, (0.0, 0))
        now = clock.read()
        if requested_at and now - requested_at < _CACHE_SECONDS:
            return count
        if leader is not None and not leader.loaded:
            # A scan would slow down the leader's own loading of the jobs.
            return None
        query = fleet_pb2.QueueQuery(queue=queue)
        reply = await self._call_leader('CountPending', query)
        if reply is not None and reply.leads:
            self._cached[queue] = (now, reply.pending)
            return reply.pending
        async with self._scan_lock:
            min_scanned_at = clock.read() - _MAX_AGE_SECONDS
            if self._scanned_at > min_scanned_at:
                # Scanned by the call that held the lock.
                return self._scanned_counts[queue]
            if now < min_scanned_at:
                # The other scan took too long, and so would this one.
                return None
            if not await self._scan_store():
                return None
            return self._scanned_counts[queue]

    async def _scan_store(self) -> bool:
        """Count the jobs of all queues in the store; tell if it succeeded.

        Load pattern: there is no leader, and callers request the count of
        each queue from each entry. A scan reads all stored jobs; over a
        link of 1 Mbit/s this takes seconds in which a new leader on this
        machine can't load them. So only one scan runs at a time, and all
        queues share it.
        """
        requested_at = clock.read()
        try:
            jobs = await self._store.scan(record.JOBS)
            progress = await self._store.scan(record.PROGRESS)
        except exceptions.StoreUnavailable as error:
            logs.write_event('count-unanswered', error=error)
            return False
        started = {
            item.key.removeprefix(record.PROGRESS)
            for item in progress.items
            if _has_started(item)
        }
        self._scanned_counts = collections.Counter(
            _read_queue(item)
            for item in jobs.items
            if item.key.removeprefix(record.JOBS) not in started
        )
        self._scanned_at = requested_at
        return True


def _has_started(progress: store_module.Item) -> bool:
    try:
        phase = record.decode_state(progress.value).phase
    except ValueError as error:
        logs.write_error('job-unreadable', key=progress.key, error=error)
        return True
    return phase is not record.JobPhase.QUEUED


def _read_queue(job: store_module.Item) -> str:
    """Return the queue of a stored job; empty if it is unreadable."""
    try:
        stored = record.StoredSubmission.model_validate_json(job.value)
    except ValueError as error:
        logs.write_error('job-unreadable', key=job.key, error=error)
        return ''
    return stored.queue
