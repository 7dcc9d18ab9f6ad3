import random

from persimmonsail.jobs import gauges
from persimmonsail.jobs import interference
from persimmonsail.jobs import pace
from tests import base
from tests.jobs import cases

TARGET_MS = 18
OWN_MS = 4.0
LOOK_SECONDS = 0.45
SERVING = cases.make_step(
    1, image='shop', latency_target_ms=TARGET_MS, long_running=True
)


def make_filler(image):
    return cases.make_step(1, image=image, best_effort_cpu=True)


class Fleet:
    """Instances whose gauges follow the queue that the model assumes.

    Parameters
    ----------
    pressures : dict of str to float
        The true coefficient of each best-effort image.
    """

    def __init__(self, pressures, seed=1):
        self.pressures = pressures
        self.random = random.Random(seed)
        self.instances = [
            cases.make_instance(f'10.0.0.{i}:7000') for i in range(3)
        ]
        for i, instance in enumerate(self.instances):
            cases.add_run(instance, SERVING, f'00000000000000bb.0.0.{i}')

    def fill(self, index, image, cores):
        step = make_filler(image)
        name = f'00000000000000c{index}.0.0.{len(self.instances[index].runs)}'
        run = cases.add_run(self.instances[index], step, name)
        run.gauge = cores * 1000
        return run

    def look(self, model, now, load):
        for instance in self.instances:
            parts = gauges.measure_parts(instance)
            full = load + sum(
                self.pressures[image] * part for image, part in parts.items()
            )
            for run in instance.serving:
                noise = self.random.uniform(0.95, 1.05)
                run.gauge = OWN_MS / (1 - min(full, 0.98)) * noise
                over = run.gauge > TARGET_MS
                run.over_since = (run.over_since or now) if over else 0.0
            model.learn(instance, now)


class InterferenceTest(base.TestCase):
    """Replays best-effort tasks beside serving ones whose load swings.

    Half of the images press on what serves beside them, the others not
    at all; which is which shows only in gauges, and the load swings by
    half within seconds.
    """

    def play(self, fleet, model, seconds=20.0):
        now = 100.0
        while now < 100.0 + seconds:
            swing = 0.42 + 0.21 * (((now * 0.2) % 2) - 1)
            fleet.look(model, now, swing)
            now += LOOK_SECONDS
        return now

    def test_it_tells_what_presses_from_what_does_not(self):
        model = interference.Model()
        fleet = Fleet({'loud': 2.0, 'quiet': 0.0})
        fleet.fill(0, 'loud', 6)
        fleet.fill(1, 'quiet', 20)
        self.play(fleet, model)
        loud = model.get_coefficient('shop', 'loud')
        quiet = model.get_coefficient('shop', 'quiet')
        self.assertGreater(loud, 1.0)
        self.assertLess(quiet, 0.15)

    def test_what_does_not_press_works_at_full_speed(self):
        """Builds crawl although they disturb nobody.

        A watcher beside them was over its target once, and everything
        beside it was slowed alike.
        """
        model = interference.Model()
        fleet = Fleet({'loud': 2.0, 'quiet': 0.0})
        loud = fleet.fill(0, 'loud', 6)
        quiet = fleet.fill(0, 'quiet', 6)
        fleet.fill(1, 'quiet', 20)
        fleet.fill(2, 'loud', 3)
        now = self.play(fleet, model)
        instance = fleet.instances[0]
        loud.due = quiet.due = now + 10
        fleet.look(model, now, 0.65)
        changes = {
            change.run: change.percent
            for change in pace.decide(instance, model, now)
        }
        self.assertNotIn(quiet, changes)
        self.assertLess(changes[loud], 60)

    def test_a_missed_target_stops_what_presses_in_time(self):
        """A watcher stays over its target for 4 s beside a build.

        Nothing was learnt of the pair yet, so that the build's pace is
        thought harmless.
        """
        model = interference.Model()
        fleet = Fleet({'loud': 6.0})
        run = fleet.fill(0, 'loud', 20)
        now = 100.0
        while now < 103.0:
            fleet.look(model, now, 0.5)
            for change in pace.decide(fleet.instances[0], model, now):
                run.pace = change.percent
                run.paced_at = now
            now += LOOK_SECONDS
        self.assertEqual(0, run.pace)

    def test_what_is_due_first_gets_the_pressure(self):
        """All builds of a burst are late by a little.

        What a watcher bears was shared between them alike.
        """
        model = interference.Model()
        fleet = Fleet({'loud': 2.0})
        early = fleet.fill(0, 'loud', 4)
        late = fleet.fill(0, 'loud', 4)
        fleet.fill(1, 'loud', 3)
        now = self.play(fleet, model)
        early.due, late.due = now + 2, now + 9
        early.step = late.step = cases.make_step(
            1,
            image='loud',
            best_effort_cpu=True,
            size=cases.specification.Size(10000, 100),
        )
        fleet.look(model, now, 0.3)
        early.paced_at = late.paced_at = 0.0
        changes = {
            change.run: change.percent
            for change in pace.decide(fleet.instances[0], model, now)
        }
        self.assertGreater(
            changes.get(early, early.pace), changes.get(late, late.pace)
        )
