"""How many jobs wait for their first task, told by any entry."""

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

# A count of pending jobs that was asked for so lately is used again.
_COUNT_AGE_SECONDS = 0.5
# Callers may be told a count that is 2 s old; the rest is for its way.
_OLDEST_COUNT_SECONDS = 1.5

CallLeader = t.Callable[[str, t.Any], t.Awaitable[t.Any]]


class Counts:
    """Asks the leader for counts, or reads them from the store.

    Parameters
    ----------
    store : persimmonsail.store.TransactionalStore
        Where jobs and their progress are kept.
    call_leader : callable
        Makes a call by its name and message to the leader's entry;
        returns nothing if it is not heard.
    get_own : callable
        Returns the leader if it runs in this process.
    """

    def __init__(
        self,
        store: store_module.TransactionalStore,
        call_leader: CallLeader,
        get_own: t.Callable[[], 'leader_module.Leader | None'],
    ) -> None:
        self._store = store
        self._call_leader = call_leader
        self._get_own = get_own
        # When the leader was asked for a queue's count, and the count.
        self._told: dict[str, tuple[float, int]] = {}
        # The counts of all queues in the store, and how old they are.
        self._scanned: collections.Counter[str] = collections.Counter()
        self._scanned_at = -_OLDEST_COUNT_SECONDS
        self._scanning = anyio.Lock()

    async def count(self, queue: str) -> int | None:
        """Return how many jobs of a queue wait for their first task.

        Nothing is returned when neither leader nor store answers.
        """
        own = self._get_own()
        pending = own.count_pending(queue) if own else None
        if pending is not None:
            return pending
        asked_at, count = self._told.get(queue, (0.0, 0))
        now = clock.read()
        if asked_at and now - asked_at < _COUNT_AGE_SECONDS:
            return count
        if own is not None and not own.loaded:
            # Its own reading of the jobs ends sooner without another one.
            return None
        query = fleet_pb2.QueueQuery(queue=queue)
        reply = await self._call_leader('CountPending', query)
        if reply is not None and reply.leads:
            self._told[queue] = (now, reply.pending)
            return reply.pending
        async with self._scanning:
            oldest = clock.read() - _OLDEST_COUNT_SECONDS
            if self._scanned_at > oldest:
                # By the call that this one has waited for.
                return self._scanned[queue]
            if now < oldest:
                # That took so long that another try would be as late.
                return None
            if not await self._scan_counts():
                return None
            return self._scanned[queue]

    async def _scan_counts(self) -> bool:
        """Count the jobs of all queues in the store; tell whether it can.

        Load pattern: the leader is gone, and callers ask each entry for
        the count of each queue. A scan takes all that the store has of the
        jobs; over a link of 1 Mbit/s that is seconds in which a new leader
        on this machine reads none of it. So one runs at a time, for all.
        """
        asked_at = clock.read()
        try:
            jobs = await self._store.scan(record.JOBS)
            progress = await self._store.scan(record.PROGRESS)
        except exceptions.StoreUnavailable as error:
            logs.write_event('count-unanswered', error=error)
            return False
        begun = {
            item.key.removeprefix(record.PROGRESS)
            for item in progress.items
            if _has_begun(item)
        }
        self._scanned = collections.Counter(
            _read_queue(item)
            for item in jobs.items
            if item.key.removeprefix(record.JOBS) not in begun
        )
        self._scanned_at = asked_at
        return True


def _has_begun(progress: store_module.Item) -> bool:
    try:
        phase = record.decode_state(progress.value).phase
    except ValueError as error:
        logs.write_error('job-unreadable', key=progress.key, error=error)
        return True
    return phase is not record.JobPhase.QUEUED


def _read_queue(job: store_module.Item) -> str:
    """Return the queue of a stored job; none that there is if unreadable."""
    try:
        stored = record.StoredSubmission.model_validate_json(job.value)
    except ValueError as error:
        logs.write_error('job-unreadable', key=job.key, error=error)
        return ''
    return stored.queue
