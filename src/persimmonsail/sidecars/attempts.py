"""A sidecar's record of attempts at quick requests.

Each request carries the sidecar's clock as last observed by its entry.
A request issued longer ago than a window is refused, and the record of
an attempt is retained for longer than a request for it can be admitted.
Evicting a record therefore never lets a delayed copy of its request run.
"""

import collections
import dataclasses
import time
import typing as t

import anyio

from persimmonsail import control_pb2

WINDOW_SECONDS = 15.0
_MAX_RECORDS = 8192
_MAX_BYTES = 4_000_000
_ANSWER_EVICTED = 'it ran; its answer is no longer kept'


def read_clock() -> int:
    """Return this process's monotonic clock in milliseconds."""
    return int(time.monotonic() * 1000)


@dataclasses.dataclass
class Attempt:
    """One attempt; ``reply`` is set once its outcome is known.

    ``scope`` cancels the attempt's work while it runs.
    """

    id: str
    issued_ms: int
    ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    reply: control_pb2.ExecuteReply | None = None
    ended_ms: int = 0
    cancelled: bool = False


class AttemptTable:
    """Records attempts, so that each runs at most once.

    An attempt whose outcome is queried before its request has arrived
    is barred: the delayed request would otherwise run after the caller
    was notified that it did not.

    Parameters
    ----------
    window : float
        Seconds after which an issued request is refused.
    clock : callable, optional
        Returns monotonic milliseconds.
    max_records, max_bytes : int, optional
        Limits on records of ended attempts and on their answers.
    """

    def __init__(
        self,
        window: float = WINDOW_SECONDS,
        clock: t.Callable[[], int] = read_clock,
        max_records: int = _MAX_RECORDS,
        max_bytes: int = _MAX_BYTES,
    ) -> None:
        self._window_ms = int(window * 1000)
        self._clock = clock
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._floor_ms = 0
        self._bytes = 0
        self._running: dict[str, Attempt] = {}
        self._ended: collections.OrderedDict[str, Attempt] = (
            collections.OrderedDict()
        )
        self._with_body: collections.deque[Attempt] = collections.deque()

    def find(self, attempt: str) -> Attempt | None:
        """Return an attempt that was started or barred."""
        return self._running.get(attempt) or self._ended.get(attempt)

    def is_expired(self, issued_ms: int) -> bool:
        """Whether a request is too old, or was issued by another clock."""
        now = self._clock()
        oldest = max(now - self._window_ms, self._floor_ms + 1)
        return not oldest <= issued_ms <= now

    def begin(self, attempt: str, issued_ms: int) -> Attempt:
        """Record a new attempt."""
        found = Attempt(attempt, issued_ms)
        self._running[attempt] = found
        return found

    def end(self, attempt: Attempt, reply: control_pb2.ExecuteReply) -> None:
        """Record an attempt's outcome and wake its waiters."""
        attempt.reply = reply
        attempt.ended_ms = self._clock()
        self._running.pop(attempt.id, None)
        self._ended[attempt.id] = attempt
        if reply.body:
            self._bytes += len(reply.body)
            self._with_body.append(attempt)
        attempt.ended.set()
        self._evict_expired()

    def bar(
        self, attempt: str, issued_ms: int, reason: str = 'barred'
    ) -> control_pb2.ExecuteReply:
        """Reject an attempt permanently, so that it never runs."""
        reply = control_pb2.ExecuteReply(
            verdict=control_pb2.NOT_RUN, reason=reason
        )
        self.end(self.begin(attempt, issued_ms), reply)
        return reply

    def _evict_expired(self) -> None:
        oldest_ms = self._clock() - self._window_ms
        while self._ended:
            attempt = next(iter(self._ended.values()))
            over_limit = len(self._ended) > self._max_records
            if attempt.ended_ms >= oldest_ms and not over_limit:
                break
            # After an early eviction the attempt could run again from a
            # delayed copy; raising the floor refuses that copy.
            if attempt.ended_ms >= oldest_ms:
                self._floor_ms = max(self._floor_ms, attempt.issued_ms)
            del self._ended[attempt.id]
        self._evict_bodies()

    def _evict_bodies(self) -> None:
        while self._with_body:
            attempt = self._with_body[0]
            is_recorded = attempt.id in self._ended
            if is_recorded and self._bytes <= self._max_bytes:
                return
            self._with_body.popleft()
            self._bytes -= len(attempt.reply.body)
            attempt.reply = control_pb2.ExecuteReply(
                verdict=control_pb2.UNKNOWN, reason=_ANSWER_EVICTED
            )
