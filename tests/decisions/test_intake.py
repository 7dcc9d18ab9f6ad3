import random

from persimmonsail.bookkeeping import tasks
from persimmonsail.catalogues import catalogue
from persimmonsail import control_pb2
from persimmonsail.decisions import fleet
from persimmonsail.decisions import intake
from persimmonsail.decisions import planner
from persimmonsail import exceptions
from tests import base

TEXT = """\
[team a]
objective = throughput
cores = 100
memory-gb = 100
max-pending = 2

[workload build]
owner = a
class = batch
cores = 8
memory-gb = 16

[workload huge]
owner = a
class = batch
cores = 90
memory-gb = 16
"""
CATALOGUE = catalogue.parse('test', TEXT)


def make_task(name: str) -> tasks.Task:
    return tasks.Task(name, 'build', 'a', '{}', 1)


class IntakeTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet.Fleet(3600.0)
        self.learned = planner.LearnedState()
        self.intake = intake.Intake(self.fleet, self.learned, random.Random(1))
        self.fleet.note_report(
            control_pb2.SidecarReport(
                instance='one',
                capacity=control_pb2.Size(cores=64, memory_gb=250),
            )
        )

    def check(self, task: str, workload: str = 'build', now: float = 0.0):
        self.intake.check(task, workload, CATALOGUE, now)

    def reject(self, *arguments) -> exceptions.NotAccepted:
        return self.assertRaises(
            exceptions.NotAccepted, self.check, *arguments
        )

    def test_full_queue_is_rejected_until_it_drains(self):
        self.intake.note_pending([make_task('1'), make_task('2')])
        rejection = self.reject('3')
        self.assertEqual(429, rejection.status)
        self.assertGreater(rejection.retry_after, 0)
        self.intake.note_pending([make_task('2')])
        self.check('3')

    def test_tasks_being_committed_count(self):
        with self.intake.admit('1', 'a'), self.intake.admit('2', 'a'):
            self.reject('3')
            self.intake.note_pending([make_task('1')])
            self.reject('3')
        self.reject('3')
        self.intake.note_pending([])
        self.check('3')

    def test_uncommitted_task_does_not_count(self):
        for _ in range(5):
            try:
                with self.intake.admit('1', 'a'):
                    raise exceptions.NotCommitted('slow')
            except exceptions.NotCommitted:
                continue
        self.check('2')

    def test_repeated_key_being_committed_is_not_rejected(self):
        """A caller must not get "not run" for a build that runs.

        A request is being committed while its caller repeats it with
        the same key and the queue has become full.
        """
        with self.intake.admit('1', 'a'), self.intake.admit('2', 'a'):
            self.check('1')
            with self.intake.admit('1', 'a'):
                pass

    def test_impossible_task_is_rejected_once_membership_settled(self):
        self.check('1', 'huge')
        rejection = self.reject('1', 'huge', planner.SETTLING_SECONDS)
        self.assertEqual(422, rejection.status)
        self.assertEqual('fits no known instance', str(rejection))
        self.assertEqual(0, rejection.retry_after)

    def test_retry_time_follows_the_drain_rate(self):
        for number in range(100):
            self.intake.note_placed('a', number / 10)
        self.intake.note_pending([make_task(str(n)) for n in range(101)])
        rejection = self.reject('3', 'build', 9.0)
        self.assertTrue(
            8 <= rejection.retry_after <= 14, rejection.retry_after
        )
