"""Simulated network: HTTP and gRPC between simulated processes."""

import asyncio
import collections
import contextlib
import typing as t

import anyio
import grpclib.const
import grpclib.exceptions
import httpx

LATENCY = 0.001
_REAL_CLIENT = httpx.AsyncClient


class Fakes:
    """Creates the replacements of servers, clients and signals."""

    def __init__(self, world: t.Any) -> None:
        self._world = world

    def open_signal_receiver(self, *_numbers: int):
        """Replace ``anyio.open_signal_receiver``."""
        return _receive_signals(self._world.current)

    def make_http_server(self, app: t.Any, address: str, drain: float):
        """Replace ``httpserver.HttpServer``."""
        return HttpServer(self._world.current, app, address, drain)

    def make_grpc_server(self, servicers: list[t.Any], **_options: t.Any):
        """Replace ``grpclib.server.Server``."""
        return GrpcServer(self._world.current, servicers)

    def make_channel(self, host: str, port: int, **_options: t.Any):
        """Replace ``grpclib.client.Channel``."""
        return Channel(self._world, self._world.current, f'{host}:{port}')

    def make_client(self, **options: t.Any) -> httpx.AsyncClient:
        """Replace ``httpx.AsyncClient``."""
        options.pop('limits', None)
        options['transport'] = Transport(self._world, self._world.current)
        return _REAL_CLIENT(**options)


@contextlib.contextmanager
def _receive_signals(process):
    queue: asyncio.Queue = asyncio.Queue()

    async def receive():
        while True:
            yield await queue.get()

    process.signals.append(lambda: queue.put_nowait(15))
    yield receive()


class HttpServer:
    """Serves an application while its context is open."""

    def __init__(self, process, app, address: str, drain: float) -> None:
        self.address = address
        self._process = process
        self._app = app
        self._drain = drain
        self._open = 0
        self._changed = anyio.Event()

    async def __aenter__(self) -> 'HttpServer':
        self._process.apps[self.address] = self._serve
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._process.apps.pop(self.address, None)
        with anyio.CancelScope(shield=True), anyio.move_on_after(self._drain):
            while self._open:
                await self._changed.wait()

    async def _serve(self, scope, receive, send) -> None:
        self._open += 1
        try:
            await self._app(scope, receive, send)
        finally:
            self._open -= 1
            self._changed.set()
            self._changed = anyio.Event()


class Transport(httpx.AsyncBaseTransport):
    """Delivers HTTP requests to the process that listens."""

    def __init__(self, world, process) -> None:
        self._world = world
        self._process = process

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Deliver a request and its response; a cut link loses them."""
        body = await request.aread()
        timeouts = request.extensions.get('timeout', {})
        address = f'{request.url.host}:{request.url.port or 80}'
        target = self._world.find(address)
        if target is None:
            await anyio.sleep(LATENCY)
            raise httpx.ConnectError('refused', request=request)
        copy = httpx.Request(
            request.method, request.url, headers=request.headers, content=body
        )
        future = self._process.loop.create_future()
        self._send(target, future, address, copy)
        try:
            with anyio.fail_after(timeouts.get('read')):
                status, headers, content = await future
        except TimeoutError as error:
            raise httpx.ReadTimeout('timeout', request=request) from error
        return httpx.Response(status, headers=headers, content=content)

    def _send(self, target, future, address, request) -> None:
        if self._world.is_cut(self._process.name, target.name):
            return

        def start() -> None:
            app = target.apps.get(address)
            if app is not None:
                target.loop.create_task(
                    self._respond(target, app, request, future)
                )

        target.loop.call_later(LATENCY, start)

    async def _respond(self, target, app, request, future) -> None:
        transport = httpx.ASGITransport(app, raise_app_exceptions=False)
        response = await transport.handle_async_request(request)
        content = await response.aread()
        result = (response.status_code, response.headers, content)
        source = self._process
        if source.dead or self._world.is_cut(source.name, target.name):
            return

        def finish() -> None:
            if not future.done():
                future.set_result(result)

        source.loop.call_later(LATENCY, finish)


class GrpcServer:
    """Serves handlers until it is closed."""

    def __init__(self, process, servicers: list[t.Any]) -> None:
        self._process = process
        self._mapping: dict = {}
        for servicer in servicers:
            self._mapping.update(servicer.__mapping__())
        self._address = ''

    async def start(self, *_args: t.Any, sock: str = '', **_kw: t.Any) -> None:
        """Listen on an address."""
        self._address = sock
        self._process.handlers[sock] = self._mapping

    def close(self) -> None:
        """Stop listening and break all open streams."""
        self._process.handlers.pop(self._address, None)
        for stream in list(self._process.streams):
            if stream.is_server:
                stream.break_both()

    async def wait_closed(self) -> None:
        """Return immediately."""


class Channel:
    """A connection to one address; ``silent`` drops its messages."""

    def __init__(self, world, process, address: str) -> None:
        self.silent = False
        self._world = world
        self._process = process
        self._address = address
        self._streams: set[Stream] = set()
        world.channels.append(self)

    @property
    def ends(self) -> tuple[str, str]:
        """The name of the client process, and the address."""
        return self._process.name, self._address

    async def __connect__(self) -> None:
        """Connect; fail if nothing listens, or hang on a cut link."""
        target = self._world.find(self._address)
        await anyio.sleep(LATENCY)
        if target is None or self._address not in target.handlers:
            raise ConnectionRefusedError(self._address)
        if self._world.is_cut(self._process.name, target.name):
            await anyio.sleep_forever()

    def request(
        self,
        name: str,
        cardinality: t.Any,
        request_type: type,
        reply_type: type,
        **_options: t.Any,
    ):
        """Open a stream for one call."""
        return self._open(name, request_type, reply_type)

    @contextlib.asynccontextmanager
    async def _open(self, name: str, request_type, reply_type):
        target = self._world.find(self._address)
        if target is None or self._address not in target.handlers:
            await anyio.sleep(LATENCY)
            raise ConnectionRefusedError(self._address)
        client_end = Stream(
            self._world, self, self._process, reply_type, False
        )
        server_end = Stream(self._world, self, target, request_type, True)
        client_end.peer, server_end.peer = server_end, client_end
        self._streams.add(client_end)
        client_end.transmit(lambda: server_end.start(self._address, name))
        try:
            yield client_end
        finally:
            self._streams.discard(client_end)
            client_end.leave()

    def close(self) -> None:
        """Break every stream on this connection."""
        for stream in list(self._streams):
            stream.break_both()


class Stream:
    """One end of a call's stream."""

    def __init__(self, world, channel, process, message_type, is_server):
        self.is_server = is_server
        self.peer: Stream
        self._world = world
        self._channel = channel
        self._process = process
        self._type = message_type
        self._inbox: asyncio.Queue = asyncio.Queue()
        self._task: asyncio.Task | None = None
        self._outgoing: collections.deque = collections.deque()
        self._broken = False
        process.streams.add(self)

    async def send_message(self, message, *, end: bool = False) -> None:
        """Send a message to the other end."""
        self._check()
        data = message.SerializeToString()
        self.transmit(lambda: self.peer.deliver(data))
        if end:
            self.transmit(lambda: self.peer.deliver(None))
        await asyncio.sleep(0)

    async def end(self) -> None:
        """Signal that no more messages follow."""
        self.transmit(lambda: self.peer.deliver(None))

    async def recv_message(self):
        """Return the next message, or None after the last."""
        self._check()
        data = await self._inbox.get()
        if isinstance(data, Exception):
            raise data
        return None if data is None else self._type.FromString(data)

    async def __aiter__(self):
        while (message := await self.recv_message()) is not None:
            yield message

    def transmit(self, action: t.Callable[[], None]) -> None:
        """Run an action at the other end, unless it is lost."""
        target = self.peer._process
        lost = self._channel.silent or self._world.is_cut(
            self._process.name, target.name
        )
        if not lost and not target.dead:
            self._outgoing.append(action)
            target.loop.call_later(LATENCY, self._arrive)

    def _arrive(self) -> None:
        # Timers that are due at the same time fire in no defined order; the
        # queue preserves the order of the bytes on a connection.
        self._outgoing.popleft()()

    def start(self, address: str, name: str) -> None:
        """Start handling the call at the server's end."""
        handler = self._process.handlers.get(address, {}).get(name)
        if handler is None:
            self.break_peer()
            return
        self._task = self._process.loop.create_task(self._handle(handler))

    async def _handle(self, handler) -> None:
        try:
            await handler.func(self)
            self.transmit(lambda: self.peer.deliver(None))
        except (OSError, grpclib.exceptions.StreamTerminatedError):
            pass
        except Exception as error:
            grpc_error = grpclib.exceptions.GRPCError(
                grpclib.const.Status.UNKNOWN, repr(error)
            )
            self.transmit(lambda: self.peer.deliver(grpc_error))
            raise
        finally:
            self._process.streams.discard(self)

    def deliver(self, data) -> None:
        """Queue an arrived message for the reader."""
        self._inbox.put_nowait(data)

    def leave(self) -> None:
        """Notify the server that its client has gone."""
        self._process.streams.discard(self)
        self.transmit(self.peer.cancel)

    def cancel(self) -> None:
        """Cancel the handler, as grpclib does when its client has gone."""
        if self._task is not None and not self._task.done():
            self._task.cancel()

    def break_peer(self) -> None:
        """Break the other end."""
        peer = self.peer
        if not peer._process.dead:
            peer._process.loop.call_later(LATENCY, peer.mark_broken)

    def break_both(self) -> None:
        """Break both ends."""
        self.break_peer()
        self.mark_broken()

    def mark_broken(self) -> None:
        """Fail pending and later calls at this end."""
        self._broken = True
        self._inbox.put_nowait(
            grpclib.exceptions.StreamTerminatedError('connection lost')
        )
        if self.is_server:
            self.cancel()

    def _check(self) -> None:
        if self._broken:
            raise grpclib.exceptions.StreamTerminatedError('connection lost')
