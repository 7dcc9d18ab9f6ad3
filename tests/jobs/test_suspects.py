from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import instances
from persimmonsail.jobs import record
from persimmonsail.jobs import suspects
from tests.jobs import cases
from tests.jobs import crashing


class SuspectsTest(crashing.CrashingCase):
    """A task's job fails for its own crashes only."""

    def test_three_crashes_at_once_end_the_job_with_their_cause(self):
        task = self.add_task()
        for instance, isolated in zip(
            self.fleet, ((), (True,), (True,)), strict=False
        ):
            self.assertFalse(self.is_failed(task))
            self.crash(instance, (task, 0.01, *isolated))
            self.wait()
        self.assertTrue(self.is_failed(task))
        self.assertIn(task.name, task.job.progress.reason)
        self.assertIn('crashed 3 agents', task.job.progress.reason)

    def test_slow_crashes_have_to_be_five(self):
        """An agent may well crash by itself within ten seconds."""
        task = self.add_task()
        for instance in self.fleet[:5]:
            self.assertFalse(self.is_failed(task))
            self.crash(instance, (task, 8.0, True))
            self.wait()
        self.assertTrue(self.is_failed(task))

    def test_a_run_that_outlives_its_crashes_clears_its_task(self):
        task = self.add_task(long_running=True)
        self.crash(self.fleet[0], (task, 0.01))
        number = self.board.place(task, self.fleet[1].address, 'boot-1')
        run = instances.Run(
            task.name,
            number,
            'boot-1',
            task.step,
            'builds',
            observed_at=crashing.NOW,
        )
        suspects.clear_if_outlived(self.board, task, run, crashing.NOW + 1.0)
        self.assertEqual(1, task.state.crashes.count)
        suspects.clear_if_outlived(self.board, task, run, crashing.NOW + 2.5)
        self.assertEqual(0, task.state.crashes.count)
        self.assertEqual({}, self.board.crash_suspects)

    def test_a_job_cancelled_in_between_stays_cancelled(self):
        task = self.add_task()
        for instance in self.fleet[:3]:
            self.crash(instance, (task, 0.01, True))
        self.board.cancel(task.job.id)
        self.wait()
        self.assertFalse(self.is_failed(task))
        self.assertIs(record.JobPhase.CANCELLED, task.job.phase)

    def test_a_leader_that_takes_over_starts_no_spent_task(self):
        task = self.add_task()
        for instance in self.fleet[:3]:
            self.crash(instance, (task, 0.01, True))
            self.wait()
        text = task.job.progress.encode()
        job = cases.make_job(task.step, id=task.job.id)
        loaded = type(job)(
            job.id,
            job.queue,
            0,
            job.specification,
            record.decode_progress(text),
        )
        other = board_module.Board()
        other.add(loaded)
        suspects.fail_exhausted(other, 0.0)
        self.assertIs(record.JobPhase.FAILED, loaded.phase)

    def test_only_a_quarter_of_the_instances_is_left_to_suspects(self):
        self.assertTrue(suspects.may_reserve(4, 0))
        self.assertFalse(suspects.may_reserve(3, 1))
        self.assertTrue(suspects.may_reserve(9, 1))
        self.assertFalse(suspects.may_reserve(8, 2))

    def test_a_suspect_waits_for_its_place_for_some_seconds_only(self):
        task = self.add_task()
        self.crash(self.fleet[0], (task, 0.01))
        self.assertTrue(suspects.needs_isolation(task, crashing.NOW))
        self.assertTrue(suspects.needs_isolation(task, crashing.NOW + 2.0))
        self.assertFalse(suspects.needs_isolation(task, crashing.NOW + 3.5))

    def test_a_task_with_three_crashes_waits_longer_for_isolation(self):
        """A bad task crashes more than six agents, among many other bad ones.

        After waiting 10 s for an instance of its own it was started beside
        others, where its third and fourth crash were no evidence. Only its
        fifth and sixth crash came in isolation.
        """
        bad, other = self.add_task(), self.add_task()
        for instance in self.fleet[:3]:
            self.crash(instance, (bad, 0.01), (other, 0.01))
            self.wait()
        self.assertTrue(suspects.needs_isolation(bad, self.now))
        self.assertTrue(suspects.needs_isolation(bad, self.now + 25.0))
        # The wait is limited, since the task may not be the cause.
        self.assertFalse(suspects.needs_isolation(bad, self.now + 31.0))

    def test_a_gang_is_never_tried_apart(self):
        task = self.add_task(gang=True)
        self.crash(self.fleet[0], (task, 0.01))
        self.assertFalse(suspects.needs_isolation(task, crashing.NOW))

    def test_nothing_is_started_beside_a_suspect_that_is_tried(self):
        instance = self.fleet[0]
        run = instances.Run(
            'a.0.0.0',
            1,
            'boot-0',
            cases.make_step(),
            'builds',
            ordered_at=crashing.NOW,
            isolation_seconds=1.0,
        )
        instance.add_run(run)
        instance.isolated_run = run
        self.assertTrue(instance.is_reserved(crashing.NOW + 0.9))
        self.assertFalse(instance.is_reserved(crashing.NOW + 1.1))
        instance.drop_run(('a.0.0.0', 1))
        self.assertFalse(instance.is_reserved(crashing.NOW + 0.9))

    def test_crashes_that_tell_nothing_follow_ever_later(self):
        first, second = self.add_task(), self.add_task()
        for instance in self.fleet:
            self.crash(instance, (first, 0.01), (second, 0.01))
            self.wait()
        self.assertFalse(self.is_failed(first))
        self.crash(self.fleet[0], (first, 0.01), (second, 0.01))
        self.assertGreater(first.not_before - self.now, 3.0)
