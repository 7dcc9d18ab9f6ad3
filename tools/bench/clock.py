"""A virtual clock with a queue of actions."""

import heapq
import itertools
import typing as t


class EventQueue:
    """Runs actions in the order of their times; seconds throughout."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._queue: list[tuple[float, int, t.Callable, tuple]] = []

    def read(self) -> float:
        """Return the time; inject this where code asks for a clock."""
        return self.now

    def call_later(
        self, delay: float, action: t.Callable, *args: t.Any
    ) -> None:
        """Run an action after a delay."""
        entry = (self.now + delay, next(self._order), action, args)
        heapq.heappush(self._queue, entry)

    def call_every(
        self, period: float, action: t.Callable, *args: t.Any
    ) -> None:
        """Run an action again and again, first after one period."""

        def repeat() -> None:
            action(*args)
            self.call_later(period, repeat)

        self.call_later(period, repeat)

    def run(self, until: float) -> None:
        """Run all actions that are due before a time."""
        while self._queue and self._queue[0][0] < until:
            self.now, _, action, args = heapq.heappop(self._queue)
            action(*args)
        self.now = until
