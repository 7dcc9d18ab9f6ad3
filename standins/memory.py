"""The platform's store in memory, with the faults that it may have."""

import dataclasses
import uuid

import anyio
import anyio.lowlevel

from persimmonsail import exceptions
from persimmonsail import store


@dataclasses.dataclass
class Faults:
    """What goes wrong with calls, from now on.

    Attributes
    ----------
    down : bool
        Calls fail and have no effect.
    delay : float
        Seconds that each call takes longer.
    lose_answers : int
        This many next writes take effect, but their answers are lost.
    silent_watches : bool
        Watches no longer report anything; they stay open.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    silent_watches: bool = False


@dataclasses.dataclass
class Calls:
    """How many calls were made; a waiting watch counts as one."""

    read: int = 0
    write: int = 0
    watch: int = 0


@dataclasses.dataclass
class _Lease:
    seconds: float
    deadline: float
    keys: set[str] = dataclasses.field(default_factory=set)


class MemoryStore(store.Store):
    """Use it in tests directly, or behind ``standins.store``."""

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
        """What goes wrong now; an outage also ends waiting watches."""
        return self._faults

    @faults.setter
    def faults(self, faults: Faults) -> None:
        self._faults = faults
        self._wake()

    async def get(self, key: str) -> store.Item | None:
        """See ``Store.get``."""
        self.calls.read += 1
        await self._fail_or_wait()
        return self._items.get(key)

    async def scan(self, prefix: str) -> store.Page:
        """See ``Store.scan``."""
        self.calls.read += 1
        await self._fail_or_wait()
        return store.Page(self.revision, self._below(prefix, 0))

    async def put(
        self,
        key: str,
        value: str,
        expected: int | None = None,
        lease: str | None = None,
    ) -> int:
        """See ``Store.put``."""
        self.calls.write += 1
        await self._fail_or_wait()
        self._check(key, expected)
        if lease is not None:
            self._find_lease(lease).keys.add(key)
        for holder in self._leases.values():
            if holder is not self._leases.get(lease or ''):
                holder.keys.discard(key)
        revision = self._change()
        self._items[key] = store.Item(key, value, revision)
        self._lose_answer()
        return revision

    async def delete(self, key: str, expected: int | None = None) -> None:
        """See ``Store.delete``."""
        self.calls.write += 1
        await self._fail_or_wait()
        self._check(key, expected)
        self._remove(key)
        self._lose_answer()

    async def grant_lease(self, seconds: float) -> str:
        """See ``Store.grant_lease``."""
        self.calls.write += 1
        await self._fail_or_wait()
        lease = uuid.uuid4().hex
        self._leases[lease] = _Lease(seconds, anyio.current_time() + seconds)
        self._lose_answer()
        return lease

    async def renew_lease(self, lease: str) -> None:
        """See ``Store.renew_lease``."""
        self.calls.write += 1
        await self._fail_or_wait()
        found = self._find_lease(lease)
        found.deadline = anyio.current_time() + found.seconds
        self._lose_answer()

    async def revoke_lease(self, lease: str) -> None:
        """See ``Store.revoke_lease``."""
        self.calls.write += 1
        await self._fail_or_wait()
        self._end_lease(lease)
        self._lose_answer()

    async def watch(self, prefix: str, after: int, wait: float) -> store.Page:
        """See ``Store.watch``."""
        self.calls.watch += 1
        await self._fail_or_wait()
        items: tuple[store.Item, ...] = ()
        with anyio.move_on_after(wait):
            while not items:
                if self.faults.silent_watches:
                    await anyio.sleep_forever()
                items = self._below(prefix, after)
                deleted = any(
                    key.startswith(prefix) and revision > after
                    for key, revision in self._deleted.items()
                )
                if items or deleted:
                    break
                await self._changed.wait()
                self._check_up()
        return store.Page(self.revision, items)

    async def close(self) -> None:
        """See ``Store.close``."""

    def expire_leases(self) -> None:
        """End leases whose time is over; a server calls it regularly."""
        now = anyio.current_time()
        over = [k for k, v in self._leases.items() if v.deadline <= now]
        for lease in over:
            self._end_lease(lease)

    async def _fail_or_wait(self) -> None:
        self.expire_leases()
        if self.faults.delay:
            await anyio.sleep(self.faults.delay)
        else:
            await anyio.lowlevel.checkpoint()
        self._check_up()

    def _check_up(self) -> None:
        if self.faults.down:
            raise exceptions.StoreUnavailable('the store is down')

    def _lose_answer(self) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise exceptions.StoreUnavailable('the answer was lost')

    def _check(self, key: str, expected: int | None) -> None:
        found = self._items.get(key)
        actual = found.revision if found else 0
        if expected is not None and expected != actual:
            raise exceptions.Conflict(key, actual)

    def _below(self, prefix: str, after: int) -> tuple[store.Item, ...]:
        return tuple(
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and item.revision > after
        )

    def _change(self) -> int:
        self.revision += 1
        self._wake()
        return self.revision

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._deleted[key] = self._change()

    def _find_lease(self, lease: str) -> _Lease:
        if lease not in self._leases:
            raise exceptions.LeaseExpired(lease)
        return self._leases[lease]

    def _end_lease(self, lease: str) -> None:
        found = self._leases.pop(lease, None)
        for key in found.keys if found else ():
            self._remove(key)
