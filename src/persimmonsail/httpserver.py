"""Serving an ASGI application over HTTP, with a graceful end."""

import logging
import typing as t

import anyio
import anyio.abc
import hypercorn.asyncio
import hypercorn.config

from persimmonsail import addresses


_IDLE_SECONDS = 5.0


class HttpServer:
    """Serves one application while its context is open.

    Leaving the context refuses new connections and waits for requests
    in flight, at most ``drain`` seconds. A kept connection is closed
    after ``idle`` seconds without a request.
    """

    def __init__(
        self,
        app: t.Any,
        address: str,
        drain: float,
        idle: float = _IDLE_SECONDS,
    ) -> None:
        self._app = app
        self._idle = idle
        self._socket = addresses.bind(address)
        self.address = addresses.name_of(self._socket)
        self._drain = drain
        self._stop = anyio.Event()
        self._ended = anyio.Event()

    async def __aenter__(self) -> 'HttpServer':
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._serve)
        return self

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        self._stop.set()
        with anyio.CancelScope(shield=True):
            with anyio.move_on_after(self._drain + 1.0):
                await self._ended.wait()
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(*exc_info)

    async def _serve(self) -> None:
        config = hypercorn.config.Config()
        config.bind = [f'fd://{self._socket.detach()}']
        config.graceful_timeout = self._drain
        config.keep_alive_timeout = self._idle
        config.accesslog = None
        config.errorlog = logging.getLogger('hypercorn.error')
        config.include_server_header = False
        try:
            await hypercorn.asyncio.serve(
                self._app, config, shutdown_trigger=self._stop.wait
            )
        finally:
            self._ended.set()
