"""The clock that leases and leaders' authority are measured on."""

import time


def read() -> float:
    """Return seconds since the machine booted, including suspensions.

    The monotonic clock stops while a machine is suspended: a holder that
    was suspended for longer than its lease would consider the lease valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
