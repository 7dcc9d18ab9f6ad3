"""A clock that moves only when a test moves it."""

import time


class Clock:
    """Takes the place of the module ``time`` in one module."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        """See ``time.monotonic``."""
        return self.now

    def time(self) -> float:
        """See ``time.time``."""
        return time.time()
