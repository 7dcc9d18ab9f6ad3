"""Reading and following what entries and sidecars write to the store."""

import typing as t

import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import record
from persimmonsail import logs
from persimmonsail import store as store_module

# A watch may go silent for good; what entries have accepted meanwhile is
# not seen before it is asked anew, a second after this time at the latest.
_WATCH_SECONDS = 1.5
_RETRY_SECONDS = 0.25

Take = t.Callable[[store_module.Change], None]


async def follow(
    store: store_module.TransactionalStore, revision: int, take: Take
) -> None:
    """Hand on each change of the inbox, until cancelled.

    Parameters
    ----------
    store : persimmonsail.store.TransactionalStore
        Where the inbox is.
    revision : int
        The store's revision up to which it is known.
    take : callable
        Called with each change; with one again that it knows, where the
        store has lost its history.
    """
    while True:
        try:
            found = await store.follow(record.INBOX, revision, _WATCH_SECONDS)
        except exceptions.HistoryLost:
            revision = await _scan_inbox(store, take)
            continue
        except exceptions.StoreUnavailable as error:
            logs.write_event('inbox-unheard', error=error)
            await anyio.sleep(_RETRY_SECONDS)
            continue
        revision = max(revision, found.revision)
        for change in found.changes:
            take(change)


async def _scan_inbox(
    store: store_module.TransactionalStore, take: Take
) -> int:
    """Hand on all that is there; return the revision to go on from."""
    page = await scan(store, record.INBOX)
    logs.write_event('inbox-scanned', revision=page.revision)
    for item in page.items:
        take(store_module.Change(item.key, item.value, item.revision))
    return page.revision


async def scan(
    store: store_module.TransactionalStore, prefix: str
) -> store_module.Page:
    """Read all below a prefix, however often the store has to be asked.

    A term that ended with the first call without an answer cost all that
    its leader had read, and the next one met the same store. Whether it
    still leads is found out apart.
    """
    while True:
        try:
            return await store.scan(prefix)
        except exceptions.StoreUnavailable as error:
            logs.write_warning('scan-retried', prefix=prefix, error=error)
            await anyio.sleep(_RETRY_SECONDS)
