"""An HTTP server for ASGI applications, with graceful shutdown."""

import logging
import typing as t

import anyio
import anyio.abc
import hypercorn.asyncio
import hypercorn.config

from persimmonsail import addresses


_IDLE_TIMEOUT_SECONDS = 5.0


class HttpServer:
    """Serves one application while its context is open.

    On exit, new connections are refused and requests in flight may finish
    within ``drain`` seconds. A persistent connection is closed after
    ``idle`` seconds without a request.
    """

    def __init__(
        self,
        app: t.Any,
        address: str,
        drain: float,
        idle: float = _IDLE_TIMEOUT_SECONDS,
    ) -> None:
        self._app = app
        self._idle_timeout = idle
        self._socket = addresses.bind(address)
        self.address = addresses.format_address(self._socket)
        self._drain_timeout = drain
        self._stop_requested = anyio.Event()
        self._stopped = anyio.Event()

    async def __aenter__(self) -> 'HttpServer':
        self._task_group = anyio.create_task_group()
        await self._task_group.__aenter__()
        self._task_group.start_soon(self._serve)
        return self

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        self._stop_requested.set()
        with anyio.CancelScope(shield=True):
            with anyio.move_on_after(self._drain_timeout + 1.0):
                await self._stopped.wait()
        self._task_group.cancel_scope.cancel()
        return await self._task_group.__aexit__(*exc_info)

    async def _serve(self) -> None:
        config = hypercorn.config.Config()
        config.bind = [f'fd://{self._socket.detach()}']
        config.graceful_timeout = self._drain_timeout
        config.keep_alive_timeout = self._idle_timeout
        config.accesslog = None
        config.errorlog = logging.getLogger('hypercorn.error')
        config.include_server_header = False
        try:
            await hypercorn.asyncio.serve(
                self._app, config, shutdown_trigger=self._stop_requested.wait
            )
        finally:
            self._stopped.set()
