"""The catalogue revision in force in an entry, and the swap to a new one.

The store holds one head. A change is accepted once a compare-and-swap
has replaced it; a process applies a revision only if it is higher than
the highest that it has seen.
"""

import dataclasses
import time
import uuid

import anyio
import pydantic

from persimmonsail import catalogue
from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail import store as store_module

HEAD_KEY = 'catalogue/head'
HISTORY_PREFIX = 'catalogue/history/'
_WATCH_SECONDS = 10.0
_RETRY_DELAY = 0.3


@dataclasses.dataclass(frozen=True)
class Head:
    """An accepted catalogue; ``id`` tells whose swap it came from."""

    revision: int
    id: str
    author: str
    text: str


_HEAD = pydantic.TypeAdapter(Head)


def dump_head(head: Head) -> str:
    """Return a head as JSON text."""
    return _HEAD.dump_json(head).decode()


def load_head(text: str) -> Head:
    """Read a head from JSON text."""
    return _HEAD.validate_json(text)


class View:
    """The catalogue in force in this process."""

    def __init__(self) -> None:
        self.revision = 0
        self.catalogue = catalogue.EMPTY
        self.confirmed_at = float('-inf')
        self._text = ''
        self.changed = anyio.Event()

    @property
    def age(self) -> float:
        """Seconds since the revision was last confirmed to be newest."""
        return time.monotonic() - self.confirmed_at

    def offer(self, text: str) -> bool:
        """Apply a head, unless a later one is in force.

        The comparison answers a slow poll's or a peer's late answer: it
        would otherwise bring an edit back that was already replaced.
        """
        head = load_head(text)
        if head.revision <= self.revision:
            return False
        self.catalogue = catalogue.parse('catalogue', head.text)
        self.revision = head.revision
        self._text = text
        logs.write_event('catalogue', revision=head.revision, id=head.id)
        self.changed.set()
        self.changed = anyio.Event()
        return True

    def confirm(self) -> None:
        """Note that the store had nothing newer just now."""
        self.confirmed_at = time.monotonic()

    def describe(self) -> str:
        """Return the head in force as JSON text; empty for none."""
        return self._text


class Follower:
    """Keeps a view up to date by watch and by slow poll."""

    def __init__(
        self, store: store_module.Store, view: View, poll: float
    ) -> None:
        self._store = store
        self._view = view
        self._poll = poll

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_polls)
            group.start_soon(self._run_watch)

    async def read_head(self) -> None:
        """Ask the store for the head once."""
        asked_at = time.monotonic()
        found = await self._store.get(HEAD_KEY)
        if found is not None:
            self._view.offer(found.value)
        self._view.confirmed_at = max(self._view.confirmed_at, asked_at)

    async def _run_polls(self) -> None:
        # A watch can go silent for good without an error; the poll
        # bounds how long a change can stay unseen.
        while True:
            try:
                await self.read_head()
                await anyio.sleep(self._poll)
            except exceptions.StoreUnavailable as error:
                logs.write_event('store-unavailable', error=error)
                await anyio.sleep(_RETRY_DELAY)

    async def _run_watch(self) -> None:
        after = 0
        while True:
            try:
                page = await self._store.watch(HEAD_KEY, after, _WATCH_SECONDS)
            except exceptions.StoreUnavailable:
                await anyio.sleep(_RETRY_DELAY)
                continue
            for item in page.items:
                self._view.offer(item.value)
            after = page.revision


class CatalogueStore:
    """The operators' side: read, and swap for the next revision."""

    def __init__(self, store: store_module.Store) -> None:
        self._store = store

    async def read(self) -> tuple[Head, int]:
        """Return the head and the store's revision of its key."""
        found = await self._store.get(HEAD_KEY)
        if found is None:
            return Head(0, '', '', ''), 0
        return load_head(found.value), found.revision

    async def read_history(self) -> list[Head]:
        """Return all replaced heads and the head, oldest first."""
        page = await self._store.scan(HISTORY_PREFIX)
        heads = [load_head(item.value) for item in page.items]
        head, _ = await self.read()
        return [*heads, head] if head.revision else heads

    async def swap(
        self, base: Head, base_key_revision: int, text: str, author: str
    ) -> Head:
        """Replace the head that was read, and return the new one.

        The replaced head is first copied to the history, so that the
        history has every revision whenever a swap has taken effect.

        Raises
        ------
        persimmonsail.exceptions.Conflict
            If another operator's edit was accepted first.
        """
        if base.revision:
            await self._retry_put(
                f'{HISTORY_PREFIX}{base.revision:08d}', dump_head(base), None
            )
        head = Head(base.revision + 1, uuid.uuid4().hex, author, text)
        try:
            await self._retry_put(HEAD_KEY, dump_head(head), base_key_revision)
        except exceptions.Conflict:
            # The first try's answer may have been lost after it took
            # effect; the id tells whose edit stands.
            if not await self._stands(head):
                raise
        return head

    async def _stands(self, head: Head) -> bool:
        current, _ = await self.read()
        if current.id == head.id:
            return True
        page = await self._store.scan(f'{HISTORY_PREFIX}{head.revision:08d}')
        return any(load_head(i.value).id == head.id for i in page.items)

    async def _retry_put(
        self, key: str, value: str, expected: int | None, tries: int = 10
    ) -> None:
        for remaining in reversed(range(tries)):
            try:
                await self._store.put(key, value, expected)
                return
            except exceptions.StoreUnavailable:
                if not remaining:
                    raise
                await anyio.sleep(_RETRY_DELAY)
