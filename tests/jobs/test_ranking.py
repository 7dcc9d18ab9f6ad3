from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import ranking
from persimmonsail.jobs import record
from tests import base
from tests.jobs import cases

NOW = 100.0
WALL = 1000.0


class RankingTest(base.TestCase):
    """Which waiting tasks a round considers, and in which order."""

    def setUp(self):
        super().setUp()
        self.board = board_module.Board()
        self.first = self.add_task('00000000000000aa')
        self.second = self.add_task('00000000000000bb')

    def add_task(self, id):
        job = cases.make_job(cases.make_step(1), id=id)
        self.board.add(job)
        (task,) = job.tasks.values()
        return task

    def rank(self, queue):
        queues_by_name = {queue: cases.QUEUE}
        ranked = ranking.rank(self.board, queues_by_name, {}, NOW, WALL)
        return [task for task, _ in ranked]

    def test_suspects_come_first(self):
        crashes = record.Crashes(count=1, longest_ms=10)
        for suspect in (self.first, self.second):
            self.board.update_crashes(suspect, crashes)
            ranked = self.rank(suspect.job.queue)
            self.assertIs(suspect, ranked[0])
            self.board.update_crashes(suspect, record.Crashes())

    def test_a_task_that_may_not_start_yet_is_left_out(self):
        self.first.not_before = NOW + 0.1
        self.assertEqual([self.second], self.rank(self.first.job.queue))

    def test_jobs_of_a_queue_that_was_removed_are_left_out(self):
        self.assertEqual([], self.rank('other'))
