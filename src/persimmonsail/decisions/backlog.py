"""Queueing delay of an instance, estimated from its service times."""

import random

_SMOOTHING_FACTOR = 0.1
_INITIAL_SECONDS = 0.05
_JITTER = 0.25
_MIN_RETRY_SECONDS = 0.05


class Backlog:
    """Estimates waiting times of a queue with parallel servers.

    Parameters
    ----------
    slots : int
        How many requests are served concurrently.
    generator : random.Random
        Source of the jitter of suggested retry delays.
    """

    def __init__(self, slots: int, generator: random.Random) -> None:
        self._slots = slots
        self._generator = generator
        self.service_seconds = _INITIAL_SECONDS
        self._sample_count = 0

    def note_service(self, seconds: float) -> None:
        """Record the service time of one request."""
        self._sample_count += 1
        weight = max(_SMOOTHING_FACTOR, 1 / self._sample_count)
        self.service_seconds += weight * (seconds - self.service_seconds)

    def estimate_wait(self, busy: int, queued: int) -> float:
        """Return the seconds until one more request would be served."""
        ahead = queued + max(busy - self._slots + 1, 0)
        return ahead * self.service_seconds / self._slots

    def suggest_retry_delay(self, busy: int, queued: int) -> float:
        """Return the delay in seconds before a retry, with jitter.

        Without jitter, callers that are refused in one burst retry in
        one burst and are refused again.
        """
        backlog = (busy + queued) * self.service_seconds / self._slots
        jitter = 1 + self._generator.uniform(-_JITTER, _JITTER)
        return max(backlog, _MIN_RETRY_SECONDS) * jitter
