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

    def add_best_effort(self, cores):
        step = cases.make_step(1, image='build', best_effort_cpu=True)
        run = cases.add_run(self.instance, step)
        run.gauge = cores * 1000
        return run

    def test_one_outlying_gauge_is_ignored(self):
        """Best-effort tasks are throttled although all targets are met.

        One of three gauges of a step was off by half.
        """
        for index, gauge in enumerate((10.0, 10.0, 19.0)):
            self.add_serving(index, gauge)
        ((image, _), fullness), *_ = gauges.read(self.instance).items()
        self.assertEqual('shop', image)
        self.assertAlmostEqual(1 - gauges.ZERO_FULLNESS_RATIO * 2, fullness)

    def test_usage_that_ended_recently_still_interferes(self):
        """A best-effort task is estimated to interfere with nothing.

        It had just stopped when the gauges of the serving tasks beside it were
        read, and they still showed its interference.
        """
        usage_filter = gauges.UsageFilter()
        run = self.add_best_effort(5)
        self.assertEqual(
            {'build': 0.5}, usage_filter.update(self.instance, 1).shares
        )
        self.instance.drop_run((run.task, run.number))
        usage = usage_filter.update(self.instance, 1.3)
        self.assertGreater(usage.shares['build'], 0.25)
        self.assertGreater(usage.recent_change, 0.25)
        self.assertEqual({}, usage_filter.update(self.instance, 9).shares)

    def test_recent_changes_increase_the_variance(self):
        unchanged = gauges.Sample(1.0, 0.5, {}, recent_change=0.0)
        changed = gauges.Sample(1.0, 0.5, {}, recent_change=0.5)
        self.assertGreater(
            gauges.measure_variance(unchanged, changed),
            2 * gauges.measure_variance(unchanged, unchanged),
        )
