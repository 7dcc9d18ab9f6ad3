"""How late the event loop is, as a metric and a log line.

A process whose loop is busy answers late, renews leases late and takes
silence of its own for silence of others. None of its other lines tells
which of the two it was.
"""

import anyio

from persimmonsail import logs
from persimmonsail import metrics

# Ten looks a second cost 0.05% of a processor.
_PERIOD_SECONDS = 0.1
# Later than this is worth a line: half of the time between two renewals of
# a leader's lease.
_LATE_SECONDS = 0.25


async def watch() -> None:
    """Measure until cancelled; at most one line in each late interval."""
    while True:
        due = anyio.current_time() + _PERIOD_SECONDS
        await anyio.sleep(_PERIOD_SECONDS)
        lag = max(anyio.current_time() - due, 0.0)
        metrics.LOOP_LAG_SECONDS.record(lag)
        if lag > _LATE_SECONDS:
            logs.write_warning('loop-late', seconds=lag)
