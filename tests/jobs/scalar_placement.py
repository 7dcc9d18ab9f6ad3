"""Placing one task by looking at one instance after the other.

The plain form of what ``persimmonsail.jobs.places`` does with vectors,
which tests hold it to.
"""

import typing as t

from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import placement
from persimmonsail.jobs import specification

_MARGIN = 0.03

_Score = tuple[float, ...]


def choose(
    task: job_module.Task,
    fleet: t.Iterable[instances.Instance],
    service: str,
    model: interference.Model,
    now: float,
    least_speed: float = placement.LEAST_SPEED,
) -> instances.Instance | None:
    """Return the best instance that has room for a task, or nothing."""
    fitting = placement.list_fitting(task, fleet, service, now)
    if task.step.best_effort_cpu:
        return _choose_fastest(task, fitting, model, least_speed, now)
    return min(fitting, key=lambda i: _score(task, i, model), default=None)


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
    task: job_module.Task,
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


def _is_remote(task: job_module.Task, instance: instances.Instance) -> bool:
    return bool(task.step.data_rack) and task.step.data_rack != instance.rack


def _score(
    task: job_module.Task,
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
