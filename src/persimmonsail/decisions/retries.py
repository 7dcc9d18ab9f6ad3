"""Budgets for retries and hedged requests.

A fixed number of attempts per request multiplies the load just when
servers reject most requests. A budget replenished by successes bounds
the load that retries add: if nothing succeeds, hardly anything is
retried.
"""

import abc
import time
import typing as t

_TOKENS_PER_SUCCESS = 0.1
_MAX_TOKENS = 20.0
_TOKENS_PER_SECOND = 1.0

POLICIES: dict[str, t.Callable[[], 'Budget']] = {}


def register(name: str) -> t.Callable[[type], type]:
    """Register a budget class under a name."""

    def add(cls: type) -> type:
        POLICIES[name] = cls
        return cls

    return add


class Budget(abc.ABC):
    """Decides whether another attempt is allowed."""

    @abc.abstractmethod
    def note_success(self) -> None:
        """Account for a successful request."""

    @abc.abstractmethod
    def try_acquire(self) -> bool:
        """Consume one attempt; return false if none is available."""


@register('fraction')
class FractionBudget(Budget):
    """Allows a fraction of successes, plus a low constant rate.

    Parameters
    ----------
    per_success : float, optional
        Attempts added by each success.
    per_second : float, optional
        Attempts added per second, so that an idle entry can retry.
    clock : callable, optional
        Returns monotonic seconds.
    """

    def __init__(
        self,
        per_success: float = _TOKENS_PER_SUCCESS,
        per_second: float = _TOKENS_PER_SECOND,
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self._per_success = per_success
        self._per_second = per_second
        self._clock = clock
        self._tokens = _MAX_TOKENS / 2
        self._refilled_at = clock()

    def note_success(self) -> None:
        """See ``Budget.note_success``."""
        self._add(self._per_success)

    def try_acquire(self) -> bool:
        """See ``Budget.spend``."""
        now = self._clock()
        self._add((now - self._refilled_at) * self._per_second)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _add(self, tokens: float) -> None:
        self._tokens = min(self._tokens + tokens, _MAX_TOKENS)


@register('none')
class NoBudget(Budget):
    """Allows no attempt after the first."""

    def note_success(self) -> None:
        """See ``Budget.note_success``."""

    def try_acquire(self) -> bool:
        """See ``Budget.spend``."""
        return False
