"""Conversion between an agent's incarnation and protocol messages."""

import typing as t

from persimmonsail.jobs import boots
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import incarnation as incarnation_module
from persimmonsail.jobs import specification


def fill_report(
    report: fleet_pb2.Report,
    incarnation: incarnation_module.Incarnation,
    now: float,
) -> None:
    """Fill in an incarnation's state and its running and ended runs."""
    heartbeat = incarnation.heartbeat
    report.boot, report.born_ms = boots.split(incarnation.boot)
    report.silent_seconds = now - incarnation.answered_at
    report.lapsed = incarnation.check_lapse(now)
    report.looked = incarnation.polled
    report.truncated = incarnation.truncated
    report.deferred = now < incarnation.usable_at
    report.service = heartbeat.service
    report.rack = heartbeat.rack
    report.labels.extend(heartbeat.labels)
    report.capacity.millicores = heartbeat.capacity.millicores
    report.capacity.memory_mib = heartbeat.capacity.memory_mib
    report.capacity.accelerators = heartbeat.capacity.accelerators
    report.leaving = heartbeat.leaving
    report.remaining_seconds = heartbeat.remaining_seconds
    for row in incarnation.running.values():
        report.running.add(
            task=row.task,
            run=row.run,
            checkpoint=row.checkpoint,
            percent=row.percent,
            gauge=row.gauge,
        )
    for ended in incarnation.ended.values():
        report.ended.add(
            number=ended.number,
            task=ended.task,
            run=ended.run,
            how=ended.how,
            checkpoint=ended.checkpoint,
        )
    for task, run in incarnation.pending:
        report.pending.add(task=task, run=run)


def fill_ended_boots(
    report: fleet_pb2.Report, ended: t.Sequence[str], present: str
) -> None:
    """Fill in the boots that ended before the present one.

    Leaders of earlier versions abandon all runs whose boot has an id in
    ``over``, also those of the present boot if it has this id.
    """
    present_id, _ = boots.split(present)
    report.ended_boots.extend(ended)
    ids = dict.fromkeys(boots.split(boot)[0] for boot in ended)
    report.over.extend(id for id in ids if id != present_id)


def fill_crash(
    row: fleet_pb2.Crash, crash: incarnation_module.Crash, now: float
) -> None:
    """Fill in a crash and the runs that were there."""
    row.boot, row.born_ms = boots.split(crash.boot)
    row.ago_seconds = now - crash.alive_at
    for run in crash.runs:
        row.runs.add(task=run.task, run=run.run, seconds=run.seconds)


def read_size(size: fleet_pb2.Size) -> specification.Size:
    """Convert a size that a leader has sent."""
    return specification.Size(
        size.millicores, size.memory_mib, size.accelerators
    )
