import anyio

from persimmonsail.jobs import counts
from persimmonsail.jobs import record
from persimmonsail import store as store_module
from tests import base


class SlowStore:
    """A store with queued jobs of two queues and slow scans."""

    is_lost = False

    def __init__(self, seconds):
        self.seconds = seconds
        self.scans = []

    async def scan(self, prefix):
        self.scans.append(prefix)
        await anyio.sleep(self.seconds)
        if prefix == record.PROGRESS:
            return store_module.Page(1, ())
        items = [
            store_module.Item(prefix + id, make_submission(queue), 1)
            for id, queue in (('a', 'one'), ('b', 'two'), ('c', 'two'))
        ]
        return store_module.Page(1, (*items, store_module.Item('x', '?', 1)))


def make_submission(queue):
    return record.StoredSubmission(
        queue=queue, accepted_ms=1, specification={}
    ).model_dump_json()


async def call_unreachable_leader(method, query):
    """Stand in for an unreachable leader."""
    return None


def make_counts(store):
    return counts.Counts(store, call_unreachable_leader, lambda: None)


class CountsTest(base.TestCase):
    async def count(self, tested, queue, found):
        found[queue] = await tested.count(queue)

    async def test_counts_share_what_is_read_from_the_store(self):
        """Counts must not keep a newly elected leader from loading jobs.

        Each count requested from its entry also read all jobs from the
        store, over the same link, and none of the reads finished.
        """
        store = SlowStore(seconds=0.1)
        tested = make_counts(store)
        found = {}
        async with anyio.create_task_group() as group:
            for queue in ('one', 'two', 'three'):
                group.start_soon(self.count, tested, queue, found)
        self.assertEqual({'one': 1, 'two': 2, 'three': 0}, found)
        self.assertEqual([record.JOBS, record.PROGRESS], store.scans)

    async def test_a_count_that_would_be_too_old_is_not_told(self):
        store = SlowStore(seconds=1.0)
        tested = make_counts(store)
        found = {}
        async with anyio.create_task_group() as group:
            group.start_soon(self.count, tested, 'one', found)
            await anyio.sleep(0.1)
            group.start_soon(self.count, tested, 'two', found)
        self.assertEqual({'one': 1, 'two': None}, found)
