"""Functions shared by both roles on the users' platform."""

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

# Longer than the balancer keeps its own, so that no request is sent into a
# connection that is just being closed.
IDLE_SECONDS = 75.0
_METRICS_DRAIN_SECONDS = 0.1


async def serve_metrics(
    stack: contextlib.AsyncExitStack, settings: settings_module.Settings
) -> None:
    """Serve counters and histograms, if an address is configured."""
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
    """Return the configured store; it must support transactions."""
    opened = store_module.open_adapter(
        settings.store.kind, settings.store.address, settings.store.timeout
    )
    if not isinstance(opened, store_module.TransactionalStore):
        raise exceptions.SettingsMismatch(
            f'a store of kind {settings.store.kind!r} does not support '
            'transactions'
        )
    return opened


async def wait_for_stop(
    signals: t.AsyncIterator[signal.Signals],
    settings: settings_module.Settings,
) -> None:
    """Return at the first signal that requests a stop."""
    async for received in signals:
        if received != signal.SIGHUP:
            return
        _reload(settings)


def _reload(settings: settings_module.Settings) -> None:
    """Validate changed settings; a restart applies addresses and leases."""
    path = settings.source
    try:
        role = 'sidecar' if settings.jobs.worker else 'entry'
        found = settings_module.load(pathlib.Path(path), role)
    except (OSError, exceptions.InvalidInput) as error:
        logs.write_error('reload-refused', file=path, error=error)
        return
    logs.write_event('reloaded', file=path, changed=found != settings)
