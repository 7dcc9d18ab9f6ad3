"""Markers of rejected jobs, which make a rejection true.

An earlier submission of the same job may still be on its way to the store. A
rejection therefore stores a marker, on condition that the job is not stored,
and a submission is only stored if no marker has appeared since it was sent.
When the caller returns, the submission that finds the marker removes it in
the transaction that stores the job.
"""

import time

import anyio
import pydantic

from persimmonsail import exceptions
from persimmonsail.jobs import record
from persimmonsail import logs
from persimmonsail import store as store_module

_SWEEP_SECONDS = 30.0
_MILLISECONDS = 1000


class _Marker(pydantic.BaseModel):
    rejected_ms: int = 0


async def write(store: store_module.TransactionalStore, id: str) -> bool:
    """Store the marker of a rejected job.

    Returns
    -------
    bool
        False if the job is stored already, and must not be rejected.

    Raises
    ------
    persimmonsail.exceptions.StoreUnavailable
        If it is not known whether the marker is stored.
    """
    marker = _Marker(rejected_ms=round(time.time() * _MILLISECONDS))
    try:
        await store.commit(
            {record.JOBS + id: 0},
            [
                store_module.Write(
                    record.REJECTIONS + id, marker.model_dump_json()
                )
            ],
        )
    except exceptions.TransactionConflict:
        return False
    return True


class Submission:
    """The transaction that stores one submission.

    Parameters
    ----------
    id : str
        The job's id.
    text : str
        The submission as it is stored.
    """

    def __init__(self, id: str, text: str) -> None:
        self._job = record.JOBS + id
        self._cancel = record.CANCELS + id
        self._marker = record.REJECTIONS + id
        self._marker_revision = 0
        self._write = store_module.Write(self._job, text)

    async def send(self, store: store_module.TransactionalStore) -> None:
        """Send the transaction once; see ``TransactionalStore.commit``."""
        # A cancelled job must never start, even if the store executes the
        # submission after the cancellation.
        conditions = {
            self._job: 0,
            self._cancel: 0,
            self._marker: self._marker_revision,
        }
        removals = [self._marker] if self._marker_revision else []
        await store.commit(conditions, [self._write], removals)

    def is_stored(self, conflict: exceptions.TransactionConflict) -> bool:
        """Return whether the job was stored before."""
        return self._job in conflict.found

    def is_cancelled(self, conflict: exceptions.TransactionConflict) -> bool:
        """Return whether the job was cancelled before."""
        return self._cancel in conflict.found

    def note_marker(self, conflict: exceptions.TransactionConflict) -> None:
        """Record the marker that the next try removes, if there is one."""
        item = conflict.found.get(self._marker)
        self._marker_revision = item.revision if item else 0


async def run_sweep_loop(
    store: store_module.TransactionalStore, retention_seconds: float
) -> None:
    """Remove the markers of callers that have not returned.

    Parameters
    ----------
    store : persimmonsail.store.TransactionalStore
        Holds them.
    retention_seconds : float
        How long a marker is kept; longer than any write is on its way.
    """
    while True:
        await anyio.sleep(_SWEEP_SECONDS)
        try:
            await sweep(store, time.time() - retention_seconds)
        except exceptions.StoreError as error:
            logs.write_event('rejections-unswept', error=error)


async def sweep(
    store: store_module.TransactionalStore, cutoff_seconds: float
) -> None:
    """Remove the markers from before a time, in seconds since the epoch."""
    page = await store.scan(record.REJECTIONS)
    for item in page.items:
        if _read_time_ms(item) < cutoff_seconds * _MILLISECONDS:
            await store.commit({item.key: item.revision}, (), [item.key])


def _read_time_ms(item: store_module.Item) -> int:
    try:
        return _Marker.model_validate_json(item.value).rejected_ms
    except pydantic.ValidationError as error:
        logs.write_warning('rejection-unreadable', key=item.key, error=error)
        return 0
