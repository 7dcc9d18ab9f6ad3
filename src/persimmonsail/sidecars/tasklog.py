"""Log events of a sidecar's tasks, which are evidence for the audit."""

import dataclasses
import time
import typing as t

from persimmonsail import control_pb2
from persimmonsail.decisions import admission
from persimmonsail import logs
from persimmonsail.sidecars import workers


def log_takeover(incarnation: str, view: workers.WorkerView) -> None:
    """Log that a worker was taken over, and the tasks it runs."""
    size = admission.Size(view.cores, view.memory_gb, view.accelerators)
    logs.write_event(
        'takeover',
        incarnation=incarnation,
        worker_boot=view.boot,
        **dataclasses.asdict(size),
    )
    for task in view.tasks:
        if task.phase == 'active':
            logs.write_event(
                'task-found',
                task=task.task,
                attempt=task.attempt,
                incarnation=incarnation,
                cores=task.cores,
                memory_gb=task.memory_gb,
                accelerators=task.accelerators,
            )


def log_dispatch(
    incarnation: str, request: control_pb2.StartTaskRequest
) -> None:
    """Log, before the worker is called, that an attempt may run.

    The evidence is then present even if the sidecar dies in the call.
    ``lease_seconds`` is the rest of the lease at this line's time.
    """
    logs.write_event(
        'task-dispatch',
        task=request.task,
        attempt=request.attempt,
        partition=request.partition,
        epoch=request.epoch,
        incarnation=incarnation,
        revision=request.revision,
        ticket=f'{request.ticket:.6f}',
        lease_seconds=_find_remaining_lease(request, time.monotonic()),
        checkpoint=logs.digest(request.checkpoint.encode()),
        **dataclasses.asdict(admission.read_size(request.size)),
    )


def log_renewal(
    incarnation: str,
    request: control_pb2.RenewRequest,
    verdict: str,
    requested_at: float,
) -> None:
    """Log, after the call, which leases were extended.

    The worker's own deadline is at most this line's time plus
    ``lease_seconds``, and at least that minus ``took``.
    """
    if not request.tasks:
        return
    logs.write_event(
        'renewal',
        partition=request.partition,
        epoch=request.epoch,
        incarnation=incarnation,
        ticket=f'{request.ticket:.6f}',
        lease_seconds=_find_remaining_lease(request, requested_at),
        verdict=verdict,
        took=time.monotonic() - requested_at,
        tasks=','.join(f'{ref.task}/{ref.attempt}' for ref in request.tasks),
    )


def log_freed(incarnation: str, commitment: str) -> None:
    """Log that an ended attempt's commitment was released.

    The first renewal of any partition that shows the end releases it;
    the attempt's own ``task-ended`` may follow later.
    """
    _, task, attempt = commitment.split('/')
    logs.write_event(
        'commitment-freed',
        task=task,
        attempt=attempt,
        incarnation=incarnation,
    )


def log_ended(
    incarnation: str, key: workers.Attempt, phase: str, checkpoint: str
) -> None:
    """Log that the worker no longer runs an attempt."""
    logs.write_event(
        'task-ended',
        task=key[0],
        attempt=key[1],
        incarnation=incarnation,
        phase=phase,
        checkpoint=logs.digest(checkpoint.encode()),
    )


def log_refused_epoch(partition: int, epoch: int, highest: int) -> None:
    """Log that a holder with a superseded epoch was refused."""
    logs.write_event(
        'epoch-refused', partition=partition, epoch=epoch, highest=highest
    )


def _find_remaining_lease(request: t.Any, now: float) -> float:
    return max(request.ticket + request.lease_seconds - now, 0.0)
