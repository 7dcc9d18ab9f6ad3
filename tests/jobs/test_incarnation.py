import dataclasses
import math
from unittest import mock

from persimmonsail.jobs import incarnation
from persimmonsail.jobs import specification
from persimmonsail.jobs import worker
from tests import base

BOOT = worker.Heartbeat(
    boot='boot-1',
    sequence=1,
    service='planner',
    capacity=specification.Size(4000, 1000),
)
ORDER = worker.StartOrder('00000000000000aa.0.0.0', 1, '', '', 9000)
KEY = (ORDER.task, ORDER.run)


class IncarnationTest(base.TestCase):
    OTHER_ENDS = (worker.EndedRow(1, 'b.0.0.0', 1, 'done'),)

    def setUp(self):
        super().setUp()
        self.incarnation = incarnation.Incarnation(BOOT, 10.0)

    def apply_snapshot(self, clock_ms, *running, ended=(), truncated=False):
        rows = tuple(worker.RunningRow(task, run) for task, run in running)
        snapshot = worker.Snapshot(clock_ms, rows, tuple(ended), truncated)
        return self.incarnation.apply_snapshot(snapshot, 10.0)

    def test_a_reordered_snapshot_changes_nothing(self):
        """A newly started run is reported as absent.

        Two answers of the agent were reordered.
        """
        self.apply_snapshot(2000, KEY)
        self.assertFalse(self.apply_snapshot(1900))
        self.assertIn(KEY, self.incarnation.running)

    def test_the_first_ignored_snapshot_in_a_row_is_logged(self):
        self.apply_snapshot(2000, KEY)
        with mock.patch.object(incarnation.logs, 'write_event') as written:
            for clock_ms in (1900, 1950, 2050, 2000):
                self.apply_snapshot(clock_ms)
        self.assertEqual(
            [(1900, 2000), (2000, 2050)],
            [
                (call.kwargs['clock_ms'], call.kwargs['latest_ms'])
                for call in written.call_args_list
            ],
        )

    def test_ends_that_were_discarded_unread_are_logged(self):
        """A task is executed twice, and no log says why."""
        rows = [
            worker.EndedRow(number, *KEY, 'done') for number in range(1, 9)
        ]
        with mock.patch.object(incarnation.logs, 'write_error') as written:
            self.apply_snapshot(1000, ended=rows[2:3])
            self.apply_snapshot(1010, ended=rows[2:4])
            self.apply_snapshot(1020)
            self.assertEqual([], written.call_args_list)
            self.apply_snapshot(1030, ended=rows[6:7])
        (call,) = written.call_args_list
        self.assertEqual((5, 6), (call.kwargs['first'], call.kwargs['last']))

    def test_the_first_truncated_list_in_a_row_is_logged(self):
        """Done tasks run again, and no log says that ends were missing."""
        rows = [
            worker.EndedRow(number, *KEY, 'done') for number in range(1, 4)
        ]
        with mock.patch.object(incarnation.logs, 'write_event') as written:
            self.apply_snapshot(1000, ended=rows[:2], truncated=True)
            self.apply_snapshot(1010, ended=rows[:2], truncated=True)
            self.apply_snapshot(1020, ended=rows[2:])
        self.assertEqual(
            [('ends-truncated', 2)],
            [
                (call.args[0], call.kwargs['last'])
                for call in written.call_args_list
            ],
        )

    def test_a_run_with_an_unlisted_end_crashed_no_agent(self):
        """A task is suspected of a crash that came after its end."""
        self.incarnation.note_start_sent(KEY, 10.0)
        self.apply_snapshot(1000, KEY)
        self.apply_snapshot(2000, truncated=True, ended=self.OTHER_ENDS)
        self.assertEqual((), self.incarnation.describe_crash(20.0).runs)

    def test_an_earlier_snapshot_does_not_remove_a_started_run(self):
        """A run is stopped as soon as it has started.

        The snapshot that arrived after the start was taken before it.
        """
        self.apply_snapshot(1000)
        self.incarnation.note_start_answered(ORDER, 1010, 10.0)
        self.apply_snapshot(1010)
        self.assertIn(KEY, self.incarnation.running)
        self.apply_snapshot(1200)
        self.assertNotIn(KEY, self.incarnation.running)

    def test_a_start_that_ended_immediately_is_not_running(self):
        self.apply_snapshot(1000)
        self.incarnation.note_start_answered(ORDER, 1010, 10.0)
        end = worker.EndedRow(1, *KEY, 'failed')
        self.apply_snapshot(1020, ended=[end])
        self.assertNotIn(KEY, self.incarnation.running)
        self.assertTrue(self.incarnation.has_ended(KEY))

    def test_ends_are_retained_until_they_are_acknowledged(self):
        end = worker.EndedRow(1, *KEY, 'done')
        self.apply_snapshot(1000, ended=[end])
        self.assertIn(1, self.incarnation.ended)
        self.incarnation.acknowledged = 1
        self.apply_snapshot(1010, ended=[end])
        self.assertEqual({}, self.incarnation.ended)

    def test_converted_times_are_never_late_on_the_agents_clock(self):
        self.assertIsNone(self.incarnation.to_agent_clock(12.0))
        self.incarnation.note_clock(5000, 10.0)
        self.assertEqual(7000, self.incarnation.to_agent_clock(12.0))

    def test_an_unreachable_agent_lapses_only_after_its_last_lease(self):
        """A long-running task runs on two instances.

        Its agent was briefly unreachable, and the task was started
        elsewhere before its lease had expired.
        """
        self.incarnation.granted_until = 16.0
        self.assertFalse(self.incarnation.is_lapsed(15.9))
        self.assertFalse(self.incarnation.is_lapsed(16.1))
        self.assertTrue(self.incarnation.is_lapsed(16.6))
        self.incarnation.answered_at = 16.0
        self.assertFalse(self.incarnation.is_lapsed(16.6))

    def test_pending_orders_take_capacity_too(self):
        self.incarnation.sizes[KEY] = specification.Size(3000, 100)
        self.incarnation.pending[KEY] = specification.Size(3000, 100)
        self.assertEqual(1000, self.incarnation.measure_free().millicores)

    def test_a_crash_lists_its_runs_the_latest_first(self):
        """A task crashes its agent, and it is unknown which task did.

        Excluded are runs that had ended before, and starts that were sent
        after the agent had stopped answering.
        """
        older = ('00000000000000bb.0.0.0', 1)
        ended = ('00000000000000cc.0.0.0', 1)
        refused = ('00000000000000dd.0.0.0', 1)
        for key, at in ((ended, 10.5), (older, 11.0), (KEY, 12.0)):
            self.incarnation.note_start_sent(key, at)
        self.apply_snapshot(2000, ended=[worker.EndedRow(1, *ended, 'done')])
        self.incarnation.note_answer(12.125)
        self.incarnation.note_unanswered_call(12.25)
        self.incarnation.note_unanswered_call(13.0)
        self.incarnation.note_start_sent(refused, 13.5)
        crash = self.incarnation.describe_crash(15.0)
        self.assertEqual('boot-1', crash.boot)
        self.assertEqual(12.25, crash.failed_at)
        self.assertEqual(
            [(KEY[0], 0.125), (older[0], 1.125)],
            [(run.task, run.seconds) for run in crash.runs],
        )

    def test_a_run_of_an_earlier_sidecar_is_of_unknown_age(self):
        self.apply_snapshot(2000, KEY)
        (run,) = self.incarnation.describe_crash(11.0).runs
        self.assertEqual(math.inf, run.seconds)

    def test_snapshots_do_not_show_the_age_of_an_earlier_sidecars_run(self):
        """A sidecar restarts, and an old run is blamed for the next crash."""
        for clock_ms in (2000, 2100, 2200):
            self.apply_snapshot(clock_ms, KEY)
        (run,) = self.incarnation.describe_crash(11.0).runs
        self.assertEqual(math.inf, run.seconds)

    def test_a_stopping_run_takes_capacity_until_it_has_ended(self):
        """A start during another run's stop exceeds the agent's capacity."""
        self.incarnation.sizes[KEY] = specification.Size(3000, 100)
        self.apply_snapshot(2000, KEY)
        self.incarnation.pending[KEY] = specification.Size(3000, 100)
        self.assertEqual(1000, self.incarnation.measure_free().millicores)
        self.apply_snapshot(2100, KEY)
        self.assertEqual(1000, self.incarnation.measure_free().millicores)
        self.apply_snapshot(2200, ended=[worker.EndedRow(1, *KEY, 'stopped')])
        del self.incarnation.pending[KEY]
        self.assertEqual(4000, self.incarnation.measure_free().millicores)

    def test_a_capacity_that_shrank_is_exceeded(self):
        self.incarnation.sizes[KEY] = specification.Size(3000, 100)
        self.incarnation.pending[KEY] = specification.Size()
        self.assertTrue(self.incarnation.fits_capacity())
        self.incarnation.heartbeat = dataclasses.replace(
            BOOT, sequence=2, capacity=specification.Size(2000, 1000)
        )
        self.assertFalse(self.incarnation.fits_capacity())

    def send_heartbeat(self, sequence, clock_ms, now):
        heartbeat = dataclasses.replace(
            BOOT, sequence=sequence, clock_ms=clock_ms
        )
        self.incarnation.note_heartbeat(heartbeat, now)

    def test_an_agent_behind_a_cut_link_is_alive_until_its_last_heartbeat(
        self,
    ):
        """A harmless task is blamed when all agents end simultaneously."""
        self.incarnation.note_clock(1000, 10.0)
        self.incarnation.note_start_sent(KEY, 10.0)
        self.incarnation.note_answer(10.01)
        self.incarnation.note_unanswered_call(10.2)
        self.send_heartbeat(2, clock_ms=2500, now=11.6)
        crash = self.incarnation.describe_crash(12.0)
        self.assertEqual((11.5, 12.0), (crash.alive_at, crash.failed_at))
        self.assertEqual([1.5], [run.seconds for run in crash.runs])

    def test_a_delayed_heartbeat_does_not_prove_later_life(self):
        self.incarnation.note_clock(1000, 10.0)
        self.incarnation.note_answer(10.01)
        self.incarnation.note_unanswered_call(10.2)
        self.send_heartbeat(2, clock_ms=1100, now=13.0)
        crash = self.incarnation.describe_crash(14.0)
        self.assertEqual((10.1, 10.2), (crash.alive_at, crash.failed_at))

    def test_a_delayed_answer_does_not_extend_a_run(self):
        """A crashing task seems to run longer, and crashes two more agents."""
        self.incarnation.note_start_sent(KEY, 10.0)
        self.incarnation.note_start_answered(ORDER, 1000, 10.3)
        self.incarnation.note_answer(10.3)
        self.apply_snapshot(1005, KEY)
        self.incarnation.note_answer(10.6)
        (run,) = self.incarnation.describe_crash(11.0).runs
        self.assertEqual(0.005, run.seconds)

    def test_a_start_executed_late_has_just_begun(self):
        """A crashing task whose starts are late seems to run for long."""
        self.incarnation.note_unanswered_start(KEY, 10.0)
        self.apply_snapshot(2400)
        self.incarnation.note_answer(11.4)
        (run,) = self.incarnation.describe_crash(12.0).runs
        self.assertEqual(0.0, run.seconds)
