"""A partition's ledger: a ring of batches plus a snapshot in the store.

A batch's position maps to one of a fixed number of slots. A slot is
written by compare-and-swap on the revision of its previous write, so
two holders that race for a position cannot both succeed, however long
one of them was paused. A log that deletes old positions would let a
paused holder create a deleted one again.
"""

import dataclasses
import uuid

import anyio
import pydantic

from persimmonsail.bookkeeping import records
from persimmonsail.bookkeeping import tasks
from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail import metrics
from persimmonsail import store as store_module

SLOTS = 512
SNAPSHOT_INTERVAL = 128
GENESIS = ''
_RETRY_DELAY_SECONDS = 0.2
_MAX_LOAD_ATTEMPTS = 10


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The table as of the batch at ``position``, whose hash is ``hash``."""

    position: int
    hash: str
    table: str


class Ledger:
    """Reads one partition's ledger and appends batches to it.

    Not safe for concurrent use; call ``load`` before ``append``.
    ``unavailable`` is set while the store does not answer an append.
    """

    def __init__(self, store: store_module.Store, partition: int) -> None:
        self.partition = partition
        self.table = tasks.Table()
        self.position = 0
        self.hash = GENESIS
        self._store = store
        self._prefix = f'ledger/{partition:03d}'
        self.unavailable = False
        self._slot_revisions: dict[int, int] = {}
        self._snapshot_revision = 0
        self._snapshot_position = 0
        self._uncertain_snapshots: set[str] = set()

    async def load(self) -> None:
        """Read the snapshot and every later batch.

        Raises
        ------
        persimmonsail.exceptions.LedgerCorrupt
            If the chain is broken in several consecutive reads.
        persimmonsail.exceptions.StoreUnavailable
            If the store does not answer.
        """
        for _ in range(_MAX_LOAD_ATTEMPTS):
            await self._load_snapshot()
            slots = await self._store.scan(f'{self._prefix}/slot/')
            try:
                self._replay(slots)
                return
            except exceptions.LedgerCorrupt as error:
                # The ring may have wrapped around between the two reads;
                # a new snapshot then fits. Real corruption persists.
                last_error = error
        raise last_error

    async def append(self, items: tuple[records.Record, ...]) -> records.Batch:
        """Commit records as the next batch, and apply them.

        Returns only when the outcome is certain: a reply lost after the
        write took effect is resolved by writing the same batch again
        and, on a conflict, comparing the batch's id.

        Raises
        ------
        persimmonsail.exceptions.NotHolder
            If another holder wrote this position.
        persimmonsail.exceptions.LedgerCorrupt
            If a record is invalid for the table; nothing was written.
        """
        self._validate_records(items)
        await self._free_next_slot()
        position = self.position + 1
        batch = records.Batch(
            position, uuid.uuid4().hex, self.table.epoch, self.hash, items
        )
        text = records.dump_batch(batch)
        slot = position % SLOTS
        await self._write_slot(slot, text, batch)
        self._apply_batch(batch, text)
        metrics.LEDGER_COMMITS.increment()
        metrics.LEDGER_RECORDS.increment(by=len(items))
        self._log_batch('ledger-commit', batch, text)
        return batch

    def _log_batch(self, event: str, batch: records.Batch, text: str) -> None:
        logs.write_event(
            event,
            partition=self.partition,
            position=batch.position,
            hash=self.hash,
            batch=text,
        )

    async def take_over(self, holder: str) -> int:
        """Open a new epoch after everything that other holders wrote.

        Returns
        -------
        int
            The new epoch.
        """
        while True:
            epoch = self.table.epoch + 1
            try:
                await self.append((records.Opened(holder, epoch),))
                return epoch
            except exceptions.NotHolder:
                await self.load()

    def _validate_records(self, items: tuple[records.Record, ...]) -> None:
        # Once written, a record that replay rejects would prevent every
        # later holder from loading the partition.
        problems = [text for text in self.table.find_problems(items) if text]
        if problems:
            raise exceptions.LedgerCorrupt('; '.join(problems))

    async def _free_next_slot(self) -> None:
        # Until the snapshot covers it, the next slot contains a batch that
        # a later holder needs.
        while self.position + 1 - self._snapshot_position > SLOTS:
            try:
                await self.write_snapshot()
            except exceptions.StoreUnavailable:
                self.unavailable = True
                await anyio.sleep(_RETRY_DELAY_SECONDS)

    def needs_snapshot(self) -> bool:
        """Whether a snapshot is due, well before the ring is full."""
        return self.position - self._snapshot_position >= SNAPSHOT_INTERVAL

    async def write_snapshot(self) -> None:
        """Store the table so that older slots may be overwritten."""
        snapshot = Snapshot(
            self.position,
            self.hash,
            tasks.dump_table(self.table),
        )
        text = _SNAPSHOT.dump_json(snapshot).decode()
        self._uncertain_snapshots.add(records.hash_text(text))
        while True:
            try:
                self._snapshot_revision = await self._store.put(
                    f'{self._prefix}/snapshot',
                    text,
                    expected=self._snapshot_revision,
                )
                break
            except exceptions.Conflict:
                await self._adopt_own_snapshot()
        self._uncertain_snapshots.clear()
        self._snapshot_position = snapshot.position

    async def _adopt_own_snapshot(self) -> None:
        # The reply to an earlier attempt may have been lost after the
        # write took effect; this attempt then conflicts with it.
        found = await self._store.get(f'{self._prefix}/snapshot')
        own_hashes = self._uncertain_snapshots
        if found is None or records.hash_text(found.value) not in own_hashes:
            raise exceptions.NotHolder('another holder wrote a snapshot')
        self._snapshot_revision = found.revision

    async def _load_snapshot(self) -> None:
        found = await self._store.get(f'{self._prefix}/snapshot')
        if found is None:
            self.table = tasks.Table()
            self.position = 0
            self.hash = GENESIS
            self._snapshot_revision = 0
        else:
            snapshot = _SNAPSHOT.validate_json(found.value)
            self.table = tasks.load_table(snapshot.table)
            self.position = snapshot.position
            self.hash = snapshot.hash
            self._snapshot_revision = found.revision
        self._snapshot_position = self.position

    def _replay(self, page: store_module.Page) -> None:
        self._slot_revisions = {}
        newer = []
        for item in page.items:
            batch = records.load_batch(item.value)
            slot = batch.position % SLOTS
            self._slot_revisions[slot] = item.revision
            if batch.position > self.position:
                newer.append((batch, item.value))
        newer.sort(key=lambda pair: pair[0].position)
        for batch, text in newer:
            self._check_chain(batch)
            self._apply_batch(batch, text)
        if newer:
            # A holder that died between a write and its log line has not
            # logged its last batch, so the holder that reads it does.
            self._log_batch('ledger-read', *newer[-1])

    def _check_chain(self, batch: records.Batch) -> None:
        if batch.position != self.position + 1:
            raise exceptions.LedgerCorrupt(
                f'partition {self.partition}: no position {self.position + 1}'
            )
        if batch.previous != self.hash:
            raise exceptions.LedgerCorrupt(
                f'partition {self.partition}: chain broken at {batch.position}'
            )

    def _apply_batch(self, batch: records.Batch, text: str) -> None:
        for record in batch.records:
            self.table.apply(record)
        self.position = batch.position
        self.hash = records.hash_text(text)

    async def _write_slot(
        self, slot: int, text: str, batch: records.Batch
    ) -> None:
        key = f'{self._prefix}/slot/{slot:04d}'
        expected = self._slot_revisions.get(slot, 0)
        while True:
            try:
                revision = await self._store.put(key, text, expected)
                break
            except exceptions.Conflict:
                revision = await self._resolve_conflict(key, batch)
                break
            except exceptions.StoreUnavailable:
                self.unavailable = True
                await anyio.sleep(_RETRY_DELAY_SECONDS)
        self.unavailable = False
        self._slot_revisions[slot] = revision

    async def _resolve_conflict(self, key: str, batch: records.Batch) -> int:
        while True:
            try:
                found = await self._store.get(key)
            except exceptions.StoreUnavailable:
                await anyio.sleep(_RETRY_DELAY_SECONDS)
                continue
            if found and records.load_batch(found.value).id == batch.id:
                return found.revision
            raise exceptions.NotHolder(
                f'position {batch.position} was written by another holder'
            )


_SNAPSHOT = pydantic.TypeAdapter(Snapshot)
