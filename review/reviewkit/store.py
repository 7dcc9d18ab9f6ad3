"""A stand-in for the platform's store, as its page describes it."""

import asyncio
import base64
import dataclasses
import itertools
import json
import time
import typing as t

from reviewkit import web

_MAX_PAGE_ITEMS = 500
_MAX_PAGE_BYTES = 1_000_000
_MAX_ENTRIES = 32
_VALUE_BYTES = 1024 * 1024
_ANSWER_SECONDS = 0.004
_EXPIRY_SECONDS = 0.05


@dataclasses.dataclass
class _Item:
    value: str
    revision: int
    created: int
    lease: int


@dataclasses.dataclass
class _Lease:
    seconds: float
    ends_at: float


class Store:
    """All keys in memory, with their history.

    Attributes
    ----------
    down : str
        ``silent``: no call is executed or answered; empty: all are.
    """

    def __init__(self) -> None:
        self.down = ''
        self._items: dict[str, _Item] = {}
        self._history: list[tuple[int, str, _Item | None]] = []
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1)
        self._revision = 1
        self._changed = asyncio.Event()
        self._server = web.Server(self._handle)
        self.address = ''

    async def start(self, host: str) -> None:
        """Listen at a free port."""
        self.address = await self._server.start(host)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def run(self) -> None:
        """End leases; they pause while the store is down."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(_EXPIRY_SECONDS)
            now = time.monotonic()
            if self.down:
                for lease in self._leases.values():
                    lease.ends_at += now - last
            last = now
            for id, lease in list(self._leases.items()):
                if lease.ends_at < now:
                    self._end_lease(id)

    def write_as_operator(self, key: str, value: t.Any) -> None:
        """Write a key as the operator does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([{'key': key, 'value': text}], [])

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that begin with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    async def _handle(self, request: web.Request) -> web.Reply | None:
        if self.down:
            return None
        await asyncio.sleep(_ANSWER_SECONDS)
        if self.down:
            return None
        name = request.path.removeprefix('/v1/')
        if name == 'kv-key':
            return self._get(request)
        if name == 'kv-range':
            return self._list_range(request)
        if name == 'kv-watch':
            return await self._watch(request)
        if name == 'kv-txn':
            return self._commit(request.body)
        if name == 'kv-lease':
            return self._grant(request.body)
        kind, _, id = name.partition('/')
        if kind == 'kv-keep':
            return self._keep(int(id))
        if kind == 'kv-lease-end':
            self._end_lease(int(id))
            return web.Reply(200)
        return web.Reply(404)

    def _dump(self, key: str) -> dict[str, t.Any]:
        item = self._items.get(key)
        if item is None:
            return {'key': key, 'revision': 0}
        return {'key': key, **dataclasses.asdict(item)}

    def _get(self, request: web.Request) -> web.Reply:
        key = request.query['key']
        status = 200 if key in self._items else 404
        return web.Reply(status, {**self._dump(key), 'atRev': self._revision})

    def _list_range(self, request: web.Request) -> web.Reply:
        prefix = request.query.get('prefix', '')
        after = request.query.get('after', '')
        keys = [key for key in self.list_keys(prefix) if key > after]
        items: list[dict[str, t.Any]] = []
        size = 0
        for key in keys[:_MAX_PAGE_ITEMS]:
            items.append(self._dump(key))
            size += len(items[-1]['value'])
            if size > _MAX_PAGE_BYTES:
                break
        body = {
            'items': items,
            'hasMore': len(items) < len(keys),
            'atRev': self._revision,
        }
        return web.Reply(200, body)

    async def _watch(self, request: web.Request) -> web.Reply | None:
        prefix = request.query.get('prefix', '')
        after = int(request.query['after'])
        ends_at = time.monotonic() + int(request.query['waitMs']) / 1000
        while True:
            if self.down:
                return None
            events = [
                _dump_event(revision, key, item)
                for revision, key, item in self._history
                if revision > after and key.startswith(prefix)
            ]
            remaining = ends_at - time.monotonic()
            if events or remaining <= 0:
                body = {'events': events, 'atRev': self._revision}
                return web.Reply(200, body)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                continue

    def _commit(self, body: dict[str, t.Any]) -> web.Reply:
        conditions = body.get('precondition', [])
        puts = body.get('puts', [])
        removals = body.get('remove', [])
        if len(conditions) + len(puts) + len(removals) > 3 * _MAX_ENTRIES:
            return web.Reply(400)
        if max(len(conditions), len(puts), len(removals)) > _MAX_ENTRIES:
            return web.Reply(400)
        for row in conditions:
            item = self._items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                current = [self._dump(row['key']) for row in conditions]
                return web.Reply(412, {'items': current})
        for put in puts:
            if put.get('lease', 0) and put['lease'] not in self._leases:
                return web.Reply(404)
            if len(base64.b64decode(put['value'])) > _VALUE_BYTES:
                return web.Reply(400)
        return web.Reply(200, {'revision': self._apply(puts, removals)})

    def _grant(self, body: dict[str, t.Any]) -> web.Reply:
        seconds = body['ttlMs'] / 1000
        id = next(self._lease_ids)
        self._leases[id] = _Lease(seconds, time.monotonic() + seconds)
        return web.Reply(200, {'lease': id, 'ttlMs': body['ttlMs']})

    def _keep(self, id: int) -> web.Reply:
        lease = self._leases.get(id)
        if lease is None:
            return web.Reply(404)
        lease.ends_at = time.monotonic() + lease.seconds
        return web.Reply(200, {'ttlMs': round(lease.seconds * 1000)})

    def _end_lease(self, id: int) -> None:
        self._leases.pop(id, None)
        keys = [key for key, item in self._items.items() if item.lease == id]
        if keys:
            self._apply([], keys)

    def _apply(
        self, puts: t.Sequence[dict[str, t.Any]], removals: t.Sequence[str]
    ) -> int:
        self._revision += 1
        for put in puts:
            key = put['key']
            before = self._items.get(key)
            created = before.created if before else self._revision
            lease = put.get('lease', 0)
            item = _Item(put['value'], self._revision, created, lease)
            self._items[key] = item
            self._history.append((self._revision, key, item))
        for key in removals:
            if self._items.pop(key, None) is not None:
                self._history.append((self._revision, key, None))
        self._changed.set()
        self._changed = asyncio.Event()
        return self._revision


def _dump_event(
    revision: int, key: str, item: _Item | None
) -> dict[str, t.Any]:
    if item is None:
        return {'key': key, 'revision': revision, 'deleted': True}
    return {'key': key, **dataclasses.asdict(item)}
