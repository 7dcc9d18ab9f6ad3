"""State shared by the components of one partition's holder."""

import contextlib
import dataclasses
import typing as t

from persimmonsail.bookkeeping import commits as commits_module
from persimmonsail.bookkeeping import ledger as ledger_module
from persimmonsail.bookkeeping import tasks
from persimmonsail.catalogues import revisions
from persimmonsail.decisions import fleet as fleet_module
from persimmonsail.decisions import intake as intake_module
from persimmonsail.decisions import planner as planner_module
from persimmonsail import links as links_module
from persimmonsail.partitioning import consents
from persimmonsail.partitioning import contacts as contacts_module


class TaskLocks:
    """Exclusive access of the holder's coroutines to single tasks."""

    def __init__(self, committer: commits_module.Committer) -> None:
        self._committer = committer
        self._names: set[str] = set()

    def __contains__(self, task: str) -> bool:
        return task in self._names

    @contextlib.contextmanager
    def acquire(self, task: str) -> t.Iterator[None]:
        """Lock a task that isn't locked while the context is open."""
        self._names.add(task)
        try:
            yield
        finally:
            self._names.discard(task)
            self._committer.notify_changed()


@dataclasses.dataclass(frozen=True)
class HolderContext:
    """One partition in one epoch, with the links to its instances.

    ``lease_seconds`` is the length of a task's lease.
    """

    ledger: ledger_module.Ledger
    committer: commits_module.Committer
    fleet: fleet_module.Fleet
    links: links_module.Links
    view: revisions.View
    contacts: contacts_module.Contacts
    authority: consents.Authority
    fence: consents.Fence
    task_locks: TaskLocks
    lease_seconds: float
    learned_state: planner_module.LearnedState
    intake: intake_module.Intake

    @property
    def partition(self) -> int:
        """The partition's number."""
        return self.ledger.partition

    @property
    def table(self) -> tasks.Table:
        """The partition's tasks."""
        return self.ledger.table

    @property
    def epoch(self) -> int:
        """The holder's epoch, which is part of every command."""
        return self.ledger.table.epoch
