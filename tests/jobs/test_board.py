import json

import time

from persimmonsail.jobs import board
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import record
from persimmonsail.jobs import specification
from tests import base
from tests.jobs import cases

MAX_ATTEMPTS = 2


class BoardTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.board = board.Board()

    def add(self, *steps):
        job = cases.make_job(*steps)
        self.board.add(job)
        return job

    def end(self, task, outcome, checkpoint=''):
        return self.board.note_end(
            task, task.state.run, board.End(outcome), checkpoint, MAX_ATTEMPTS
        )

    def run_all(self, job):
        for task in list(job.waiting.values()):
            self.board.place(task, 'a', 'boot')
            self.end(task, 'done')

    def test_old_cancels_without_a_job_are_listed(self):
        """Guards against cancel markers without a job filling the store."""
        job = cases.make_job()
        self.board.add(job)
        for id in (job.id, 'lone'):
            self.board.cancel(id)
        now_ms = time.time() * 1000
        self.assertEqual([], self.board.list_orphaned_cancels(now_ms - 1000))
        self.assertEqual(
            ['lone'], self.board.list_orphaned_cancels(now_ms + 1000)
        )
        self.board.forget('lone')
        self.assertEqual([], self.board.list_orphaned_cancels(now_ms + 1000))

    def test_rows_name_the_agent_alone_and_its_birth_apart(self):
        """Watchers are started anew while entries are upgraded.

        An earlier version compares a row's boot with the agent's id, and
        reads no row that is longer.
        """
        job = cases.make_job(cases.make_step(3))
        self.board.add(job)
        for task, boot in zip(
            list(job.waiting.values()), ('i-1@5', 'i-2'), strict=False
        ):
            self.board.place(task, 'a', boot)
        text = job.progress.encode()
        rows = json.loads(text)['tasks']
        self.assertEqual(['i-1', 'i-2', ''], [row[4] for row in rows])
        self.assertEqual({8}, {len(row) for row in rows})
        tasks = record.decode_progress(text).tasks.values()
        self.assertEqual(['i-1@5', 'i-2', ''], [task.boot for task in tasks])

    def test_a_step_opens_once_all_tasks_before_it_are_done(self):
        job = self.add(cases.make_step(2), cases.make_step(1, after=(0,)))
        first, second = job.waiting.values()
        self.board.place(first, 'a', 'boot')
        self.board.place(second, 'a', 'boot')
        self.end(first, 'done')
        self.assertEqual({}, job.waiting)
        self.end(second, 'done')
        self.assertEqual([record.TaskKey(0, 1, 0)], list(job.waiting))

    def test_a_job_is_complete_with_its_last_task(self):
        job = self.add(cases.make_step(1), cases.make_step(1, after=(0,)))
        self.run_all(job)
        self.assertEqual(record.JobPhase.ACTIVE, job.phase)
        self.run_all(job)
        self.assertEqual(record.JobPhase.COMPLETE, job.phase)

    def test_an_end_of_an_earlier_run_changes_nothing(self):
        """Guards against a task reported done while its second run goes on.

        The first run was abandoned with its instance; the instance returns
        and reports that run's end after the second started.
        """
        job = self.add()
        (task,) = job.waiting.values()
        self.board.place(task, 'a', 'boot')
        self.end(task, 'lost')
        self.board.place(task, 'b', 'boot')
        changed = self.board.note_end(
            task, 1, board.End.DONE, '', MAX_ATTEMPTS
        )
        self.assertFalse(changed)
        self.assertEqual(record.TaskPhase.PLACED, task.state.phase)

    def test_work_that_was_done_is_kept_while_its_task_waits(self):
        """Guards against repeating a task that its first run completed.

        Its sidecar was unreachable for longer than a lease; the run was
        abandoned, and its end, reported later, was ignored.
        """
        job = self.add(cases.make_step(1), cases.make_step(1, after=(0,)))
        (task,) = job.waiting.values()
        for _ in range(2):
            self.board.place(task, 'a', 'boot')
            self.end(task, 'lost')
        self.board.changed.clear()
        self.assertTrue(self.board.accept_late_completion(task, 1))
        self.assertEqual([record.TaskKey(0, 1, 0)], list(job.waiting))
        self.assertEqual(0, job.placed_count)
        self.assertEqual({job.id}, self.board.changed)
        self.assertEqual([], self.board.superseded_tasks)

    def test_a_later_run_is_recalled_before_its_task_is_done(self):
        """Guards against a complete job with a second run still going on.

        The first run completed the task, and was reported after the second
        was placed elsewhere, which may or may not have started yet.
        """
        for outcome in ('stopped', 'not-started', 'lost', 'failed', 'done'):
            fresh_board = board.Board()
            job = cases.make_job()
            fresh_board.add(job)
            (task,) = job.waiting.values()
            fresh_board.place(task, 'a', 'boot')
            fresh_board.note_end(task, 1, board.End.LOST, '', MAX_ATTEMPTS)
            fresh_board.place(task, 'b', 'boot')
            self.assertTrue(fresh_board.accept_late_completion(task, 1))
            self.assertIs(record.JobPhase.ACTIVE, job.phase)
            self.assertEqual([task], fresh_board.superseded_tasks)
            # The state survives a change of leader.
            restored = record.decode_progress(job.progress.encode())
            self.assertTrue(restored.tasks[task.key].earlier_done)
            fresh_board.note_end(task, 2, board.End(outcome), '', MAX_ATTEMPTS)
            self.assertIs(record.JobPhase.COMPLETE, job.phase, outcome)
            self.assertEqual(0, job.placed_count)

    def test_some_late_ends_are_no_end_of_their_task(self):
        job = self.add(cases.make_step(2))
        first, second = job.waiting.values()
        self.assertFalse(self.board.accept_late_completion(first, 1))
        self.board.place(first, 'a', 'boot')
        self.end(first, 'lost')
        # No run with this number was claimed.
        self.assertFalse(self.board.accept_late_completion(first, 2))
        self.board.place(first, 'a', 'boot')
        self.end(first, 'done')
        self.assertFalse(self.board.accept_late_completion(first, 1))
        self.board.place(second, 'a', 'boot')
        self.end(second, 'lost')
        self.board.cancel(job.id)
        self.assertFalse(self.board.accept_late_completion(second, 1))
        self.assertEqual([], self.board.superseded_tasks)

    def test_what_lasts_is_never_done(self):
        job = self.add(cases.make_step(1, long_running=True))
        (task,) = job.waiting.values()
        self.board.place(task, 'a', 'boot')
        self.end(task, 'lost')
        self.assertFalse(self.board.accept_late_completion(task, 1))
        self.assertIn(task.key, job.waiting)

    def test_run_numbers_rise_over_every_kind_of_end(self):
        job = self.add()
        (task,) = job.waiting.values()
        numbers = []
        for outcome in ('lost', 'stopped', 'lapsed', 'failed', 'not-started'):
            numbers.append(self.board.place(task, 'a', 'boot'))
            self.end(task, outcome)
        self.assertEqual([1, 2, 3, 4, 5], numbers)

    def test_a_job_fails_with_the_last_attempt_of_a_task(self):
        job = self.add()
        (task,) = job.waiting.values()
        for _ in range(MAX_ATTEMPTS):
            self.assertFalse(job.phase.is_final)
            self.board.place(task, 'a', 'boot')
            self.end(task, 'failed')
        self.assertEqual(record.JobPhase.FAILED, job.phase)
        self.assertEqual({}, job.waiting)

    def test_what_lasts_is_started_again_however_it_ends(self):
        job = self.add(cases.make_step(1, long_running=True))
        (task,) = job.waiting.values()
        for outcome in ('failed', 'failed', 'failed', 'done', 'lost'):
            self.board.place(task, 'a', 'boot')
            self.end(task, outcome)
            self.assertIn(task.key, job.waiting)

    def test_a_checkpoint_is_kept_for_the_next_run(self):
        job = self.add(cases.make_step(1, checkpoints=True))
        (task,) = job.waiting.values()
        self.board.place(task, 'a', 'boot')
        self.end(task, 'stopped', 'half')
        self.board.place(task, 'a', 'boot')
        self.end(task, 'lost')
        self.assertEqual('half', task.state.checkpoint)

    def test_nothing_of_a_cancelled_job_waits(self):
        job = self.add(cases.make_step(2))
        first, _ = job.waiting.values()
        self.board.place(first, 'a', 'boot')
        self.board.cancel(job.id)
        self.end(first, 'stopped')
        self.assertEqual({}, job.waiting)
        self.assertEqual(record.JobPhase.CANCELLED, job.phase)

    def test_a_cancel_may_come_before_its_job(self):
        """Guards against a cancelled job that runs forever.

        The leader may read the cancel marker before the job, since both are
        pages of a scan that is no consistent snapshot.
        """
        self.board.cancel(cases.ID)
        job = self.add()
        self.assertEqual(record.JobPhase.CANCELLED, job.phase)

    def test_a_job_that_has_ended_is_not_cancelled(self):
        job = self.add()
        self.run_all(job)
        self.assertIsNone(self.board.cancel(job.id))
        self.assertEqual(record.JobPhase.COMPLETE, job.phase)

    def test_only_jobs_without_a_start_are_pending(self):
        job = self.add()
        self.assertEqual(1, self.board.count_pending(job.queue))
        (task,) = job.waiting.values()
        for _ in range(3):
            self.board.place(task, 'a', 'boot')
            self.assertEqual(1, self.board.count_pending(job.queue))
            self.end(task, 'not-started')
            self.assertIs(record.JobPhase.QUEUED, job.phase)
        self.board.place(task, 'a', 'boot')
        self.board.note_started(job)
        self.assertEqual(0, self.board.count_pending(job.queue))
        self.board.changed.clear()
        self.board.queue_uncommitted(1)
        self.assertEqual({job.id}, self.board.changed)

    def test_refused_starts_leave_a_job_pending(self):
        """Guards against jobs that wait and are counted as started."""
        job = self.add(cases.make_step(2))
        for task in list(job.waiting.values()):
            self.board.place(task, 'a', 'boot')
            self.end(task, 'not-started')
        progress = record.decode_progress(job.progress.encode())
        self.assertIs(record.JobPhase.QUEUED, progress.phase)

    def test_a_lost_start_leaves_a_job_pending(self):
        """Callers read `active` for a job that no instance has begun.

        Its start was sent to an instance that had just gone silent.
        """
        job = self.add()
        (task,) = job.waiting.values()
        self.board.place(task, 'a', 'boot')
        self.end(task, 'lost')
        self.assertEqual(1, self.board.count_pending(job.queue))
        progress = record.decode_progress(job.progress.encode())
        self.assertIs(record.JobPhase.QUEUED, progress.phase)

    def test_a_job_that_began_and_was_lost_is_not_pending(self):
        job = self.add()
        (task,) = job.waiting.values()
        self.board.place(task, 'a', 'boot')
        self.board.note_started(job)
        self.end(task, 'lost')
        self.assertEqual(0, self.board.count_pending(job.queue))

    def test_progress_is_read_back_as_it_was_written(self):
        job = self.add(
            cases.make_step(2, checkpoints=True),
            cases.make_step(1, after=(0,)),
        )
        first, second = job.waiting.values()
        self.board.place(first, 'a', 'boot')
        self.end(first, 'done')
        self.board.place(second, 'b', 'other')
        self.end(second, 'stopped', 'half')
        self.board.place(second, 'b', 'other')
        progress = record.decode_progress(job.progress.encode())
        self.assertEqual(job.progress, progress)
        restored_job = job_module.Job(
            job.id, job.queue, 0, job.specification, progress
        )
        self.assertEqual({}, restored_job.waiting)
        self.assertEqual(
            [second.key], [t.key for t in restored_job.list_placed()]
        )

    def test_little_is_kept_of_a_job_that_has_ended(self):
        """Guards against a new leader reading ended jobs for seconds."""
        job = self.add(cases.make_step(80))
        self.run_all(job)
        text = job.progress.encode()
        self.assertLess(len(text), 100)
        progress = record.decode_progress(text)
        self.assertIs(record.JobPhase.COMPLETE, progress.phase)
        self.assertEqual(job.progress.ended_ms, progress.ended_ms)
        restored_job = job_module.Job(
            job.id, job.queue, 0, job.specification, progress
        )
        self.assertEqual({}, restored_job.waiting)
        self.assertEqual([], restored_job.list_placed())

    def test_the_checkpoints_that_are_worth_most_are_committed_first(self):
        """Guards against losing all checkpoints in a power loss.

        Checkpoints were only written when a task of the job ended.
        """
        jobs = []
        for id, cores in (('a', 1), ('b', 7), ('c', 3)):
            size = specification.Size(cores * 1000, 1)
            job = cases.make_job(cases.make_step(1, size=size), id=id * 16)
            self.board.add(job)
            (task,) = job.tasks.values()
            self.board.place(task, 'one', 'boot')
            self.board.note_checkpoint(task, '')
            self.board.note_checkpoint(task, 'half')
            jobs.append(job)
        self.board.changed.clear()
        self.board.queue_uncommitted(2)
        self.assertEqual({'b' * 16, 'c' * 16}, self.board.changed)
        for id in self.board.changed:
            self.board.clear_uncommitted(self.board.jobs[id])
        self.board.changed.clear()
        self.board.queue_uncommitted(2)
        self.assertEqual({'a' * 16}, self.board.changed)
        self.board.forget('a' * 16)
        self.board.queue_uncommitted(2)
        self.assertEqual(set(), self.board.changed)

    def place_gang(self, count=3):
        job = self.add(
            cases.make_step(count, gang=True), cases.make_step(1, after=(0,))
        )
        gang = list(job.waiting.values())
        for task in gang:
            self.board.place(task, 'a', 'boot', 4)
        return job, gang

    def test_one_done_end_stands_for_the_whole_gang(self):
        """Guards against repeating a gang that completed successfully.

        One of its instances was lost before its own end was read; the ends
        of the others already reported the gang as done.
        """
        job, gang = self.place_gang()
        self.end(gang[1], 'done')
        self.assertEqual([record.TaskKey(0, 1, 0)], list(job.waiting))
        self.assertEqual(0, job.placed_count)
        self.assertFalse(self.end(gang[0], 'lost'))
        self.assertEqual([], self.board.broken_gang_tasks)

    def test_a_late_done_end_recalls_the_whole_gang(self):
        """Guards against a complete gang with its second run going on."""
        job, gang = self.place_gang()
        for task in gang:
            self.end(task, 'lost')
        self.board.broken_gang_tasks.clear()
        for task in gang[1:]:
            self.board.place(task, 'b', 'boot', 5)
        self.assertTrue(self.board.accept_late_completion(gang[0], 4))
        self.assertEqual(gang[1:], self.board.superseded_tasks)
        self.end(gang[1], 'stopped')
        self.assertEqual({}, job.waiting)
        self.end(gang[2], 'broken')
        self.assertEqual([record.TaskKey(0, 1, 0)], list(job.waiting))
        self.assertEqual([], self.board.broken_gang_tasks)

    def test_a_gang_that_broke_is_told_of(self):
        job, gang = self.place_gang()
        self.end(gang[0], 'not-started')
        self.assertEqual([gang[0]], self.board.broken_gang_tasks)
        self.assertEqual(2, job.placed_count)

    def test_failures_of_all_members_count_for_the_gang(self):
        """Guards against restarting a failing gang without limit.

        Each time another of its tasks failed, so that none of them reached
        the maximum number of failures.
        """
        job, gang = self.place_gang()
        self.end(gang[0], 'failed')
        for task in gang[1:]:
            self.end(task, 'broken')
        self.assertFalse(job.phase.is_final)
        for task in gang:
            self.board.place(task, 'a', 'boot', 5)
        self.end(gang[2], 'failed')
        self.assertIs(record.JobPhase.FAILED, job.phase)

    def test_members_that_fail_in_one_run_are_one_attempt(self):
        """Guards against giving up a gang after one run of several."""
        job, gang = self.place_gang()
        for task in gang:
            self.end(task, 'failed')
        self.assertFalse(job.phase.is_final)
        for task in gang:
            self.board.place(task, 'a', 'boot', 5)
        self.end(gang[1], 'failed')
        self.assertIs(record.JobPhase.FAILED, job.phase)

    def test_a_new_leader_counts_no_run_of_a_gang_again(self):
        """Guards against giving up a gang whose leader changed in a run."""
        job, gang = self.place_gang()
        self.end(gang[0], 'failed')
        progress = record.decode_progress(job.progress.encode())
        job = job_module.Job(job.id, job.queue, 0, job.specification, progress)
        self.board = board.Board()
        self.board.add(job)
        gang = job.list_gang(job.tasks[gang[0].key])
        for task in gang[1:]:
            self.end(task, 'failed')
        self.assertFalse(job.phase.is_final)
        for task in gang:
            self.board.place(task, 'a', 'boot', 5)
        self.end(gang[2], 'failed')
        self.assertIs(record.JobPhase.FAILED, job.phase)
