"""The sidecar's client of the worker on its own instance."""

import dataclasses
import typing as t

import httpx

from persimmonsail import exceptions


@dataclasses.dataclass(frozen=True)
class WorkerTask:
    """An attempt as the worker has it.

    ``phase`` is one of active, succeeded, failed, evicted, stopped.
    """

    task: str
    attempt: int
    partition: int
    phase: str
    cores: float
    memory_gb: float
    accelerators: int
    workload: str
    answer: str = ''
    checkpoint: str = ''


@dataclasses.dataclass(frozen=True)
class WorkerView:
    """A worker's capacity and all attempts it knows."""

    boot: str
    cores: float
    memory_gb: float
    accelerators: int
    tasks: tuple[WorkerTask, ...]


class Worker:
    """Use inside ``async with``; every call may raise.

    Raises
    ------
    persimmonsail.exceptions.WorkerUnavailable
        If the worker gave no answer; a start may have taken effect.
    persimmonsail.exceptions.StaleIncarnation
        If a newer sidecar has taken this worker over.
    """

    def __init__(self, address: str, timeout: float) -> None:
        self._client = httpx.AsyncClient(
            base_url=f'http://{address}', timeout=timeout, trust_env=False
        )

    async def __aenter__(self) -> 'Worker':
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._client.aclose()

    async def take_over(self, incarnation: str) -> WorkerView:
        """Make this incarnation the only one the worker obeys."""
        return _read_view(
            await self._call('takeover', {'incarnation': incarnation})
        )

    async def start(self, body: dict[str, t.Any]) -> None:
        """Start an attempt under a lease."""
        await self._call('start', body)

    async def renew(
        self,
        incarnation: str,
        tasks: list[tuple[str, int]],
        lease_seconds: float,
    ) -> WorkerView:
        """Extend the leases of attempts, and return all the worker has."""
        body = {
            'incarnation': incarnation,
            'tasks': tasks,
            'lease_seconds': lease_seconds,
        }
        return _read_view(await self._call('renew', body))

    async def stop(
        self, incarnation: str, task: str, attempt: int, checkpoint: bool
    ) -> WorkerTask | None:
        """Stop an attempt and return how it ended."""
        body = {
            'incarnation': incarnation,
            'task': task,
            'attempt': attempt,
            'checkpoint': checkpoint,
        }
        found = (await self._call('stop', body))['task']
        return WorkerTask(**found) if found else None

    async def _call(
        self, name: str, body: dict[str, t.Any]
    ) -> dict[str, t.Any]:
        try:
            answer = await self._client.post(f'/v1/{name}', json=body)
        except httpx.HTTPError as error:
            raise exceptions.WorkerUnavailable(
                f'{name}: {type(error).__name__}'
            ) from error
        if answer.status_code == httpx.codes.CONFLICT:
            raise exceptions.StaleIncarnation(answer.json()['reason'])
        if answer.status_code != httpx.codes.OK:
            raise exceptions.WorkerUnavailable(f'{name}: {answer.text}')
        return answer.json()


def _read_view(body: dict[str, t.Any]) -> WorkerView:
    tasks = tuple(WorkerTask(**task) for task in body['tasks'])
    return WorkerView(
        body['boot'],
        body['cores'],
        body['memory_gb'],
        body['accelerators'],
        tasks,
    )
