"""Settlement of attempts whose answers were lost or are late.

The sidecar returns an attempt's outcome, or bars the attempt
permanently before it reports that the attempt did not run.
"""

import time

import anyio

from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import links as links_module
from persimmonsail import logs

_CALL_TIMEOUT_SECONDS = 1.0
_MAX_WAIT_SECONDS = 0.5
_RETRY_DELAY_SECONDS = 0.1
_CANCEL_TIMEOUT_SECONDS = 1.0


class Settler:
    """Settles attempts over new links."""

    def __init__(self, links: links_module.Links) -> None:
        self._links = links

    async def settle(
        self,
        message: control_pb2.ExecuteRequest,
        address: str,
        deadline: float,
    ) -> control_pb2.ExecuteReply:
        """Return an attempt's outcome; unknown at the deadline.

        If the sidecar's process has ended, the outcome is reported as
        unknown without waiting for the deadline.

        Parameters
        ----------
        message : control_pb2.ExecuteRequest
            The request whose answer was lost.
        address : str
            The address of its sidecar.
        deadline : float
            Monotonic seconds by which the outcome is returned.
        """
        request = _make_request(message)
        reply = _make_unknown_reply('no time left to settle')
        while (remaining := deadline - time.monotonic()) > 0:
            request.wait_seconds = min(_MAX_WAIT_SECONDS, remaining / 2)
            try:
                reply = await self._links.call(
                    address,
                    control_grpc.SidecarStub,
                    'Settle',
                    request,
                    min(_CALL_TIMEOUT_SECONDS, remaining),
                )
            except exceptions.PeerAbsent as error:
                # The record was lost with its process: a later try cannot
                # return more, and the caller would wait in vain.
                reply = _make_unknown_reply(str(error))
                break
            except exceptions.LinkLost as error:
                reply = _make_unknown_reply(str(error))
                await anyio.sleep(min(_RETRY_DELAY_SECONDS, max(remaining, 0)))
                continue
            if reply.verdict != control_pb2.RUNNING:
                break
            reply = _make_unknown_reply('still running at the deadline')
        logs.write_event(
            'settled',
            request=message.request,
            attempt=message.attempt,
            incarnation=message.incarnation,
            verdict=control_pb2.Verdict.Name(reply.verdict).lower(),
            reason=reply.reason,
        )
        return reply

    async def cancel(
        self, message: control_pb2.ExecuteRequest, address: str
    ) -> None:
        """Notify a sidecar that an attempt's answer is not needed."""
        request = _make_request(message)
        request.cancel = True
        try:
            await self._links.call(
                address,
                control_grpc.SidecarStub,
                'Settle',
                request,
                _CANCEL_TIMEOUT_SECONDS,
            )
        except exceptions.LinkLost as error:
            logs.write_event(
                'cancel-failed', attempt=message.attempt, error=error
            )


def _make_request(
    message: control_pb2.ExecuteRequest,
) -> control_pb2.SettleRequest:
    return control_pb2.SettleRequest(
        attempt=message.attempt,
        incarnation=message.incarnation,
        issued_ms=message.issued_ms,
    )


def _make_unknown_reply(reason: str) -> control_pb2.ExecuteReply:
    return control_pb2.ExecuteReply(verdict=control_pb2.UNKNOWN, reason=reason)
