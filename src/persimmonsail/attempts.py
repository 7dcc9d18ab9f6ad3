"""A sidecar's record of attempts at quick requests."""

import collections
import dataclasses

import anyio

from persimmonsail import control_pb2

_KEPT = 4096


@dataclasses.dataclass
class Attempt:
    """One attempt; ``reply`` is set once its outcome is known."""

    id: str
    ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    reply: control_pb2.ExecuteReply | None = None

    def end(self, reply: control_pb2.ExecuteReply) -> None:
        """Note the outcome and wake whoever waits for it."""
        self.reply = reply
        self.ended.set()


class AttemptTable:
    """Remembers attempts, so that each runs at most once.

    An attempt that is asked about before it arrived is barred: a copy
    of the request delayed on the way would otherwise run after the
    caller was told that it did not.
    """

    def __init__(self, kept: int = _KEPT) -> None:
        self._kept = kept
        self._attempts: collections.OrderedDict[str, Attempt] = (
            collections.OrderedDict()
        )

    def find(self, attempt: str) -> Attempt | None:
        """Return an attempt that was begun or barred."""
        return self._attempts.get(attempt)

    def begin(self, attempt: str) -> Attempt:
        """Note a new attempt."""
        found = Attempt(attempt)
        self._attempts[attempt] = found
        self._forget_old()
        return found

    def bar(self, attempt: str) -> control_pb2.ExecuteReply:
        """Make sure that an attempt never runs."""
        reply = control_pb2.ExecuteReply(
            verdict=control_pb2.NOT_RUN, reason='barred'
        )
        self.begin(attempt).end(reply)
        return reply

    def _forget_old(self) -> None:
        while len(self._attempts) > self._kept:
            oldest = next(iter(self._attempts.values()))
            if oldest.reply is None:
                return
            self._attempts.popitem(last=False)
