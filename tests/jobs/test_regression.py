import random

from persimmonsail.jobs import regression
from tests import base

WEAK = regression.Kind(share=0.7, mean=0.2, deviation=0.15)
STRONG = regression.Kind(share=0.3, mean=1.8, deviation=0.5)
NOISE = 0.15


class RegressionTest(base.TestCase):
    """Replays observations caused by coefficients of two kinds."""

    def setUp(self):
        super().setUp()
        self.random = random.Random(1)
        self.fit = regression.Regression((WEAK, STRONG), NOISE)

    def add_observations(self, count, coefficients, **amounts):
        for _ in range(count):
            xs = {
                name: amount * self.random.uniform(0.5, 1.0)
                for name, amount in amounts.items()
            }
            y = sum(coefficients[name] * x for name, x in xs.items())
            self.fit.add(xs, y + self.random.gauss(0.0, NOISE / 2))

    def test_an_unknown_pair_may_be_of_either_kind(self):
        self.assertAlmostEqual(0.68, self.fit.get('new'))
        # The mean over both kinds, plus and minus part of their deviation.
        self.assertAlmostEqual(
            0.918, self.fit.get_upper_bound('new'), places=3
        )
        self.assertAlmostEqual(
            0.125, self.fit.get_lower_bound('new'), places=3
        )

    def test_both_kinds_are_told_apart_within_seconds(self):
        """Best-effort tasks are throttled although they don't interfere.

        A few gauges gave little evidence about either pair, and both
        coefficients were estimated in the middle between the kinds.
        """
        coefficients = {'loud': 1.6, 'quiet': 0.2}
        self.add_observations(24, coefficients, loud=0.25, quiet=0.25)
        self.assertGreater(self.fit.get('loud'), 1.2)
        self.assertLess(self.fit.get('quiet'), 0.45)
        self.assertLess(self.fit.get_upper_bound('quiet'), 0.75)

    def test_what_was_not_seen_for_long_is_still_known(self):
        """An image interferes that is known to have interfered a minute ago.

        What was learned about the pair had drifted to the middle while other
        images ran there.
        """
        coefficients = {'loud': 1.6, 'other': 0.1}
        self.add_observations(30, coefficients, loud=0.25)
        self.add_observations(600, coefficients, other=0.25)
        self.assertGreater(self.fit.get('loud'), 1.2)


class KindsTest(base.TestCase):
    """Replays deployments where more or fewer pairs interfere than assumed."""

    def make_posteriors(self, interfering, strength, count=20):
        return [
            regression.Posterior(
                probabilities=(0.0, 1.0) if i < interfering else (1.0, 0.0),
                means=(0.1, strength),
                weight=1000.0,
            )
            for i in range(count)
        ]

    def test_kinds_follow_the_observed_pairs(self):
        few_interfere = regression.adapt_kinds(
            (WEAK, STRONG), self.make_posteriors(2, 1.0), 4
        )
        many_interfere = regression.adapt_kinds(
            (WEAK, STRONG), self.make_posteriors(16, 3.5), 4
        )
        self.assertLess(few_interfere[1].share, 0.2)
        self.assertGreater(many_interfere[1].share, 0.6)
        self.assertLess(few_interfere[1].mean, 1.8)
        self.assertGreater(many_interfere[1].mean, 2.8)

    def test_kinds_stay_at_the_prior_without_observations(self):
        (weak, strong) = regression.adapt_kinds((WEAK, STRONG), [], 4)
        self.assertAlmostEqual(WEAK.mean, weak.mean)
        self.assertAlmostEqual(STRONG.share, strong.share)
        self.assertAlmostEqual(STRONG.deviation, strong.deviation)

    def test_the_deviation_of_a_kind_has_a_minimum(self):
        (_, strong) = regression.adapt_kinds(
            (WEAK, STRONG), self.make_posteriors(20, 1.8, 200), 4
        )
        self.assertGreaterEqual(strong.deviation, 0.5 * STRONG.deviation)
