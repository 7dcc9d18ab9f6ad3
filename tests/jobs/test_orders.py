import dataclasses

import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import incarnation as incarnation_module
from persimmonsail.jobs import orders
from persimmonsail.jobs import specification
from persimmonsail.jobs import worker
from tests import base

BOOT = worker.Heartbeat(
    boot='boot-1',
    sequence=1,
    service='planner',
    capacity=specification.Size(4000, 1000),
)
KEY = ('00000000000000aa.0.0.0', 1)
LEASE_SECONDS = 60.0


class SlowWorker:
    """A worker's agent that leaves the first start unanswered."""

    def __init__(self, on_unanswered):
        self.on_unanswered = on_unanswered
        self.calls = []
        self.limits_ms = []

    async def start(self, boot, epoch, order):
        self.calls.append('start')
        self.limits_ms.append(order.until_ms)
        if len(self.calls) == 1:
            self.on_unanswered()
            raise exceptions.WorkerUnavailable('no answer')
        return round(clock.read() * 1000)

    async def stop(self, boot, epoch, task, run):
        self.calls.append('stop')

    async def poll(self, boot, epoch, acknowledged, until_ms=None, wait=0.0):
        return worker.Snapshot(round(clock.read() * 1000), (), ())


class SilentWorker(SlowWorker):
    """A worker's agent that answers its third stop, and nothing before."""

    async def start(self, boot, epoch, order):
        self.calls.append('start')
        self.on_unanswered()
        await anyio.sleep(0.01)
        raise exceptions.WorkerUnavailable('no answer')

    async def stop(self, boot, epoch, task, run):
        self.calls.append('stop')
        if self.calls.count('stop') < 3:
            raise exceptions.WorkerUnavailable('no answer')


class OrdersTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.incarnation = incarnation_module.Incarnation(BOOT, clock.read())
        self.incarnation.note_clock(1000, clock.read())
        self.incarnation.sizes[KEY] = specification.Size(3000, 100)
        self.incarnation.pending[KEY] = self.incarnation.sizes[KEY]
        self.barred = []

    def make_executor(self, fake_worker):
        authority = orders.Authority(1, clock.read() + LEASE_SECONDS)
        return orders.Executor(
            fake_worker,
            authority,
            on_boot_ended=lambda boot: None,
            on_barred=lambda *row: self.barred.append(row),
            on_change=lambda: None,
            on_renewal_due=lambda: None,
        )

    async def send_start(self, on_unanswered, **fields):
        """Order a start whose first call gets no answer."""
        fake_worker = SlowWorker(on_unanswered)
        executor = self.make_executor(fake_worker)
        start = fleet_pb2.Start(task=KEY[0], run=KEY[1], **fields)
        self.limits_ms = fake_worker.limits_ms
        await executor.start(self.incarnation, start)
        return fake_worker.calls

    def shrink_capacity(self):
        self.incarnation.heartbeat = dataclasses.replace(
            BOOT, sequence=2, capacity=specification.Size(2000, 1000)
        )

    async def test_ends_are_discarded_by_short_calls_and_once(self):
        """Ends of a restarted agent are discarded unread.

        A long poll is open at most times, also when its agent ends, and the
        next start may execute it.
        """
        numbers = []

        class RecordingWorker(SlowWorker):
            async def poll(self, boot, epoch, acknowledged, *rest):
                numbers.append(acknowledged)
                return await super().poll(boot, epoch, acknowledged)

        executor = self.make_executor(RecordingWorker(None))
        self.incarnation.acknowledged = 7
        for wait in (1.5, 0.0, 0.0, 1.5):
            await executor.poll(self.incarnation, wait=wait)
        self.assertEqual([0, 7, 0, 0], numbers)

    async def test_a_start_without_an_answer_is_sent_again(self):
        calls = await self.send_start(lambda: None)
        self.assertEqual(['start', 'start'], calls)

    def start_leaving(self):
        self.incarnation.heartbeat = dataclasses.replace(
            BOOT, sequence=2, leaving=True
        )

    async def test_it_is_not_sent_again_to_a_leaving_agent(self):
        """A retried start gives work to a draining instance."""
        calls = await self.send_start(self.start_leaving)
        self.assertEqual(['start', 'stop'], calls)
        self.assertEqual([(*KEY, 'absent')], self.barred)

    async def test_a_stop_ends_the_retries_of_its_start(self):
        """A cancelled task starts: its start is answered before its stop."""
        start_called = anyio.Event()
        fake_worker = SilentWorker(start_called.set)
        executor = self.make_executor(fake_worker)
        start = fleet_pb2.Start(task=KEY[0], run=KEY[1])
        with anyio.fail_after(20.0):
            async with anyio.create_task_group() as group:
                group.start_soon(executor.start, self.incarnation, start)
                await start_called.wait()
                await executor.stop(self.incarnation, KEY)
        self.assertEqual(['start', 'stop', 'stop', 'stop'], fake_worker.calls)
        self.assertEqual([(*KEY, 'absent')], self.barred)

    async def test_it_is_not_sent_again_after_its_deadline(self):
        """A retried order starts a task seconds after its cancel."""
        deadline = clock.read() + 0.02
        calls = await self.send_start(lambda: None, deadline=deadline)
        self.assertEqual(['start', 'stop'], calls)
        self.assertEqual([(*KEY, 'absent')], self.barred)

    async def test_the_agent_gets_the_start_deadline(self):
        """A delayed call starts a task seconds after its cancel."""
        begun = clock.read()
        self.incarnation.note_clock(1001, begun)
        await self.send_start(lambda: None, deadline=begun + 2.0)
        self.assertEqual([1001 + 2000] * 2, self.limits_ms)

    async def test_it_is_not_sent_again_after_capacity_has_shrunk(self):
        """A retried start puts an instance over its capacity.

        It had free capacity when the order arrived, and none when the
        unanswered start was sent again. Only a stop ensures that the first
        attempt has no effect either.
        """
        calls = await self.send_start(self.shrink_capacity)
        self.assertEqual(['start', 'stop'], calls)
        self.assertEqual([(*KEY, 'absent')], self.barred)
