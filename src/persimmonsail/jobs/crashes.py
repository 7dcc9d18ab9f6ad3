"""Which task is held responsible when a worker's agent crashes under it.

Load pattern: one task ends every agent that starts it, within milliseconds,
and takes a dozen innocent runs with it each time. All of them have a crash
to their name, and one of them did it. Agents also crash for reasons of
their own, one at a time, by racks, or many at once.

A crash is counted for a run that began shortly before it. It tells of a
suspect if nothing else had begun within the time in which such crashes come,
or if it was there at more of them than the few others. To have begun beside
many that were never tried tells nothing: new bad tasks may be among them.
Where many instances crash at once, most likely no task has done it, but
several bad tasks may have: each task is excused so a few times only, and
one that had begun last is tried apart before it begins beside others again.
What follows for a task, suspects.py says.
"""

import dataclasses
import math
import typing as t

from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import instances
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import record
from persimmonsail.jobs import suspects as suspects_module
from persimmonsail import logs
from persimmonsail import metrics

# A run that had lasted for longer than this has nothing to do with its
# agent's crash.
_LONGEST_SECONDS = 20.0
# So few runs that began just before a crash can each be tried apart, and are
# hardly there by chance.
_FEW = 4
# One that was at fewer crashes before may have been there by chance.
_LEAST_TOLD = 2
# Runs that began within this time began together.
_TOGETHER_SECONDS = 0.04
# Agents that last answered within this time may have crashed together: each
# is asked about as often.
_MOMENT_SECONDS = 0.5
# For how long a moment is kept to compare others with.
_KEPT_SECONDS = 10.0
# An agent that is silent for so long may have crashed, too: it is asked, and
# its sidecar reports, each 0.45 s.
_SILENT_SECONDS = 1.0
# A task with so many crashes in a row, excused ones too, is excused no more.
_MOST_EXCUSED = 3
# With fewer instances than this crashing at once, it may be chance.
_LEAST_AT_ONCE = 3
# A line about a crash names so many other runs.
_NAMED = 4
_MILLISECONDS = 1000


_Suspect = tuple[job_module.Task, fleet_pb2.CrashedRun]


@dataclasses.dataclass(frozen=True)
class _Counted:
    """A crash that was counted for a task, and may be excused later."""

    task: job_module.Task
    proved: bool
    # Whether the task was among the last to begin there.
    last: bool


@dataclasses.dataclass
class _Moment:
    """Crashes that may have one cause, and what was counted for them."""

    at: float
    # When the first of them was heard of.
    heard_at: float
    addresses: set[str] = dataclasses.field(default_factory=set)
    counted: list[_Counted] = dataclasses.field(default_factory=list)

    def includes(
        self, address: str, at: float, began_at: float = -math.inf
    ) -> bool:
        """Tell whether a crash may be of this moment.

        An agent that crashes again does so at another one, however soon; so
        does one under a run that began when these were known already.
        """
        if address in self.addresses or began_at > self.heard_at:
            return False
        return abs(at - self.at) <= _MOMENT_SECONDS


class Tracker:
    """Counts crashes for tasks, over all instances.

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
        self._moments: list[_Moment] = []

    def note(
        self, instance: instances.Instance, crash: fleet_pb2.Crash, now: float
    ) -> None:
        """Take a crash in, before the runs that it ended are given up."""
        at = now - crash.ago_seconds
        latest = min((run.seconds for run in crash.runs), default=math.inf)
        moment = self._find_moment(instance.address, at, at - latest, now)
        moment.addresses.add(instance.address)
        suspects = self._list_suspects(crash)
        crashed = moment.addresses | self._find_silent(moment, now)
        if not self._is_at_once(crashed):
            self._count_all(moment, instance, crash, suspects, now)
            return
        self._withdraw(moment, now)
        excused = [row for row in suspects if _may_excuse(row[0])]
        for task, run in excused:
            self._excuse(task, run, _is_last(task, run, crash))
        logs.write_warning(
            'crash-at-once',
            instance=instance.address,
            boot=crash.boot,
            instances=len(crashed),
            runs=len(crash.runs),
            excused=len(excused),
        )
        others = [row for row in suspects if row not in excused]
        self._count_all(moment, instance, crash, others, now, telling=False)

    def _count_all(
        self,
        moment: _Moment,
        instance: instances.Instance,
        crash: fleet_pb2.Crash,
        suspects: list[_Suspect],
        now: float,
        telling: bool = True,
    ) -> None:
        """Count a crash for whoever may have done it."""
        few = sum(_is_just(run) for run in crash.runs) <= _FEW
        tried = _find_tried(suspects, crash)
        if tried is not None:
            # Whoever else was there has nothing to do with it.
            self._pass_over(suspects, tried)
            suspects = [row for row in suspects if row[0] is tried]
        told = _find_told(suspects, crash) if few else set()
        for task, run in suspects:
            alone = task.is_suspect and _is_alone(task, run, crash)
            proved = telling and (alone or task.name in told)
            last = _is_last(task, run, crash)
            self._count(task, run, proved, few or last)
            moment.counted.append(_Counted(task, proved, last))
            wait = suspects_module.choose_wait(task, run.seconds)
            task.not_before = max(task.not_before, now + wait)
            task.avoid.add(instance.address)
            _log(instance, crash, task, run)

    def _find_moment(
        self, address: str, at: float, began_at: float, now: float
    ) -> _Moment:
        self._moments = [
            moment
            for moment in self._moments
            if now - moment.at < _KEPT_SECONDS
        ]
        near = [
            one for one in self._moments if one.includes(address, at, began_at)
        ]
        if near:
            return min(near, key=lambda moment: abs(moment.at - at))
        self._moments.append(_Moment(at, now))
        return self._moments[-1]

    def _list_suspects(self, crash: fleet_pb2.Crash) -> list[_Suspect]:
        """Return the tasks that may have done it and were not looked at.

        A crash counts when it is learnt of, whoever led meanwhile; sidecars
        tell each leader of theirs anew, so that one may come again.
        """
        found = []
        for run in crash.runs:
            task = self._board.find(run.task)
            if task is None or task.job.phase.is_final:
                continue
            state = task.state
            if state.phase is record.TaskPhase.DONE or state.earlier_done:
                continue
            if not state.crashes.run < run.run <= state.run:
                continue
            if run.seconds <= _LONGEST_SECONDS:
                found.append((task, run))
        return found

    def _count(
        self,
        task: job_module.Task,
        run: fleet_pb2.CrashedRun,
        proved: bool,
        likely: bool,
    ) -> None:
        """Count a crash for a task, one of a few that may have done it."""
        before = task.state.crashes
        took_ms = round(run.seconds * _MILLISECONDS)
        crashes = before._replace(
            count=before.count + 1,
            longest_ms=max(before.longest_ms, took_ms),
            run=run.run,
            proofs=before.proofs + proved,
            beside=not before.total and not (likely and _is_just(run)),
        )
        self._board.note_crashes(task, crashes)

    def _excuse(
        self, task: job_module.Task, run: fleet_pb2.CrashedRun, last: bool
    ) -> None:
        """Hold a crash of many at once against a task no more than this.

        What began before others is hardly to blame, and waits for nothing,
        unless it was there before.
        """
        before = task.state.crashes
        took_ms = round(run.seconds * _MILLISECONDS)
        crashes = before._replace(
            excused=before.excused + 1,
            longest_ms=max(before.longest_ms, took_ms),
            run=run.run,
            beside=not (_is_just(run) and (last or before.total)),
        )
        self._board.note_crashes(task, crashes)

    def _pass_over(
        self,
        suspects: t.Sequence[_Suspect],
        tried: job_module.Task,
    ) -> None:
        """Have a crash not count for others when it is heard of again."""
        for task, run in suspects:
            if task is tried:
                continue
            if task.state.crashes.total and _may_excuse(task):
                self._excuse(task, run, last=False)
                continue
            crashes = task.state.crashes._replace(run=run.run)
            self._board.note_crashes(task, crashes)

    def _withdraw(self, moment: _Moment, now: float) -> None:
        """Excuse what was counted for a crash of many at once."""
        for counted in moment.counted:
            task = counted.task
            crashes = task.state.crashes
            if crashes.total > _MOST_EXCUSED or not crashes.count:
                # Excused too often, or cleared meanwhile.
                continue
            just = crashes.longest_ms <= suspects_module.JUST_MS
            likely = counted.last or crashes.total > 1
            withdrawn = crashes._replace(
                count=crashes.count - 1,
                proofs=crashes.proofs - counted.proved,
                excused=crashes.excused + 1,
                beside=not (just and likely),
            )
            self._board.note_crashes(task, withdrawn)
            task.not_before = min(task.not_before, now)
        moment.counted.clear()

    def _find_silent(self, moment: _Moment, now: float) -> set[str]:
        """Return what may have crashed then and isn't back yet."""
        return {
            instance.address
            for instance in self._list_fleet()
            if now - instance.answered_at > _SILENT_SECONDS
            and moment.includes(instance.address, instance.answered_at)
        }

    def _is_at_once(self, addresses: t.Collection[str]) -> bool:
        """Tell whether so many crashed that no task can have done it."""
        fleet = [one for one in self._list_fleet() if one.attached]
        crashed = [one for one in fleet if one.address in addresses]
        if len(crashed) < 2:
            return False
        least = min(_LEAST_AT_ONCE, len(fleet))
        if len(crashed) >= max(least, len(fleet) / 2):
            return True
        racks = {one.rack for one in crashed if one.rack}
        return any(_is_whole(rack, fleet, addresses) for rack in racks)


def _log(
    instance: instances.Instance,
    crash: fleet_pb2.Crash,
    task: job_module.Task,
    run: fleet_pb2.CrashedRun,
) -> None:
    crashes = task.state.crashes
    others = [other.task for other in crash.runs if other.task != run.task]
    metrics.CRASHES_COUNTED.increase(task.job.queue)
    logs.write_event(
        'crash-counted',
        task=run.task,
        run=run.run,
        instance=instance.address,
        boot=crash.boot,
        seconds=run.seconds,
        count=crashes.count,
        apart=crashes.apart,
        proofs=crashes.proofs,
        runs=len(crash.runs),
        others=' '.join(others[:_NAMED]),
    )


def _find_tried(
    suspects: t.Sequence[_Suspect], crash: fleet_pb2.Crash
) -> job_module.Task | None:
    """Return the suspect that was apart, if it was alone there indeed."""
    for task, run in suspects:
        # What the record says of being apart is of the last run.
        apart = task.state.crashes.apart and run.run == task.state.run
        if apart and _is_alone(task, run, crash):
            return task
    return None


def _find_told(
    suspects: t.Sequence[_Suspect], crash: fleet_pb2.Crash
) -> set[str]:
    """Return the tasks of the one job that was at more crashes than others.

    Which of its tasks it was makes no difference to the job.
    """
    most = max((task.state.crashes.count for task, _ in suspects), default=0)
    told = [row for row in suspects if row[0].state.crashes.count == most]
    if most < _LEAST_TOLD or len({task.job.id for task, _ in told}) > 1:
        return set()
    return {task.name for task, run in told if _is_last(task, run, crash)}


def _is_last(
    task: job_module.Task, run: fleet_pb2.CrashedRun, crash: fleet_pb2.Crash
) -> bool:
    """Tell whether no other job's run there began after this one."""
    return not _began_within(task, crash, run.seconds - _TOGETHER_SECONDS)


def _is_alone(
    task: job_module.Task, run: fleet_pb2.CrashedRun, crash: fleet_pb2.Crash
) -> bool:
    """Tell whether only its own job's runs may have crashed the agent."""
    just = suspects_module.JUST_SECONDS
    return not _began_within(task, crash, run.seconds + just)


def _began_within(
    task: job_module.Task, crash: fleet_pb2.Crash, seconds: float
) -> bool:
    """Tell whether a run of another job began so shortly before a crash."""
    prefix = f'{task.job.id}.'
    return any(
        other.seconds < seconds and not other.task.startswith(prefix)
        for other in crash.runs
    )


def _may_excuse(task: job_module.Task) -> bool:
    """Tell whether one more crash of many at once blames a task for nothing.

    Without a bound the same bad tasks, which begin together each time, look
    like a loss of power for ever.
    """
    return task.state.crashes.total < _MOST_EXCUSED


def _is_just(run: fleet_pb2.CrashedRun) -> bool:
    """Tell whether a run began just before the crash."""
    return run.seconds <= suspects_module.JUST_SECONDS


def _is_whole(
    rack: str,
    fleet: t.Iterable[instances.Instance],
    addresses: t.Collection[str],
) -> bool:
    there = [one.address for one in fleet if one.rack == rack]
    return len(there) > 1 and all(one in addresses for one in there)
