"""What a report says about an instance and its runs."""

from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import instances
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import specification
from persimmonsail import logs

# A serving run counts as within its target again below this share of the
# target, or after this many consecutive polls below the target itself.
_CLEARLY_UNDER_RATIO = 0.8
_MIN_POLLS_UNDER = 2

# A run whose percentage has not changed for this long is stalled: polls are
# half a second apart, and a run that resumes needs 0.6 s first.
_STALL_SECONDS = 1.3
# Only runs that should advance by at least 3 percent in that time are checked.
_MAX_ESTIMATE_MS = 30_000
# A single run may be waiting for a cause of its own; several at once are
# unlikely to.
_MIN_STALLED_RUNS = 2
_FULL_SPEED_PERCENT = 100

_UNKNOWN_STEP = specification.Step(count=1)


def adopt(
    instance: instances.Instance,
    row: fleet_pb2.Running,
    task: job_module.Task | None,
    now: float,
) -> instances.Run:
    """Account for a reported run that no claim placed here."""
    run = instances.Run(
        task=row.task,
        number=row.run,
        boot=instance.boot,
        step=task.step if task else _UNKNOWN_STEP,
        queue=task.job.queue if task else '',
        ordered_at=now,
        speed_limit_known=False,
    )
    instance.add_run(run)
    return run


def note_progress(
    run: instances.Run, row: fleet_pb2.Running, now: float
) -> None:
    """Record a run's progress and gauge."""
    if run.phase is instances.RunPhase.ORDERED:
        run.phase = instances.RunPhase.RUNNING
    if not run.observed_at:
        run.observed_at = now
        run.progressed_at = now
    if row.percent != run.percent:
        run.progressed_at = now
    run.percent = row.percent
    run.gauge = row.gauge
    _note_target(run, now)


def _note_target(run: instances.Run, now: float) -> None:
    """Record since when a serving run has exceeded its target.

    A single gauge is sometimes off by half, so one that is just below the
    target does not reset the time; it would start again from zero.
    """
    if not run.serves:
        return
    ratio = run.gauge / run.step.latency_target_ms
    if ratio > 1:
        run.over_target_since = run.over_target_since or now
        run.reports_within_target = 0
    elif run.over_target_since:
        run.reports_within_target += 1
        if (
            ratio < _CLEARLY_UNDER_RATIO
            or run.reports_within_target >= _MIN_POLLS_UNDER
        ):
            run.over_target_since = 0.0


def note_description(
    instance: instances.Instance, report: fleet_pb2.Report, now: float
) -> bool:
    """Record an instance's properties; return whether its capacity changed."""
    capacity = specification.Size(
        report.capacity.millicores,
        report.capacity.memory_mib,
        report.capacity.accelerators,
    )
    if report.leaving and not instance.leaving:
        instance.departs_at = now + report.remaining_seconds
        logs.write_event(
            'instance-leaving',
            instance=instance.address,
            remaining=report.remaining_seconds,
        )
    changed = (
        report.leaving != instance.leaving
        or report.deferred != instance.deferred
        or capacity != instance.capacity
    )
    instance.service = report.service
    instance.rack = report.rack
    instance.labels = tuple(report.labels)
    instance.capacity = capacity
    instance.leaving = report.leaving
    instance.deferred = report.deferred
    return changed


def is_stalled(instance: instances.Instance, now: float) -> bool:
    """Return whether an instance's runs make no progress although they should.

    Load pattern: a worker's agent responds and reports as usual while its
    tasks are stalled for seconds. The instance looks idle, since no run ends
    there, and keeps receiving new tasks.
    """
    checked_runs = [run for run in instance.runs.values() if _should_move(run)]
    stalled_runs = [
        run for run in checked_runs if now - run.progressed_at > _STALL_SECONDS
    ]
    return len(stalled_runs) >= _MIN_STALLED_RUNS and 2 * len(
        stalled_runs
    ) > len(checked_runs)


def _should_move(run: instances.Run) -> bool:
    return (
        run.phase is instances.RunPhase.RUNNING
        and not run.step.long_running
        and not run.step.gang
        and run.speed_limit_known
        and run.speed_limit == _FULL_SPEED_PERCENT
        and 0 < run.step.estimate_ms <= _MAX_ESTIMATE_MS
    )


def is_being_stopped(
    run: instances.Run,
    report: fleet_pb2.Report,
    pending: set[instances.RunId],
) -> bool:
    """Return whether the sidecar is stopping a run, or is about to.

    A restarted sidecar drops a stop that arrives before it knows its worker's
    agent; without this check the run would never be stopped.
    """
    if run.phase is not instances.RunPhase.STOPPING:
        return False
    return run.order > report.seen or (run.task, run.number) in pending


def is_wanted(
    task: job_module.Task | None,
    run: instances.Run,
    instance: instances.Instance,
) -> bool:
    """Return whether a run is the one its task is placed as."""
    return (
        task is not None
        and not task.job.phase.is_final
        and task.is_placed
        and not task.state.earlier_done
        and task.state.run == run.number
        and task.state.instance == instance.address
    )
