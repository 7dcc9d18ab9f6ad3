"""A commit rate limit, shared by all partitions of one process.

Each partition that commits independently makes ten writes a second; 32
of them would use up the store's write rate. With a shared limit, a
process commits at one rate however many partitions it holds, and
batches grow instead.
"""

import time

import anyio


class RateLimiter:
    """Spaces out commits, in the order in which they are requested.

    Parameters
    ----------
    interval : float
        Seconds between two commits.
    """

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._next_start = float('-inf')

    async def wait(self) -> None:
        """Wait until the caller may commit."""
        now = time.monotonic()
        start_at = max(now, self._next_start)
        self._next_start = start_at + self._interval
        await anyio.sleep(start_at - now)
