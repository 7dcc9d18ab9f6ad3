from persimmonsail.jobs import order
from tests import base
from tests.jobs import cases


# Core-milliseconds of a mean job.
MEAN_WORK = 16000.0


class OrderTest(base.TestCase):
    """Replays a burst of builds on a nearly full fleet."""

    def rate(self, age_ms, estimate_ms=4000, slowdown=1.0, count=1, done=0):
        job = cases.make_job(cases.make_step(count, estimate_ms=estimate_ms))
        for task in list(job.tasks.values())[:done]:
            job.note_placed(task)
            job.note_done(task)
        task = next(iter(job.waiting.values()))
        return order.rate(
            task, cases.QUEUE, age_ms, slowdown, MEAN_WORK
        ).sort_key

    def test_what_can_be_on_time_goes_before_what_cannot(self):
        """Builds of a burst must not all be late.

        The oldest ones, which were late in any case, took the capacity of
        those that could still be on time.
        """
        self.assertLess(self.rate(age_ms=1000), self.rate(age_ms=8000))

    def test_what_is_on_time_is_judged_at_the_speed_of_the_day(self):
        """Builds must not all be slightly late on a full fleet.

        Each could have been on time at full speed, so all were started, but
        none of them reached full speed.
        """
        self.assertLess(
            self.rate(age_ms=0, slowdown=2.0),
            self.rate(age_ms=3500, slowdown=2.0),
        )

    def test_of_two_on_time_the_one_with_less_work_left_goes_first(self):
        """Builds must not all be slightly late on a full fleet.

        With least-slack-first, the fleet worked on all of them
        concurrently.
        """
        self.assertLess(
            self.rate(age_ms=0, count=8, done=6),
            self.rate(age_ms=3000, count=8, done=0),
        )

    def test_a_small_job_goes_first_but_a_large_one_is_not_starved(self):
        """The largest builds of a burst must not always be late.

        Smaller builds preceded them, even when they were nearly done.
        """
        small = self.rate(age_ms=0, count=2)
        self.assertLess(small, self.rate(age_ms=0, count=16))
        self.assertLess(self.rate(age_ms=0, count=16, done=14), small)

    def test_of_two_late_ones_the_shorter_goes_first(self):
        self.assertLess(
            self.rate(age_ms=9000, estimate_ms=2000),
            self.rate(age_ms=20000, estimate_ms=6000),
        )

    def test_what_earns_nothing_more_goes_last(self):
        self.assertLess(
            self.rate(age_ms=12000, estimate_ms=4000),
            self.rate(age_ms=40000, estimate_ms=2000),
        )
