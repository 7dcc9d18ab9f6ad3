"""Request reading and error responses shared by the HTTP interfaces."""

from starlette import exceptions as http_exceptions
from starlette import requests
from starlette import responses

from persimmonsail import bodies
from persimmonsail import exceptions
from persimmonsail import metrics
from persimmonsail import problems


async def read_body(request: requests.Request, limit: int) -> bytes:
    """Return a request's body.

    Raises
    ------
    persimmonsail.problems.Problem
        If the body exceeds ``limit`` bytes; it was read to its end.
    starlette.requests.ClientDisconnect
        If the caller disconnected.
    """
    try:
        return await bodies.read_body(request.receive, limit)
    except exceptions.BodyTooLarge as error:
        raise problems.Problem(
            413,
            'Body too large',
            problems.NOT_RUN,
            f'at most {limit} bytes are allowed',
        ) from error
    except exceptions.CallerGone as error:
        raise requests.ClientDisconnect from error


def respond_problem(
    problem: problems.Problem, request_id: str
) -> responses.Response:
    """Count a problem and return its response."""
    metrics.REFUSALS.increment(problem.title, problem.work)
    return problems.respond(problem, request_id)


def respond_error(error: Exception, request_id: str) -> responses.Response:
    """Return the response for an unhandled exception."""
    # The failure may have occurred after the work began.
    problem = problems.Problem(
        500, 'Internal error', problems.UNKNOWN, type(error).__name__
    )
    return respond_problem(problem, request_id)


async def respond_unrouted(
    request: requests.Request, error: http_exceptions.HTTPException
) -> responses.Response:
    """Return the response for an unknown path or unsupported method."""
    problem = problems.Problem(
        error.status_code,
        error.detail,
        problems.NOT_RUN,
        f'{request.method} {request.url.path}',
    )
    response = problems.respond(problem)
    response.headers.update(error.headers or {})
    return response
