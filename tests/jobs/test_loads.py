import math

from persimmonsail.jobs import loads
from tests import base

POLL_SECONDS = 0.45
KEY = ('step', 'instance')


class LoadTest(base.TestCase):
    """Replays loads of different variation and period."""

    def follow(self, mean, amplitude, period, seconds=40.0):
        load = loads.Load(loads.Summary())
        now = 100.0
        while now < 100.0 + seconds:
            angle = 2 * math.pi * now / period
            load.note(mean + amplitude * math.sin(angle), now)
            now += POLL_SECONDS
        return load

    def test_mean_and_deviation_follow_the_load(self):
        for mean, amplitude, period in ((0.2, 0.05, 5.0), (0.5, 0.3, 10.0)):
            summary = self.follow(mean, amplitude, period).summary
            self.assertAlmostEqual(mean, summary.mean, delta=0.06)
            expected = amplitude / math.sqrt(2)
            self.assertAlmostEqual(expected, summary.deviation, delta=0.06)

    def test_a_new_step_starts_from_the_other_steps(self):
        typical = loads.Summary()
        for _ in range(100):
            typical.add(0.1, POLL_SECONDS)
        self.assertAlmostEqual(
            0.1, loads.Load(typical).summary.mean, delta=0.05
        )

    def test_a_rise_is_predicted_and_a_fall_is_not(self):
        load = loads.Load(loads.Summary())
        for poll in range(6):
            load.note(0.1 + 0.1 * poll, 100.0 + POLL_SECONDS * poll)
        self.assertGreater(load.predict_rise(), 0.1)
        for poll in range(6, 12):
            load.note(0.1 * (12 - poll), 100.0 + POLL_SECONDS * poll)
        self.assertEqual(0.0, load.predict_rise())

    def test_a_step_without_recent_readings_has_no_slope(self):
        load = loads.Load(loads.Summary())
        load.note(0.2, 100.0)
        load.note(0.4, 100.4)
        load.note(0.9, 109.0)
        self.assertEqual(0.0, load.slope)
        self.assertFalse(load.is_fresh(111.0))


class PredictionErrorsTest(base.TestCase):
    """Replays accurate and inaccurate predictions."""

    def replay(self, errors):
        prediction_errors = loads.PredictionErrors()
        now = 100.0
        for error in errors:
            prediction_errors.predict(KEY, 0.4, now)
            now += 1.0
            prediction_errors.resolve(KEY, 0.4 + error, 1.0, now)
        return prediction_errors

    def test_the_deviation_follows_the_prediction_errors(self):
        accurate = self.replay([0.01, -0.01] * 60)
        varied = self.replay([0.15, -0.15] * 60)
        self.assertLess(accurate.deviation, 0.03)
        self.assertGreater(varied.deviation, 0.1)

    def test_an_outlying_gauge_hardly_changes_the_deviation(self):
        """One outlying gauge throttles best-effort tasks for a minute."""
        before = self.replay([0.02, -0.02] * 60).deviation
        after = self.replay([0.02, -0.02] * 60 + [3.0]).deviation
        self.assertLess(after, 1.3 * before)

    def test_an_old_prediction_is_not_compared(self):
        prediction_errors = loads.PredictionErrors()
        prediction_errors.predict(KEY, 0.4, 100.0)
        before = prediction_errors.deviation
        prediction_errors.resolve(KEY, 5.0, 1.0, 110.0)
        self.assertEqual(before, prediction_errors.deviation)

    def test_an_ended_step_is_forgotten(self):
        prediction_errors = self.replay([0.1])
        prediction_errors.predict(KEY, 0.4, 200.0)
        prediction_errors.forget(KEY[0])
        before = prediction_errors.deviation
        prediction_errors.resolve(KEY, 5.0, 1.0, 201.0)
        self.assertEqual(before, prediction_errors.deviation)
