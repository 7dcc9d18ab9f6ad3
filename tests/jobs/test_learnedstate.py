import anyio

from persimmonsail.jobs import interference
from persimmonsail.jobs import learnedstate
from persimmonsail.jobs import record
from standins import memory as memory_store
from tests import base
from tests.jobs import test_interference


class UnresponsiveStore:
    """A store that never answers."""

    async def put(self, key, value):
        await anyio.sleep_forever()


class MemoryTest(base.TestCase):
    """A leader is replaced while heavy jobs run beside serving tasks.

    The new leader knew nothing about the images, so each heavy job was
    colocated with each serving task once more, and serving tasks missed their
    targets.
    """

    def setUp(self):
        super().setUp()
        self.store = memory_store.MemoryStore()

    def learn(self):
        model = interference.Model()
        fleet = test_interference.Fleet({'loud': 2.0, 'quiet': 0.0})
        fleet.add_best_effort(0, 'loud', 6)
        fleet.add_best_effort(1, 'quiet', 20)
        now = 100.0
        while now < 115.0:
            fleet.poll(model, now, 0.4)
            now += 0.45
        return model

    async def test_a_successor_knows_what_its_predecessor_learnt(self):
        before = self.learn()
        with anyio.move_on_after(0.2):
            await learnedstate.run_save_loop(
                self.store, before, period_seconds=0.01
            )
        after = interference.Model()
        await learnedstate.load(self.store, after)
        for image in ('loud', 'quiet'):
            self.assertAlmostEqual(
                before.get_coefficient('shop', image),
                after.get_coefficient('shop', image),
                places=1,
            )
        self.assertLess(after.get_upper_bound('shop', 'quiet'), 0.75)

    async def test_a_leader_that_stops_soon_hands_on_what_it_learnt(self):
        """Entries restart one after another, and targets are missed.

        Each entry led for less than its save period, so none handed over what
        it had learned.
        """
        await learnedstate.save_last(self.store, self.learn())
        item = await self.store.get(record.LEARNED_STATE)
        self.assertIn('loud', item.value)

    async def test_a_slow_store_keeps_no_leader_from_stopping(self):
        """Nothing starts for a second after an entry was stopped.

        The leader waited for its last save while the store did not respond.
        """
        with anyio.fail_after(1.0):
            await learnedstate.save_last(UnresponsiveStore(), self.learn())

    async def test_what_cannot_be_read_is_learnt_anew(self):
        model = interference.Model()
        for text in ('no json', '{"shop": 3}', MISMATCHED):
            await self.store.put(record.LEARNED_STATE, text)
            await learnedstate.load(self.store, model)
            self.assertEqual(
                interference.Model().get_coefficient('shop', 'loud'),
                model.get_coefficient('shop', 'loud'),
            )


MISMATCHED = (
    '{"shop": {"lowest_ms": 4, "evidence": '
    '{"products": {"loud": {"loud": 1}}, "targets": {}}}}'
)
