"""The callers' HTTP interface of an entry."""

import functools
import json
import math
import time
import typing as t
import uuid

import pydantic
from starlette import applications
from starlette import exceptions as http_exceptions
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonsail import answers
from persimmonsail.bookkeeping import records
from persimmonsail.callers import gauges
from persimmonsail.callers import sending
from persimmonsail.catalogues import catalogue
from persimmonsail import control_pb2
from persimmonsail import logs
from persimmonsail import metrics
from persimmonsail import problems
from persimmonsail import tracebacks

MAX_WAIT_SECONDS = 30.0
MAX_BODY_BYTES = 1_000_000
_UNKNOWN_WORKLOAD = 'none'
_Timeout = t.Annotated[float, pydantic.Field(gt=0, le=3600)]


class RequestHeaders(pydantic.BaseModel):
    """The request headers that the gateway interprets."""

    model_config = pydantic.ConfigDict(extra='ignore')

    idempotency_key: t.Annotated[
        str,
        pydantic.Field(alias='idempotency-key', min_length=1, max_length=200),
    ] = ''
    request_timeout: t.Annotated[
        _Timeout | None, pydantic.Field(alias='request-timeout')
    ] = None
    prefer: str = ''

    @property
    def wait_seconds(self) -> float:
        """Seconds to wait for a task to end, from ``Prefer: wait=N``.

        Malformed preferences are ignored, as RFC 7240 requires.
        """
        for preference in self.prefer.split(','):
            name, _, value = preference.partition('=')
            if name.strip().lower() == 'wait' and value.strip().isdecimal():
                return min(float(value), MAX_WAIT_SECONDS)
        return 0.0


_Handler = t.Callable[..., t.Awaitable[responses.Response]]


def _record_duration(handler: _Handler) -> _Handler:
    """Record the time from a request to its final response."""

    @functools.wraps(handler)
    async def handle(
        gateway: 'Gateway', request: requests.Request
    ) -> responses.Response:
        started_at = time.monotonic()
        outcome = 'cut-off'
        try:
            response = await handler(gateway, request)
            outcome = 'accepted' if response.status_code == 202 else 'answered'
            return response
        except problems.Problem as problem:
            outcome = problem.work
            raise
        finally:
            seconds = time.monotonic() - started_at
            workload = gateway.find_workload(request)
            metrics.REQUEST_SECONDS.record(seconds, workload, outcome)

    return handle


class Gateway:
    """Translates between HTTP and the entry; holds no state."""

    def __init__(self, entry: t.Any) -> None:
        self._entry = entry
        self._gauges = gauges.make_gauges(entry)
        self.app = applications.Starlette(
            routes=[
                routing.Route(
                    '/v1/workloads/{name}/requests',
                    self._post_request,
                    methods=['POST'],
                ),
                routing.Route(
                    '/v1/tasks/{task}', self._get_task, methods=['GET']
                ),
                routing.Route(
                    '/v1/tasks/{task}', self._delete_task, methods=['DELETE']
                ),
                routing.Route('/health', self._get_health),
                routing.Route('/ready', self._get_ready),
                routing.Route('/metrics', self._get_metrics),
            ],
            exception_handlers={
                problems.Problem: self._respond_problem,
                http_exceptions.HTTPException: answers.respond_unrouted,
                Exception: self._respond_error,
            },
        )

    def find_workload(self, request: requests.Request) -> str:
        """Return a request's workload; ``none`` if it is unknown."""
        name = request.path_params['name']
        is_known = name in self._entry.view.catalogue.workloads
        return name if is_known else _UNKNOWN_WORKLOAD

    async def _respond_problem(
        self, request: requests.Request, problem: problems.Problem
    ) -> responses.Response:
        request_id = getattr(request.state, 'number', '')
        logs.write_event(
            'refusal',
            request=request_id,
            task=getattr(request.state, 'task', ''),
            status=problem.status,
            work=problem.work,
            reason=problem.detail,
            retry_after=problem.retry_after,
        )
        return answers.respond_problem(problem, request_id)

    async def _respond_error(
        self, request: requests.Request, error: Exception
    ) -> responses.Response:
        request_id = getattr(request.state, 'number', '')
        logs.write_error(
            'request-error', request=request_id, **tracebacks.describe(error)
        )
        return answers.respond_error(error, request_id)

    @_record_duration
    async def _post_request(
        self, request: requests.Request
    ) -> responses.Response:
        request.state.number = uuid.uuid4().hex
        name = request.path_params['name']
        logs.write_event('request', request=request.state.number, name=name)
        headers = _read_headers(request)
        self._entry.check_serving()
        workload = self._entry.view.catalogue.workloads.get(name)
        if workload is None:
            raise problems.Problem(
                404, 'No such workload', problems.NOT_RUN, name
            )
        body = await answers.read_body(request, MAX_BODY_BYTES)
        timeout = headers.request_timeout or workload.timeout
        if workload.workload_class is catalogue.WorkloadClass.LATENCY_CRITICAL:
            return await self._run_quick(
                request, name, workload, headers, body, timeout
            )
        return await self._submit(request, name, headers, body, timeout)

    async def _run_quick(
        self,
        request: requests.Request,
        name: str,
        workload: catalogue.Workload,
        headers: RequestHeaders,
        body: bytes,
        timeout: float,
    ) -> responses.Response:
        message = sending.QuickRequest(
            request.state.number,
            name,
            workload,
            body,
            request.headers.get('content-type', ''),
            time.monotonic() + timeout,
            headers.idempotency_key,
        )
        reply = await self._entry.quick.send(message)
        logs.write_event(
            'answer',
            request=message.id,
            status=reply.status,
            answer=logs.digest(reply.body),
            ran_as=reply.ran_as,
        )
        return responses.Response(
            reply.body,
            status_code=reply.status,
            media_type=reply.content_type,
            headers={'request-id': message.id},
        )

    async def _submit(
        self,
        request: requests.Request,
        name: str,
        headers: RequestHeaders,
        body: bytes,
        timeout: float,
    ) -> responses.Response:
        _check_payload(body)
        key = headers.idempotency_key or request.state.number
        task = self._entry.make_task_id(name, key)
        request.state.task = task
        reply = await self._entry.tasks.submit(task, name, body, timeout)
        status = 202
        if headers.wait_seconds:
            final_reply = await self._wait_after_accept(
                task, headers.wait_seconds
            )
            if final_reply is not None:
                reply, status = final_reply, 200
        _log_task_answer(request.state.number, task, reply)
        response = _respond_task(task, reply, status)
        response.headers['location'] = f'/v1/tasks/{task}'
        return response

    async def _wait_after_accept(
        self, task: str, seconds: float
    ) -> control_pb2.TaskReply | None:
        # The task is already accepted. A failure of the wait must not be
        # reported as one of the work: the caller would resubmit it.
        try:
            reply = await self._wait_task(task, seconds)
        except problems.Problem:
            return None
        return reply if reply.phase in records.FINAL_PHASES else None

    async def _wait_task(
        self, task: str, seconds: float
    ) -> control_pb2.TaskReply:
        return await self._entry.stop.wait_unless_stopping(
            lambda remaining: self._entry.tasks.query(task, remaining),
            seconds,
        )

    async def _get_task(self, request: requests.Request) -> responses.Response:
        task = request.path_params['task']
        wait = _read_wait(request)
        reply = await self._wait_task(task, wait)
        _log_task_answer('', task, reply)
        return _respond_task(task, reply)

    async def _delete_task(
        self, request: requests.Request
    ) -> responses.Response:
        task = request.path_params['task']
        reply = await self._entry.tasks.cancel(task)
        return _respond_task(task, reply, status=202)

    async def _get_health(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.PlainTextResponse('ok')

    async def _get_ready(
        self, request: requests.Request
    ) -> responses.Response:
        reason = self._entry.find_unready_reason()
        status = 503 if reason else 200
        return responses.PlainTextResponse(reason or 'ready', status)

    async def _get_metrics(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.PlainTextResponse(
            metrics.render(*self._gauges), media_type=metrics.MEDIA_TYPE
        )


def _read_headers(request: requests.Request) -> RequestHeaders:
    try:
        return RequestHeaders.model_validate(dict(request.headers))
    except pydantic.ValidationError as error:
        details = '; '.join(
            f'{detail["loc"][0]}: {detail["msg"]}' for detail in error.errors()
        )
        raise problems.Problem(
            400, 'Invalid headers', problems.NOT_RUN, details
        ) from error


def _check_payload(body: bytes) -> None:
    try:
        # The ledger stores payloads as text.
        json.loads(body.decode() or '{}')
    except (ValueError, RecursionError) as error:
        raise problems.Problem(
            400, 'Invalid JSON', problems.NOT_RUN, str(error)
        ) from error


def _read_wait(request: requests.Request) -> float:
    text = request.query_params.get('wait', '0')
    try:
        wait = float(text)
        if not math.isfinite(wait):
            raise ValueError(text)
    except ValueError as error:
        raise problems.Problem(
            400, 'Invalid wait', problems.NOT_RUN, f'wait={text}'
        ) from error
    return min(max(wait, 0.0), MAX_WAIT_SECONDS)


def _log_task_answer(
    request: str, task: str, reply: control_pb2.TaskReply
) -> None:
    logs.write_event(
        'task-answer',
        request=request,
        task=task,
        attempt=reply.attempt,
        phase=reply.phase,
        answer=logs.digest(reply.answer.encode()),
    )


def _respond_task(
    task: str, reply: control_pb2.TaskReply, status: int = 200
) -> responses.Response:
    body = {
        'task': task,
        'workload': reply.workload,
        'phase': reply.phase,
        'attempt': reply.attempt,
        'instance': reply.instance,
        'answer': reply.answer,
        'reason': reply.reason,
    }
    return responses.JSONResponse(body, status_code=status)
