"""The clock that leases and authority are counted on."""

import time


def read() -> float:
    """Return seconds since the machine began, its suspensions too.

    The monotonic clock stands still while a machine is suspended: a
    holder that was suspended for longer than its lease would take the
    lease for good.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
