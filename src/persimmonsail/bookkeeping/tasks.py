"""A partition's tasks, as derived from its ledger's records."""

import base64
import dataclasses
import functools
import typing as t
import zlib

import pydantic

from persimmonsail.bookkeeping import records
from persimmonsail import exceptions

FAILED = 'failed'


@dataclasses.dataclass
class Task:
    """One accepted task and its latest attempt.

    ``checkpoint`` is where the next attempt resumes; ``boot`` identifies
    the worker process that the latest attempt was claimed for.
    """

    id: str
    workload: str
    team: str
    payload: str
    revision: int
    phase: records.TaskPhase = records.TaskPhase.PENDING
    attempt: int = 0
    instance: str = ''
    boot: str = ''
    checkpoint: str = ''
    answer: str = ''
    reason: str = ''
    cancel_asked: bool = False
    evictions: int = 0
    failures: int = 0
    finished_at: float = 0.0

    @property
    def is_final(self) -> bool:
        """Whether the task has its final outcome."""
        return self.phase in records.FINAL_PHASES


@dataclasses.dataclass
class Table:
    """All tasks of a partition and the epoch of its holder."""

    epoch: int = 0
    holder: str = ''
    members: tuple[records.Member, ...] = ()
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)

    def apply(self, record: records.Record) -> None:
        """Apply one record to the table.

        Raises
        ------
        persimmonsail.exceptions.LedgerCorrupt
            If the record is invalid in the task's phase.
        """
        _apply(record, self)

    def find_problems(self, items: t.Sequence[records.Record]) -> list[str]:
        """Apply records to a copy, and return the problem with each.

        Returns
        -------
        list of str
            Why each record is invalid; empty if it is valid. Invalid
            records are skipped when later ones are checked.
        """
        names = {name for item in items for name in records.list_tasks(item)}
        copy = dataclasses.replace(
            self,
            tasks={
                name: dataclasses.replace(self.tasks[name])
                for name in names
                if name in self.tasks
            },
        )
        return [_find_problem(copy, item) for item in items]

    def find(self, task: str) -> Task:
        """Return a task that a record refers to."""
        if task not in self.tasks:
            raise exceptions.LedgerCorrupt(f'no task {task}')
        return self.tasks[task]


TABLE = pydantic.TypeAdapter(Table)


def dump_table(table: Table) -> str:
    """Return a table as compressed text, to be stored as a value."""
    return base64.b64encode(zlib.compress(TABLE.dump_json(table))).decode()


def load_table(text: str) -> Table:
    """Read a table that ``dump_table`` wrote."""
    return TABLE.validate_json(zlib.decompress(base64.b64decode(text)))


def _find_problem(table: Table, record: records.Record) -> str:
    try:
        table.apply(record)
    except exceptions.LedgerCorrupt as error:
        return str(error)
    return ''


@functools.singledispatch
def _apply(record: t.Any, table: Table) -> None:
    raise exceptions.LedgerCorrupt(f'unknown record {record!r}')


@_apply.register
def _(record: records.Opened, table: Table) -> None:
    if record.epoch <= table.epoch:
        raise exceptions.LedgerCorrupt(f'epoch {record.epoch} is not new')
    table.epoch = record.epoch
    table.holder = record.holder


@_apply.register
def _(record: records.Members, table: Table) -> None:
    table.members = record.entries


@_apply.register
def _(record: records.Submitted, table: Table) -> None:
    if record.task in table.tasks:
        raise exceptions.LedgerCorrupt(f'{record.task} submitted twice')
    table.tasks[record.task] = Task(
        record.task,
        record.workload,
        record.team,
        record.payload,
        record.revision,
    )


@_apply.register
def _(record: records.Claimed, table: Table) -> None:
    task = table.find(record.task)
    if task.phase is not records.TaskPhase.PENDING:
        raise exceptions.LedgerCorrupt(f'{task.id} claimed in {task.phase}')
    if record.attempt != task.attempt + 1:
        raise exceptions.LedgerCorrupt(f'{task.id} skips an attempt')
    task.phase = records.TaskPhase.CLAIMED
    task.attempt = record.attempt
    task.instance = record.instance
    task.boot = record.boot


@_apply.register
def _(record: records.Released, table: Table) -> None:
    task = _find_attempt(table, record.task, record.attempt)
    task.phase = records.TaskPhase.PENDING
    task.instance = ''
    task.reason = record.reason
    if record.reason == FAILED:
        task.failures += 1
    if record.checkpoint:
        task.checkpoint = record.checkpoint
        task.evictions += 1


@_apply.register
def _(record: records.CancelAsked, table: Table) -> None:
    table.find(record.task).cancel_asked = True


@_apply.register
def _(record: records.Finished, table: Table) -> None:
    task = table.find(record.task)
    if task.is_final or record.attempt != task.attempt:
        raise exceptions.LedgerCorrupt(f'{task.id} finished out of turn')
    task.phase = record.phase
    task.answer = record.answer
    task.reason = record.reason
    task.finished_at = record.at
    task.payload = ''
    task.checkpoint = ''


@_apply.register
def _(record: records.Retired, table: Table) -> None:
    for name in record.tasks:
        if not table.find(name).is_final:
            raise exceptions.LedgerCorrupt(f'{name} is not finished')
    for name in record.tasks:
        table.tasks.pop(name, None)


def _find_attempt(table: Table, name: str, attempt: int) -> Task:
    task = table.find(name)
    claimed = task.phase is records.TaskPhase.CLAIMED
    if not claimed or task.attempt != attempt:
        raise exceptions.LedgerCorrupt(f'{name} has no attempt {attempt}')
    return task
