import contextlib

import anyio
import testtools

from persimmonsail.bookkeeping import tasks
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail.partitioning import partitions
from persimmonsail import settings
from standins import memory
from tests import base

TIMEOUT_SECONDS = 10.0


class StubHolder:
    """A holder that only runs until it is closed."""

    def __init__(self, number, lease, owner) -> None:
        self.number = number
        self.lease = lease
        self.closing = anyio.Event()
        self.table = tasks.Table(epoch=1)
        self.ready = True

    async def run(self) -> None:
        await self.closing.wait()


def parse_settings(name: str, count: int = 1):
    return settings.parse(
        'test',
        f"""
[process]
name = {name}
region = piedmont
zone = piedmont-a
[store]
address = 127.0.0.1:1
[entry]
partitions = {count}
partition-lease = 0.6
drain = 1
""",
        'entry',
    )


def make_partitions(store, name: str, control: str = 'host:1', count=1):
    return partitions.Partitions(
        store, parse_settings(name, count), control, StubHolder
    )


@contextlib.asynccontextmanager
async def run_partitions(*owners):
    """Run entries' partitions, and kill them at the end."""
    async with anyio.create_task_group() as group:
        for owner in owners:
            group.start_soon(owner.run)
        yield
        group.cancel_scope.cancel()


async def wait_for(owner, check) -> None:
    """Wait until a condition on an entry's partitions holds."""
    with anyio.fail_after(TIMEOUT_SECONDS):
        while not check():
            with anyio.move_on_after(0.05):
                await owner.changed.wait()


class PartitionsTest(base.TestCase):
    async def test_preferred_entry_takes_the_partition(self):
        store = memory.MemoryStore()
        one = make_partitions(store, 'one')
        two = make_partitions(store, 'two')
        async with run_partitions(one, two):
            await wait_for(one, lambda: len(one.entries) == 2)
            preferred = partitions.prefer_entry(0, ['one', 'two'])
            holding_entry, other = (
                (one, two) if preferred == 'one' else (two, one)
            )
            await wait_for(holding_entry, lambda: 0 in holding_entry.held)
            await wait_for(other, lambda: 0 not in other.held)

    async def test_restarted_entry_waits_for_its_predecessors_lease(self):
        """A watcher runs twice.

        An entry is killed and restarts under its name and address. Its
        predecessor's partition key is attached to a lease that nobody
        renews, so another entry can acquire the partition at any time.
        """
        store = memory.MemoryStore()
        old = make_partitions(store, 'one')
        async with run_partitions(old):
            await wait_for(old, lambda: 0 in old.held)
        new = make_partitions(store, 'one')
        async with run_partitions(new):
            await wait_for(new, lambda: new.find_holder(0) is not None)
            self.assertEqual({}, new.held)
            await wait_for(new, lambda: 0 in new.held)
            self.assertEqual(new.promises.id, new.find_holder(0).id)

    async def test_promised_partition_is_not_taken(self):
        """A watcher runs twice after a store outage.

        This entry has promised a holder without store contact not to
        replace it for some time; then the store answers this entry again.
        """
        store = memory.MemoryStore()
        one = make_partitions(store, 'one')
        reply = one.promises.consent(
            control_pb2.ConsentRequest(
                id=one.promises.id, lost_seconds=1, promise_seconds=1.5
            )
        )
        self.assertTrue(reply.granted)
        async with run_partitions(one):
            await wait_for(one, lambda: one.lease_is_valid)
            await wait_for(one, lambda: 'one' in one.entries)
            self.assertEqual({}, one.held)
            await wait_for(one, lambda: 0 in one.held)
            self.assertFalse(one.promises.is_promised(0))

    async def test_lost_lease_ends_the_holder_for_good(self):
        """A watcher runs twice.

        The store has lost an entry's lease, and another entry may hold
        the partition. The entry obtains a new lease, whose expiry its old
        holder must not rely on.
        """
        store = memory.MemoryStore()
        one = make_partitions(store, 'one')
        async with run_partitions(one):
            await wait_for(one, lambda: 0 in one.held)
            first = one.held[0]
            await store.revoke_lease(first.lease.id)
            await wait_for(
                one, lambda: 0 in one.held and one.held[0] is not first
            )
            self.assertFalse(first.lease.is_valid)
            self.assertTrue(one.held[0].lease.is_valid)

    async def test_leaving_entry_releases_its_keys_at_once(self):
        """Tasks are delayed by seconds at each planned replacement."""
        store = memory.MemoryStore()
        one = make_partitions(store, 'one')
        async with run_partitions(one):
            await wait_for(one, lambda: 0 in one.held)
            await one.leave()
            page = await store.scan(partitions.LIVE_PREFIX)
            self.assertEqual((), page.items)
            self.assertEqual({}, one.held)

    async def test_lost_answer_of_an_acquisition_is_resolved(self):
        store = memory.MemoryStore()
        one = make_partitions(store, 'one')
        store.faults.lose_answers = 3
        async with run_partitions(one):
            await wait_for(one, lambda: 0 in one.held)

    async def test_other_partition_count_is_refused(self):
        """The build of one key runs in two ledgers."""
        store = memory.MemoryStore()
        one = make_partitions(store, 'one')
        async with run_partitions(one):
            await wait_for(one, lambda: 0 in one.held)
        other = make_partitions(store, 'two', count=2)
        with testtools.ExpectedException(
            exceptions.SettingsMismatch, '.*partitions = 2.*has 1'
        ):
            with anyio.fail_after(TIMEOUT_SECONDS):
                await other.run()

    async def test_fence_ends_a_holder_of_an_earlier_epoch(self):
        store = memory.MemoryStore()
        one = make_partitions(store, 'one')
        async with run_partitions(one):
            await wait_for(one, lambda: 0 in one.held)
            first = one.held[0]
            one.fence(control_pb2.FenceRequest(partition=0, epoch=1))
            self.assertFalse(first.closing.is_set())
            one.fence(control_pb2.FenceRequest(partition=0, epoch=2))
            self.assertTrue(first.closing.is_set())

    async def test_holder_denies_consent_for_what_it_holds(self):
        store = memory.MemoryStore()
        one = make_partitions(store, 'one')
        async with run_partitions(one):
            await wait_for(one, lambda: 0 in one.held)
            store.faults.down = True
            reply = one.promises.consent(
                control_pb2.ConsentRequest(
                    id=one.promises.id, lost_seconds=0, promise_seconds=1
                )
            )
            self.assertFalse(reply.granted)
            self.assertEqual('the partition is held here', reply.reason)
