from persimmonsail.decisions import quarantine
from tests import base

NAMES = [f'instance-{number:02d}' for number in range(11)]


def make_tracker(runs: int = 4) -> quarantine.Tracker:
    """Return a tracker with successful jobs on healthy instances."""
    tracker = quarantine.Tracker()
    for number in range(runs):
        for index, name in enumerate(NAMES):
            tracker.note(f'job-{(number + index) % 3}', name, failed=False)
    return tracker


def report(**failures: int) -> dict[str, int]:
    failures_by_instance = dict.fromkeys(NAMES, 0)
    for key, value in failures.items():
        failures_by_instance[key.replace('_', '-')] = value
    return failures_by_instance


class ProbationTest(base.TestCase):
    def test_at_most_three_tasks_fail_on_a_bad_instance(self):
        """A bad instance must not fail a whole burst of builds.

        Every task fails on it immediately, so it always looks idle, and
        three entries send it builds before the first failure is known.
        """
        probation = quarantine.Probation()
        started = []
        for number in range(30):
            task = f'task-{number}'
            if not probation.find_refusal(canary=False):
                probation.note_start(task, 1)
                started.append(task)
            if number % 7 == 6:
                for name in started:
                    probation.note_failure(name, 1)
        self.assertEqual(3, len(started))
        self.assertEqual('in quarantine', probation.find_refusal(False))

    def test_failures_lower_the_limit_on_unproved_starts(self):
        probation = quarantine.Probation()
        probation.note_start('a', 1)
        probation.note_failure('a', 1)
        probation.note_start('b', 1)
        probation.note_start('c', 1)
        self.assertEqual(
            'too many unproved starts', probation.find_refusal(False)
        )

    def test_successful_starts_allow_the_next(self):
        probation = quarantine.Probation()
        for number in range(20):
            self.assertEqual('', probation.find_refusal(False))
            probation.note_start(f'task-{number}', 1)
            probation.note_success(f'task-{number}', 1)
        self.assertEqual(0, probation.unproved)

    def test_failure_after_success_is_not_counted(self):
        probation = quarantine.Probation()
        probation.note_start('a', 1)
        probation.note_success('a', 1)
        probation.note_failure('a', 1)
        self.assertEqual(0, probation.failures)

    def test_task_that_keeps_running_counts_as_success(self):
        now = 0.0
        probation = quarantine.Probation(lambda: now)
        probation.note_start('a', 1)
        probation.note_active('a', 1)
        self.assertEqual(1, probation.unproved)
        now = quarantine.PROVED_AFTER_SECONDS
        probation.note_active('a', 1)
        self.assertEqual(0, probation.unproved)

    def test_unreported_starts_do_not_block_forever(self):
        """An instance must accept work again after an entry has failed.

        The holder crashed after starting three tasks; nobody polls
        them, so no start is ever reported as successful or failed.
        """
        now = 0.0
        probation = quarantine.Probation(lambda: now)
        for number in range(3):
            probation.note_start(f'task-{number}', 1)
        self.assertNotEqual('', probation.find_refusal(canary=False))
        now = quarantine.UNREPORTED_TIMEOUT_SECONDS + 1
        self.assertEqual('', probation.find_refusal(canary=False))

    def test_one_canary_at_a_time_ends_a_quarantine(self):
        probation = quarantine.Probation()
        for number in range(3):
            probation.note_start(f'task-{number}', 1)
        for number in range(3):
            probation.note_failure(f'task-{number}', 1)
        self.assertEqual('', probation.find_refusal(canary=True))
        probation.note_start('canary', 1)
        self.assertEqual(
            'a canary is running', probation.find_refusal(canary=True)
        )
        probation.note_success('canary', 1)
        self.assertEqual('', probation.find_refusal(canary=False))


class TrackerTest(base.TestCase):
    def test_several_jobs_failing_on_one_instance_mark_it_bad(self):
        tracker = make_tracker()
        for number in range(3):
            tracker.note(f'job-{number}', NAMES[4], failed=True)
        self.assertTrue(tracker.judge(NAMES[4]).is_bad)
        self.assertEqual(3, tracker.judge(NAMES[4]).jobs)
        self.assertEqual([NAMES[4]], list(tracker.select(report(), 0)))
        self.assertFalse(tracker.is_job_faulty('job-1'))

    def test_job_failing_on_several_instances_is_faulty(self):
        """A typo in one build must not put the fleet in quarantine.

        A job that can never run fails on one instance after another; if
        each is put in quarantine, no capacity is left for other builds.
        """
        tracker = make_tracker()
        for _ in range(3):
            for name in NAMES:
                tracker.note('typo', name, failed=True)
        self.assertEqual({}, tracker.select(report(), 0))
        self.assertTrue(tracker.is_job_faulty('typo'))
        self.assertFalse(tracker.is_job_faulty('job-1'))

    def test_instance_is_reassessed_once_the_job_is_known_faulty(self):
        tracker = make_tracker()
        for _ in range(3):
            tracker.note('typo', NAMES[0], failed=True)
        self.assertTrue(tracker.judge(NAMES[0]).is_bad)
        for name in NAMES[1:4]:
            tracker.note('typo', name, failed=True)
        self.assertFalse(tracker.judge(NAMES[0]).is_bad)

    def test_long_healthy_history_does_not_hide_a_fault(self):
        tracker = make_tracker(runs=500)
        for number in range(3):
            tracker.note(f'job-{number}', NAMES[4], failed=True)
        self.assertTrue(tracker.judge(NAMES[4]).is_bad)

    def test_one_failure_causes_no_quarantine(self):
        tracker = make_tracker()
        tracker.note('job-0', NAMES[4], failed=True)
        self.assertEqual({}, tracker.select(report(instance_04=1), 0))

    def test_failures_observed_by_other_entries_count(self):
        tracker = make_tracker()
        selected = tracker.select(report(instance_04=3), 0)
        self.assertEqual([NAMES[4]], list(selected))

    def test_known_faulty_jobs_explain_reported_failures(self):
        tracker = make_tracker()
        for name in NAMES:
            for _ in range(3):
                tracker.note('typo', name, failed=True)
        self.assertEqual({}, tracker.select(report(instance_04=3), 0))

    def test_quarantined_share_is_limited(self):
        """A bad library on all instances must not stop all work."""
        tracker = quarantine.Tracker(max_share=0.2)
        reported = dict.fromkeys(NAMES, 3)
        reported[NAMES[7]] = 5
        chosen = tracker.select(reported, 0)
        self.assertEqual(2, len(chosen))
        self.assertEqual(NAMES[7], next(iter(chosen)))

    def test_small_fleet_has_at_most_one_in_quarantine(self):
        tracker = quarantine.Tracker(max_share=0.2)
        self.assertEqual(
            1, len(tracker.select({'one': 3, 'two': 4, 'three': 3}, 0))
        )
        self.assertEqual({}, quarantine.Tracker().select({'one': 3}, 0))

    def test_canaries_are_sent_at_growing_intervals(self):
        tracker = make_tracker()
        reported = report(instance_04=3)
        tracker.select(reported, 0)
        delay = quarantine.CANARY_DELAY_SECONDS
        self.assertFalse(tracker.may_test(NAMES[4], delay - 1))
        self.assertTrue(tracker.may_test(NAMES[4], delay))
        tracker.note_canary(NAMES[4], delay)
        self.assertFalse(tracker.may_test(NAMES[4], 3 * delay - 1))
        self.assertTrue(tracker.may_test(NAMES[4], 3 * delay))

    def test_a_canary_that_succeeds_ends_the_quarantine(self):
        tracker = make_tracker()
        for number in range(3):
            tracker.note(f'job-{number}', NAMES[4], failed=True)
        tracker.select(report(instance_04=3), 0)
        tracker.note('job-0', NAMES[4], failed=False)
        tracker.note('job-1', NAMES[4], failed=False)
        self.assertEqual({}, tracker.select(report(), 1))
        self.assertFalse(tracker.may_test(NAMES[4], 1000))
