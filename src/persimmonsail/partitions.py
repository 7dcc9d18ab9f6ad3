"""Which entry holds which partition of the task ledger.

Each entry keeps one lease in the store. Under it stand the entry's own
key and one key for each partition it holds. A partition belongs to the
live entry that rendezvous hashing prefers.
"""

import dataclasses
import hashlib
import time
import typing as t
import zlib

import anyio
import pydantic

from persimmonsail import exceptions
from persimmonsail import holder as holder_module
from persimmonsail import logs
from persimmonsail import settings as settings_module
from persimmonsail import store as store_module

LIVE_PREFIX = 'live/'
_ENTRY_PREFIX = 'live/entries/'
_HOLDER_PREFIX = 'live/holders/'
_PERIOD = 0.5


@dataclasses.dataclass(frozen=True)
class LiveEntry:
    """An entry's key in the store."""

    name: str
    control: str
    zone: str


_LIVE_ENTRY = pydantic.TypeAdapter(LiveEntry)


def find_partition(team: str, partitions: int) -> int:
    """Return the partition that a team's tasks belong to."""
    return zlib.crc32(team.encode()) % partitions


def prefer_entry(partition: int, names: t.Iterable[str]) -> str:
    """Return the entry that should hold a partition, by rendezvous."""
    return max(names, key=lambda name: _weigh(partition, name), default='')


def _weigh(partition: int, name: str) -> bytes:
    return hashlib.sha256(f'{partition}/{name}'.encode()).digest()


def read_entries(page: store_module.Page) -> list[LiveEntry]:
    """Return the entries among the keys below ``LIVE_PREFIX``."""
    return [
        _LIVE_ENTRY.validate_json(item.value)
        for item in page.items
        if item.key.startswith(_ENTRY_PREFIX)
    ]


class Partitions:
    """An entry's lease, its partitions, and where the others are."""

    def __init__(
        self,
        store: store_module.Store,
        settings: settings_module.Settings,
        control: str,
        make_holder: t.Callable[[int], holder_module.Holder],
    ) -> None:
        self.entries: dict[str, LiveEntry] = {}
        self.held: dict[int, holder_module.Holder] = {}
        self.leaving = False
        self._store = store
        self._settings = settings
        self._own = LiveEntry(
            settings.process.name, control, settings.process.zone
        )
        self._make_holder = make_holder
        self._holders: dict[int, LiveEntry] = {}
        self._lease = ''
        self._lease_until = float('-inf')
        self._scopes: dict[int, anyio.CancelScope] = {}

    @property
    def lease_is_valid(self) -> bool:
        """Whether the store still keeps this entry's keys for sure."""
        return time.monotonic() < self._lease_until

    def find_holder(self, partition: int) -> LiveEntry | None:
        """Return the entry that holds a partition, as last read."""
        return self._holders.get(partition)

    async def run(self) -> None:
        """Keep the lease and hold partitions until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_lease)
            await self._run_membership(group)

    async def leave(self) -> None:
        """Hand all partitions over and end the lease."""
        self.leaving = True
        for scope in list(self._scopes.values()):
            scope.cancel()
        try:
            if self._lease:
                await self._store.revoke_lease(self._lease)
        except exceptions.StoreError as error:
            logs.write_event('lease-not-revoked', error=error)

    async def _run_lease(self) -> None:
        seconds = self._settings.entry.partition_lease
        while not self.leaving:
            asked_at = time.monotonic()
            try:
                if self._lease:
                    await self._store.renew_lease(self._lease)
                else:
                    await self._register(seconds)
                self._lease_until = asked_at + seconds
            except exceptions.StoreUnavailable:
                await anyio.sleep(_PERIOD)
                continue
            except exceptions.StoreError:
                self._lose_lease()
                continue
            await anyio.sleep(seconds / 4)

    async def _register(self, seconds: float) -> None:
        lease = await self._store.grant_lease(seconds)
        value = _LIVE_ENTRY.dump_json(self._own).decode()
        await self._store.put(
            f'{_ENTRY_PREFIX}{self._own.name}', value, lease=lease
        )
        self._lease = lease

    def _lose_lease(self) -> None:
        self._lease = ''
        for scope in list(self._scopes.values()):
            scope.cancel()

    async def _run_membership(self, group) -> None:
        after = 0
        while not self.leaving:
            try:
                page = await self._store.scan(LIVE_PREFIX)
                self._note(page)
                await self._take_preferred(group)
                after = page.revision
                await self._store.watch(LIVE_PREFIX, after, _PERIOD * 4)
            except exceptions.StoreError:
                await anyio.sleep(_PERIOD)

    def _note(self, page: store_module.Page) -> None:
        self.entries = {}
        self._holders = {}
        for item in page.items:
            entry = _LIVE_ENTRY.validate_json(item.value)
            if item.key.startswith(_ENTRY_PREFIX):
                self.entries[entry.name] = entry
            else:
                self._holders[int(item.key[len(_HOLDER_PREFIX) :])] = entry

    async def _take_preferred(self, group) -> None:
        if not self.lease_is_valid:
            return
        value = _LIVE_ENTRY.dump_json(self._own).decode()
        for partition in range(self._settings.entry.partitions):
            preferred = prefer_entry(partition, self.entries)
            if preferred != self._own.name:
                await self._hand_over(partition)
            elif partition not in self._holders:
                key = f'{_HOLDER_PREFIX}{partition:03d}'
                try:
                    await self._store.put(key, value, 0, self._lease)
                except exceptions.Conflict:
                    continue
                self._holders[partition] = self._own
            if self._holds(partition) and partition not in self.held:
                group.start_soon(self._hold, partition)
                self.held[partition] = self._make_holder(partition)

    def _holds(self, partition: int) -> bool:
        found = self._holders.get(partition)
        return found is not None and found == self._own

    async def _hand_over(self, partition: int) -> None:
        if partition in self._scopes:
            self._scopes[partition].cancel()
        if self._holds(partition):
            await self._store.delete(f'{_HOLDER_PREFIX}{partition:03d}')

    async def _hold(self, partition: int) -> None:
        holder = self.held[partition]
        try:
            with anyio.CancelScope() as scope:
                self._scopes[partition] = scope
                await holder.run()
        except* (exceptions.NotHolder, exceptions.StoreError) as errors:
            logs.write_event(
                'partition-lost',
                partition=partition,
                error=errors.exceptions[0],
            )
        finally:
            del self.held[partition]
            del self._scopes[partition]
