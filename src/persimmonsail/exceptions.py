"""Errors of the package; all share one root."""


class PersimmonsailError(Exception):
    """Root of every error that this package raises on purpose."""


class StoreError(PersimmonsailError):
    """Root of the errors of the platform's key-value service."""


class StoreUnavailable(StoreError):
    """The store gave no answer; a write may have taken effect."""


class Conflict(StoreError):
    """A compare-and-swap found another revision than it expected."""

    def __init__(self, key: str, actual: int) -> None:
        super().__init__(f'{key} is at revision {actual}')
        self.key = key
        self.actual = actual


class LeaseExpired(StoreError):
    """The store no longer knows the lease."""


class NotHolder(PersimmonsailError):
    """Another process holds the partition now."""


class LedgerCorrupt(PersimmonsailError):
    """A ledger's hash chain or its positions do not fit together."""


class StaleRevision(PersimmonsailError):
    """A catalogue revision is lower than one already seen."""


class LinkLost(PersimmonsailError):
    """A peer gave no answer within its time, or the link broke."""


class WorkerUnavailable(PersimmonsailError):
    """The worker's agent gave no answer."""


class InvalidInput(ExceptionGroup, PersimmonsailError):
    """A group of all findings of one file or request."""

    def derive(self, excs):
        """Keep the class when the group is split."""
        return InvalidInput(self.message, excs)


class StaleIncarnation(PersimmonsailError):
    """A newer sidecar of the same instance has taken over."""


class LinkRefused(LinkLost):
    """No connection was made, so that the call was never sent."""


class BackendNotConnected(PersimmonsailError):
    """The backend server took no connection; nothing was sent."""


class BackendAnswerLost(PersimmonsailError):
    """The backend server may have done the work without an answer."""
