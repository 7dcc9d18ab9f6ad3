"""Monitoring of the event loop's lag, as a metric and a log warning.

A process whose loop is blocked responds and renews leases late, and
mistakes its own delay for a peer that does not respond. No other log line
distinguishes the two cases.
"""

import anyio

from persimmonsail import logs
from persimmonsail import metrics

# Ten samples a second use 0.05% of a CPU.
_SAMPLE_INTERVAL_SECONDS = 0.1
# Half of the interval between two renewals of a leader's lease.
_WARNING_LAG_SECONDS = 0.25


async def monitor() -> None:
    """Sample until cancelled; log at most one warning per late sample."""
    while True:
        due = anyio.current_time() + _SAMPLE_INTERVAL_SECONDS
        await anyio.sleep(_SAMPLE_INTERVAL_SECONDS)
        lag = max(anyio.current_time() - due, 0.0)
        metrics.LOOP_LAG_SECONDS.record(lag)
        if lag > _WARNING_LAG_SECONDS:
            logs.write_warning('loop-late', seconds=lag)
