"""Rebuilds the ledger from logs and store and verifies its hash chain.

Every ``ledger-commit`` line contains its complete batch, since the ring
buffer in the store overwrites old batches. Each partition's chain must
be complete from its first position: a gap, two batches at one position
or a hash mismatch is a finding about the evidence itself.
"""

import collections
import dataclasses
import re
import typing as t

import pydantic

from persimmonsail.auditing import evidence as evidence_module
from persimmonsail.bookkeeping import ledger
from persimmonsail.bookkeeping import records
from persimmonsail.bookkeeping import tasks
from persimmonsail import exceptions
from persimmonsail import store

PREFIX = 'ledger/'
_KEY = re.compile(
    r'ledger/(?P<partition>\d+)/(?:slot/\d+|(?P<snapshot>snapshot))'
)
_PAGE = pydantic.TypeAdapter(store.Page)
_SNAPSHOT = pydantic.TypeAdapter(ledger.Snapshot)


@dataclasses.dataclass(frozen=True)
class Link:
    """One batch of the chain and where it was read from."""

    batch: records.Batch
    hash: str
    location: str


@dataclasses.dataclass(frozen=True)
class Entry:
    """One record of a task, with its position in the chain."""

    record: t.Any
    partition: int
    position: int
    epoch: int
    location: str


@dataclasses.dataclass(frozen=True)
class Fault:
    """An inconsistency or gap in the evidence of the ledger."""

    partition: int
    text: str
    locations: tuple[str, ...] = ()


@dataclasses.dataclass
class Ledgers:
    """The chains of all partitions.

    Attributes
    ----------
    history : dict
        The records of each task in order of position.
    faults : list of Fault
        Forks, broken hashes and mismatches with the store.
    gaps : list of Fault
        Positions without evidence.
    """

    chains: dict[int, dict[int, Link]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(dict)
    )
    history: dict[str, list[Entry]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    faults: list[Fault] = dataclasses.field(default_factory=list)
    gaps: list[Fault] = dataclasses.field(default_factory=list)

    def is_complete(self, task: str) -> bool:
        """Whether the chain of a task's partition has no gap or fault."""
        partition = int(task.partition('-')[0] or 0)
        broken = {fault.partition for fault in [*self.gaps, *self.faults]}
        return partition not in broken

    def find(self, task: str, kind: type) -> list[Entry]:
        """Return a task's records of one kind."""
        return [
            entry
            for entry in self.history.get(task, ())
            if isinstance(entry.record, kind)
        ]


def rebuild(
    evidence: evidence_module.Evidence, page: store.Page | None
) -> Ledgers:
    """Rebuild all chains from log lines and, if given, the store."""
    ledgers = Ledgers()
    for event in evidence.select('ledger-commit', 'ledger-read'):
        _add_logged(ledgers, event)
    snapshots = _add_stored(ledgers, page) if page is not None else {}
    for partition in sorted(ledgers.chains.keys() | snapshots.keys()):
        _verify(ledgers, partition, snapshots.get(partition))
    return ledgers


def read_page(text: str) -> store.Page:
    """Read a saved copy of the store's ledger keys."""
    return _PAGE.validate_json(text)


def dump_page(page: store.Page) -> str:
    """Return the store's ledger keys as JSON text, to keep a copy."""
    return _PAGE.dump_json(page, indent=1).decode()


def _add_logged(ledgers: Ledgers, event: evidence_module.Event) -> None:
    partition = event.get_int('partition')
    text = event.get('batch')
    link = _read_link(ledgers, partition, text, event.location)
    if link is None:
        return
    if link.hash != event.get('hash'):
        ledgers.faults.append(
            Fault(
                partition,
                f'position {link.batch.position}: the hash of the line does '
                'not match its batch',
                (event.location,),
            )
        )
    _add_link(ledgers, partition, link)


def _read_link(
    ledgers: Ledgers, partition: int, text: str, location: str
) -> Link | None:
    try:
        batch = records.load_batch(text)
    except pydantic.ValidationError:
        ledgers.faults.append(
            Fault(partition, 'a batch cannot be read', (location,))
        )
        return None
    return Link(batch, records.hash_text(text), location)


def _add_link(ledgers: Ledgers, partition: int, link: Link) -> None:
    chain = ledgers.chains[partition]
    existing = chain.setdefault(link.batch.position, link)
    if existing.hash != link.hash:
        ledgers.faults.append(
            Fault(
                partition,
                f'two batches at position {link.batch.position}',
                (existing.location, link.location),
            )
        )


def _add_stored(
    ledgers: Ledgers, page: store.Page
) -> dict[int, ledger.Snapshot]:
    snapshots = {}
    for item in page.items:
        key = _KEY.fullmatch(item.key)
        if key is None:
            continue
        partition = int(key['partition'])
        location = f'store:{item.key}'
        if key['snapshot']:
            snapshots[partition] = _SNAPSHOT.validate_json(item.value)
        elif link := _read_link(ledgers, partition, item.value, location):
            _add_link(ledgers, partition, link)
    return snapshots


def _verify(
    ledgers: Ledgers, partition: int, snapshot: ledger.Snapshot | None
) -> None:
    chain = ledgers.chains[partition]
    last = max(chain, default=0)
    if snapshot is not None:
        last = max(last, snapshot.position)
    _find_gaps(ledgers, partition, last)
    previous = ledger.GENESIS
    for position in range(1, last + 1):
        link = chain.get(position)
        if link is None:
            previous = None
            continue
        if previous is not None and link.batch.previous != previous:
            ledgers.faults.append(
                Fault(
                    partition,
                    f'the chain is broken at position {position}',
                    (link.location,),
                )
            )
        previous = link.hash
        _add_history(ledgers, partition, link)
    if snapshot is not None:
        _compare_snapshot(ledgers, partition, snapshot)


def _find_gaps(ledgers: Ledgers, partition: int, last: int) -> None:
    chain = ledgers.chains[partition]
    missing = [p for p in range(1, last + 1) if p not in chain]
    if missing:
        ledgers.gaps.append(
            Fault(
                partition,
                f'no evidence of {len(missing)} of {last} positions, '
                f'from {missing[0]} on',
            )
        )


def _add_history(ledgers: Ledgers, partition: int, link: Link) -> None:
    for record in link.batch.records:
        task = getattr(record, 'task', None)
        if task is None:
            continue
        ledgers.history[task].append(
            Entry(
                record,
                partition,
                link.batch.position,
                link.batch.epoch,
                link.location,
            )
        )


def _compare_snapshot(
    ledgers: Ledgers, partition: int, snapshot: ledger.Snapshot
) -> None:
    locations = (f'store:{PREFIX}{partition:03d}/snapshot',)
    chain = ledgers.chains[partition]
    link = chain.get(snapshot.position)
    if link is not None and link.hash != snapshot.hash:
        ledgers.faults.append(
            Fault(
                partition,
                'the snapshot belongs to a different chain',
                locations,
            )
        )
    broken = {fault.partition for fault in [*ledgers.gaps, *ledgers.faults]}
    if partition in broken:
        return
    table = tasks.Table()
    for position in range(1, snapshot.position + 1):
        for record in chain[position].batch.records:
            try:
                table.apply(record)
            except exceptions.LedgerCorrupt:
                # The checks of the invariants report this record.
                return
    if table != tasks.load_table(snapshot.table):
        ledgers.faults.append(
            Fault(
                partition,
                'the snapshot differs from the replayed chain',
                locations,
            )
        )
