import dataclasses
import random

from persimmonsail.jobs import admission
from persimmonsail.jobs import backlog
from persimmonsail.jobs import order
from persimmonsail.jobs import specification
from tests import base
from tests.jobs import cases

# One task of 10 s on one core: its objective is 21 s, and it is of no use
# after 63 s.
STEP = cases.make_step(estimate_ms=10_000)
JOB = specification.Specification('', (STEP,))
MEAN_WORK = JOB.work_core_ms
# A core's work in a second.
CORE = 1000.0
LIMIT_SECONDS = 63.0


def make_forecast(ahead_seconds, cores=1.0, arriving=0.0, saturated=30.0):
    """Return a forecast with so much work ahead of each new job."""
    level = backlog.Level(
        0, 0.0, ahead_seconds * cores * CORE, arriving * CORE
    )
    return backlog.Forecast(cores * CORE, saturated, (level,))


def decide(forecast, job=JOB, queue=cases.QUEUE):
    return admission.decide(forecast, queue, job, MEAN_WORK)


class DecideTest(base.TestCase):
    """Callers hand in more work than a service does."""

    def test_what_ends_too_late_is_rejected(self):
        """Guards against callers that wait for a job that is of no use."""
        decision = decide(make_forecast(ahead_seconds=90.0))
        self.assertFalse(decision.is_admitted)
        self.assertAlmostEqual(100.0, decision.end_seconds)
        self.assertAlmostEqual(LIMIT_SECONDS, decision.limit_seconds)

    def test_what_may_end_in_time_is_admitted(self):
        """Guards against rejections because of an error of the forecast."""
        self.assertTrue(decide(make_forecast(70.0)).is_admitted)

    def test_sustained_arrivals_count_for_as_long_as_they_have_lasted(self):
        """Guards against a queue that grows faster than it is served."""
        overload = make_forecast(20.0, arriving=1.5, saturated=60.0)
        decision = decide(overload)
        self.assertFalse(decision.is_admitted)
        self.assertAlmostEqual(30.0 + 1.5 * 60.0, decision.end_seconds)
        burst = make_forecast(20.0, arriving=1.5, saturated=5.0)
        self.assertTrue(decide(burst).is_admitted)

    def test_arrivals_delay_what_they_precede(self):
        forecast = make_forecast(20.0, arriving=0.5, saturated=120.0)
        self.assertAlmostEqual(60.0, decide(forecast).end_seconds)

    def test_only_work_that_precedes_a_job_counts(self):
        """Guards against small jobs rejected for large ones."""
        cost = order.rate_new(MEAN_WORK, cases.QUEUE, MEAN_WORK).cost
        later = (
            backlog.Level(0, cost + 0.1, 1e9),
            backlog.Level(1, 0.0, 1e9),
        )
        forecast = backlog.Forecast(CORE, 30.0, later)
        decision = decide(forecast)
        self.assertTrue(decision.is_admitted)
        self.assertEqual(0.0, decision.ahead_core_ms)
        less_urgent = dataclasses.replace(cases.QUEUE, priority=2)
        self.assertFalse(decide(forecast, queue=less_urgent).is_admitted)

    def test_without_a_rate_everything_is_admitted(self):
        """Guards against rejections by a leader that knows no rate yet."""
        level = backlog.Level(0, 0.0, 1e9)
        unknown = backlog.Forecast(0.0, 30.0, (level,))
        self.assertTrue(decide(unknown).is_admitted)

    def test_what_has_no_end_or_objective_is_admitted(self):
        forecast = make_forecast(1000.0)
        for fields in (
            {'steps': (dataclasses.replace(STEP, long_running=True),)},
            {'steps': (STEP,), 'occurrences': 2, 'interval_ms': 1000},
        ):
            job = specification.Specification('', **fields)
            self.assertTrue(decide(forecast, job).is_admitted)
        aimless = dataclasses.replace(
            cases.QUEUE, slack_factor=0.0, target_ms=0
        )
        self.assertTrue(decide(forecast, queue=aimless).is_admitted)


class RetryTimesTest(base.TestCase):
    """A crowd of callers is rejected at the same moment."""

    def choose(self, times, ahead_seconds=90.0):
        decision = decide(make_forecast(ahead_seconds))
        return times.choose('planner', decision, CORE / MEAN_WORK, 100.0)

    def test_callers_return_when_their_jobs_can_be_in_time(self):
        seconds = self.choose(admission.RetryTimes(random.Random(1)))
        self.assertGreater(seconds, 79.0)

    def test_a_crowd_returns_as_fast_as_it_is_served(self):
        """Guards against rejected callers that all return at once."""
        times = admission.RetryTimes(random.Random(1))
        seconds = sorted(self.choose(times) for _ in range(10))
        self.assertGreater(seconds[-1] - seconds[0], 70.0)
        self.assertEqual(10, len({round(value) for value in seconds}))
