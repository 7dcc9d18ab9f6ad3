"""Problem details (RFC 9457) of error responses to callers."""

import dataclasses
import math

from starlette import responses

MEDIA_TYPE = 'application/problem+json'
NOT_RUN = 'not-run'
RAN = 'ran'
UNKNOWN = 'unknown'


# Not frozen: context managers set the traceback of exceptions.
@dataclasses.dataclass(eq=False)
class Problem(Exception):
    """A final answer that was not produced by the work itself.

    Attributes
    ----------
    status : int
        The HTTP status.
    title : str
        What is wrong, the same for all problems of one kind.
    work : str
        Whether the work ran: ``not-run``, ``ran`` or ``unknown``.
    detail : str
        What is wrong in this case.
    retry_after : float
        Seconds until a retry may succeed; zero if none helps.
    """

    status: int
    title: str
    work: str
    detail: str = ''
    retry_after: float = 0.0


def respond(problem: Problem, request_id: str = '') -> responses.Response:
    """Return the HTTP response for a problem."""
    body = {
        'type': 'about:blank',
        'title': problem.title,
        'status': problem.status,
        'detail': problem.detail,
        'work': problem.work,
        'request': request_id,
    }
    headers = {}
    if problem.retry_after > 0:
        headers['retry-after'] = str(math.ceil(problem.retry_after))
        body['retry_after_seconds'] = round(problem.retry_after, 3)
    return responses.JSONResponse(
        body,
        status_code=problem.status,
        headers=headers,
        media_type=MEDIA_TYPE,
    )
