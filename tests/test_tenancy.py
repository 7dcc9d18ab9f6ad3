from tests import base
from tools.bench import scenarios_limits
from tools.bench import tenancy

KINDS = [
    scenarios_limits.make_workload('build', 'a', 5.0, 1.0, idempotent=False),
    scenarios_limits.make_workload('match', 'b', 5.0, 1.0),
]


def make_world(policy: str = 'limits', seed: int = 1) -> tenancy.World:
    return scenarios_limits.make_world(policy, seed, KINDS)


class TenancyTest(base.TestCase):
    def test_same_seed_gives_same_results(self):
        runs = [make_world().execute(20.0).summarize() for _ in range(2)]
        self.assertEqual(runs[0], runs[1])

    def test_every_policy_answers_all_without_duplicates(self):
        for policy in scenarios_limits.RULES:
            run = make_world(policy).execute(20.0)
            self.assertEqual((0, 0), (run.lost, run.doubled), policy)
            self.assertEqual(0, run.extras['overcommitted'])
            self.assertEqual(0, run.extras['unanswered'])

    def test_zone_and_store_outage_cause_no_duplicates(self):
        world = make_world()
        world.clock.call_later(5.0, world.set_zone_alive, 'b', False)
        world.clock.call_later(8.0, world.set_store_down, True)
        world.clock.call_later(15.0, world.set_store_down, False)
        world.clock.call_later(18.0, world.set_zone_alive, 'b', True)
        run = world.execute(20.0)
        self.assertEqual((0, 0), (run.lost, run.doubled))
        self.assertEqual(0, run.extras['unanswered'])

    def test_failing_instance_gets_three_tasks_before_quarantine(self):
        world = make_world()
        failing = world.nodes['instance-04']
        failing.broken = True
        world.execute(20.0)
        self.assertEqual(3, failing.starts - failing.canaries)
