import contextlib

import testtools

from persimmonsail import exceptions
from persimmonsail import httpserver
from persimmonsail.jobs import boots
from persimmonsail.jobs import worker
from persimmonsail.platform import runner
from standins import runner as stand_in
from tests import base

ORDER = worker.StartOrder('a.0.0.0', 1, '1000', '', 10_000_000)
EPOCH = 1


class RunnerTest(base.TestCase):
    """Calls for one start of an agent reach no other one."""

    @contextlib.asynccontextmanager
    async def serve(self, **faults):
        """Serve an agent; yield it and a client of it."""
        server = stand_in.RunnerServer('runner')
        server.faults = stand_in.Faults(**faults)
        async with httpserver.HttpServer(
            server.app, '127.0.0.1:0', 0.1
        ) as http:
            client = runner.Runner(http.address)
            try:
                yield server, client
            finally:
                await client.close()

    def find_boot(self, server):
        """Return the name of an agent's present start."""
        return boots.join(server.boot, server._describe_start().get('born', 0))

    async def call_until_changed(self, call):
        """Repeat a call until another start answers; return the tries."""
        for tries in range(1, 10):
            try:
                await call()
            except exceptions.WorkerUnavailable:
                continue
            except exceptions.WorkerBootChanged:
                return tries
        raise AssertionError('no other start has answered')

    async def call_until_answered(self, call):
        """Repeat a call until it gets an answer."""
        for _ in range(10):
            with contextlib.suppress(exceptions.WorkerUnavailable):
                return await call()
        raise AssertionError('no answer')

    async def test_a_start_for_a_former_start_is_not_executed(self):
        """A task runs on two instances after its agent restarted."""
        async with self.serve() as (server, client):
            boot = self.find_boot(server)
            await client.poll(boot, EPOCH, 0)
            server.restart()
            await self.call_until_changed(
                lambda: client.start(boot, EPOCH, ORDER)
            )
            self.assertEqual([], server.starts)
            await client.start(self.find_boot(server), EPOCH, ORDER)
            self.assertEqual(1, len(server.starts))

    async def test_an_acknowledgement_for_a_former_start_discards_nothing(
        self,
    ):
        """A completed task is executed again after its agent restarted."""
        async with self.serve() as (server, client):
            boot = self.find_boot(server)
            await client.poll(boot, EPOCH, 0)
            server.restart()
            next_boot = self.find_boot(server)
            await self.call_until_answered(
                lambda: client.start(next_boot, EPOCH, ORDER)
            )
            await client.stop(next_boot, EPOCH, ORDER.task, ORDER.run)
            await self.call_until_changed(
                lambda: client.poll(boot, EPOCH, acknowledged=7)
            )
            snapshot = await client.poll(next_boot, EPOCH, 0)
            self.assertEqual([1], [row.number for row in snapshot.ended])

    async def test_an_order_that_was_not_sent_is_certainly_not_executed(self):
        """A task waits for a lease although its start was never sent."""
        async with self.serve(silent=True) as (server, client):
            with testtools.ExpectedException(exceptions.WorkerNotReached):
                await client.start(self.find_boot(server), EPOCH, ORDER)

    async def test_a_call_for_a_later_start_is_refused_by_a_former_one(self):
        async with self.serve() as (server, client):
            boot = boots.join(server.boot, server._born_ms + 1)
            self.assertEqual(
                1,
                await self.call_until_changed(
                    lambda: client.poll(boot, EPOCH, 0)
                ),
            )

    async def test_a_full_list_of_ends_may_be_truncated(self):
        """Done tasks run again: an agent lists 500 ends at a time."""
        async with self.serve() as (server, client):
            boot = self.find_boot(server)
            server._ended = [
                [number, ORDER.task, number, 'done', '']
                for number in range(1, 502)
            ]
            snapshot = await client.poll(boot, EPOCH, 0)
            self.assertEqual(500, len(snapshot.ended))
            self.assertTrue(snapshot.truncated)
            snapshot = await client.poll(boot, EPOCH, 500)
            self.assertEqual(1, len(snapshot.ended))
            self.assertFalse(snapshot.truncated)

    async def test_an_agent_that_reports_no_birth_is_known_by_its_id(self):
        async with self.serve(sends_born=False) as (server, client):
            await client.start(server.boot, EPOCH, ORDER)
            snapshot = await client.poll(server.boot, EPOCH, 0)
            self.assertEqual(
                [ORDER.task], [row.task for row in snapshot.running]
            )
            self.assertEqual(
                1,
                await self.call_until_changed(
                    lambda: client.poll('another', EPOCH, 0)
                ),
            )
