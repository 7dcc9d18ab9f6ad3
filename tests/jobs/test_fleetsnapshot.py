import random

from persimmonsail.jobs import fleetsnapshot
from persimmonsail.jobs import interference
from persimmonsail.jobs import placement
from persimmonsail.jobs import specification
from tests import base
from tests.jobs import cases
from tests.jobs import scalar_placement

NOW = 100.0
SERVING_IMAGES = ('one', 'two', 'three')
BEST_EFFORT_IMAGES = ('light', 'heavy', 'other', 'new')


class PlacesTest(base.TestCase):
    """Compares vectorised placement with the scalar reference."""

    def setUp(self):
        super().setUp()
        self.random = random.Random(7)
        self.model = interference.Model()
        self.snapshot = fleetsnapshot.FleetSnapshot()
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
            image=self.random.choice(SERVING_IMAGES), latency_target_ms=18
        )

    def draw_best_effort(self):
        return self.draw_step(
            image=self.random.choice(BEST_EFFORT_IMAGES), best_effort_cpu=True
        )

    def draw_short(self):
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
            run.over_target_since = NOW - 1 if run.gauge > 18 else 0.0
        else:
            run.gauge = 0.5 * step.size.millicores

    def add_runs(self):
        for instance in self.fleet:
            for _ in range(self.random.randint(0, 3)):
                self.add_run(instance, self.draw_serving())
            for _ in range(self.random.randint(0, 3)):
                self.add_run(instance, self.draw_best_effort())
            self.model.learn(instance, NOW)

    def choose(self, task, min_speed):
        service = cases.QUEUE.service
        self.snapshot.refresh(self.fleet, self.model, NOW)
        candidates = placement.Candidates(
            self.snapshot,
            task.step,
            task.step_name,
            placement.find_usable(self.fleet, service, NOW),
        )
        return candidates, candidates.choose(task.avoid, min_speed)

    def test_vectorised_choice_equals_the_scalar_one(self):
        """Placement must follow the documented rules.

        The fleet is rated at once for a step, from rows that were read when
        their instance last changed.
        """
        self.add_runs()
        chosen = 0
        for number in range(300):
            draw = self.random.choice(
                (self.draw_serving, self.draw_best_effort, self.draw_short)
            )
            job = cases.make_job(draw(), id=f'{number:016x}')
            (task,) = job.tasks.values()
            if self.random.random() < 0.3:
                task.avoid.add(self.random.choice(self.fleet).address)
            min_speed = self.random.choice((0.0, 0.5, 0.95))
            expected = scalar_placement.choose(
                task,
                self.fleet,
                cases.QUEUE.service,
                self.model,
                NOW,
                min_speed,
            )
            _, found = self.choose(task, min_speed)
            self.assertIs(expected, found, task.step)
            if found is not None:
                chosen += 1
                self.add_run(found, task.step)
        self.assertGreater(chosen, 100)

    def test_a_claim_is_counted_before_the_next(self):
        """The tasks of a build must not all go to one instance.

        A round rates the fleet once for all of them, and the second task
        was placed without taking the first claim into account.
        """
        self.add_runs()
        step = self.draw_best_effort()
        job = cases.make_job(step)
        (task,) = job.tasks.values()
        candidates, found = self.choose(task, 0.0)
        for _ in range(30):
            expected = scalar_placement.choose(
                task, self.fleet, cases.QUEUE.service, self.model, NOW, 0.0
            )
            self.assertIs(expected, found)
            self.add_run(found, step)
            candidates.update_instance(found)
            found = candidates.choose(task.avoid, 0.0)

    def test_instances_may_be_added_and_removed(self):
        self.add_runs()
        job = cases.make_job(self.draw_short())
        (task,) = job.tasks.values()
        del self.fleet[3:]
        _, found = self.choose(task, 0.0)
        self.assertIn(found, (None, *self.fleet))
        self.fleet.append(cases.make_instance('10.0.1.1:7000', cores=512))
        job = cases.make_job(cases.make_step(1))
        (task,) = job.tasks.values()
        _, found = self.choose(task, 0.0)
        self.assertIs(self.fleet[-1], found)
