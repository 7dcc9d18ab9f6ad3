"""Size-limited reading of request bodies."""

import typing as t

import anyio

from persimmonsail import exceptions

# An oversized body is read and discarded up to these limits before the
# response is sent: a client whose connection is closed while it still sends
# never reads the error.
_MAX_DISCARDED_BYTES = 64 * 1024 * 1024
_DISCARD_SECONDS = 5.0

Receive = t.Callable[[], t.Awaitable[t.Any]]


async def read_body(receive: Receive, limit: int) -> bytes:
    """Read the whole body of a request.

    Parameters
    ----------
    receive : callable
        The ASGI receive channel.
    limit : int
        Maximum size of the body in bytes.

    Raises
    ------
    persimmonsail.exceptions.BodyTooLarge
        If the body is larger, or was not read completely in time; the
        excess is read and discarded, up to a limit.
    persimmonsail.exceptions.CallerGone
        If the caller disconnected.
    """
    chunks: list[bytes] = []
    size = 0
    with anyio.move_on_after(_DISCARD_SECONDS) as scope:
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                raise exceptions.CallerGone
            chunk = message.get('body', b'')
            size += len(chunk)
            if size <= limit:
                chunks.append(chunk)
            if not message.get('more_body') or size > _MAX_DISCARDED_BYTES:
                break
    if size > limit or scope.cancelled_caught:
        raise exceptions.BodyTooLarge
    return b''.join(chunks)
