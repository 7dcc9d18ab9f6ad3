"""Problem details (RFC 9457) for every refusal to a caller."""

import dataclasses
import math

from starlette import responses

MEDIA_TYPE = 'application/problem+json'
NOT_RUN = 'not-run'
RAN = 'ran'
UNKNOWN = 'unknown'


# Not frozen: context managers set the traceback of what passes them.
@dataclasses.dataclass(eq=False)
class Problem(Exception):
    """A final answer that is not the work's own.

    Attributes
    ----------
    status : int
        The HTTP status.
    title : str
        What is wrong, alike for all problems of one kind.
    work : str
        Whether the work ran: ``not-run``, ``ran`` or ``unknown``.
    detail : str
        What is wrong this time.
    retry_after : float
        Seconds until coming back may help; zero if it does not.
    """

    status: int
    title: str
    work: str
    detail: str = ''
    retry_after: float = 0.0


def respond(problem: Problem, request: str = '') -> responses.Response:
    """Return the HTTP response for a problem."""
    body = {
        'type': 'about:blank',
        'title': problem.title,
        'status': problem.status,
        'detail': problem.detail,
        'work': problem.work,
        'request': request,
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
