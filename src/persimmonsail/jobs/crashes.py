"""Attribution of worker agents' crashes to the tasks that were running.

Load pattern: one task crashes every agent that starts it, within milliseconds,
and ends a dozen unrelated runs each time. Every task that ran there is a
suspect, but only one of them caused the crash. Agents also crash for other
reasons, one at a time, by rack, or many simultaneously.

A crash is counted for a run that began shortly before it. It is evidence
against a suspect if no other run began within the time in which such crashes
occur, or if that suspect was present at clearly more crashes than the few
others. A start among many runs that were never tried is no evidence, since
other faulty tasks may be among them. If many instances crash simultaneously, a
common cause outside the tasks is likely, but several faulty tasks may also be
the cause. Each task is therefore excused only a few times, and a task that was
the last to begin is tried in isolation before it is colocated with others
again.
``suspects.py`` defines the consequences for a task.
"""

import dataclasses
import math
import typing as t

from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import boots
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import instances
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import record
from persimmonsail.jobs import suspects as suspects_module
from persimmonsail import logs
from persimmonsail import metrics

# A run that lasted longer is not related to its agent's crash.
_MAX_RUN_SECONDS = 42.0
# Up to this many recent runs can each be tried in isolation, and are unlikely
# to be present by chance.
_MAX_RECENT_RUNS = 4
# A suspect must have been present at this many crashes more than any other;
# a smaller lead may be chance.
_MIN_EXCESS_AS_EVIDENCE = 2
# Runs that began within this time count as having begun simultaneously.
_SAME_START_SECONDS = 0.04
# Agents whose last answers lie within this time may have crashed
# simultaneously: this is about the interval at which each agent is polled.
_GROUP_WINDOW_SECONDS = 0.5
# How long a group is retained for comparison with later crashes.
_GROUP_RETENTION_SECONDS = 10.0
# An agent that has not answered for this long may have crashed too: it is
# polled, and its sidecar reports, every 0.45 s.
_MAX_SILENCE_SECONDS = 1.0
# A task with this many crashes in a row, including excused ones, is not
# excused again.
_MAX_EXCUSED = 3
# Fewer simultaneous crashes than this may be coincidence. If suspects had just
# been started there, it is the likely explanation.
_MIN_SIMULTANEOUS = 3
# Maximum number of other runs named in a log line about a crash.
_MAX_LOGGED_RUNS = 4
_MILLISECONDS = 1000


_Suspect = tuple[job_module.Task, fleet_pb2.CrashedRun]


@dataclasses.dataclass(frozen=True)
class _CountedCrash:
    """A crash that was counted for a task and may be excused later."""

    task: job_module.Task
    is_conclusive: bool
    # Whether no run of another job began there after this task.
    began_last: bool


@dataclasses.dataclass
class _CrashGroup:
    """Crashes that may have a common cause, and what was counted for them."""

    at: float
    # When the first of them was reported.
    reported_at: float
    addresses: set[str] = dataclasses.field(default_factory=set)
    # Those where a suspect had just been started.
    trial_addresses: set[str] = dataclasses.field(default_factory=set)
    counted_crashes: list[_CountedCrash] = dataclasses.field(
        default_factory=list
    )

    def includes(
        self, address: str, at: float, began_at: float = -math.inf
    ) -> bool:
        """Return whether a crash may belong to this group.

        A repeated crash of the same agent belongs to another group, however
        soon it occurs. So does a crash under a run that began after this group
        was first reported.
        """
        if address in self.addresses or began_at > self.reported_at:
            return False
        return abs(at - self.at) <= _GROUP_WINDOW_SECONDS


class Tracker:
    """Counts crashes for tasks, across all instances.

    Parameters
    ----------
    board : persimmonsail.jobs.board.Board
        The leader's jobs.
    list_fleet : callable
        Returns all instances.
    """

    def __init__(
        self,
        board: board_module.Board,
        list_fleet: t.Callable[[], t.Iterable[instances.Instance]],
    ) -> None:
        self._board = board
        self._list_fleet = list_fleet
        self._groups: list[_CrashGroup] = []

    def note(
        self, instance: instances.Instance, crash: fleet_pb2.Crash, now: float
    ) -> None:
        """Record a crash, before the runs that it ended are marked as lost."""
        at = now - crash.ago_seconds
        min_run_seconds = min(
            (run.seconds for run in crash.runs), default=math.inf
        )
        group = self._find_group(
            instance.address, at, at - min_run_seconds, now
        )
        group.addresses.add(instance.address)
        suspects = self._list_suspects(crash)
        if any(_is_trial(task, run) for task, run in suspects):
            group.trial_addresses.add(instance.address)
        crashed = group.addresses | self._find_unreachable(group, now)
        unexplained = crashed
        if len(crashed) < _MIN_SIMULTANEOUS:
            unexplained = crashed - group.trial_addresses
        if not self._is_simultaneous(unexplained):
            # A power failure looks the same if trials explain a part of it.
            as_evidence = not (unexplained and self._is_simultaneous(crashed))
            self._count_suspects(
                group, instance, crash, suspects, now, as_evidence
            )
            return
        self._roll_back(group, now)
        excused = [row for row in suspects if _may_excuse(row[0])]
        for task, run in excused:
            self._excuse(task, run, _began_last(task, run, crash))
        logs.write_warning(
            'crash-at-once',
            instance=instance.address,
            boot=boots.join(crash.boot, crash.born_ms),
            instances=len(crashed),
            runs=len(crash.runs),
            excused=len(excused),
        )
        remaining = [row for row in suspects if row not in excused]
        self._count_suspects(
            group, instance, crash, remaining, now, as_evidence=False
        )

    def _count_suspects(
        self,
        group: _CrashGroup,
        instance: instances.Instance,
        crash: fleet_pb2.Crash,
        suspects: list[_Suspect],
        now: float,
        as_evidence: bool = True,
    ) -> None:
        """Count a crash for each task that may have caused it."""
        few_recent = (
            sum(_is_recent(run) for run in crash.runs) <= _MAX_RECENT_RUNS
        )
        isolated = _find_isolated(suspects, crash)
        if isolated is not None:
            # The isolated task explains the crash; the others are not related.
            self._skip_others(suspects, isolated)
            suspects = [row for row in suspects if row[0] is isolated]
        proven = _find_most_frequent(suspects, crash) if few_recent else set()
        for task, run in suspects:
            alone = task.is_suspect and _is_alone(task, run, crash)
            is_conclusive = as_evidence and (alone or task.name in proven)
            began_last = _began_last(task, run, crash)
            self._count(task, run, is_conclusive, few_recent or began_last)
            group.counted_crashes.append(
                _CountedCrash(task, is_conclusive, began_last)
            )
            wait = suspects_module.choose_wait(task, run.seconds)
            task.not_before = max(task.not_before, now + wait)
            task.avoid.add(instance.address)
            _log(instance, crash, task, run)

    def _find_group(
        self, address: str, at: float, began_at: float, now: float
    ) -> _CrashGroup:
        self._groups = [
            group
            for group in self._groups
            if now - group.at < _GROUP_RETENTION_SECONDS
        ]
        candidates = [
            one for one in self._groups if one.includes(address, at, began_at)
        ]
        if candidates:
            return min(candidates, key=lambda group: abs(group.at - at))
        self._groups.append(_CrashGroup(at, now))
        return self._groups[-1]

    def _list_suspects(self, crash: fleet_pb2.Crash) -> list[_Suspect]:
        """Return the tasks that may have caused a crash not yet counted.

        A crash counts when it is reported, whichever leader was active when it
        happened. Sidecars report their crashes to each new leader again, so
        the same crash may be reported twice.
        """
        found = []
        for run in crash.runs:
            task = self._board.find_task(run.task)
            if task is None or task.job.phase.is_final:
                continue
            state = task.state
            if state.phase is record.TaskPhase.DONE or state.earlier_done:
                continue
            if not state.crashes.run < run.run <= state.run:
                continue
            if run.seconds <= _MAX_RUN_SECONDS:
                found.append((task, run))
        return found

    def _count(
        self,
        task: job_module.Task,
        run: fleet_pb2.CrashedRun,
        is_conclusive: bool,
        likely: bool,
    ) -> None:
        """Count a crash for one of the tasks that may have caused it."""
        before = task.state.crashes
        run_ms = round(run.seconds * _MILLISECONDS)
        crashes = before._replace(
            count=before.count + 1,
            longest_ms=max(before.longest_ms, run_ms),
            run=run.run,
            proofs=before.proofs + is_conclusive,
            beside=not before.total and not (likely and _is_recent(run)),
        )
        self._board.update_crashes(task, crashes)

    def _excuse(
        self,
        task: job_module.Task,
        run: fleet_pb2.CrashedRun,
        began_last: bool,
    ) -> None:
        """Record one of many simultaneous crashes without counting it.

        A task that began before others is unlikely to be the cause, and is not
        isolated unless it was present at an earlier crash.
        """
        before = task.state.crashes
        run_ms = round(run.seconds * _MILLISECONDS)
        crashes = before._replace(
            excused=before.excused + 1,
            longest_ms=max(before.longest_ms, run_ms),
            run=run.run,
            beside=not (_is_recent(run) and (began_last or before.total)),
        )
        self._board.update_crashes(task, crashes)

    def _skip_others(
        self,
        suspects: t.Sequence[_Suspect],
        isolated: job_module.Task,
    ) -> None:
        """Record a crash as handled for all suspects but the isolated one.

        Otherwise it would be counted for them when it is reported again.
        """
        for task, run in suspects:
            if task is isolated:
                continue
            if task.state.crashes.total and _may_excuse(task):
                self._excuse(task, run, began_last=False)
                continue
            crashes = task.state.crashes._replace(run=run.run)
            self._board.update_crashes(task, crashes)

    def _roll_back(self, group: _CrashGroup, now: float) -> None:
        """Excuse the counted crashes of a group that proved simultaneous."""
        for counted in group.counted_crashes:
            task = counted.task
            crashes = task.state.crashes
            if crashes.total > _MAX_EXCUSED or not crashes.count:
                # Excused too often, or cleared in the meantime.
                continue
            recent = crashes.longest_ms <= suspects_module.RECENT_START_MS
            likely = counted.began_last or crashes.total > 1
            rolled_back = crashes._replace(
                count=crashes.count - 1,
                proofs=crashes.proofs - counted.is_conclusive,
                excused=crashes.excused + 1,
                beside=not (recent and likely),
            )
            self._board.update_crashes(task, rolled_back)
            task.not_before = min(task.not_before, now)
        group.counted_crashes.clear()

    def _find_unreachable(self, group: _CrashGroup, now: float) -> set[str]:
        """Return the instances that may have crashed then and are not back."""
        return {
            instance.address
            for instance in self._list_fleet()
            if now - instance.answered_at > _MAX_SILENCE_SECONDS
            and group.includes(instance.address, instance.answered_at)
        }

    def _is_simultaneous(self, addresses: t.Collection[str]) -> bool:
        """Return whether a common cause outside the tasks is likely.

        That is the case if at least half of the fleet crashed, or a whole
        rack.
        """
        fleet = [one for one in self._list_fleet() if one.attached]
        crashed = [one for one in fleet if one.address in addresses]
        if len(crashed) < 2:
            return False
        min_instances = min(_MIN_SIMULTANEOUS, len(fleet))
        if len(crashed) >= max(min_instances, len(fleet) / 2):
            return True
        racks = {one.rack for one in crashed if one.rack}
        return any(_is_rack_down(rack, fleet, addresses) for rack in racks)


def _log(
    instance: instances.Instance,
    crash: fleet_pb2.Crash,
    task: job_module.Task,
    run: fleet_pb2.CrashedRun,
) -> None:
    crashes = task.state.crashes
    others = [other.task for other in crash.runs if other.task != run.task]
    metrics.CRASHES_COUNTED.increment(task.job.queue)
    logs.write_event(
        'crash-counted',
        task=run.task,
        run=run.run,
        instance=instance.address,
        boot=boots.join(crash.boot, crash.born_ms),
        seconds=run.seconds,
        count=crashes.count,
        apart=crashes.apart,
        proofs=crashes.proofs,
        runs=len(crash.runs),
        others=' '.join(others[:_MAX_LOGGED_RUNS]),
    )


def _is_trial(task: job_module.Task, run: fleet_pb2.CrashedRun) -> bool:
    """Return whether a task had crashed before and had just begun again."""
    return run.seconds < suspects_module.find_trial_seconds(task)


def _find_isolated(
    suspects: t.Sequence[_Suspect], crash: fleet_pb2.Crash
) -> job_module.Task | None:
    """Return the suspect that ran in isolation, if it was really alone."""
    for task, run in suspects:
        # The record's ``apart`` refers to the latest run only.
        ran_isolated = task.state.crashes.apart and run.run == task.state.run
        if ran_isolated and _is_alone(task, run, crash):
            return task
    return None


def _find_most_frequent(
    suspects: t.Sequence[_Suspect], crash: fleet_pb2.Crash
) -> set[str]:
    """Return the tasks of the only job present at the most crashes.

    Which of the job's tasks caused them makes no difference to the job.
    """
    counts = {task.state.crashes.count for task, _ in suspects}
    max_count = max(counts, default=0)
    next_count = max(counts - {max_count}, default=0)
    if max_count - next_count < _MIN_EXCESS_AS_EVIDENCE:
        return set()
    most_frequent = [
        row for row in suspects if row[0].state.crashes.count == max_count
    ]
    if len({task.job.id for task, _ in most_frequent}) > 1:
        return set()
    return {
        task.name
        for task, run in most_frequent
        if _began_last(task, run, crash)
    }


def _began_last(
    task: job_module.Task, run: fleet_pb2.CrashedRun, crash: fleet_pb2.Crash
) -> bool:
    """Return whether no other job's run there began after this one."""
    return not _has_later_start(task, crash, run.seconds - _SAME_START_SECONDS)


def _is_alone(
    task: job_module.Task, run: fleet_pb2.CrashedRun, crash: fleet_pb2.Crash
) -> bool:
    """Return whether only runs of its own job may have crashed the agent."""
    recent = suspects_module.RECENT_START_SECONDS
    return not _has_later_start(task, crash, run.seconds + recent)


def _has_later_start(
    task: job_module.Task, crash: fleet_pb2.Crash, seconds: float
) -> bool:
    """Return whether another job's run began within this time of a crash."""
    prefix = f'{task.job.id}.'
    return any(
        other.seconds < seconds and not other.task.startswith(prefix)
        for other in crash.runs
    )


def _may_excuse(task: job_module.Task) -> bool:
    """Return whether a task may be excused once more.

    Without a limit, faulty tasks that always begin simultaneously would look
    like a power failure indefinitely.
    """
    return task.state.crashes.total < _MAX_EXCUSED


def _is_recent(run: fleet_pb2.CrashedRun) -> bool:
    """Return whether a run began just before the crash."""
    return run.seconds <= suspects_module.RECENT_START_SECONDS


def _is_rack_down(
    rack: str,
    fleet: t.Iterable[instances.Instance],
    addresses: t.Collection[str],
) -> bool:
    addresses_of_rack = [one.address for one in fleet if one.rack == rack]
    return len(addresses_of_rack) > 1 and all(
        one in addresses for one in addresses_of_rack
    )
