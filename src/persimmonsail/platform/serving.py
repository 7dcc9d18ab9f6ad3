"""What both roles on the users' platform do alike."""

import contextlib
import pathlib
import signal
import typing as t

from persimmonsail import exceptions
from persimmonsail import httpserver
from persimmonsail import logs
from persimmonsail.platform import pages
from persimmonsail import settings as settings_module
from persimmonsail import store as store_module

# Idle connections outlive the balancer's, so that no caller sends into a
# connection that is just being closed.
IDLE_SECONDS = 75.0
_METRICS_DRAIN_SECONDS = 0.1


async def serve_metrics(
    stack: contextlib.AsyncExitStack, settings: settings_module.Settings
) -> None:
    """Serve counters and histograms, if an address names it."""
    address = settings.jobs.metrics
    if address is None:
        return
    server = await stack.enter_async_context(
        httpserver.HttpServer(pages.Metrics(), address, _METRICS_DRAIN_SECONDS)
    )
    logs.write_event('metrics-listening', http=server.address)


def open_store(
    settings: settings_module.Settings,
) -> store_module.TransactionalStore:
    """Return the store that the settings name; it has to do transactions."""
    opened = store_module.open_adapter(
        settings.store.kind, settings.store.address, settings.store.timeout
    )
    if not isinstance(opened, store_module.TransactionalStore):
        raise exceptions.SettingsMismatch(
            f'a store of kind {settings.store.kind!r} has no transactions'
        )
    return opened


async def wait_for_stop(
    signals: t.AsyncIterator[signal.Signals],
    settings: settings_module.Settings,
) -> None:
    """Return at the first signal that asks for the end of the process."""
    async for number in signals:
        if number != signal.SIGHUP:
            return
        _reload(settings)


def _reload(settings: settings_module.Settings) -> None:
    """Check changed settings; addresses and leases apply at a start."""
    path = settings.source
    try:
        role = 'sidecar' if settings.jobs.worker else 'entry'
        found = settings_module.load(pathlib.Path(path), role)
    except (OSError, exceptions.InvalidInput) as error:
        logs.write_error('reload-refused', file=path, error=error)
        return
    logs.write_event('reloaded', file=path, changed=found != settings)
