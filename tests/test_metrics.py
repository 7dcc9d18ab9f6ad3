import re

from persimmonsail import metrics
from tests import base

LINE = re.compile(
    r'(?P<name>[a-z_]+)(\{(?P<labels>.*)\})? (?P<value>[0-9.e+-]+)'
)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def read_quantile(duration, quantile):
    values = [
        sample.value
        for sample in duration.collect()
        if sample.labels.get('quantile') == str(quantile)
    ]
    return values[0] if values else None


class MetricsTest(base.TestCase):
    def test_counts_by_labels(self):
        counter = metrics.Counter('calls', 'Calls.', ('kind',))
        counter.increment('get')
        counter.increment('put', by=2)
        counter.increment('get')
        self.assertEqual((2, 2), (counter.read('get'), counter.read('put')))

    def test_quantiles_are_near_the_recorded_values(self):
        duration = metrics.Duration('wait', 'Waits.', (), Clock())
        for milliseconds in range(1, 1001):
            duration.record(milliseconds / 1000)
        self.assertAlmostEqual(0.5, read_quantile(duration, 0.5), delta=0.01)
        self.assertAlmostEqual(0.99, read_quantile(duration, 0.99), delta=0.01)

    def test_old_durations_leave_the_window(self):
        """Tail quantiles stay high all day after a slow hour.

        With one histogram for the lifetime of the process, a slow hour
        stays in the tail, and the recovery is not visible.
        """
        clock = Clock()
        duration = metrics.Duration('wait', 'Waits.', (), clock)
        duration.record(30.0)
        self.assertAlmostEqual(30, read_quantile(duration, 0.99), delta=0.5)
        clock.now += metrics.WINDOW_SECONDS
        duration.record(0.01)
        self.assertAlmostEqual(30, read_quantile(duration, 0.99), delta=0.5)
        clock.now += metrics.WINDOW_SECONDS
        self.assertAlmostEqual(
            0.01, read_quantile(duration, 0.99), delta=0.001
        )
        clock.now += 2 * metrics.WINDOW_SECONDS
        self.assertIsNone(read_quantile(duration, 0.99))

    def test_extreme_durations_are_clamped(self):
        duration = metrics.Duration('wait', 'Waits.', (), Clock())
        for seconds in (-1.0, 0.0, 1e9):
            duration.record(seconds)
        self.assertAlmostEqual(600, read_quantile(duration, 0.999), delta=6)

    def test_label_sets_are_bounded(self):
        """An entry exceeds its 64 MB after a day.

        A caller requests ever new names, and each becomes a label with
        a histogram of its own.
        """
        duration = metrics.Duration('wait', 'Waits.', ('name',), Clock())
        for number in range(5 * metrics.MAX_SERIES):
            duration.record(1.0, f'name-{number}')
        names = {sample.labels['name'] for sample in duration.collect()}
        self.assertEqual(metrics.MAX_SERIES + 1, len(names))
        self.assertIn(metrics.OTHER, names)

    def test_exposition_has_help_type_and_escaped_labels(self):
        counter = metrics.Counter('odd', 'Odd names.', ('name',))
        counter.increment('a"b\\c\nd')
        lines = metrics.render(counter).splitlines()
        self.assertIn('# HELP odd Odd names.', lines)
        self.assertIn('# TYPE odd counter', lines)
        self.assertIn(r'odd{name="a\"b\\c\nd"} 1', lines)
        for line in lines:
            if not line.startswith('#'):
                self.assertIsNotNone(LINE.fullmatch(line), line)
