import itertools
import typing as t

from persimmonsail.bookkeeping import tasks
from persimmonsail.catalogues import catalogue
from persimmonsail import control_pb2
from persimmonsail.decisions import admission
from persimmonsail.decisions import fleet
from persimmonsail.decisions import placement
from persimmonsail.decisions import planner
from persimmonsail.decisions import quarantine
from tests import base

TEXT = """\
[team a]
objective = throughput
cores = 400
memory-gb = 1600

[workload build]
owner = a
class = batch
cores = 8
memory-gb = 16

[workload check-up]
owner = a
class = batch
idempotent = yes
cores = 1
memory-gb = 1

[workload huge]
owner = a
class = batch
cores = 100
memory-gb = 16

[workload greedy]
owner = a
class = batch
cores = 500
memory-gb = 16
"""
CATALOGUE = catalogue.parse('test', TEXT)
_NUMBERS = itertools.count()


def make_fleet(count: int = 11) -> fleet.Fleet:
    instances = fleet.Fleet(3600.0)
    for index in range(count):
        instances.note_report(
            control_pb2.SidecarReport(
                instance=f'instance-{index:02d}',
                incarnation='one',
                capacity=control_pb2.Size(cores=64, memory_gb=250),
            )
        )
    return instances


def make_task(workload: str = 'build') -> tasks.Task:
    return tasks.Task(f'{next(_NUMBERS):05d}', workload, 'a', '{}', 1)


def choose(candidates, task, size):
    return placement.choose_instance(candidates, size)


class PlannerTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = make_fleet()
        self.learned_state = planner.LearnedState()
        self.planner = planner.Planner(self.fleet, self.learned_state, choose)

    def plan(self, pending: list[tasks.Task], now: float = 0.0) -> list[t.Any]:
        return list(self.planner.plan(pending, CATALOGUE, now))

    def test_a_round_respects_the_quota_and_gives_wait_reasons(self):
        for instance in self.fleet.list_all():
            instance.unproved = -100
        pending = [make_task() for _ in range(60)]
        steps = self.plan(pending)
        self.assertEqual(50, len(steps))
        self.assertEqual({'quota'}, set(self.planner.wait_reasons.values()))

    def test_a_round_limits_unproved_starts_on_each_instance(self):
        """A broken instance must get few tasks before it is detected."""
        steps = self.plan([make_task('check-up') for _ in range(60)])
        self.assertEqual(33, len(steps))
        self.assertEqual(27, len(self.planner.wait_reasons))
        for instance in self.fleet.list_all():
            self.assertEqual(3, instance.unproved)

    def test_a_failing_instance_gets_only_canaries(self):
        failing = self.fleet.find('instance-04')
        failing.failures = 3
        steps = self.plan([make_task('check-up') for _ in range(40)])
        self.assertNotIn('instance-04', {s.instance.name for s in steps})
        canary_at = quarantine.CANARY_DELAY_SECONDS
        [step] = self.plan([make_task('check-up')], canary_at)
        self.assertEqual('instance-04', step.instance.name)
        self.assertTrue(step.canary)

    def test_a_task_that_runs_at_most_once_is_no_canary(self):
        self.fleet.find('instance-04').failures = 3
        self.plan([make_task()])
        canary_at = quarantine.CANARY_DELAY_SECONDS
        for step in self.plan([make_task() for _ in range(30)], canary_at):
            self.assertNotEqual('instance-04', step.instance.name)

    def test_a_task_too_large_for_all_instances_is_refused(self):
        """A task of 100 cores must not stay pending for ever.

        No instance can fit it; but an entry that has just started may
        not have received the reports of large instances yet.
        """
        task = make_task('huge')
        self.assertEqual([], self.plan([task], 0.0))
        [step] = self.plan([task], planner.SETTLING_SECONDS)
        self.assertEqual('fits no known instance', step.reason)

    def test_an_instance_without_reports_counts_as_known(self):
        self.plan([make_task()])
        for instance in self.fleet.list_all():
            instance.reported_at -= 7200.0
        self.assertEqual(
            [], self.plan([make_task()], planner.SETTLING_SECONDS)
        )

    def test_a_task_larger_than_its_quota_is_refused(self):
        self.plan([make_task()])
        [step] = self.plan([make_task('greedy')], planner.SETTLING_SECONDS)
        self.assertEqual('larger than the quota of a', step.reason)

    def test_the_learned_size_is_committed_and_charged(self):
        for _ in range(5):
            self.learned_state.learner.note_usage('build', 20, 16)
        [step] = self.plan([make_task()])
        self.assertEqual('grown', step.estimate.source)
        self.assertEqual(step.estimate.size, step.instance.committed)
        self.assertEqual(
            step.estimate.size, self.planner.accounts.find_usage('a')
        )

    def test_no_instance_is_planned_beyond_its_capacity(self):
        for _ in range(5):
            self.learned_state.learner.note_usage('build', 500, 16)
        for _ in range(20):
            self.plan([make_task() for _ in range(50)])
            for instance in self.fleet.list_all():
                instance.unproved = 0
        for instance in self.fleet.list_all():
            limit = admission.subtract_headroom(instance.capacity)
            self.assertTrue(instance.committed.fits(limit))

    def test_rounds_without_tasks_count_for_settling(self):
        self.assertEqual([], self.plan([]))
        [step] = self.plan([make_task('huge')], planner.SETTLING_SECONDS)
        self.assertEqual('fits no known instance', step.reason)
