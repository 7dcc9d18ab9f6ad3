"""Application of sidecars' reports to the leader's view."""

import dataclasses
import typing as t

from persimmonsail.decisions import quarantine
from persimmonsail.jobs import advice
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import boots
from persimmonsail.jobs import crashes
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import instancehealth
from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import observations
from persimmonsail.jobs import suspects
from persimmonsail.jobs import throttling
from persimmonsail import logs

# A refused start is retried after this time, not in the same round.
_REFUSAL_BACKOFF_SECONDS = 0.1
# Varying capacity and leaving agents cause up to this many refusals of a
# start; one that is refused further, as no agent understands it, is retried
# with exponential backoff.
_MAX_PROMPT_RETRIES = 8
_MAX_DOUBLINGS = 6

# An agent's reason for refusing a start with an invalid permit.
_PERMIT_REFUSED = 'ticket'
# Its reason for refusing whatever it is ordered to start.
_AGENT_UNHEALTHY = 'unhealthy'

# A queue's slowdown is smoothed over about its last twenty runs. It is
# limited because beyond this value no task would be expected on time.
_SLOWDOWN_SMOOTHING = 0.05
_MAX_SLOWDOWN = 2.5
_MILLISECONDS = 1000


@dataclasses.dataclass
class Reaction:
    """The orders and actions that follow from a report.

    Attributes
    ----------
    stops : list of persimmonsail.jobs.instances.Run
        Runs that are unwanted, or whose state is uncertain.
    paces : list of persimmonsail.jobs.throttling.Change
        New speed limits of best-effort runs.
    replan : bool
        Whether work may be placed now that could not be before.
    """

    stops: list[instances.Run] = dataclasses.field(default_factory=list)
    paces: list[throttling.Change] = dataclasses.field(default_factory=list)
    replan: bool = False


class Reader:
    """Processes the reports of all instances.

    Parameters
    ----------
    board : persimmonsail.jobs.board.Board
        The leader's jobs.
    tracker : persimmonsail.decisions.quarantine.Tracker
        Distinguishes a faulty instance from a faulty job.
    model : persimmonsail.jobs.interference.Model
        Learns from each report how images interfere with each other.
    get_attempts : callable
        Returns how often a task of a queue may fail.
    approvals : persimmonsail.jobs.advice.Approvals
        The permits; those that instances refuse are removed.
    list_fleet : callable
        Returns all instances.
    """

    def __init__(
        self,
        board: board_module.Board,
        tracker: quarantine.Tracker,
        model: interference.Model,
        get_attempts: t.Callable[[str], int],
        approvals: advice.Approvals,
        list_fleet: t.Callable[[], t.Iterable[instances.Instance]] = tuple,
    ) -> None:
        self._approvals = approvals
        self._board = board
        self._health = instancehealth.HealthTracker(tracker)
        self._model = model
        self._get_attempts = get_attempts
        self._crashes = crashes.Tracker(board, list_fleet)
        # Ratio of actual to estimated running time, by queue.
        self.slowdowns: dict[str, float] = {}

    def read(
        self,
        instance: instances.Instance,
        report: fleet_pb2.Report,
        now: float,
    ) -> Reaction:
        """Apply a report and return the reaction to it."""
        reaction = Reaction()
        instance.note_report()
        # Before the runs that they ended are abandoned: a task's crashes
        # have to be counted before it waits to be placed again.
        for crash in report.crashes:
            self._crashes.note(instance, crash, now)
        pending = {(ref.task, ref.run) for ref in report.pending}
        self._abandon_ended_boots(instance, report, pending, reaction)
        instance.has_agent = bool(report.boot)
        instance.silent_seconds = report.silent_seconds
        instance.answered_at = now - report.silent_seconds
        if not report.boot:
            return reaction
        self._handle_boot(instance, report, reaction)
        if observations.note_description(instance, report, now):
            reaction.replan = True
        if report.looked and not report.truncated:
            instance.has_reported = True
        # Before anything that abandons runs: an end that a sidecar has read
        # is certain, whatever has happened to its worker's agent since.
        for ended in report.ended:
            if ended.number > instance.processed_end:
                self._handle_end(instance, ended, now)
                reaction.replan = True
        if report.lapsed:
            # The worker's agent may be permanently gone while its sidecar
            # stays up, even before the first poll; nothing else would
            # reveal that.
            if instance.runs:
                self.abandon_runs(instance, 'lapsed')
                reaction.replan = True
            return reaction
        if not report.looked:
            return reaction
        self._resolve_earlier_boots(instance, report, pending, reaction)
        for row in report.running:
            run = self._handle_running(instance, row, now)
            if run is not None and not observations.is_being_stopped(
                run, report, pending
            ):
                reaction.stops.append(run)
        reaction.stops += self._list_unwanted(instance, pending)
        for barred in report.barred:
            self._handle_barred(instance, barred, now)
            reaction.replan = True
        self._stop_absent(instance, report, pending, reaction)
        instancehealth.note_progress(instance, now)
        self._model.learn(instance, now)
        reaction.paces = throttling.choose_changes(instance, self._model, now)
        return reaction

    def pop_broken_gang_tasks(self) -> list[job_module.Task]:
        """Return the tasks that broke their gang since the last call."""
        broken = self._board.broken_gang_tasks
        self._board.broken_gang_tasks = []
        return broken

    def pop_superseded_tasks(self) -> list[job_module.Task]:
        """Return the tasks whose run became unneeded since the last call."""
        superseded = self._board.superseded_tasks
        self._board.superseded_tasks = []
        return superseded

    def is_last_placed(self, run: instances.Run) -> bool:
        """Return whether no other task of a run's job is placed."""
        task = self._board.find_task(run.task)
        return task is not None and task.job.placed_count <= 1

    def abandon_runs(self, instance: instances.Instance, reason: str) -> None:
        """Abandon all runs of an instance, as none can still exist."""
        for run in list(instance.runs.values()):
            self._abandon_run(instance, run, reason)

    def roll_back_claim(
        self, instance: instances.Instance, run: instances.Run
    ) -> None:
        """Return a task with a claimed but never ordered run to waiting."""
        instance.drop_run((run.task, run.number))
        task = self._board.find_task(run.task)
        if task is not None:
            self._end_run(task, run.number, board_module.End.NOT_STARTED, '')

    def _abandon_run(
        self, instance: instances.Instance, run: instances.Run, reason: str
    ) -> None:
        instance.drop_run((run.task, run.number))
        task = self._board.find_task(run.task)
        logs.write_event(
            'run-lost',
            task=run.task,
            run=run.number,
            instance=instance.address,
            reason=reason,
        )
        if task is not None:
            self._end_run(task, run.number, board_module.End.LOST, '')

    def _end_run(
        self,
        task: job_module.Task,
        run: int,
        end: board_module.End,
        checkpoint: str,
    ) -> bool:
        attempts = self._get_attempts(task.job.queue)
        return self._board.note_end(task, run, end, checkpoint, attempts)

    def _abandon_ended_boots(
        self,
        instance: instances.Instance,
        report: fleet_pb2.Report,
        pending: set[instances.RunId],
        reaction: Reaction,
    ) -> None:
        """Abandon the runs of boots that ended.

        Except for pending ones: a start that was sent to such a boot and
        got no answer may be executed by the next one.
        """
        # A sidecar of an earlier version reports no joined names.
        ended = {*report.over, *report.ended_boots}
        for key, run in list(instance.runs.items()):
            if run.boot in ended and key not in pending:
                self._abandon_run(instance, run, 'boot-over')
                reaction.replan = True

    def _resolve_earlier_boots(
        self,
        instance: instances.Instance,
        report: fleet_pb2.Report,
        pending: set[instances.RunId],
        reaction: Reaction,
    ) -> None:
        """Resolve runs of boots that are neither present nor reported ended.

        The sidecar has restarted since and doesn't know what it sent to
        them. What the present boot runs is there, whatever boot was claimed.
        A run that never was observed may still be started late, so it is
        left to be stopped as absent. Others have ended with their boots.
        """
        earlier = [
            (key, run)
            for key, run in instance.runs.items()
            if run.boot != instance.boot and key not in pending
        ]
        if not earlier:
            return
        running = {(row.task, row.run) for row in report.running}
        for key, run in earlier:
            if key in running:
                run.boot = instance.boot
            elif run.observed_at:
                self._abandon_run(instance, run, 'boot-changed')
                reaction.replan = True

    def _handle_boot(
        self,
        instance: instances.Instance,
        report: fleet_pb2.Report,
        reaction: Reaction,
    ) -> None:
        boot = boots.join(report.boot, report.born_ms)
        if instance.boot == boot:
            return
        logs.write_event(
            'instance-boot',
            instance=instance.address,
            boot=boot,
            before=instance.boot,
        )
        instance.boot = boot
        instance.processed_end = 0
        instance.committed_end = 0
        instance.acknowledged = 0
        instance.suspect_until = 0.0
        reaction.replan = True

    def _handle_end(
        self,
        instance: instances.Instance,
        ended: fleet_pb2.Ended,
        now: float,
    ) -> None:
        instance.processed_end = ended.number
        run = instance.drop_run((ended.task, ended.run))
        task = self._board.find_task(ended.task)
        end = _parse_end(ended)
        accepted = False
        if task is not None:
            accepted = self._end_run(task, ended.run, end, ended.checkpoint)
            if not accepted and end is board_module.End.DONE:
                accepted = self._board.accept_late_completion(task, ended.run)
        logs.write_event(
            'run-ended',
            task=ended.task,
            run=ended.run,
            how=ended.how,
            instance=instance.address,
            boot=instance.boot,
            number=ended.number,
            seconds=now - run.observed_at if run and run.observed_at else -1,
            used=accepted,
        )
        if run is not None and end is board_module.End.DONE:
            self._update_slowdown(run, now)
        if task is not None and end in _HEALTH_RELEVANT_ENDS:
            failed = end is board_module.End.FAILED
            self._health.note_end(instance, task.job.id, failed, now)

    def _update_slowdown(self, run: instances.Run, now: float) -> None:
        if not run.observed_at or not run.step.estimate_ms:
            return
        seconds = run.step.estimate_ms / _MILLISECONDS
        ratio = min(max((now - run.observed_at) / seconds, 1.0), _MAX_SLOWDOWN)
        average = self.slowdowns.get(run.queue, ratio)
        self.slowdowns[run.queue] = average + _SLOWDOWN_SMOOTHING * (
            ratio - average
        )

    def _handle_running(
        self,
        instance: instances.Instance,
        row: fleet_pb2.Running,
        now: float,
    ) -> instances.Run | None:
        """Apply a running row; return its run if it is unwanted."""
        task = self._board.find_task(row.task)
        run = instance.runs.get((row.task, row.run))
        if run is None:
            run = observations.adopt(instance, row, task, now)
        if not run.observed_at:
            instancehealth.note_accepted_start(instance)
        observations.note_progress(run, row, now)
        if task is not None:
            self._board.note_started(task.job)
        if not observations.is_wanted(task, run, instance):
            return run
        task.refusals = 0
        answered_at = instance.answered_at
        suspects.clear_if_outlived(self._board, task, run, answered_at)
        if row.checkpoint:
            self._board.note_checkpoint(task, row.checkpoint)
        stopping = run.phase is instances.RunPhase.STOPPING
        return run if stopping else None

    def _list_unwanted(
        self, instance: instances.Instance, pending: set[instances.RunId]
    ) -> list[instances.Run]:
        """Return the unwanted runs whose start is pending."""
        unwanted = []
        for key in pending:
            run = instance.runs.get(key)
            if run is None or run.phase is instances.RunPhase.STOPPING:
                continue
            task = self._board.find_task(run.task)
            if not observations.is_wanted(task, run, instance):
                unwanted.append(run)
        return unwanted

    def _handle_barred(
        self,
        instance: instances.Instance,
        barred: fleet_pb2.Barred,
        now: float,
    ) -> None:
        instance.drop_run((barred.task, barred.run))
        if barred.reason == _AGENT_UNHEALTHY:
            instancehealth.note_refusal(instance, now)
        task = self._board.find_task(barred.task)
        if task is None:
            return
        if barred.reason == _PERMIT_REFUSED:
            self._approvals.drop_permit(task.step_name, instance.boot)
        end = board_module.End.NOT_STARTED
        accepted = self._end_run(task, barred.run, end, '')
        if accepted:
            # Otherwise the run's end is already known: its stop was answered
            # after the end had been reported.
            task.refusals += 1
            backoff_end = now + _compute_backoff(task.refusals)
            task.not_before = max(task.not_before, backoff_end)
        logs.write_event(
            'run-barred',
            task=barred.task,
            run=barred.run,
            instance=instance.address,
            reason=barred.reason,
            used=accepted,
        )

    def _stop_absent(
        self,
        instance: instances.Instance,
        report: fleet_pb2.Report,
        pending: set[instances.RunId],
        reaction: Reaction,
    ) -> None:
        """Stop runs that are expected on an instance but absent.

        A start whose answer was lost may be executed seconds later; only
        an answered stop rules that out, so that the task can be placed
        again. While ends are missing from a report, a run that is not
        listed may have ended.
        """
        if report.truncated:
            return
        running = {(row.task, row.run) for row in report.running}
        for key, run in instance.runs.items():
            if key not in running | pending and run.order <= report.seen:
                reaction.stops.append(run)


_HEALTH_RELEVANT_ENDS = (board_module.End.DONE, board_module.End.FAILED)


def _parse_end(ended: fleet_pb2.Ended) -> board_module.End:
    try:
        return board_module.End(ended.how)
    except ValueError:
        # From a newer agent; the run has ended in any case and is rerun.
        logs.write_error(
            'end-unknown', task=ended.task, run=ended.run, how=ended.how
        )
        return board_module.End.LOST


def _compute_backoff(refusals: int) -> float:
    """Return a task's backoff after this many consecutive refusals."""
    doublings = min(max(refusals - _MAX_PROMPT_RETRIES, 0), _MAX_DOUBLINGS)
    return _REFUSAL_BACKOFF_SECONDS * 2**doublings
