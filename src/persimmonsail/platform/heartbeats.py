"""Receives the heartbeats of the worker's agent on this instance."""

import typing as t
import urllib.parse

import pydantic

from persimmonsail import bodies
from persimmonsail import exceptions
from persimmonsail.jobs import agent as agent_module
from persimmonsail.jobs import boots
from persimmonsail.jobs import specification
from persimmonsail.jobs import worker
from persimmonsail import logs
from persimmonsail.platform import http

_PATH_PREFIX = '/v1/runners/'
_MAX_BYTES = 1024 * 1024
_MILLISECONDS = 1000


# Reports may come from other programs. A larger number, which no instance
# has, would not fit into the sidecar's message to the leader, and the error
# would end their link.
_MAX_AMOUNT = 2**31 - 1
_Amount = t.Annotated[int, pydantic.Field(ge=0, le=_MAX_AMOUNT)]
_MAX_TIME_MS = 2**53
_Time = t.Annotated[int, pydantic.Field(ge=0, le=_MAX_TIME_MS)]


class _Capacity(pydantic.BaseModel):
    # Thousandths of a core.
    cpu: _Amount
    memory_mib: _Amount = pydantic.Field(alias='memMb')
    accelerators: _Amount = pydantic.Field(default=0, alias='gpu')


class _Report(pydantic.BaseModel):
    # Newer agents may send further fields.
    model_config = pydantic.ConfigDict(extra='ignore')

    service: str
    # When the agent started; older agents omit it.
    born_ms: _Time = pydantic.Field(default=0, alias='born')
    # Increases with each report of a boot; the clock may not.
    sequence: _Amount = pydantic.Field(alias='seq')
    # Required like all that decides what runs there: a draining agent must
    # not become ready by a report that omits it.
    state: t.Literal['ready', 'draining']
    # Only while draining: the minimum time that remains.
    remaining_ms: _Amount = pydantic.Field(default=0, alias='remainingMs')
    capacity: _Capacity
    clock_ms: int = pydantic.Field(default=0, alias='clockMs')
    # The kind of the instance, then its rack.
    labels: tuple[str, ...]

    def to_heartbeat(self, agent_id: str) -> worker.Heartbeat:
        return worker.Heartbeat(
            boot=boots.join(agent_id, self.born_ms),
            sequence=self.sequence,
            service=self.service,
            rack=self.labels[-1] if len(self.labels) > 1 else '',
            labels=self.labels,
            capacity=specification.Size(
                self.capacity.cpu,
                self.capacity.memory_mib,
                self.capacity.accelerators,
            ),
            leaving=self.state == 'draining',
            remaining_seconds=self.remaining_ms / _MILLISECONDS,
            clock_ms=self.clock_ms,
        )


class Heartbeats(http.Application):
    """The ASGI application that receives the agent's reports."""

    def __init__(self, agent: agent_module.Agent) -> None:
        self._agent = agent

    async def serve(
        self, scope: t.Any, receive: http.Receive, send: http.Send
    ) -> None:
        """See ``Application.serve``."""
        try:
            body = await bodies.read_body(receive, _MAX_BYTES)
        except exceptions.BodyTooLarge:
            await http.send_error(send, 413, 'a report is at most 1 MiB')
            return
        except exceptions.CallerGone:
            return
        path = scope['path']
        if not path.startswith(_PATH_PREFIX):
            await http.send_error(send, 404, 'no such call')
            return
        agent_id = urllib.parse.unquote(path.removeprefix(_PATH_PREFIX))
        if scope['method'] == 'DELETE':
            self._agent.note_departure(agent_id)
        elif scope['method'] == 'PUT':
            try:
                report = _Report.model_validate_json(body)
            except pydantic.ValidationError as error:
                logs.write_error(
                    'heartbeat-unreadable', boot=agent_id, error=error
                )
                await http.send_error(send, 400, str(error))
                return
            self._agent.note_heartbeat(report.to_heartbeat(agent_id))
        else:
            await http.send_error(send, 405, 'allowed: PUT, DELETE')
            return
        await http.send_json(send, 200, {})
