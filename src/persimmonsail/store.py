"""The narrow interface to the platform's key-value service.

Another store is one more module with a class under ``register``.
"""

import abc
import dataclasses
import importlib
import typing as t

from persimmonsail import exceptions


@dataclasses.dataclass(frozen=True)
class Item:
    """A key's value and the revision of its last change."""

    key: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Page:
    """All items below a prefix at one store revision."""

    revision: int
    items: tuple[Item, ...]


@dataclasses.dataclass(frozen=True)
class Write:
    """One key that a transaction sets.

    Attributes
    ----------
    key, value : str
        What is written.
    lease : str, optional
        The key is deleted when this lease ends.
    """

    key: str
    value: str
    lease: str | None = None


@dataclasses.dataclass(frozen=True)
class Change:
    """One change that a watch reports; no value for a deleted key."""

    key: str
    value: str | None
    revision: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """What changed below a prefix, and the revision to go on from."""

    revision: int
    changes: tuple[Change, ...]


class Store(abc.ABC):
    """What the system asks of the platform's store.

    Each call raises ``StoreUnavailable`` when no answer came in time;
    a write may then have taken effect all the same.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> Item | None:
        """Return a key's item, or nothing."""

    @abc.abstractmethod
    async def scan(self, prefix: str) -> Page:
        """Return all items below a prefix."""

    @abc.abstractmethod
    async def put(
        self,
        key: str,
        value: str,
        expected: int | None = None,
        lease: str | None = None,
    ) -> int:
        """Write a key and return its new revision.

        Parameters
        ----------
        key, value : str
            What to write; at most a megabyte.
        expected : int, optional
            Write only if the key is at this revision; 0 means absent.
        lease : str, optional
            The key is deleted when this lease ends.

        Raises
        ------
        Conflict
            If the key is at another revision.
        LeaseExpired
            If the store does not know the lease.
        """

    @abc.abstractmethod
    async def delete(self, key: str, expected: int | None = None) -> None:
        """Delete a key, if it is at the expected revision."""

    @abc.abstractmethod
    async def grant_lease(self, seconds: float) -> str:
        """Return a new lease's identifier."""

    @abc.abstractmethod
    async def renew_lease(self, lease: str) -> None:
        """Extend a lease by its full time."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: str) -> None:
        """End a lease and delete its keys."""

    @abc.abstractmethod
    async def watch(self, prefix: str, after: int, wait: float) -> Page:
        """Wait for changes below a prefix.

        Parameters
        ----------
        prefix : str
            The keys to watch.
        after : int
            Return once something below the prefix changed after this
            revision.
        wait : float
            Seconds to wait at the most.

        Returns
        -------
        Page
            The items changed since; none when the time is over.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Release connections."""


class TransactionalStore(Store):
    """A store that also writes several keys at once, under conditions."""

    @property
    @abc.abstractmethod
    def is_lost(self) -> bool:
        """Whether calls fail and none has succeeded for a while."""

    @property
    @abc.abstractmethod
    def silent_seconds(self) -> float:
        """For how long the store has answered no call of this process."""

    @abc.abstractmethod
    async def commit(
        self,
        conditions: t.Mapping[str, int],
        writes: t.Sequence[Write],
        removals: t.Sequence[str] = (),
    ) -> int:
        """Write all keys, or none; return the new revision.

        Parameters
        ----------
        conditions : mapping of str to int
            The revision at which each key has to be; 0 means absent.
        writes : sequence of Write
            What to set.
        removals : sequence of str
            Keys to delete.

        Raises
        ------
        persimmonsail.exceptions.TransactionConflict
            If a key is at another revision.
        persimmonsail.exceptions.LeaseExpired
            If the store does not know a lease.
        persimmonsail.exceptions.CallRefused
            If the store said that nothing was written.
        persimmonsail.exceptions.StoreUnavailable
            If no answer came; it may take effect now or seconds later.
        """

    @abc.abstractmethod
    async def follow(self, prefix: str, after: int, wait: float) -> Changes:
        """Wait for changes below a prefix, deletions among them.

        Raises
        ------
        persimmonsail.exceptions.HistoryLost
            If the store has forgotten what came after that revision; the
            prefix has to be scanned anew.
        """


KINDS: dict[str, t.Callable[..., Store]] = {}


_MODULES = ('persimmonsail.httpstore', 'persimmonsail.platform.kvstore')


def load_kinds() -> dict[str, t.Callable[..., Store]]:
    """Import every module that registers a kind; return all kinds."""
    for module in _MODULES:
        importlib.import_module(module)
    return KINDS


def open_kind(kind: str, address: str, timeout: float) -> Store:
    """Return a store of a registered kind.

    Raises
    ------
    persimmonsail.exceptions.UnknownKind
        If no module registers it.
    """
    kinds = load_kinds()
    if kind not in kinds:
        raise exceptions.UnknownKind(kind, sorted(kinds))
    return kinds[kind](address, timeout)


def register(kind: str) -> t.Callable[[type], type]:
    """Add a store class under the name that settings use."""

    def add(cls: type) -> type:
        KINDS[kind] = cls
        return cls

    return add
