"""Control links between the system's own processes.

A connection that is dropped silently, for example because a middlebox
lost its state, raises no error. While a call waits on a link on which
nothing was received for one heartbeat interval, the link is probed; if
the probe times out, all calls on the link fail and the next call opens
a new connection.
"""

import dataclasses
import time
import typing as t

import anyio
import grpclib.client
import grpclib.exceptions
from grpclib.health.v1 import health_grpc
from grpclib.health.v1 import health_pb2

from persimmonsail import addresses
from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail import metrics
from persimmonsail import settings as settings_module

_CALL_ERRORS = (
    OSError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    TimeoutError,
)


@dataclasses.dataclass(frozen=True)
class Limits:
    """Timeouts of links, in seconds.

    Attributes
    ----------
    heartbeat : float
        A link with a waiting call is probed after this time of silence.
    probe : float
        The link counts as lost if a probe is not answered within this time.
    connect : float
        Timeout for establishing a connection.
    """

    heartbeat: float = 0.5
    probe: float = 0.5
    connect: float = 1.0


def make_limits(settings: settings_module.Links) -> Limits:
    """Return the limits configured in a process's settings."""
    return Limits(settings.heartbeat, settings.probe, settings.connect)


class _Link:
    """A channel and the time of the last response on it."""

    def __init__(self, address: str) -> None:
        host, port = addresses.split(address)
        self.address = address
        self.channel = grpclib.client.Channel(host, port)
        self.received_at = time.monotonic()
        self.lost = anyio.Event()
        self.suspect = False
        self._probing = False

    def close(self) -> None:
        """Close the channel and end all calls on it."""
        self.lost.set()
        self.channel.close()

    def note_received(self) -> None:
        """Record that the peer responded."""
        self.received_at = time.monotonic()
        self.suspect = False

    async def watch(self, limits: Limits) -> None:
        """Probe the link while it is silent; return once it is lost.

        Idle time before the call does not count as silence, unless an
        earlier call on the link timed out.
        """
        watched_since = self.received_at if self.suspect else time.monotonic()
        while not self.lost.is_set():
            silent_seconds = time.monotonic() - max(
                self.received_at, watched_since
            )
            if self._probing or silent_seconds < limits.heartbeat:
                pause = max(
                    limits.heartbeat - silent_seconds, limits.heartbeat / 4
                )
                with anyio.move_on_after(pause):
                    await self.lost.wait()
                continue
            self._probing = True
            try:
                await self._probe(limits)
            finally:
                self._probing = False

    async def _probe(self, limits: Limits) -> None:
        stub = health_grpc.HealthStub(self.channel)
        try:
            with anyio.fail_after(limits.probe):
                await stub.Check(health_pb2.HealthCheckRequest())
        except _CALL_ERRORS as error:
            if isinstance(error, grpclib.exceptions.GRPCError):
                self.note_received()
                return
            logs.write_event('link-silent', address=self.address)
            self.lost.set()
        else:
            self.note_received()


class Links:
    """Channels to peers by address; use as a context manager."""

    def __init__(self, limits: Limits | None = None) -> None:
        self._limits = limits or Limits()
        self._links: dict[str, _Link] = {}

    def __enter__(self) -> 'Links':
        return self

    def __exit__(self, *exc_info: object) -> None:
        for link in self._links.values():
            link.close()
        self._links.clear()

    def open(self, address: str) -> grpclib.client.Channel:
        """Return the channel to an address."""
        return self._get_link(address).channel

    def drop(self, address: str) -> None:
        """Close a channel; the next call opens a new connection."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()

    async def call(
        self,
        address: str,
        stub: type,
        method: str,
        message: t.Any,
        timeout: float,
    ) -> t.Any:
        """Make one unary call.

        Raises
        ------
        persimmonsail.exceptions.LinkRefused
            If no connection was established; nothing was sent.
        persimmonsail.exceptions.LinkLost
            If no reply arrived in time; the call may have taken effect.
        """
        link = self._get_link(address)
        await self._connect(link, method, min(timeout, self._limits.connect))
        call = getattr(stub(link.channel), method)
        try:
            with anyio.fail_after(timeout):
                return await self._watch_call(link, call, message)
        except _CALL_ERRORS as error:
            self._handle_failure(link, error)
            metrics.LINKS_LOST.increment(method)
            name = type(error).__name__
            raise exceptions.LinkLost(f'{method} {address}: {name}') from error

    def _handle_failure(self, link: _Link, error: Exception) -> None:
        if isinstance(error, grpclib.exceptions.GRPCError):
            link.note_received()
        elif isinstance(error, TimeoutError) and not link.lost.is_set():
            # Only this reply may be slow, so other calls keep the link.
            link.suspect = True
        else:
            self._remove_link(link)

    async def _connect(self, link: _Link, method: str, timeout: float) -> None:
        # Only a failure to connect proves that nothing was sent.
        try:
            with anyio.fail_after(timeout):
                await link.channel.__connect__()
        except (OSError, TimeoutError) as error:
            self._remove_link(link)
            kind = exceptions.LinkRefused
            if isinstance(error, ConnectionRefusedError):
                kind = exceptions.PeerAbsent
            name = type(error).__name__
            raise kind(f'{method} {link.address}: {name}') from error

    async def _watch_call(
        self, link: _Link, call: t.Any, message: t.Any
    ) -> t.Any:
        replies: list[t.Any] = []
        errors: list[Exception] = []

        async def make_call() -> None:
            try:
                replies.append(await call(message))
            except _CALL_ERRORS as error:
                errors.append(error)
            group.cancel_scope.cancel()

        async def watch_link() -> None:
            await link.watch(self._limits)
            group.cancel_scope.cancel()

        # grpclib aborts a broken stream by cancelling the task that uses it,
        # and never undoes the cancellation. In the caller's own task, a
        # cancel scope would treat that as an external cancellation and
        # propagate it, and the caller would get a bare status 500.
        async with anyio.create_task_group() as group:
            group.start_soon(make_call)
            group.start_soon(watch_link)
        if replies:
            link.note_received()
            return replies[0]
        raise errors[0] if errors else TimeoutError('link probe timed out')

    def _get_link(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(address)
        return link

    def _remove_link(self, link: _Link) -> None:
        if self._links.get(link.address) is link:
            self.drop(link.address)
