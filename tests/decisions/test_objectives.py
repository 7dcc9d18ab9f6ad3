import functools

from persimmonsail.catalogues import catalogue
from persimmonsail import control_pb2
from persimmonsail.decisions import objectives
from tests import base

TEXT = """
[team harness]
objective = tail-latency
cores = 10
memory-gb = 10

[team horses]
objective = throughput
cores = 10
memory-gb = 10

[workload check]
owner = harness
class = latency-critical
service = planning
cores = 1
memory-gb = 1

[workload matching]
owner = horses
class = batch
cores = 1
memory-gb = 1
"""


class ObjectivesTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.catalogue = catalogue.parse('test', TEXT)
        self.objectives = objectives.Objectives(
            functools.partial(objectives.find_objective, self.catalogue)
        )

    def test_owner_sets_the_weights(self):
        tail = self.objectives.find_weights('check')
        throughput = self.objectives.find_weights('matching')
        self.assertGreater(tail.tail, throughput.tail)
        self.assertLess(tail.throttle_above, throughput.throttle_above)

    def test_service_has_the_objectives_of_its_workloads(self):
        notice = control_pb2.EntryNotice()
        objectives.fill_notice(notice, self.catalogue, 'planning')
        sent = [(item.workload, item.objective) for item in notice.objectives]
        self.assertEqual([('check', 'tail-latency')], sent)

    def test_unknown_workload_gets_the_tail_latency_weights(self):
        self.assertEqual(
            self.objectives.find_weights('check'),
            self.objectives.find_weights('unheard-of'),
        )

    def test_every_objective_has_hysteresis(self):
        self.assertEqual(set(catalogue.Objective), set(objectives.WEIGHTS))
        for weights in objectives.WEIGHTS.values():
            self.assertLess(weights.release_below, weights.throttle_above)
            self.assertLess(weights.throttle_above, weights.evict_above)
