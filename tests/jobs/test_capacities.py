import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import capacities as capacities_module
from persimmonsail.jobs import record
from persimmonsail.jobs import specification
from standins import memory as memory_store
from tests import base
from tests.jobs import cases

SERVICE = cases.QUEUE.service
MANY_PROCESSORS = specification.Size(64000, 1000, 0)
MUCH_MEMORY = specification.Size(8000, 256000, 2)


def make_specification(*sizes, **fields):
    steps = [cases.make_step(size=size, **fields) for size in sizes]
    return specification.Specification('payload', tuple(steps))


class CapacitiesTest(base.TestCase):
    """A job is accepted and never starts.

    One of its steps is larger than every instance, so its caller waits
    indefinitely.
    """

    def setUp(self):
        super().setUp()
        self.store = memory_store.MemoryStore()
        self.capacities = capacities_module.Capacities()

    def note(self, *sizes):
        for size in sizes:
            self.capacities.note(SERVICE, size)

    def check(self, *sizes, **fields):
        parsed = make_specification(*sizes, **fields)
        self.capacities.check(SERVICE, parsed)

    def test_a_step_has_to_fit_one_instance_as_a_whole(self):
        self.note(MANY_PROCESSORS, MUCH_MEMORY)
        self.check(MANY_PROCESSORS, MUCH_MEMORY)
        both = specification.Size(64000, 256000)
        error = self.assertRaises(
            exceptions.JobInvalid, self.check, MANY_PROCESSORS, both, both
        )
        text = str(error)
        self.assertNotIn('steps[0]', text)
        self.assertIn('steps[1].size: no instance of planner', text)
        self.assertIn('steps[2].size', text)
        self.assertIn('64000 millicores', text)

    def test_processors_that_are_left_over_are_no_size(self):
        self.note(MANY_PROCESSORS)
        large = specification.Size(900_000, 500)
        self.check(large, best_effort_cpu=True)
        self.assertRaises(exceptions.JobInvalid, self.check, large)

    def test_nothing_is_refused_before_an_instance_was_seen(self):
        self.capacities.note('another', MANY_PROCESSORS)
        self.check(specification.Size(900_000, 1))

    def test_nothing_is_refused_once_kinds_were_left_out(self):
        kinds = capacities_module.MAX_KINDS
        # No capacity is at least as large as another in every resource.
        self.note(*(specification.Size(i, kinds - i) for i in range(kinds)))
        self.check(specification.Size(900_000, 1))

    async def test_what_was_seen_once_stays_known_to_later_leaders(self):
        fleet = {'a': cases.make_instance(cores=64)}
        await self.save(fleet)
        await self.save({'b': cases.make_instance('b', cores=8)})
        with anyio.move_on_after(0.1):
            await capacities_module.run_read_loop(self.store, self.capacities)
        self.check(specification.Size(64000, 1000))
        self.assertRaises(
            exceptions.JobInvalid, self.check, specification.Size(64001, 1)
        )

    async def save(self, fleet):
        with anyio.move_on_after(0.1):
            await capacities_module.run_save_loop(self.store, fleet, 0.01)

    async def test_what_is_known_is_written_once(self):
        await self.save({'a': cases.make_instance()})
        item = await self.store.get(record.CAPACITIES)
        await self.save({'b': cases.make_instance('b')})
        rewritten = await self.store.get(record.CAPACITIES)
        self.assertEqual(item.revision, rewritten.revision)

    async def test_what_cannot_be_read_refuses_nothing(self):
        await self.store.put(record.CAPACITIES, '{"planner": 3}')
        await capacities_module.load(self.store, self.capacities)
        self.check(specification.Size(900_000, 1))

    def test_rooms_that_swing_are_kept_by_the_largest(self):
        """Jobs that fit no instance are accepted and never start.

        The capacity of an instance varied with each heartbeat, so the limit of
        recorded kinds was soon reached. From then on no job was refused for
        its size.
        """
        self.note(MANY_PROCESSORS)
        for millicores in range(60000, 63900, 10):
            self.note(specification.Size(millicores, 1000))
        self.note(MUCH_MEMORY)
        both = specification.Size(64000, 256000)
        self.assertRaises(exceptions.JobInvalid, self.check, both)
        self.check(MANY_PROCESSORS, MUCH_MEMORY)
