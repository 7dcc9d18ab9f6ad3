"""The native HTTP interface for jobs; stateless."""

import time
import typing as t

import pydantic
from starlette import applications
from starlette import exceptions as http_exceptions
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonsail import answers
from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import intake as intake_module
from persimmonsail.jobs import outcomes
from persimmonsail.jobs import queues
from persimmonsail.jobs import record
from persimmonsail.jobs import specification as specification_module
from persimmonsail import logs
from persimmonsail import metrics
from persimmonsail import problems
from persimmonsail import tracebacks

# Used for requests without a Request-Timeout header.
_DEFAULT_TIMEOUT_SECONDS = 3.0
_MAX_TIMEOUT_SECONDS = 30.0
_ID_PATTERN = r'^[0-9A-Za-z_-]{1,64}$'

_JobId = t.Annotated[str, pydantic.Field(pattern=_ID_PATTERN)]


class _PathParameters(pydantic.BaseModel):
    """The path parameter that identifies a job."""

    job: _JobId


class _Headers(pydantic.BaseModel):
    """The request headers that are evaluated."""

    model_config = pydantic.ConfigDict(extra='ignore')

    timeout: t.Annotated[
        float,
        pydantic.Field(alias='request-timeout', gt=0, le=_MAX_TIMEOUT_SECONDS),
    ] = _DEFAULT_TIMEOUT_SECONDS


class JobGateway:
    """Translates between HTTP and the intake.

    Parameters
    ----------
    intake : persimmonsail.jobs.intake.Intake
        Accepts, cancels and finds jobs.
    view : persimmonsail.jobs.queues.View
        The current configuration of queues.
    is_ready : callable
        Tells whether this entry accepts calls.
    """

    def __init__(
        self,
        intake: intake_module.Intake,
        view: queues.View,
        is_ready: t.Callable[[], bool],
    ) -> None:
        self._intake = intake
        self._view = view
        self._is_ready = is_ready
        job = '/v1/queues/{queue}/jobs/{job}'
        self.app = applications.Starlette(
            routes=[
                routing.Route(job, self._put, methods=['PUT']),
                routing.Route(job, self._get, methods=['GET']),
                routing.Route(job, self._delete, methods=['DELETE']),
                routing.Route('/v1/queues/{queue}', self._get_count),
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

    async def _put(self, request: requests.Request) -> responses.Response:
        deadline = _read_deadline(request)
        # Read the complete body before refusing a request: otherwise the
        # connection is reset and the caller can't read the response.
        body = await self._read_body(request)
        queue = self._find_queue(request)
        id = _read_id(request)
        try:
            specification = specification_module.decode_json(body)
            specification_module.check(specification)
            outcome = await self._intake.submit(
                id, queue, specification, deadline
            )
        except exceptions.JobInvalid as error:
            raise problems.Problem(
                422, 'Not accepted', problems.NOT_RUN, str(error)
            ) from error
        except exceptions.JobRejected as error:
            raise problems.Problem(
                503,
                'Overloaded',
                problems.NOT_RUN,
                str(error),
                error.retry_after,
            ) from error
        _log_call('submit', request, id, outcome.value)
        if outcome is outcomes.Outcome.ACCEPTED:
            return responses.JSONResponse(
                {'job': id, 'queue': queue.name},
                status_code=202,
                headers={'location': request.url.path},
            )
        if outcome is outcomes.Outcome.CANCELLED:
            raise problems.Problem(
                422,
                'Not accepted',
                problems.NOT_RUN,
                'it was cancelled before it was stored',
            )
        raise _describe_outcome(outcome, 'accepted')

    async def _get(self, request: requests.Request) -> responses.Response:
        deadline = _read_deadline(request)
        queue = self._find_queue(request)
        id = _read_id(request)
        found = await self._intake.find_state(id, deadline)
        if isinstance(found, record.JobState):
            _log_call('find', request, id, found.phase.value)
            body = {'job': id, 'queue': queue.name, 'phase': found.phase.value}
            if found.reason:
                body['reason'] = found.reason
            return responses.JSONResponse(body)
        _log_call('find', request, id, found.value)
        if found is outcomes.Outcome.ABSENT:
            raise _describe_absent(id)
        raise problems.Problem(
            503,
            'State out of reach',
            problems.UNKNOWN,
            'neither store nor leader answered',
            intake_module.RETRY_SECONDS,
        )

    async def _delete(self, request: requests.Request) -> responses.Response:
        deadline = _read_deadline(request)
        queue = self._find_queue(request)
        id = _read_id(request)
        outcome = await self._intake.cancel(id, deadline)
        _log_call('cancel', request, id, outcome.value)
        if outcome is outcomes.Outcome.ACCEPTED:
            return responses.JSONResponse(
                {'job': id, 'queue': queue.name}, status_code=202
            )
        if outcome is outcomes.Outcome.ABSENT:
            raise _describe_absent(id)
        raise _describe_outcome(outcome, 'cancelled')

    async def _get_count(
        self, request: requests.Request
    ) -> responses.Response:
        queue = self._find_queue(request)
        count = await self._intake.count_pending(queue.name)
        if count is None:
            raise problems.Problem(
                503,
                'Count out of reach',
                problems.NOT_RUN,
                'neither store nor leader answered',
                intake_module.RETRY_SECONDS,
            )
        return responses.JSONResponse({'queue': queue.name, 'pending': count})

    async def _get_health(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse({'healthy': True})

    async def _get_ready(
        self, request: requests.Request
    ) -> responses.Response:
        if self._is_ready():
            return responses.JSONResponse({'ready': True})
        raise problems.Problem(
            503, 'Not ready', problems.NOT_RUN, 'no store or no configuration'
        )

    async def _get_metrics(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.Response(
            metrics.render(), media_type=metrics.MEDIA_TYPE
        )

    async def _read_body(self, request: requests.Request) -> bytes:
        current = self._view.current
        limit = (current.limits if current else queues.Limits()).body_bytes
        return await answers.read_body(request, limit)

    def _find_queue(self, request: requests.Request) -> queues.Queue:
        current = self._view.current
        if current is None:
            raise problems.Problem(
                503,
                'Not ready',
                problems.NOT_RUN,
                'no configuration yet',
                intake_module.RETRY_SECONDS,
            )
        name = request.path_params['queue']
        for queue in current.queues:
            if queue.name == name:
                return queue
        raise problems.Problem(404, 'No such queue', problems.NOT_RUN, name)

    async def _respond_problem(
        self, request: requests.Request, problem: problems.Problem
    ) -> responses.Response:
        logs.write_event(
            'job-refusal',
            job=request.path_params.get('job', ''),
            status=problem.status,
            work=problem.work,
            reason=problem.detail,
            retry_after=problem.retry_after,
        )
        return answers.respond_problem(
            problem, request.path_params.get('job', '')
        )

    async def _respond_error(
        self, request: requests.Request, error: Exception
    ) -> responses.Response:
        id = request.path_params.get('job', '')
        logs.write_error('job-error', job=id, **tracebacks.describe(error))
        return answers.respond_error(error, id)


def _read_deadline(request: requests.Request) -> float:
    request.state.begun = time.monotonic()
    try:
        headers = _Headers.model_validate(dict(request.headers))
    except pydantic.ValidationError as error:
        raise problems.Problem(
            400,
            'Invalid header',
            problems.NOT_RUN,
            'request-timeout: above 0, '
            f'at most {_MAX_TIMEOUT_SECONDS:g} seconds',
        ) from error
    return clock.read() + headers.timeout * intake_module.STORE_SHARE


def _read_id(request: requests.Request) -> str:
    try:
        return _PathParameters.model_validate(request.path_params).job
    except pydantic.ValidationError as error:
        raise problems.Problem(
            422,
            'Not accepted',
            problems.NOT_RUN,
            "job: 1 to 64 letters, digits, '_' or '-'",
        ) from error


def _describe_absent(id: str) -> problems.Problem:
    return problems.Problem(404, 'No such job', problems.NOT_RUN, id)


def _describe_outcome(
    outcome: outcomes.Outcome, action: str
) -> problems.Problem:
    if outcome is outcomes.Outcome.REFUSED:
        return problems.Problem(
            503,
            f'Not {action}',
            problems.NOT_RUN,
            'the store is out of reach',
            intake_module.RETRY_SECONDS,
        )
    return problems.Problem(
        504,
        'Outcome unknown',
        problems.UNKNOWN,
        f'it may have been {action}: ask again with the same id',
        intake_module.RETRY_SECONDS,
    )


def _log_call(
    call: str, request: requests.Request, id: str, outcome: str
) -> None:
    seconds = time.monotonic() - request.state.begun
    outcomes.log_call(call, id, request.path_params['queue'], outcome, seconds)
