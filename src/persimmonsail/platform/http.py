"""Helpers for serving the platform's HTTP requests."""

import abc
import json
import typing as t

_MAX_ERROR_LENGTH = 400

Receive = t.Callable[[], t.Awaitable[t.Any]]
Send = t.Callable[[t.Any], t.Awaitable[None]]


async def send_json(
    send: Send,
    status: int,
    body: t.Mapping[str, t.Any],
    retry_after: int | None = None,
) -> None:
    """Answer with a JSON body."""
    data = json.dumps(body, separators=(',', ':')).encode()
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(data)).encode('ascii')),
    ]
    if retry_after is not None:
        headers.append((b'retry-after', str(retry_after).encode('ascii')))
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': data})


async def send_error(
    send: Send, status: int, text: str, retry_after: int | None = None
) -> None:
    """Answer with an error's text."""
    text = text[:_MAX_ERROR_LENGTH]
    await send_json(send, status, {'error': text}, retry_after)


def get_header(scope: t.Mapping[str, t.Any], name: bytes) -> str:
    """Return a request's header, or an empty text."""
    for key, value in scope['headers']:
        if key == name:
            return value.decode('latin-1')
    return ''


class Application(abc.ABC):
    """An ASGI application that serves HTTP requests and nothing else."""

    async def __call__(
        self, scope: t.Any, receive: Receive, send: Send
    ) -> None:
        """Serve one request, or the server's start and stop messages."""
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
        elif scope['type'] == 'http':
            await self.serve(scope, receive, send)

    @abc.abstractmethod
    async def serve(self, scope: t.Any, receive: Receive, send: Send) -> None:
        """Serve one request."""


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        if message['type'] == 'lifespan.startup':
            await send({'type': 'lifespan.startup.complete'})
        else:
            await send({'type': 'lifespan.shutdown.complete'})
            return
