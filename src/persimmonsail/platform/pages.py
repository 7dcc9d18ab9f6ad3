"""Readiness and metrics pages of a process."""

import typing as t

from persimmonsail import metrics
from persimmonsail.platform import http


class Readiness(http.Application):
    """Reports to the platform's balancer whether this entry is ready."""

    def __init__(self, is_ready: t.Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def serve(
        self, scope: t.Any, receive: http.Receive, send: http.Send
    ) -> None:
        """See ``Application.serve``."""
        ready = self._is_ready()
        await http.send_json(send, 200 if ready else 503, {})


class Metrics(http.Application):
    """Serves all metrics of this process as text, on any path."""

    async def serve(
        self, scope: t.Any, receive: http.Receive, send: http.Send
    ) -> None:
        """See ``Application.serve``."""
        media_type = metrics.MEDIA_TYPE.encode('ascii')
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-type', media_type)],
            }
        )
        body = metrics.render().encode()
        await send({'type': 'http.response.body', 'body': body})
