"""Records of a partition's ledger, and their JSON form."""

import dataclasses
import enum
import hashlib
import typing as t

import pydantic


class TaskPhase(enum.StrEnum):
    """Where a task stands between its acceptance and its end."""

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
    """A holder took the partition over under a new epoch."""

    holder: str
    epoch: int
    kind: t.Literal['opened'] = 'opened'


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
    """An attempt may run on one instance from now on."""

    task: str
    attempt: int
    instance: str
    kind: t.Literal['claimed'] = 'claimed'


@dataclasses.dataclass(frozen=True)
class Released:
    """An attempt ended without an outcome; the task is pending again.

    ``checkpoint`` is what the next attempt resumes from, if the work
    was evicted; ``reason`` says why the attempt ended.
    """

    task: str
    attempt: int
    reason: str
    checkpoint: str = ''
    kind: t.Literal['released'] = 'released'


@dataclasses.dataclass(frozen=True)
class CancelAsked:
    """A caller asked for the task's end."""

    task: str
    kind: t.Literal['cancel-asked'] = 'cancel-asked'


@dataclasses.dataclass(frozen=True)
class Finished:
    """The task's one final outcome."""

    task: str
    attempt: int
    phase: TaskPhase
    answer: str = ''
    reason: str = ''
    kind: t.Literal['finished'] = 'finished'


Record = t.Annotated[
    Opened | Submitted | Claimed | Released | CancelAsked | Finished,
    pydantic.Field(discriminator='kind'),
]


@dataclasses.dataclass(frozen=True)
class Batch:
    """The records of one group commit, chained to the batch before.

    ``id`` tells a holder whether a batch found at its position is its
    own after the answer to its write was lost.
    """

    position: int
    id: str
    epoch: int
    previous: str
    records: tuple[Record, ...]


BATCH = pydantic.TypeAdapter(Batch)


def dump_batch(batch: Batch) -> str:
    """Return a batch as JSON text."""
    return BATCH.dump_json(batch).decode()


def load_batch(text: str) -> Batch:
    """Read a batch from JSON text."""
    return BATCH.validate_json(text)


def hash_text(text: str) -> str:
    """Return the hash that chains one stored text to the next."""
    return hashlib.sha256(text.encode()).hexdigest()
