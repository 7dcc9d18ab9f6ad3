"""A small HTTP/1.1 server and client with JSON bodies."""

import asyncio
import contextlib
import dataclasses
import json
import typing as t
import urllib.parse

_REASONS = {200: 'OK', 503: 'Service Unavailable'}


@dataclasses.dataclass
class Request:
    """A request as received.

    Attributes
    ----------
    method, path : str
        Method, and path without its query.
    query, headers : dict
        Query parameters, and headers with names in lower case.
    body : object
        The decoded body; None without one.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: t.Any


@dataclasses.dataclass
class Reply:
    """A status and a JSON body."""

    status: int
    body: t.Any = dataclasses.field(default_factory=dict)


class Unanswered(Exception):
    """No complete answer was received."""


# A handler returns None if the request gets no answer.
Handler = t.Callable[[Request], t.Awaitable[Reply | None]]


class Server:
    """Serves one handler at one address.

    Parameters
    ----------
    handler : callable
        Answers each request.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = ''

    async def start(self, host: str, port: int = 0) -> str:
        """Listen, and return the address as ``host:port``."""
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=1024
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        return self.address

    def reset_connections(self) -> None:
        """Close all connections, as the end of the process does."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                reply = await self._handler(request)
                if reply is None:
                    # Nothing further comes on this channel.
                    await reader.read()
                    return
                writer.write(_encode_reply(reply))
                await writer.drain()
        except (
            OSError,
            ValueError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
        ):
            # The peer has gone, or this stand-in ends.
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode('latin-1').split(' ', 2)
    headers, body = await _read_message(reader)
    parts = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
    path = urllib.parse.unquote(parts.path)
    decoded = json.loads(body) if body else None
    return Request(method, path, query, headers, decoded)


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[dict[str, str], bytes]:
    headers = {}
    while True:
        line = (await reader.readline()).decode('latin-1').strip()
        if not line:
            break
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length', 0))
    return headers, await reader.readexactly(length)


def _encode_reply(reply: Reply) -> bytes:
    data = json.dumps(reply.body, separators=(',', ':')).encode()
    reason = _REASONS.get(reply.status, 'Other')
    head = (
        f'HTTP/1.1 {reply.status} {reason}\r\n'
        f'Content-Type: application/json\r\n'
        f'Content-Length: {len(data)}\r\n\r\n'
    )
    return head.encode('ascii') + data


async def call(
    address: str,
    method: str,
    path: str,
    body: t.Any = None,
    headers: t.Mapping[str, str] | None = None,
    timeout: float = 3.0,
) -> Reply:
    """Send one request on a connection of its own.

    Raises
    ------
    Unanswered
        If there was no complete answer in time.
    """
    data = b'' if body is None else json.dumps(body).encode()
    fields = {
        'Host': address,
        'Content-Type': 'application/json',
        'Content-Length': str(len(data)),
        'Connection': 'close',
        **(headers or {}),
    }
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    request = '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + data
    try:
        return await asyncio.wait_for(_exchange(address, request), timeout)
    except (OSError, TimeoutError, ValueError, EOFError) as error:
        raise Unanswered(repr(error)) from error


async def _exchange(address: str, request: bytes) -> Reply:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        await writer.drain()
        line = (await reader.readline()).decode('latin-1')
        if not line:
            raise EOFError('closed without an answer')
        status = int(line.split(' ', 2)[1])
        _, body = await _read_message(reader)
        return Reply(status, json.loads(body) if body else {})
    finally:
        writer.transport.abort()
