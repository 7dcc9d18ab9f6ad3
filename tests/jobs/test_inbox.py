from unittest import mock

import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import inbox
from persimmonsail.jobs import record
from persimmonsail import store as store_module
from tests import base

KEY = record.JOBS + 'a'


class Store:
    """Answers each watch and scan with the next of the given responses."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def watch_changes(self, prefix, after, wait):
        self.calls.append(after)
        await anyio.sleep(0.001)
        return await self.answer()

    async def scan(self, prefix):
        self.calls.append('scan')
        return await self.answer()

    async def answer(self):
        if not self.answers:
            await anyio.sleep_forever()
        response = self.answers.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


class InboxTest(base.TestCase):
    async def follow(self, store):
        changes = []
        with anyio.move_on_after(0.6):
            await inbox.Inbox(store, changes.append).run(5)
        return [change.key for change in changes]

    async def test_the_inbox_is_rescanned_after_the_store_lost_its_history(
        self,
    ):
        """Guards against an accepted job that never starts.

        The store lost its history between two watches, and was then briefly
        unavailable.
        """
        item = store_module.Item(KEY, '{}', 7)
        change = store_module.Change(record.JOBS + 'b', '{}', 9)
        store = Store(
            exceptions.HistoryLost(record.INBOX),
            exceptions.StoreUnavailable('silent'),
            store_module.Page(8, (item,)),
            exceptions.StoreUnavailable('silent'),
            store_module.Changes(9, (change,)),
        )
        self.assertEqual([KEY, record.JOBS + 'b'], await self.follow(store))
        self.assertEqual([5, 'scan', 'scan', 8, 8, 9], store.calls)

    async def test_cancels_are_read_while_the_watch_hangs(self):
        """Guards against a cancelled job running until the watch times out."""
        marker = store_module.Item(record.CANCELS + 'a', '{}', 7)
        store = Store(store_module.Page(8, (marker,)))
        store.watch_changes = hang
        with mock.patch.object(inbox, '_HUNG_SECONDS', 0.1):
            self.assertEqual([marker.key], await self.follow(store))

    async def test_cancels_are_not_scanned_while_the_watch_responds(self):
        store = Store(*(store_module.Changes(9, ()) for _ in range(500)))
        with mock.patch.object(inbox, '_HUNG_SECONDS', 0.1):
            await self.follow(store)
        self.assertNotIn('scan', store.calls[:500])


async def hang(prefix, after, wait):
    """Stand in for a watch that gets no response."""
    await anyio.sleep_forever()
