"""The outcomes of callers' calls about jobs."""

import enum

from persimmonsail import logs
from persimmonsail import metrics


class Outcome(enum.Enum):
    """The outcome of a request.

    ``REFUSED``: nothing was stored. ``UNKNOWN``: it may have been stored,
    so the caller has to retry with the same id. ``CANCELLED``: it will
    never be stored, as the job was cancelled first.
    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    ABSENT = 'absent'
    CANCELLED = 'cancelled'


def log_call(
    call: str,
    id: str,
    queue: str,
    outcome: str,
    seconds: float,
    **fields: object,
) -> None:
    """Record the outcome of a caller's call in metrics and log.

    Parameters
    ----------
    call : str
        ``submit``, ``find`` or ``cancel``.
    id, queue : str
        The job and its queue.
    outcome : str
        The outcome reported to the caller.
    seconds : float
        Time from the call to its answer.
    **fields : object
        Further log fields.
    """
    metrics.REQUEST_SECONDS.record(seconds, call, outcome)
    logs.write_event(
        'job-call',
        call=call,
        job=id,
        queue=queue,
        outcome=outcome,
        seconds=seconds,
        **fields,
    )
