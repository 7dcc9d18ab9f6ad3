"""The way of a quick request from an entry to a backend server."""

import dataclasses
import random
import time
import uuid

from persimmonsail import catalogue
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import fleet as fleet_module
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail import metrics
from persimmonsail import problems
from persimmonsail import revisions
from persimmonsail import routing

_MAX_ATTEMPTS = 4
_LINK_GRACE = 0.5
_SETTLE_TIMEOUT = 1.0
_RETRY_AFTER = 1.0


@dataclasses.dataclass(frozen=True)
class QuickRequest:
    """A caller's quick request; the deadline is monotonic seconds."""

    id: str
    workload: str
    limits: catalogue.Workload
    body: bytes
    content_type: str
    deadline: float

    @property
    def left(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - time.monotonic()


class QuickPath:
    """Sends quick requests; settles attempts whose answers are lost."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        links: links_module.Links,
        view: revisions.View,
        zone: str,
        generator: random.Random,
    ) -> None:
        self._fleet = fleet
        self._links = links
        self._view = view
        self._zone = zone
        self._generator = generator

    async def send(self, request: QuickRequest) -> control_pb2.ExecuteReply:
        """Return the whole answer.

        Raises
        ------
        persimmonsail.problems.Problem
            If the request is refused, or its outcome is unknown.
        """
        tried: set[str] = set()
        reason = 'no backend server is known'
        for _ in range(_MAX_ATTEMPTS):
            instance = self._choose(request, tried)
            if instance is None or request.left <= 0:
                break
            if tried:
                metrics.RETRIES.increase(request.workload)
            tried.add(instance.name)
            if reason := self._view.find_staleness():
                break
            reply = await self._attempt(request, instance)
            if reply.verdict == control_pb2.ANSWERED:
                return reply
            if reply.verdict != control_pb2.NOT_RUN:
                if not request.limits.idempotent:
                    raise problems.Problem(
                        504, 'Outcome unknown', problems.UNKNOWN, reply.reason
                    )
            reason = reply.reason
        raise problems.Problem(
            503, 'Not run', problems.NOT_RUN, reason, _RETRY_AFTER
        )

    def _choose(
        self, request: QuickRequest, tried: set[str]
    ) -> fleet_module.Instance | None:
        live = self._fleet.list_live(request.limits.service)
        fresh = [instance for instance in live if instance.name not in tried]
        if not fresh:
            return None
        chosen = routing.POLICIES['sampled'](
            fresh, self._zone, self._generator
        )
        logs.write_event(
            'routing',
            request=request.id,
            workload=request.workload,
            chosen=chosen.name,
            incarnation=chosen.incarnation,
            score=routing.score(chosen, self._zone),
            candidates=len(fresh),
            revision=self._view.revision,
        )
        return chosen

    async def _attempt(
        self, request: QuickRequest, instance: fleet_module.Instance
    ) -> control_pb2.ExecuteReply:
        limits = request.limits
        message = control_pb2.ExecuteRequest(
            attempt=uuid.uuid4().hex,
            request=request.id,
            incarnation=instance.incarnation,
            revision=self._view.revision,
            workload=request.workload,
            team=limits.owner,
            size=control_pb2.Size(
                cores=limits.cores,
                memory_gb=limits.memory_gb,
                accelerators=limits.accelerators,
            ),
            timeout_seconds=request.left,
            idempotent=limits.idempotent,
            body=request.body,
            content_type=request.content_type,
        )
        instance.outstanding += 1
        try:
            reply = await self._links.call(
                instance.address,
                control_grpc.SidecarStub,
                'Execute',
                message,
                request.left + _LINK_GRACE,
            )
        except exceptions.LinkLost:
            reply = await self._settle(message, instance)
        finally:
            instance.outstanding -= 1
        self._fleet.note_load(instance.name, reply.load)
        metrics.ATTEMPTS.increase(control_pb2.Verdict.Name(reply.verdict))
        return reply

    async def _settle(
        self,
        message: control_pb2.ExecuteRequest,
        instance: fleet_module.Instance,
    ) -> control_pb2.ExecuteReply:
        # The attempt may have run although its answer is lost, or may
        # arrive later; the sidecar bars it or gives its outcome.
        request = control_pb2.SettleRequest(
            attempt=message.attempt,
            incarnation=message.incarnation,
            wait_seconds=_SETTLE_TIMEOUT / 2,
        )
        try:
            return await self._links.call(
                instance.address,
                control_grpc.SidecarStub,
                'Settle',
                request,
                _SETTLE_TIMEOUT,
            )
        except exceptions.LinkLost as error:
            return control_pb2.ExecuteReply(
                verdict=control_pb2.UNKNOWN, reason=str(error)
            )
