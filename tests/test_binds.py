from tests import base
from tools import binds

LINES = """\
   1.0000 entry-1 time=7 level=info event=job-seen job=a queue=q age_ms=500
   1.5000 entry-1 time=7 level=info event=placed task=a.0.0.0 run=1 percent=100
   2.5000 entry-1 time=7 level=info event=paced task=a.0.0.0 run=1 percent=50
   3.5000 entry-1 time=7 level=info event=evicted task=a.0.0.0 reason=starved
   4.5000 entry-1 time=7 event=run-ended task=a.0.0.0 run=1 how=stopped
   5.0000 entry-1 time=7 level=info event=placed task=a.0.0.0 run=2 percent=50
   7.0000 entry-1 time=7 level=info event=run-ended task=a.0.0.0 run=2 how=done
   7.0000 entry-1 time=7 level=info event=job-phase job=a phase=complete
   7.1000 entry-1 time=7 level=info event=run-ended task=b.0.0.0 run=1 how=done
not a line of a played day
   8.0000 entry-1 time=7 level=info event=cut text="half of
"""


class BindsTest(base.TestCase):
    def test_job_time_is_split_by_cause(self):
        day = binds.Day()
        day.read(LINES.splitlines())
        found = binds.account(day, 'q')
        self.assertEqual(1, found.jobs)
        self.assertAlmostEqual(1.0, found.first_seconds)
        self.assertAlmostEqual(6.5, found.span)
        self.assertAlmostEqual(2.0, found.worked)
        self.assertAlmostEqual(1.0, found.held)
        self.assertAlmostEqual(3.0, found.lost)
        self.assertEqual({'stopped': 1, 'done': 1}, found.end_counts)
        self.assertEqual(1, day.evictions['starved'])

    def test_queue_without_ended_jobs_has_zero_times(self):
        day = binds.Day()
        day.read(LINES.splitlines()[:1])
        found = binds.account(day, 'q')
        self.assertEqual(
            (1, 0.0, 0.0),
            (found.jobs, found.first_seconds, found.span),
        )
