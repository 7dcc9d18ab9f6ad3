import os
import pathlib
import signal

import anyio
import pytest

from standins import platform_deployment as deployed
from tests import base

_POLL_SECONDS = 0.002
_START_SECONDS = 20.0


def blocks(pid: int, number: signal.Signals) -> bool:
    """Return whether a process keeps a signal pending."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    (mask,) = (
        line.split()[1]
        for line in status.splitlines()
        if line.startswith('SigBlk:')
    )
    return bool(int(mask, 16) >> (number - 1) & 1)


@pytest.mark.processes
class EarlySignalsTest(base.TestCase):
    """Signals that arrive before a process has installed its handlers."""

    async def start(self, running, role, number):
        """Start a role, and send a signal at its first instruction."""
        process = await running.start_deployed(role)
        with anyio.fail_after(_START_SECONDS):
            while not blocks(process.pid, number):
                self.assertFalse(process.find('starting'))
                await anyio.sleep(_POLL_SECONDS)
        os.kill(process.pid, number)
        return process

    async def play(self, role, number, event):
        async with deployed.PlatformDeployment(
            self.make_directory()
        ) as running:
            process = await self.start(running, role, number)
            await process.wait_event(event, seconds=_START_SECONDS)
            if event == 'stopped':
                return await process.handle.wait()
            return await process.stop()

    async def test_changed_settings_end_no_process_that_starts(self):
        """SIGHUP ends a process that has not installed its handler."""
        for role in ('entry', 'sidecar'):
            self.assertEqual(
                0, await self.play(role, signal.SIGHUP, 'reloaded')
            )

    async def test_a_process_that_starts_stops_gracefully(self):
        """SIGTERM ends a process without its clean-up."""
        for role in ('entry', 'sidecar'):
            self.assertEqual(
                0, await self.play(role, signal.SIGTERM, 'stopped')
            )
