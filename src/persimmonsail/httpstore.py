"""Client of the platform's store over HTTP with JSON bodies."""

import time
import typing as t

import httpx
import pydantic

from persimmonsail import exceptions
from persimmonsail import metrics
from persimmonsail import store

_WATCH_MARGIN_SECONDS = 1.0
# Idle connections are not reused after 4 s: servers close them after 5 s or
# more, and a call sent on a connection that is being closed gets no response.
_LIMITS = httpx.Limits(keepalive_expiry=4.0)
_OUTCOMES = {
    httpx.codes.OK: 'ok',
    httpx.codes.CONFLICT: 'conflict',
    httpx.codes.GONE: 'lease-expired',
}
_Response = httpx.Response
_Model = t.TypeVar('_Model', bound=pydantic.BaseModel)


class _GetResponse(pydantic.BaseModel):
    item: store.Item | None


class _PageResponse(pydantic.BaseModel):
    revision: int
    items: tuple[store.Item, ...]

    def to_page(self) -> store.Page:
        return store.Page(self.revision, self.items)


class _WriteResponse(pydantic.BaseModel):
    revision: int


class _LeaseResponse(pydantic.BaseModel):
    lease: str


@store.register('http')
class HttpStore(store.Store):
    """Selected by ``kind = http`` in the ``[store]`` settings."""

    def __init__(self, address: str, timeout: float) -> None:
        self._timeout = timeout
        self._client = httpx.AsyncClient(
            base_url=f'http://{address}',
            timeout=timeout,
            trust_env=False,
            limits=_LIMITS,
        )

    async def get(self, key: str) -> store.Item | None:
        """See ``Store.get``."""
        response = await self._call('get', {'key': key})
        return _parse_response(_GetResponse, response, 'get').item

    async def scan(self, prefix: str) -> store.Page:
        """See ``Store.scan``."""
        response = await self._call('scan', {'prefix': prefix})
        return _parse_response(_PageResponse, response, 'scan').to_page()

    async def put(
        self,
        key: str,
        value: str,
        expected: int | None = None,
        lease: str | None = None,
    ) -> int:
        """See ``Store.put``."""
        body = {
            'key': key,
            'value': value,
            'expected': expected,
            'lease': lease,
        }
        return _parse_response(
            _WriteResponse, await self._call('put', body), 'put'
        ).revision

    async def delete(self, key: str, expected: int | None = None) -> None:
        """See ``Store.delete``."""
        await self._call('delete', {'key': key, 'expected': expected})

    async def grant_lease(self, seconds: float) -> str:
        """See ``Store.grant_lease``."""
        response = await self._call('lease/grant', {'seconds': seconds})
        return _parse_response(_LeaseResponse, response, 'lease/grant').lease

    async def renew_lease(self, lease: str) -> None:
        """See ``Store.renew_lease``."""
        await self._call('lease/renew', {'lease': lease})

    async def revoke_lease(self, lease: str) -> None:
        """See ``Store.revoke_lease``."""
        await self._call('lease/revoke', {'lease': lease})

    async def watch(self, prefix: str, after: int, wait: float) -> store.Page:
        """See ``Store.watch``."""
        body = {'prefix': prefix, 'after': after, 'wait': wait}
        timeout = wait + self._timeout + _WATCH_MARGIN_SECONDS
        response = await self._call('watch', body, timeout)
        return _parse_response(_PageResponse, response, 'watch').to_page()

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def _call(
        self, name: str, body: dict[str, t.Any], timeout: float | None = None
    ) -> _Response:
        started_at = time.monotonic()
        try:
            response = await self._client.post(
                f'/v1/{name}', json=body, timeout=timeout or self._timeout
            )
        except httpx.HTTPError as error:
            metrics.STORE_CALLS.increment(name, 'no-answer')
            raise exceptions.StoreUnavailable(
                f'{name}: {type(error).__name__}'
            ) from error
        _record_call(name, response.status_code, time.monotonic() - started_at)
        if response.status_code == httpx.codes.GONE:
            raise exceptions.LeaseExpired(str(body.get('lease')))
        if response.status_code == httpx.codes.CONFLICT:
            actual = _parse_response(_WriteResponse, response, name).revision
            raise exceptions.Conflict(body['key'], actual)
        if response.status_code != httpx.codes.OK:
            raise exceptions.StoreUnavailable(
                f'{name}: {response.status_code}'
            )
        return response


def _record_call(name: str, status: int, seconds: float) -> None:
    outcome = _OUTCOMES.get(status, 'error')
    metrics.STORE_CALLS.increment(name, outcome)
    # A watch blocks by design, so its time is no latency of the store.
    if name != 'watch':
        metrics.STORE_SECONDS.record(seconds, name)


def _parse_response(
    model: type[_Model], response: httpx.Response, name: str
) -> _Model:
    # An intermediary may answer in place of the store, with a page of its
    # own; a write may still have taken effect.
    try:
        return model.model_validate_json(response.content)
    except pydantic.ValidationError as error:
        raise exceptions.StoreUnavailable(
            f'{name}: not an answer of the store'
        ) from error
