from persimmonsail.decisions import interference
from tests import base
from tests import views


class EstimatorTest(base.TestCase):
    def test_aggressors_are_distinguished(self):
        estimator = interference.Estimator()
        views.train(estimator, {'build': 4.0, 'archive': 0.1}, 0.15)
        coefficients = [
            estimator.find_coefficient('check', name, 0.3)
            for name in ('build', 'archive')
        ]
        self.assertAlmostEqual(4.0, coefficients[0], delta=0.4)
        self.assertAlmostEqual(0.1, coefficients[1], delta=0.2)
        self.assertAlmostEqual(0.15, estimator.find_base('check'), delta=0.01)

    def test_unknown_pair_gets_the_prior(self):
        estimator = interference.Estimator()
        self.assertEqual(
            interference.PRIOR_COEFFICIENT,
            estimator.find_coefficient('check', 'build', 0.3),
        )
        self.assertEqual(0.2, estimator.find_base('check', 0.2))

    def test_few_samples_stay_near_the_prior(self):
        """A single outlier window must not dominate a coefficient.

        Otherwise a task is moved or throttled needlessly after one slow
        second that had another cause.
        """
        estimator = interference.Estimator()
        for second in range(20):
            estimator.learn(views.make_sample('check', 0.1, {}, second))
        estimator.learn(
            views.make_sample('check', 0.3, {'new': 0.1}, 20, count=2)
        )
        coefficient = estimator.find_coefficient('check', 'new', 0.3)
        self.assertLess(coefficient, 3.0)

    def test_bands_of_load_differ(self):
        estimator = interference.Estimator()
        for second in range(100):
            for busy, coefficient in ((0.3, 1.0), (0.9, 5.0)):
                for share in (0.0, 0.25, 0.5):
                    seconds = 0.1 * (1 + coefficient * share)
                    estimator.learn(
                        views.make_sample(
                            'check', seconds, {'build': share}, second, busy
                        )
                    )
        low_load = estimator.find_coefficient('check', 'build', 0.3)
        high_load = estimator.find_coefficient('check', 'build', 0.9)
        self.assertGreater(high_load, 2 * low_load)

    def test_shift_is_learned_as_old_samples_decay(self):
        estimator = interference.Estimator(half_life=20.0)
        views.train(estimator, {'build': 4.0, 'archive': 0.1}, 0.15)
        views.train(
            estimator, {'build': 0.1, 'archive': 4.0}, 0.15, begin=200.0
        )
        self.assertLess(estimator.find_coefficient('check', 'build', 0.3), 0.5)
        self.assertGreater(
            estimator.find_coefficient('check', 'archive', 0.3), 3.0
        )

    def test_sudden_shift_is_learned_within_seconds(self):
        """A shift must not have to outweigh minutes of older samples.

        Otherwise requests are colocated with the tasks that have become
        noisy until old samples have decayed. Two classes suddenly swap
        their effect on a service.
        """
        estimator = interference.Estimator()
        views.train(estimator, {'build': 4.0, 'archive': 0.1}, 0.15)
        views.train(
            estimator, {'build': 0.1, 'archive': 4.0}, 0.15, 40, begin=200.0
        )
        self.assertEqual(1, estimator.shift_count)
        self.assertLess(estimator.find_coefficient('check', 'build', 0.3), 1.0)
        self.assertGreater(
            estimator.find_coefficient('check', 'archive', 0.3), 2.5
        )

    def test_noise_is_not_detected_as_a_shift(self):
        estimator = interference.Estimator()
        views.train(estimator, {'build': 4.0, 'archive': 0.1}, 0.15, 2000)
        self.assertEqual(0, estimator.shift_count)

    def test_terms_add_up_to_the_prediction(self):
        estimator = interference.Estimator()
        views.train(estimator, {'build': 4.0, 'archive': 0.5}, 0.15)
        shares = {'archive': 0.25, 'build': 0.25}
        estimate = estimator.explain('check', shares, 0.3)
        self.assertEqual('build', estimate.terms[0].aggressor)
        self.assertAlmostEqual(
            estimator.predict('check', shares, 0.3), estimate.slowdown
        )
        self.assertRegex(estimate.describe(), r'^build:0\.25@\d+\.\d\d,archi')

    def test_no_sample_makes_a_coefficient_negative(self):
        estimator = interference.Estimator()
        for second in range(50):
            estimator.learn(views.make_sample('check', 0.2, {}, second))
            estimator.learn(
                views.make_sample('check', 0.1, {'idle': 0.5}, second)
            )
        self.assertEqual(0.0, estimator.find_coefficient('check', 'idle', 0.3))

    def test_window_without_requests_is_ignored(self):
        estimator = interference.Estimator()
        estimator.learn(
            views.make_sample('check', 0.0, {'build': 0.5}, count=0)
        )
        self.assertEqual(0.0, estimator.find_base('check'))
