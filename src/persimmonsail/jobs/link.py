"""The leader's link to one sidecar: sends orders, receives reports."""

import typing as t

import anyio
import grpclib.client
import grpclib.const
import grpclib.exceptions

from persimmonsail import addresses
from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import fleet_grpc
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import instances
from persimmonsail.jobs import leases
from persimmonsail import logs

# Upper bound of the interval between orders; a sidecar closes the link when
# its leader's last message is 2 s old.
_MAX_PERIOD_SECONDS = 0.4
# A link without reports for this long is treated as broken: three reports
# are missing.
_LINK_TIMEOUT_SECONDS = 1.5
_CONNECT_TIMEOUT_SECONDS = 1.0
_MIN_RETRY_SECONDS = 0.25
# A lease is 6 s and network cuts of 5 s are common: runs behind one survive
# if the link is open again within a second of its end.
_MAX_RETRY_SECONDS = 0.5

_CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    # Raised for a name that no resolver accepts, such as one with an empty
    # label. Another writer's entry may contain one, and an unhandled error
    # would end the leader's term.
    UnicodeError,
)

# A sidecar's answer to a leader of an earlier term than it has seen, and to
# no other leader.
_STALE_EPOCH_STATUS = grpclib.const.Status.FAILED_PRECONDITION

OnReport = t.Callable[[instances.Instance, fleet_pb2.Report], None]


class InstanceLink:
    """Keeps one sidecar attached to this leader.

    Parameters
    ----------
    instance : persimmonsail.jobs.instances.Instance
        The leader's view of the sidecar's instance.
    epoch : int
        The leader's term.
    lease_seconds : float
        How long runs continue after the leader's last message.
    get_lease_bound : callable
        Returns for how many seconds after a ticket was sent back runs
        may continue, or 0 while no ticket may be sent.
    on_attach : callable
        Called with the instance when the link is open, before anything
        is sent.
    on_report : callable
        Called with each report.
    """

    def __init__(
        self,
        instance: instances.Instance,
        epoch: int,
        lease_seconds: float,
        get_lease_bound: t.Callable[[], float],
        on_attach: t.Callable[[instances.Instance], None],
        on_report: OnReport,
    ) -> None:
        self._instance = instance
        self._epoch = epoch
        self._period_seconds = leases.choose_period(
            lease_seconds, _MAX_PERIOD_SECONDS
        )
        self._get_lease_bound = get_lease_bound
        self._on_attach = on_attach
        self._on_report = on_report
        self._sequence = 0
        self._sidecar_clock = 0.0
        self._sidecar_clock_read_at = 0.0
        self._next_orders = fleet_pb2.Orders()
        self._orders_added = anyio.Event()

    def note_sidecar_clock(self, sidecar_clock: float) -> None:
        """Record the sidecar's clock from its report."""
        self._sidecar_clock = sidecar_clock
        self._sidecar_clock_read_at = clock.read()

    def to_sidecar_clock(self, time: float) -> float | None:
        """Convert a time to the sidecar's clock, rounding early.

        The clock was read before the report that carries it arrived, so the
        result is never later than the given time.

        Returns
        -------
        float or None
            None while no report has arrived over this link.
        """
        if not self._sidecar_clock:
            return None
        return self._sidecar_clock + (time - self._sidecar_clock_read_at)

    @property
    def next_sequence(self) -> int:
        """The sequence number of the next orders to be sent."""
        return self._sequence + 1

    def edit_next_orders(self) -> fleet_pb2.Orders:
        """Return the next orders to be sent, for additions."""
        self._orders_added.set()
        return self._next_orders

    async def run(self) -> None:
        """Connect and reconnect, until cancelled.

        Raises
        ------
        persimmonsail.exceptions.Deposed
            If the sidecar obeys the leader of a later term.
        """
        retry_seconds = _MIN_RETRY_SECONDS
        while True:
            started_at = clock.read()
            # In a separate task: grpclib cancels the task that uses a
            # stream when the stream breaks.
            async with anyio.create_task_group() as group:
                group.start_soon(self._attach_once)
            if (
                clock.read() - started_at
                > _LINK_TIMEOUT_SECONDS + _CONNECT_TIMEOUT_SECONDS
            ):
                retry_seconds = _MIN_RETRY_SECONDS
            await anyio.sleep(retry_seconds)
            retry_seconds = min(1.5 * retry_seconds, _MAX_RETRY_SECONDS)

    async def _attach_once(self) -> None:
        instance = self._instance
        host, port = addresses.split(instance.address)
        channel = grpclib.client.Channel(host, port)
        error: BaseException | None = None
        try:
            with anyio.fail_after(_CONNECT_TIMEOUT_SECONDS):
                await channel.__connect__()
            await self._exchange(channel)
        except _CONNECTION_ERRORS as cause:
            error = cause
            if _is_stale(cause):
                # This is evidence of a later term, even while the store is
                # unreachable; without it, a deposed leader of 160 instances
                # made 300 connections a second until it could read the term.
                raise exceptions.Deposed(
                    f'{instance.address} obeys a later leader'
                ) from cause
        finally:
            channel.close()
            if instance.attached:
                instance.attached = False
                logs.write_warning(
                    'instance-lost',
                    instance=instance.address,
                    error=repr(error),
                    runs=len(instance.runs),
                )

    async def _exchange(self, channel: grpclib.client.Channel) -> None:
        stub = fleet_grpc.AgentStub(channel)
        self._sequence = 0
        self._sidecar_clock = 0.0
        self._next_orders = fleet_pb2.Orders()
        self._on_attach(self._instance)
        errors: list[BaseException] = []
        async with stub.Attach.open() as stream:
            async with anyio.create_task_group() as group:

                async def run(function: t.Any) -> None:
                    try:
                        await function(stream)
                    except _CONNECTION_ERRORS as error:
                        errors.append(error)
                    group.cancel_scope.cancel()

                await stream.send_request()
                group.start_soon(run, self._send)
                group.start_soon(run, self._receive)
            await stream.cancel()
        if errors:
            raise errors[0]

    async def _send(self, stream: t.Any) -> None:
        while True:
            self._orders_added = anyio.Event()
            orders = self._next_orders
            self._next_orders = fleet_pb2.Orders()
            self._sequence += 1
            orders.epoch = self._epoch
            orders.sequence = self._sequence
            lease = self._get_lease_bound()
            # A sidecar without a known worker's agent grants no leases, so
            # those of an earlier one are left to expire.
            if self._sidecar_clock and lease and self._instance.has_agent:
                orders.ticket = self._sidecar_clock
                lease_end = clock.read() + lease
                latest = max(self._instance.leases_until, lease_end)
                self._instance.leases_until = latest
            with anyio.fail_after(_LINK_TIMEOUT_SECONDS):
                await stream.send_message(orders)
            with anyio.move_on_after(self._period_seconds):
                await self._orders_added.wait()

    async def _receive(self, stream: t.Any) -> None:
        while True:
            with anyio.fail_after(_LINK_TIMEOUT_SECONDS):
                report = await stream.recv_message()
            if report is None:
                return
            self.note_sidecar_clock(report.ticket)
            self._on_report(self._instance, report)


def _is_stale(error: BaseException) -> bool:
    """Return whether a sidecar refused a link for its epoch."""
    return (
        isinstance(error, grpclib.exceptions.GRPCError)
        and error.status is _STALE_EPOCH_STATUS
    )
