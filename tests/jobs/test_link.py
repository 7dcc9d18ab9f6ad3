import anyio
import grpclib.server

from persimmonsail import addresses
from persimmonsail import exceptions
from persimmonsail.jobs import agent
from persimmonsail.jobs import clock
from persimmonsail.jobs import instances
from persimmonsail.jobs import link
from tests import base


class LinkTest(base.TestCase):
    async def is_deposed(self, epoch, known_epoch):
        """Attach a leader to a sidecar that has observed an epoch.

        Returns
        -------
        bool
            Whether this ended the leader's term.
        """
        sidecar_agent = agent.Agent(None, 6.0)
        sidecar_agent._authority.epoch = known_epoch
        sock = addresses.bind('127.0.0.1:0')
        server = grpclib.server.Server([sidecar_agent])
        await server.start(sock=sock)
        instance = instances.Instance(addresses.format_address(sock))
        instance_link = link.InstanceLink(
            instance,
            epoch,
            6.0,
            lambda: 0.0,
            lambda i: None,
            lambda i, r: None,
        )
        deposed = False
        try:
            with anyio.move_on_after(1.0):
                await instance_link.run()
        except* exceptions.Deposed:
            deposed = True
        server.close()
        return deposed

    async def test_a_leader_that_a_sidecar_refuses_is_deposed(self):
        """A deposed leader makes 300 connections a second for seconds.

        The store refused its machine and another entry leads; every sidecar
        refused the old leader for its epoch, and it retried each twice a
        second until it could read that it was deposed.
        """
        self.assertTrue(await self.is_deposed(epoch=5, known_epoch=6))

    def test_a_converted_time_is_never_late_on_the_sidecars_clock(self):
        """An order's deadline is extended by the delay of a report."""
        own_link = link.InstanceLink(
            instances.Instance('127.0.0.1:1'),
            1,
            6.0,
            lambda: 0.0,
            lambda i: None,
            lambda i, r: None,
        )
        self.assertIsNone(own_link.to_sidecar_clock(clock.read()))
        # The sidecar's clock is 1000 s ahead; its report took half a second.
        own_link.note_sidecar_clock(clock.read() - 0.5 + 1000.0)
        now = clock.read()
        self.assertLess(own_link.to_sidecar_clock(now + 2.0), now + 1002.0)

    async def test_a_later_leader_is_obeyed(self):
        self.assertFalse(await self.is_deposed(epoch=6, known_epoch=5))
