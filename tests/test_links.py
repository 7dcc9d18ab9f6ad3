import asyncio
import contextlib

import anyio
from grpclib.health import service as health_service
import grpclib.server

from persimmonsail import addresses
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import links
from standins import proxy
from tests import base

LIMITS = links.Limits(heartbeat=0.05, probe=0.2, connect=1.0)


class SlowSidecar(control_grpc.SidecarBase):
    """Replies to ``Settle`` once ``released`` is set."""

    def __init__(self) -> None:
        self.released = anyio.Event()
        self.started = anyio.Event()

    async def Settle(self, stream):
        await stream.recv_message()
        self.started.set()
        await self.released.wait()
        await stream.send_message(control_pb2.ExecuteReply(reason='here'))

    async def _refuse(self, stream):
        raise NotImplementedError

    Execute = StartTask = Renew = StopTask = _refuse


@contextlib.asynccontextmanager
async def open_proxied_sidecar():
    """Run a sidecar behind a proxy; yield sidecar, proxy and links."""
    sidecar = SlowSidecar()
    server = grpclib.server.Server([sidecar, health_service.Health()])
    sock = addresses.bind('127.0.0.1:0')
    await server.start(sock=sock)
    link_proxy = proxy.Proxy('127.0.0.1:0', addresses.format_address(sock))
    with links.Links(LIMITS) as client_links:
        async with anyio.create_task_group() as group:
            group.start_soon(link_proxy.run)
            yield sidecar, link_proxy, client_links
            group.cancel_scope.cancel()
    server.close()
    await server.wait_closed()


async def settle(client_links, address, timeout=30.0):
    return await client_links.call(
        address,
        control_grpc.SidecarStub,
        'Settle',
        control_pb2.SettleRequest(),
        timeout,
    )


class LinksTest(base.TestCase):
    async def test_silent_link_is_detected_during_a_call(self):
        """A call waits for its full timeout on a dead link.

        The link goes silent while the call is being processed. The probe
        detects this, and the next call uses a new connection.
        """
        async with open_proxied_sidecar() as (
            sidecar,
            link_proxy,
            client_links,
        ):

            async def cut_when_started() -> None:
                await sidecar.started.wait()
                link_proxy.set_mode('silent')

            async with anyio.create_task_group() as group:
                group.start_soon(cut_when_started)
                with self.assertRaises(exceptions.LinkLost):
                    await settle(client_links, link_proxy.address, 600)
            sidecar.released.set()
            reply = await settle(client_links, link_proxy.address)
            self.assertEqual('here', reply.reason)

    async def test_link_closed_during_its_probe_cancels_no_caller(self):
        """A caller gets a bare status 500 when a sidecar is killed.

        Two calls share its link. One detects that it is broken and closes
        it while the other probes it; grpclib cancels the probing task, and
        the cancellation propagates into the caller's task.
        """
        probe_started = anyio.Event()
        async with open_proxied_sidecar() as (
            sidecar,
            link_proxy,
            client_links,
        ):

            async def close_during_probe() -> None:
                await sidecar.started.wait()
                link_proxy.set_mode('freeze')
                link = client_links._links[link_proxy.address]
                original_probe = link._probe

                async def note_probe(limits):
                    probe_started.set()
                    await original_probe(limits)

                link._probe = note_probe
                await probe_started.wait()
                await anyio.sleep(LIMITS.probe / 4)
                client_links.drop(link_proxy.address)

            async with anyio.create_task_group() as group:
                group.start_soon(close_during_probe)
                with self.assertRaises(exceptions.LinkLost):
                    await settle(client_links, link_proxy.address, 600)
                self.assertEqual(0, asyncio.current_task().cancelling())
            link_proxy.set_mode('pass')

    async def test_slow_reply_on_a_healthy_link_is_awaited(self):
        async with open_proxied_sidecar() as (
            sidecar,
            link_proxy,
            client_links,
        ):

            async def release_later() -> None:
                await sidecar.started.wait()
                await anyio.sleep(LIMITS.heartbeat * 10)
                sidecar.released.set()

            async with anyio.create_task_group() as group:
                group.start_soon(release_later)
                reply = await settle(client_links, link_proxy.address)
            self.assertEqual('here', reply.reason)

    async def test_timed_out_call_does_not_end_other_calls(self):
        """One slow request fails all requests on its link.

        A call's own timeout is no evidence of a lost link.
        """
        async with open_proxied_sidecar() as (
            sidecar,
            link_proxy,
            client_links,
        ):
            replies = []

            async def call() -> None:
                replies.append(await settle(client_links, link_proxy.address))

            async with anyio.create_task_group() as group:
                group.start_soon(call)
                await sidecar.started.wait()
                with self.assertRaises(exceptions.LinkLost):
                    await settle(client_links, link_proxy.address, 0.1)
                sidecar.released.set()
            self.assertEqual('here', replies[0].reason)

    async def test_only_a_failed_connection_proves_that_nothing_was_sent(self):
        async with open_proxied_sidecar() as (
            sidecar,
            link_proxy,
            client_links,
        ):
            sock = addresses.bind('127.0.0.1:0')
            closed = addresses.format_address(sock)
            sock.close()
            with self.assertRaises(exceptions.LinkRefused):
                await settle(client_links, closed)

            async def cut_when_started() -> None:
                await sidecar.started.wait()
                link_proxy.set_mode('cut')

            async with anyio.create_task_group() as group:
                group.start_soon(cut_when_started)
                try:
                    await settle(client_links, link_proxy.address)
                except exceptions.LinkLost as error:
                    self.assertNotIsInstance(error, exceptions.LinkRefused)
                else:
                    self.fail('got a reply over a cut link')
