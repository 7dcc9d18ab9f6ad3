import random

from persimmonsail.jobs import gauges
from persimmonsail.jobs import interference
from persimmonsail.jobs import throttling
from tests import base
from tests.jobs import cases

TARGET_MS = 18
BASE_MS = 4.0
POLL_SECONDS = 0.45
SERVING = cases.make_step(
    1, image='shop', latency_target_ms=TARGET_MS, long_running=True
)


def make_best_effort_step(image):
    return cases.make_step(1, image=image, best_effort_cpu=True)


class Fleet:
    """Instances whose gauges follow the queue that the model assumes.

    Parameters
    ----------
    coefficients : dict of str to float
        The true coefficient of each best-effort image.
    """

    def __init__(self, coefficients, seed=1):
        self.coefficients = coefficients
        self.random = random.Random(seed)
        self.instances = [
            cases.make_instance(f'10.0.0.{i}:7000') for i in range(3)
        ]
        for i, instance in enumerate(self.instances):
            cases.add_run(instance, SERVING, f'00000000000000bb.0.0.{i}')

    def add_best_effort(self, index, image, cores):
        step = make_best_effort_step(image)
        name = f'00000000000000c{index}.0.0.{len(self.instances[index].runs)}'
        run = cases.add_run(self.instances[index], step, name)
        run.gauge = cores * 1000
        return run

    def poll(self, model, now, load):
        for instance in self.instances:
            shares = gauges.measure_shares(instance)
            fullness = load + sum(
                self.coefficients[image] * share
                for image, share in shares.items()
            )
            for run in instance.serving:
                noise_factor = self.random.uniform(0.95, 1.05)
                run.gauge = BASE_MS / (1 - min(fullness, 0.98)) * noise_factor
                is_over = run.gauge > TARGET_MS
                run.over_target_since = (
                    (run.over_target_since or now) if is_over else 0.0
                )
            model.learn(instance, now)


class InterferenceTest(base.TestCase):
    """Replays best-effort tasks colocated with varying serving load.

    Half of the images interfere with colocated serving tasks, the others
    don't. Only gauges show which is which, and the load varies by half within
    seconds.
    """

    def simulate(self, fleet, model, seconds=20.0):
        now = 100.0
        while now < 100.0 + seconds:
            load = 0.42 + 0.21 * (((now * 0.2) % 2) - 1)
            fleet.poll(model, now, load)
            now += POLL_SECONDS
        return now

    def test_it_tells_what_presses_from_what_does_not(self):
        model = interference.Model()
        fleet = Fleet({'loud': 2.0, 'quiet': 0.0})
        fleet.add_best_effort(0, 'loud', 6)
        fleet.add_best_effort(1, 'quiet', 20)
        self.simulate(fleet, model)
        loud = model.get_coefficient('shop', 'loud')
        quiet = model.get_coefficient('shop', 'quiet')
        self.assertGreater(loud, 1.0)
        self.assertLess(quiet, 0.15)

    def test_what_does_not_press_works_at_full_speed(self):
        """Best-effort tasks are throttled although they don't interfere.

        A serving task missed its target once, and all best-effort tasks beside
        it were throttled alike.
        """
        model = interference.Model()
        fleet = Fleet({'loud': 2.0, 'quiet': 0.0})
        loud = fleet.add_best_effort(0, 'loud', 6)
        quiet = fleet.add_best_effort(0, 'quiet', 6)
        fleet.add_best_effort(1, 'quiet', 20)
        fleet.add_best_effort(2, 'loud', 3)
        now = self.simulate(fleet, model)
        instance = fleet.instances[0]
        loud.due_at = quiet.due_at = now + 10
        fleet.poll(model, now, 0.65)
        changes = {
            change.run: change.percent
            for change in throttling.choose_changes(instance, model, now)
        }
        self.assertNotIn(quiet, changes)
        self.assertLess(changes[loud], 60)

    def test_a_missed_target_stops_what_presses_in_time(self):
        """A serving task misses its target for 4 s beside a best-effort task.

        Nothing was learned about the pair yet, so the best-effort task's speed
        limit was estimated to be harmless.
        """
        model = interference.Model()
        fleet = Fleet({'loud': 6.0})
        run = fleet.add_best_effort(0, 'loud', 20)
        now = 100.0
        while now < 103.0:
            fleet.poll(model, now, 0.5)
            for change in throttling.choose_changes(
                fleet.instances[0], model, now
            ):
                run.speed_limit = change.percent
                run.speed_limit_at = now
            now += POLL_SECONDS
        self.assertEqual(0, run.speed_limit)

    def test_what_is_due_first_gets_the_pressure(self):
        """All best-effort tasks of a burst miss their due time by a little.

        The tolerable interference was shared between them equally.
        """
        model = interference.Model()
        fleet = Fleet({'loud': 2.0})
        early = fleet.add_best_effort(0, 'loud', 4)
        late = fleet.add_best_effort(0, 'loud', 4)
        fleet.add_best_effort(1, 'loud', 3)
        now = self.simulate(fleet, model)
        early.due_at, late.due_at = now + 2, now + 9
        early.step = late.step = cases.make_step(
            1,
            image='loud',
            best_effort_cpu=True,
            size=cases.specification.Size(10000, 100),
        )
        fleet.poll(model, now, 0.3)
        early.speed_limit_at = late.speed_limit_at = 0.0
        changes = {
            change.run: change.percent
            for change in throttling.choose_changes(
                fleet.instances[0], model, now
            )
        }
        self.assertGreater(
            changes.get(early, early.speed_limit),
            changes.get(late, late.speed_limit),
        )
