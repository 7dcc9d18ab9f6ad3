from persimmonsail.jobs import backlog
from persimmonsail.jobs import backlogmeter
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import order
from tests import base
from tests.jobs import cases

QUEUES = {cases.QUEUE.name: cases.QUEUE}
SERVICE = cases.QUEUE.service
# Of each task, in core-milliseconds.
WORK = 20_000
TASKS = 10
# More than any test measures.
IDS = [f'{number:016x}' for number in range(1, 400)]


class MeterTest(base.TestCase):
    """Callers hand in work for longer than a burst."""

    def setUp(self):
        super().setUp()
        self.board = board_module.Board()
        self.measured = backlogmeter.Meter()
        self.now = 100.0
        self.ids = iter(IDS)

    def submit(self, tasks=TASKS, **fields):
        step = cases.make_step(tasks, estimate_ms=WORK, **fields)
        job = cases.make_job(
            step, id=next(self.ids), accepted_ms=int(self.now * 1000)
        )
        self.board.add(job)
        return job

    def finish(self, job, count=1):
        """Let tasks of a job be placed and end."""
        for task in list(job.waiting.values())[:count]:
            run = self.board.place(task, '10.0.0.1:7000', 'boot-1')
            self.board.note_end(task, run, board_module.End.DONE, '', 1)

    def measure(self, seconds=0.5):
        self.now += seconds
        self.measured.measure(self.board, QUEUES, {}, self.now, self.now)
        return self.measured.forecasts.get(SERVICE)

    def saturate(self, job, seconds=10):
        """Finish one task each second beside waiting ones."""
        for _ in range(seconds):
            self.finish(job)
            forecast = self.measure(1.0)
        return forecast

    def test_the_rate_of_a_saturated_service_is_measured(self):
        self.measure()
        job = self.submit(tasks=30)
        self.measure()
        forecast = self.saturate(job)
        self.assertAlmostEqual(WORK, forecast.rate, delta=0.15 * WORK)
        ahead = forecast.find_ahead(order.Urgency(0, 0, 1.0))
        self.assertEqual(20 * WORK, ahead)

    def test_an_outage_of_the_store_does_not_lower_the_rate(self):
        """Guards against rejections after seconds without any starts."""
        self.measure()
        job = self.submit(tasks=30)
        self.measure()
        before = self.saturate(job).rate
        self.assertAlmostEqual(before, self.measure(8.0).rate)

    def test_there_is_no_forecast_before_the_rate_is_known(self):
        """Guards against rejections in the first seconds of a burst."""
        job = self.submit(tasks=30)
        self.measure()
        self.assertEqual(0.0, self.saturate(job, 3).rate)

    def test_a_service_without_waiting_tasks_has_no_forecast(self):
        """Guards against a rate that only shows what callers hand in."""
        job = self.submit(tasks=10)
        self.measure()
        self.saturate(job, 9)
        self.finish(job)
        self.assertEqual(backlog.Forecast(), self.measure())

    def test_what_arrives_is_counted_once(self):
        self.measure()
        first = self.submit(tasks=30)
        self.measure()
        self.saturate(first, 9)
        self.submit()
        forecast = self.measure(1.0)
        arriving = sum(level.arriving_core_ms for level in forecast.levels)
        again = self.measure(1.0)
        self.assertGreater(arriving, 0.0)
        self.assertLess(
            sum(level.arriving_core_ms for level in again.levels), arriving
        )

    def test_what_a_new_leader_finds_did_not_arrive_just_now(self):
        """Guards against a takeover that looks like a crowd of callers."""
        jobs = [self.submit(tasks=30) for _ in range(5)]
        self.measure()
        forecast = self.saturate(jobs[0])
        self.assertGreater(forecast.rate, 0.0)
        arriving = [level.arriving_core_ms for level in forecast.levels]
        self.assertEqual(0.0, sum(arriving))

    def test_tasks_that_wait_beside_free_capacity_end_no_forecast(self):
        """Guards against rejecting all jobs for some that can't be placed.

        Steps that need a label which no instance has wait for as long as
        they are on time, while all other jobs are done at once.
        """
        self.measure()
        urgency = order.rate_new(WORK, cases.QUEUE, WORK)
        for _ in range(120):
            self.submit(tasks=1)
            quick = self.submit(tasks=1)
            self.measure()
            self.finish(quick)
            quick.progress.ended_ms = quick.accepted_ms + 500
            forecast = self.measure()
        self.assertGreater(forecast.rate, 0.0)
        self.assertGreater(forecast.saturated_seconds, 100.0)
        self.assertLess(forecast.find_end(urgency, WORK), 10.0)

    def test_jobs_that_last_are_no_backlog(self):
        self.measure()
        self.submit(long_running=True)
        self.assertIsNone(self.measure())

    def test_late_jobs_precede_no_new_one(self):
        """Guards against rejections for jobs that are of no use themselves."""
        self.measure()
        job = self.submit(tasks=90)
        self.measure()
        forecast = self.saturate(job, 40)
        urgency = order.rate_new(WORK, cases.QUEUE, WORK)
        self.assertEqual(0.0, forecast.find_ahead(urgency))

    def test_measurements_are_numbered_and_not_more_frequent(self):
        self.measure()
        self.measure(0.1)
        self.assertEqual(1, self.measured.version)
        self.measure(0.5)
        self.assertEqual(2, self.measured.version)
