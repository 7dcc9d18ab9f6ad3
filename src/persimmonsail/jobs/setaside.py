"""Jobs that can't be planned because of an error in the program.

One leader plans all jobs, and its successor finds the same ones stored. An
error in the planning of one job is therefore confined to that job: it is set
aside, and tried again after ever longer waits, and by each new leader.
"""

from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import instances
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import placer
from persimmonsail import logs
from persimmonsail import metrics

_MIN_RETRY_SECONDS = 1.0
_MAX_RETRY_SECONDS = 60.0
_MAX_DOUBLINGS = 6


def is_set_aside(job: job_module.Job, now: float) -> bool:
    """Return whether a job is not planned now."""
    return now < job.plan_again_at


def set_aside(job: job_module.Job, error: Exception, now: float) -> None:
    """Plan a job no more for a while; log the first of several failures."""
    seconds = min(
        _MIN_RETRY_SECONDS * 2 ** min(job.planning_failures, _MAX_DOUBLINGS),
        _MAX_RETRY_SECONDS,
    )
    job.planning_failures += 1
    job.plan_again_at = now + seconds
    metrics.PLANNING_FAILURES.increment(job.queue)
    if job.planning_failures == 1:
        logs.write_error(
            'job-set-aside',
            job=job.id,
            queue=job.queue,
            error=repr(error),
            place=_find_place(error),
        )


def note_planned(job: job_module.Job) -> None:
    """Record that planning a job has not failed."""
    if job.planning_failures:
        logs.write_event(
            'job-planned-again', job=job.id, failures=job.planning_failures
        )
        job.planning_failures = 0


def take_back_runs(
    board: board_module.Board,
    fleet: list[instances.Instance],
    job: job_module.Job,
    claims: list[placer.Claim],
) -> None:
    """Take back runs of a job that were added before its planning failed.

    Parameters
    ----------
    board : persimmonsail.jobs.board.Board
        The jobs.
    fleet : list of persimmonsail.jobs.instances.Instance
        All instances.
    job : persimmonsail.jobs.job.Job
        The job.
    claims : list of persimmonsail.jobs.placer.Claim
        The claims of this round, which are kept.
    """
    claimed = {claim.run.id for claim in claims}
    for instance in fleet:
        for run in list(instance.runs.values()):
            task = board.find_task(run.task)
            if task is None or task.job is not job or run.id in claimed:
                continue
            if run.order != placer.NOT_SENT:
                continue
            instance.drop_run(run.id)
            if task.is_placed and task.state.run == run.number:
                board.note_end(
                    task, run.number, board_module.End.NOT_STARTED, '', 1
                )


def _find_place(error: Exception) -> str:
    """Return the module and line that raised an error."""
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return ''
    return f'{trace.tb_frame.f_globals["__name__"]}:{trace.tb_lineno}'
