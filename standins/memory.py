"""In-memory store with fault injection."""

import dataclasses
import uuid

import anyio
import anyio.lowlevel

from persimmonsail import exceptions
from persimmonsail import store


@dataclasses.dataclass
class Faults:
    """Faults injected into calls.

    Attributes
    ----------
    down : bool
        Calls fail and have no effect.
    delay : float
        Additional seconds that each call takes.
    lose_answers : int
        Number of next writes that take effect but lose their response.
    silent_watches : bool
        Watches stay open but report nothing.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    silent_watches: bool = False


@dataclasses.dataclass
class Calls:
    """Number of calls by kind; a waiting watch counts as one."""

    read: int = 0
    write: int = 0
    watch: int = 0


@dataclasses.dataclass
class _Lease:
    seconds: float
    deadline: float
    keys: set[str] = dataclasses.field(default_factory=set)


class MemoryStore(store.Store):
    """Used in tests directly or served by ``standins.store``."""

    def __init__(self) -> None:
        self._faults = Faults()
        self.calls = Calls()
        self.revision = 0
        self._items: dict[str, store.Item] = {}
        self._deleted: dict[str, int] = {}
        self._leases: dict[str, _Lease] = {}
        self._changed = anyio.Event()

    @property
    def faults(self) -> Faults:
        """The faults in effect; an outage also ends waiting watches."""
        return self._faults

    @faults.setter
    def faults(self, faults: Faults) -> None:
        self._faults = faults
        self._notify_watches()

    async def get(self, key: str) -> store.Item | None:
        """See ``Store.get``."""
        self.calls.read += 1
        await self._apply_faults()
        return self._items.get(key)

    async def scan(self, prefix: str) -> store.Page:
        """See ``Store.scan``."""
        self.calls.read += 1
        await self._apply_faults()
        return store.Page(self.revision, self._list_changed(prefix, 0))

    async def put(
        self,
        key: str,
        value: str,
        expected: int | None = None,
        lease: str | None = None,
    ) -> int:
        """See ``Store.put``."""
        self.calls.write += 1
        await self._apply_faults()
        self._check_revision(key, expected)
        if lease is not None:
            self._find_lease(lease).keys.add(key)
        for other in self._leases.values():
            if other is not self._leases.get(lease or ''):
                other.keys.discard(key)
        revision = self._advance_revision()
        self._items[key] = store.Item(key, value, revision)
        self._lose_response()
        return revision

    async def delete(self, key: str, expected: int | None = None) -> None:
        """See ``Store.delete``."""
        self.calls.write += 1
        await self._apply_faults()
        self._check_revision(key, expected)
        self._delete_key(key)
        self._lose_response()

    async def grant_lease(self, seconds: float) -> str:
        """See ``Store.grant_lease``."""
        self.calls.write += 1
        await self._apply_faults()
        lease = uuid.uuid4().hex
        self._leases[lease] = _Lease(seconds, anyio.current_time() + seconds)
        self._lose_response()
        return lease

    async def renew_lease(self, lease: str) -> None:
        """See ``Store.renew_lease``."""
        self.calls.write += 1
        await self._apply_faults()
        granted = self._find_lease(lease)
        granted.deadline = anyio.current_time() + granted.seconds
        self._lose_response()

    async def revoke_lease(self, lease: str) -> None:
        """See ``Store.revoke_lease``."""
        self.calls.write += 1
        await self._apply_faults()
        self._end_lease(lease)
        self._lose_response()

    async def watch(self, prefix: str, after: int, wait: float) -> store.Page:
        """See ``Store.watch``."""
        self.calls.watch += 1
        await self._apply_faults()
        items: tuple[store.Item, ...] = ()
        with anyio.move_on_after(wait):
            while not items:
                if self.faults.silent_watches:
                    await anyio.sleep_forever()
                items = self._list_changed(prefix, after)
                deleted = any(
                    key.startswith(prefix) and revision > after
                    for key, revision in self._deleted.items()
                )
                if items or deleted:
                    break
                await self._changed.wait()
                self._check_available()
        return store.Page(self.revision, items)

    async def close(self) -> None:
        """See ``Store.close``."""

    def expire_leases(self) -> None:
        """End expired leases; a server calls this periodically."""
        now = anyio.current_time()
        expired = [k for k, v in self._leases.items() if v.deadline <= now]
        for lease in expired:
            self._end_lease(lease)

    async def _apply_faults(self) -> None:
        self.expire_leases()
        if self.faults.delay:
            await anyio.sleep(self.faults.delay)
        else:
            await anyio.lowlevel.checkpoint()
        self._check_available()

    def _check_available(self) -> None:
        if self.faults.down:
            raise exceptions.StoreUnavailable('store is down (injected fault)')

    def _lose_response(self) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise exceptions.StoreUnavailable('response lost (injected fault)')

    def _check_revision(self, key: str, expected: int | None) -> None:
        current = self._items.get(key)
        actual = current.revision if current else 0
        if expected is not None and expected != actual:
            raise exceptions.Conflict(key, actual)

    def _list_changed(self, prefix: str, after: int) -> tuple[store.Item, ...]:
        return tuple(
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and item.revision > after
        )

    def _advance_revision(self) -> int:
        self.revision += 1
        self._notify_watches()
        return self.revision

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _delete_key(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._deleted[key] = self._advance_revision()

    def _find_lease(self, lease: str) -> _Lease:
        if lease not in self._leases:
            raise exceptions.LeaseExpired(lease)
        return self._leases[lease]

    def _end_lease(self, lease: str) -> None:
        ended = self._leases.pop(lease, None)
        for key in ended.keys if ended else ():
            self._delete_key(key)
