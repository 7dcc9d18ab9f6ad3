import random

from persimmonsail.decisions import retryafter
from tests import base


def make_scheduler(
    rate: float, seconds: int = 60
) -> retryafter.RetryScheduler:
    scheduler = retryafter.RetryScheduler(random.Random(1))
    for number in range(int(rate * seconds)):
        scheduler.drain_rate.note(number / rate)
    return scheduler


class RateTest(base.TestCase):
    def test_the_rate_is_right_from_the_first_seconds(self):
        rate = retryafter.Rate()
        for number in range(30):
            rate.note(number / 10)
        self.assertAlmostEqual(10, rate.find(3.0), delta=1)

    def test_the_rate_decays_without_events(self):
        rate = retryafter.Rate()
        for number in range(600):
            rate.note(number / 10)
        self.assertAlmostEqual(10, rate.find(60), delta=1)
        self.assertLess(rate.find(180), 1)


class RetrySchedulerTest(base.TestCase):
    def test_a_caller_waits_as_long_as_the_backlog_takes(self):
        wait = make_scheduler(rate=5).find_retry_after(60, 100, 1)
        self.assertTrue(18 <= wait <= 30, wait)

    def test_rejected_callers_return_at_the_drain_rate(self):
        """A burst of rejected callers must not return as one burst.

        Five hundred are rejected in one second; with equal retry times
        they would be rejected together again and again.
        """
        scheduler = make_scheduler(rate=5)
        times = sorted(
            60 + number / 500 + scheduler.find_retry_after(60, 10, 1)
            for number in range(500)
        )
        for start in range(62, 150, 10):
            returning = sum(start <= time < start + 10 for time in times)
            self.assertLessEqual(returning, 70)

    def test_the_fallback_is_used_until_a_rate_is_measured(self):
        scheduler = retryafter.RetryScheduler(random.Random(1))
        wait = scheduler.find_retry_after(0, 10, 2)
        self.assertTrue(5 <= wait <= 6.25, wait)

    def test_no_drain_rate_means_the_maximum_wait(self):
        scheduler = retryafter.RetryScheduler(random.Random(1))
        self.assertEqual(
            retryafter.MAX_RETRY_SECONDS, scheduler.find_retry_after(0, 10, 0)
        )
