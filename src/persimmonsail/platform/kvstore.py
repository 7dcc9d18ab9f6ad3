"""The platform's key-value store over its HTTP interface."""

import base64
import binascii
import http
import time
import typing as t
import urllib.parse

import pydantic

from persimmonsail import exceptions
from persimmonsail import httpclient
from persimmonsail import logs
from persimmonsail import metrics
from persimmonsail import store

# Added to a watch's wait for the latency of network and store; the slowest
# supported store takes 0.3 s per answer.
_WATCH_MARGIN_SECONDS = 1.0
# The store refuses longer watches.
_MAX_WATCH_SECONDS = 30.0
_MILLISECONDS = 1000
# The store counts as lost when calls fail and the last answer is older
# than this. Each entry calls it at least twice a second, and single answers
# may be lost while others arrive.
_LOST_AFTER_SECONDS = 0.9
_REFUSAL_STATUSES = (
    http.HTTPStatus.SERVICE_UNAVAILABLE,
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.FORBIDDEN,
)
_ModelT = t.TypeVar('_ModelT', bound=pydantic.BaseModel)


class _Item(pydantic.BaseModel):
    key: str
    # Absent in a conflict's answer if the key does not exist.
    value: str = ''
    revision: int = 0


class _Event(pydantic.BaseModel):
    key: str
    revision: int
    # Absent when the key was deleted.
    value: str | None = None
    deleted: bool = False


class _Page(pydantic.BaseModel):
    items: tuple[_Item, ...]
    more: bool = pydantic.Field(alias='hasMore')
    revision: int = pydantic.Field(alias='atRev')


class _Events(pydantic.BaseModel):
    events: tuple[_Event, ...]
    revision: int = pydantic.Field(alias='atRev')


class _CommitReply(pydantic.BaseModel):
    revision: int


class _ConflictReply(pydantic.BaseModel):
    items: tuple[_Item, ...] = ()


class _LeaseReply(pydantic.BaseModel):
    lease: int


@store.register('platform')
class PlatformStore(store.TransactionalStore):
    """Selected by ``kind = platform`` in the ``[store]`` settings."""

    def __init__(self, address: str, timeout: float) -> None:
        self._timeout = timeout
        self._answered_at = time.monotonic()
        self._failing = False
        self._client = httpclient.Client(address, timeout)

    @property
    def is_lost(self) -> bool:
        """See ``TransactionalStore.is_lost``."""
        return self._failing and self.silent_seconds > _LOST_AFTER_SECONDS

    @property
    def silent_seconds(self) -> float:
        """See ``TransactionalStore.silent_seconds``."""
        return time.monotonic() - self._answered_at

    async def get(self, key: str) -> store.Item | None:
        """See ``Store.get``."""
        answer = await self._call('GET', 'kv-key', query={'key': key})
        if answer.status == http.HTTPStatus.NOT_FOUND:
            return None
        return _to_item(_parse(_Item, answer))

    async def scan(self, prefix: str) -> store.Page:
        """See ``Store.scan``; changes during the scan may be missing."""
        items: list[store.Item] = []
        revision = 0
        query = {'prefix': prefix}
        while True:
            answer = await self._call('GET', 'kv-range', query=query)
            page = _parse(_Page, answer)
            # Pages are not a snapshot: changes after the first one are
            # only certain to be observed by a watch from its revision on.
            revision = revision or page.revision
            items.extend(_to_item(item) for item in page.items)
            if not page.more or not page.items:
                return store.Page(revision, tuple(items))
            query = {'prefix': prefix, 'after': page.items[-1].key}

    async def put(
        self,
        key: str,
        value: str,
        expected: int | None = None,
        lease: str | None = None,
    ) -> int:
        """See ``Store.put``."""
        conditions = {} if expected is None else {key: expected}
        try:
            return await self.commit(
                conditions, [store.Write(key, value, lease)]
            )
        except exceptions.TransactionConflict as error:
            raise _to_conflict(key, error) from error

    async def delete(self, key: str, expected: int | None = None) -> None:
        """See ``Store.delete``."""
        conditions = {} if expected is None else {key: expected}
        try:
            await self.commit(conditions, (), [key])
        except exceptions.TransactionConflict as error:
            raise _to_conflict(key, error) from error

    async def commit(
        self,
        conditions: t.Mapping[str, int],
        writes: t.Sequence[store.Write],
        removals: t.Sequence[str] = (),
    ) -> int:
        """See ``TransactionalStore.commit``."""
        body = {
            'precondition': [
                {'key': key, 'revision': revision}
                for key, revision in conditions.items()
            ],
            'puts': [_encode_write(write) for write in writes],
            'remove': list(removals),
        }
        answer = await self._call('POST', 'kv-txn', body=body)
        if answer.status == http.HTTPStatus.PRECONDITION_FAILED:
            found = _parse(_ConflictReply, answer).items
            raise exceptions.TransactionConflict(
                {item.key: _to_item(item) for item in found if item.revision}
            )
        if answer.status == http.HTTPStatus.NOT_FOUND:
            raise exceptions.LeaseExpired('a lease of the transaction')
        return _parse(_CommitReply, answer).revision

    async def grant_lease(self, seconds: float) -> str:
        """See ``Store.grant_lease``."""
        body = {'ttlMs': round(seconds * _MILLISECONDS)}
        answer = await self._call('POST', 'kv-lease', body=body)
        return str(_parse(_LeaseReply, answer).lease)

    async def renew_lease(self, lease: str) -> None:
        """See ``Store.renew_lease``."""
        answer = await self._call('POST', 'kv-keep', lease, body={})
        if answer.status == http.HTTPStatus.NOT_FOUND:
            raise exceptions.LeaseExpired(lease)

    async def revoke_lease(self, lease: str) -> None:
        """See ``Store.revoke_lease``."""
        await self._call('DELETE', 'kv-lease-end', lease)

    async def watch_changes(
        self, prefix: str, after: int, wait: float
    ) -> store.Changes:
        """See ``TransactionalStore.watch_changes``."""
        seconds = min(wait, _MAX_WATCH_SECONDS)
        query = {
            'prefix': prefix,
            'after': after,
            'waitMs': round(seconds * _MILLISECONDS),
        }
        timeout = seconds + self._timeout + _WATCH_MARGIN_SECONDS
        answer = await self._call(
            'GET', 'kv-watch', query=query, timeout=timeout
        )
        if answer.status == http.HTTPStatus.GONE:
            raise exceptions.HistoryLost(prefix)
        events = _parse(_Events, answer)
        return store.Changes(
            events.revision,
            tuple(_to_change(event) for event in events.events),
        )

    async def watch(self, prefix: str, after: int, wait: float) -> store.Page:
        """See ``Store.watch``."""
        found = await self.watch_changes(prefix, after, wait)
        return store.Page(
            found.revision,
            tuple(
                store.Item(change.key, change.value, change.revision)
                for change in found.changes
                if change.value is not None
            ),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _call(
        self,
        method: str,
        name: str,
        detail: str = '',
        *,
        query: dict[str, t.Any] | None = None,
        body: dict[str, t.Any] | None = None,
        timeout: float | None = None,
    ) -> httpclient.Response:
        target = f'/v1/{name}/{detail}' if detail else f'/v1/{name}'
        if query:
            target = f'{target}?{urllib.parse.urlencode(query)}'
        started_at = time.monotonic()
        try:
            answer = await self._client.call(
                method, target, body, timeout=timeout
            )
        except exceptions.ServiceNotReached as error:
            self._failing = True
            metrics.STORE_CALLS.increment(name, 'not-sent')
            raise exceptions.CallRefused(f'{name}: {error}') from error
        except exceptions.ServiceUnanswered as error:
            self._failing = True
            metrics.STORE_CALLS.increment(name, 'no-answer')
            raise exceptions.StoreUnavailable(f'{name}: {error}') from error
        metrics.STORE_CALLS.increment(name, str(answer.status))
        # A watch waits by design; its duration is not the store's latency.
        if name != 'kv-watch':
            metrics.STORE_SECONDS.record(time.monotonic() - started_at, name)
        if answer.status in _REFUSAL_STATUSES:
            self._failing = True
            raise exceptions.CallRefused(f'{name}: {answer.status}')
        if answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            self._failing = True
            raise exceptions.StoreUnavailable(f'{name}: {answer.status}')
        self._failing = False
        self._answered_at = time.monotonic()
        return answer


def _encode_write(write: store.Write) -> dict[str, t.Any]:
    row: dict[str, t.Any] = {
        'key': write.key,
        'value': base64.b64encode(write.value.encode()).decode('ascii'),
    }
    if write.lease is not None:
        row['lease'] = int(write.lease)
    return row


def _decode_value(text: str, key: str) -> str:
    """Return a value's text; empty for bytes that are not a valid text.

    Other writers may store such bytes. One such value would otherwise fail
    every scan of its prefix: no leader could load its jobs, and no task
    would start. No key has a valid empty value, so readers skip it.
    """
    try:
        return base64.b64decode(text, validate=True).decode('utf-8')
    except (binascii.Error, UnicodeDecodeError) as error:
        logs.write_warning('value-unreadable', key=key, error=error)
        return ''


def _to_item(item: _Item) -> store.Item:
    value = _decode_value(item.value, item.key)
    return store.Item(item.key, value, item.revision)


def _to_change(event: _Event) -> store.Change:
    value = None
    if not event.deleted and event.value is not None:
        value = _decode_value(event.value, event.key)
    return store.Change(event.key, value, event.revision)


def _to_conflict(
    key: str, error: exceptions.TransactionConflict
) -> exceptions.Conflict:
    item = error.found.get(key)
    return exceptions.Conflict(key, item.revision if item else 0)


def _parse(model: type[_ModelT], answer: httpclient.Response) -> _ModelT:
    # An intermediary may answer in the store's place, with a page of its
    # own; a write may have taken effect nevertheless.
    try:
        return model.model_validate_json(answer.content)
    except pydantic.ValidationError as error:
        raise exceptions.StoreUnavailable(
            f'{answer.status}: not an answer of the store'
        ) from error
