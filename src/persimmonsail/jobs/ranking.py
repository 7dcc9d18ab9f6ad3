"""The order in which a scheduling round considers the waiting tasks."""

import typing as t

from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import order
from persimmonsail.jobs import queues
from persimmonsail.jobs import setaside
from persimmonsail.jobs import suspects

_MILLISECONDS = 1000

# A task with its sort key and its queue.
_Ranked = tuple[tuple[bool, t.Any], job_module.Task, queues.Queue]


def rank(
    board: board_module.Board,
    queues_by_name: t.Mapping[str, queues.Queue],
    slowdowns: t.Mapping[str, float],
    now: float,
    wall_seconds: float,
) -> list[tuple[job_module.Task, queues.Queue]]:
    """Return the tasks that may start now with their queues, in order.

    Suspects of crashes come first, then the most urgent tasks.

    Parameters
    ----------
    board : persimmonsail.jobs.board.Board
        The jobs; one whose tasks can't be ranked is set aside.
    queues_by_name : mapping of str to persimmonsail.jobs.queues.Queue
        The queues by name; jobs of others wait.
    slowdowns : mapping of str to float
        Ratio of actual to estimated task duration, by queue.
    now : float
        Seconds of the leader's clock.
    wall_seconds : float
        Seconds since the epoch.
    """
    ranked: list[_Ranked] = []
    wall_ms = wall_seconds * _MILLISECONDS
    mean_works = order.measure_mean_works(board.jobs.values())
    for job in board.jobs.values():
        queue = queues_by_name.get(job.queue)
        if queue is None or not job.waiting or setaside.is_set_aside(job, now):
            continue
        slowdown = slowdowns.get(job.queue, 1.0)
        try:
            ranked += _rank_job(
                job, queue, slowdown, mean_works[job.queue], now, wall_ms
            )
        except Exception as error:
            setaside.set_aside(job, error, now)
    ranked.sort(key=lambda row: row[0])
    return [(task, queue) for _, task, queue in ranked]


def _rank_job(
    job: job_module.Job,
    queue: queues.Queue,
    slowdown: float,
    mean_work: float,
    now: float,
    wall_ms: float,
) -> list[_Ranked]:
    """Return the sort keys of a job's tasks that may start now."""
    ranked: list[_Ranked] = []
    # All tasks of a step are equally urgent.
    keys: dict[tuple[int, int], t.Any] = {}
    for task in job.waiting.values():
        if task.not_before > now or task.due_ms > wall_ms:
            continue
        step = task.key.step_key
        if step not in keys:
            keys[step] = order.rate(
                task, queue, wall_ms, slowdown, mean_work
            ).sort_key
        # Suspects first: they need an instance with no other starts, which
        # only a few of them get at a time.
        not_tried_next = not suspects.is_isolation_due(task)
        ranked.append(((not_tried_next, keys[step]), task, queue))
    return ranked
