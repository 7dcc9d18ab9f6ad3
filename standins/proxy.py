"""Fault-injecting TCP proxy: ``python -m standins.proxy``.

Connections are forwarded to ``--target host:port``. ``POST /faults`` on
the control address takes JSON: ``mode`` is one of pass, cut (close all
connections and refuse new ones), freeze (hold the bytes of all
connections), silent (drop the bytes of the connections that are open;
new ones work), one-way (drop what the target sends, so that calls take
effect without a response), ``delay`` in seconds, ``rate`` in bytes per
second of each connection and direction (0: no limit), and ``target``,
the target of new connections.
"""

import collections.abc

import anyio
import anyio.abc
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonsail import addresses
from persimmonsail import logs
from standins import serving

_CHUNK_BYTES = 65536
# A rate-limited connection forwards small chunks, to approximate the steady
# flow of a slow link.
_CHUNKS_PER_SECOND = 20


class Connection:
    """One proxied connection and whether its bytes are dropped."""

    def __init__(self) -> None:
        self.silent = False
        self.scope = anyio.CancelScope()


class Proxy:
    """Forwards connections to a target, with faults."""

    def __init__(self, listen: str, target: str) -> None:
        self._target = addresses.split(target)
        self._socket = addresses.bind(listen)
        self.address = addresses.format_address(self._socket)
        self._mode = 'pass'
        self._delay = 0.0
        self.rate = 0
        self._unfrozen = anyio.Event()
        self._connections: set[Connection] = set()
        self.app = applications.Starlette(
            routes=[
                routing.Route('/faults', self._set_faults, methods=['POST'])
            ]
        )

    def set_mode(self, mode: str, delay: float = 0.0) -> None:
        """Inject a fault, or end it with ``pass``."""
        self._mode = mode
        self._delay = delay
        if mode == 'silent':
            for connection in self._connections:
                connection.silent = True
        if mode == 'cut':
            for connection in self._connections:
                connection.scope.cancel()
        if mode != 'freeze':
            self._unfrozen.set()
            self._unfrozen = anyio.Event()

    async def run(self) -> None:
        """Accept connections until cancelled."""
        listener = await anyio.abc.SocketListener.from_socket(self._socket)
        async with listener:
            await listener.serve(self._handle)

    async def _handle(self, client: anyio.abc.ByteStream) -> None:
        connection = Connection()
        async with client:
            if self._mode == 'cut':
                return
            try:
                server = await anyio.connect_tcp(*self._target)
            except OSError:
                return
            self._connections.add(connection)
            try:
                with connection.scope:
                    await self._relay(client, server, connection)
            finally:
                self._connections.discard(connection)

    async def _relay(self, client, server, connection: Connection) -> None:
        async with server, anyio.create_task_group() as group:
            upstream = (client, server, False)
            downstream = (server, client, True)
            for source, target, is_response in (upstream, downstream):
                group.start_soon(
                    self._forward,
                    source,
                    target,
                    is_response,
                    connection,
                    group,
                )

    async def _forward(
        self, source, target, is_response: bool, connection: Connection, group
    ) -> None:
        try:
            async for chunk in self._read(source):
                while self._mode == 'freeze':
                    await self._unfrozen.wait()
                if connection.silent or (
                    is_response and self._mode == 'one-way'
                ):
                    continue
                if self._delay:
                    await anyio.sleep(self._delay)
                await target.send(chunk)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        if not connection.silent:
            group.cancel_scope.cancel()

    async def _read(
        self, source: anyio.abc.ByteStream
    ) -> collections.abc.AsyncIterator[bytes]:
        while True:
            size = self.rate // _CHUNKS_PER_SECOND or _CHUNK_BYTES
            try:
                chunk = await source.receive(size)
            except anyio.EndOfStream:
                return
            yield chunk
            if self.rate:
                await anyio.sleep(len(chunk) / self.rate)

    async def _set_faults(self, request: requests.Request):
        body = await request.json()
        if 'target' in body:
            self._target = addresses.split(body['target'])
        self.rate = body.get('rate', 0)
        self.set_mode(body.get('mode', self._mode), body.get('delay', 0.0))
        return responses.JSONResponse({})


async def run(listen: str, control: str, target: str) -> None:
    """Run a proxy and its control interface until SIGTERM."""
    proxy = Proxy(listen, target)
    logs.write_event('proxying', address=proxy.address, target=target)
    await serving.serve(proxy.app, control, proxy.run)


def main() -> None:
    """Run the stand-in until SIGTERM."""
    arguments = serving.parse_arguments(
        'Proxy stand-in', 'control=127.0.0.1:0', 'target='
    )
    logs.configure(arguments.name)
    anyio.run(run, arguments.listen, arguments.control, arguments.target)


if __name__ == '__main__':
    main()
