"""The way of a quick request from an entry to a backend server."""

import contextlib
import dataclasses
import random
import time
import typing as t
import uuid

import anyio

from persimmonsail import backends
from persimmonsail import catalogue
from persimmonsail import claims as claims_module
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import fleet as fleet_module
from persimmonsail import hedging
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail import metrics
from persimmonsail import problems
from persimmonsail import replays as replays_module
from persimmonsail import retries
from persimmonsail import revisions
from persimmonsail import routing
from persimmonsail import settlement
from persimmonsail import shedding

_MAX_ATTEMPTS = 4
_RETRY_AFTER = 1.0
_MAX_MARGIN = 0.25
_MARGIN = 0.1
_SETTLE_IDEMPOTENT = 0.5
# These say that an instance changed, not that it is overloaded: another
# try costs no more than the first one would have.
_NOT_LOAD = frozenset(
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
_NOT_BARRED = frozenset(
    ('other incarnation', 'issued too long ago', 'not connected')
)


@dataclasses.dataclass(frozen=True)
class QuickRequest:
    """A caller's quick request; the deadline is monotonic seconds."""

    id: str
    workload: str
    limits: catalogue.Workload
    body: bytes
    content_type: str
    deadline: float
    key: str = ''

    @property
    def left(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - time.monotonic()


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
        self._links = links
        self._view = view
        self._zone = zone
        self._router = routing.Router(
            fleet.estimator,
            time.monotonic,
            generator,
            routing.DISTANCE_SECONDS,
        )
        self._claims = claims
        self._shedder = shedder or shedding.Shedder(fleet, generator)
        self._settler = settlement.Settler(links)
        self._budget = retries.POLICIES['fraction']()
        self._hedging = hedging.POLICIES['percentile']()
        self._replays = replays_module.Replays()

    async def __aenter__(self) -> 'QuickPath':
        self._owned = contextlib.AsyncExitStack()
        self._group = await self._owned.enter_async_context(
            anyio.create_task_group()
        )
        return self

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        self._group.cancel_scope.cancel()
        return await self._owned.__aexit__(*exc_info)

    async def send(self, request: QuickRequest) -> control_pb2.ExecuteReply:
        """Return the whole answer.

        Raises
        ------
        persimmonsail.problems.Problem
            If the request is refused, or its outcome is unknown.
        """
        if not request.key:
            with self._shedder.admit(request):
                return await self._send_once(request)
        fingerprint = claims_module.take_fingerprint(request.body)
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
        self, request: QuickRequest
    ) -> control_pb2.ExecuteReply:
        tried: set[str] = set()
        refusals: list[control_pb2.ExecuteReply] = []
        may_have_run = False
        for _ in range(_MAX_ATTEMPTS):
            instance = self._choose_next(request, tried, refusals)
            if instance is None:
                break
            if tried:
                metrics.RETRIES.increase(request.workload)
            tried.add(instance.name)
            if reason := self._view.find_staleness():
                refusals.append(_describe_stale(reason))
                break
            reply = await self._race(request, instance, tried)
            if reply.verdict == control_pb2.ANSWERED:
                self._budget.note_success()
                return reply
            if reply.verdict != control_pb2.NOT_RUN:
                if not request.limits.idempotent:
                    raise _outcome_unknown(reply.reason)
                may_have_run = True
            refusals.append(reply)
        if may_have_run:
            raise _outcome_unknown(refusals[-1].reason)
        raise _not_run(refusals)

    def _choose_next(
        self,
        request: QuickRequest,
        tried: set[str],
        refusals: list[control_pb2.ExecuteReply],
    ) -> fleet_module.Instance | None:
        if refusals and not self._may_retry(refusals[-1]):
            return None
        instance = self._choose(request, tried)
        return instance if request.left > 0 else None

    def _may_retry(self, reply: control_pb2.ExecuteReply) -> bool:
        free = (
            reply.verdict == control_pb2.NOT_RUN and reply.reason in _NOT_LOAD
        )
        return free or self._budget.spend()

    async def _send_claimed(
        self, request: QuickRequest, key: str, fingerprint: str
    ) -> control_pb2.ExecuteReply:
        tried: set[str] = set()
        refusals: list[control_pb2.ExecuteReply] = []
        replaced = None
        for _ in range(_MAX_ATTEMPTS):
            instance = self._choose_next(request, tried, refusals)
            if instance is None:
                break
            tried.add(instance.name)
            wanted = _make_claim(instance, fingerprint)
            if reason := self._view.find_staleness():
                refusals.append(_describe_stale(reason))
                break
            held = await self._take_claim(key, wanted, replaced)
            if held.claim.fingerprint != fingerprint:
                raise problems.Problem(
                    422, 'Key reused', problems.NOT_RUN, 'another body'
                )
            reply = await self._attempt(request, held.claim)
            if reply.verdict == control_pb2.ANSWERED:
                return reply
            if reply.verdict != control_pb2.NOT_RUN:
                raise _outcome_unknown(reply.reason)
            refusals.append(reply)
            replaced = held
        if refusals and refusals[-1].reason in _NOT_BARRED:
            # Another entry may have joined the claim and have sent the
            # attempt meanwhile; only a barred attempt is sure not to run.
            raise _outcome_unknown(refusals[-1].reason)
        raise _not_run(refusals)

    async def _take_claim(
        self,
        key: str,
        wanted: claims_module.Claim,
        replaced: claims_module.HeldClaim | None,
    ) -> claims_module.HeldClaim:
        try:
            return await self._claims.take(key, wanted, replaced)
        except exceptions.StoreError as error:
            raise problems.Problem(
                503,
                'Not run',
                problems.NOT_RUN,
                f'the key can not be claimed: {error}',
                _RETRY_AFTER,
            ) from error

    def _choose(
        self, request: QuickRequest, tried: set[str]
    ) -> fleet_module.Instance | None:
        live = self._fleet.list_live(request.limits.service)
        fresh = [instance for instance in live if instance.name not in tried]
        if not fresh:
            return None
        cost = self._router.choose(fresh, request.workload, self._zone)
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
            candidates=len(fresh),
            refused=','.join(sorted(tried)) or '-',
            revision=self._view.revision,
        )
        return chosen

    async def _race(
        self,
        request: QuickRequest,
        first: fleet_module.Instance,
        tried: set[str],
    ) -> control_pb2.ExecuteReply:
        """Send an attempt, and a second one if the first is late."""
        delay = None
        if request.limits.idempotent:
            delay = self._hedging.find_delay(request.workload)
        if delay is None or delay >= request.left:
            return await self._attempt(request, _make_claim(first))
        send, receive = anyio.create_memory_object_stream(2)

        async def run(instance: fleet_module.Instance) -> None:
            reply = await self._attempt(request, _make_claim(instance))
            await send.send(reply)

        with send, receive:
            async with anyio.create_task_group() as group:
                group.start_soon(run, first)
                legs = 1
                reply = None
                with anyio.move_on_after(delay):
                    reply = await receive.receive()
                if reply is None:
                    legs += self._start_hedge(request, tried, group, run)
                    reply = await self._receive_best(receive, legs)
                group.cancel_scope.cancel()
        return reply

    def _start_hedge(self, request, tried, group, run) -> int:
        if not self._budget.spend():
            return 0
        second = self._choose(request, tried)
        if second is None:
            return 0
        tried.add(second.name)
        logs.write_event('hedge', request=request.id, chosen=second.name)
        group.start_soon(run, second)
        return 1

    async def _receive_best(self, receive, legs) -> control_pb2.ExecuteReply:
        worst = None
        for _ in range(legs):
            reply = await receive.receive()
            if reply.verdict == control_pb2.ANSWERED:
                return reply
            if worst is None or reply.verdict != control_pb2.NOT_RUN:
                worst = reply
        return worst

    async def _attempt(
        self, request: QuickRequest, claim: claims_module.Claim
    ) -> control_pb2.ExecuteReply:
        message = self._describe(request, claim)
        instance = self._fleet.find(claim.instance)
        if instance is not None:
            instance.outstanding += 1
        began = time.monotonic()
        try:
            reply = await self._call(request, message, claim)
        except anyio.get_cancelled_exc_class():
            # The loser of a hedge must not hold a slot for an answer
            # that nobody reads.
            if request.limits.idempotent:
                self._group.start_soon(
                    self._settler.cancel, message, claim.address
                )
            raise
        finally:
            if instance is not None:
                instance.outstanding -= 1
        metrics.ATTEMPTS.increase(control_pb2.Verdict.Name(reply.verdict))
        if reply.verdict == control_pb2.ANSWERED:
            seconds = time.monotonic() - began
            self._hedging.note_latency(request.workload, seconds)
        self._fleet.note_reply(claim.instance, claim.incarnation, reply)
        return reply

    async def _call(
        self,
        request: QuickRequest,
        message: control_pb2.ExecuteRequest,
        claim: claims_module.Claim,
    ) -> control_pb2.ExecuteReply:
        try:
            return await self._links.call(
                claim.address,
                control_grpc.SidecarStub,
                'Execute',
                message,
                max(request.left, 0),
            )
        except exceptions.LinkRefused as error:
            if not claim.joined:
                logs.write_event(
                    'not-connected', attempt=claim.attempt, error=error
                )
                return control_pb2.ExecuteReply(
                    verdict=control_pb2.NOT_RUN, reason='not connected'
                )
        except exceptions.LinkLost as error:
            logs.write_event('answer-lost', attempt=claim.attempt, error=error)
        deadline = request.deadline
        if request.limits.idempotent:
            deadline = min(deadline, time.monotonic() + _SETTLE_IDEMPOTENT)
        return await self._settler.settle(message, claim.address, deadline)

    def _describe(
        self, request: QuickRequest, claim: claims_module.Claim
    ) -> control_pb2.ExecuteRequest:
        limits = request.limits
        left = max(request.left, 0)
        # The sidecar gives up a little earlier, so that its verdict is
        # here when the caller's deadline comes.
        margin = min(left * _MARGIN, _MAX_MARGIN)
        return control_pb2.ExecuteRequest(
            attempt=claim.attempt,
            request=request.id,
            incarnation=claim.incarnation,
            revision=self._view.revision,
            workload=request.workload,
            team=limits.owner,
            size=control_pb2.Size(
                cores=limits.cores,
                memory_gb=limits.memory_gb,
                accelerators=limits.accelerators,
            ),
            timeout_seconds=left - margin,
            idempotent=limits.idempotent,
            urgent=limits.urgent,
            body=request.body,
            content_type=request.content_type,
            issued_ms=claim.issued_ms,
            resent=claim.joined,
        )


def _make_claim(
    instance: fleet_module.Instance, fingerprint: str = ''
) -> claims_module.Claim:
    return claims_module.Claim(
        attempt=uuid.uuid4().hex,
        instance=instance.name,
        incarnation=instance.incarnation,
        address=instance.address,
        issued_ms=instance.clock_ms,
        fingerprint=fingerprint,
    )


def _outcome_unknown(reason: str) -> problems.Problem:
    return problems.Problem(504, 'Outcome unknown', problems.UNKNOWN, reason)


def _describe_stale(reason: str) -> control_pb2.ExecuteReply:
    return control_pb2.ExecuteReply(verdict=control_pb2.NOT_RUN, reason=reason)


def _not_run(refusals: list[control_pb2.ExecuteReply]) -> problems.Problem:
    if not refusals:
        reason = 'no backend server is known'
        return problems.Problem(
            503, 'Not run', problems.NOT_RUN, reason, _RETRY_AFTER
        )
    waits = [r.retry_after_seconds for r in refusals if r.retry_after_seconds]
    return problems.Problem(
        503,
        'Not run',
        problems.NOT_RUN,
        refusals[-1].reason,
        min(waits, default=_RETRY_AFTER),
    )
