import time
from unittest import mock

import anyio

from persimmonsail import logs
from persimmonsail import looplag
from persimmonsail import metrics
from tests import base


class LoopLagTest(base.TestCase):
    async def watch(self, blocked_seconds):
        """Return the warnings that are logged while the loop is blocked."""
        with mock.patch.object(logs, 'write_warning') as write:
            async with anyio.create_task_group() as group:
                group.start_soon(looplag.monitor)
                await anyio.sleep(0.01)
                time.sleep(blocked_seconds)  # noqa: ASYNC251
                await anyio.sleep(0.2)
                group.cancel_scope.cancel()
        return [call.args[0] for call in write.call_args_list]

    async def test_a_blocked_loop_logs_a_warning(self):
        """A leader loses its term without a log line that explains it.

        Its event loop was blocked for longer than its lease duration.
        """
        self.assertEqual(['loop-late'], await self.watch(0.5))
        names = {sample.name for sample in metrics.LOOP_LAG_SECONDS.collect()}
        self.assertIn('persimmonsail_loop_lag_seconds_count', names)
