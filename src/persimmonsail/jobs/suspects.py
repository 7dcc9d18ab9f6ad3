"""Handling of tasks under which worker agents have crashed.

Such a task is a suspect. It is started again isolated from other suspects. A
suspect whose crash followed its start immediately is started where the least
work would be lost, with no other start beside it, so that another crash is
evidence against it. One that has waited long for that is started beside a few
other suspects. Three immediate crashes, two of them such evidence, fail the
task's job. Slower crashes are weaker evidence, since an agent may crash by
itself in the same time, so more of them are required. A run that outlives the
time in which its crashes occurred clears its task.
"""

import enum

from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import instances
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import record
from persimmonsail import logs

_MILLISECONDS = 1000
# A run that began at most this long before the agent's last answer counts as
# having begun just before the crash.
RECENT_START_SECONDS = 0.5
RECENT_START_MS = round(RECENT_START_SECONDS * _MILLISECONDS)
# Minimum duration of a run that clears its task.
_MIN_CLEAR_SECONDS = 2.0
# Number of crashes after which a task's job fails, by the longest time in
# seconds from a start to the crash: the longer it is, the more likely an agent
# crashed by itself. At least _MIN_PROOFS of them have to be evidence against
# this task alone.
_MAX_CRASHES_BY_SECONDS = ((RECENT_START_SECONDS, 3), (2.0, 4))
_MAX_CRASHES = 5
_MIN_PROOFS = 2
# From _MAX_CRASHES on, this much evidence is enough.
_MIN_PROOFS_AT_LIMIT = 1
# Limit of the backoff between the crashes of a task without sufficient
# evidence against it.
_MAX_BACKOFF_SECONDS = 30.0
# Maximum share of a service's instances that is reserved for suspects.
_MAX_RESERVED_SHARE = 0.25
# How long a task waits for an instance of its own before it is started without
# one, by the number of its crashes. A task that lasts may be away for 9 s.
_ISOLATION_TIMEOUT_SECONDS = {1: 3.0, 2: 6.0}
# A task with this many crashes is probably the cause, and a start beside
# others would give no evidence. It waits longer, and for other such tasks.
_LIKELY_CAUSE_CRASHES = 3
_MAX_ISOLATION_TIMEOUT_SECONDS = 30.0
# Maximum number of suspects that are tried together on an instance, once they
# have waited that long. If its agent crashes, few innocent tasks are suspected
# again; if it does not, all of them are cleared.
MAX_BATCH = 4
# How long a start counts as a trial at most. Slower crashes rarely coincide.
_MAX_TRIAL_SECONDS = 1.5
# An instance qualifies for the trial of a suspect if no other run began there
# for this long: a run that began just before might equally be the cause of a
# crash.
_MIN_QUIET_SECONDS = 1.0
# A reserved instance that has not become quiet after this time accepts other
# work again.
_MAX_RESERVATION_SECONDS = 2.0
# How long no other run is started beside an isolated one: at least until a
# crash would be noticed. The maximum does not apply to tasks that are probably
# the cause: the next crash has to be evidence, however late it occurs.
_MIN_ISOLATION_SECONDS = 1.0
_MAX_ISOLATION_SECONDS = 4.0
# The next crash is expected within twice the longest time from a start to a
# crash so far, and at most this much later than it.
_MAX_EXCESS_SECONDS = 10.0
# Simultaneous crashes are all reported within this time.
_REPORT_WINDOW_SECONDS = 1.2
# How long a task that had just begun waits for reports of other crashes at the
# same time.
_START_DELAY_SECONDS = 0.3


class Obstacle(enum.StrEnum):
    """Why a suspect can't be started in isolation now."""

    # Other suspects have all instances that may be reserved.
    NO_TURN = 'no-turn'
    # None has capacity, or the advisor has approved none.
    NO_INSTANCE = 'no-instance'
    NO_WITNESS = 'no-witness'
    # None has capacity and fewer suspects than may be tried together.
    NO_BATCH = 'no-batch'


def note_obstacle(task: job_module.Task, obstacle: Obstacle) -> None:
    """Record what prevents a suspect's start; log each change."""
    if task.trial_obstacle == obstacle:
        return
    task.trial_obstacle = obstacle
    logs.write_event(
        'suspect-waits',
        task=task.name,
        run=task.state.run,
        crashes=task.state.crashes.total,
        obstacle=obstacle,
    )


def is_exhausted(task: job_module.Task) -> bool:
    """Return whether a task has crashed too many agents to be retried."""
    crashes = task.state.crashes
    if (
        crashes.total >= _MAX_CRASHES
        and crashes.proofs >= _MIN_PROOFS_AT_LIMIT
    ):
        return True
    if crashes.proofs < _MIN_PROOFS:
        return False
    max_crashes = next(
        (
            max_crashes
            for seconds, max_crashes in _MAX_CRASHES_BY_SECONDS
            if crashes.longest_ms <= seconds * _MILLISECONDS
        ),
        _MAX_CRASHES,
    )
    return crashes.total >= max_crashes


def choose_wait(task: job_module.Task, seconds: float) -> float:
    """Return how long a task waits after a crash was counted for it."""
    if is_exhausted(task):
        # Reports of simultaneous crashes elsewhere may still excuse it.
        return _REPORT_WINDOW_SECONDS
    excess = task.state.crashes.total - _MAX_CRASHES
    if excess >= 0:
        # Backs off, since inconclusive crashes would otherwise repeat without
        # end.
        return min(2.0**excess, _MAX_BACKOFF_SECONDS)
    return _START_DELAY_SECONDS if seconds <= RECENT_START_SECONDS else 0.0


def fail_exhausted(board: board_module.Board, now: float) -> None:
    """Fail the jobs of tasks that keep crashing the agents they start on."""
    for task in list(board.crash_suspects.values()):
        if task.key not in task.job.waiting or task.not_before > now:
            continue
        if not is_exhausted(task):
            continue
        crashes = task.state.crashes
        reason = f'{task.name} crashed {crashes.total} agents that started it'
        logs.write_warning(
            'job-given-up',
            job=task.job.id,
            task=task.name,
            run=task.state.run,
            crashes=crashes.total,
            proofs=crashes.proofs,
            longest_ms=crashes.longest_ms,
        )
        board.fail_job(task, reason)


def is_isolation_due(task: job_module.Task) -> bool:
    """Return whether a task is to be started in isolation.

    The members of a gang begin simultaneously, so that none of them can be
    isolated; if one fails, their job fails with it in any case.
    """
    is_exempt = task.state.crashes.beside or task.step.gang
    return task.is_suspect and not is_exempt


def needs_isolation(task: job_module.Task, now: float) -> bool:
    """Return whether a suspect must start in isolation or wait for it."""
    if not is_isolation_due(task):
        return False
    task.isolation_wait_since = task.isolation_wait_since or now
    total = task.state.crashes.total
    timeout = _ISOLATION_TIMEOUT_SECONDS.get(
        total, _MAX_ISOLATION_TIMEOUT_SECONDS
    )
    return now - task.isolation_wait_since <= timeout


def is_likely_cause(task: job_module.Task) -> bool:
    """Return whether a task is probably the cause of its crashes."""
    return task.state.crashes.total >= _LIKELY_CAUSE_CRASHES


def _find_clear_seconds(task: job_module.Task) -> float:
    """Return how long a suspect has to run to be cleared."""
    return max(_MIN_CLEAR_SECONDS, _estimate_trial_seconds(task))


def _find_isolation_seconds(task: job_module.Task) -> float:
    """Return how long no other run is started beside a suspect."""
    seconds = max(_MIN_ISOLATION_SECONDS, _estimate_trial_seconds(task))
    if is_likely_cause(task):
        return seconds
    return min(seconds, _MAX_ISOLATION_SECONDS)


def find_trial_seconds(task: job_module.Task) -> float:
    """Return how long a task's start is a trial; 0 if it needs none."""
    if not is_isolation_due(task):
        return 0.0
    return min(_estimate_trial_seconds(task), _MAX_TRIAL_SECONDS)


def _estimate_trial_seconds(task: job_module.Task) -> float:
    """Return the time within which a suspect's next crash is expected."""
    max_run_seconds = task.state.crashes.longest_ms / _MILLISECONDS
    excess = min(max_run_seconds, _MAX_EXCESS_SECONDS)
    return max_run_seconds + excess + RECENT_START_SECONDS


def may_reserve(usable: int, reserved: int) -> bool:
    """Return whether one more instance may be reserved for a suspect.

    Parameters
    ----------
    usable : int
        Instances of the service that accept new work and are not reserved.
    reserved : int
        Instances that are reserved.
    """
    max_reserved = max(1, int(_MAX_RESERVED_SHARE * (usable + reserved)))
    return reserved < max_reserved


def isolate(
    task: job_module.Task, run: instances.Run, instance: instances.Instance
) -> None:
    """Start no other run beside a suspect's run for a while."""
    run.isolation_seconds = _find_isolation_seconds(task)
    instance.isolated_run = run
    instance.reserved_until = 0.0


def has_no_recent_start(instance: instances.Instance, now: float) -> bool:
    """Return whether nothing else has begun there recently."""
    return instance.measure_seconds_since_start(now) > _MIN_QUIET_SECONDS


def reserve_instance(
    task: job_module.Task, instance: instances.Instance, now: float
) -> None:
    """Start no other run on an instance until a suspect is tried there."""
    instance.reserved_for = task.name
    instance.reserved_until = now + _MAX_RESERVATION_SECONDS
    logs.write_event(
        'instance-cleared',
        instance=instance.address,
        task=task.name,
        crashes=task.state.crashes.count,
        quiet_seconds=instance.measure_seconds_since_start(now),
    )


def clear_if_outlived(
    board: board_module.Board,
    task: job_module.Task,
    run: instances.Run,
    answered_at: float,
) -> None:
    """Clear a task whose run has outlived the time of its crashes.

    While a worker's agent does not answer, its sidecar reports the runs of the
    last poll. Those reports would clear a task that has just crashed the
    agent, so only the time until the agent's last answer counts.
    """
    if not task.state.crashes.total:
        return
    seconds = answered_at - run.observed_at
    if seconds <= _find_clear_seconds(task):
        return
    if task.is_suspect:
        run.suspect = False
        logs.write_event(
            'crash-cleared', task=run.task, run=run.number, seconds=seconds
        )
    crashes = record.Crashes(run=task.state.crashes.run)
    board.update_crashes(task, crashes)
