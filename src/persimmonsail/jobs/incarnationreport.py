"""Conversion between an agent's incarnation and protocol messages."""

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
    report.boot = incarnation.boot
    report.silent_seconds = now - incarnation.answered_at
    report.lapsed = incarnation.is_lapsed(now)
    report.looked = incarnation.polled
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


def fill_crash(
    row: fleet_pb2.Crash, crash: incarnation_module.Crash, now: float
) -> None:
    """Fill in a crash and the runs that were there."""
    row.boot = crash.boot
    row.ago_seconds = now - crash.alive_at
    for run in crash.runs:
        row.runs.add(task=run.task, run=run.run, seconds=run.seconds)


def read_size(size: fleet_pb2.Size) -> specification.Size:
    """Convert a size that a leader has sent."""
    return specification.Size(
        size.millicores, size.memory_mib, size.accelerators
    )
