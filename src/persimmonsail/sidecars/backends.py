"""The sidecar's client of the backend server on its instance.

Each request uses its own connection. A keep-alive connection can go
silent permanently while idle, or be closed by the backend server just
as a request is sent; in both cases it is unknown whether the request
ran. On an instance's loopback interface a new connection costs little,
and new requests never use an old, silent connection.
"""

import dataclasses

import anyio
import httpx

from persimmonsail import exceptions

_JSON_MEDIA_TYPE = 'application/json'
_HEALTH_PATH = '/health'
MAX_ANSWER_BYTES = 1_000_000
NO_CONNECTION = 'no connection to the backend server'
_CONNECTION_EVENT_PREFIX = 'connection.'


@dataclasses.dataclass(frozen=True)
class BackendAnswer:
    """A backend server's complete answer to one request."""

    status: int
    body: bytes
    content_type: str


class _SendTrace:
    """Traces one exchange to find whether its request may be sent.

    The HTTP library emits no trace events while a request waits for a
    free connection, and only ``connection.`` events while it connects.
    """

    def __init__(self) -> None:
        self.may_be_sent = False

    async def note(self, name: str, _: dict[str, object]) -> None:
        """Handle a trace event of the HTTP library."""
        if not name.startswith(_CONNECTION_EVENT_PREFIX):
            self.may_be_sent = True


class Backend:
    """Sends work to one backend server; use inside ``async with``."""

    def __init__(
        self,
        address: str,
        connections: int,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        limits = httpx.Limits(
            max_connections=connections, max_keepalive_connections=0
        )
        self._max_answer_bytes = max_answer_bytes
        self._client = httpx.AsyncClient(
            base_url=f'http://{address}', limits=limits, trust_env=False
        )

    async def __aenter__(self) -> 'Backend':
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._client.aclose()

    async def send(
        self, request: str, body: bytes, content_type: str, timeout: float
    ) -> BackendAnswer:
        """Send one request and return the complete answer.

        Parameters
        ----------
        request : str
            The id of the caller's request, for the backend's logs.
        body : bytes
            The caller's body.
        content_type : str
            The body's media type; empty for JSON.
        timeout : float
            Seconds to wait for the answer.

        Raises
        ------
        persimmonsail.exceptions.BackendNotConnected
            If the request was not sent.
        persimmonsail.exceptions.BackendAnswerLost
            If the request may have run, but its complete answer was not
            received.
        """
        headers = {
            'request-id': request,
            'content-type': content_type or _JSON_MEDIA_TYPE,
        }
        send_trace = _SendTrace()
        try:
            with anyio.fail_after(timeout):
                return await self._exchange(body, headers, timeout, send_trace)
        except (httpx.HTTPError, TimeoutError) as error:
            if not send_trace.may_be_sent:
                raise exceptions.BackendNotConnected(NO_CONNECTION) from error
            name = type(error).__name__
            raise exceptions.BackendAnswerLost(
                f'answer of the backend server lost: {name}'
            ) from error

    async def _exchange(
        self,
        body: bytes,
        headers: dict[str, str],
        timeout: float,
        send_trace: _SendTrace,
    ) -> BackendAnswer:
        async with self._client.stream(
            'POST',
            '/work',
            content=body,
            headers=headers,
            timeout=timeout,
            extensions={'trace': send_trace.note},
        ) as answer:
            received = bytearray()
            async for chunk in answer.aiter_bytes():
                received += chunk
                if len(received) > self._max_answer_bytes:
                    raise exceptions.BackendAnswerLost(
                        'the answer of the backend server is too large'
                    )
        return BackendAnswer(
            answer.status_code,
            bytes(received),
            answer.headers.get('content-type', _JSON_MEDIA_TYPE),
        )

    async def is_serving(self, timeout: float) -> bool:
        """Whether the backend server reports that it accepts new work.

        Raises
        ------
        persimmonsail.exceptions.BackendNotConnected
            If it did not answer.
        """
        try:
            answer = await self._client.get(_HEALTH_PATH, timeout=timeout)
        except httpx.HTTPError as error:
            raise exceptions.BackendNotConnected(
                f'{_HEALTH_PATH}: {type(error).__name__}'
            ) from error
        return answer.status_code == httpx.codes.OK
