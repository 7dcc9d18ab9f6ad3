"""Authority to extend a partition's task leases.

Normally it comes with a valid lease in the store. When a store outage
outlasts that lease, a holder asks every entry that could acquire its
partition to promise not to do so for some seconds.
"""

import dataclasses
import time
import typing as t

import anyio

from persimmonsail.bookkeeping import reasons
from persimmonsail.bookkeeping import records
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import links as links_module
from persimmonsail import logs

_CALL_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass
class StoreLease:
    """A lease in the store; ``until`` is a bound on this process's clock."""

    id: str
    until: float = float('-inf')
    ended: bool = False

    @property
    def is_valid(self) -> bool:
        """Whether the store is certain to retain the lease's keys now."""
        return not self.ended and time.monotonic() < self.until


class Promises:
    """Promises that this entry has made to other partitions' holders.

    ``is_held`` returns whether this entry holds a partition or is about
    to acquire it.
    """

    def __init__(
        self, process_id: str, is_held: t.Callable[[int], bool]
    ) -> None:
        self.id = process_id
        self.last_contact_at = float('-inf')
        self._is_held = is_held
        self._promised_until: dict[int, float] = {}
        self._fences: dict[int, int] = {}

    def note_contact(self, asked_at: float) -> None:
        """Record that the store answered a call made at this time."""
        self.last_contact_at = max(self.last_contact_at, asked_at)

    def is_promised(self, partition: int) -> bool:
        """Whether a promise bars this entry from a partition now."""
        return time.monotonic() < self._promised_until.get(
            partition, float('-inf')
        )

    def consent(
        self, request: control_pb2.ConsentRequest
    ) -> control_pb2.ConsentReply:
        """Promise not to acquire a partition for some time, or refuse."""
        reason = self._find_refusal(request)
        if not reason:
            until = time.monotonic() + request.promise_seconds
            previous = self._promised_until.get(request.partition, until)
            self._promised_until[request.partition] = max(previous, until)
        logs.write_event(
            'consent-answered',
            partition=request.partition,
            epoch=request.epoch,
            granted=not reason,
            reason=reason,
        )
        return control_pb2.ConsentReply(
            id=self.id, granted=not reason, reason=reason
        )

    def fence(self, request: control_pb2.FenceRequest) -> None:
        """Refuse consent to earlier epochs of a partition from now on."""
        previous = self._fences.get(request.partition, 0)
        self._fences[request.partition] = max(previous, request.epoch)
        logs.write_event(
            'fenced', partition=request.partition, epoch=request.epoch
        )

    def _find_refusal(self, request: control_pb2.ConsentRequest) -> str:
        if request.id != self.id:
            return 'another process was asked'
        if request.epoch < self._fences.get(request.partition, 0):
            return reasons.LATER_EPOCH
        if self._is_held(request.partition):
            return 'the partition is held here'
        # An entry that can reach the store can acquire the partition; the
        # holder without store contact has to release it.
        if time.monotonic() - self.last_contact_at <= request.lost_seconds:
            return 'the store was reached'
        return ''


class Authority:
    """A holder's authority to extend leases, by its lease or by consent.

    Parameters
    ----------
    promise_seconds : float
        How long a consent is valid.
    outage_limit : float
        How many seconds after the end of its lease a holder may still
        ask for consent.
    """

    def __init__(
        self,
        lease: StoreLease,
        links: links_module.Links,
        process_id: str,
        promise_seconds: float,
        outage_limit: float,
    ) -> None:
        self._lease = lease
        self._links = links
        self._id = process_id
        self._promise_seconds = promise_seconds
        self._outage_limit = outage_limit
        self._consent_until = float('-inf')
        self._released = False

    @property
    def is_valid(self) -> bool:
        """Whether leases may be extended now.

        Check it after obtaining the ticket, right before sending: the
        ticket then predates the end of the authority, and every lease
        granted on it ends within one lease's length of that end.
        """
        if self._released or self._lease.ended:
            return False
        now = time.monotonic()
        return self._lease.is_valid or now < self._consent_until

    @property
    def lease_is_valid(self) -> bool:
        """Whether the store's lease is valid, without any consent."""
        return not self._released and self._lease.is_valid

    def release(self) -> None:
        """Give up the authority permanently."""
        self._released = True

    async def run(
        self,
        partition: int,
        epoch: int,
        list_members: t.Callable[[], dict[str, str]],
    ) -> None:
        """Ask for consent whenever the store's lease has expired."""
        period = self._promise_seconds / 4
        while True:
            await anyio.sleep(period)
            if not self._lease.is_valid and not self._lease.ended:
                await self.ask(partition, epoch, list_members())

    async def ask(
        self, partition: int, epoch: int, members: dict[str, str]
    ) -> bool:
        """Ask each member, given by identifier and address, once.

        Returns
        -------
        bool
            Whether all of them consented.
        """
        asked_at = time.monotonic()
        lost = asked_at - self._lease.until
        if lost > self._outage_limit:
            return False
        granted: list[bool] = []
        async with anyio.create_task_group() as group:
            for process_id, address in members.items():
                if process_id != self._id:
                    request = control_pb2.ConsentRequest(
                        id=process_id,
                        partition=partition,
                        epoch=epoch,
                        lost_seconds=lost,
                        promise_seconds=self._promise_seconds,
                    )
                    group.start_soon(self._ask_one, address, request, granted)
        if all(granted):
            self._consent_until = asked_at + self._promise_seconds
        logs.write_event(
            'consent',
            partition=partition,
            epoch=epoch,
            granted=all(granted),
            asked=len(granted),
        )
        return all(granted)

    async def _ask_one(
        self,
        address: str,
        request: control_pb2.ConsentRequest,
        granted: list[bool],
    ) -> None:
        try:
            reply = await self._links.call(
                address,
                control_grpc.HoldersStub,
                'Consent',
                request,
                _CALL_TIMEOUT_SECONDS,
            )
        except exceptions.LinkLost:
            granted.append(False)
            return
        granted.append(reply.granted and reply.id == request.id)


class Fence:
    """When the authority of a partition's earlier holders has ended.

    An earlier holder whose store lease has expired may continue with
    the consent of the members it had listed. Either this process is one
    of them, and has kept its promises, or one of them has to refuse
    consent from now on. If none answers, the bound is the outage limit.
    """

    def __init__(
        self,
        links: links_module.Links,
        process_id: str,
        promise_seconds: float,
        outage_limit: float,
    ) -> None:
        self._links = links
        self._id = process_id
        self._promise_seconds = promise_seconds
        self._outage_limit = outage_limit
        self.consents_expired_at = float('inf')

    async def run(
        self,
        partition: int,
        epoch: int,
        members: t.Sequence[records.Member],
    ) -> None:
        """Determine that time, asking members until one answers."""
        now = time.monotonic()
        if not members or any(found.id == self._id for found in members):
            self.consents_expired_at = now
            return
        limit = self._outage_limit + self._promise_seconds
        self.consents_expired_at = now + limit
        request = control_pb2.FenceRequest(partition=partition, epoch=epoch)
        while True:
            if await self._fence_any(request, members):
                break
            await anyio.sleep(_CALL_TIMEOUT_SECONDS)
        fenced_at = time.monotonic() + self._promise_seconds
        self.consents_expired_at = min(self.consents_expired_at, fenced_at)

    async def _fence_any(
        self,
        request: control_pb2.FenceRequest,
        members: t.Sequence[records.Member],
    ) -> bool:
        for member in members:
            try:
                # A reply from another process at this address suffices:
                # the listed one has ended and cannot consent.
                await self._links.call(
                    member.control,
                    control_grpc.HoldersStub,
                    'Fence',
                    request,
                    _CALL_TIMEOUT_SECONDS,
                )
                return True
            except exceptions.LinkLost:
                continue
        return False
