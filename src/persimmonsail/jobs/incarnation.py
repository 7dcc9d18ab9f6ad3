"""A sidecar's view of one incarnation of its worker's agent."""

import dataclasses
import math
import typing as t

from persimmonsail.jobs import latecalls
from persimmonsail.jobs import specification
from persimmonsail.jobs import worker as worker_module
from persimmonsail import logs

RunId = tuple[str, int]

_MILLISECONDS = 1000
# A snapshot taken just before a start may arrive after the start's answer; a
# run that is missing from a snapshot this much later is absent.
_REORDERING_WINDOW_MS = 100
# An agent without an answer for this long gets no new work and no new leases
# until it answers again; it is polled twice in this time.
UNREACHABLE_SECONDS = 1.0
# The agent's clock may be slow by 2% of a lease of 6 s, and it detects the
# end of a lease slightly late.
LAPSE_MARGIN_SECONDS = 0.5
# Without a heartbeat of the known service for this long, one of another
# service is the agent's own. Agents send one each second or so.
_FOREIGN_SECONDS = 5.0


@dataclasses.dataclass
class _ProvisionalRun:
    """An answered start, which an earlier snapshot does not contain."""

    clock_ms: int
    row: worker_module.RunningRow


@dataclasses.dataclass(frozen=True)
class CrashedRun:
    """A run that was, or may have been, on an agent when it crashed.

    ``seconds`` is a lower bound of its running time, by the agent's own
    clock, so that delayed messages don't extend it; 0 for an unanswered
    start.
    """

    task: str
    run: int
    seconds: float


@dataclasses.dataclass(frozen=True)
class Crash:
    """The unrequested and unannounced end of a boot.

    Attributes
    ----------
    boot : str
        The boot that ended.
    alive_at, failed_at : float
        When it was last known to be alive, and when a call first failed
        after that; the crash lies between the two. Seconds of the sidecar's
        clock.
    runs : tuple of CrashedRun
        The runs that were there, the latest start first.
    """

    boot: str
    alive_at: float
    failed_at: float
    runs: tuple[CrashedRun, ...]


class Incarnation:
    """Running runs, ended runs and clock of one boot of the agent.

    Attributes
    ----------
    heartbeat : persimmonsail.jobs.worker.Heartbeat
        The latest heartbeat.
    described_at : float
        When it arrived.
    acknowledged : int
        Ends up to this number are committed by the leader.
    pending : dict
        The sizes of runs with unsettled orders.
    stopping : set
        Runs whose stop was ordered and is not settled; none of them may be
        started, and no start of them retried.
    polled : bool
        Whether any poll of the agent has succeeded.
    truncated : bool
        Whether ends may be missing from the latest snapshot.
    fenced_epoch : int
        The highest epoch that the agent has received in a poll.
    terminated : bool
        Whether the boot has ended.
    failing : bool
        Whether the last poll failed.
    answered_at : float
        When the agent last answered.
    alive_at : float
        When the agent was last known to be alive, by an answer or a
        heartbeat.
    failed_at : float
        When the first call after that failed; 0 if none has.
    granted_until : float
        Upper bound of the leases granted, by answered or unanswered orders
        of this sidecar process or an earlier one.
    extended_until : float
        Time up to which an answered poll has extended the leases; 0 before
        the first one.
    discarded_end : int
        Ends up to this number are certainly discarded by the agent.
    late_calls : persimmonsail.jobs.latecalls.LateCalls
        Calls without an answer that the agent may execute late.
    usable_at : float
        From when on it gets new work: before that, a call to the agent's
        earlier boot may discard ends that nobody has read.
    """

    def __init__(
        self,
        heartbeat: worker_module.Heartbeat,
        now: float,
        earlier_calls: latecalls.LateCalls | None = None,
        earlier_leases_until: float = 0.0,
    ) -> None:
        self.heartbeat = heartbeat
        self.described_at = now
        self.late_calls = latecalls.LateCalls()
        if earlier_calls is not None:
            self.late_calls.inherit(earlier_calls, now)
        self.usable_at = self.late_calls.find_discards_end(now)
        self.acknowledged = 0
        self.pending: dict[RunId, specification.Size] = {}
        self.stopping: set[RunId] = set()
        self.sizes: dict[RunId, specification.Size] = {}
        self.running: dict[RunId, worker_module.RunningRow] = {}
        self.ended: dict[int, worker_module.EndedRow] = {}
        self.polled = False
        self.truncated = False
        self.fenced_epoch = 0
        self.terminated = False
        self.failing = False
        self.answered_at = now
        self.alive_at = now
        self.failed_at = 0.0
        self.granted_until = max(now, earlier_leases_until)
        self.extended_until = 0.0
        self.discarded_end = 0
        # Send time of each start that was, or may have been, executed and
        # whose run is not known to have ended.
        self._sent_at: dict[RunId, float] = {}
        # The agent's clock when each run was first known to be running, and
        # the starts that no answer has confirmed.
        self._began_ms: dict[RunId, int] = {}
        self._unanswered_starts: set[RunId] = set()
        # The agent's clock in its latest message.
        self._alive_ms = 0
        self._provisional_runs: dict[RunId, _ProvisionalRun] = {}
        self._clock_ms = 0
        self._clock_read_at = 0.0
        self._snapshot_ms = 0
        self._ignores_snapshots = False
        self._has_lapsed = False
        # The number of the next end to be read; 0 while it is not known.
        self._next_end = 0

    @property
    def boot(self) -> str:
        """The id of this incarnation."""
        return self.heartbeat.boot

    def note_answer(self, now: float) -> None:
        """Record that the agent has answered a call."""
        self.answered_at = now
        self.alive_at = now
        self.failed_at = 0.0

    def is_foreign(
        self, heartbeat: worker_module.Heartbeat, now: float
    ) -> bool:
        """Return whether a heartbeat of this boot is another program's.

        A boot has one service. Should the first heartbeat have been the other
        program's, the agent's own ones are accepted when it sends no more.
        """
        is_other = heartbeat.service != self.heartbeat.service
        return is_other and now - self.described_at < _FOREIGN_SECONDS

    def expects(self, heartbeat: worker_module.Heartbeat) -> bool:
        """Return whether a heartbeat of this boot is later than the last.

        Heartbeats of another service are counted by another program.
        """
        return (
            heartbeat.service != self.heartbeat.service
            or heartbeat.sequence > self.heartbeat.sequence
        )

    def note_heartbeat(
        self, heartbeat: worker_module.Heartbeat, now: float
    ) -> None:
        """Process a later heartbeat of this boot.

        It takes another route than answers do, so a call that failed before
        it is no evidence of the agent's end.
        """
        self.heartbeat = heartbeat
        self.described_at = now
        if not heartbeat.clock_ms or not self.knows_agent_clock:
            self.failed_at = 0.0
            return
        # It may have been delayed: only its clock shows when it was sent.
        self._alive_ms = max(self._alive_ms, heartbeat.clock_ms)
        ahead = (heartbeat.clock_ms - self._clock_ms) / _MILLISECONDS
        sent_at = min(self._clock_read_at + ahead, now)
        self.alive_at = max(self.alive_at, sent_at)
        if self.failed_at < self.alive_at:
            self.failed_at = 0.0

    def note_unanswered_call(self, now: float) -> None:
        """Record that a call got no answer."""
        self.failed_at = self.failed_at or now

    def note_failed_poll(self, error: Exception) -> None:
        """Record that a poll failed; log the first one in a row."""
        if not self.failing:
            logs.write_warning('worker-lost', boot=self.boot, error=error)
        self.failing = True

    @property
    def undiscarded_end(self) -> int:
        """Ends up to this number are still to be discarded; 0 for none."""
        if self.acknowledged <= self.discarded_end:
            return 0
        return self.acknowledged

    def note_start_sent(self, key: RunId, at: float) -> None:
        """Record that a start was sent and may have been executed."""
        # A snapshot may have shown the run before its start was answered,
        # and an unanswered start is sent again.
        if self._sent_at.get(key, -math.inf) == -math.inf:
            self._sent_at[key] = at

    def note_unanswered_start(self, key: RunId, at: float) -> None:
        """Record that a start was sent and got no answer."""
        self.note_start_sent(key, at)
        self._unanswered_starts.add(key)

    def discard_start(self, key: RunId) -> None:
        """Record that a start will certainly not be executed."""
        self._forget_start(key)

    def _forget_start(self, key: RunId) -> None:
        self._sent_at.pop(key, None)
        self._began_ms.pop(key, None)
        self._unanswered_starts.discard(key)

    def describe_crash(self, now: float) -> Crash:
        """Return what ran when this boot ended unexpectedly.

        A start that was sent after the first failed call can't have been
        executed: the boot had ended.
        """
        failed_at = self.failed_at or now
        runs = [
            CrashedRun(*key, self._measure_run(key, at))
            for key, at in self._sent_at.items()
            if at <= failed_at
        ]
        runs.sort(key=lambda run: (run.seconds, run.task))
        return Crash(self.boot, self.alive_at, failed_at, tuple(runs))

    def _measure_run(self, key: RunId, sent_at: float) -> float:
        """Return a lower bound of a run's running time in seconds."""
        began_ms = self._began_ms.get(key)
        if began_ms is not None:
            return max(self._alive_ms - began_ms, 0) / _MILLISECONDS
        if key in self._unanswered_starts:
            return 0.0
        return max(self.alive_at - sent_at, 0.0)

    def note_clock(self, clock_ms: int, now: float) -> None:
        """Record the agent's clock, read before ``now``."""
        self._alive_ms = max(self._alive_ms, clock_ms)
        if clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_read_at = now

    @property
    def knows_agent_clock(self) -> bool:
        """Whether times can be converted to the agent's clock."""
        return bool(self._clock_ms)

    def to_agent_clock(self, time: float) -> int | None:
        """Convert a time to the agent's clock, rounding early.

        The clock was read before its answer arrived, so the result is
        never later than the given time.
        """
        if not self.knows_agent_clock:
            return None
        ahead = time - self._clock_read_at
        return self._clock_ms + int(ahead * _MILLISECONDS)

    def is_lapsed(self, now: float) -> bool:
        """Return whether all runs have ended with their leases.

        An unreachable agent may still run everything until the last lease
        that any order can have granted has expired.
        """
        unanswered_seconds = now - self.answered_at
        bound = self.granted_until + LAPSE_MARGIN_SECONDS
        return unanswered_seconds > UNREACHABLE_SECONDS and now > bound

    def check_lapse(self, now: float) -> bool:
        """Return whether all leases have lapsed; log the first time."""
        lapsed = self.is_lapsed(now)
        if lapsed and not self._has_lapsed:
            logs.write_warning(
                'leases-lapsed',
                boot=self.boot,
                polled=self.polled,
                silent_seconds=now - self.answered_at,
                overdue_seconds=now - self.granted_until,
            )
        self._has_lapsed = lapsed
        return lapsed

    def apply_snapshot(
        self, snapshot: worker_module.Snapshot, now: float
    ) -> bool:
        """Apply a snapshot; return whether running or ended runs changed.

        Answers on different connections can be reordered, so a snapshot
        older than the last one is ignored.
        """
        if self.polled and snapshot.clock_ms < self._snapshot_ms:
            self._note_ignored_snapshot(snapshot)
            return False
        self._ignores_snapshots = False
        self._snapshot_ms = snapshot.clock_ms
        self.note_clock(snapshot.clock_ms, now)
        running = {(row.task, row.run): row for row in snapshot.running}
        ended_keys = {(row.task, row.run) for row in snapshot.ended}
        reported = running.keys() | ended_keys
        self._provisional_runs = {
            key: provisional
            for key, provisional in self._provisional_runs.items()
            if key not in reported
            and snapshot.clock_ms
            <= provisional.clock_ms + _REORDERING_WINDOW_MS
        }
        for key, provisional in self._provisional_runs.items():
            running[key] = provisional.row
        ended = {
            row.number: row
            for row in snapshot.ended
            if row.number > self.acknowledged
        }
        changed = (
            not self.polled
            or running.keys() != self.running.keys()
            or ended.keys() != self.ended.keys()
        )
        changed = changed or snapshot.truncated != self.truncated
        self._check_end_numbers(snapshot)
        self._note_truncation(snapshot)
        for key in self.running.keys() - running.keys():
            # It has ended, also if its end is not listed yet.
            self._forget_start(key)
        self.running = running
        self.ended = ended
        self.polled = True
        active = running.keys() | self.pending.keys()
        self.sizes = {k: s for k, s in self.sizes.items() if k in active}
        self._record_seen_runs(running.keys(), ended_keys, snapshot.clock_ms)
        return changed

    def _note_ignored_snapshot(self, snapshot: worker_module.Snapshot) -> None:
        if self._ignores_snapshots:
            return
        self._ignores_snapshots = True
        logs.write_event(
            'snapshot-ignored',
            boot=self.boot,
            clock_ms=snapshot.clock_ms,
            latest_ms=self._snapshot_ms,
            running=len(snapshot.running),
            ended=len(snapshot.ended),
        )

    def _note_truncation(self, snapshot: worker_module.Snapshot) -> None:
        if snapshot.truncated and not self.truncated:
            logs.write_event(
                'ends-truncated',
                boot=self.boot,
                listed=len(snapshot.ended),
                last=max(row.number for row in snapshot.ended),
                acknowledged=self.acknowledged,
            )
        self.truncated = snapshot.truncated

    def _check_end_numbers(self, snapshot: worker_module.Snapshot) -> None:
        """Report ends that the agent has discarded before they were read."""
        numbers = [row.number for row in snapshot.ended]
        first = min((n for n in numbers if n >= self._next_end), default=0)
        if self._next_end and first > self._next_end:
            logs.write_error(
                'ends-unread',
                boot=self.boot,
                first=self._next_end,
                last=first - 1,
                acknowledged=self.acknowledged,
            )
        if numbers:
            self._next_end = max(self._next_end, max(numbers) + 1)

    def _record_seen_runs(
        self,
        running: t.Collection[RunId],
        ended: t.Collection[RunId],
        clock_ms: int,
    ) -> None:
        for key in ended:
            self._forget_start(key)
        for key in running:
            # Started before this sidecar: its age is unknown.
            sent_at = self._sent_at.setdefault(key, -math.inf)
            if sent_at > -math.inf:
                self._began_ms.setdefault(key, clock_ms)

    def note_start_answered(
        self, order: worker_module.StartOrder, clock_ms: int, now: float
    ) -> None:
        """Record that a start was answered."""
        key = (order.task, order.run)
        row = worker_module.RunningRow(order.task, order.run, order.checkpoint)
        self.note_clock(clock_ms, now)
        self._began_ms.setdefault(key, clock_ms)
        self._provisional_runs[key] = _ProvisionalRun(clock_ms, row)
        self.running.setdefault(key, row)

    def has_ended(self, key: RunId) -> bool:
        """Return whether an end of a run awaits acknowledgement."""
        return any((r.task, r.run) == key for r in self.ended.values())

    def is_outcome_known(self, key: RunId) -> bool:
        """Return whether a run that is not running has ended, or never ran.

        While ends are missing from the snapshot, its end may be one of them.
        """
        return not self.truncated or self.has_ended(key)

    def fits_capacity(self) -> bool:
        """Return whether all runs and pending orders fit the capacity."""
        return specification.Size().fits(self.measure_free())

    def measure_free(self) -> specification.Size:
        """Return the capacity not taken by runs or pending orders."""
        free = self.heartbeat.capacity
        for key in self.running.keys() | self.pending.keys():
            free = free - self.sizes.get(key, specification.Size())
        return free
