"""Backend server stand-in: ``python -m standins.backend``.

Answers ``POST /work`` with the id and the body of the request. Requests
beyond 8 slots wait; requests beyond 64 connections are refused with 503
and do not run. ``GET /record`` returns all requests that ran, in order.
The JSON body of a request may set ``seconds``, its duration,
``truncate``, to cut the response off in the middle, and ``padding``, a
number of bytes to add to the response. After ``POST /leave``,
``/health`` answers 503 until ``POST /return``.
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
MAX_CONNECTIONS = 64


class BackendServer:
    """Serves the work interface of a backend server."""

    def __init__(self, slots: int = SLOTS) -> None:
        self._slots = slots
        self._slot_semaphore: anyio.Semaphore | None = None
        self._record: list[dict] = []
        self._leaving = False
        self._open_requests = 0
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
        if self._open_requests >= MAX_CONNECTIONS:
            return responses.PlainTextResponse('too many connections', 503)
        self._open_requests += 1
        try:
            return await self._execute(request)
        finally:
            self._open_requests -= 1

    async def _execute(self, request: requests.Request):
        body = await request.body()
        options = json.loads(body or b'{}')
        request_id = request.headers.get('request-id', '')
        if self._slot_semaphore is None:
            self._slot_semaphore = anyio.Semaphore(self._slots)
        async with self._slot_semaphore:
            execution = {
                'request': request_id,
                'body': options,
                'ended': False,
            }
            self._record.append(execution)
            logs.write_event('work', request=request_id)
            await anyio.sleep(options.get('seconds', 0))
            execution['ended'] = True
        content = {'request': request_id, 'echo': options}
        if 'padding' in options:
            content['padding'] = 'x' * options['padding']
        response = responses.JSONResponse(content)
        if options.get('truncate'):
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
