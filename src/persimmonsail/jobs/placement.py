"""Which instance a task runs on.

Load pattern: serving tasks declare most of the fleet's processors and
use a part of them; heavy best-effort tasks take what is left and disturb
some of the images that serve, so much that one or two of them fill a
serving task at the peak of its load. An instance where only one image
serves can take most best-effort images at full speed, one with five images
almost none; so serving tasks are placed beside their own image, and
best-effort tasks where they disturb nothing, by what is known of the pairs
and some of the doubt about them. A short task goes where most is unused.
"""

import typing as t

from persimmonsail.jobs import board
from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import specification

# A best-effort task waits for an instance where it would work at least
# at this part of its speed; on a worse one it stays for longer than the
# wait for a better one takes.
LEAST_SPEED = 0.95
# An instance whose worker's agent has not answered its sidecar for so
# long gets no new work; it is asked twice a second.
_SILENT_SECONDS = 0.7
# Kept free below the point where a serving task misses its target; while
# a run lasts, its pace follows what happens, so that little is needed.
_MARGIN = 0.03

_Score = tuple[float, ...]


def choose(
    task: board.Task,
    fleet: t.Iterable[instances.Instance],
    service: str,
    model: interference.Model,
    now: float,
    least_speed: float = LEAST_SPEED,
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
    model : persimmonsail.jobs.interference.Model
        What is known of the images.
    now : float
        Seconds of the leader's clock.
    least_speed : float
        At which part of its speed a best-effort task has to work.
    """
    fitting = list_fitting(task, fleet, service, now)
    if task.step.best_effort_cpu:
        return _choose_fastest(task, fitting, model, least_speed, now)
    return min(fitting, key=lambda i: _score(task, i, model), default=None)


def list_usable(
    fleet: t.Iterable[instances.Instance], service: str, now: float
) -> list[instances.Instance]:
    """Return the instances of a service that get new work at all."""
    return [
        instance
        for instance in fleet
        if instance.service == service and is_usable(instance, now)
    ]


def list_fitting(
    task: board.Task,
    fleet: t.Iterable[instances.Instance],
    service: str,
    now: float,
) -> list[instances.Instance]:
    """Return the instances of a service that may start a task now."""
    return [
        instance
        for instance in list_usable(fleet, service, now)
        if has_room(task, instance)
    ]


def is_usable(instance: instances.Instance, now: float) -> bool:
    """Tell whether an instance gets new work at all."""
    return (
        instance.attached
        and bool(instance.boot)
        and not instance.leaving
        and instance.known
        and instance.silent_seconds < _SILENT_SECONDS
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
        if instance.count_step(task.step_name) >= step.most_per_instance:
            return False
    return True


def estimate_unused(
    instance: instances.Instance, model: interference.Model
) -> float:
    """Return the millicores that nothing on an instance uses."""
    part = model.estimate_use()
    unused = float(instance.capacity.millicores)
    for run in instance.runs.values():
        used = part if run.serves else 1.0
        unused -= used * run.step.size.millicores
    return unused


def estimate_speed(
    step: specification.Step,
    instance: instances.Instance,
    model: interference.Model,
    now: float,
) -> float:
    """Return at which part of its speed a best-effort task would work.

    Bounded by the processors that are left, and by the pressure that the
    serving tasks bear at their mean load with all that is there already.
    """
    if not step.size.millicores:
        return 1.0
    serving = instance.serving
    if any(run.over_since for run in serving):
        return 0.0
    speed = estimate_unused(instance, model) / step.size.millicores
    # Tasks of one step bear the same.
    by_step = {run.step_name: run for run in serving}
    beside = [run.step for run in instance.fillers]
    threshold = model.get_threshold()
    for run in by_step.values():
        image = run.step.image
        load = model.expect_load(run.step_name, len(by_step))
        if model.get_bound(image, step.image) >= threshold:
            current = model.estimate_load(run, instance.address, now)
            load = max(load, current)
        room = model.estimate_limit() - _MARGIN - load
        pressure = _measure_pressure((*beside, step), run, instance, model)
        speed = min(speed, max(room, 0.0) / pressure if pressure else 1.0)
    return min(max(speed, 0.0), 1.0)


def _measure_pressure(
    steps: t.Iterable[specification.Step],
    serving: instances.Run,
    instance: instances.Instance,
    model: interference.Model,
) -> float:
    """Return with how much tasks may press on a serving one together."""
    image = serving.step.image
    capacity = max(instance.capacity.millicores, 1)
    return sum(
        model.get_bound(image, step.image) * step.size.millicores / capacity
        for step in steps
    )


def _choose_fastest(
    task: board.Task,
    fitting: t.Iterable[instances.Instance],
    model: interference.Model,
    least_speed: float,
    now: float,
) -> instances.Instance | None:
    best: instances.Instance | None = None
    best_score: _Score = ()
    for instance in fitting:
        speed = estimate_speed(task.step, instance, model, now)
        if speed < least_speed:
            continue
        remote = _is_remote(task, instance)
        avoided = instance.address in task.avoid
        score = (avoided, remote, -speed, -estimate_unused(instance, model))
        if best is None or score < best_score:
            best = instance
            best_score = score
    return best


def _is_remote(task: board.Task, instance: instances.Instance) -> bool:
    return bool(task.step.data_rack) and task.step.data_rack != instance.rack


def _score(
    task: board.Task,
    instance: instances.Instance,
    model: interference.Model,
) -> _Score:
    avoided = instance.address in task.avoid
    remote = _is_remote(task, instance)
    if task.step.latency_target_ms:
        images = {run.step.image for run in instance.serving}
        others = len(images - {task.step.image})
        size = 0 if images else instance.capacity.millicores
        return (avoided, remote, others, not images, size)
    return (avoided, remote, -estimate_unused(instance, model))
