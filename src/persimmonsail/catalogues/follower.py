"""Follows the store's catalogue by watch and by a slow poll."""

import time

import anyio

from persimmonsail.catalogues import revisions
from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail import store as store_module

_WATCH_SECONDS = 10.0
_RETRY_DELAY_SECONDS = 0.3
_MIN_POLL_SECONDS = 0.05
_UNREADABLE_DELAY_SECONDS = 1.0


class Follower:
    """Updates a view from the store."""

    def __init__(
        self,
        store: store_module.Store,
        view: revisions.View,
        poll_seconds: float,
    ) -> None:
        self._store = store
        self._view = view
        self._poll_seconds = poll_seconds
        self._poll_requested = anyio.Event()
        self._poll_done = anyio.Event()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_polls)
            group.start_soon(self._run_watch)

    async def refresh(self, seconds: float) -> None:
        """Wait up to a time limit for evidence newer than this call.

        Concurrent callers share one read of the store.
        """
        begun = time.monotonic()
        self._poll_requested.set()
        with anyio.move_on_after(seconds):
            while self._view.confirmed_at < begun:
                await self._poll_done.wait()

    async def read_head(self) -> None:
        """Read the head from the store once.

        Raises
        ------
        persimmonsail.exceptions.StoreError
            If the store did not answer.
        persimmonsail.exceptions.CatalogueUnreadable
            If the stored value is not a head, or its text is missing.
        """
        asked_at = time.monotonic()
        found = await self._store.get(revisions.HEAD_KEY)
        head = revisions.NO_HEAD
        if found is not None:
            head = revisions.load_head(found.value)
        await self._accept_head(head, 'poll')
        self._view.confirm(head, asked_at)

    async def _accept_head(self, head: revisions.Head, source: str) -> None:
        if head.revision <= max(
            self._view.revision, self._view.unreadable_revision
        ):
            return
        self._view.offer(await read_text(self._store, head), source)

    async def _run_polls(self) -> None:
        # A watch can stop delivering for good without an error; the
        # poll bounds how long a change can go unnoticed.
        while True:
            try:
                await self.read_head()
                self._poll_done.set()
                self._poll_done = anyio.Event()
                await anyio.sleep(_MIN_POLL_SECONDS)
                with anyio.move_on_after(
                    self._poll_seconds - _MIN_POLL_SECONDS
                ):
                    await self._poll_requested.wait()
                self._poll_requested = anyio.Event()
            except exceptions.StoreError as error:
                logs.write_event('store-unavailable', error=error)
                await anyio.sleep(_RETRY_DELAY_SECONDS)
            except exceptions.CatalogueUnreadable as error:
                logs.write_warning('catalogue-unreadable', error=error)
                await anyio.sleep(_UNREADABLE_DELAY_SECONDS)

    async def _run_watch(self) -> None:
        after = 0
        while True:
            try:
                page = await self._store.watch(
                    revisions.HEAD_KEY, after, _WATCH_SECONDS
                )
                for item in page.items:
                    head = revisions.load_head(item.value)
                    await self._accept_head(head, 'watch')
                after = page.revision
            except exceptions.StoreError:
                await anyio.sleep(_RETRY_DELAY_SECONDS)
            except exceptions.CatalogueUnreadable:
                # The poll logs it.
                await anyio.sleep(_UNREADABLE_DELAY_SECONDS)


async def read_text(
    store: store_module.Store, head: revisions.Head
) -> revisions.Head:
    """Return a head with its text, which is read from the store."""
    found = await store.get(revisions.TEXT_PREFIX + head.id)
    if found is None:
        raise exceptions.CatalogueUnreadable(
            f'the text of revision {head.revision} is missing'
        )
    return revisions.Head(
        head.revision, head.id, head.author, found.value, head.applied_at
    )
