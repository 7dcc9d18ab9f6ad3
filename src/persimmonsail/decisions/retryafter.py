"""Retry-After times for rejected callers, from the measured drain rate."""

import math
import random

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 300.0
# Retry times are extended at random by up to this part, to spread
# callers that were rejected together.
JITTER = 0.25
_TIME_CONSTANT_SECONDS = 30.0


class Rate:
    """A rate per second, as an exponentially weighted average."""

    def __init__(self, time_constant: float = _TIME_CONSTANT_SECONDS) -> None:
        self._time_constant = time_constant
        self._started_at: float | None = None
        self._updated_at = 0.0
        self._weight = 0.0

    def note(self, now: float, count: float = 1.0) -> None:
        """Count events; ``now`` is monotonic seconds."""
        if self._started_at is None:
            self._started_at = self._updated_at = now
        self._weight = self._find_decayed_weight(now) + count
        self._updated_at = now

    def find(self, now: float) -> float:
        """Return events per second; zero if none was counted."""
        if self._started_at is None:
            return 0.0
        # Corrects for a history shorter than the time constant; at least
        # a second, or the first event would look like a high rate.
        elapsed = max(now - self._started_at, 1.0)
        effective_seconds = self._time_constant * (
            1 - math.exp(-elapsed / self._time_constant)
        )
        return self._find_decayed_weight(now) / effective_seconds

    def _find_decayed_weight(self, now: float) -> float:
        age = now - self._updated_at
        return self._weight * math.exp(-age / self._time_constant)


class RetryScheduler:
    """Assigns retry times to rejected callers.

    Each rejection reserves a time slot of its own: a thousand callers
    rejected in one second get a thousand different times, spaced at the
    rate at which the backlog drains, and do not return as one burst.
    """

    def __init__(self, generator: random.Random) -> None:
        self.drain_rate = Rate()
        self._generator = generator
        self._next_slot = -math.inf

    def find_retry_after(
        self, now: float, ahead: float, fallback: float
    ) -> float:
        """Return seconds after which a rejected caller should retry.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        ahead : float
            Number of items that must drain before one more is accepted.
        fallback : float
            Rate per second to assume until one has been measured.
        """
        rate = self.drain_rate.find(now) or fallback
        if rate <= 0:
            return MAX_RETRY_SECONDS
        earliest = now + max(ahead, 1.0) / rate
        self._next_slot = min(
            max(self._next_slot + 1 / rate, earliest),
            now + MAX_RETRY_SECONDS / (1 + JITTER),
        )
        wait = (self._next_slot - now) * (
            1 + JITTER * self._generator.random()
        )
        return min(max(wait, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
