"""Interface to the platform's key-value store.

To add a store, write a module with a class decorated by ``register``.
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
    """The items under a prefix at one store revision."""

    revision: int
    items: tuple[Item, ...]


@dataclasses.dataclass(frozen=True)
class Write:
    """A key that a transaction sets.

    Attributes
    ----------
    key, value : str
        Key and value to write.
    lease : str, optional
        The key is deleted when this lease ends.
    """

    key: str
    value: str
    lease: str | None = None


@dataclasses.dataclass(frozen=True)
class Change:
    """A change that a watch reports; a deleted key has no value."""

    key: str
    value: str | None
    revision: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changes under a prefix, and the revision to continue from."""

    revision: int
    changes: tuple[Change, ...]


class Store(abc.ABC):
    """Operations required of the platform's store.

    Each call raises ``StoreUnavailable`` if no response arrives in time;
    a write may still have taken effect.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> Item | None:
        """Return a key's item, or None if the key is absent."""

    @abc.abstractmethod
    async def scan(self, prefix: str) -> Page:
        """Return all items under a prefix."""

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
            Key and value to write; at most one megabyte.
        expected : int, optional
            Write only if the key is at this revision; 0 means absent.
        lease : str, optional
            The key is deleted when this lease ends.

        Raises
        ------
        Conflict
            If the key is at another revision.
        LeaseExpired
            If the lease does not exist.
        """

    @abc.abstractmethod
    async def delete(self, key: str, expected: int | None = None) -> None:
        """Delete a key if it is at the expected revision."""

    @abc.abstractmethod
    async def grant_lease(self, seconds: float) -> str:
        """Create a lease and return its identifier."""

    @abc.abstractmethod
    async def renew_lease(self, lease: str) -> None:
        """Extend a lease by its full duration."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: str) -> None:
        """End a lease and delete its keys."""

    @abc.abstractmethod
    async def watch(self, prefix: str, after: int, wait: float) -> Page:
        """Wait for changes under a prefix.

        Parameters
        ----------
        prefix : str
            Prefix of the keys to watch.
        after : int
            Return once a key under the prefix has changed after this
            revision.
        wait : float
            Maximum seconds to wait.

        Returns
        -------
        Page
            The items changed since that revision; none after a timeout.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class TransactionalStore(Store):
    """A store with conditional transactions over several keys."""

    @property
    @abc.abstractmethod
    def is_lost(self) -> bool:
        """Whether calls fail and none has succeeded for some time."""

    @property
    @abc.abstractmethod
    def silent_seconds(self) -> float:
        """Seconds for which the store has answered no call of this process."""

    @abc.abstractmethod
    async def commit(
        self,
        conditions: t.Mapping[str, int],
        writes: t.Sequence[Write],
        removals: t.Sequence[str] = (),
    ) -> int:
        """Write all keys or none, and return the new revision.

        Parameters
        ----------
        conditions : mapping of str to int
            Required revision of each key; 0 means absent.
        writes : sequence of Write
            Keys to set.
        removals : sequence of str
            Keys to delete.

        Raises
        ------
        persimmonsail.exceptions.TransactionConflict
            If a key is at another revision.
        persimmonsail.exceptions.LeaseExpired
            If a lease does not exist.
        persimmonsail.exceptions.CallRefused
            If the store reported that nothing was written.
        persimmonsail.exceptions.StoreUnavailable
            If no response arrived; the commit may still take effect, even
            seconds later.
        """

    @abc.abstractmethod
    async def watch_changes(
        self, prefix: str, after: int, wait: float
    ) -> Changes:
        """Wait for changes under a prefix, including deletions.

        Raises
        ------
        persimmonsail.exceptions.HistoryLost
            If the store has discarded the changes after that revision; the
            prefix has to be scanned again.
        """


KINDS: dict[str, t.Callable[..., Store]] = {}


_STORE_MODULES = ('persimmonsail.httpstore', 'persimmonsail.platform.kvstore')


def load_kinds() -> dict[str, t.Callable[..., Store]]:
    """Import the modules that register kinds; return all kinds."""
    for module in _STORE_MODULES:
        importlib.import_module(module)
    return KINDS


def open_adapter(kind: str, address: str, timeout: float) -> Store:
    """Create a store of a registered kind.

    Raises
    ------
    persimmonsail.exceptions.UnknownKind
        If the kind is not registered.
    """
    kinds = load_kinds()
    if kind not in kinds:
        raise exceptions.UnknownKind(kind, sorted(kinds))
    return kinds[kind](address, timeout)


def register(kind: str) -> t.Callable[[type], type]:
    """Register a store class under its name in the settings."""

    def add(cls: type) -> type:
        KINDS[kind] = cls
        return cls

    return add
