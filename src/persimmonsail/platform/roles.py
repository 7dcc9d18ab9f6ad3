"""Runs either role on the users' platform."""

import importlib
import signal

import anyio

from persimmonsail import logs
from persimmonsail import settings as settings_module

# Only the selected role is imported: when power returns, a deployment starts
# a process on every instance simultaneously. A sidecar's start took 0.75 s of
# CPU time when it imported the leader's modules too, and 0.7 s without them.
_ROLES = {
    'entry': ('persimmonsail.platform.entry', 'EntryRole'),
    'sidecar': ('persimmonsail.platform.sidecar', 'SidecarRole'),
}


_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def run(settings: settings_module.Settings, role: str) -> None:
    """Run a role until SIGTERM, then stop gracefully."""
    module, name = _ROLES[role]
    role_class = getattr(importlib.import_module(module), name)
    with anyio.open_signal_receiver(*_SIGNALS) as signals:
        # Blocked by the script that the deploy file runs.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _SIGNALS)
        logs.write_event('starting', role=role, zone=settings.process.zone)
        await role_class(settings).run(signals)
    logs.write_event('stopped')
