"""Backoff of tasks whose last start was refused or interrupted."""

import dataclasses
import random
import typing as t

from persimmonsail.bookkeeping import reasons

MIN_WAIT_SECONDS = 0.1
MAX_WAIT_SECONDS = 5.0
# Relative jitter, so that tasks refused simultaneously retry at different
# times.
JITTER = 0.25


@dataclasses.dataclass(frozen=True)
class Wait:
    """A task's wait after consecutive refused starts.

    ``base_seconds`` is the wait before jitter, ``until`` its end in
    monotonic seconds.
    """

    attempt: int
    refusals: int
    base_seconds: float
    until: float


class Backoff:
    """Delays each task separately after refused starts.

    A refused start costs the store a claim and a release. While every
    sidecar refuses, tasks that retry ten times a second would use up the
    store's write throughput. Waits are local to this process: a follower
    that takes over retries immediately.

    Parameters
    ----------
    generator : random.Random
        Source of the jitter.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._waits: dict[str, Wait] = {}

    def note_refusal(
        self,
        task: str,
        attempt: int,
        reason: str,
        retry_after: float,
        now: float,
    ) -> Wait | None:
        """Record that a sidecar refused an attempt.

        Parameters
        ----------
        task : str
            The task's identifier.
        attempt : int
            The number of the refused attempt.
        reason : str
            The sidecar's reason.
        retry_after : float
            The delay in seconds that the sidecar suggests, or zero.
        now : float
            Monotonic seconds.

        Returns
        -------
        Wait or None
            None if the task need not wait.
        """
        if reason == reasons.LEAVING:
            return None
        previous = self._waits.get(task)
        refusals = 1
        base_seconds = retry_after or MIN_WAIT_SECONDS
        # An attempt in between that was not refused resets the backoff.
        if previous is not None and attempt == previous.attempt + 1:
            refusals = previous.refusals + 1
            base_seconds = max(previous.base_seconds * 2, base_seconds)
        base_seconds = min(base_seconds, MAX_WAIT_SECONDS / (1 + JITTER))
        seconds = base_seconds * (1 + JITTER * self._generator.random())
        wait = Wait(attempt, refusals, base_seconds, now + seconds)
        self._waits[task] = wait
        return wait

    def has_wait(self, task: str, attempt: int) -> bool:
        """Return whether a wait is recorded for an attempt of a task."""
        wait = self._waits.get(task)
        return wait is not None and wait.attempt == attempt

    def is_waiting(self, task: str, now: float) -> bool:
        """Return whether a task still waits at ``now``."""
        wait = self._waits.get(task)
        return wait is not None and now < wait.until

    def forget_unless(self, is_open: t.Callable[[str], bool]) -> None:
        """Drop the waits of tasks that will not start again."""
        for task in [task for task in self._waits if not is_open(task)]:
            del self._waits[task]
