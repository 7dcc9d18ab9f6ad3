"""What a sidecar knows of one life of its worker's agent."""

import dataclasses
import math
import typing as t

from persimmonsail.jobs import specification
from persimmonsail.jobs import worker as worker_module

RunId = tuple[str, int]

_MILLISECONDS = 1000
# A look that was made just before a start may be answered after it; what
# a look this much later still misses is not there.
_OVERTAKEN_MS = 100
# An agent that has not answered for so long gets no new work and no new
# leases, until it answers again; it is asked twice in this time.
SILENT_SECONDS = 1.0
# Its clock may be slow by 2% of a lease of 6 s, and it notices the end of
# a lease a little late.
LAPSE_MARGIN_SECONDS = 0.5


@dataclasses.dataclass
class _Provisional:
    """A start that was answered; a look made before it misses it."""

    clock_ms: int
    row: worker_module.RunningRow


@dataclasses.dataclass(frozen=True)
class CrashedRun:
    """A run that was, or may have been, on an agent that ended unasked.

    ``seconds`` is how long it has run for certain, by the agent's own clock,
    which no late message stretches; 0 for a start that was not answered.
    """

    task: str
    run: int
    seconds: float


@dataclasses.dataclass(frozen=True)
class Crash:
    """The end of a boot that nobody had asked for or announced.

    Attributes
    ----------
    boot : str
        The boot that ended.
    alive_at, failed_at : float
        When it last lived for certain, and when a call first failed after
        that; the crash lies between the two. Seconds of the sidecar's clock.
    runs : tuple of CrashedRun
        What ran there, the latest start first.
    """

    boot: str
    alive_at: float
    failed_at: float
    runs: tuple[CrashedRun, ...]


class Life:
    """Runs, ends and clock of one boot of the worker's agent.

    Attributes
    ----------
    heartbeat : persimmonsail.jobs.worker.Heartbeat
        The latest one.
    acknowledged : int
        Ends up to this number are committed by the leader.
    pending : dict
        The sizes of runs whose orders are not settled.
    stopping : set
        Runs whose stop was ordered and is not settled; none of them may be
        started, or its start repeated.
    looked : bool
        Whether its runs were read at all.
    fenced_epoch : int
        The highest epoch that the agent has seen in a look.
    over : bool
        Whether the boot has ended.
    failing : bool
        Whether the last look failed.
    answered_at : float
        When the agent last answered.
    alive_at : float
        When it last lived for certain: it has answered, or sent a heartbeat.
    failed_at : float
        When the first call after that failed; 0 if none has.
    granted_until : float
        Until when leases were granted at the most, by orders that were
        answered or not.
    extended_until : float
        Until when leases were extended by a look that was answered; 0 before
        the first one.
    """

    def __init__(self, heartbeat: worker_module.Heartbeat, now: float) -> None:
        self.heartbeat = heartbeat
        self.acknowledged = 0
        self.pending: dict[RunId, specification.Size] = {}
        self.stopping: set[RunId] = set()
        self.sizes: dict[RunId, specification.Size] = {}
        self.running: dict[RunId, worker_module.RunningRow] = {}
        self.ended: dict[int, worker_module.EndedRow] = {}
        self.looked = False
        self.fenced_epoch = 0
        self.over = False
        self.failing = False
        self.answered_at = now
        self.alive_at = now
        self.failed_at = 0.0
        self.granted_until = now
        self.extended_until = 0.0
        # When each run was sent that has, or may have, begun, and whose end
        # was not seen.
        self._sent: dict[RunId, float] = {}
        # The agent's clock when each was first known to run, and those of
        # which no answer has said that they do.
        self._began_ms: dict[RunId, int] = {}
        self._unanswered: set[RunId] = set()
        # The agent's clock in the latest message of it.
        self._alive_ms = 0
        self._provisional: dict[RunId, _Provisional] = {}
        self._clock_ms = 0
        self._clock_read_at = 0.0
        self._looked_ms = 0

    @property
    def boot(self) -> str:
        """The agent's life that this is."""
        return self.heartbeat.boot

    def note_answer(self, now: float) -> None:
        """Note that the agent has answered a call."""
        self.answered_at = now
        self.alive_at = now
        self.failed_at = 0.0

    def note_heartbeat(
        self, heartbeat: worker_module.Heartbeat, now: float
    ) -> None:
        """Take a later heartbeat of this boot in.

        It comes by another way than answers do, so that a call that has
        failed before tells nothing of the agent's end.
        """
        self.heartbeat = heartbeat
        if not heartbeat.clock_ms or not self.knows_agent_clock:
            self.failed_at = 0.0
            return
        # It may have been held up: only the clock tells when it was sent.
        self._alive_ms = max(self._alive_ms, heartbeat.clock_ms)
        ahead = (heartbeat.clock_ms - self._clock_ms) / _MILLISECONDS
        sent_at = min(self._clock_read_at + ahead, now)
        self.alive_at = max(self.alive_at, sent_at)
        if self.failed_at < self.alive_at:
            self.failed_at = 0.0

    def note_silence(self, now: float) -> None:
        """Note that a call got no answer."""
        self.failed_at = self.failed_at or now

    def note_sent(self, key: RunId, at: float) -> None:
        """Note that a start was sent and may have been carried out."""
        # A look may have shown the run before its start was answered, and a
        # start that was left unanswered is sent again.
        if self._sent.get(key, -math.inf) == -math.inf:
            self._sent[key] = at

    def note_unanswered(self, key: RunId, at: float) -> None:
        """Note that a start was sent, and whether it runs is not known."""
        self.note_sent(key, at)
        self._unanswered.add(key)

    def note_unsent(self, key: RunId) -> None:
        """Note that a start will certainly not be carried out."""
        self._forget(key)

    def _forget(self, key: RunId) -> None:
        self._sent.pop(key, None)
        self._began_ms.pop(key, None)
        self._unanswered.discard(key)

    def describe_crash(self, now: float) -> Crash:
        """Tell what ran when this boot ended, which nobody had asked for.

        Of a start that was sent after the first failed call nothing can
        have been carried out: the boot had ended.
        """
        failed_at = self.failed_at or now
        runs = [
            CrashedRun(*key, self._measure_run(key, at))
            for key, at in self._sent.items()
            if at <= failed_at
        ]
        runs.sort(key=lambda run: (run.seconds, run.task))
        return Crash(self.boot, self.alive_at, failed_at, tuple(runs))

    def _measure_run(self, key: RunId, sent_at: float) -> float:
        """Return for how many seconds a run has run for certain."""
        began_ms = self._began_ms.get(key)
        if began_ms is not None:
            return max(self._alive_ms - began_ms, 0) / _MILLISECONDS
        if key in self._unanswered:
            return 0.0
        return max(self.alive_at - sent_at, 0.0)

    def note_clock(self, clock_ms: int, now: float) -> None:
        """Note the agent's clock, read before ``now``."""
        self._alive_ms = max(self._alive_ms, clock_ms)
        if clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_read_at = now

    @property
    def knows_agent_clock(self) -> bool:
        """Whether moments can be told to the agent."""
        return bool(self._clock_ms)

    def to_agent_clock(self, moment: float) -> int | None:
        """Translate a moment to the agent's clock, rather too early.

        The clock was read before its answer arrived, so the result is
        never later than the moment itself.
        """
        if not self.knows_agent_clock:
            return None
        ahead = moment - self._clock_read_at
        return self._clock_ms + int(ahead * _MILLISECONDS)

    def is_lapsed(self, now: float) -> bool:
        """Tell whether all that ran has ended with its lease.

        An agent that can't be asked may still run everything, until the
        last lease that any order can have granted is over.
        """
        silent = now - self.answered_at
        bound = self.granted_until + LAPSE_MARGIN_SECONDS
        return silent > SILENT_SECONDS and now > bound

    def note_look(self, look: worker_module.Look, now: float) -> bool:
        """Take a look in; tell whether runs or ends changed.

        Answers on different connections overtake each other, so an older
        look than the last one is passed over.
        """
        if self.looked and look.clock_ms < self._looked_ms:
            return False
        self._looked_ms = look.clock_ms
        self.note_clock(look.clock_ms, now)
        running = {(row.task, row.run): row for row in look.running}
        ended_keys = {(row.task, row.run) for row in look.ended}
        seen = running.keys() | ended_keys
        self._provisional = {
            key: kept
            for key, kept in self._provisional.items()
            if key not in seen
            and look.clock_ms <= kept.clock_ms + _OVERTAKEN_MS
        }
        for key, kept in self._provisional.items():
            running[key] = kept.row
        ended = {
            row.number: row
            for row in look.ended
            if row.number > self.acknowledged
        }
        changed = (
            not self.looked
            or running.keys() != self.running.keys()
            or ended.keys() != self.ended.keys()
        )
        self.running = running
        self.ended = ended
        self.looked = True
        known = running.keys() | self.pending.keys()
        self.sizes = {k: s for k, s in self.sizes.items() if k in known}
        self._note_begun(running.keys(), ended_keys, look.clock_ms)
        return changed

    def _note_begun(
        self,
        running: t.Collection[RunId],
        ended: t.Collection[RunId],
        clock_ms: int,
    ) -> None:
        for key in ended:
            self._forget(key)
        for key in running:
            # Started before this sidecar was: how long ago isn't known.
            sent_at = self._sent.setdefault(key, -math.inf)
            if sent_at > -math.inf:
                self._began_ms.setdefault(key, clock_ms)

    def note_started(
        self, order: worker_module.StartOrder, clock_ms: int, now: float
    ) -> None:
        """Note that a start was answered."""
        key = (order.task, order.run)
        row = worker_module.RunningRow(order.task, order.run, order.checkpoint)
        self.note_clock(clock_ms, now)
        self._began_ms.setdefault(key, clock_ms)
        self._provisional[key] = _Provisional(clock_ms, row)
        self.running.setdefault(key, row)

    def has_ended(self, key: RunId) -> bool:
        """Tell whether an end of a run waits to be acknowledged."""
        return any((r.task, r.run) == key for r in self.ended.values())

    def has_room(self) -> bool:
        """Tell whether all runs and open orders fit the capacity."""
        return specification.Size().fits(self.measure_free())

    def measure_free(self) -> specification.Size:
        """Return the capacity that no run and no open order takes."""
        free = self.heartbeat.capacity
        for key in self.running.keys() | self.pending.keys():
            free = free - self.sizes.get(key, specification.Size())
        return free
