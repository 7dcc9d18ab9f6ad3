"""Records of a partition's ledger, and their JSON form."""

import dataclasses
import enum
import hashlib
import typing as t

import pydantic

# Reason for abandoning an attempt on an unreachable instance.
LEASE_EXPIRED = 'lease over'


class TaskPhase(enum.StrEnum):
    """The phase of a task between its acceptance and its outcome."""

    PENDING = 'pending'
    CLAIMED = 'claimed'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNKNOWN = 'unknown'


FINAL_PHASES = frozenset(
    {
        TaskPhase.SUCCEEDED,
        TaskPhase.FAILED,
        TaskPhase.CANCELLED,
        TaskPhase.UNKNOWN,
    }
)


@dataclasses.dataclass(frozen=True)
class Opened:
    """A holder took over the partition under a new epoch."""

    holder: str
    epoch: int
    kind: t.Literal['opened'] = 'opened'


@dataclasses.dataclass(frozen=True)
class Member:
    """An entry's process and its control address."""

    id: str
    control: str


@dataclasses.dataclass(frozen=True)
class Members:
    """The entries whose consent the holder needs in a store outage."""

    entries: tuple[Member, ...]
    kind: t.Literal['members'] = 'members'


@dataclasses.dataclass(frozen=True)
class Submitted:
    """A caller's task was accepted."""

    task: str
    workload: str
    team: str
    payload: str
    revision: int
    kind: t.Literal['submitted'] = 'submitted'


@dataclasses.dataclass(frozen=True)
class Claimed:
    """An attempt was assigned to an instance and may run there.

    ``boot`` identifies the worker's process. Once it has been replaced,
    the attempt's absence no longer proves that it never ran.
    """

    task: str
    attempt: int
    instance: str
    boot: str = ''
    kind: t.Literal['claimed'] = 'claimed'


@dataclasses.dataclass(frozen=True)
class Released:
    """An attempt ended without an outcome; the task is pending again.

    ``checkpoint`` is where the next attempt resumes if the task was
    evicted; ``reason`` says why the attempt ended.
    """

    task: str
    attempt: int
    reason: str
    checkpoint: str = ''
    kind: t.Literal['released'] = 'released'


@dataclasses.dataclass(frozen=True)
class CancelAsked:
    """A caller requested the task's cancellation."""

    task: str
    kind: t.Literal['cancel-asked'] = 'cancel-asked'


@dataclasses.dataclass(frozen=True)
class Finished:
    """The task's single final outcome; ``at`` is a Unix timestamp."""

    task: str
    attempt: int
    phase: TaskPhase
    answer: str = ''
    reason: str = ''
    at: float = 0.0
    kind: t.Literal['finished'] = 'finished'


@dataclasses.dataclass(frozen=True)
class Retired:
    """Finished tasks that were removed from the table."""

    tasks: tuple[str, ...]
    kind: t.Literal['retired'] = 'retired'


Record = t.Annotated[
    Opened
    | Members
    | Submitted
    | Claimed
    | Released
    | CancelAsked
    | Finished
    | Retired,
    pydantic.Field(discriminator='kind'),
]


@dataclasses.dataclass(frozen=True)
class Batch:
    """The records of one group commit, chained to the previous batch.

    After a lost reply, ``id`` lets a holder recognise its own batch at
    the position that it wrote.
    """

    position: int
    id: str
    epoch: int
    previous: str
    records: tuple[Record, ...]


def list_tasks(record: Record) -> tuple[str, ...]:
    """Return the tasks that a record refers to."""
    if isinstance(record, Retired):
        return record.tasks
    task = getattr(record, 'task', '')
    return (task,) if task else ()


BATCH = pydantic.TypeAdapter(Batch)


def dump_batch(batch: Batch) -> str:
    """Return a batch as JSON text."""
    return BATCH.dump_json(batch).decode()


def load_batch(text: str) -> Batch:
    """Read a batch from JSON text."""
    return BATCH.validate_json(text)


def hash_text(text: str) -> str:
    """Return the hash that links one stored batch to the next."""
    return hashlib.sha256(text.encode()).hexdigest()
