"""Calls to a worker's agent that got no answer and may be executed late.

An agent that starts again under its id executes calls that were sent to the
boot before.
"""

import contextlib
import typing as t

from persimmonsail import exceptions
from persimmonsail.jobs import clock

RunId = tuple[str, int]

# How long after a call that got no answer its execution is expected. Until
# then the task of a start is not placed again, and an agent whose ends may be
# discarded gets no work.
LATE_CALL_SECONDS = 10.0
# Starts that are executed even later are barred as well, up to this many.
_MAX_OVERDUE_STARTS = 1000


class LateCalls:
    """Late calls to one boot, and to the boots of the agent before it.

    Only calls that matter to the agent's next boot are tracked: starts, and
    calls that discard ends.
    """

    def __init__(self) -> None:
        self._open_starts: set[RunId] = set()
        self._open_discards = 0
        # Until when the execution of each is expected.
        self._starts: dict[RunId, float] = {}
        self._discards_until = 0.0

    def inherit(self, earlier: 'LateCalls', now: float) -> None:
        """Add the calls to the boot before."""
        self._starts.update(earlier.list_all_starts(now))
        self._discards_until = earlier.find_discards_end(now)

    @contextlib.contextmanager
    def send_start(self, key: RunId) -> t.Iterator[None]:
        """Track a start that is sent in the block."""
        self._open_starts.add(key)
        try:
            yield
        except exceptions.WorkerNotReached:
            raise
        except exceptions.WorkerUnavailable:
            self._track_start(key, clock.read())
            raise
        finally:
            self._open_starts.discard(key)

    def _track_start(self, key: RunId, now: float) -> None:
        # The latest one last.
        self._starts.pop(key, None)
        self._starts[key] = now + LATE_CALL_SECONDS
        overdue = [k for k, until in self._starts.items() if until <= now]
        for old in overdue[:-_MAX_OVERDUE_STARTS]:
            del self._starts[old]

    @contextlib.contextmanager
    def send_discard(self) -> t.Iterator[None]:
        """Track a call that is sent in the block and discards ends."""
        self._open_discards += 1
        try:
            yield
        except exceptions.WorkerNotReached:
            raise
        except exceptions.WorkerUnavailable:
            self._discards_until = clock.read() + LATE_CALL_SECONDS
            raise
        finally:
            self._open_discards -= 1

    def list_starts(self, now: float) -> dict[RunId, float]:
        """Return the starts that are expected to be executed late.

        Each with the time until when it is expected.
        """
        starts = self.list_all_starts(now)
        return {key: until for key, until in starts.items() if until > now}

    def list_all_starts(self, now: float) -> dict[RunId, float]:
        """Return the starts that may be executed late, however improbable.

        A later boot's clock may read less than the start's deadline, so no
        age rules the execution out.
        """
        open_until = now + LATE_CALL_SECONDS
        return self._starts | dict.fromkeys(self._open_starts, open_until)

    def find_discards_end(self, now: float) -> float:
        """Return until when ends may be discarded by such a call."""
        if self._open_discards:
            return now + LATE_CALL_SECONDS
        return self._discards_until
