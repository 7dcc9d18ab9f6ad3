import random

from persimmonsail.decisions import admission
from persimmonsail.decisions import learning
from tests import base

DECLARED = admission.Size(8, 16)
MAX_SIZE = admission.Size(54, 212)


def make_learner(
    reports: int, cores: float, memory_gb: float
) -> learning.Learner:
    learner = learning.Learner()
    for _ in range(reports):
        learner.note_usage('build', cores, memory_gb)
    return learner


class LearnerTest(base.TestCase):
    def estimate(self, learner: learning.Learner) -> learning.Estimate:
        return learner.estimate_size('build', DECLARED, MAX_SIZE)

    def test_the_declared_size_is_used_until_there_are_reports(self):
        estimate = self.estimate(make_learner(2, 32, 64))
        self.assertEqual(learning.Estimate(DECLARED, 'declared', 2), estimate)

    def test_a_size_declared_too_small_grows_after_few_reports(self):
        estimate = self.estimate(make_learner(3, 32, 64))
        self.assertEqual('grown', estimate.source)
        self.assertGreaterEqual(estimate.size.cores, 32)
        self.assertGreaterEqual(estimate.size.memory_gb, 64)
        self.assertTrue(estimate.size.fits(MAX_SIZE))

    def test_a_size_declared_too_large_shrinks_after_many_reports(self):
        self.assertEqual(
            'declared', self.estimate(make_learner(19, 2, 4)).source
        )
        estimate = self.estimate(make_learner(20, 2, 4))
        self.assertEqual('shrunk', estimate.source)
        self.assertGreaterEqual(estimate.size.cores, 2)
        self.assertLess(estimate.size.cores, 3)
        self.assertLess(estimate.size.memory_gb, 6)

    def test_an_idle_task_keeps_a_part_of_its_declared_size(self):
        estimate = self.estimate(make_learner(50, 0, 0))
        self.assertAlmostEqual(0.8, estimate.size.cores)

    def test_an_estimate_never_makes_a_task_unplaceable(self):
        """A task that fits as declared must not be refused as too large.

        The reported usage of a runaway task exceeds every instance.
        """
        estimate = self.estimate(make_learner(30, 200, 900))
        self.assertEqual('clamped', estimate.source)
        self.assertEqual(MAX_SIZE, estimate.size)

    def test_a_declared_size_beyond_every_instance_is_kept(self):
        declared = admission.Size(100, 16)
        estimate = learning.Learner().estimate_size('x', declared, MAX_SIZE)
        self.assertEqual(declared, estimate.size)

    def test_memory_follows_the_maximum_usage(self):
        learner = make_learner(99, 4, 4)
        learner.note_usage('build', 4, 12)
        self.assertGreaterEqual(self.estimate(learner).size.memory_gb, 15)

    def test_a_shift_is_learned_after_two_windows(self):
        learner = make_learner(300, 8, 16)
        for _ in range(600):
            learner.note_usage('build', 2, 4)
        self.assertLess(self.estimate(learner).size.cores, 3)

    def test_run_times_are_robust_against_outliers(self):
        learner = learning.Learner()
        generator = random.Random(1)
        for _ in range(95):
            learner.note_run('build', generator.uniform(9, 11))
        for _ in range(5):
            learner.note_run('build', 5000)
        median = learner.estimate_seconds('build', 50, 60)
        self.assertTrue(9 <= median <= 12, median)
        self.assertEqual(60, learner.estimate_seconds('other', 50, 60))
