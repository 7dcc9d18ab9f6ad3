"""A manually advanced clock."""

import time


class Clock:
    """Replaces the ``time`` module within a module under test."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        """See ``time.monotonic``."""
        return self.now

    def time(self) -> float:
        """See ``time.time``."""
        return time.time()
