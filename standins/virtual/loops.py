"""Event loops on a virtual clock, one for each process."""

import asyncio


class Clock:
    """Virtual time in seconds; it advances only when it is set."""

    def __init__(self) -> None:
        self.now = 1000.0


class Loop(asyncio.SelectorEventLoop):
    """Runs one iteration at a time and never blocks."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self.errors: list[dict] = []
        self.set_exception_handler(
            lambda _, context: self.errors.append(context)
        )

    def time(self) -> float:
        """Return virtual time."""
        return self._clock.now

    def next_time(self) -> float | None:
        """Return when the next callback is due, or None."""
        if self._ready:
            return self._clock.now
        times = [
            handle.when()
            for handle in self._scheduled
            if not handle.cancelled()
        ]
        return min(times, default=None)

    def run_round(self) -> None:
        """Run all callbacks that are ready."""
        self.call_soon(self.stop)
        self.run_forever()
