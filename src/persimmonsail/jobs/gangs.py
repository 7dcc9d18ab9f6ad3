"""Gangs: tasks that work only together, and the room that they need.

Load pattern: single tasks come all the time and take each processor that
another one leaves, so that the room for a whole gang is never free at
once, however long the gang has waited. So after a while the room that
becomes free is kept for it: whatever is less urgent waits, unless it has
waited long itself. Room is only kept for a gang that fits once all has
ended that ends by itself; a larger one would stop everybody else for
nothing.
"""

import typing as t

from persimmonsail.jobs import instances
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import placement
from persimmonsail.jobs import specification

# A job whose gang has nothing running for so long has room kept for it.
# Most gangs find room at once; a task of the shortest kind ends in about
# this time and may leave what is missing.
PATIENCE_SECONDS = 1.0


def list_members(task: job_module.Task, now: float) -> list[job_module.Task]:
    """Return what has to be placed together; nothing if that can't be.

    The tasks of a gang wait for each other at their instances, but only
    for seconds; while one of them is still being stopped, none starts.
    """
    if not task.step.gang:
        return [task]
    members = task.job.list_gang(task)
    waiting = task.job.waiting
    if any(m.key not in waiting or m.not_before > now for m in members):
        return []
    return members


def needs_room_kept(
    members: t.Sequence[job_module.Task],
    fleet: t.Iterable[instances.Instance],
    service: str,
    now: float,
) -> bool:
    """Tell whether less urgent tasks have to leave room to these.

    Parameters
    ----------
    members : sequence of persimmonsail.jobs.job.Task
        The tasks of one step that found no room together.
    fleet : iterable of persimmonsail.jobs.instances.Instance
        All instances.
    service : str
        The service that runs the gang's queue.
    now : float
        Seconds of the leader's clock.
    """
    if not members or not members[0].step.gang:
        return False
    idle_since = members[0].job.idle_since
    if not idle_since or now - idle_since < PATIENCE_SECONDS:
        return False
    places = sum(
        _count_places(members[0].step, instance)
        for instance in placement.list_usable(fleet, service, now)
    )
    return places >= len(members)


def _count_places(
    step: specification.Step, instance: instances.Instance
) -> int:
    """Return how many tasks fit beside what never ends by itself."""
    if step.label and step.label not in instance.labels:
        return 0
    room = instance.capacity
    for run in instance.runs.values():
        if run.step.long_running:
            room = room - run.step.committed
    need = step.committed
    counts = [
        has // wanted
        for has, wanted in (
            (room.millicores, need.millicores),
            (room.memory_mib, need.memory_mib),
            (room.accelerators, need.accelerators),
        )
        if wanted
    ]
    counts.append(step.most_per_instance or step.count)
    return max(0, min(counts))
