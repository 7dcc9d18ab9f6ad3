import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import ledger
from persimmonsail.jobs import mandate
from persimmonsail.jobs import record
from persimmonsail.jobs import terms
from persimmonsail import store
from tests import base

EPOCH = 7
ADDRESS = 'entry-0'
ENTRIES = frozenset((ADDRESS, 'entry-1', 'entry-2'))


class FakeLedger(ledger.Ledger):
    """Records what is written; a write may take as long as a test needs."""

    def __init__(self, electorate):
        super().__init__(None, ledger.Term('term', EPOCH, 'lease', electorate))
        self.written = []
        self.reachable = anyio.Event()
        self.reachable.set()

    async def _commit(self, writes, absent):
        self.written += writes
        await self.reachable.wait()
        return clock.read()


class MandateTest(base.TestCase):
    """A leader's right to extend leases, on three entries."""

    def open(self, electorate):
        self.ledger = FakeLedger(electorate)
        self.terms = terms.Terms()
        self.terms.note_stored(EPOCH)
        self.others = {name: terms.Terms() for name in ENTRIES - {ADDRESS}}
        for other in self.others.values():
            other.note_stored(EPOCH)
        return mandate.Mandate(self.ledger, ADDRESS, self.terms, self.ask)

    async def ask(self, address, epoch):
        if address not in self.others:
            raise exceptions.PeerAbsent(address)
        return self.others[address].answer(epoch)

    async def run_until(self, subject, is_reached):
        async with anyio.create_task_group() as group:
            group.start_soon(subject.run)
            with anyio.fail_after(5.0):
                while not is_reached():  # noqa: ASYNC110
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    def lose_store(self):
        """Let the store's last confirmation be too old."""
        self.ledger.confirmed_at -= mandate.CONFIRMATION_SECONDS

    async def test_entries_confirm_a_leader_that_the_store_does_not(self):
        """Work ends in an outage of the store."""
        subject = self.open(ENTRIES)
        self.lose_store()
        self.assertFalse(subject.is_valid())
        await self.run_until(subject, subject.is_valid)

    async def test_nobody_continues_for_longer_than_successors_wait(self):
        """Work goes on elsewhere after the longest wait of a successor."""
        subject = self.open(ENTRIES)
        self.lose_store()
        await self.run_until(subject, subject.is_valid)
        self.ledger.confirmed_at = clock.read() - mandate.GRACE_SECONDS
        self.assertFalse(subject.is_valid())

    async def test_a_later_term_ends_the_confirmations(self):
        """A replaced leader is confirmed by entries that know better."""
        subject = self.open(ENTRIES)
        self.lose_store()
        for other in self.others.values():
            other.answer(EPOCH + 1)
        for _ in range(2):
            await subject._confirm()
            self.assertFalse(subject.is_valid())

    async def test_predecessors_are_bounded_by_enough_entries(self):
        """A task waits too long for the leases of a leader that is gone."""
        subject = self.open(ENTRIES)
        del self.others['entry-2']
        await self.run_until(subject, lambda: self.ledger.written)
        self.assertLessEqual(
            subject.predecessors_until,
            clock.read() + mandate.CONFIRMATION_SECONDS,
        )

    async def test_predecessors_are_awaited_without_enough_entries(self):
        """A task runs twice: other entries confirm an earlier leader."""
        for electorate in (ENTRIES, None):
            subject = self.open(electorate)
            self.others.clear()
            until = subject.predecessors_until
            with anyio.move_on_after(0.5):
                await subject.run()
            self.assertEqual(until, subject.predecessors_until)
            # Its own electorate would hide the earlier one.
            self.assertEqual([], self.ledger.written)

    async def test_a_changing_electorate_confirms_by_both(self):
        """A leader counts other entries than its successor does."""
        subject = self.open(frozenset((ADDRESS,)))
        for name in self.others:
            self.terms.answer(EPOCH, name)
        self.ledger.reachable = anyio.Event()
        await self.run_until(subject, lambda: self.ledger.written)
        self.others.clear()
        self.lose_store()
        await subject._confirm()
        self.assertFalse(subject.is_valid())


class InheritedElectorateTest(base.TestCase):
    """The electorate that a new leader begins with."""

    def inherit(self, head_leader, electorate):
        head = ledger.Head(leader=head_leader, writes=3)
        return ledger.inherit_electorate(
            'new',
            store.Item(record.HEAD, head.model_dump_json(), 5),
            store.Item(record.ELECTORATE, electorate.model_dump_json(), 4),
        ).entries

    def test_the_predecessors_electorate_is_inherited(self):
        stored = ledger.Electorate(leader='old', entries=['entry-1'])
        self.assertEqual(['entry-1'], self.inherit('old', stored))

    def test_a_predecessor_that_needs_no_confirmation_has_none(self):
        """A task runs twice while versions are mixed.

        Leaders of earlier versions continue without being confirmed.
        """
        stored = ledger.Electorate(leader='older', entries=['entry-1'])
        self.assertIsNone(self.inherit('old', stored))
        stored = ledger.Electorate(leader='old', entries=None)
        self.assertIsNone(self.inherit('old', stored))

    def test_without_a_predecessor_there_is_nothing_to_wait_for(self):
        electorate = ledger.inherit_electorate('new', None, None)
        self.assertEqual([], electorate.entries)
