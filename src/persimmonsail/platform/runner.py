"""Client of the worker's agent on this instance."""

import http
import typing as t

import pydantic

from persimmonsail import exceptions
from persimmonsail import httpclient
from persimmonsail.jobs import boots
from persimmonsail.jobs import worker

# An order is answered within milliseconds; one that takes longer was
# lost, and a repetition recovers its outcome.
_ORDER_TIMEOUT_SECONDS = 0.6
_MILLISECONDS = 1000
# The agent refuses longer waits.
_MAX_WAIT_SECONDS = 2.0
# The agent lists this many ends at a time.
_MAX_ENDS_LISTED = 500
_BOOT_HEADER = 'Expected-Instance'
_UNHEALTHY_STATUSES = (
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
_ModelT = t.TypeVar('_ModelT', bound=pydantic.BaseModel)


class _ClockReply(pydantic.BaseModel):
    # The agent's own monotonic clock.
    clock_ms: int = pydantic.Field(alias='clockMs')


class _RefusalReply(pydantic.BaseModel):
    reason: str = 'unknown'


class _HoldReply(_ClockReply):
    # When the agent started; older agents omit it.
    born_ms: int = pydantic.Field(default=0, alias='born')
    # Rows of task, run, checkpoint, percent and a gauge whose meaning
    # depends on the task; older agents omit the gauge.
    running: tuple[tuple[t.Any, ...], ...] = ()
    # Rows of number, task, run, kind of end, and checkpoint.
    finished: tuple[tuple[int, str, int, str, str], ...] = ()

    def to_snapshot(self) -> worker.Snapshot:
        return worker.Snapshot(
            self.clock_ms,
            tuple(_parse_running(row) for row in self.running),
            tuple(worker.EndedRow(*row) for row in self.finished),
            truncated=len(self.finished) >= _MAX_ENDS_LISTED,
        )


def _parse_running(row: tuple[t.Any, ...]) -> worker.RunningRow:
    """Parse a row of ``running``.

    Raises
    ------
    ValueError, TypeError
        If an entry is missing or of a wrong type.
    """
    task, run, checkpoint, percent, *optional = row
    gauge = optional[0] if optional else 0
    return worker.RunningRow(
        str(task), int(run), checkpoint or '', float(percent), float(gauge)
    )


class Runner(worker.Worker):
    """Calls the worker's agent over HTTP.

    An agent that has started again under its id accepts calls for the start
    before. Calls are therefore sent only on connections on which the
    intended start has answered before: a connection ends with its process.
    """

    def __init__(self, address: str) -> None:
        self._client = httpclient.Client(address, _ORDER_TIMEOUT_SECONDS)

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
        return _parse(_ClockReply, answer).clock_ms

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
        wait = min(wait_seconds, _MAX_WAIT_SECONDS)
        if wait:
            body['waitMs'] = round(wait * _MILLISECONDS)
        answer = await self._call(
            'hold', boot, body, _ORDER_TIMEOUT_SECONDS + wait
        )
        reply = _parse(_HoldReply, answer)
        _check_born(reply, boot)
        try:
            return reply.to_snapshot()
        except (ValueError, TypeError) as error:
            # A snapshot without the row would report its run as gone.
            raise exceptions.WorkerUnavailable(
                f'hold: unreadable row: {error}'
            ) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _call(
        self,
        name: str,
        boot: str,
        body: dict[str, t.Any],
        timeout: float = _ORDER_TIMEOUT_SECONDS,
    ) -> httpclient.Response:
        while True:
            try:
                return await self._send(name, boot, body, timeout, peer=boot)
            except exceptions.PeerUnconfirmed:
                try:
                    await self._confirm(boot, body['fencingToken'])
                except exceptions.WorkerUnavailable as error:
                    raise exceptions.WorkerNotReached(
                        f'{name}: not confirmed: {error}'
                    ) from error

    async def _confirm(self, boot: str, epoch: int) -> None:
        """Confirm that one more connection leads to a boot.

        Changes nothing at whichever boot answers.
        """
        body = {'fencingToken': epoch, 'acked': 0}
        answer = await self._send('hold', boot, body, _ORDER_TIMEOUT_SECONDS)
        _check_born(_parse(_HoldReply, answer), boot)
        self._client.confirm_peer(answer, boot)

    async def _send(
        self,
        name: str,
        boot: str,
        body: dict[str, t.Any],
        timeout: float,
        peer: str = '',
    ) -> httpclient.Response:
        agent_id, _ = boots.split(boot)
        headers = {_BOOT_HEADER: agent_id}
        try:
            answer = await self._client.call(
                'POST', f'/v1/{name}', body, headers, timeout, peer
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
            raise exceptions.OrderRefused(_parse(_RefusalReply, answer).reason)
        if status in _UNHEALTHY_STATUSES:
            raise exceptions.OrderRefused('unhealthy')
        if status == http.HTTPStatus.BAD_REQUEST:
            raise exceptions.OrderRefused('malformed')
        raise exceptions.WorkerUnavailable(f'{name}: status {status}')


def _check_born(reply: _HoldReply, boot: str) -> None:
    """Raise ``WorkerBootChanged`` if another start has answered."""
    agent_id, born_ms = boots.split(boot)
    if reply.born_ms and reply.born_ms != born_ms:
        raise exceptions.WorkerBootChanged(
            f'{boot}: {boots.join(agent_id, reply.born_ms)} has answered'
        )


def _parse(model: type[_ModelT], answer: httpclient.Response) -> _ModelT:
    try:
        return model.model_validate_json(answer.content)
    except pydantic.ValidationError as error:
        raise exceptions.WorkerUnavailable(
            f'{answer.status}: not an answer of the agent'
        ) from error
