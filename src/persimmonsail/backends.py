"""The sidecar's client of the backend server on its instance."""

import dataclasses

import httpx

_JSON = 'application/json'
NO_CONNECTION = 'no connection to the backend server'


@dataclasses.dataclass(frozen=True)
class BackendAnswer:
    """A backend server's whole answer to one request."""

    status: int
    body: bytes
    content_type: str


class Backend:
    """Use inside ``async with``; sends work to one backend server."""

    def __init__(self, address: str, connections: int) -> None:
        limits = httpx.Limits(
            max_connections=connections,
            max_keepalive_connections=connections,
        )
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
        """Send one request and return the whole answer.

        Parameters
        ----------
        request : str
            The caller's request, as the backend server logs it.
        body : bytes
            The caller's body.
        content_type : str
            The body's media type; empty for JSON.
        timeout : float
            Seconds until the answer is given up.

        Raises
        ------
        httpx.ConnectError, httpx.ConnectTimeout
            If the request was not sent.
        httpx.HTTPError
            If the request may have run.
        """
        headers = {
            'request-id': request,
            'content-type': content_type or _JSON,
        }
        answer = await self._client.post(
            '/work', content=body, headers=headers, timeout=timeout
        )
        return BackendAnswer(
            answer.status_code,
            answer.content,
            answer.headers.get('content-type', _JSON),
        )
