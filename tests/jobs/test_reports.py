from persimmonsail.decisions import quarantine
from persimmonsail.jobs import advice
from persimmonsail.jobs import advisor
from persimmonsail.jobs import board
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import placement
from persimmonsail.jobs import record
from persimmonsail.jobs import reports
from tests import base
from tests.jobs import cases

NOW = 100.0


class ReportsTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.board = board.Board()
        self.approvals = advice.Approvals()
        self.reader = reports.Reader(
            self.board,
            quarantine.Tracker(),
            interference.Model(),
            lambda queue: 2,
            self.approvals,
        )
        self.instance = cases.make_instance()
        self.job = cases.make_job(cases.make_step(2))
        self.board.add(self.job)
        self.tasks = list(self.job.waiting.values())

    def place(self, task, order=1):
        number = self.board.place(
            task, self.instance.address, self.instance.boot
        )
        run = instances.Run(
            task=task.name,
            number=number,
            boot=self.instance.boot,
            step=task.step,
            queue=task.job.queue,
            order=order,
        )
        self.instance.add_run(run)
        return run

    def read(self, report, now=NOW):
        return self.reader.read(self.instance, report, now)

    def report(self, *running, **fields):
        report = cases.make_report(self.instance, **fields)
        for run in running:
            report.running.add(task=run.task, run=run.number)
        return report

    def test_a_done_run_frees_its_capacity_and_ends_its_task(self):
        run = self.place(self.tasks[0])
        report = self.report()
        report.ended.add(number=1, task=run.task, run=1, how='done')
        reaction = self.read(report)
        self.assertTrue(reaction.replan)
        self.assertEqual({}, self.instance.runs)
        self.assertEqual(0, self.instance.committed.millicores)
        self.assertEqual(record.TaskPhase.DONE, self.tasks[0].state.phase)

    def report_progress(self, percents, estimate_ms=2000):
        """Report progress of two runs twice a second.

        Returns
        -------
        bool
            Whether the instance is still usable.
        """
        step = cases.make_step(2, estimate_ms=estimate_ms)
        job = cases.make_job(step, id='00000000000000cc')
        self.board.add(job)
        runs = [self.place(task) for task in list(job.waiting.values())]
        now = NOW
        for percent in percents:
            report = self.report()
            for run in runs:
                report.running.add(
                    task=run.task, run=run.number, percent=percent
                )
            self.read(report, now)
            now += 0.5
        return placement.is_usable(self.instance, now)

    def test_an_instance_where_nothing_moves_gets_nothing_new(self):
        """Short tasks are placed on one worker, one by one, and hang.

        Its agent answers and reports normally while its tasks make no
        progress; since nothing ended there, it seemed idle.
        """
        self.assertFalse(self.report_progress((0, 20, 20, 20, 20)))

    def test_an_instance_with_progress_is_used(self):
        self.assertTrue(self.report_progress((0, 20, 40, 60, 80)))

    def test_slow_progress_of_a_long_task_is_no_evidence(self):
        self.assertTrue(
            self.report_progress((0, 0, 0, 0, 1), estimate_ms=300_000)
        )

    def test_a_run_with_an_unknown_kind_of_end_is_rerun(self):
        run = self.place(self.tasks[0])
        report = self.report()
        report.ended.add(number=1, task=run.task, run=1, how='melted')
        self.read(report)
        self.assertIn(self.tasks[0].key, self.job.waiting)

    def test_a_refused_permit_is_not_used_again(self):
        """A step never starts: the same permit is refused repeatedly."""
        run = self.place(self.tasks[0])
        step = self.tasks[0].step_name
        boot = self.instance.boot
        question = advisor.Question(step, (boot,))
        self.approvals.note(question, advisor.Answer({boot: 't'}, 9.0), NOW)
        self.assertIn(boot, self.approvals.find_permits(step, NOW))
        report = self.report()
        report.barred.add(task=run.task, run=1, reason='ticket')
        self.read(report)
        self.assertEqual({}, self.approvals.find_permits(step, NOW))

    def refuse(self, task, now):
        """Refuse a start as an unhealthy agent does."""
        run = self.place(task)
        report = self.report()
        report.barred.add(task=run.task, run=run.number, reason='unhealthy')
        self.read(report, now)

    def test_an_instance_whose_agent_refuses_starts_gets_no_new_work(self):
        """All jobs wait: the refusing instance looks the emptiest."""
        now = NOW
        for pause in (0.25, 0.5, 1.0, 2.0, 2.0):
            # Starts that were under way together count once.
            for task in self.tasks:
                self.refuse(task, now)
            self.assertFalse(
                placement.is_usable(self.instance, now + 0.9 * pause)
            )
            now += pause
            self.assertTrue(placement.is_usable(self.instance, now))
        run = self.place(self.tasks[0])
        self.read(self.report(run), now)
        self.refuse(self.tasks[1], now)
        self.assertTrue(placement.is_usable(self.instance, now + 0.25))

    def refuse_starts(self, count):
        """Refuse consecutive starts of a task; return the last backoff."""
        task = self.tasks[0]
        now = NOW
        for number in range(1, count + 1):
            now = max(now, task.not_before)
            run = self.place(task)
            report = self.report()
            report.barred.add(task=run.task, run=number, reason='malformed')
            self.read(report, now)
        return task.not_before - now

    def test_a_repeatedly_refused_start_backs_off(self):
        """A step that no agent understands is claimed ten times a second.

        Each claim is a write to the store, and the claims continue as long
        as the job exists.
        """
        self.assertGreater(self.refuse_starts(30), 4.0)

    def test_an_occasionally_refused_start_is_retried_promptly(self):
        """Capacity varies, and leaving agents refuse pending starts."""
        self.assertLess(self.refuse_starts(5), 0.2)

    def test_a_started_run_resets_the_refusals(self):
        self.refuse_starts(30)
        run = self.place(self.tasks[0])
        self.read(self.report(run))
        report = self.report()
        report.barred.add(task=run.task, run=run.number, reason='absent')
        later = NOW + 1000.0
        self.read(report, later)
        self.assertLess(self.tasks[0].not_before - later, 0.2)

    def test_a_stop_answered_after_its_end_is_no_refusal(self):
        """Guards against delaying the next run of each evicted task."""
        run = self.place(self.tasks[0])
        report = self.report()
        report.ended.add(number=1, task=run.task, run=1, how='stopped')
        report.barred.add(task=run.task, run=1, reason='absent')
        self.read(report)
        self.assertEqual(0, self.tasks[0].refusals)
        self.assertEqual(0.0, self.tasks[0].not_before)

    def test_an_end_counts_once(self):
        """A job fails after one failure of a task.

        Ends are listed in each report until they are acknowledged after
        the leader's commit, so one failure is reported many times.
        """
        run = self.place(self.tasks[0])
        report = self.report()
        report.ended.add(number=1, task=run.task, run=1, how='failed')
        self.read(report)
        self.read(report)
        self.assertEqual(1, self.tasks[0].state.failures)

    def test_an_absent_run_is_stopped_before_it_is_moved(self):
        """A build runs on two instances.

        The answer to its start was lost and the start is executed seconds
        later, after the task was started elsewhere.
        """
        run = self.place(self.tasks[0])
        reaction = self.read(self.report())
        self.assertEqual([run], reaction.stops)
        self.assertEqual(record.TaskPhase.PLACED, self.tasks[0].state.phase)
        report = self.report()
        report.barred.add(task=run.task, run=1, reason='absent')
        self.read(report)
        self.assertEqual(record.TaskPhase.WAITING, self.tasks[0].state.phase)

    def test_a_truncated_list_shows_no_absence(self):
        """A done task is stopped and run again: its end is not listed yet."""
        run = self.place(self.tasks[0])
        self.instance.has_reported = False
        self.assertEqual([], self.read(self.report(truncated=True)).stops)
        self.assertFalse(self.instance.has_reported)
        self.assertEqual([run], self.read(self.report()).stops)
        self.assertTrue(self.instance.has_reported)

    def test_a_start_that_is_not_yet_received_is_not_missed(self):
        run = self.place(self.tasks[0], order=5)
        report = self.report()
        report.seen = 4
        self.assertEqual([], self.read(report).stops)
        report.seen = 5
        report.pending.add(task=run.task, run=1)
        self.assertEqual([], self.read(report).stops)

    def test_a_pending_start_is_stopped_once_its_job_has_ended(self):
        """A task of a failed job starts once its silent agent answers."""
        run = self.place(self.tasks[0])
        report = self.report()
        report.pending.add(task=run.task, run=1)
        self.assertEqual([], self.read(report).stops)
        self.board.fail_job(self.tasks[1], 'it crashes agents')
        self.assertEqual([run], self.read(report).stops)
        run.phase = instances.RunPhase.STOPPING
        self.assertEqual([], self.read(report).stops)

    def test_a_stop_that_was_lost_is_ordered_again(self):
        """A cancelled long-running task is never stopped.

        Its sidecar was just restarted and did not know its worker yet when
        the stop arrived; the leader assumed that it was executed.
        """
        run = self.place(self.tasks[0])
        self.read(self.report(run))
        self.board.cancel(self.job.id)
        run.phase = instances.RunPhase.STOPPING
        run.order = 7
        report = self.report(run)
        report.seen = 7
        self.assertEqual([run], self.read(report).stops)

    def test_a_pending_stop_is_not_ordered_again(self):
        run = self.place(self.tasks[0])
        self.read(self.report(run))
        run.phase = instances.RunPhase.STOPPING
        report = self.report(run)
        report.pending.add(task=run.task, run=1)
        self.assertEqual([], self.read(report).stops)

    def test_an_unwanted_run_is_stopped_and_counted(self):
        """An instance exceeds its capacity after a change of leader.

        It still runs tasks that an earlier leader started there and
        abandoned.
        """
        run = self.place(self.tasks[0])
        self.board.note_end(self.tasks[0], 1, board.End.LOST, '', 2)
        self.instance.drop_run((run.task, 1))
        reaction = self.read(self.report(run))
        (stopped,) = reaction.stops
        self.assertEqual(run.task, stopped.task)
        self.assertEqual(1000, self.instance.committed.millicores)

    def report_next_boot(self, *running, **fields):
        """Return a report of the agent's next start under its id."""
        report = self.report(*running, **fields)
        report.born_ms = 2
        return report

    def test_runs_of_an_earlier_boot_are_lost(self):
        run = self.place(self.tasks[0])
        self.read(self.report(run))
        for looked in (False, True):
            report = self.report_next_boot()
            report.looked = looked
            self.assertEqual([], self.read(report).stops)
        self.assertEqual({}, self.instance.runs)
        self.assertIn(self.tasks[0].key, self.job.waiting)
        self.assertEqual(1, run.number)

    def test_an_unobserved_run_of_an_earlier_boot_is_stopped_first(self):
        """A task runs on two instances after its agent restarted.

        The sidecar had restarted too and did not know of the start, which
        the agent's next boot executed after the task was placed again.
        """
        run = self.place(self.tasks[0])
        reaction = self.read(self.report_next_boot())
        self.assertEqual([run], reaction.stops)
        self.assertNotIn(self.tasks[0].key, self.job.waiting)
        report = self.report_next_boot()
        report.barred.add(task=run.task, run=1, reason='absent')
        self.read(report)
        self.assertIn(self.tasks[0].key, self.job.waiting)

    def test_a_run_stays_where_its_boot_gets_another_name(self):
        """Watchers run on two instances while sidecars are upgraded.

        Their claims name the agent alone; the upgraded sidecar reports
        when it was born as well.
        """
        run = self.place(self.tasks[0])
        self.read(self.report(run))
        reaction = self.read(self.report_next_boot(run))
        self.assertEqual([], reaction.stops)
        self.assertEqual([run], list(self.instance.runs.values()))
        self.assertEqual('boot-1@2', run.boot)

    def test_a_start_that_may_be_executed_late_keeps_its_run(self):
        """A task runs on two instances after its agent restarted.

        Its start had got no answer; the agent's next boot executed it after
        the task was placed again.
        """
        run = self.place(self.tasks[0])
        for name in ('', 'boot-1'):
            report = self.report_next_boot(ended_boots=['boot-1'])
            report.boot = name
            report.pending.add(task=run.task, run=1)
            self.read(report)
            self.assertNotIn(self.tasks[0].key, self.job.waiting)
        self.read(self.report_next_boot(ended_boots=['boot-1']))
        self.assertIn(self.tasks[0].key, self.job.waiting)

    def test_ends_of_the_next_boot_count_from_one(self):
        """Tasks are executed again after their agent restarted."""
        for number in (1, 2):
            report = self.report()
            report.ended.add(
                number=number, task=f'{"c" * 16}.0.0.0', run=1, how='done'
            )
            self.read(report)
        report = self.report_next_boot(ended_boots=['boot-1'])
        self.read(report)
        run = self.place(self.tasks[0])
        report.ended.add(number=1, task=run.task, run=1, how='done')
        self.read(report)
        self.assertEqual(record.TaskPhase.DONE, self.tasks[0].state.phase)

    def test_runs_of_an_ended_boot_are_lost(self):
        """A long-running task of a removed instance never runs again.

        The worker's agent announced its end, and no successor followed; no
        later report contains a boot.
        """
        self.place(self.tasks[0])
        report = fleet_pb2.Report(over=['boot-1'])
        self.read(report)
        self.assertIn(self.tasks[0].key, self.job.waiting)

    def test_runs_of_a_silent_worker_are_lost_with_their_leases(self):
        """A long-running task of a crashed worker never runs again.

        Its sidecar stays up and reports the last snapshot.
        """
        run = self.place(self.tasks[0])
        self.read(self.report(run, silent_seconds=3.0))
        self.assertIn((run.task, 1), self.instance.runs)
        self.read(self.report(run, silent_seconds=8.0, lapsed=True))
        self.assertIn(self.tasks[0].key, self.job.waiting)

    def test_work_that_was_done_outlasts_its_worker(self):
        """A build is rerun although its sidecar knows that it is done.

        The link to the leader was down when it ended, and its worker's
        agent stopped answering: the report contained both the end and the
        lapsed leases, and the leader abandoned the run first.
        """
        run = self.place(self.tasks[0])
        report = self.report(silent_seconds=8.0, lapsed=True)
        report.ended.add(number=1, task=run.task, run=1, how='done')
        self.read(report)
        self.assertEqual(record.TaskPhase.DONE, self.tasks[0].state.phase)

    def test_a_run_that_is_not_needed_any_more_is_stopped(self):
        run = self.place(self.tasks[0])
        self.read(self.report(run))
        self.board.note_end(self.tasks[0], 1, board.End.LOST, '', 2)
        second = self.place(self.tasks[0])
        report = self.report(second)
        report.ended.add(number=1, task=run.task, run=1, how='done')
        self.assertEqual([second], self.read(report).stops)
        self.assertEqual([self.tasks[0]], self.reader.pop_superseded_tasks())
        self.assertEqual([], self.reader.pop_superseded_tasks())

    def test_one_gauge_below_the_target_ends_no_miss(self):
        """A serving task exceeds its target for 4 s beside a build.

        One gauge in between was off by half, which restarted the
        measurement of the time over the target.
        """
        step = cases.make_step(1, latency_target_ms=10)
        run = cases.add_run(self.instance, step)
        for now, gauge in ((1.0, 12.0), (1.5, 9.5), (2.0, 12.0)):
            report = self.report()
            report.running.add(task=run.task, run=1, gauge=gauge)
            self.read(report, now)
        self.assertEqual(1.0, run.over_target_since)
