from tests import base
from tools.bench import baselines
from tools.bench import clock
from tools.bench import colocation
from tools.bench import interfering
from tools.bench import machines
from tools.bench import registry
from tools.bench import results
from tools.bench import table
from tools import measure

LATENCY_CRITICAL = {'check': (0.1, 1.0)}
BATCH = {'build': 0.5, 'archive': 0.5}
INTERFERENCE = {('check', 'build'): 3.0}


def make_world(policy='best-fit', seed=1, **load):
    arrival_load = {'quick_load': 0.6, 'batch_load': 0.6, **load}
    return colocation.World(
        machines.TALLOWFORD,
        interfering.TrueInterference(INTERFERENCE),
        colocation.Load(quick=LATENCY_CRITICAL, batch=BATCH, **arrival_load),
        colocation.Reporting(),
        baselines.POLICIES[policy],
        seed,
    )


class EventQueueTest(base.TestCase):
    def test_actions_run_in_order_of_time_then_of_scheduling(self):
        queue = clock.EventQueue()
        executed = []
        queue.call_later(2.0, executed.append, 'late')
        queue.call_later(1.0, executed.append, 'first')
        queue.call_later(1.0, executed.append, 'second')
        queue.run(until=1.5)
        self.assertEqual(['first', 'second'], executed)
        self.assertEqual(1.5, queue.read())


class WorldTest(base.TestCase):
    def test_same_seed_gives_same_results(self):
        runs = [make_world().execute(10.0).summarize() for _ in range(2)]
        self.assertEqual(runs[0], runs[1])

    def test_every_policy_has_no_loss_or_duplicates(self):
        for policy in baselines.POLICIES:
            run = make_world(policy).execute(20.0)
            self.assertEqual((0, 0), (run.lost, run.doubled), policy)
            self.assertEqual(run.requests, run.answered + run.refused)

    def test_rack_failure_causes_no_loss_or_duplicates(self):
        world = make_world()
        world.clock.call_later(5.0, world.fail_rack, 'rack-0', 10.0)
        run = world.execute(20.0)
        self.assertEqual((0, 0), (run.lost, run.doubled))

    def test_interfering_pair_slows_requests(self):
        isolated = make_world(batch_load=0.01).execute(20.0).summarize()
        colocated = make_world(batch_load=0.9).execute(20.0).summarize()
        self.assertGreater(colocated.p99, isolated.p99)


class MeasureTest(base.TestCase):
    def test_table_has_ratios_to_baselines(self):
        """A ratio is the subject's result divided by the baseline's."""

        def run(policy, seed):
            del seed
            result = results.Run()
            for _ in range(100):
                result.latencies.record(0.1 if policy == 'own' else 0.2)
            return result

        registry.scenario('trial', 'own', ('other',))(run)
        self.addCleanup(registry.SCENARIOS.pop, 'trial')
        outcomes = {
            'trial': {
                policy: [measure.run_one('trial', policy, 1)]
                for policy in ('own', 'other')
            }
        }
        text = table.write_tables(outcomes, [1])
        self.assertIn('| other | 200 | 200 | 200 | 0.50 |', text)
