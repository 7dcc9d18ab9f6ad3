from unittest import mock

import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import election
from persimmonsail.jobs import record
from persimmonsail.jobs import terms
from persimmonsail import logs
from persimmonsail import store as store_module
from tests import base


class FakeStore:
    """A store with only the leader key and the head."""

    def __init__(self):
        self.items = {}
        self.revision = 0
        self.leases = 0
        self.renewed = []
        self.answer_seconds = 0.0

    async def scan(self, prefix):
        items = (i for key, i in self.items.items() if key.startswith(prefix))
        return store_module.Page(self.revision, tuple(items))

    async def watch_changes(self, prefix, after, wait):
        with anyio.move_on_after(wait):
            while True:
                item = self.items.get(prefix)
                if item is not None and item.revision > after:
                    change = store_module.Change(
                        prefix, item.value, item.revision
                    )
                    return store_module.Changes(self.revision, (change,))
                await anyio.sleep(0.002)
        return store_module.Changes(self.revision, ())

    async def grant_lease(self, seconds):
        self.leases += 1
        await anyio.sleep(0.004)
        return 'lease'

    async def renew_lease(self, lease):
        self.renewed.append(anyio.current_time())
        await anyio.sleep(self.answer_seconds)

    async def revoke_lease(self, lease):
        self.items.clear()

    async def get(self, key):
        await anyio.sleep(self.answer_seconds)
        return self.items.get(key)

    async def commit(self, conditions, writes, removals=()):
        for key, revision in conditions.items():
            current = self.items.get(key)
            if revision != (current.revision if current else 0):
                raise exceptions.TransactionConflict({})
        self.revision += 1
        for write in writes:
            self.items[write.key] = store_module.Item(
                write.key, write.value, self.revision
            )
        return self.revision


class ElectionTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.store = FakeStore()
        self.leading = []
        self.elected = anyio.Event()

    # The leaders that have ended.
    dead = ('dead',)

    def make_candidate(self, name, cores):
        async def lead(ledger, mandate):
            self.leading.append(name)
            self.elected.set()
            await anyio.sleep_forever()

        async def is_alive(address):
            return address not in self.dead

        async def ask(address, epoch):
            raise exceptions.PeerAbsent(address)

        candidate = election.Candidate(
            self.store, name, is_alive, lead, terms.Terms(), ask, cores
        )
        candidate.address = name
        return candidate

    async def elect(self, **cores):
        self.elected = anyio.Event()
        async with anyio.create_task_group() as group:
            for name, limit in cores.items():
                group.start_soon(self.make_candidate(name, limit).run)
            with anyio.fail_after(3.0):
                await self.elected.wait()
            group.cancel_scope.cancel()
        return self.leading[-1]

    async def test_an_entry_that_is_too_small_lets_others_lead(self):
        """Guards against missed latency targets after a change of leader.

        The smallest entry won the election, had half a core to process the
        reports of fifty instances, and fell seconds behind.
        """
        for _ in range(5):
            winner = await self.elect(small=0.516, large=2.15)
            self.assertEqual('large', winner)

    async def test_a_dead_leader_is_replaced_by_a_larger_one(self):
        dead = '{"id": "x", "name": "gone", "address": "dead"}'
        self.store.items[record.LEADER] = store_module.Item(
            record.LEADER, dead, 0
        )
        winner = await self.elect(small=0.516, large=2.15)
        self.assertEqual('large', winner)

    async def test_a_leader_that_ends_is_replaced_within_a_second(self):
        """Work waits for a new leader until a watch of the key returns."""
        live = '{"id": "x", "name": "live", "address": "live"}'
        self.store.items[record.LEADER] = store_module.Item(
            record.LEADER, live, 0
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self.make_candidate('entry', None).run)
            await anyio.sleep(0.1)
            self.dead = ('live',)
            with anyio.fail_after(0.9):
                await self.elected.wait()
            group.cancel_scope.cancel()

    async def test_keys_of_other_writers_keep_nobody_from_leading(self):
        """Guards against a halt of all starts while every entry is healthy.

        Another writer left an unreadable leader key, or one that shares its
        prefix; each entry treated that as an unavailable store, or lost
        every election because of it.
        """
        for key in (record.LEADER, record.LEADER + '-of-others'):
            item = store_module.Item(key, 'other', 0)
            self.store.items = {key: item}
            self.assertEqual('any', await self.elect(any=None))

    async def test_few_of_many_entries_stand(self):
        """Guards against delayed starts after a large fleet's leader died.

        Each of 35 entries took a store lease and lost an election, and the
        winner's first calls queued behind all of them.
        """
        dead = '{"id": "x", "name": "gone", "address": "dead"}'
        self.store.items[record.LEADER] = store_module.Item(
            record.LEADER, dead, 0
        )
        sizes = {f'entry-{i}': 2.15 if i < 15 else 0.516 for i in range(35)}
        winner = await self.elect(**sizes)
        self.assertEqual(2.15, sizes[winner])
        self.assertLessEqual(self.store.leases, 6)

    async def test_a_slow_leader_keeps_its_term(self):
        """Guards against repeated elections when a leader's machine is slow.

        It renewed its lease and confirmed its term in sequence, and with
        0.8 s for each the lease of 2 s expired.
        """
        self.store.answer_seconds = 0.8
        async with anyio.create_task_group() as group:
            group.start_soon(self.make_candidate('slow', None).run)
            await anyio.sleep(4.5)
            group.cancel_scope.cancel()
        times = self.store.renewed
        gaps = [
            after - before
            for before, after in zip(times, times[1:], strict=False)
        ]
        self.assertGreater(len(gaps), 2)
        self.assertLess(max(gaps), 1.5)

    async def test_the_end_of_a_term_says_why(self):
        """Guards against log lines that hide why an entry stopped leading.

        The logged cause was 'unhandled errors in a TaskGroup', since the
        write that found the head moved ran in a task group of its own.
        """

        async def lead(ledger, mandate):
            raise ExceptionGroup('', [exceptions.Deposed('head was moved')])

        candidate = self.make_candidate('entry', None)
        candidate._lead = lead
        with mock.patch.object(logs, 'write_warning') as write:
            with anyio.move_on_after(0.5):
                await candidate.run()
        event, fields = write.call_args_list[0]
        self.assertEqual(('deposed',), event)
        self.assertEqual('head was moved', str(fields['error']))

    async def test_a_small_entry_leads_where_no_other_can(self):
        self.assertEqual('small', await self.elect(small=0.516))

    async def test_an_entry_of_unknown_size_waits_for_nobody(self):
        self.assertEqual('any', await self.elect(any=None, small=0.2))
