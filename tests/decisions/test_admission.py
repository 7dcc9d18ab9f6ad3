from persimmonsail.decisions import admission
from tests import base

CAPACITY = admission.Size(16.0, 64.0, 1)


class CommitmentsTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.commitments = admission.Commitments(CAPACITY)

    def test_each_resource_limits_commitments(self):
        """Two entries that choose one instance must not overcommit it.

        Both choose from stale reports; only the sidecar's own check can
        refuse the second commitment.
        """
        half = admission.Size(1.0, 1.0, 0)
        self.assertTrue(self.commitments.try_commit('a', half))
        for size in (
            admission.Size(15.5, 0.0, 0),
            admission.Size(0.0, 63.5, 0),
            admission.Size(0.0, 0.0, 2),
        ):
            self.assertFalse(self.commitments.try_commit('b', size), size)
        self.assertEqual(half, self.commitments.total)

    def test_full_capacity_can_be_committed_and_released(self):
        self.assertTrue(self.commitments.try_commit('a', CAPACITY))
        self.assertFalse(
            self.commitments.try_commit('b', admission.Size(0.1, 0.1, 0))
        )
        self.commitments.release('a')
        self.assertTrue(self.commitments.try_commit('b', CAPACITY))

    def test_a_second_commit_of_one_holder_counts_once(self):
        for _ in range(2):
            self.assertTrue(
                self.commitments.try_commit('a', admission.Size(9.0, 1.0, 0))
            )
        self.assertEqual(9.0, self.commitments.total.cores)

    def test_tasks_leave_headroom_that_quick_requests_may_use(self):
        """Quick requests must not wait for batch work to release cores."""
        limit = admission.subtract_headroom(CAPACITY)
        self.assertFalse(
            self.commitments.try_commit(
                'task', admission.Size(15.0, 1.0, 0), limit
            )
        )
        self.assertFalse(
            self.commitments.try_commit(
                'task', admission.Size(1.0, 60.0, 0), limit
            )
        )
        fitting = admission.Size(13.0, 1.0, 1)
        self.assertTrue(self.commitments.try_commit('task', fitting, limit))
        quick = admission.Size(2.5, 1.0, 0)
        self.assertTrue(self.commitments.try_commit('request', quick))

    def test_only_urgent_requests_use_the_urgent_headroom(self):
        """Urgent requests must not wait for other quick requests."""
        quick_limit = admission.find_quick_limit(CAPACITY, urgent=False)
        self.assertTrue(
            self.commitments.try_commit(
                'upload', admission.Size(15.2, 1.0, 0), quick_limit
            )
        )
        remainder = admission.Size(0.5, 1.0, 0)
        self.assertFalse(
            self.commitments.try_commit('other', remainder, quick_limit)
        )
        urgent = admission.find_quick_limit(CAPACITY, urgent=True)
        self.assertTrue(
            self.commitments.try_commit('check', remainder, urgent)
        )
