"""Dispatch of quick requests from an entry to backend servers."""

import contextlib
import random
import time
import typing as t

import anyio

from persimmonsail.callers import claims as claims_module
from persimmonsail.callers import replays as replays_module
from persimmonsail.callers import sending
from persimmonsail.catalogues import revisions
from persimmonsail import control_pb2
from persimmonsail.decisions import fleet as fleet_module
from persimmonsail.decisions import hedging
from persimmonsail.decisions import retries
from persimmonsail.decisions import routing
from persimmonsail.decisions import shedding
from persimmonsail import exceptions
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail import metrics
from persimmonsail import problems
from persimmonsail.sidecars import backends

_MAX_ATTEMPTS = 4
_RETRY_AFTER_SECONDS = 1.0
# Reasons that report a changed instance rather than overload: a retry
# costs no more than the first attempt would have, so it uses no budget.
_NOT_OVERLOAD_REASONS = frozenset(
    (
        'leaving',
        'the backend server is leaving',
        backends.NO_CONNECTION,
        'other incarnation',
        'issued too long ago',
        'stale revision',
        'not connected',
    )
)
_NOT_BARRED_REASONS = frozenset(
    ('other incarnation', 'issued too long ago', 'not connected')
)


class QuickPath:
    """Sends quick requests; use inside ``async with``."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        links: links_module.Links,
        view: revisions.View,
        zone: str,
        generator: random.Random,
        claims: claims_module.Claims | None = None,
        shedder: shedding.Shedder | None = None,
    ) -> None:
        self._fleet = fleet
        self._view = view
        self._zone = zone
        self._router = routing.Router(
            fleet.estimator,
            time.monotonic,
            generator,
            routing.CROSS_ZONE_RTT_SECONDS,
        )
        self._claims = claims
        self._shedder = shedder or shedding.Shedder(fleet, generator)
        self._budget = retries.POLICIES['fraction']()
        self._hedging = hedging.POLICIES['percentile']()
        self._replays = replays_module.ReplayCache()
        self._sender = sending.Sender(fleet, links, view, self._hedging)

    async def __aenter__(self) -> 'QuickPath':
        self._exit_stack = contextlib.AsyncExitStack()
        await self._exit_stack.enter_async_context(self._sender)
        return self

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        return await self._exit_stack.__aexit__(*exc_info)

    async def send(
        self, request: sending.QuickRequest
    ) -> control_pb2.ExecuteReply:
        """Send a request and return its complete answer.

        Raises
        ------
        persimmonsail.problems.Problem
            If the request is refused, or its outcome is unknown.
        """
        if not request.key:
            with self._shedder.admit(request):
                return await self._send_once(request)
        fingerprint = claims_module.compute_fingerprint(request.body)
        key = f'{request.limits.owner}/{request.workload}/{request.key}'

        async def send_first() -> control_pb2.ExecuteReply:
            with self._shedder.admit(request):
                if request.limits.idempotent or self._claims is None:
                    return await self._send_once(request)
                return await self._send_claimed(request, key, fingerprint)

        return await self._replays.run(
            key, fingerprint, send_first, request.deadline
        )

    async def _send_once(
        self, request: sending.QuickRequest
    ) -> control_pb2.ExecuteReply:
        tried: set[str] = set()
        refusals: list[control_pb2.ExecuteReply] = []
        may_have_run = False
        for _ in range(_MAX_ATTEMPTS):
            instance = self._choose_next(request, tried, refusals)
            if instance is None:
                break
            if tried:
                metrics.RETRIES.increment(request.workload)
            tried.add(instance.name)
            if reason := self._view.find_staleness():
                refusals.append(_make_stale_reply(reason))
                break
            reply = await self._send_hedged(request, instance, tried)
            if reply.verdict == control_pb2.ANSWERED:
                self._budget.note_success()
                return reply
            if reply.verdict != control_pb2.NOT_RUN:
                if not request.limits.idempotent:
                    raise _make_unknown(reply.reason)
                may_have_run = True
            refusals.append(reply)
        if may_have_run:
            raise _make_unknown(refusals[-1].reason)
        raise _make_not_run(refusals)

    def _choose_next(
        self,
        request: sending.QuickRequest,
        tried: set[str],
        refusals: list[control_pb2.ExecuteReply],
    ) -> fleet_module.Instance | None:
        if refusals and not self._may_retry(refusals[-1]):
            return None
        instance = self._choose(request, tried)
        return instance if request.left > 0 else None

    def _may_retry(self, reply: control_pb2.ExecuteReply) -> bool:
        is_free = (
            reply.verdict == control_pb2.NOT_RUN
            and reply.reason in _NOT_OVERLOAD_REASONS
        )
        return is_free or self._budget.try_acquire()

    async def _send_claimed(
        self, request: sending.QuickRequest, key: str, fingerprint: str
    ) -> control_pb2.ExecuteReply:
        tried: set[str] = set()
        refusals: list[control_pb2.ExecuteReply] = []
        previous = None
        for _ in range(_MAX_ATTEMPTS):
            instance = self._choose_next(request, tried, refusals)
            if instance is None:
                break
            tried.add(instance.name)
            proposed = sending.make_claim(instance, fingerprint)
            if reason := self._view.find_staleness():
                refusals.append(_make_stale_reply(reason))
                break
            stored = await self._acquire_claim(key, proposed, previous)
            if stored.claim.fingerprint != fingerprint:
                raise problems.Problem(
                    422, 'Key reused', problems.NOT_RUN, 'another body'
                )
            reply = await self._sender.attempt(request, stored.claim)
            if reply.verdict == control_pb2.ANSWERED:
                return reply
            if reply.verdict != control_pb2.NOT_RUN:
                raise _make_unknown(reply.reason)
            refusals.append(reply)
            previous = stored
        if refusals and refusals[-1].reason in _NOT_BARRED_REASONS:
            # Another entry may have joined the claim and sent the attempt
            # in the meantime; only a barred attempt is certain not to run.
            raise _make_unknown(refusals[-1].reason)
        raise _make_not_run(refusals)

    async def _acquire_claim(
        self,
        key: str,
        proposed: claims_module.Claim,
        previous: claims_module.HeldClaim | None,
    ) -> claims_module.HeldClaim:
        try:
            return await self._claims.acquire(key, proposed, previous)
        except exceptions.StoreError as error:
            raise problems.Problem(
                503,
                'Not run',
                problems.NOT_RUN,
                f'the key can not be claimed: {error}',
                _RETRY_AFTER_SECONDS,
            ) from error

    def _choose(
        self, request: sending.QuickRequest, tried: set[str]
    ) -> fleet_module.Instance | None:
        live = self._fleet.list_live(request.limits.service)
        untried = [instance for instance in live if instance.name not in tried]
        if not untried:
            return None
        cost = self._router.choose(untried, request.workload, self._zone)
        chosen = cost.instance
        logs.write_event(
            'routing',
            request=request.id,
            workload=request.workload,
            chosen=chosen.name,
            incarnation=chosen.incarnation,
            score=cost.total,
            terms=cost.describe(),
            outstanding=chosen.outstanding,
            queued=chosen.queued,
            busy_slots=chosen.busy_slots,
            candidates=len(untried),
            refused=','.join(sorted(tried)) or '-',
            revision=self._view.revision,
        )
        return chosen

    async def _send_hedged(
        self,
        request: sending.QuickRequest,
        first: fleet_module.Instance,
        tried: set[str],
    ) -> control_pb2.ExecuteReply:
        """Send an attempt, and hedge it if the answer is late."""
        delay = None
        if request.limits.idempotent:
            delay = self._hedging.find_delay(request.workload)
        if delay is None or delay >= request.left:
            return await self._sender.attempt(
                request, sending.make_claim(first)
            )
        send, receive = anyio.create_memory_object_stream(2)

        async def run(instance: fleet_module.Instance) -> None:
            reply = await self._sender.attempt(
                request, sending.make_claim(instance)
            )
            await send.send(reply)

        with send, receive:
            async with anyio.create_task_group() as group:
                group.start_soon(run, first)
                attempt_count = 1
                reply = None
                with anyio.move_on_after(delay):
                    reply = await receive.receive()
                if reply is None:
                    attempt_count += self._start_hedge(
                        request, tried, group, run
                    )
                    reply = await self._receive_best(receive, attempt_count)
                group.cancel_scope.cancel()
        return reply

    def _start_hedge(self, request, tried, group, run) -> int:
        if not self._budget.try_acquire():
            return 0
        second = self._choose(request, tried)
        if second is None:
            return 0
        tried.add(second.name)
        logs.write_event('hedge', request=request.id, chosen=second.name)
        group.start_soon(run, second)
        return 1

    async def _receive_best(
        self, receive, attempt_count
    ) -> control_pb2.ExecuteReply:
        failure = None
        for _ in range(attempt_count):
            reply = await receive.receive()
            if reply.verdict == control_pb2.ANSWERED:
                return reply
            if failure is None or reply.verdict != control_pb2.NOT_RUN:
                failure = reply
        return failure


def _make_unknown(reason: str) -> problems.Problem:
    return problems.Problem(504, 'Outcome unknown', problems.UNKNOWN, reason)


def _make_stale_reply(reason: str) -> control_pb2.ExecuteReply:
    return control_pb2.ExecuteReply(verdict=control_pb2.NOT_RUN, reason=reason)


def _make_not_run(
    refusals: list[control_pb2.ExecuteReply],
) -> problems.Problem:
    if not refusals:
        reason = 'no backend server is known'
        return problems.Problem(
            503, 'Not run', problems.NOT_RUN, reason, _RETRY_AFTER_SECONDS
        )
    waits = [r.retry_after_seconds for r in refusals if r.retry_after_seconds]
    return problems.Problem(
        503,
        'Not run',
        problems.NOT_RUN,
        refusals[-1].reason,
        min(waits, default=_RETRY_AFTER_SECONDS),
    )
