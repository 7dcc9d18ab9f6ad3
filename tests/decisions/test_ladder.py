import dataclasses

from persimmonsail.decisions import ladder
from persimmonsail.decisions import objectives
from tests import base
from tests import views


def make_tasks(*workloads, share=0.2):
    return tuple(
        ladder.RunningTask(str(number), workload, share)
        for number, workload in enumerate(workloads)
    )


class EvictionBudgetTest(base.TestCase):
    def test_burst_then_rate(self):
        now = [0.0]
        budget = ladder.EvictionBudget(lambda: now[0], 0.1, 2.0)
        acquired = [budget.try_acquire() for _ in range(3)]
        self.assertEqual([True, True, False], acquired)
        now[0] = 10.0
        self.assertTrue(budget.try_acquire())
        self.assertFalse(budget.try_acquire())


class LadderTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.estimator = views.make_estimator()
        views.train(self.estimator, {'build': 4.0, 'archive': 0.1}, 0.15)
        self.budget = ladder.EvictionBudget(lambda: self.now, 0.0, 2.0)
        self.ladder = ladder.Ladder(
            self.estimator,
            objectives.Objectives(lambda workload: None),
            self.budget,
            lambda: self.now,
        )

    def run_for(self, seconds, tasks, relief=1.0, demand=None, waiting=0.0):
        """Apply the ladder's decisions, once a second."""
        actions = []
        running = {task.task: task for task in tasks}
        for second in range(seconds):
            self.now += 1.0
            load = demand(second) if demand else {'check': 0.5}
            situation = ladder.InstanceSnapshot(
                'one', tuple(running.values()), load, waiting=waiting
            )
            action = self.ladder.decide(situation, lambda task: relief)
            if action is None:
                continue
            actions.append(action)
            task = running.pop(action.task)
            if action.kind is not ladder.Kind.EVICT:
                running[task.task] = dataclasses.replace(
                    task, speed=action.speed
                )
        return actions

    def test_tasks_without_interference_are_not_throttled(self):
        self.assertEqual([], self.run_for(60, make_tasks(*['archive'] * 4)))

    def test_noisy_task_is_throttled_before_any_is_evicted(self):
        tasks = make_tasks('archive', *['build'] * 4)
        actions = self.run_for(120, tasks)
        kinds = [action.kind for action in actions]
        self.assertEqual(ladder.Kind.THROTTLE, kinds[0])
        first_eviction = kinds.index(ladder.Kind.EVICT)
        self.assertEqual(4, kinds[:first_eviction].count('throttle'))
        self.assertNotIn('0', [action.task for action in actions])

    def test_mild_interference_is_throttled_where_requests_queue(self):
        """Mild interference everywhere must not cause lasting overload.

        The slowdown on each instance is too small to act on, but slots
        are occupied longer than the interval between arrivals, so the
        queues stay full and every check takes a second.
        """
        tasks = make_tasks('build', share=0.15)
        self.assertEqual([], self.run_for(30, tasks, relief=0.0))
        actions = self.run_for(30, tasks, relief=0.0, waiting=0.5)
        self.assertEqual(['throttle'], [action.kind for action in actions])

    def test_nothing_is_evicted_without_a_better_instance(self):
        actions = self.run_for(120, make_tasks(*['build'] * 4), relief=0.0)
        self.assertNotIn('evict', [action.kind for action in actions])

    def test_budget_bounds_evictions(self):
        actions = self.run_for(600, make_tasks(*['build'] * 12))
        kinds = [action.kind for action in actions]
        self.assertEqual(2, kinds.count('evict'))

    def test_steady_interference_never_oscillates(self):
        """A throttled task must not be released because that helped.

        Throttling brings the slowdown below the threshold; releasing
        the task for that reason brings it back, so latencies rise and
        fall every few seconds.
        """
        actions = self.run_for(600, make_tasks('build', 'build'), relief=0.0)
        kinds = [action.kind for action in actions]
        self.assertNotIn('release', kinds)
        self.assertLessEqual(len(kinds), 2)

    def test_fast_load_variation_causes_few_actions(self):
        actions = self.run_for(
            600,
            make_tasks('build', 'build'),
            relief=0.0,
            demand=lambda s: {'check': 0.5 if s % 4 < 2 else 0.0},
        )
        self.assertLessEqual(len(actions), 4)

    def test_slow_load_variation_makes_releases_rarer(self):
        """Each relapse soon after a release doubles the wait."""
        actions = self.run_for(
            1200,
            make_tasks('build', 'build'),
            relief=0.0,
            demand=lambda s: {'check': 0.5 if s % 40 < 20 else 0.0},
        )
        releases = [a for a in actions if a.kind is ladder.Kind.RELEASE]
        self.assertLessEqual(len(releases), 4)

    def test_task_is_released_once_requests_have_ended(self):
        self.run_for(30, make_tasks('build', 'build'), relief=0.0)
        throttled = [
            dataclasses.replace(task, speed=0.5)
            for task in make_tasks('build', 'build')
        ]
        actions = self.run_for(60, throttled, demand=lambda s: {})
        self.assertEqual(
            ['release', 'release'], [action.kind for action in actions]
        )

    def test_action_describes_its_terms(self):
        action = self.run_for(30, make_tasks('build', 'build'))[0]
        self.assertEqual('check', action.victim)
        self.assertGreater(action.slowdown, 1.7)
        self.assertRegex(action.terms, r'^build:0\.40@\d')
