"""A partition's tasks, as its ledger's records add up to them."""

import dataclasses
import functools
import typing as t

import pydantic

from persimmonsail import exceptions
from persimmonsail import records


@dataclasses.dataclass
class Task:
    """One accepted task and its latest attempt.

    ``may_have_run`` is true once an attempt was claimed and not proved
    not to have run; ``checkpoint`` is what a next attempt resumes from.
    """

    id: str
    workload: str
    team: str
    payload: str
    revision: int
    phase: records.TaskPhase = records.TaskPhase.PENDING
    attempt: int = 0
    instance: str = ''
    checkpoint: str = ''
    answer: str = ''
    reason: str = ''
    cancel_asked: bool = False
    evictions: int = 0

    @property
    def is_final(self) -> bool:
        """Whether the task has its one final outcome."""
        return self.phase in records.FINAL_PHASES


@dataclasses.dataclass
class Table:
    """All tasks of a partition and the epoch of its holder."""

    epoch: int = 0
    holder: str = ''
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)

    def apply(self, record: records.Record) -> None:
        """Change the table as one record says.

        Raises
        ------
        persimmonsail.exceptions.LedgerCorrupt
            If the record does not fit the task's phase.
        """
        _apply(record, self)

    def find(self, task: str) -> Task:
        """Return a task that a record speaks of."""
        if task not in self.tasks:
            raise exceptions.LedgerCorrupt(f'no task {task}')
        return self.tasks[task]


TABLE = pydantic.TypeAdapter(Table)


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


@_apply.register
def _(record: records.Released, table: Table) -> None:
    task = _find_attempt(table, record.task, record.attempt)
    task.phase = records.TaskPhase.PENDING
    task.instance = ''
    task.reason = record.reason
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


def _find_attempt(table: Table, name: str, attempt: int) -> Task:
    task = table.find(name)
    claimed = task.phase is records.TaskPhase.CLAIMED
    if not claimed or task.attempt != attempt:
        raise exceptions.LedgerCorrupt(f'{name} has no attempt {attempt}')
    return task
