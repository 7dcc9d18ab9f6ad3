import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import inbox
from persimmonsail.jobs import record
from persimmonsail import store as store_module
from tests import base

KEY = record.JOBS + 'a'


class Store:
    """Answers each watch and scan with the next of what it was given."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []

    async def follow(self, prefix, after, wait):
        self.asked.append(after)
        return await self.answer()

    async def scan(self, prefix):
        self.asked.append('scan')
        return await self.answer()

    async def answer(self):
        if not self.answers:
            await anyio.sleep_forever()
        found = self.answers.pop(0)
        if isinstance(found, Exception):
            raise found
        return found


class InboxTest(base.TestCase):
    async def follow(self, store):
        taken = []
        with anyio.move_on_after(0.6):
            await inbox.follow(store, 5, taken.append)
        return [change.key for change in taken]

    async def test_what_changed_in_a_lost_history_is_read_anew(self):
        """A job is accepted and never begins.

        The store forgot its history between two watches, and then gave
        no answer for a moment.
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
        self.assertEqual([5, 'scan', 'scan', 8, 8, 9], store.asked)
