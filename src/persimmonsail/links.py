"""Control links between the system's own processes.

A link that goes silent for good, because something between its ends
lost track of it, raises no error. Every call has a time limit, and a
link on which a call timed out is replaced by a fresh connection.
"""

import typing as t

import anyio
import grpclib.client
import grpclib.exceptions

from persimmonsail import exceptions
from persimmonsail import httpserver
from persimmonsail import metrics

_T = t.TypeVar('_T')
_LOST = (OSError, grpclib.exceptions.GRPCError, TimeoutError)
_STREAM_LOST = (grpclib.exceptions.StreamTerminatedError,)


class Links:
    """Channels to peers by address; use inside ``with``."""

    def __init__(self) -> None:
        self._channels: dict[str, grpclib.client.Channel] = {}

    def __enter__(self) -> 'Links':
        return self

    def __exit__(self, *exc_info: object) -> None:
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def open(self, address: str) -> grpclib.client.Channel:
        """Return the channel to an address."""
        if address not in self._channels:
            host, port = httpserver.split_address(address)
            self._channels[address] = grpclib.client.Channel(host, port)
        return self._channels[address]

    def drop(self, address: str) -> None:
        """Close a channel, so that the next call connects anew."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

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
        persimmonsail.exceptions.LinkLost
            If no answer came in time; the call may have taken effect.
        """
        channel = self.open(address)
        call = getattr(stub(channel), method)
        try:
            with anyio.fail_after(timeout):
                return await call(message)
        except (*_LOST, *_STREAM_LOST) as error:
            if self._channels.get(address) is channel:
                self.drop(address)
            metrics.LINKS_LOST.increase(method)
            name = type(error).__name__
            raise exceptions.LinkLost(f'{method} {address}: {name}') from error
