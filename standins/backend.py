"""Backend server stand-in: ``python -m standins.backend``.

Answers ``POST /work`` with the request's own number and body. It has 8
slots; work beyond them waits. ``GET /record`` returns all requests that
ran, in order. A request's JSON may name ``seconds`` that it takes,
``truncate`` for an answer cut off in its middle, and ``padding``, bytes
that are added to the answer. ``POST /leave`` makes it leave: its
``/health`` then answers 503; ``POST /return`` brings it back.
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
        self._leaving = False
        self.app = applications.Starlette(
            routes=[
                routing.Route('/work', self._work, methods=['POST']),
                routing.Route('/health', self._health),
                routing.Route('/record', self._show_record),
                routing.Route('/leave', self._leave, methods=['POST']),
                routing.Route('/return', self._return, methods=['POST']),
            ]
        )

    async def _work(self, request: requests.Request):
        body = await request.body()
        wanted = json.loads(body or b'{}')
        number = request.headers.get('request-id', '')
        if self._limiter is None:
            self._limiter = anyio.Semaphore(self._slots)
        async with self._limiter:
            run = {'request': number, 'body': wanted, 'ended': False}
            self._record.append(run)
            logs.write_event('work', request=number)
            await anyio.sleep(wanted.get('seconds', 0))
            run['ended'] = True
        answer = {'request': number, 'echo': wanted}
        if 'padding' in wanted:
            answer['padding'] = 'x' * wanted['padding']
        response = responses.JSONResponse(answer)
        if wanted.get('truncate'):
            response.headers['content-length'] = str(len(response.body) + 100)
        return response

    async def _health(self, request: requests.Request):
        if self._leaving:
            return responses.PlainTextResponse('leaving', 503)
        return responses.PlainTextResponse('ok')

    async def _leave(self, request: requests.Request):
        self._leaving = True
        return responses.PlainTextResponse('leaving')

    async def _return(self, request: requests.Request):
        self._leaving = False
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
