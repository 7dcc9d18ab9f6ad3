"""Store stand-in: ``python -m standins.store``.

``POST /v1/<call>`` with a JSON body makes a call, ``POST /faults`` sets
the faults to inject, and ``GET /calls`` returns the number of calls.
"""

import dataclasses

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail import store as store_module
from standins import memory
from standins import serving

_EXPIRY_PERIOD_SECONDS = 0.05


class StoreServer:
    """Serves one ``MemoryStore`` over HTTP."""

    def __init__(self) -> None:
        self.memory = memory.MemoryStore()
        self._handlers = {
            'get': self._get,
            'scan': self._scan,
            'put': self._put,
            'delete': self._delete,
            'lease/grant': self._grant,
            'lease/renew': self._renew,
            'lease/revoke': self._revoke,
            'watch': self._watch,
        }
        self.app = applications.Starlette(
            routes=[
                routing.Route(
                    '/v1/{name:path}', self._handle, methods=['POST']
                ),
                routing.Route('/faults', self._set_faults, methods=['POST']),
                routing.Route('/calls', self._show_calls),
            ]
        )

    async def expire_leases(self) -> None:
        """End expired leases periodically, also without calls."""
        while True:
            await anyio.sleep(_EXPIRY_PERIOD_SECONDS)
            self.memory.expire_leases()

    async def _handle(self, request: requests.Request) -> responses.Response:
        handler = self._handlers[request.path_params['name']]
        try:
            return responses.JSONResponse(await handler(await request.json()))
        except exceptions.Conflict as error:
            body = {'revision': error.actual}
            return responses.JSONResponse(body, status_code=409)
        except exceptions.LeaseExpired:
            return responses.JSONResponse({}, status_code=410)
        except exceptions.StoreUnavailable as error:
            return responses.PlainTextResponse(str(error), status_code=503)

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        self.memory.faults = memory.Faults(**await request.json())
        return responses.JSONResponse({})

    async def _show_calls(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse(dataclasses.asdict(self.memory.calls))

    async def _get(self, body):
        item = await self.memory.get(body['key'])
        return {'item': dataclasses.asdict(item) if item else None}

    async def _scan(self, body):
        return _dump_page(await self.memory.scan(body['prefix']))

    async def _put(self, body):
        return {'revision': await self.memory.put(**body)}

    async def _delete(self, body):
        await self.memory.delete(**body)
        return {}

    async def _grant(self, body):
        return {'lease': await self.memory.grant_lease(body['seconds'])}

    async def _renew(self, body):
        await self.memory.renew_lease(body['lease'])
        return {}

    async def _revoke(self, body):
        await self.memory.revoke_lease(body['lease'])
        return {}

    async def _watch(self, body):
        return _dump_page(await self.memory.watch(**body))


def _dump_page(page: store_module.Page):
    return dataclasses.asdict(page)


def main() -> None:
    """Run the stand-in until SIGTERM."""
    arguments = serving.parse_arguments('Store stand-in')
    logs.configure(arguments.name)
    server = StoreServer()
    anyio.run(
        serving.serve, server.app, arguments.listen, server.expire_leases
    )


if __name__ == '__main__':
    main()
