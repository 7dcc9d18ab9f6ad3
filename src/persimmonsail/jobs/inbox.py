"""Follows the keys that entries and sidecars write to the store."""

import typing as t

import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import record
from persimmonsail import logs
from persimmonsail import store as store_module

# A watch may stop responding for good; jobs accepted meanwhile are not
# observed before the next watch, a second after this time at the latest.
_WATCH_SECONDS = 1.5
_RETRY_SECONDS = 0.25
# A watch without a response for this long is considered hung. Runs of a
# cancelled job must be stopped within 3 s, including the time for the order's
# delivery and the agent.
_HUNG_SECONDS = 1.9
# Interval for reading the cancel markers until the watch responds again.
_CHECK_SECONDS = 0.5

OnChange = t.Callable[[store_module.Change], None]


class Inbox:
    """Reports what entries and sidecars write.

    Parameters
    ----------
    store : persimmonsail.store.TransactionalStore
        Holds the inbox.
    on_change : callable
        Called with each change; repeatedly with the same one if the store
        has lost its history or the watch has hung.
    """

    def __init__(
        self, store: store_module.TransactionalStore, on_change: OnChange
    ) -> None:
        self._store = store
        self._on_change = on_change
        self._last_response_at = clock.read()

    async def run(self, revision: int) -> None:
        """Follow the inbox from a revision of the store, until cancelled."""
        self._last_response_at = clock.read()
        async with anyio.create_task_group() as group:
            group.start_soon(self._check_cancels)
            await self._follow(revision)

    async def _follow(self, revision: int) -> None:
        while True:
            try:
                response = await self._store.watch_changes(
                    record.INBOX, revision, _WATCH_SECONDS
                )
            except exceptions.HistoryLost:
                page = await self._scan(record.INBOX)
                self._last_response_at = clock.read()
                revision = page.revision
                continue
            except exceptions.StoreUnavailable as error:
                logs.write_event('inbox-unheard', error=error)
                await anyio.sleep(_RETRY_SECONDS)
                continue
            self._last_response_at = clock.read()
            revision = max(revision, response.revision)
            for change in response.changes:
                self._on_change(change)

    async def _check_cancels(self) -> None:
        """Read the cancel markers while the watch hangs.

        There are few of them; reading the complete inbox takes seconds over
        a slow link.
        """
        while True:
            silent_seconds = clock.read() - self._last_response_at
            if silent_seconds < _HUNG_SECONDS:
                await anyio.sleep(_HUNG_SECONDS - silent_seconds)
                continue
            await self._scan(record.CANCELS)
            await anyio.sleep(_CHECK_SECONDS)

    async def _scan(self, prefix: str) -> store_module.Page:
        """Report all items below a prefix as changes."""
        page = await scan(self._store, prefix)
        logs.write_event(
            'inbox-scanned',
            prefix=prefix,
            revision=page.revision,
            unheard_seconds=clock.read() - self._last_response_at,
        )
        for item in page.items:
            self._on_change(
                store_module.Change(item.key, item.value, item.revision)
            )
        return page


async def scan(
    store: store_module.TransactionalStore, prefix: str
) -> store_module.Page:
    """Read all items below a prefix, retrying while the store is unavailable.

    Ending the term at the first unanswered call discarded all that its
    leader had read, and the next leader met the same store. Whether the
    leader still leads is checked separately.
    """
    while True:
        try:
            return await store.scan(prefix)
        except exceptions.StoreUnavailable as error:
            logs.write_warning('scan-retried', prefix=prefix, error=error)
            await anyio.sleep(_RETRY_SECONDS)
