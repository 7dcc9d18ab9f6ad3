"""What a report says of an instance and of the runs that are there."""

from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import instances
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import specification
from persimmonsail import logs

# Below this part of its target, or so many looks in a row below it, a
# serving run counts as within its target again.
_WELL_UNDER = 0.8
_UNDER_LOOKS = 2

# A run whose percent has not moved for so long stands still: looks are
# half a second apart, and a run that resumes needs 0.6 s first.
_STILL_SECONDS = 1.3
# Only runs that should move by 3 percent in that time tell anything.
_LONGEST_ESTIMATE_MS = 30_000
# One run may wait for something of its own; several don't.
_STILL_RUNS = 2
_FULL_PACE = 100

_UNKNOWN_STEP = specification.Step(count=1)


def adopt(
    instance: instances.Instance,
    row: fleet_pb2.Running,
    task: job_module.Task | None,
    now: float,
) -> instances.Run:
    """Count a run that is there although no claim named it here."""
    run = instances.Run(
        task=row.task,
        number=row.run,
        boot=instance.boot,
        step=task.step if task else _UNKNOWN_STEP,
        queue=task.job.queue if task else '',
        ordered_at=now,
        # Unknown; the first order says what it is to be.
        pace=0,
    )
    instance.add_run(run)
    return run


def note_progress(
    run: instances.Run, row: fleet_pb2.Running, now: float
) -> None:
    """Note how far a run is, and its gauge."""
    if run.phase is instances.RunPhase.ORDERED:
        run.phase = instances.RunPhase.RUNNING
    if not run.seen_at:
        run.seen_at = now
        run.moved_at = now
    if row.percent != run.percent:
        run.moved_at = now
    run.percent = row.percent
    run.gauge = row.gauge
    _note_target(run, now)


def _note_target(run: instances.Run, now: float) -> None:
    """Note since when a serving run has been over its target.

    A single gauge is off by half at times, so one that is just below
    the target ends nothing: the time over it would begin anew.
    """
    if not run.serves:
        return
    part = run.gauge / run.step.latency_target_ms
    if part > 1:
        run.over_since = run.over_since or now
        run.under_looks = 0
    elif run.over_since:
        run.under_looks += 1
        if part < _WELL_UNDER or run.under_looks >= _UNDER_LOOKS:
            run.over_since = 0.0


def note_description(
    instance: instances.Instance, report: fleet_pb2.Report, now: float
) -> bool:
    """Note what an instance is and has; tell whether room changed."""
    capacity = specification.Size(
        report.capacity.millicores,
        report.capacity.memory_mib,
        report.capacity.accelerators,
    )
    if report.leaving and not instance.leaving:
        instance.gone_at = now + report.remaining_seconds
        logs.write_event(
            'instance-leaving',
            instance=instance.address,
            remaining=report.remaining_seconds,
        )
    leaves = report.leaving != instance.leaving
    changed = leaves or capacity != instance.capacity
    instance.service = report.service
    instance.rack = report.rack
    instance.labels = tuple(report.labels)
    instance.capacity = capacity
    instance.leaving = report.leaving
    return changed


def stands_still(instance: instances.Instance, now: float) -> bool:
    """Tell whether nothing moves on an instance that should.

    Load pattern: the agent of one worker answers and reports as always,
    and its tasks stand still for seconds; it looks idle, since nothing
    ends there, and gets one new task after the other.
    """
    telling = [run for run in instance.runs.values() if _should_move(run)]
    still = [run for run in telling if now - run.moved_at > _STILL_SECONDS]
    return len(still) >= _STILL_RUNS and 2 * len(still) > len(telling)


def _should_move(run: instances.Run) -> bool:
    return (
        run.phase is instances.RunPhase.RUNNING
        and not run.step.long_running
        and not run.step.gang
        and run.pace == _FULL_PACE
        and 0 < run.step.estimate_ms <= _LONGEST_ESTIMATE_MS
    )


def is_being_stopped(
    run: instances.Run,
    report: fleet_pb2.Report,
    pending: set[instances.RunId],
) -> bool:
    """Tell whether the sidecar works on a run's stop, or will.

    A sidecar that was just restarted drops a stop that comes before it
    knows its worker's agent; the run would go on for ever.
    """
    if run.phase is not instances.RunPhase.STOPPING:
        return False
    return run.order > report.seen or (run.task, run.number) in pending


def is_wanted(
    task: job_module.Task | None,
    run: instances.Run,
    instance: instances.Instance,
) -> bool:
    """Tell whether a run is the one that its task is placed with."""
    return (
        task is not None
        and not task.job.phase.is_final
        and task.is_placed
        and not task.state.earlier_done
        and task.state.run == run.number
        and task.state.instance == instance.address
    )
