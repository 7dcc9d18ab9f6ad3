"""Serving an ASGI application over HTTP, with a graceful end."""

import logging
import socket
import typing as t

import anyio
import anyio.abc
import hypercorn.asyncio
import hypercorn.config

_BACKLOG = 512


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def bind(address: str) -> socket.socket:
    """Return a listening socket; port 0 picks a free one."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(_BACKLOG)
    sock.setblocking(False)
    return sock


def name_of(sock: socket.socket) -> str:
    """Return a bound socket's ``host:port``."""
    host, port = sock.getsockname()[:2]
    return f'{host}:{port}'


class HttpServer:
    """Serves one application while its context is open.

    Leaving the context refuses new connections and waits for requests
    in flight, at most ``drain`` seconds.
    """

    def __init__(self, app: t.Any, address: str, drain: float) -> None:
        self._app = app
        self._socket = bind(address)
        self.address = name_of(self._socket)
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
        config.accesslog = None
        config.errorlog = logging.getLogger('hypercorn.error')
        config.include_server_header = False
        try:
            await hypercorn.asyncio.serve(
                self._app, config, shutdown_trigger=self._stop.wait
            )
        finally:
            self._ended.set()
