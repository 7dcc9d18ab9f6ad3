import random

from persimmonsail.decisions import routing
from tests import base
from tests import views


class RouterTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.estimator = views.make_estimator()
        views.train(self.estimator, {'build': 4.0, 'archive': 0.1}, 0.15)
        self.router = routing.Router(
            self.estimator, lambda: self.now, random.Random(1), 0.001
        )

    def choose(self, *candidates, zone='a'):
        return self.router.choose(candidates, 'check', zone)

    def test_interference_is_weighed_against_queueing(self):
        noisy = views.make_instance('noisy', shares={'build': 0.5})
        queued = views.make_instance('queued', busy_slots=8, queued=2)
        self.assertEqual('queued', self.choose(noisy, queued).instance.name)
        queued.queued = 30
        self.assertEqual('noisy', self.choose(noisy, queued).instance.name)

    def test_harmless_neighbour_adds_no_cost(self):
        colocated = views.make_instance('beside', shares={'archive': 0.5})
        queued = views.make_instance('queued', busy_slots=8, queued=2)
        self.assertEqual(
            'beside', self.choose(colocated, queued).instance.name
        )

    def test_own_zone_is_preferred_at_equal_load(self):
        far = views.make_instance('far', zone='b')
        near = views.make_instance('near')
        self.assertEqual('near', self.choose(far, near).instance.name)

    def test_stale_load_is_discounted(self):
        instance = views.make_instance('one', busy_slots=8, queued=8)
        fresh = self.router.estimate_outstanding(instance)
        self.now = 5.0
        stale = self.router.estimate_outstanding(instance)
        self.assertEqual(16.0, fresh)
        self.assertLess(stale, 1.0)

    def test_own_outstanding_requests_are_not_discounted(self):
        instance = views.make_instance('one', outstanding=9)
        self.now = 60.0
        self.assertEqual(9, self.router.estimate_outstanding(instance))

    def test_cost_describes_its_terms(self):
        cost = self.choose(views.make_instance('one'))
        self.assertRegex(
            cost.describe(), r'^service:[\d.]+,waiting:[\d.]+,distance:[\d.]+$'
        )
