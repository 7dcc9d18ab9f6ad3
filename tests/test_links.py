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
    """Answers ``Settle`` once it is let."""

    def __init__(self) -> None:
        self.free = anyio.Event()
        self.began = anyio.Event()

    async def Settle(self, stream):
        await stream.recv_message()
        self.began.set()
        await self.free.wait()
        await stream.send_message(control_pb2.ExecuteReply(reason='here'))

    async def _refuse(self, stream):
        raise NotImplementedError

    Execute = StartTask = Renew = StopTask = _refuse


@contextlib.asynccontextmanager
async def open_site():
    """Run a sidecar behind a proxy; yield sidecar, proxy and links."""
    sidecar = SlowSidecar()
    server = grpclib.server.Server([sidecar, health_service.Health()])
    sock = addresses.bind('127.0.0.1:0')
    await server.start(sock=sock)
    middle = proxy.Proxy('127.0.0.1:0', addresses.name_of(sock))
    with links.Links(LIMITS) as opened:
        async with anyio.create_task_group() as group:
            group.start_soon(middle.run)
            yield sidecar, middle, opened
            group.cancel_scope.cancel()
    server.close()
    await server.wait_closed()


async def settle(opened, address, timeout=30.0):
    return await opened.call(
        address,
        control_grpc.SidecarStub,
        'Settle',
        control_pb2.SettleRequest(),
        timeout,
    )


class LinksTest(base.TestCase):
    async def test_silent_link_is_found_while_a_call_waits_on_it(self):
        """A call waits for its whole timeout on a link that is gone.

        The link goes silent while the call's work is done. The probe
        finds it; the next call connects anew and is answered.
        """
        async with open_site() as (sidecar, middle, opened):

            async def cut_when_begun() -> None:
                await sidecar.began.wait()
                middle.set_mode('silent')

            async with anyio.create_task_group() as group:
                group.start_soon(cut_when_begun)
                with self.assertRaises(exceptions.LinkLost):
                    await settle(opened, middle.address, 600)
            sidecar.free.set()
            reply = await settle(opened, middle.address)
            self.assertEqual('here', reply.reason)

    async def test_slow_answer_on_a_live_link_is_waited_for(self):
        async with open_site() as (sidecar, middle, opened):

            async def free_later() -> None:
                await sidecar.began.wait()
                await anyio.sleep(LIMITS.heartbeat * 10)
                sidecar.free.set()

            async with anyio.create_task_group() as group:
                group.start_soon(free_later)
                reply = await settle(opened, middle.address)
            self.assertEqual('here', reply.reason)

    async def test_call_that_timed_out_leaves_the_others_alone(self):
        """One slow request ends all requests of its link.

        A call's own time limit says nothing about the link.
        """
        async with open_site() as (sidecar, middle, opened):
            replies = []

            async def call() -> None:
                replies.append(await settle(opened, middle.address))

            async with anyio.create_task_group() as group:
                group.start_soon(call)
                await sidecar.began.wait()
                with self.assertRaises(exceptions.LinkLost):
                    await settle(opened, middle.address, 0.1)
                sidecar.free.set()
            self.assertEqual('here', replies[0].reason)

    async def test_only_a_failed_connection_proves_that_nothing_was_sent(self):
        async with open_site() as (sidecar, middle, opened):
            sock = addresses.bind('127.0.0.1:0')
            closed = addresses.name_of(sock)
            sock.close()
            with self.assertRaises(exceptions.LinkRefused):
                await settle(opened, closed)

            async def cut_when_begun() -> None:
                await sidecar.began.wait()
                middle.set_mode('cut')

            async with anyio.create_task_group() as group:
                group.start_soon(cut_when_begun)
                try:
                    await settle(opened, middle.address)
                except exceptions.LinkLost as error:
                    self.assertNotIsInstance(error, exceptions.LinkRefused)
                else:
                    self.fail('answered over a cut link')
