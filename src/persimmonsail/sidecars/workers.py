"""The sidecar's client of the worker on its own instance."""

import dataclasses
import time
import typing as t

import httpx

from persimmonsail.decisions import usage
from persimmonsail import exceptions

_REFUSALS = {
    'incarnation': exceptions.StaleIncarnation,
    'epoch': exceptions.StaleEpoch,
    'attempt': exceptions.AttemptRefused,
}
Attempt = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class WorkerTask:
    """An attempt as reported by the worker.

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
    """A worker's capacity and all attempts on its record.

    ``boot`` identifies the worker's process: a new one has lost all
    that its predecessor ran. ``epochs`` are the highest by partition.
    """

    boot: str
    cores: float
    memory_gb: float
    accelerators: int
    tasks: tuple[WorkerTask, ...]
    epochs: dict[int, int]


@dataclasses.dataclass(frozen=True)
class Renewal:
    """The attempts that one call extends, bars and acknowledges.

    ``until`` is on this process's monotonic clock; ``lease_seconds`` is
    how long a start that was sent earlier may remain valid.
    """

    incarnation: str
    partition: int
    epoch: int
    tasks: tuple[Attempt, ...]
    until: float
    lease_seconds: float
    acknowledged: tuple[Attempt, ...] = ()


class Worker:
    """Use inside ``async with``; every call may raise.

    A lease ends at a time on the worker's own clock. Times of this
    process's clock are converted with the clock reading in the worker's
    last answer, as if the answer had taken no time: the result is early,
    never late. A delayed call can therefore not extend a lease.

    Raises
    ------
    persimmonsail.exceptions.WorkerUnavailable
        If the worker did not answer; a start may have taken effect.
    persimmonsail.exceptions.StaleIncarnation
        If a newer sidecar has taken this worker over.
    persimmonsail.exceptions.StaleEpoch
        If the worker has accepted a later epoch of the partition.
    persimmonsail.exceptions.AttemptRefused
        If the attempt is barred, not new, or its lease has expired.
    """

    def __init__(self, address: str, timeout: float) -> None:
        self.boot = ''
        self.incarnation = ''
        self._clock_offset = 0.0
        self._client = httpx.AsyncClient(
            base_url=f'http://{address}', timeout=timeout, trust_env=False
        )

    async def __aenter__(self) -> 'Worker':
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._client.aclose()

    async def take_over(
        self, incarnation: str, epochs: dict[int, int]
    ) -> WorkerView:
        """Make the worker accept commands from this incarnation only."""
        body = {
            'incarnation': incarnation,
            'epochs': {str(key): epoch for key, epoch in epochs.items()},
        }
        return _read_view(await self._call('takeover', body))

    async def start(self, body: dict[str, t.Any], until: float) -> None:
        """Start an attempt under a lease."""
        await self._call(
            'start', {**body, 'until': self._to_worker_clock(until)}
        )

    async def renew(self, renewal: Renewal) -> WorkerView:
        """Extend the leases of attempts, and return the worker's state.

        The worker bars attempts that it does not know: a delayed start
        would otherwise run after it was reported as not run.
        """
        body = dataclasses.asdict(renewal)
        body['until'] = self._to_worker_clock(renewal.until)
        return _read_view(await self._call('renew', body))

    async def stop(self, body: dict[str, t.Any]) -> WorkerTask | None:
        """Stop an attempt and return how it ended."""
        task = (await self._call('stop', body))['task']
        return WorkerTask(**task) if task else None

    async def throttle(
        self, incarnation: str, task: str, speed: float
    ) -> None:
        """Limit a task to a fraction, from 0 to 1, of its full speed."""
        body = {'incarnation': incarnation, 'task': task, 'speed': speed}
        await self._call('throttle', body)

    async def list_usage(
        self, incarnation: str, after: int
    ) -> list[usage.Window]:
        """Return the usage reports after the given sequence number."""
        body = {'incarnation': incarnation, 'after': after}
        response = await self._call('usage', body)
        return [
            usage.Window(
                report['sequence'],
                report['begin'] - self._clock_offset,
                report['end'] - self._clock_offset,
                tuple(usage.TaskUsage(**use) for use in report['tasks']),
            )
            for report in response['reports']
        ]

    def _to_worker_clock(self, local_time: float) -> float:
        return local_time + self._clock_offset

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
            refusal = answer.json()
            self._update_state(refusal)
            raise _REFUSALS[refusal['kind']](refusal['reason'])
        if answer.status_code != httpx.codes.OK:
            raise exceptions.WorkerUnavailable(f'{name}: {answer.text}')
        content = answer.json()
        self._update_state(content)
        return content

    def _update_state(self, answer: dict[str, t.Any]) -> None:
        self.boot = answer['boot']
        self.incarnation = answer['incarnation']
        self._clock_offset = answer['now'] - time.monotonic()


def _read_view(body: dict[str, t.Any]) -> WorkerView:
    return WorkerView(
        body['boot'],
        body['cores'],
        body['memory_gb'],
        body['accelerators'],
        tuple(WorkerTask(**task) for task in body['tasks']),
        {int(key): epoch for key, epoch in body['epochs'].items()},
    )
