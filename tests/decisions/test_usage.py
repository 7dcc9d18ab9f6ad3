from persimmonsail.decisions import interference
from persimmonsail.decisions import usage
from tests import base

CORES = 64.0


def make_report(begin, end, cores=None, count=10, seconds=2.0):
    latency = usage.ClassLatency('check', count, seconds)
    return usage.Report(begin, end, (latency,), cores or {})


class TimelineTest(base.TestCase):
    def test_task_counts_for_its_part_of_a_window(self):
        timeline = usage.Timeline(CORES)
        timeline.note_start('1', 'build', 16.0, at=5.0)
        timeline.note_stop('1', at=8.0)
        self.assertEqual(
            {'build': 0.25 * 0.5}, timeline.find_past_shares(2.0, 8.0, {})
        )
        self.assertEqual({}, timeline.find_shares())

    def test_throttled_task_uses_less_from_then_on(self):
        timeline = usage.Timeline(CORES)
        timeline.note_start('1', 'build', 16.0, at=0.0)
        timeline.note_speed('1', 0.5, at=10.0)
        self.assertEqual({'build': 0.125}, timeline.find_shares())
        self.assertEqual(
            {'build': 0.25}, timeline.find_past_shares(0.0, 10.0, {})
        )

    def test_measured_use_replaces_the_declared(self):
        timeline = usage.Timeline(CORES)
        timeline.note_start('1', 'build', 16.0, at=0.0)
        timeline.note_speed('1', 0.5, at=1.0)
        timeline.note_usage('1', 4.0)
        self.assertEqual([('1', 'build', 0.125, 0.5)], timeline.list_tasks())

    def test_history_is_limited(self):
        timeline = usage.Timeline(CORES, history_seconds=10.0)
        for number in range(100):
            timeline.note_start(str(number), 'build', 1.0, at=number)
            timeline.note_stop(str(number), at=number + 0.5)
        self.assertEqual({}, timeline.find_past_shares(0.0, 80.0, {}))

    def test_reported_windows_update_the_history(self):
        timeline = usage.Timeline(CORES)
        task_use = usage.TaskUsage('1', 'build', 8.0, 0.5, True)
        timeline.sync(usage.Window(1, 0.0, 1.0, (task_use,)))
        self.assertEqual([('1', 'build', 0.25, 0.5)], timeline.list_tasks())
        timeline.sync(usage.Window(2, 1.0, 2.0, ()))
        self.assertEqual([], timeline.list_tasks())
        self.assertEqual(
            {'build': 0.125}, timeline.find_past_shares(0.0, 1.0, {})
        )


class LatencyLogTest(base.TestCase):
    def test_requests_count_in_the_window_they_ended_in(self):
        log = usage.LatencyLog()
        for second in range(10):
            log.note('check', 0.5, float(second))
        log.note('other', 2.0, 4.5)
        found = {c.workload: c for c in log.find(3.0, 5.0)}
        self.assertEqual(2, found['check'].count)
        self.assertEqual(0.5, found['check'].mean)
        self.assertEqual(2.0, found['other'].mean)


class ProtocolTest(base.TestCase):
    def test_sample_keeps_its_age_across_clocks(self):
        sample = interference.Sample('check', 0.5, 4, {'a': 0.25}, 0.5, 90.0)
        message = usage.describe_sample(sample, now=100.0)
        read = usage.read_sample(message, now=5.0)
        self.assertEqual(-5.0, read.measured_at)
        self.assertEqual({'a': 0.25}, read.shares)


class JoinerTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.timeline = usage.Timeline(CORES)
        self.joiner = usage.Joiner(self.timeline, slots=8)

    def test_late_report_is_attributed_to_tasks_of_its_window(self):
        """A slow window must not be attributed to tasks started later.

        The noisy task ran during the window and ended; the harmless one
        had started by the time the report arrived. Misattribution would
        keep harmless tasks away and colocate noisy ones with requests.
        """
        self.timeline.note_start('1', 'noisy', 16.0, at=0.0)
        self.timeline.note_stop('1', at=10.0)
        self.timeline.note_start('2', 'harmless', 16.0, at=10.0)
        samples = self.joiner.join(make_report(5.0, 10.0), now=40.0)
        self.assertEqual({'noisy': 0.25}, samples[0].shares)
        self.assertEqual(10.0, samples[0].measured_at)
        self.assertEqual(30.0, self.joiner.lag)

    def test_missing_measurement_falls_back_to_the_declared(self):
        self.timeline.note_start('1', 'build', 16.0, at=0.0)
        self.timeline.note_start('2', 'build', 16.0, at=0.0)
        report = make_report(0.0, 5.0, {'1': 8.0})
        samples = self.joiner.join(report, now=6.0)
        self.assertEqual({'build': 0.125 + 0.25}, samples[0].shares)

    def test_report_older_than_the_history_is_dropped(self):
        samples = self.joiner.join(make_report(0.0, 5.0), now=500.0)
        self.assertEqual([], samples)
        self.assertEqual(1, self.joiner.dropped)

    def test_sample_has_mean_and_load(self):
        sample = self.joiner.join(make_report(0.0, 5.0), now=6.0)[0]
        self.assertAlmostEqual(0.2, sample.seconds)
        self.assertAlmostEqual(2.0 / (5.0 * 8), sample.busy)
        self.assertEqual({'check': 2.0 / (5.0 * 8)}, self.joiner.demand)

    def test_class_without_requests_gives_no_sample(self):
        report = make_report(0.0, 5.0, count=0, seconds=0.0)
        self.assertEqual([], self.joiner.join(report, now=6.0))
