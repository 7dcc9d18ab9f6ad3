"""Backend server stand-in: ``python -m standins.backend``.

Answers ``POST /work`` with the request's own number and body. It has 8
slots; work beyond them waits. ``GET /record`` returns all requests that
ran, in order. A request's JSON may name ``seconds`` that it takes.
"""

import json

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonsail import logs
from standins import serving

SLOTS = 8


class BackendServer:
    """Serves the work interface of a runner."""

    def __init__(self, slots: int = SLOTS) -> None:
        self._slots = slots
        self._limiter: anyio.Semaphore | None = None
        self._record: list[dict] = []
        self.app = applications.Starlette(
            routes=[
                routing.Route('/work', self._work, methods=['POST']),
                routing.Route('/health', self._health),
                routing.Route('/record', self._show_record),
            ]
        )

    async def _work(self, request: requests.Request):
        body = await request.body()
        wanted = json.loads(body or b'{}')
        number = request.headers.get('request-id', '')
        if self._limiter is None:
            self._limiter = anyio.Semaphore(self._slots)
        async with self._limiter:
            self._record.append({'request': number, 'body': wanted})
            await anyio.sleep(wanted.get('seconds', 0))
        answer = {'request': number, 'echo': wanted}
        return responses.JSONResponse(answer)

    async def _health(self, request: requests.Request):
        return responses.PlainTextResponse('ok')

    async def _show_record(self, request: requests.Request):
        return responses.JSONResponse(self._record)


def main() -> None:
    """Run the stand-in until SIGTERM."""
    arguments = serving.parse_arguments('Backend stand-in', f'slots={SLOTS}')
    logs.configure(arguments.name)
    server = BackendServer(int(arguments.slots))
    anyio.run(serving.serve, server.app, arguments.listen)


if __name__ == '__main__':
    main()
