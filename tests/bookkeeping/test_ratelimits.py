import anyio

from persimmonsail.bookkeeping import commits
from persimmonsail.bookkeeping import ledger
from persimmonsail.bookkeeping import ratelimits
from persimmonsail.bookkeeping import records
from standins import memory
from tests import base


class _Clock:
    """Records requested sleeps instead of sleeping."""

    def __init__(self):
        self.slept = []

    async def sleep(self, seconds):
        self.slept.append(seconds)


class RateLimitTest(base.TestCase):
    async def test_commits_are_spaced_over_all_callers(self):
        limiter = ratelimits.RateLimiter(1000.0)
        clock = _Clock()
        self.patch(ratelimits.anyio, 'sleep', clock.sleep)
        for _ in range(3):
            await limiter.wait()
        self.assertEqual(0, clock.slept[0])
        self.assertAlmostEqual(1000.0, clock.slept[1], places=0)
        self.assertAlmostEqual(2000.0, clock.slept[2], places=0)

    async def test_records_that_wait_to_be_committed_share_one_write(self):
        """The store refuses writes at peak load.

        Each partition of a process commits at a rate of its own; 32 of
        them would use up the store's write rate.
        """
        store = memory.MemoryStore()
        limiter = ratelimits.RateLimiter(0.2)
        committers = []
        for partition in range(2):
            partition_ledger = ledger.Ledger(store, partition)
            await partition_ledger.take_over('one')
            committers.append(commits.Committer(partition_ledger, limiter))
        before = store.calls.write

        async def submit(committer, name):
            await committer.commit(
                records.Submitted(name, 'build', 'team', '{}', 1)
            )

        async with anyio.create_task_group() as group:
            for committer in committers:
                group.start_soon(committer.run)
            async with anyio.create_task_group() as submitting:
                for number, committer in enumerate(committers * 10):
                    submitting.start_soon(submit, committer, f't{number}')
            group.cancel_scope.cancel()
        self.assertLessEqual(store.calls.write - before, 4)
