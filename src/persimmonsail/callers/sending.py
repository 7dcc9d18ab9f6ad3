"""Attempts at quick requests, each tracked until its outcome is known."""

import contextlib
import dataclasses
import time
import typing as t
import uuid

import anyio

from persimmonsail.callers import claims as claims_module
from persimmonsail.callers import settlement
from persimmonsail.catalogues import catalogue
from persimmonsail.catalogues import revisions
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail.decisions import fleet as fleet_module
from persimmonsail.decisions import hedging as hedging_module
from persimmonsail import exceptions
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail import metrics

# How long to settle the lost answer of an idempotent request before it is
# sent again.
_IDEMPOTENT_SETTLE_SECONDS = 0.5
# The sidecar's timeout is shorter than the caller's by this fraction of the
# remaining time, up to the maximum.
_MARGIN_FRACTION = 0.1
_MAX_MARGIN_SECONDS = 0.25


@dataclasses.dataclass(frozen=True)
class QuickRequest:
    """A caller's quick request; ``deadline`` is in monotonic seconds."""

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


def make_claim(
    instance: fleet_module.Instance, fingerprint: str = ''
) -> claims_module.Claim:
    """Return the claim for a new attempt on an instance."""
    return claims_module.Claim(
        attempt=uuid.uuid4().hex,
        instance=instance.name,
        incarnation=instance.incarnation,
        address=instance.address,
        issued_ms=instance.clock_ms,
        fingerprint=fingerprint,
    )


class Sender:
    """Sends attempts; use inside ``async with``.

    Parameters
    ----------
    fleet : persimmonsail.decisions.fleet.Fleet
        Counts outstanding attempts and records each reply.
    links : persimmonsail.links.Links
        Connections to the sidecars.
    view : persimmonsail.catalogues.revisions.View
        The catalogue in force.
    hedging : persimmonsail.decisions.hedging.Hedging
        Records the latencies of answers.
    """

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        links: links_module.Links,
        view: revisions.View,
        hedging: hedging_module.Hedging,
    ) -> None:
        self._fleet = fleet
        self._links = links
        self._view = view
        self._hedging = hedging
        self._settler = settlement.Settler(links)

    async def __aenter__(self) -> 'Sender':
        self._exit_stack = contextlib.AsyncExitStack()
        self._group = await self._exit_stack.enter_async_context(
            anyio.create_task_group()
        )
        return self

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        self._group.cancel_scope.cancel()
        return await self._exit_stack.__aexit__(*exc_info)

    async def attempt(
        self, request: QuickRequest, claim: claims_module.Claim
    ) -> control_pb2.ExecuteReply:
        """Send an attempt and return its outcome.

        An attempt whose answer was lost is settled with its sidecar.
        """
        message = self._make_message(request, claim)
        instance = self._fleet.find(claim.instance)
        if instance is not None:
            instance.outstanding += 1
        started_at = time.monotonic()
        try:
            reply = await self._call(request, message, claim)
        except anyio.get_cancelled_exc_class():
            # The slower attempt of a hedged pair must not occupy a slot
            # for an answer that is discarded.
            if request.limits.idempotent:
                self._group.start_soon(
                    self._settler.cancel, message, claim.address
                )
            raise
        finally:
            if instance is not None:
                instance.outstanding -= 1
        metrics.ATTEMPTS.increment(control_pb2.Verdict.Name(reply.verdict))
        if reply.verdict == control_pb2.ANSWERED:
            seconds = time.monotonic() - started_at
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
            deadline = min(
                deadline, time.monotonic() + _IDEMPOTENT_SETTLE_SECONDS
            )
        return await self._settler.settle(message, claim.address, deadline)

    def _make_message(
        self, request: QuickRequest, claim: claims_module.Claim
    ) -> control_pb2.ExecuteRequest:
        limits = request.limits
        remaining = max(request.left, 0)
        # The sidecar times out slightly earlier, so that its verdict
        # arrives before the caller's deadline.
        margin = min(remaining * _MARGIN_FRACTION, _MAX_MARGIN_SECONDS)
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
            timeout_seconds=remaining - margin,
            idempotent=limits.idempotent,
            urgent=limits.urgent,
            body=request.body,
            content_type=request.content_type,
            issued_ms=claim.issued_ms,
            resent=claim.joined,
        )
