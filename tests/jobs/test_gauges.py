from persimmonsail.jobs import gauges
from tests import base
from tests.jobs import cases

TARGET_MS = 20


class GaugesTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.instance = cases.make_instance(cores=10)

    def add_serving(self, index, gauge):
        step = cases.make_step(1, image='shop', latency_target_ms=TARGET_MS)
        name = f'00000000000000aa.0.0.{index}'
        cases.add_run(self.instance, step, name).gauge = gauge

    def add_filling(self, cores):
        step = cases.make_step(1, image='build', best_effort_cpu=True)
        run = cases.add_run(self.instance, step)
        run.gauge = cores * 1000
        return run

    def test_one_gauge_that_is_off_is_not_believed(self):
        """Builds are slowed although every watcher is well.

        One of three gauges of a step was off by half.
        """
        for index, gauge in enumerate((10.0, 10.0, 19.0)):
            self.add_serving(index, gauge)
        ((image, _), full), *_ = gauges.read(self.instance).items()
        self.assertEqual('shop', image)
        self.assertAlmostEqual(1 - gauges.UNIT_PART * 2, full)

    def test_what_left_a_moment_ago_still_presses(self):
        """A build is taken for harmless.

        It had just stopped when the watchers beside it were looked at,
        and their gauges still showed it.
        """
        pressing = gauges.Pressing()
        run = self.add_filling(5)
        self.assertEqual(
            {'build': 0.5}, pressing.follow(self.instance, 1).parts
        )
        self.instance.drop_run((run.task, run.number))
        found = pressing.follow(self.instance, 1.3)
        self.assertGreater(found.parts['build'], 0.25)
        self.assertGreater(found.changed, 0.25)
        self.assertEqual({}, pressing.follow(self.instance, 9).parts)

    def test_what_changed_just_now_makes_a_gauge_doubtful(self):
        calm = gauges.Sample(1.0, 0.5, {}, changed=0.0)
        changed = gauges.Sample(1.0, 0.5, {}, changed=0.5)
        self.assertGreater(
            gauges.measure_variance(calm, changed),
            2 * gauges.measure_variance(calm, calm),
        )
