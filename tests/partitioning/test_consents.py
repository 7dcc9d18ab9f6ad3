from unittest import mock

from persimmonsail.bookkeeping import records
from persimmonsail import control_pb2
from persimmonsail.partitioning import consents
from persimmonsail.partitioning import contacts
from tests import base
from tests import clock
from tests import instances

PROMISE_SECONDS = 4.0
OUTAGE_LIMIT = 60.0


class ConsentTest(base.TestCase):
    """Holder ``h`` and two other entries, without store contact."""

    def setUp(self):
        super().setUp()
        self.clock = clock.Clock()
        for module in (consents, contacts):
            patch = mock.patch.object(module, 'time', self.clock)
            patch.start()
            self.addCleanup(patch.stop)
        self.held = set()
        self.links = instances.Links()
        self.members = {'h': 'h'}
        for name in ('one', 'two'):
            promises = consents.Promises(name, self.held.__contains__)
            promises.note_contact(self.clock.now)
            self.links.entries[name] = promises
            self.members[name] = name
        self.lease = consents.StoreLease('lease', self.clock.now + 5)
        self.authority = consents.Authority(
            self.lease, self.links, 'h', PROMISE_SECONDS, OUTAGE_LIMIT
        )

    def end_lease(self):
        self.clock.now = self.lease.until + 1

    async def ask(self, epoch: int = 1) -> bool:
        return await self.authority.ask(0, epoch, self.members)

    async def test_lease_alone_gives_authority_until_its_end(self):
        self.assertTrue(self.authority.is_valid)
        self.end_lease()
        self.assertFalse(self.authority.is_valid)

    async def test_unanimous_consent_lasts_for_its_time(self):
        """Every watcher stops in a store outage."""
        self.end_lease()
        self.assertTrue(await self.ask())
        self.assertTrue(self.authority.is_valid)
        self.assertFalse(self.authority.lease_is_valid)
        self.assertTrue(self.links.entries['one'].is_promised(0))
        self.clock.now += PROMISE_SECONDS
        self.assertFalse(self.authority.is_valid)
        self.assertFalse(self.links.entries['one'].is_promised(0))

    async def test_unreachable_entry_denies_consent(self):
        """A watcher runs twice.

        One entry is unreachable but may have store contact and acquire
        the partition, so the consent of the others is not sufficient.
        """
        self.end_lease()
        self.links.unreachable.add('two')
        self.assertFalse(await self.ask())
        self.assertFalse(self.authority.is_valid)

    async def test_entry_with_store_contact_denies_consent(self):
        """A partition stays with a holder that cannot commit."""
        self.end_lease()
        self.links.entries['two'].note_contact(self.lease.until + 0.5)
        self.assertFalse(await self.ask())

    async def test_entry_that_holds_the_partition_denies_consent(self):
        self.end_lease()
        self.held.add(0)
        self.assertFalse(await self.ask())

    async def test_restarted_entry_denies_consent(self):
        """A watcher runs twice after an entry's restart.

        The listed process has ended and its promises are lost; another
        process answers at its address.
        """
        self.end_lease()
        self.links.entries['two'] = consents.Promises(
            'another', self.held.__contains__
        )
        self.assertFalse(await self.ask())

    async def test_entry_promises_only_for_itself(self):
        request = control_pb2.ConsentRequest(
            id='earlier', lost_seconds=1, promise_seconds=1
        )
        promises = consents.Promises('one', bool)
        self.assertFalse(promises.consent(request).granted)
        self.assertFalse(promises.is_promised(0))

    async def test_fenced_entry_denies_consent_to_earlier_epochs(self):
        """A watcher runs twice.

        An entry unknown to the holder has acquired the partition in the
        store, while all entries known to it have no store contact.
        """
        self.end_lease()
        fence = consents.Fence(
            self.links, 'new', PROMISE_SECONDS, OUTAGE_LIMIT
        )
        members = [records.Member('two', 'two')]
        await fence.run(0, 2, members)
        self.assertFalse(await self.ask(epoch=1))
        self.assertTrue(await self.ask(epoch=2))

    async def test_no_consent_is_asked_for_past_the_limit(self):
        self.clock.now = self.lease.until + OUTAGE_LIMIT + 1
        self.assertFalse(await self.ask())
        self.assertEqual([], self.links.calls)

    async def test_lost_lease_ends_authority_and_consent(self):
        self.end_lease()
        await self.ask()
        self.lease.ended = True
        self.assertFalse(self.authority.is_valid)

    async def test_released_authority_is_not_valid(self):
        self.authority.release()
        self.assertFalse(self.authority.is_valid)


class FenceTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clock.Clock()
        patch = mock.patch.object(consents, 'time', self.clock)
        patch.start()
        self.addCleanup(patch.stop)
        self.links = instances.Links()
        self.fence = consents.Fence(
            self.links, 'me', PROMISE_SECONDS, OUTAGE_LIMIT
        )

    async def test_own_promises_suffice(self):
        """The listed entry kept its promise by not taking over earlier."""
        await self.fence.run(0, 2, [records.Member('me', 'me')])
        self.assertEqual(self.clock.now, self.fence.consents_expired_at)
        self.assertEqual([], self.links.calls)

    async def test_fenced_member_bounds_consents_by_one_promise(self):
        """A watcher runs twice.

        The old holder had not listed the new one, which thus has made no
        promise; the consents that others have just given are still valid.
        """
        self.links.entries['one'] = consents.Promises('one', bool)
        self.links.unreachable.add('x')
        members = [records.Member('gone', 'x'), records.Member('one', 'one')]
        await self.fence.run(0, 2, members)
        self.assertEqual(
            self.clock.now + PROMISE_SECONDS, self.fence.consents_expired_at
        )


class SilenceTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clock.Clock()
        patch = mock.patch.object(contacts, 'time', self.clock)
        patch.start()
        self.addCleanup(patch.stop)
        self.contacts = contacts.Contacts(instances.LEASE)

    def test_new_holder_counts_from_its_own_takeover(self):
        """A watcher runs twice after a change of holder.

        The new holder cannot reach the instance, which the old one may
        have renewed right before the change.
        """
        taken_at = self.clock.now
        self.clock.now += instances.LEASE + contacts.LEASE_MARGIN_SECONDS
        self.assertFalse(self.contacts.has_expired('one', taken_at))
        self.clock.now += 0.1
        self.assertTrue(self.contacts.has_expired('one', taken_at))

    def test_contact_resets_the_silence(self):
        taken_at = self.clock.now
        self.clock.now += instances.LEASE
        reply = control_pb2.RenewReply(ticket=5.0, boot='b')
        self.contacts.note('one', 'i', reply)
        self.clock.now += instances.LEASE + contacts.LEASE_MARGIN_SECONDS
        self.assertFalse(self.contacts.has_expired('one', taken_at))

    def test_consents_that_may_be_valid_are_waited_for(self):
        self.clock.now += 10 * instances.LEASE
        self.assertFalse(self.contacts.has_expired('one', float('inf')))

    def test_earlier_holder_with_authority_is_waited_for(self):
        """A watcher runs twice.

        The new holder contacted the instance before the consent for the
        earlier one expired; the earlier one may have renewed since.
        """
        self.contacts.note('one', 'i', control_pb2.RenewReply(ticket=5.0))
        self.clock.now += instances.LEASE
        others_expired_at = self.clock.now
        self.clock.now += instances.LEASE
        self.assertFalse(self.contacts.has_expired('one', others_expired_at))
