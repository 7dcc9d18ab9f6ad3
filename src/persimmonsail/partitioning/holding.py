"""What the parts of one partition's holder share."""

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


class Owned:
    """Tasks that some coroutine of the holder is changing."""

    def __init__(self, committer: commits_module.Committer) -> None:
        self._committer = committer
        self._names: set[str] = set()

    def __contains__(self, task: str) -> bool:
        return task in self._names

    @contextlib.contextmanager
    def own(self, task: str) -> t.Iterator[None]:
        """Be the only one to change a task while the context is open."""
        self._names.add(task)
        try:
            yield
        finally:
            self._names.discard(task)
            self._committer.announce()


@dataclasses.dataclass(frozen=True)
class Holding:
    """One partition under one epoch, and the ways to its instances.

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
    owned: Owned
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
        """The holder's epoch, which every command carries."""
        return self.ledger.table.epoch
