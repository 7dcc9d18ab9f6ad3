import random

from persimmonsail.jobs import interference
from persimmonsail.jobs import placement
from persimmonsail.jobs import places
from persimmonsail.jobs import specification
from tests import base
from tests.jobs import cases
from tests.jobs import scalar_placement

NOW = 100.0
IMAGES = ('one', 'two', 'three')
FILLING = ('light', 'heavy', 'other', 'new')


class PlacesTest(base.TestCase):
    """Holds vectors to what one instance after the other would choose."""

    def setUp(self):
        super().setUp()
        self.random = random.Random(7)
        self.model = interference.Model()
        self.places = places.Places()
        self.fleet = [
            cases.make_instance(
                f'10.0.0.{i}:7000',
                cores=self.random.choice((32, 64)),
                rack=f'r{i % 4}',
                labels=(f'r{i % 4}',),
            )
            for i in range(24)
        ]
        self.count = 0

    def draw_step(self, **fields):
        size = specification.Size(
            self.random.randint(1, 20) * 1000, self.random.randint(1, 9) * 1000
        )
        return cases.make_step(1, size=size, **fields)

    def draw_serving(self):
        return self.draw_step(
            image=self.random.choice(IMAGES), latency_target_ms=18
        )

    def draw_filling(self):
        return self.draw_step(
            image=self.random.choice(FILLING), best_effort_cpu=True
        )

    def draw_quick(self):
        return self.draw_step(
            label=self.random.choice(('', 'r1')),
            data_rack=self.random.choice(('', 'r2')),
            most_per_instance=self.random.choice((0, 1)),
        )

    def add_run(self, instance, step):
        self.count += 1
        name = f'{self.count % 40:016x}.0.0.{self.count}'
        run = cases.add_run(instance, step, name)
        if step.latency_target_ms:
            run.gauge = self.random.uniform(4.0, 19.0)
            run.over_since = NOW - 1 if run.gauge > 18 else 0.0
        else:
            run.gauge = 0.5 * step.size.millicores

    def fill(self):
        for instance in self.fleet:
            for _ in range(self.random.randint(0, 3)):
                self.add_run(instance, self.draw_serving())
            for _ in range(self.random.randint(0, 3)):
                self.add_run(instance, self.draw_filling())
            self.model.learn(instance, NOW)

    def choose(self, task, least_speed):
        service = cases.QUEUE.service
        self.places.refresh(self.fleet, self.model, NOW)
        candidates = placement.Candidates(
            self.places,
            task.step,
            task.step_name,
            placement.find_usable(self.fleet, service, NOW),
        )
        return candidates, candidates.choose(task.avoid, least_speed)

    def test_the_fleet_is_rated_as_each_instance_is(self):
        """Tasks go elsewhere than the documents say.

        The fleet is rated at once for a step, from what was read of each
        instance when it last changed.
        """
        self.fill()
        chosen = 0
        for number in range(300):
            draw = self.random.choice(
                (self.draw_serving, self.draw_filling, self.draw_quick)
            )
            job = cases.make_job(draw(), id=f'{number:016x}')
            (task,) = job.tasks.values()
            if self.random.random() < 0.3:
                task.avoid.add(self.random.choice(self.fleet).address)
            least = self.random.choice((0.0, 0.5, 0.95))
            expected = scalar_placement.choose(
                task, self.fleet, cases.QUEUE.service, self.model, NOW, least
            )
            _, found = self.choose(task, least)
            self.assertIs(expected, found, task.step)
            if found is not None:
                chosen += 1
                self.add_run(found, task.step)
        self.assertGreater(chosen, 100)

    def test_a_claim_is_counted_before_the_next(self):
        """All tasks of a build crowd on one instance.

        A round rates the fleet once for all of them, and the first claim
        did not change what the second was told.
        """
        self.fill()
        step = self.draw_filling()
        job = cases.make_job(step)
        (task,) = job.tasks.values()
        candidates, found = self.choose(task, 0.0)
        for _ in range(30):
            expected = scalar_placement.choose(
                task, self.fleet, cases.QUEUE.service, self.model, NOW, 0.0
            )
            self.assertIs(expected, found)
            self.add_run(found, step)
            candidates.note_change(found)
            found = candidates.choose(task.avoid, 0.0)

    def test_instances_may_come_and_go(self):
        self.fill()
        job = cases.make_job(self.draw_quick())
        (task,) = job.tasks.values()
        del self.fleet[3:]
        _, found = self.choose(task, 0.0)
        self.assertIn(found, (None, *self.fleet))
        self.fleet.append(cases.make_instance('10.0.1.1:7000', cores=512))
        job = cases.make_job(cases.make_step(1))
        (task,) = job.tasks.values()
        _, found = self.choose(task, 0.0)
        self.assertIs(self.fleet[-1], found)
