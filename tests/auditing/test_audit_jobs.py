from tests.auditing import test_audit
from tests import scenarios

TASK = 'job-1.0.0.1'


class JobsAuditTest(test_audit.AuditCase):
    """Checks the invariants of jobs on logs that violate one of them."""

    def setUp(self):
        super().setUp()
        self.scenario = scenarios.make_scenario()

    def test_a_run_that_began_before_the_previous_one_ended(self):
        end = self.scenario.find('run-ended', task=TASK, run=1)
        end.time = 33.5
        findings = self.assert_only(self.scenario, 'J1', TASK)
        self.assertIn('run 2 began before the end of run 1', findings[0].text)

    def test_a_run_without_a_logged_end(self):
        self.scenario.drop('run-ended', task=TASK, run=1)
        self.assert_only(self.scenario, 'J1', TASK)

    def test_a_run_after_the_task_was_done(self):
        scenarios.run_job_task(
            self.scenario, 36.0, 'job-1.0.0.0', 2, 'stopped'
        )
        self.assert_only(self.scenario, 'J1', 'job-1.0.0.0')

    def test_an_end_that_was_never_acknowledged_may_be_lost(self):
        """All processes lost power while the store was unavailable.

        The leader had read ends that it could not commit and had not
        acknowledged to the agents, so the tasks ran again.
        """
        end = self.scenario.find('run-ended', task='job-1.0.0.0')
        end.fields['boot'] = 'boot-2'
        scenarios.run_job_task(
            self.scenario, 36.0, 'job-1.0.0.0', 2, 'stopped'
        )
        reports = self.check_invariants(self.scenario)
        self.assertEqual([], reports['J1'].violations)

    def test_a_lost_run_may_be_followed(self):
        self.scenario.drop('run-ended', task=TASK, run=1)
        self.scenario.add(31.0, 'entry', 'run-lost', task=TASK, run=1)
        reports = self.check_invariants(self.scenario)
        self.assertEqual([], reports['J1'].violations)

    def cancel(self, time, outcome='accepted'):
        self.scenario.add(
            time,
            'entry',
            'job-call',
            call='cancel',
            job='job-2',
            outcome=outcome,
        )

    def test_a_task_that_began_after_its_job_was_cancelled(self):
        scenarios.run_job_task(
            self.scenario, 40.0, 'job-2.0.0.0', 1, 'stopped'
        )
        self.cancel(36.0)
        self.cancel(39.0)
        findings = self.assert_only(self.scenario, 'J3', 'job-2.0.0.0')
        self.assertIn('began 4.10 s after the cancel', findings[0].text)

    def test_a_task_may_begin_shortly_after_the_cancel(self):
        scenarios.run_job_task(
            self.scenario, 40.0, 'job-2.0.0.0', 1, 'stopped'
        )
        self.cancel(36.0, outcome='unknown')
        self.cancel(38.0)
        reports = self.check_invariants(self.scenario)
        self.assertEqual([], reports['J3'].violations)

    def submit(self, time, outcome):
        self.scenario.add(
            time,
            'entry',
            'job-call',
            call='submit',
            job='job-5',
            outcome=outcome,
        )

    def test_a_task_of_a_rejected_job_began(self):
        """Guards against answers that a job never runs which are untrue."""
        self.submit(36.0, 'rejected')
        scenarios.run_job_task(
            self.scenario, 40.0, 'job-5.0.0.0', 1, 'stopped'
        )
        self.assert_only(self.scenario, 'J4', 'job-5.0.0.0')

    def test_a_rejected_job_may_be_submitted_again(self):
        self.submit(36.0, 'rejected')
        self.submit(38.0, 'accepted')
        scenarios.run_job_task(
            self.scenario, 40.0, 'job-5.0.0.0', 1, 'stopped'
        )
        reports = self.check_invariants(self.scenario)
        self.assertEqual([], reports['J4'].violations)

    def test_a_complete_job_with_a_task_that_failed(self):
        self.scenario.find('run-ended', task=TASK, run=2).fields['how'] = (
            'failed'
        )
        self.assert_only(self.scenario, 'J2', TASK)

    def test_one_end_covers_a_gang(self):
        for index, how in enumerate(('done', 'broken')):
            task = f'job-2.0.0.{index}'
            scenarios.run_job_task(
                self.scenario, 36.0, task, 1, how, gang='yes'
            )
        self.scenario.add(
            38.0, 'entry', 'job-phase', job='job-2', phase='complete'
        )
        reports = self.check_invariants(self.scenario)
        self.assertEqual([], reports['J2'].violations)
