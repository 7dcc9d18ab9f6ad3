import dataclasses
import math

from persimmonsail.jobs import life
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


class LifeTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.life = life.Life(BOOT, 10.0)

    def look(self, clock_ms, *running, ended=()):
        rows = tuple(worker.RunningRow(task, run) for task, run in running)
        return self.life.note_look(
            worker.Look(clock_ms, rows, tuple(ended)), 10.0
        )

    def test_an_overtaken_look_changes_nothing(self):
        """A run that was just started is reported as absent.

        Two answers of the agent overtook each other.
        """
        self.look(2000, KEY)
        self.assertFalse(self.look(1900))
        self.assertIn(KEY, self.life.running)

    def test_a_start_outlives_a_look_made_just_before_it(self):
        """A run is stopped the moment it has begun.

        The look that came back after the start was made before it.
        """
        self.look(1000)
        self.life.note_started(ORDER, 1010, 10.0)
        self.look(1010)
        self.assertIn(KEY, self.life.running)
        self.look(1200)
        self.assertNotIn(KEY, self.life.running)

    def test_a_start_that_ended_at_once_is_not_running(self):
        self.look(1000)
        self.life.note_started(ORDER, 1010, 10.0)
        end = worker.EndedRow(1, *KEY, 'failed')
        self.look(1020, ended=[end])
        self.assertNotIn(KEY, self.life.running)
        self.assertTrue(self.life.has_ended(KEY))

    def test_ends_are_kept_until_they_are_acknowledged(self):
        end = worker.EndedRow(1, *KEY, 'done')
        self.look(1000, ended=[end])
        self.assertIn(1, self.life.ended)
        self.life.acknowledged = 1
        self.look(1010, ended=[end])
        self.assertEqual({}, self.life.ended)

    def test_the_agents_clock_is_never_ahead_of_a_moment(self):
        self.assertIsNone(self.life.to_agent_clock(12.0))
        self.life.note_clock(5000, 10.0)
        self.assertEqual(7000, self.life.to_agent_clock(12.0))

    def test_a_silent_agent_lapses_only_after_its_last_lease(self):
        """A watcher runs in two places.

        Its agent was out of reach for a moment, and the watcher was
        started elsewhere while its lease still ran.
        """
        self.life.granted_until = 16.0
        self.assertFalse(self.life.is_lapsed(15.9))
        self.assertFalse(self.life.is_lapsed(16.1))
        self.assertTrue(self.life.is_lapsed(16.6))
        self.life.answered_at = 16.0
        self.assertFalse(self.life.is_lapsed(16.6))

    def test_open_orders_take_room_too(self):
        self.life.sizes[KEY] = specification.Size(3000, 100)
        self.life.pending[KEY] = specification.Size(3000, 100)
        self.assertEqual(1000, self.life.measure_free().millicores)

    def test_a_crash_names_what_was_there_the_latest_first(self):
        """A task ends its agent, and nothing tells which of them did.

        What had ended before is none of them, nor is a start that was sent
        to an agent that had answered nothing any more.
        """
        older = ('00000000000000bb.0.0.0', 1)
        ended = ('00000000000000cc.0.0.0', 1)
        refused = ('00000000000000dd.0.0.0', 1)
        for key, at in ((ended, 10.5), (older, 11.0), (KEY, 12.0)):
            self.life.note_sent(key, at)
        self.look(2000, ended=[worker.EndedRow(1, *ended, 'done')])
        self.life.note_answer(12.125)
        self.life.note_silence(12.25)
        self.life.note_silence(13.0)
        self.life.note_sent(refused, 13.5)
        crash = self.life.describe_crash(15.0)
        self.assertEqual('boot-1', crash.boot)
        self.assertEqual(12.25, crash.failed_at)
        self.assertEqual(
            [(KEY[0], 0.125), (older[0], 1.125)],
            [(run.task, run.seconds) for run in crash.runs],
        )

    def test_a_run_of_an_earlier_sidecar_is_of_unknown_age(self):
        self.look(2000, KEY)
        (run,) = self.life.describe_crash(11.0).runs
        self.assertEqual(math.inf, run.seconds)

    def test_looks_tell_nothing_of_the_age_of_an_earlier_sidecars_run(self):
        """An old run is blamed for a crash soon after a sidecar's restart."""
        for clock_ms in (2000, 2100, 2200):
            self.look(clock_ms, KEY)
        (run,) = self.life.describe_crash(11.0).runs
        self.assertEqual(math.inf, run.seconds)

    def test_what_is_being_stopped_takes_its_room_until_it_has_ended(self):
        """A start beside a run that is being stopped overfills the agent."""
        self.life.sizes[KEY] = specification.Size(3000, 100)
        self.look(2000, KEY)
        self.life.pending[KEY] = specification.Size(3000, 100)
        self.assertEqual(1000, self.life.measure_free().millicores)
        self.look(2100, KEY)
        self.assertEqual(1000, self.life.measure_free().millicores)
        self.look(2200, ended=[worker.EndedRow(1, *KEY, 'stopped')])
        del self.life.pending[KEY]
        self.assertEqual(4000, self.life.measure_free().millicores)

    def test_a_room_that_shrank_has_none_left(self):
        self.life.sizes[KEY] = specification.Size(3000, 100)
        self.life.pending[KEY] = specification.Size()
        self.assertTrue(self.life.has_room())
        self.life.heartbeat = dataclasses.replace(
            BOOT, sequence=2, capacity=specification.Size(2000, 1000)
        )
        self.assertFalse(self.life.has_room())

    def beat(self, sequence, clock_ms, now):
        heartbeat = dataclasses.replace(
            BOOT, sequence=sequence, clock_ms=clock_ms
        )
        self.life.note_heartbeat(heartbeat, now)

    def test_an_agent_behind_a_cut_link_lives_until_its_last_heartbeat(self):
        """An innocent is blamed for a loss of all agents at one moment."""
        self.life.note_clock(1000, 10.0)
        self.life.note_sent(KEY, 10.0)
        self.life.note_answer(10.01)
        self.life.note_silence(10.2)
        self.beat(2, clock_ms=2500, now=11.6)
        crash = self.life.describe_crash(12.0)
        self.assertEqual((11.5, 12.0), (crash.alive_at, crash.failed_at))
        self.assertEqual([1.5], [run.seconds for run in crash.runs])

    def test_a_heartbeat_that_was_held_up_proves_no_later_life(self):
        self.life.note_clock(1000, 10.0)
        self.life.note_answer(10.01)
        self.life.note_silence(10.2)
        self.beat(2, clock_ms=1100, now=13.0)
        crash = self.life.describe_crash(14.0)
        self.assertEqual((10.1, 10.2), (crash.alive_at, crash.failed_at))

    def test_a_delayed_answer_stretches_no_run(self):
        """A bad task seems slow, and its agents crash twice more for it."""
        self.life.note_sent(KEY, 10.0)
        self.life.note_started(ORDER, 1000, 10.3)
        self.life.note_answer(10.3)
        self.look(1005, KEY)
        self.life.note_answer(10.6)
        (run,) = self.life.describe_crash(11.0).runs
        self.assertEqual(0.005, run.seconds)

    def test_a_start_that_is_carried_out_late_has_just_begun(self):
        """A bad task whose starts are late is taken for one that lasts."""
        self.life.note_unanswered(KEY, 10.0)
        self.look(2400)
        self.life.note_answer(11.4)
        (run,) = self.life.describe_crash(12.0).runs
        self.assertEqual(0.0, run.seconds)
