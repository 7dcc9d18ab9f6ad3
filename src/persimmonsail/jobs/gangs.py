"""Gangs: tasks that only run together, and their reservations.

Load pattern: single tasks arrive continuously and take every processor that
becomes free, so the capacity for a complete gang is never free at once,
however long the gang waits. After a delay, capacity that becomes free is
therefore reserved for it: less urgent tasks wait, unless their job has been
idle for long itself. Capacity is only reserved for a gang that fits once
all runs that end by themselves have ended; a larger one would block all
other tasks in vain.
"""

import typing as t

from persimmonsail.jobs import instances
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import placement
from persimmonsail.jobs import specification

# Capacity is reserved for a gang after its job has been idle for this long.
# Most gangs are placed immediately; the shortest tasks take about this time,
# and their end may free the missing capacity.
_RESERVATION_DELAY_SECONDS = 1.0


def list_members(task: job_module.Task, now: float) -> list[job_module.Task]:
    """Return the tasks to place together; none if that isn't possible.

    The tasks of a gang wait for each other on their instances, but only
    for seconds; while one of them is still being stopped, none starts.
    """
    if not task.step.gang:
        return [task]
    members = task.job.list_gang(task)
    waiting = task.job.waiting
    if any(m.key not in waiting or m.not_before > now for m in members):
        return []
    return members


def needs_reservation(
    members: t.Sequence[job_module.Task],
    fleet: t.Iterable[instances.Instance],
    service: str,
    now: float,
) -> bool:
    """Tell whether capacity has to be reserved for a gang.

    Parameters
    ----------
    members : sequence of persimmonsail.jobs.job.Task
        The tasks of one step that could not be placed together.
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
    if not idle_since or now - idle_since < _RESERVATION_DELAY_SECONDS:
        return False
    slots = sum(
        _count_slots(members[0].step, instance)
        for instance in placement.list_usable(fleet, service, now)
    )
    return slots >= len(members)


def _count_slots(
    step: specification.Step, instance: instances.Instance
) -> int:
    """Return how many tasks fit beside the long-running ones."""
    if step.label and step.label not in instance.labels:
        return 0
    capacity = instance.capacity
    for run in instance.runs.values():
        if run.step.long_running:
            capacity = capacity - run.step.committed
    request = step.committed
    counts = [
        available // needed
        for available, needed in (
            (capacity.millicores, request.millicores),
            (capacity.memory_mib, request.memory_mib),
            (capacity.accelerators, request.accelerators),
        )
        if needed
    ]
    counts.append(step.most_per_instance or step.count)
    return max(0, min(counts))
