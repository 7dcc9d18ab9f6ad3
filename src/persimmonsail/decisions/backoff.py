"""How long a task waits after its start was refused, or in vain."""

import dataclasses
import random
import typing as t

from persimmonsail.bookkeeping import reasons

SHORTEST = 0.1
LONGEST = 5.0
# Tasks that were refused together come back spread by this part.
JITTER = 0.25


@dataclasses.dataclass(frozen=True)
class Wait:
    """A task's wait after a row of refused starts.

    ``step`` is the wait in seconds before jitter, ``until`` its end in
    monotonic seconds.
    """

    attempt: int
    refusals: int
    step: float
    until: float


class Backoff:
    """Makes tasks wait, each on its own, after refused starts.

    A refused start costs the store a claim and a release. While every
    sidecar refuses, tasks that try ten times a second would take the
    store's writes from all others. The waits are this process's only: a
    follower tries at once.

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
        """Take in that a sidecar refused an attempt for some reason.

        Parameters
        ----------
        task : str
            The task's identifier.
        attempt : int
            The number of the refused attempt.
        reason : str
            The sidecar's reason.
        retry_after : float
            Seconds after which the sidecar would be asked again, or zero.
        now : float
            Monotonic seconds.

        Returns
        -------
        Wait or None
            None if the task need not wait.
        """
        if reason == reasons.LEAVING:
            return None
        last = self._waits.get(task)
        refusals = 1
        step = retry_after or SHORTEST
        # After an attempt that was not refused the row begins anew.
        if last is not None and attempt == last.attempt + 1:
            refusals = last.refusals + 1
            step = max(last.step * 2, step)
        step = min(step, LONGEST / (1 + JITTER))
        seconds = step * (1 + JITTER * self._generator.random())
        wait = Wait(attempt, refusals, step, now + seconds)
        self._waits[task] = wait
        return wait

    def has_wait(self, task: str, attempt: int) -> bool:
        """Tell whether a task's wait after this attempt is known."""
        wait = self._waits.get(task)
        return wait is not None and wait.attempt == attempt

    def is_waiting(self, task: str, now: float) -> bool:
        """Tell whether a task's wait goes on; ``now`` as above."""
        wait = self._waits.get(task)
        return wait is not None and now < wait.until

    def forget_unless(self, is_open: t.Callable[[str], bool]) -> None:
        """Drop the waits of tasks that will not start again."""
        for task in [task for task in self._waits if not is_open(task)]:
            del self._waits[task]
