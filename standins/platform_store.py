"""Stand-in for the platform's store: ``python -m standins.platform_store``.

Serves the platform's protocol. ``POST /faults`` sets the faults to
inject, ``GET /items`` returns all keys with their values, and ``POST
/operator`` writes a key as an operator would, or removes it if the value is
null.
"""

import base64
import dataclasses
import itertools
import json
import time

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonsail import logs
from standins import serving

_EXPIRY_PERIOD_SECONDS = 0.05
_PAGE_SIZE = 100


@dataclasses.dataclass
class Faults:
    """Faults injected into calls.

    Attributes
    ----------
    down : str
        ``busy``: calls are refused; ``silent``: they get no response.
    lose_writes : int
        Number of next transactions that take effect without a response.
    delay_writes : float
        With ``lose_writes``: seconds until they take effect, if their
        precondition still holds.
    hang_watch : str
        Watches of this prefix get no response; all other calls do.
    hang_reads : str
        Neither watches nor scans of this prefix get a response.
    """

    down: str = ''
    lose_writes: int = 0
    delay_writes: float = 0.0
    hang_watch: str = ''
    hang_reads: str = ''


@dataclasses.dataclass
class _Item:
    value: str
    revision: int
    created: int
    lease: int


@dataclasses.dataclass
class _Lease:
    seconds: float
    deadline: float


class PlatformStore:
    """Holds all keys in memory, with their history."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._revision = 1
        self._items: dict[str, _Item] = {}
        self._history: list[tuple[int, str, _Item | None]] = []
        self._discarded_revision = 0
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(100)
        self._changed = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        post = {'methods': ['POST']}
        self.app = applications.Starlette(
            routes=[
                routing.Route('/v1/kv-key', self._get),
                routing.Route('/v1/kv-range', self._list_range),
                routing.Route('/v1/kv-watch', self._watch),
                routing.Route('/v1/kv-txn', self._commit, **post),
                routing.Route('/v1/kv-lease', self._grant, **post),
                routing.Route('/v1/kv-keep/{id:int}', self._renew, **post),
                routing.Route(
                    '/v1/kv-lease-end/{id:int}',
                    self._revoke,
                    methods=['DELETE'],
                ),
                routing.Route('/faults', self._set_faults, **post),
                routing.Route('/operator', self._write_as_operator, **post),
                routing.Route('/items', self._list_items),
            ]
        )

    async def run(self) -> None:
        """End expired leases and execute delayed writes."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                await anyio.sleep(_EXPIRY_PERIOD_SECONDS)
                now = time.monotonic()
                for id, lease in list(self._leases.items()):
                    if lease.deadline < now:
                        self._end_lease(id)

    def discard_history(self) -> None:
        """Discard past changes; watches that start before now get 410."""
        self._history.clear()
        self._discarded_revision = self._revision
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _end_lease(self, id: int) -> None:
        self._leases.pop(id, None)
        keys = [k for k, item in self._items.items() if item.lease == id]
        if keys:
            self._apply([], keys)

    def _apply(self, puts: list[dict], removed: list[str]) -> int:
        self._revision += 1
        for put in puts:
            key = put['key']
            previous = self._items.get(key)
            created = previous.created if previous else self._revision
            item = _Item(
                put['value'], self._revision, created, put.get('lease', 0)
            )
            self._items[key] = item
            self._history.append((self._revision, key, item))
        for key in removed:
            if self._items.pop(key, None) is not None:
                self._history.append((self._revision, key, None))
        self._notify_watches()
        return self._revision

    async def _apply_outage(self) -> responses.Response | None:
        if self.faults.down == 'silent':
            await anyio.sleep_forever()
        if self.faults.down == 'busy':
            return responses.JSONResponse({}, status_code=503)
        return None

    def _dump(self, key: str) -> dict:
        item = self._items.get(key)
        if item is None:
            return {'key': key, 'value': '', 'revision': 0}
        return {'key': key, **dataclasses.asdict(item)}

    async def _get(self, request: requests.Request) -> responses.Response:
        if (failure := await self._apply_outage()) is not None:
            return failure
        key = request.query_params['key']
        status = 200 if key in self._items else 404
        body = {**self._dump(key), 'atRev': self._revision}
        return responses.JSONResponse(body, status_code=status)

    async def _list_range(
        self, request: requests.Request
    ) -> responses.Response:
        if (failure := await self._apply_outage()) is not None:
            return failure
        query = request.query_params
        if query['prefix'] == self.faults.hang_reads:
            await anyio.sleep_forever()
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        return responses.JSONResponse(
            {
                'items': [self._dump(key) for key in keys[:_PAGE_SIZE]],
                'hasMore': len(keys) > _PAGE_SIZE,
                'atRev': self._revision,
            }
        )

    async def _watch(self, request: requests.Request) -> responses.Response:
        query = request.query_params
        after = int(query['after'])
        deadline = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            if (failure := await self._apply_outage()) is not None:
                return failure
            hung = (self.faults.hang_watch, self.faults.hang_reads)
            if query['prefix'] in hung:
                await anyio.sleep_forever()
            if after < self._discarded_revision:
                return responses.JSONResponse({}, status_code=410)
            events = [
                _dump_event(revision, key, item)
                for revision, key, item in self._history
                if revision > after and key.startswith(query['prefix'])
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                body = {'events': events, 'atRev': self._revision}
                return responses.JSONResponse(body)
            with anyio.move_on_after(remaining):
                await self._changed.wait()

    async def _commit(self, request: requests.Request) -> responses.Response:
        if (failure := await self._apply_outage()) is not None:
            return failure
        body = await request.json()
        if self.faults.lose_writes:
            self.faults.lose_writes -= 1
            self._group.start_soon(
                self._commit_later, body, self.faults.delay_writes
            )
            await anyio.sleep_forever()
        return self._commit_now(body)

    async def _commit_later(self, body: dict, seconds: float) -> None:
        await anyio.sleep(seconds)
        self._commit_now(body)

    def _commit_now(self, body: dict) -> responses.Response:
        conditions = body.get('precondition', [])
        for row in conditions:
            item = self._items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                current = [self._dump(row['key']) for row in conditions]
                return responses.JSONResponse(
                    {'items': current}, status_code=412
                )
        for put in body.get('puts', []):
            lease = put.get('lease', 0)
            if lease and lease not in self._leases:
                return responses.JSONResponse({}, status_code=404)
        revision = self._apply(body.get('puts', []), body.get('remove', []))
        return responses.JSONResponse({'revision': revision})

    async def _grant(self, request: requests.Request) -> responses.Response:
        if (failure := await self._apply_outage()) is not None:
            return failure
        seconds = (await request.json())['ttlMs'] / 1000
        id = next(self._lease_ids)
        self._leases[id] = _Lease(seconds, time.monotonic() + seconds)
        return responses.JSONResponse(
            {'lease': id, 'ttlMs': round(seconds * 1000)}
        )

    async def _renew(self, request: requests.Request) -> responses.Response:
        if (failure := await self._apply_outage()) is not None:
            return failure
        lease = self._leases.get(request.path_params['id'])
        if lease is None:
            return responses.JSONResponse({}, status_code=404)
        lease.deadline = time.monotonic() + lease.seconds
        return responses.JSONResponse({'ttlMs': round(lease.seconds * 1000)})

    async def _revoke(self, request: requests.Request) -> responses.Response:
        if (failure := await self._apply_outage()) is not None:
            return failure
        self._end_lease(request.path_params['id'])
        return responses.JSONResponse({})

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        body = await request.json()
        if body.pop('forget', False):
            self.discard_history()
        if body.pop('revoke', False):
            for id in list(self._leases):
                self._end_lease(id)
        self.faults = Faults(**body)
        self._notify_watches()
        return responses.JSONResponse({})

    async def _write_as_operator(
        self, request: requests.Request
    ) -> responses.Response:
        body = await request.json()
        key = body['key']
        if body['value'] is None:
            revision = self._apply([], [key])
            return responses.JSONResponse({'revision': revision})
        value = base64.b64encode(json.dumps(body['value']).encode()).decode()
        revision = self._apply([{'key': key, 'value': value}], [])
        return responses.JSONResponse({'revision': revision})

    async def _list_items(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse(
            {
                key: base64.b64decode(item.value).decode()
                for key, item in self._items.items()
            }
        )


def _dump_event(revision: int, key: str, item: _Item | None) -> dict:
    if item is None:
        return {'key': key, 'revision': revision, 'deleted': True}
    return {'key': key, **dataclasses.asdict(item)}


def main() -> None:
    """Run the stand-in until SIGTERM."""
    arguments = serving.parse_arguments('Platform store stand-in')
    logs.configure(arguments.name)
    store = PlatformStore()
    anyio.run(serving.serve, store.app, arguments.listen, store.run)


if __name__ == '__main__':
    main()
