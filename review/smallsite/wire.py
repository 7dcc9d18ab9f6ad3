"""HTTP/1.1 with JSON bodies: a small server and a small client."""

import asyncio
import contextlib
import dataclasses
import json
import typing as t

_REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone'}
_DEFAULT_TIMEOUT_SECONDS = 5.0


@dataclasses.dataclass(frozen=True)
class Request:
    """A request that a stand-in has received."""

    method: str
    path: str
    headers: t.Mapping[str, str]
    body: t.Any
    connection: object


@dataclasses.dataclass(frozen=True)
class Answer:
    """A status and a JSON body."""

    status: int
    body: t.Any = None


Handler = t.Callable[[Request], t.Awaitable[Answer]]


class Server:
    """Serves one handler; open connections can be reset.

    Parameters
    ----------
    handler : callable
        Returns the answer to a request; one that never returns leaves the
        caller without an answer.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        # Never set: what waits for it gets no answer.
        self.never = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def silence(self) -> None:
        """Answer nothing more on the open connections, without a reset."""
        self._silent |= self._writers

    async def close(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        connection = object()
        try:
            while True:
                request = await _read_request(reader, connection)
                if request is None:
                    return
                if writer not in self._silent:
                    answer = await self._handler(request)
                if writer in self._silent:
                    await self.never.wait()
                writer.write(_format_answer(answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            # The script ends while this request is still unanswered.
            return
        finally:
            self._writers.discard(writer)
            self._silent.discard(writer)
            writer.transport.abort()


async def call(
    address: str,
    method: str,
    path: str,
    body: t.Any = None,
    headers: t.Mapping[str, str] | None = None,
    timeout: float = _DEFAULT_TIMEOUT_SECONDS,
) -> Answer | None:
    """Send one request on a new connection; None without an answer."""
    host, port = address.rsplit(':', 1)
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                data = b'' if body is None else json.dumps(body).encode()
                lines = [
                    f'{method} {path} HTTP/1.1',
                    f'Content-Length: {len(data)}',
                    'Content-Type: application/json',
                ]
                fields = {'Host': address, **(headers or {})}
                lines += [f'{name}: {value}' for name, value in fields.items()]
                head = '\r\n'.join(lines) + '\r\n\r\n'
                writer.write(head.encode() + data)
                return await _read_answer(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    first = (await reader.readline()).decode('latin-1').strip()
    if not first:
        return None
    headers = {}
    while True:
        line = (await reader.readline()).decode('latin-1').strip()
        if not line:
            return first, headers
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()


async def _read_body(
    reader: asyncio.StreamReader, headers: t.Mapping[str, str]
) -> t.Any:
    length = int(headers.get('content-length', '0'))
    data = await reader.readexactly(length)
    return json.loads(data) if data else None


async def _read_request(
    reader: asyncio.StreamReader, connection: object
) -> Request | None:
    head = await _read_head(reader)
    if head is None:
        return None
    method, path, _ = head[0].split(' ')
    body = await _read_body(reader, head[1])
    return Request(method, path, head[1], body, connection)


async def _read_answer(reader: asyncio.StreamReader) -> Answer | None:
    head = await _read_head(reader)
    if head is None:
        return None
    body: t.Any = None
    with contextlib.suppress(json.JSONDecodeError):
        body = await _read_body(reader, head[1])
    return Answer(int(head[0].split(' ')[1]), body)


def _format_answer(answer: Answer) -> bytes:
    data = json.dumps(answer.body or {}).encode()
    reason = _REASONS.get(answer.status, 'Status')
    head = (
        f'HTTP/1.1 {answer.status} {reason}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(data)}\r\n\r\n'
    )
    return head.encode() + data
