from persimmonsail.jobs import interference
from persimmonsail.jobs import throttling
from tests import base
from tests.jobs import cases

NOW = 100.0
TARGET_MS = 18
TAKEOVERS = 10


class TakeoverTest(base.TestCase):
    """A rolling restart of entries changes the leader again and again."""

    def make_instance(self, gauge):
        """Return an instance as a new leader finds it."""
        instance = cases.make_instance()
        serving = cases.make_step(
            image='serves', latency_target_ms=TARGET_MS, long_running=True
        )
        cases.add_run(
            instance, serving, task='00000000000000cc.0.0.0', gauge=gauge
        )
        step = cases.make_step(
            image='fills', best_effort_cpu=True, checkpoints=True
        )
        for index in range(3):
            cases.add_run(
                instance,
                step,
                task=f'00000000000000bb.0.0.{index}',
                gauge=1000.0,
                speed_limit_known=False,
            )
        return instance

    def choose_changes(self, instance):
        model = interference.Model()
        model.learn(instance, NOW)
        return throttling.choose_changes(instance, model, NOW)

    def test_work_continues_at_full_speed_through_takeovers(self):
        """Guards against stalling all best-effort work at each takeover."""
        for _ in range(TAKEOVERS):
            changes = self.choose_changes(self.make_instance(TARGET_MS / 4))
            self.assertEqual([100] * 3, [change.percent for change in changes])

    def test_what_is_over_its_target_stops_work_at_once(self):
        """Guards against a limit of a former leader that nobody knows."""
        instance = self.make_instance(2 * TARGET_MS)
        instance.serving[0].over_target_since = NOW - 2.0
        changes = self.choose_changes(instance)
        self.assertEqual([0] * 3, [change.percent for change in changes])

    def test_a_known_limit_rises_step_by_step(self):
        instance = self.make_instance(TARGET_MS / 4)
        for run in instance.best_effort_runs:
            run.speed_limit, run.speed_limit_known = 10, True
        changes = self.choose_changes(instance)
        self.assertEqual([30] * 3, [change.percent for change in changes])
