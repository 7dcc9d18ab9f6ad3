"""Serves callers' requests about jobs on the platform's wire."""

import math
import re
import time
import typing as t

import anyio

from persimmonsail import bodies
from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import intake as intake_module
from persimmonsail.jobs import outcomes
from persimmonsail.jobs import queues
from persimmonsail.jobs import record
from persimmonsail import logs
from persimmonsail.platform import http
from persimmonsail.platform import submissions

_JOB_ID = re.compile(r'[0-9A-Fa-f]{16}')
_MILLISECONDS = 1000
# For callers that send no deadline.
_DEFAULT_WAIT_MS = 3000

_STATES = {
    record.JobPhase.QUEUED: 'queued',
    record.JobPhase.ACTIVE: 'active',
    record.JobPhase.COMPLETE: 'complete',
    record.JobPhase.FAILED: 'failed',
    record.JobPhase.CANCELLED: 'canceled',
}


class Front(http.Application):
    """The ASGI application behind the platform's balancer."""

    def __init__(
        self, intake: intake_module.Intake, view: queues.View
    ) -> None:
        self._intake = intake
        self._view = view
        self._closes_at = math.inf
        self._calls: set[anyio.CancelScope] = set()

    def set_deadline(self, closes_at: float) -> None:
        """Answer each request by a time of the event loop's clock."""
        self._closes_at = closes_at
        for call in self._calls:
            call.deadline = closes_at

    async def serve(
        self, scope: t.Any, receive: http.Receive, send: http.Send
    ) -> None:
        """See ``Application.serve``."""
        request = _Request(scope, receive, send)
        with anyio.CancelScope(deadline=self._closes_at) as call:
            self._calls.add(call)
            try:
                await self._serve(request)
            finally:
                self._calls.discard(call)
        if call.cancelled_caught and not request.answered:
            logs.write_event(
                'call-cut-short', method=request.method, path=request.path
            )
            # A submission may have been stored.
            status = 504 if request.method == 'POST' else 503
            await request.refuse(status, 'unknown: this entry is stopping')

    async def _serve(self, request: '_Request') -> None:
        configuration = self._view.current
        if configuration is None:
            await request.drain(queues.Limits().body_bytes)
            await request.refuse(503, 'no configuration yet')
            return
        try:
            body = await bodies.read_body(
                request.receive, configuration.limits.body_bytes
            )
        except exceptions.BodyTooLarge:
            limit = configuration.limits.body_bytes
            await request.refuse(413, f'a body is at most {limit} bytes')
            return
        except exceptions.CallerGone:
            return
        queue = configuration.find_queue(request.host, request.path)
        if queue is None:
            await request.refuse(404, 'no such queue')
            return
        suffix = request.path.removeprefix(queue.prefix)
        if not suffix and request.method == 'GET':
            await self._count(request, queue)
        elif not _JOB_ID.fullmatch(suffix):
            await request.refuse(404, 'an id is 16 hexadecimal digits')
        elif request.method == 'POST':
            await self._submit(request, queue, suffix, body)
        elif request.method == 'GET':
            await self._find(request, queue, suffix)
        elif request.method == 'DELETE':
            await self._cancel(request, queue, suffix)
        else:
            await request.refuse(405, 'allowed: POST, GET, DELETE')

    async def _submit(
        self, request: '_Request', queue: queues.Queue, id: str, body: bytes
    ) -> None:
        try:
            found = submissions.decode(body)
            outcome = await self._intake.submit(
                id, queue, found, request.until
            )
        except exceptions.JobInvalid as error:
            request.log('submit', queue, id, 'invalid', error=error)
            await request.refuse(400, str(error))
            return
        except exceptions.JobRejected as error:
            request.log('submit', queue, id, 'rejected', error=error)
            await request.refuse(
                503, f'not accepted: {error}', math.ceil(error.retry_after)
            )
            return
        request.log(
            'submit',
            queue,
            id,
            outcome.value,
            version=self._view.current.version,
        )
        if outcome is outcomes.Outcome.ACCEPTED:
            await request.answer({})
        elif outcome is outcomes.Outcome.CANCELLED:
            await request.refuse(410, 'not accepted: it was cancelled before')
        elif outcome is outcomes.Outcome.REFUSED:
            await request.refuse(
                503, 'not accepted: the store is out of reach'
            )
        else:
            await request.refuse(504, 'unknown whether it was accepted')

    async def _find(
        self, request: '_Request', queue: queues.Queue, id: str
    ) -> None:
        found = await self._intake.find_state(id, request.until)
        if isinstance(found, record.JobState):
            request.log('find', queue, id, found.phase.value)
            await request.answer({'state': _STATES[found.phase]})
        elif found is outcomes.Outcome.ABSENT:
            request.log('find', queue, id, 'absent')
            await request.refuse(410, 'no such job')
        else:
            request.log('find', queue, id, 'unknown')
            await request.refuse(503, 'its state is out of reach')

    async def _cancel(
        self, request: '_Request', queue: queues.Queue, id: str
    ) -> None:
        outcome = await self._intake.cancel(id, request.until)
        request.log('cancel', queue, id, outcome.value)
        if outcome is outcomes.Outcome.ACCEPTED:
            await request.answer({})
        elif outcome is outcomes.Outcome.ABSENT:
            await request.refuse(410, 'no such job')
        else:
            await request.refuse(503, 'not known to be cancelled: ask again')

    async def _count(self, request: '_Request', queue: queues.Queue) -> None:
        count = await self._intake.count_pending(queue.name)
        if count is None:
            await request.refuse(503, 'the count is out of reach')
        else:
            await request.answer({'pendingCount': count})


class _Request:
    """A request with its ASGI channels."""

    def __init__(
        self, scope: t.Any, receive: http.Receive, send: http.Send
    ) -> None:
        self.receive = receive
        self.answered = False
        self.method: str = scope['method']
        self.path: str = scope['path']
        host = http.get_header(scope, b'host')
        self.host = host.rpartition(':')[0] if ':' in host else host
        self._send = send
        self._started_at = time.monotonic()
        wait_ms = http.get_header(scope, b'deadline-ms')
        wait = int(wait_ms) if wait_ms.isdecimal() else _DEFAULT_WAIT_MS
        share = intake_module.STORE_SHARE
        self.until = clock.read() + wait * share / _MILLISECONDS

    async def drain(self, limit: int) -> None:
        """Read and discard the body."""
        try:
            await bodies.read_body(self.receive, limit)
        except (exceptions.BodyTooLarge, exceptions.CallerGone):
            # The answer is sent all the same, in case it is still read.
            return

    async def answer(self, body: t.Mapping[str, t.Any]) -> None:
        """Answer with success."""
        self.answered = True
        await http.send_json(self._send, 200, body)

    async def refuse(
        self,
        status: int,
        text: str,
        retry_after: int = intake_module.RETRY_SECONDS,
    ) -> None:
        """Answer with an error; a 503 also says when to retry, in seconds."""
        self.answered = True
        seconds = retry_after if status == 503 else None
        await http.send_error(self._send, status, text, seconds)

    def log(
        self,
        call: str,
        queue: queues.Queue,
        id: str,
        outcome: str,
        **fields: object,
    ) -> None:
        """Log the request's outcome."""
        seconds = time.monotonic() - self._started_at
        outcomes.log_call(call, id, queue.name, outcome, seconds, **fields)
