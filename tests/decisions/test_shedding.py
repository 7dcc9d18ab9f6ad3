import contextlib
import dataclasses
import random

import testtools

from persimmonsail.catalogues import catalogue
from persimmonsail import control_pb2
from persimmonsail.decisions import fleet
from persimmonsail.decisions import learning
from persimmonsail.decisions import shedding
from persimmonsail import problems
from tests import base


def make_gate() -> shedding.AdaptiveGate:
    return shedding.AdaptiveGate(learning.Learner(), random.Random(1))


def make_demand(urgent: bool = False, **options) -> shedding.Demand:
    values = {'remaining_seconds': 2.0, 'max_concurrent': 1000, **options}
    return shedding.Demand('check', urgent, **values)


def fill(gate: shedding.Gate, count: int) -> None:
    for _ in range(count):
        gate.begin('check')


IDLE = shedding.Capacity(slots=80, queued=0)
FULL = shedding.Capacity(slots=80, queued=160)


class AdaptiveGateTest(base.TestCase):
    def test_urgent_requests_may_use_the_whole_limit(self):
        """A burst of ordinary uploads must not delay urgent checks.

        Photo tags fill every slot before the shift's first wire-cut
        check arrives, unless capacity is reserved for it.
        """
        gate = make_gate()
        fill(gate, 256)
        self.assertEqual(
            'overload', gate.decide(make_demand(), IDLE, 0).reason
        )
        self.assertEqual('', gate.decide(make_demand(True), IDLE, 0).reason)
        fill(gate, 64)
        self.assertEqual(
            'overload', gate.decide(make_demand(True), IDLE, 0).reason
        )

    def test_long_queues_shrink_the_limit_to_its_minimum(self):
        gate = make_gate()
        for number in range(200):
            gate.decide(make_demand(), FULL, number * 1.0)
        self.assertAlmostEqual(80, gate.limit)

    def test_short_queues_raise_a_limit_that_is_in_use(self):
        gate = make_gate()
        for number in range(200):
            gate.decide(make_demand(), FULL, number * 1.0)
        before = gate.limit
        gate.decide(make_demand(), IDLE, 300)
        self.assertEqual(before, gate.limit)
        fill(gate, 400)
        for number in range(500):
            gate.decide(make_demand(), IDLE, number + 301.0)
        self.assertEqual(320, gate.limit)

    def test_one_burst_of_decisions_changes_the_limit_once(self):
        gate = make_gate()
        gate.decide(make_demand(), FULL, 0)
        for _ in range(1000):
            gate.decide(make_demand(), FULL, 1.0)
        self.assertAlmostEqual(224, gate.limit)

    def test_entries_share_the_slots_under_overload(self):
        gate = make_gate()
        capacity = shedding.Capacity(slots=80, queued=160, entries=4)
        for number in range(200):
            gate.decide(make_demand(), capacity, number * 1.0)
        self.assertAlmostEqual(20, gate.limit)

    def test_request_that_would_miss_its_deadline_is_rejected(self):
        gate = make_gate()
        for number in range(20):
            gate.begin('check')
            gate.end('check', number * 0.1, 0.5)
        decision = gate.decide(make_demand(remaining_seconds=1.0), FULL, 3)
        self.assertEqual('deadline', decision.reason)
        self.assertGreater(decision.retry_after, 0)

    def test_concurrency_of_a_workload_is_bounded(self):
        gate = make_gate()
        fill(gate, 3)
        decision = gate.decide(make_demand(max_concurrent=3), IDLE, 0)
        self.assertEqual('max-concurrent', decision.reason)

    def test_rejected_callers_get_different_retry_times(self):
        gate = make_gate()
        fill(gate, 400)
        waits = [
            gate.decide(make_demand(), IDLE, 0).retry_after
            for _ in range(2000)
        ]
        self.assertGreater(max(waits) - min(waits), 1.0)

    def test_requests_are_admitted_without_known_servers(self):
        no_servers = shedding.Capacity(slots=0, queued=0)
        self.assertEqual(
            '', make_gate().decide(make_demand(), no_servers, 0).reason
        )


@dataclasses.dataclass
class Request:
    limits: catalogue.Workload
    id: str = 'r1'
    workload: str = 'check'
    key: str = ''
    left: float = 2.0


def make_limits(**options: object) -> catalogue.Workload:
    return catalogue.Workload.model_validate(
        {
            'owner': 'a',
            'class': 'latency-critical',
            'service': 'planning',
            'cores': 1,
            'memory-gb': 1,
            **options,
        }
    )


class ShedderTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.fleet = fleet.Fleet(3600.0)
        self.shedder = shedding.Shedder(
            self.fleet, random.Random(1), clock=lambda: self.now
        )
        self.fleet.note_report(
            control_pb2.SidecarReport(
                instance='one', service='planning', slots=8
            )
        )

    def test_run_times_are_learned_from_served_requests_only(self):
        request = Request(make_limits())
        with self.shedder.admit(request):
            self.now += 0.2
        with testtools.ExpectedException(ValueError):
            with self.shedder.admit(request):
                self.now += 9.0
                raise ValueError('rejected')
        learned = self.shedder.learner.estimate_seconds('check', 100, 0)
        self.assertAlmostEqual(0.2, learned, delta=0.02)
        gate = self.shedder.find_gate('planning')
        self.assertEqual(0, gate.outstanding)

    def reject(self, request: Request) -> problems.Problem:
        with contextlib.ExitStack() as admitted:
            for _ in range(40):
                try:
                    admitted.enter_context(self.shedder.admit(request))
                except problems.Problem as problem:
                    return problem
        self.fail('nothing was rejected')

    def test_rejection_is_final_and_has_a_retry_time(self):
        problem = self.reject(Request(make_limits()))
        self.assertEqual(503, problem.status)
        self.assertEqual('not-run', problem.work)
        self.assertGreater(problem.retry_after, 0)

    def test_a_shed_retry_of_a_key_does_not_claim_that_nothing_ran(self):
        """A check must not get "not run" although it has run before.

        The first request with the key ran and its response was lost;
        the retry reaches another entry, which sheds it unprocessed.
        """
        problem = self.reject(Request(make_limits(), key='board-9'))
        self.assertEqual('unknown', problem.work)
        self.assertEqual(503, problem.status)

    def test_entries_share_a_workloads_concurrency(self):
        self.shedder.name = 'entry-2'
        self.shedder.list_entries = lambda: ['entry-1', 'entry-2']
        request = Request(make_limits(**{'max-concurrent': 3}))
        with self.shedder.admit(request):
            problem = self.reject(request)
        self.assertEqual(429, problem.status)
        self.assertEqual('max-concurrent', problem.detail)

    def test_parts_of_a_limit_add_up_to_it(self):
        for total in range(10):
            parts = [shedding.find_part(total, n, 4) for n in range(4)]
            self.assertEqual(total, sum(parts))
