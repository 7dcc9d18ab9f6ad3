"""A virtual clock with an event queue."""

import heapq
import itertools
import typing as t


class EventQueue:
    """Runs actions in order of time, then of scheduling, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, t.Callable, tuple]] = []

    def read(self) -> float:
        """Return the virtual time; pass this method as a clock."""
        return self.now

    def call_later(
        self, delay: float, action: t.Callable, *args: t.Any
    ) -> None:
        """Schedule an action after a delay."""
        entry = (self.now + delay, next(self._sequence), action, args)
        heapq.heappush(self._queue, entry)

    def call_every(
        self, period: float, action: t.Callable, *args: t.Any
    ) -> None:
        """Schedule an action periodically, first after one period."""

        def repeat() -> None:
            action(*args)
            self.call_later(period, repeat)

        self.call_later(period, repeat)

    def run(self, until: float) -> None:
        """Run all actions due before a time and advance the clock to it."""
        while self._queue and self._queue[0][0] < until:
            self.now, _, action, args = heapq.heappop(self._queue)
            action(*args)
        self.now = until
