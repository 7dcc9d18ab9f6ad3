"""Calls to the worker's agent on this instance."""

import http
import typing as t

import pydantic

from persimmonsail import exceptions
from persimmonsail import httpclient
from persimmonsail.jobs import worker

# An order is answered within milliseconds; one that takes longer was
# lost, and is found again by its repetition.
_ORDER_SECONDS = 0.6
_MILLISECONDS = 1000
# The agent refuses to wait longer.
_LONGEST_WAIT_SECONDS = 2.0
_BOOT_HEADER = 'Expected-Instance'
_UNHEALTHY = (
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
_M = t.TypeVar('_M', bound=pydantic.BaseModel)


class _Clocked(pydantic.BaseModel):
    # The agent's own steady clock.
    clock_ms: int = pydantic.Field(alias='clockMs')


class _Refused(pydantic.BaseModel):
    reason: str = 'unknown'


class _Held(_Clocked):
    # Rows of task, run, checkpoint, percent and a gauge whose meaning
    # depends on the task; older agents leave the gauge out.
    running: tuple[tuple[t.Any, ...], ...] = ()
    # Rows of number, task, run, how it ended, and checkpoint.
    finished: tuple[tuple[int, str, int, str, str], ...] = ()

    def to_snapshot(self) -> worker.Snapshot:
        return worker.Snapshot(
            self.clock_ms,
            tuple(_read_running(row) for row in self.running),
            tuple(worker.EndedRow(*row) for row in self.finished),
        )


def _read_running(row: tuple[t.Any, ...]) -> worker.RunningRow:
    """Read a row.

    Raises
    ------
    ValueError, TypeError
        If its entries are not what they should be.
    """
    task, run, checkpoint, percent, *more = row
    gauge = more[0] if more else 0
    return worker.RunningRow(
        str(task), int(run), checkpoint or '', float(percent), float(gauge)
    )


class Runner(worker.Worker):
    """The worker's agent over HTTP."""

    def __init__(self, address: str) -> None:
        self._client = httpclient.Client(address, _ORDER_SECONDS)

    async def start(
        self, boot: str, epoch: int, order: worker.StartOrder
    ) -> int:
        """See ``Worker.start``."""
        body = {
            'task': order.task,
            'run': order.run,
            'spec': order.payload,
            'untilMs': order.until_ms,
            'fencingToken': epoch,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        answer = await self._call('run-start', boot, body)
        return _read(_Clocked, answer).clock_ms

    async def stop(self, boot: str, epoch: int, task: str, run: int) -> None:
        """See ``Worker.stop``."""
        body = {'task': task, 'run': run, 'fencingToken': epoch}
        await self._call('run-stop', boot, body)

    async def set_speed_limit(
        self, boot: str, epoch: int, task: str, run: int, percent: int
    ) -> None:
        """See ``Worker.set_pace``."""
        body = {
            'task': task,
            'run': run,
            'percent': percent,
            'fencingToken': epoch,
        }
        await self._call('pace', boot, body)

    async def poll(
        self,
        boot: str,
        epoch: int,
        acknowledged: int,
        until_ms: int | None = None,
        wait_seconds: float = 0.0,
    ) -> worker.Snapshot:
        """See ``Worker.look``."""
        body = {'fencingToken': epoch, 'acked': acknowledged}
        if until_ms is not None:
            body['untilMs'] = until_ms
        wait = min(wait_seconds, _LONGEST_WAIT_SECONDS)
        if wait:
            body['waitMs'] = round(wait * _MILLISECONDS)
        answer = await self._call('hold', boot, body, _ORDER_SECONDS + wait)
        try:
            return _read(_Held, answer).to_snapshot()
        except (ValueError, TypeError) as error:
            # A look with a row left out would tell that its run is gone.
            raise exceptions.WorkerUnavailable(
                f'a row of the look is unreadable: {error}'
            ) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _call(
        self,
        name: str,
        boot: str,
        body: dict[str, t.Any],
        timeout: float = _ORDER_SECONDS,
    ) -> httpclient.Response:
        try:
            answer = await self._client.call(
                'POST', f'/v1/{name}', body, {_BOOT_HEADER: boot}, timeout
            )
        except exceptions.ServiceNotReached as error:
            raise exceptions.WorkerNotReached(f'{name}: {error}') from error
        except exceptions.ServiceUnanswered as error:
            raise exceptions.WorkerUnavailable(f'{name}: {error}') from error
        status = answer.status
        if status == http.HTTPStatus.OK:
            return answer
        if status == http.HTTPStatus.MISDIRECTED_REQUEST:
            raise exceptions.WorkerBootChanged(boot)
        if status == http.HTTPStatus.CONFLICT:
            raise exceptions.OrderRefused(_read(_Refused, answer).reason)
        if status in _UNHEALTHY:
            raise exceptions.OrderRefused('unhealthy')
        if status == http.HTTPStatus.BAD_REQUEST:
            raise exceptions.OrderRefused('malformed')
        raise exceptions.WorkerUnavailable(f'{name}: status {status}')


def _read(model: type[_M], answer: httpclient.Response) -> _M:
    try:
        return model.model_validate_json(answer.content)
    except pydantic.ValidationError as error:
        raise exceptions.WorkerUnavailable(
            f'{answer.status}: not an answer of the agent'
        ) from error
