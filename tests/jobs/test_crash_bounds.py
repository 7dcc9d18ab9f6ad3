"""Bounds on the cost of tasks that crash their agents."""

from tests import base
from tests.jobs import crashplay

# Three crashes identify the task; two more starts may already be under way.
MAX_STARTS = 5
SEEDS = (1, 2, 3, 4, 24)


class CrashBoundsTest(base.TestCase):
    """Several tasks crash their agents simultaneously."""

    def check(self, **fields):
        for seed in SEEDS:
            scenario = crashplay.Scenario(seed=seed, **fields)
            outcome = crashplay.Simulation(scenario).run()
            case = f'{scenario}: {outcome.starts}'
            self.assertEqual(set(), outcome.failed, case)
            self.assertEqual(set(), outcome.unfinished, case)
            self.assertLessEqual(outcome.max_starts, MAX_STARTS, case)

    def test_two_instances(self):
        self.check(instances=2, bad=3, harmless=6)

    def test_two_instances_with_much_work(self):
        self.check(instances=2, bad=3, harmless=24)

    def test_two_instances_whose_agents_stay_away(self):
        self.check(instances=2, bad=3, harmless=24, down_seconds=3.0)

    def test_ten_bad_tasks_on_two_instances(self):
        """Coinciding trials excuse each other, and tasks start eight times."""
        self.check(
            instances=2,
            bad=10,
            harmless=100,
            arrival_seconds=12.0,
            down_seconds=1.0,
            work_seconds=0.6,
        )

    def test_six_instances(self):
        self.check(instances=6, bad=6, harmless=6)

    def test_six_instances_with_much_work(self):
        self.check(instances=6, bad=6, harmless=24)

    def test_six_instances_whose_agents_stay_away(self):
        self.check(instances=6, bad=6, harmless=24, down_seconds=3.0)

    def test_sixteen_instances(self):
        self.check(instances=16, bad=6, harmless=24)

    def test_sixteen_instances_whose_agents_stay_away(self):
        self.check(instances=16, bad=6, harmless=24, down_seconds=3.0)

    def test_more_bad_tasks_than_instances(self):
        self.check(instances=16, bad=20, harmless=80, work_seconds=2.0)

    def test_bad_tasks_handed_in_one_after_the_other(self):
        self.check(instances=2, bad=6, harmless=24, arrival_seconds=10.0)

    def test_bad_tasks_that_crash_half_a_second_later(self):
        self.check(
            instances=4,
            bad=4,
            harmless=24,
            crash_seconds=(0.2, 0.6),
            work_seconds=2.0,
        )

    def test_links_that_are_slow(self):
        for instances in (2, 6):
            self.check(
                instances=instances,
                bad=instances,
                harmless=24,
                delay_seconds=(0.1, 0.3),
            )

    def test_losses_of_power_blame_nobody(self):
        self.check(
            instances=2,
            bad=0,
            harmless=24,
            power_losses=(0.3, 1.5, 2.7),
            work_seconds=1.5,
        )

    def test_losses_of_power_among_bad_tasks(self):
        self.check(
            instances=4,
            bad=4,
            harmless=12,
            power_losses=(0.3, 1.5, 2.9),
            work_seconds=1.0,
        )

    def test_leaders_that_follow_each_other_while_orders_are_slow(self):
        self.check(
            instances=2,
            bad=3,
            harmless=24,
            leader_changes=(0.5, 1.2, 2.0, 5.0, 8.0),
            delay_seconds=(0.003, 0.15),
        )

    def test_leaders_that_follow_each_other(self):
        self.check(
            instances=6, bad=6, harmless=24, leader_changes=(0.5, 1.2, 2.0)
        )

    def check_busy(self, bad, seconds, instances=3):
        """Play bad tasks on a fleet that is never quiet."""
        self.check(
            instances=instances,
            bad=bad,
            harmless=round(20 * bad * seconds) + 400,
            crash_seconds=(0.8 * seconds, seconds),
            down_seconds=2.0,
            work_seconds=0.5,
            arrival_seconds=8 * bad * seconds + 100.0,
            bad_arrival_seconds=1.0,
            max_seconds=1500.0,
        )

    def test_slow_crashes_on_a_busy_fleet(self):
        """A task crashes its agents without end: there is no evidence."""
        for seconds in (0.3, 2.0, 6.0, 15.0, 40.0):
            self.check_busy(1, seconds)

    def test_several_slow_crashes_on_a_busy_fleet(self):
        for seconds in (0.3, 2.0, 6.0):
            self.check_busy(4, seconds)
