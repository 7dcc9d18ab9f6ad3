"""Which task is held responsible when a worker's agent crashes under it.

Load pattern: one task ends every agent that starts it, within milliseconds,
and takes a dozen innocent runs with it each time. All of them have a crash
to their name, and one of them did it. Agents also crash for reasons of
their own, one at a time, by racks, or many at once.

A crash is counted for a run that began shortly before it. It tells of a
suspect if nothing else had begun within the time in which such crashes come,
or if it was there at more of them than the few others. To have begun beside
many that were never tried tells nothing: new bad tasks may be among them.
Where many instances crash at once, no task has done it. What follows for a
task, suspects.py says.
"""

import dataclasses
import itertools
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
_TOGETHER_SECONDS = 0.05
# Agents that last answered within this time may have crashed together: each
# is asked about as often.
_MOMENT_SECONDS = 0.5
# For how long a moment is kept to compare others with.
_KEPT_SECONDS = 10.0
# An agent that is silent for so long may have crashed, too.
_SILENT_SECONDS = 0.7
# After a crash of many at once, so many of those that began last on each
# instance begin again one after the other, and so many in all: should some of
# them be to blame, their next crashes are told apart.
_LATEST = 2
_MOST_TURNS = 8
# With fewer instances than this crashing at once, it may be chance.
_LEAST_AT_ONCE = 3
# A line about a crash names so many other runs.
_NAMED = 4
_MILLISECONDS = 1000


_Suspect = tuple[job_module.Task, fleet_pb2.CrashedRun]


@dataclasses.dataclass
class _Moment:
    """Crashes that may have one cause, and what was counted for them."""

    at: float
    addresses: set[str] = dataclasses.field(default_factory=set)
    # Of these, the instances where a suspect had just been started again:
    # no common cause is needed for them.
    explained: set[str] = dataclasses.field(default_factory=set)
    # Each with whether the crash was proof.
    counted: list[tuple[job_module.Task, bool]] = dataclasses.field(
        default_factory=list
    )
    # What began last on each of the instances, whose crash was counted.
    latest: list[job_module.Task] = dataclasses.field(default_factory=list)

    def includes(self, address: str, at: float) -> bool:
        """Tell whether a crash may be of this moment.

        An agent that crashes again does so at another one, however soon.
        """
        near = abs(at - self.at) <= _MOMENT_SECONDS
        return near and address not in self.addresses


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
        self._in_turn: list[job_module.Task] = []

    def note(
        self, instance: instances.Instance, crash: fleet_pb2.Crash, now: float
    ) -> None:
        """Take a crash in, before the runs that it ended are given up."""
        at = now - crash.ago_seconds
        moment = self._find_moment(instance.address, at, now)
        moment.addresses.add(instance.address)
        suspects = self._list_suspects(crash)
        if any(_is_tried(task, run) for task, run in suspects):
            moment.explained.add(instance.address)
        crashed = moment.addresses - moment.explained
        crashed |= self._find_silent(moment, now)
        if not self._is_at_once(crashed):
            self._count_all(moment, instance, crash, suspects, now)
            return
        self._withdraw(moment, now)
        self._pass_over(suspects)
        self._put_in_turn(_list_latest(suspects))
        logs.write_warning(
            'crash-at-once',
            instance=instance.address,
            boot=crash.boot,
            instances=len(crashed),
            runs=len(crash.runs),
        )

    def _count_all(
        self,
        moment: _Moment,
        instance: instances.Instance,
        crash: fleet_pb2.Crash,
        suspects: list[_Suspect],
        now: float,
    ) -> None:
        """Count a crash for whoever may have done it."""
        moment.latest += _list_latest(suspects)
        few = sum(_is_just(run) for run in crash.runs) <= _FEW
        tried = _find_tried(suspects, crash)
        if tried is not None:
            # Whoever else was there has nothing to do with it.
            self._pass_over(suspects, tried)
            suspects = [row for row in suspects if row[0] is tried]
        told = _find_told(suspects, crash) if few else set()
        for task, run in suspects:
            alone = task.is_suspect and _is_alone(task, run, crash)
            proved = alone or task.name in told
            wait = self._count(moment, task, run, few, proved)
            task.not_before = max(task.not_before, now + wait)
            task.avoid.add(instance.address)
            _log(instance, crash, task, run)

    def _find_moment(self, address: str, at: float, now: float) -> _Moment:
        self._moments = [
            moment
            for moment in self._moments
            if now - moment.at < _KEPT_SECONDS
        ]
        for moment in self._moments:
            if moment.includes(address, at):
                return moment
        self._moments.append(_Moment(at))
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
        moment: _Moment,
        task: job_module.Task,
        run: fleet_pb2.CrashedRun,
        few: bool,
        proved: bool,
    ) -> float:
        """Count a crash for a task; return for how long it waits."""
        before = task.state.crashes
        took_ms = round(run.seconds * _MILLISECONDS)
        if not few and not before.count:
            # Too many began just now to try each of them apart.
            just_ms = round(suspects_module.JUST_SECONDS * _MILLISECONDS)
            took_ms = max(took_ms, just_ms + 1)
        crashes = before._replace(
            count=before.count + 1,
            longest_ms=max(before.longest_ms, took_ms),
            run=run.run,
            proofs=before.proofs + proved,
        )
        self._board.note_crashes(task, crashes)
        moment.counted.append((task, proved))
        return suspects_module.choose_wait(task, run.seconds)

    def _pass_over(
        self,
        suspects: t.Sequence[_Suspect],
        tried: job_module.Task | None = None,
    ) -> None:
        """Have a crash not count for tasks when it is heard of again."""
        for task, run in suspects:
            if task is not tried:
                crashes = task.state.crashes._replace(run=run.run)
                self._board.note_crashes(task, crashes)

    def _withdraw(self, moment: _Moment, now: float) -> None:
        """Take back what was counted for a crash of many at once."""
        for task, proved in moment.counted:
            crashes = task.state.crashes
            count = max(crashes.count - 1, 0)
            proofs = max(crashes.proofs - proved, 0)
            longest_ms = crashes.longest_ms if count else 0
            withdrawn = crashes._replace(
                count=count, longest_ms=longest_ms, proofs=proofs
            )
            self._board.note_crashes(task, withdrawn)
            task.not_before = min(task.not_before, now)
        moment.counted.clear()
        self._put_in_turn(moment.latest)
        moment.latest.clear()

    def _put_in_turn(self, tasks: t.Iterable[job_module.Task]) -> None:
        """Have tasks begin again one after the other."""
        kept = [
            task
            for task in self._in_turn
            if task.in_turn and not task.job.phase.is_final
        ]
        for task in tasks:
            if len(kept) < _MOST_TURNS and not task.in_turn:
                task.in_turn = True
                kept.append(task)
        self._in_turn = kept

    def _find_silent(self, moment: _Moment, now: float) -> set[str]:
        """Return what may have crashed then and isn't back yet."""
        return {
            instance.address
            for instance in self._list_fleet()
            if now - instance.answered_at > _SILENT_SECONDS
            and moment.includes(instance.address, instance.answered_at)
            and not _tries_suspect(instance)
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
    return {task.name for task, run in told if _is_latest(task, run, crash)}


def _is_latest(
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


def _list_latest(suspects: t.Iterable[_Suspect]) -> list[job_module.Task]:
    """Return what began last before a crash, of what had just begun."""
    just = (task for task, run in suspects if _is_just(run))
    return list(itertools.islice(just, _LATEST))


def _is_just(run: fleet_pb2.CrashedRun) -> bool:
    """Tell whether a run began just before the crash."""
    return run.seconds <= suspects_module.JUST_SECONDS


def _is_tried(task: job_module.Task, run: fleet_pb2.CrashedRun) -> bool:
    """Tell whether a run was a suspect that had just been started again."""
    return task.is_suspect and _is_just(run)


def _tries_suspect(instance: instances.Instance) -> bool:
    """Tell whether a suspect had just been started when it fell silent."""
    since = instance.answered_at - suspects_module.JUST_SECONDS
    return any(
        run.suspect and run.ordered_at >= since
        for run in instance.runs.values()
    )


def _is_whole(
    rack: str,
    fleet: t.Iterable[instances.Instance],
    addresses: t.Collection[str],
) -> bool:
    there = [one.address for one in fleet if one.rack == rack]
    return len(there) > 1 and all(one in addresses for one in there)
