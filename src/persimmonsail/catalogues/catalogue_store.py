"""The operators' access to the catalogue: reads and swaps."""

import dataclasses
import uuid

import anyio

from persimmonsail.catalogues import follower
from persimmonsail.catalogues import revisions
from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail import store as store_module

_MAX_TRIES = 5
_RETRY_DELAY_SECONDS = 0.3


@dataclasses.dataclass(frozen=True)
class Base:
    """The head that an edit replaces, and its revision in the store."""

    head: revisions.Head
    key_revision: int


class CatalogueStore:
    """The accepted catalogues in the platform's store."""

    def __init__(self, store: store_module.Store) -> None:
        self._store = store

    async def read(self) -> Base:
        """Return the head with its text."""
        found = await self._store.get(revisions.HEAD_KEY)
        if found is None:
            return Base(revisions.NO_HEAD, 0)
        head = revisions.load_head(found.value)
        return Base(
            await follower.read_text(self._store, head), found.revision
        )

    async def read_history(self) -> list[revisions.Head]:
        """Return all heads without texts, oldest first."""
        page = await self._store.scan(revisions.HISTORY_PREFIX)
        found = {}
        for item in page.items:
            head = revisions.load_head(item.value)
            found[head.revision] = head
        head = (await self.read()).head
        if head.revision:
            found[head.revision] = dataclasses.replace(head, text='')
        return [found[revision] for revision in sorted(found)]

    async def read_revision(self, revision: int) -> revisions.Head | None:
        """Return an accepted head with its text, or None."""
        for head in await self.read_history():
            if head.revision == revision:
                return await follower.read_text(self._store, head)
        return None

    async def swap(self, base: Base, text: str, author: str) -> revisions.Head:
        """Replace the head that was read, and return the new one.

        The replaced head is first copied to the history, so that the
        history is complete whenever a swap has taken effect.

        Raises
        ------
        persimmonsail.exceptions.Conflict
            If another operator's edit was accepted first.
        persimmonsail.exceptions.OutcomeUnknown
            If the swap was sent but its outcome cannot be determined.
        persimmonsail.exceptions.StoreUnavailable
            If the store failed before the swap was sent.
        """
        head = revisions.Head(
            base.head.revision + 1,
            uuid.uuid4().hex,
            author,
            text,
            logs.wall_time(),
        )
        text_key = revisions.TEXT_PREFIX + head.id
        await self._retry_put(text_key, text)
        if base.head.revision:
            await self._retry_put(
                f'{revisions.HISTORY_PREFIX}{base.head.revision:08d}',
                _dump_without_text(base.head),
            )
        try:
            await self._retry_put(
                revisions.HEAD_KEY, _dump_without_text(head), base.key_revision
            )
        except exceptions.Conflict:
            # An earlier try may have taken effect and lost its answer;
            # the id shows whose edit was accepted.
            if not await self._resolve(head):
                await self._discard(text_key)
                raise
        except exceptions.StoreUnavailable as error:
            raise exceptions.OutcomeUnknown(head.id, str(error)) from error
        return head

    async def _resolve(self, head: revisions.Head) -> bool:
        try:
            history = await self.read_history()
        except exceptions.StoreUnavailable as error:
            raise exceptions.OutcomeUnknown(head.id, str(error)) from error
        return any(found.id == head.id for found in history)

    async def _discard(self, key: str) -> None:
        try:
            await self._store.delete(key)
        except exceptions.StoreError:
            return

    async def _retry_put(
        self, key: str, value: str, expected: int | None = None
    ) -> None:
        for remaining in reversed(range(_MAX_TRIES)):
            try:
                await self._store.put(key, value, expected)
                return
            except exceptions.StoreUnavailable:
                if not remaining:
                    raise
                await anyio.sleep(_RETRY_DELAY_SECONDS)


def _dump_without_text(head: revisions.Head) -> str:
    return revisions.dump_head(dataclasses.replace(head, text=''))
