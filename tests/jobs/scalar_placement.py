"""Scalar reference implementation of placement.

Tests compare the vectorised ``persimmonsail.jobs.fleetsnapshot`` with it.
"""

import typing as t

from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import placement
from persimmonsail.jobs import specification

_HEADROOM = 0.03

_Score = tuple[float, ...]


def choose(
    task: job_module.Task,
    fleet: t.Iterable[instances.Instance],
    service: str,
    model: interference.Model,
    now: float,
    min_speed: float = placement.MIN_SPEED,
) -> instances.Instance | None:
    """Return the best instance with capacity for a task, if any."""
    candidates = placement.list_fitting(task, fleet, service, now)
    if task.step.best_effort_cpu:
        return _choose_fastest(task, candidates, model, min_speed, now)
    return min(candidates, key=lambda i: _score(task, i, model), default=None)


def estimate_unused(
    instance: instances.Instance, model: interference.Model
) -> float:
    """Return the estimated unused millicores of an instance."""
    use = model.estimate_serving_use()
    unused = float(instance.capacity.millicores)
    for run in instance.runs.values():
        used = use if run.serves else 1.0
        unused -= used * run.step.size.millicores
    return unused


def estimate_speed(
    step: specification.Step,
    instance: instances.Instance,
    model: interference.Model,
    now: float,
) -> float:
    """Return the speed of a best-effort task as a fraction of full speed.

    It is limited by the unused processors, and by the interference that the
    serving tasks tolerate at their mean load beside the best-effort tasks
    that already run there.
    """
    if not step.size.millicores:
        return 1.0
    serving = instance.serving
    if any(run.over_target_since for run in serving):
        return 0.0
    speed = estimate_unused(instance, model) / step.size.millicores
    # Tasks of one step tolerate the same interference.
    by_step = {run.step_name: run for run in serving}
    colocated = [run.step for run in instance.best_effort_runs]
    threshold = model.get_threshold()
    for run in by_step.values():
        image = run.step.image
        load = model.expect_load(run.step_name, len(by_step))
        if model.get_upper_bound(image, step.image) >= threshold:
            current = model.estimate_load(run, instance.address, now)
            load = max(load, current)
        headroom = model.estimate_limit() - _HEADROOM - load
        interference_load = _estimate_interference(
            (*colocated, step), run, instance, model
        )
        speed = min(
            speed,
            max(headroom, 0.0) / interference_load
            if interference_load
            else 1.0,
        )
    return min(max(speed, 0.0), 1.0)


def _estimate_interference(
    steps: t.Iterable[specification.Step],
    serving: instances.Run,
    instance: instances.Instance,
    model: interference.Model,
) -> float:
    """Return an upper bound of the tasks' combined interference."""
    image = serving.step.image
    capacity = max(instance.capacity.millicores, 1)
    return sum(
        model.get_upper_bound(image, step.image)
        * step.size.millicores
        / capacity
        for step in steps
    )


def _choose_fastest(
    task: job_module.Task,
    candidates: t.Iterable[instances.Instance],
    model: interference.Model,
    min_speed: float,
    now: float,
) -> instances.Instance | None:
    best: instances.Instance | None = None
    best_score: _Score = ()
    for instance in candidates:
        speed = estimate_speed(task.step, instance, model, now)
        if speed < min_speed:
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
        other_images = len(images - {task.step.image})
        size = 0 if images else instance.capacity.millicores
        return (avoided, remote, other_images, not images, size)
    return (avoided, remote, -estimate_unused(instance, model))
