"""The sidecar role on the users' platform."""

import contextlib
import signal
import typing as t

import anyio
import grpclib.server

from persimmonsail import addresses
from persimmonsail import exceptions
from persimmonsail import httpserver
from persimmonsail.jobs import agent as agent_module
from persimmonsail.jobs import clock
from persimmonsail.jobs import record
from persimmonsail import logs
from persimmonsail import looplag
from persimmonsail.platform import heartbeats
from persimmonsail.platform import runner
from persimmonsail.platform import serving
from persimmonsail import settings as settings_module

# A sidecar that no leader has called for this long registers again.
_UNATTACHED_SECONDS = 3.0
_REGISTER_INTERVAL_SECONDS = 1.0


class SidecarRole:
    """A sidecar: connects the instance's worker to the leader."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings
        self._store = serving.open_store(settings)
        self._runner = runner.Runner(settings.jobs.worker)
        self._agent = agent_module.Agent(self._runner, settings.jobs.lease)

    async def run(self, signals: t.AsyncIterator[signal.Signals]) -> None:
        """Serve until a signal requests a stop."""
        settings = self._settings
        sock = addresses.bind(settings.process.control)
        control = addresses.format_address(sock)
        server = grpclib.server.Server([self._agent])
        await server.start(sock=sock)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._store.close)
            stack.push_async_callback(self._runner.close)
            group = await stack.enter_async_context(anyio.create_task_group())
            await serving.serve_metrics(stack, settings)
            group.start_soon(looplag.monitor)
            group.start_soon(self._agent.run)
            group.start_soon(self._run_registration, control)
            async with httpserver.HttpServer(
                heartbeats.Heartbeats(self._agent),
                settings.jobs.heartbeats,
                0.1,
                serving.IDLE_SECONDS,
            ) as http:
                logs.write_event(
                    'listening', control=control, http=http.address
                )
                await serving.wait_for_stop(signals, settings)
                logs.write_event('stopping')
            group.cancel_scope.cancel()
        server.close()

    async def _run_registration(self, control: str) -> None:
        """Register this sidecar's address while no leader calls it.

        The store has the only list in which a leader can find it.
        """
        process = self._settings.process
        key = record.INSTANCES + control
        text = record.StoredInstance(
            name=process.name, zone=process.zone
        ).model_dump_json()
        registered = False
        while True:
            silent_seconds = clock.read() - self._agent.last_orders_at
            if not registered or silent_seconds > _UNATTACHED_SECONDS:
                try:
                    item = await self._store.get(key)
                    if item is None or item.value != text:
                        await self._store.put(key, text)
                        logs.write_event('registered', address=key)
                    registered = True
                except exceptions.StoreError as error:
                    logs.write_event('register-failed', error=error)
            await anyio.sleep(_REGISTER_INTERVAL_SECONDS)
