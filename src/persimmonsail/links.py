"""Control links between the system's own processes.

A link that goes silent for good, because something between its ends
lost track of it, raises no error. While a call waits on a link from
which nothing was heard for a heartbeat, the link is probed; when the
probe is not answered in time, all calls on the link end and the next
call connects anew.
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

_LOST = (
    OSError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    TimeoutError,
)


@dataclasses.dataclass(frozen=True)
class Limits:
    """Time limits of links, in seconds.

    Attributes
    ----------
    heartbeat : float
        A link in use that was silent for so long is probed.
    probe : float
        A probe not answered for so long means that the link is lost.
    connect : float
        How long a connection may take.
    """

    heartbeat: float = 0.5
    probe: float = 0.5
    connect: float = 1.0


def describe_limits(settings: settings_module.Links) -> Limits:
    """Return the limits that a process's settings name."""
    return Limits(settings.heartbeat, settings.probe, settings.connect)


class _Link:
    """One channel, and when something was last heard over it."""

    def __init__(self, address: str) -> None:
        host, port = addresses.split(address)
        self.address = address
        self.channel = grpclib.client.Channel(host, port)
        self.heard_at = time.monotonic()
        self.lost = anyio.Event()
        self.suspect = False
        self._probing = False

    def close(self) -> None:
        """Close the channel and end all calls on it."""
        self.lost.set()
        self.channel.close()

    def note_heard(self) -> None:
        """Note that the other end is there."""
        self.heard_at = time.monotonic()
        self.suspect = False

    async def watch(self, limits: Limits) -> None:
        """Return once the link is lost; probe it while it is silent.

        An idle link is not silent, unless a call over it timed out.
        """
        began = self.heard_at if self.suspect else time.monotonic()
        while not self.lost.is_set():
            silent = time.monotonic() - max(self.heard_at, began)
            if self._probing or silent < limits.heartbeat:
                pause = max(limits.heartbeat - silent, limits.heartbeat / 4)
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
        except _LOST as error:
            if isinstance(error, grpclib.exceptions.GRPCError):
                self.note_heard()
                return
            logs.write_event('link-silent', address=self.address)
            self.lost.set()
        else:
            self.note_heard()


class Links:
    """Channels to peers by address; use inside ``with``."""

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
        return self._open(address).channel

    def drop(self, address: str) -> None:
        """Close a channel, so that the next call connects anew."""
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
            If there was no connection, so that nothing was sent.
        persimmonsail.exceptions.LinkLost
            If no answer came in time; the call may have taken effect.
        """
        link = self._open(address)
        await self._connect(link, method, min(timeout, self._limits.connect))
        call = getattr(stub(link.channel), method)
        try:
            with anyio.fail_after(timeout):
                return await self._watch_call(link, call, message)
        except _LOST as error:
            self._note_failure(link, error)
            metrics.LINKS_LOST.increase(method)
            name = type(error).__name__
            raise exceptions.LinkLost(f'{method} {address}: {name}') from error

    def _note_failure(self, link: _Link, error: Exception) -> None:
        if isinstance(error, grpclib.exceptions.GRPCError):
            link.note_heard()
        elif isinstance(error, TimeoutError) and not link.lost.is_set():
            # The answer may only be slow; other calls go on over it.
            link.suspect = True
        else:
            self._drop_link(link)

    async def _connect(self, link: _Link, method: str, limit: float) -> None:
        # Only the connection's failure proves that nothing was sent.
        try:
            with anyio.fail_after(limit):
                await link.channel.__connect__()
        except (OSError, TimeoutError) as error:
            self._drop_link(link)
            name = type(error).__name__
            raise exceptions.LinkRefused(
                f'{method} {link.address}: {name}'
            ) from error

    async def _watch_call(
        self, link: _Link, call: t.Any, message: t.Any
    ) -> t.Any:
        replies: list[t.Any] = []
        errors: list[Exception] = []

        async def make_call() -> None:
            try:
                replies.append(await call(message))
            except _LOST as error:
                errors.append(error)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(make_call)
            await link.watch(self._limits)
            group.cancel_scope.cancel()
        if replies:
            link.note_heard()
            return replies[0]
        raise errors[0] if errors else TimeoutError('silent')

    def _open(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(address)
        return link

    def _drop_link(self, link: _Link) -> None:
        if self._links.get(link.address) is link:
            self.drop(link.address)
