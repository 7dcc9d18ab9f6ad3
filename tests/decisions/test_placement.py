from persimmonsail.bookkeeping import tasks
from persimmonsail.decisions import admission
from persimmonsail.decisions import objectives
from persimmonsail.decisions import placement
from tests import base
from tests import views


class PlacerTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.estimator = views.make_estimator()
        views.train(self.estimator, {'build': 4.0, 'archive': 0.1}, 0.15)
        self.placer = placement.Placer(
            self.estimator,
            objectives.Objectives(lambda workload: None),
            lambda: 0.0,
        )

    def choose(self, candidates, workload='build', **need):
        size = admission.Size(8.0, 20.0)
        return self.placer.choose(
            candidates, placement.Requirement(workload, size, **need)
        )

    def test_noisy_task_is_placed_where_demand_is_low(self):
        busy = views.make_instance('busy', demand={'check': 0.4})
        quiet = views.make_instance('quiet', demand={'check': 0.1})
        choice = self.choose([busy, quiet])
        self.assertEqual('quiet', choice.instance.name)

    def test_noise_is_concentrated_on_one_instance(self):
        """Requests avoid the noisy instance, so noise costs less there."""
        noisy = views.make_instance(
            'noisy', shares={'build': 0.5}, demand={'check': 0.05}
        )
        clean = views.make_instance('clean', demand={'check': 0.5})
        self.assertEqual('noisy', self.choose([noisy, clean]).instance.name)

    def test_nothing_is_chosen_beyond_the_headroom(self):
        full = views.make_instance(
            'full', committed=admission.Size(50.0, 20.0)
        )
        choice = self.choose([full])
        self.assertIsNone(choice.instance)
        self.assertEqual('no room', choice.reason)

    def test_task_is_held_only_for_a_limited_time(self):
        busy = views.make_instance('busy', demand={'check': 0.8})
        held = self.choose([busy])
        self.assertEqual('interference', held.reason)
        self.assertIsNone(held.instance)
        after_hold = self.choose([busy], waited=1000.0)
        self.assertEqual('busy', after_hold.instance.name)

    def test_stale_report_raises_the_cost(self):
        stale = views.make_instance('old', reported_at=-5.0)
        fresh = views.make_instance('fresh')
        self.assertEqual('fresh', self.choose([stale, fresh]).instance.name)

    def test_tasks_of_a_workload_spread_over_racks(self):
        same_rack_busy = views.make_instance(
            'here', rack='r1', zone='a', shares={'archive': 0.3}
        )
        same_rack = views.make_instance('beside', rack='r1', zone='a')
        other_rack = views.make_instance('away', rack='r2', zone='b')
        choice = self.choose(
            [same_rack_busy, same_rack, other_rack], 'archive'
        )
        self.assertEqual('away', choice.instance.name)

    def test_avoided_instance_is_not_chosen(self):
        quiet = views.make_instance('quiet')
        busy = views.make_instance('busy', demand={'check': 0.1})
        choice = self.choose([quiet, busy], avoid=frozenset({'quiet'}))
        self.assertEqual('busy', choice.instance.name)

    def test_cost_describes_its_terms(self):
        cost = self.choose([views.make_instance('one')]).cost
        self.assertRegex(
            cost.describe(),
            r'^interference:[\d.]+,crowding:.*,spread:.*,queue:.*,age:.*$',
        )


class ChooseTaskTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0
        estimator = views.make_estimator()
        views.train(estimator, {'build': 4.0}, 0.15)
        self.placer = placement.Placer(
            estimator,
            objectives.Objectives(lambda workload: None),
            lambda: self.now,
        )

    def choose(self, instance, index):
        task = tasks.Task(str(index), 'build', 'team', '{}', 1)
        return self.placer.choose_task(
            [instance], task, admission.Size(8.0, 20.0)
        )

    def test_workload_has_one_hold_period_for_all_tasks(self):
        """Held tasks must not each start a hold period of their own.

        Otherwise tasks start one by one, 20 s apart, although there is
        free capacity for all of them.
        """
        busy = views.make_instance('busy', demand={'check': 0.9})
        self.assertIsNone(self.choose(busy, 1))
        self.now = 30.0
        chosen = [self.choose(busy, index) for index in range(5)]
        self.assertEqual([busy] * 5, chosen)

    def test_chosen_instance_includes_the_task_immediately(self):
        quiet = views.make_instance('quiet')
        for index in range(3):
            self.choose(quiet, index)
        self.assertEqual({'build': 0.375}, quiet.shares)
