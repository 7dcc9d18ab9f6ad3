"""Which instance a task runs on.

Load pattern: serving tasks declare most of the fleet's processors and
use about half of them; heavy best-effort tasks take what is left and
disturb the serving tasks beside them. So serving tasks are packed where
the fewest best-effort tasks are, and best-effort tasks go where nothing
serves, as long as there is room; a short task goes where most is unused.
"""

import typing as t

from persimmonsail.jobs import board
from persimmonsail.jobs import instances
from persimmonsail.jobs import specification

# The part of its declared processors that a serving task uses: its load
# is 0.42 in the mean and swings by half of that.
SERVING_USE = 0.5
# A best-effort task is started where it gets at least this part of its
# processors; with less it holds its memory for longer than it helps.
FILL_SHARE = 0.75

_Score = tuple[float, ...]


def choose(
    task: board.Task,
    fleet: t.Iterable[instances.Instance],
    service: str,
    now: float,
) -> instances.Instance | None:
    """Return the best instance that has room for a task, or nothing.

    Parameters
    ----------
    task : persimmonsail.jobs.board.Task
        A task whose turn has come.
    fleet : iterable of persimmonsail.jobs.instances.Instance
        All instances.
    service : str
        The service that runs the task's queue.
    now : float
        Seconds of the leader's clock.
    """
    fitting = [
        instance
        for instance in fleet
        if instance.service == service
        and is_usable(instance, now)
        and has_room(task, instance)
    ]
    return min(fitting, key=lambda i: _score(task, i), default=None)


def is_usable(instance: instances.Instance, now: float) -> bool:
    """Tell whether an instance gets new work at all."""
    return (
        instance.attached
        and bool(instance.boot)
        and not instance.leaving
        and now >= instance.suspect_until
    )


def has_room(task: board.Task, instance: instances.Instance) -> bool:
    """Tell whether a task may be started on an instance."""
    step = task.step
    if step.label and step.label not in instance.labels:
        return False
    if not step.committed.fits(instance.free):
        return False
    if step.most_per_instance:
        step_name = task.name.rpartition('.')[0]
        if instance.count_step(step_name) >= step.most_per_instance:
            return False
    if step.best_effort_cpu:
        return _fits_unused(step, instance)
    return True


def estimate_unused(instance: instances.Instance) -> float:
    """Return the millicores that nothing on an instance uses."""
    unused = float(instance.capacity.millicores)
    for run in instance.runs.values():
        unused -= _estimate_use(run)
    return unused


def _estimate_use(run: instances.Run) -> float:
    if run.serves:
        return run.step.size.millicores * SERVING_USE
    return run.step.size.millicores * run.pace / 100


def _fits_unused(
    step: specification.Step, instance: instances.Instance
) -> bool:
    wanted = min(step.size.millicores, instance.capacity.millicores)
    return estimate_unused(instance) >= wanted * FILL_SHARE


def _score(task: board.Task, instance: instances.Instance) -> _Score:
    step = task.step
    avoided = instance.address in task.avoid
    remote = bool(step.data_rack) and step.data_rack != instance.rack
    unused = estimate_unused(instance)
    if step.latency_target_ms:
        pressure = sum(r.step.size.millicores for r in instance.fillers)
        return (avoided, remote, pressure, -len(instance.serving))
    if step.best_effort_cpu:
        return (avoided, remote, len(instance.serving), -unused)
    return (avoided, remote, -unused)
