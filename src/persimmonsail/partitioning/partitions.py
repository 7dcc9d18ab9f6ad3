"""Assignment of the task ledger's partitions to entries.

Each entry has one lease in the store. The entry's own key and one key
for each partition that it holds are attached to the lease. A partition
belongs to the live entry that rendezvous hashing prefers.
"""

import dataclasses
import hashlib
import time
import typing as t
import uuid
import zlib

import anyio
import anyio.abc
import pydantic

from persimmonsail.bookkeeping import records
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail.partitioning import consents
from persimmonsail.partitioning import holder as holder_module
from persimmonsail import settings as settings_module
from persimmonsail import store as store_module

LIVE_PREFIX = 'live/'
COUNT_KEY = 'ledger/partitions'
_ENTRY_PREFIX = 'live/entries/'
_HOLDER_PREFIX = 'live/holders/'
_RETRY_PERIOD_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class LiveEntry:
    """An entry's key in the store.

    ``id`` identifies the process: one that restarts under the same name
    must not mistake its predecessor's keys for its own. ``lease`` is the
    lease that the key is attached to.
    """

    name: str
    control: str
    zone: str
    id: str = ''
    lease: str = ''


_LIVE_ENTRY = pydantic.TypeAdapter(LiveEntry)
MakeHolder = t.Callable[
    [int, consents.StoreLease, 'Partitions'], holder_module.Holder
]


def find_partition(team: str, partitions: int) -> int:
    """Return the partition that a team's tasks belong to."""
    return zlib.crc32(team.encode()) % partitions


def prefer_entry(partition: int, names: t.Iterable[str]) -> str:
    """Return the entry that rendezvous hashing prefers for a partition."""
    return max(
        names, key=lambda name: _compute_weight(partition, name), default=''
    )


def _compute_weight(partition: int, name: str) -> bytes:
    return hashlib.sha256(f'{partition}/{name}'.encode()).digest()


def read_entries(page: store_module.Page) -> list[LiveEntry]:
    """Return the entries among the keys below ``LIVE_PREFIX``."""
    return [
        _LIVE_ENTRY.validate_json(item.value)
        for item in page.items
        if item.key.startswith(_ENTRY_PREFIX)
    ]


class Partitions:
    """An entry's lease and partitions, and the other partitions' holders."""

    def __init__(
        self,
        store: store_module.Store,
        settings: settings_module.Settings,
        control: str,
        make_holder: MakeHolder,
    ) -> None:
        self.entries: dict[str, LiveEntry] = {}
        self.held: dict[int, holder_module.Holder] = {}
        self.leaving = False
        self.changed = anyio.Event()
        self._store = store
        self._settings = settings
        self._own = LiveEntry(
            settings.process.name,
            control,
            settings.process.zone,
            uuid.uuid4().hex,
        )
        self.promises = consents.Promises(
            self._own.id, self._is_held_or_acquired
        )
        self._make_holder = make_holder
        self._holders: dict[int, LiveEntry] = {}
        self._revisions: dict[int, int] = {}
        self._lease = consents.StoreLease('', ended=True)
        self._acquiring: set[int] = set()
        self._scopes: dict[int, anyio.CancelScope] = {}

    @property
    def lease_is_valid(self) -> bool:
        """Whether the store is certain to retain this entry's keys now."""
        return self._lease.is_valid

    def find_holder(self, partition: int) -> LiveEntry | None:
        """Return the entry that was last read to hold a partition."""
        return self._holders.get(partition)

    def list_members(self) -> tuple[records.Member, ...]:
        """Return the live entries as last read, including this one."""
        found = {
            entry.id: records.Member(entry.id, entry.control)
            for entry in [*self.entries.values(), self._own]
        }
        return tuple(found[key] for key in sorted(found))

    async def run(self) -> None:
        """Renew the lease and hold partitions until cancelled.

        Raises
        ------
        persimmonsail.exceptions.SettingsMismatch
            If the ledger in the store has another partition count.
        """
        await self._check_count()
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_lease_loop)
            await self._run_membership_loop(group)

    async def leave(self) -> None:
        """Hand over all partitions and revoke the lease."""
        self.leaving = True
        for holder in self.held.values():
            holder.closing.set()
        with anyio.move_on_after(self._settings.entry.drain):
            while self.held:
                await self.changed.wait()
        for scope in list(self._scopes.values()):
            scope.cancel()
        await self._revoke_lease()

    def fence(
        self, request: control_pb2.FenceRequest
    ) -> control_pb2.FenceReply:
        """Refuse consent to earlier epochs, and close an outdated holder."""
        self.promises.fence(request)
        holder = self.held.get(request.partition)
        if holder is not None and holder.table.epoch < request.epoch:
            holder.closing.set()
        return control_pb2.FenceReply(id=self._own.id)

    async def _check_count(self) -> None:
        # Entries with different counts would look up a team's tasks in
        # two ledgers, and could run the work of one key twice.
        own = str(self._settings.entry.partitions)
        while True:
            try:
                await self._store.put(COUNT_KEY, own, 0)
                return
            except exceptions.Conflict:
                found = await self._read_count()
            except exceptions.StoreUnavailable:
                await anyio.sleep(_RETRY_PERIOD_SECONDS)
                continue
            if found == own:
                return
            if found:
                logs.write_warning(
                    'settings-mismatch', partitions=own, store=found
                )
                raise exceptions.SettingsMismatch(
                    f'[entry] partitions = {own}, but the ledger has {found}'
                )

    async def _read_count(self) -> str:
        try:
            found = await self._store.get(COUNT_KEY)
        except exceptions.StoreUnavailable:
            return ''
        return found.value if found else ''

    async def _revoke_lease(self) -> None:
        lease, self._lease.ended = self._lease.id, True
        try:
            if lease:
                await self._store.revoke_lease(lease)
        except exceptions.StoreError as error:
            logs.write_event('lease-not-revoked', error=error)

    async def _run_lease_loop(self) -> None:
        seconds = self._settings.entry.partition_lease
        while not self.leaving:
            asked_at = time.monotonic()
            try:
                if self._lease.ended:
                    await self._register(seconds)
                else:
                    await self._store.renew_lease(self._lease.id)
                self._lease.until = asked_at + seconds
                self.promises.note_contact(asked_at)
            except exceptions.StoreUnavailable:
                await anyio.sleep(_RETRY_PERIOD_SECONDS)
                continue
            except exceptions.StoreError:
                self._lose_lease()
                continue
            await anyio.sleep(seconds / 4)

    async def _register(self, seconds: float) -> None:
        lease = await self._store.grant_lease(seconds)
        self._own = dataclasses.replace(self._own, lease=lease)
        value = _LIVE_ENTRY.dump_json(self._own).decode()
        await self._store.put(
            f'{_ENTRY_PREFIX}{self._own.name}', value, lease=lease
        )
        # Each lease has its own object, so that a holder that runs under
        # a lost lease does not rely on the expiry of the next one.
        self._lease = consents.StoreLease(lease)

    def _lose_lease(self) -> None:
        self._lease.ended = True
        for scope in list(self._scopes.values()):
            scope.cancel()

    async def _run_membership_loop(self, group: anyio.abc.TaskGroup) -> None:
        while not self.leaving:
            try:
                asked_at = time.monotonic()
                page = await self._store.scan(LIVE_PREFIX)
                self.promises.note_contact(asked_at)
                self._update_from(page)
                await self._acquire_preferred(group)
                await self._store.watch(
                    LIVE_PREFIX, page.revision, _RETRY_PERIOD_SECONDS * 4
                )
            except exceptions.StoreError:
                await anyio.sleep(_RETRY_PERIOD_SECONDS)

    def _update_from(self, page: store_module.Page) -> None:
        self.entries = {}
        self._holders = {}
        self._acquiring.clear()
        for item in page.items:
            entry = _LIVE_ENTRY.validate_json(item.value)
            if item.key.startswith(_ENTRY_PREFIX):
                self.entries[entry.name] = entry
            else:
                partition = int(item.key[len(_HOLDER_PREFIX) :])
                self._holders[partition] = entry
                self._revisions[partition] = item.revision
        self._notify_changed()

    async def _acquire_preferred(self, group: anyio.abc.TaskGroup) -> None:
        for partition, holder in self.held.items():
            if prefer_entry(partition, self.entries) != self._own.name:
                holder.closing.set()
        for partition in range(self._settings.entry.partitions):
            if not self.lease_is_valid or self.leaving:
                return
            preferred = prefer_entry(partition, self.entries)
            if preferred != self._own.name:
                await self._hand_over(partition)
            elif not self.promises.is_promised(partition):
                await self._acquire(partition, group)

    async def _acquire(
        self, partition: int, group: anyio.abc.TaskGroup
    ) -> None:
        lease = self._lease
        if partition not in self._holders:
            self._acquiring.add(partition)
            value = _LIVE_ENTRY.dump_json(self._own).decode()
            key = f'{_HOLDER_PREFIX}{partition:03d}'
            try:
                revision = await self._store.put(key, value, 0, lease.id)
            except exceptions.Conflict:
                return
            self._holders[partition] = self._own
            self._revisions[partition] = revision
        if partition in self.held or lease is not self._lease:
            return
        if self._holds(partition) and not self.leaving:
            self.held[partition] = self._make_holder(partition, lease, self)
            group.start_soon(self._run_holder, partition)

    def _holds(self, partition: int) -> bool:
        return self._holders.get(partition) == self._own

    def _is_held_or_acquired(self, partition: int) -> bool:
        return (
            partition in self.held
            or partition in self._acquiring
            or self._holds(partition)
        )

    async def _hand_over(self, partition: int) -> None:
        with anyio.move_on_after(self._settings.entry.drain):
            while partition in self.held:
                await self.changed.wait()
        if self._holds(partition):
            await self._store.delete(
                f'{_HOLDER_PREFIX}{partition:03d}', self._revisions[partition]
            )
            del self._holders[partition]

    async def _run_holder(self, partition: int) -> None:
        holder = self.held[partition]
        reason: object = 'handed over'
        try:
            with anyio.CancelScope() as scope:
                self._scopes[partition] = scope
                await holder.run()
            if scope.cancelled_caught:
                reason = 'the lease was lost'
        except* exceptions.PersimmonsailError as errors:
            reason = errors.exceptions[0]
        finally:
            del self.held[partition]
            del self._scopes[partition]
            logs.write_event(
                'partition-lost', partition=partition, reason=reason
            )
            self._notify_changed()

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
