"""Small helpers for serving the platform's plain HTTP calls."""

import json
import typing as t

import anyio

# What is read of a body that is too large before its answer: a peer that
# is cut off while it sends never gets to read why.
_MOST_DISCARDED_BYTES = 64 * 1024 * 1024
_DISCARD_SECONDS = 5.0
_LONGEST_ERROR = 400

Receive = t.Callable[[], t.Awaitable[t.Any]]
Send = t.Callable[[t.Any], t.Awaitable[None]]


class BodyTooLarge(Exception):
    """A request's body is larger than allowed; it was read to its end."""


class Disconnected(Exception):
    """The caller went away before its body was read."""


async def read_body(receive: Receive, limit: int) -> bytes:
    """Return a request's body.

    Parameters
    ----------
    receive : callable
        The ASGI channel.
    limit : int
        The most bytes that are kept.

    Raises
    ------
    BodyTooLarge
        If there are more; they were read and dropped, up to a bound.
    Disconnected
        If the caller went away.
    """
    parts: list[bytes] = []
    size = 0
    with anyio.move_on_after(_DISCARD_SECONDS) as scope:
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                raise Disconnected
            part = message.get('body', b'')
            size += len(part)
            if size <= limit:
                parts.append(part)
            if not message.get('more_body') or size > _MOST_DISCARDED_BYTES:
                break
    if size > limit or scope.cancelled_caught:
        raise BodyTooLarge
    return b''.join(parts)


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
    text = text[:_LONGEST_ERROR]
    await send_json(send, status, {'error': text}, retry_after)


def get_header(scope: t.Mapping[str, t.Any], name: bytes) -> str:
    """Return a request's header, or nothing."""
    for key, value in scope['headers']:
        if key == name:
            return value.decode('latin-1')
    return ''


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's start and stop messages."""
    while True:
        message = await receive()
        if message['type'] == 'lifespan.startup':
            await send({'type': 'lifespan.startup.complete'})
        else:
            await send({'type': 'lifespan.shutdown.complete'})
            return
