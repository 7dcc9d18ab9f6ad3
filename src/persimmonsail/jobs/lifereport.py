"""What a sidecar reports of a life of its worker's agent."""

from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import life as life_module
from persimmonsail.jobs import specification


def fill(report: fleet_pb2.Report, life: life_module.Life, now: float) -> None:
    """Say how a life is, and what runs and has ended there."""
    heartbeat = life.heartbeat
    report.boot = life.boot
    report.silent_seconds = now - life.answered_at
    report.lapsed = life.is_lapsed(now)
    report.looked = life.looked
    report.service = heartbeat.service
    report.rack = heartbeat.rack
    report.labels.extend(heartbeat.labels)
    report.capacity.millicores = heartbeat.capacity.millicores
    report.capacity.memory_mib = heartbeat.capacity.memory_mib
    report.capacity.accelerators = heartbeat.capacity.accelerators
    report.leaving = heartbeat.leaving
    report.remaining_seconds = heartbeat.remaining_seconds
    for row in life.running.values():
        report.running.add(
            task=row.task,
            run=row.run,
            checkpoint=row.checkpoint,
            percent=row.percent,
            gauge=row.gauge,
        )
    for ended in life.ended.values():
        report.ended.add(
            number=ended.number,
            task=ended.task,
            run=ended.run,
            how=ended.how,
            checkpoint=ended.checkpoint,
        )
    for task, run in life.pending:
        report.pending.add(task=task, run=run)


def fill_crash(
    row: fleet_pb2.Crash, crash: life_module.Crash, now: float
) -> None:
    """Say what was there when a life ended unasked."""
    row.boot = crash.boot
    row.ago_seconds = now - crash.alive_at
    for run in crash.runs:
        row.runs.add(task=run.task, run=run.run, seconds=run.seconds)


def read_size(size: fleet_pb2.Size) -> specification.Size:
    """Return a size that a leader has sent."""
    return specification.Size(
        size.millicores, size.memory_mib, size.accelerators
    )
