"""Cached answers for callers that repeat an idempotency key."""

import collections
import dataclasses
import time
import typing as t

import anyio

from persimmonsail import control_pb2
from persimmonsail import problems

_RETENTION_SECONDS = 60.0
_MAX_ANSWERS = 1024
_MAX_BYTES = 4_000_000
_KEY_REUSED = 'the key was used before with another body'


@dataclasses.dataclass
class _Replay:
    fingerprint: str
    started_at: float
    ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    reply: control_pb2.ExecuteReply | None = None
    problem: problems.Problem | None = None


class ReplayCache:
    """Sends one request per key; repeats receive its answer."""

    def __init__(
        self,
        retention_seconds: float = _RETENTION_SECONDS,
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self._retention_seconds = retention_seconds
        self._clock = clock
        self._bytes = 0
        self._replays: collections.OrderedDict[str, _Replay] = (
            collections.OrderedDict()
        )

    async def run(
        self,
        key: str,
        fingerprint: str,
        send: t.Callable[[], t.Awaitable[control_pb2.ExecuteReply]],
        deadline: float,
    ) -> control_pb2.ExecuteReply:
        """Return a key's answer, sending the request if it is new.

        Parameters
        ----------
        key : str
            The idempotency key, qualified by owner and workload.
        fingerprint : str
            Identifies the request's body.
        send : callable
            Sends the request.
        deadline : float
            Monotonic seconds until which to wait for the answer to an
            earlier request with the same key.

        Raises
        ------
        persimmonsail.problems.Problem
            If the request is refused, or its outcome is unknown.
        """
        self._evict_expired()
        found = self._replays.get(key)
        if found is None:
            return await self._run_first(key, fingerprint, send)
        if found.fingerprint != fingerprint:
            raise problems.Problem(
                422, 'Key reused', problems.NOT_RUN, _KEY_REUSED
            )
        with anyio.move_on_after(max(deadline - time.monotonic(), 0)):
            await found.ended.wait()
        if found.reply is not None:
            return found.reply
        raise found.problem or _make_unknown('still running at the deadline')

    async def _run_first(
        self,
        key: str,
        fingerprint: str,
        send: t.Callable[[], t.Awaitable[control_pb2.ExecuteReply]],
    ) -> control_pb2.ExecuteReply:
        replay = _Replay(fingerprint, self._clock())
        self._replays[key] = replay
        try:
            replay.reply = await send()
            self._bytes += len(replay.reply.body)
            return replay.reply
        except problems.Problem as problem:
            replay.problem = problem
            raise
        finally:
            replay.ended.set()
            if replay.reply is None:
                # Not run, or unknown to this entry only: a repeat may
                # succeed where the first request did not.
                self._replays.pop(key, None)

    def _evict_expired(self) -> None:
        oldest = self._clock() - self._retention_seconds
        for key, replay in list(self._replays.items()):
            over_limit = (
                len(self._replays) > _MAX_ANSWERS or self._bytes > _MAX_BYTES
            )
            if replay.started_at >= oldest and not over_limit:
                return
            if replay.reply is None:
                continue
            self._bytes -= len(replay.reply.body)
            del self._replays[key]


def _make_unknown(reason: str) -> problems.Problem:
    return problems.Problem(504, 'Outcome unknown', problems.UNKNOWN, reason)
