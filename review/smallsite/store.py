"""Stand-in for the platform's metadata store; loses nothing."""

import asyncio
import base64
import dataclasses
import itertools
import json
import time
import typing as t
import urllib.parse

from smallsite import wire

_PAGE_ITEMS = 500
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
    """Keys with revisions, transactions, watches and leases."""

    def __init__(self) -> None:
        self._items: dict[str, _Item] = {}
        self._history: list[dict[str, t.Any]] = []
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1)
        self._revision = 1
        self._changed = asyncio.Event()
        self.server = wire.Server(self._handle)

    def write(self, key: str, value: t.Any) -> None:
        """Write a key as the operator."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([{'key': key, 'value': text}], [])

    async def run(self) -> None:
        """End leases when they are due, until cancelled."""
        while True:
            await asyncio.sleep(_EXPIRY_SECONDS)
            now = time.monotonic()
            for id, lease in list(self._leases.items()):
                if lease.ends_at < now:
                    self._end_lease(id)

    async def _handle(self, request: wire.Request) -> wire.Answer:
        path, _, text = request.path.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        _, _, name, *rest = path.split('/')
        if name == 'kv-key':
            return self._get(query['key'])
        if name == 'kv-range':
            return self._scan(query['prefix'], query.get('after', ''))
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-txn':
            return self._commit(request.body)
        if name == 'kv-lease':
            return self._grant(request.body['ttlMs'] / 1000)
        if name == 'kv-keep':
            return self._renew(int(rest[0]))
        self._end_lease(int(rest[0]))
        return wire.Answer(200)

    def _describe(self, key: str) -> dict[str, t.Any]:
        item = self._items.get(key)
        if item is None:
            return {'key': key, 'revision': 0}
        return {'key': key, **dataclasses.asdict(item)}

    def _get(self, key: str) -> wire.Answer:
        status = 200 if key in self._items else 404
        return wire.Answer(
            status, {**self._describe(key), 'atRev': self._revision}
        )

    def _scan(self, prefix: str, after: str) -> wire.Answer:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        page = [self._describe(key) for key in keys[:_PAGE_ITEMS]]
        return wire.Answer(
            200,
            {
                'items': page,
                'hasMore': len(keys) > _PAGE_ITEMS,
                'atRev': self._revision,
            },
        )

    async def _watch(self, query: t.Mapping[str, str]) -> wire.Answer:
        after = int(query['after'])
        ends_at = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            remaining = ends_at - time.monotonic()
            if events or remaining <= 0:
                return wire.Answer(
                    200, {'events': events, 'atRev': self._revision}
                )
            changed = self._changed
            try:
                async with asyncio.timeout(remaining):
                    await changed.wait()
            except TimeoutError:
                continue

    def _commit(self, body: t.Mapping[str, t.Any]) -> wire.Answer:
        conditions = body.get('precondition', [])
        for row in conditions:
            item = self._items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                found = [self._describe(one['key']) for one in conditions]
                return wire.Answer(412, {'items': found})
        puts = body.get('puts', [])
        for put in puts:
            if put.get('lease') and put['lease'] not in self._leases:
                return wire.Answer(404)
        revision = self._apply(puts, body.get('remove', []))
        return wire.Answer(200, {'revision': revision})

    def _apply(
        self, puts: t.Sequence[t.Any], removals: t.Sequence[str]
    ) -> int:
        self._revision += 1
        for put in puts:
            key = put['key']
            before = self._items.get(key)
            created = before.created if before else self._revision
            self._items[key] = _Item(
                put['value'], self._revision, created, put.get('lease') or 0
            )
            self._history.append(self._describe(key))
        for key in removals:
            if self._items.pop(key, None) is not None:
                event = {'key': key, 'revision': self._revision}
                self._history.append({**event, 'deleted': True})
        self._changed.set()
        self._changed = asyncio.Event()
        return self._revision

    def _grant(self, seconds: float) -> wire.Answer:
        id = next(self._lease_ids)
        self._leases[id] = _Lease(seconds, time.monotonic() + seconds)
        return wire.Answer(200, {'lease': id, 'ttlMs': round(seconds * 1000)})

    def _renew(self, id: int) -> wire.Answer:
        lease = self._leases.get(id)
        if lease is None:
            return wire.Answer(404)
        lease.ends_at = time.monotonic() + lease.seconds
        return wire.Answer(200, {'ttlMs': round(lease.seconds * 1000)})

    def _end_lease(self, id: int) -> None:
        self._leases.pop(id, None)
        keys = [key for key, item in self._items.items() if item.lease == id]
        if keys:
            self._apply([], keys)
