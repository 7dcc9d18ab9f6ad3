"""The platform's store over HTTP with JSON bodies."""

import time
import typing as t

import httpx
import pydantic

from persimmonsail import exceptions
from persimmonsail import metrics
from persimmonsail import store

_WATCH_MARGIN = 1.0
# An idle connection is used again for so long: servers close theirs after
# 5 s and more, and a call that meets the close has no answer.
_LIMITS = httpx.Limits(keepalive_expiry=4.0)
_OUTCOMES = {
    httpx.codes.OK: 'ok',
    httpx.codes.CONFLICT: 'conflict',
    httpx.codes.GONE: 'lease-expired',
}
_Answer = httpx.Response
_M = t.TypeVar('_M', bound=pydantic.BaseModel)


class _Found(pydantic.BaseModel):
    item: store.Item | None


class _Listed(pydantic.BaseModel):
    revision: int
    items: tuple[store.Item, ...]

    def to_page(self) -> store.Page:
        return store.Page(self.revision, self.items)


class _Written(pydantic.BaseModel):
    revision: int


class _Granted(pydantic.BaseModel):
    lease: str


@store.register('http')
class HttpStore(store.Store):
    """Use with ``kind = http`` in the settings' ``[store]`` section."""

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
        answer = await self._call('get', {'key': key})
        return _read(_Found, answer, 'get').item

    async def scan(self, prefix: str) -> store.Page:
        """See ``Store.scan``."""
        answer = await self._call('scan', {'prefix': prefix})
        return _read(_Listed, answer, 'scan').to_page()

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
        return _read(_Written, await self._call('put', body), 'put').revision

    async def delete(self, key: str, expected: int | None = None) -> None:
        """See ``Store.delete``."""
        await self._call('delete', {'key': key, 'expected': expected})

    async def grant_lease(self, seconds: float) -> str:
        """See ``Store.grant_lease``."""
        answer = await self._call('lease/grant', {'seconds': seconds})
        return _read(_Granted, answer, 'lease/grant').lease

    async def renew_lease(self, lease: str) -> None:
        """See ``Store.renew_lease``."""
        await self._call('lease/renew', {'lease': lease})

    async def revoke_lease(self, lease: str) -> None:
        """See ``Store.revoke_lease``."""
        await self._call('lease/revoke', {'lease': lease})

    async def watch(self, prefix: str, after: int, wait: float) -> store.Page:
        """See ``Store.watch``."""
        body = {'prefix': prefix, 'after': after, 'wait': wait}
        timeout = wait + self._timeout + _WATCH_MARGIN
        answer = await self._call('watch', body, timeout)
        return _read(_Listed, answer, 'watch').to_page()

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def _call(
        self, name: str, body: dict[str, t.Any], timeout: float | None = None
    ) -> _Answer:
        begun = time.monotonic()
        try:
            answer = await self._client.post(
                f'/v1/{name}', json=body, timeout=timeout or self._timeout
            )
        except httpx.HTTPError as error:
            metrics.STORE_CALLS.increase(name, 'no-answer')
            raise exceptions.StoreUnavailable(
                f'{name}: {type(error).__name__}'
            ) from error
        _count_answer(name, answer.status_code, time.monotonic() - begun)
        if answer.status_code == httpx.codes.GONE:
            raise exceptions.LeaseExpired(str(body.get('lease')))
        if answer.status_code == httpx.codes.CONFLICT:
            actual = _read(_Written, answer, name).revision
            raise exceptions.Conflict(body['key'], actual)
        if answer.status_code != httpx.codes.OK:
            raise exceptions.StoreUnavailable(f'{name}: {answer.status_code}')
        return answer


def _count_answer(name: str, status: int, seconds: float) -> None:
    outcome = _OUTCOMES.get(status, 'error')
    metrics.STORE_CALLS.increase(name, outcome)
    # A watch waits on purpose; its time says nothing of the store.
    if name != 'watch':
        metrics.STORE_SECONDS.record(seconds, name)


def _read(model: type[_M], answer: httpx.Response, name: str) -> _M:
    # Something between the two ends may answer in the store's place,
    # with a page of its own; a write may have taken effect all the same.
    try:
        return model.model_validate_json(answer.content)
    except pydantic.ValidationError as error:
        raise exceptions.StoreUnavailable(
            f'{name}: not an answer of the store'
        ) from error
