import time

from persimmonsail.catalogues import follower
from persimmonsail.catalogues import revisions
from persimmonsail import exceptions
from standins import memory
from tests import base

TEXT = """\
[team tallowford]
objective = tail-latency
cores = 10
memory-gb = 10
"""
NEWER = '[fleet of-a-later-version]\nsize = 3\n'
FRESHNESS = 60.0


def make_head(revision: int, text: str = TEXT, id: str = '') -> revisions.Head:
    return revisions.Head(revision, id or f'id-{revision}', 'ann', text)


async def store_head(store: memory.MemoryStore, head: revisions.Head) -> None:
    await store.put(revisions.TEXT_PREFIX + head.id, head.text)
    await store.put(revisions.HEAD_KEY, revisions.dump_head(head))


class ViewTest(base.TestCase):
    def test_late_answer_brings_no_replaced_edit_back(self):
        """An accepted edit is temporarily undone.

        A poll is answered late, after the watch has already delivered
        the next revision, and the entry applies the poll's old text.
        """
        view = revisions.View()
        self.assertTrue(view.offer(make_head(2), 'watch'))
        self.assertFalse(view.offer(make_head(1), 'poll'))
        self.assertEqual(2, view.revision)

    def test_freshness_ends_without_evidence(self):
        view = revisions.View(FRESHNESS)
        view.offer(make_head(1), 'poll')
        self.assertFalse(view.is_fresh)
        now = time.monotonic()
        view.confirm(make_head(1), now)
        self.assertTrue(view.is_fresh)
        view.confirmed_at = now - FRESHNESS - 1
        self.assertFalse(view.is_fresh)
        self.assertIn('neither store nor peers', view.find_staleness())

    def test_higher_revision_is_no_evidence_for_a_lower_one(self):
        view = revisions.View(FRESHNESS)
        view.offer(make_head(1), 'poll')
        self.assertFalse(view.confirm(make_head(2), time.monotonic()))
        self.assertFalse(view.is_fresh)

    def test_unreadable_newer_catalogue_stops_admission(self):
        """An old entry crashes during a rolling update.

        An operator applies a catalogue with a section that only the new
        version supports; the old entry must neither crash nor continue
        with the replaced revision.
        """
        view = revisions.View(FRESHNESS)
        view.offer(make_head(1), 'poll')
        view.confirm(make_head(1), time.monotonic())
        self.assertFalse(view.offer(make_head(2, NEWER), 'watch'))
        self.assertEqual(1, view.revision)
        self.assertFalse(view.is_fresh)
        self.assertIn('revision 2 cannot be read', view.find_staleness())
        self.assertTrue(view.offer(make_head(3), 'watch'))
        view.confirm(make_head(3), time.monotonic())
        self.assertTrue(view.is_fresh)

    def test_store_that_went_back_is_no_evidence(self):
        """An accepted edit is reverted after the store was restored.

        The platform restores an old backup; the store's head is lower
        than, or forked from, the revision in force in the entry.
        """
        view = revisions.View(FRESHNESS)
        view.offer(make_head(2), 'poll')
        later = time.monotonic() + 1
        self.assertFalse(view.confirm(make_head(1), later))
        self.assertFalse(view.confirm(make_head(2, id='other'), later))
        self.assertFalse(view.is_fresh)
        self.assertEqual(2, view.revision)

    def test_head_round_trips_through_json(self):
        head = make_head(3)
        loaded = revisions.load_head(revisions.dump_head(head))
        self.assertEqual(head, loaded)
        self.assertRaises(
            exceptions.CatalogueUnreadable, revisions.load_head, '{"a": 1}'
        )


class FollowerTest(base.TestCase):
    async def test_poll_reads_the_text_only_when_it_is_new(self):
        store = memory.MemoryStore()
        await store_head(store, make_head(1))
        view = revisions.View(FRESHNESS)
        follow = follower.Follower(store, view, 1.0)
        await follow.read_head()
        self.assertEqual(2, store.calls.read)
        self.assertTrue(view.is_fresh)
        await follow.read_head()
        self.assertEqual(3, store.calls.read)

    async def test_answer_confirms_from_the_question_on(self):
        """A replaced catalogue stays in force too long.

        The store answers a poll seconds late; a change accepted in the
        meantime is not in the answer. Counting freshness from the answer
        would extend the bound by the store's latency.
        """
        store = memory.MemoryStore()
        await store_head(store, make_head(1))
        view = revisions.View(FRESHNESS)
        store.faults.delay = 0.05
        asked_at = time.monotonic()
        await follower.Follower(store, view, 1.0).read_head()
        answered_at = time.monotonic()
        self.assertLess(view.confirmed_at, answered_at - 0.09)
        self.assertGreaterEqual(view.confirmed_at, asked_at)

    async def test_missing_text_is_not_taken_for_an_empty_catalogue(self):
        store = memory.MemoryStore()
        head = revisions.dump_head(make_head(1))
        await store.put(revisions.HEAD_KEY, head)
        view = revisions.View(FRESHNESS)
        follow = follower.Follower(store, view, 1.0)
        with self.assertRaisesRegex(
            exceptions.CatalogueUnreadable, 'revision 1 is missing'
        ):
            await follow.read_head()
        self.assertFalse(view.is_fresh)

    async def test_lost_head_leaves_the_revision_in_force(self):
        store = memory.MemoryStore()
        await store_head(store, make_head(1))
        view = revisions.View(FRESHNESS)
        follow = follower.Follower(store, view, 1.0)
        await follow.read_head()
        confirmed_at = view.confirmed_at
        await store.delete(revisions.HEAD_KEY)
        await follow.read_head()
        self.assertEqual(1, view.revision)
        self.assertEqual(confirmed_at, view.confirmed_at)
