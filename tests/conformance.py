"""Conformance tests of store adapters; each adapter's test subclasses them."""

import contextlib

import anyio
import anyio.lowlevel

from persimmonsail import exceptions
from persimmonsail import store as store_module
from standins import memory
from tests import base

LEASE_SECONDS = 60.0
WAIT_SECONDS = 30.0
WRITERS = 8


async def wait_for_watch(memory_store: memory.MemoryStore) -> None:
    with anyio.fail_after(WAIT_SECONDS):
        while not memory_store.calls.watch:
            await anyio.lowlevel.checkpoint()


class StoreConformance(base.TestCase):
    """Runs against the adapter that ``open_store`` yields.

    The second yielded value is the ``MemoryStore`` behind the adapter, on
    which tests set faults.
    """

    def open_store(
        self,
    ) -> contextlib.AbstractAsyncContextManager[
        tuple[store_module.Store, memory.MemoryStore]
    ]:
        raise NotImplementedError

    async def test_reads_what_was_written(self):
        async with self.open_store() as (store, _):
            self.assertIsNone(await store.get('a'))
            text = 'Nhà Ngựa "\n' * 80_000
            revision = await store.put('a', text)
            self.assertEqual(
                store_module.Item('a', text, revision), await store.get('a')
            )
            self.assertGreater(await store.put('a', 'b'), revision)

    async def test_conditional_write_requires_the_expected_revision(self):
        async with self.open_store() as (store, _):
            first = await store.put('a', '1', 0)
            error = await self.check_raises(
                exceptions.Conflict, store.put, 'a', '2', 0
            )
            self.assertEqual(first, error.actual)
            second = await store.put('a', '2', first)
            await self.check_raises(
                exceptions.Conflict, store.delete, 'a', first
            )
            await store.delete('a', second)
            await store.delete('a')
            error = await self.check_raises(
                exceptions.Conflict, store.put, 'a', '3', second
            )
            self.assertEqual(0, error.actual)

    async def test_one_of_many_concurrent_writers_wins(self):
        winners = []

        async def write(store, number):
            with contextlib.suppress(exceptions.Conflict):
                await store.put('a', str(number), 0)
                winners.append(str(number))

        async with self.open_store() as (store, _):
            async with anyio.create_task_group() as group:
                for number in range(WRITERS):
                    group.start_soon(write, store, number)
            self.assertEqual(winners, [(await store.get('a')).value])

    async def test_scan_lists_a_prefix_in_key_order(self):
        async with self.open_store() as (store, _):
            for key in ('a/2', 'a/1', 'b/1'):
                await store.put(key, key)
            page = await store.scan('a/')
            self.assertEqual(['a/1', 'a/2'], [i.key for i in page.items])
            self.assertGreaterEqual(
                page.revision, max(i.revision for i in page.items)
            )

    async def test_watch_misses_no_change_between_calls(self):
        async with self.open_store() as (store, _):
            await store.put('a/1', 'x')
            page = await store.scan('a/')
            await store.put('a/2', 'y')
            page = await store.watch('a/', page.revision, WAIT_SECONDS)
            self.assertEqual(['a/2'], [i.key for i in page.items])

    async def test_waiting_watch_returns_on_a_change_in_one_call(self):
        pages = []

        async def watch(store):
            pages.append(await store.watch('a/', 0, WAIT_SECONDS))

        async with self.open_store() as (store, memory_store):
            async with anyio.create_task_group() as group:
                group.start_soon(watch, store)
                await wait_for_watch(memory_store)
                await store.put('b/1', 'other')
                await store.put('a/1', 'x')
            self.assertEqual(['a/1'], [i.key for i in pages[0].items])
            self.assertEqual(1, memory_store.calls.watch)

    async def test_deletion_ends_a_watch_without_items(self):
        async with self.open_store() as (store, _):
            revision = await store.put('a/1', 'x')
            await store.delete('a/1')
            page = await store.watch('a/', revision, WAIT_SECONDS)
            self.assertEqual((), page.items)
            self.assertGreater(page.revision, revision)

    async def test_watch_times_out_without_items(self):
        async with self.open_store() as (store, _):
            revision = await store.put('a/1', 'x')
            page = await store.watch('a/', revision, 0.02)
            self.assertEqual((revision, ()), (page.revision, page.items))

    async def test_revoked_lease_deletes_its_keys(self):
        async with self.open_store() as (store, _):
            lease = await store.grant_lease(LEASE_SECONDS)
            await store.put('a', 'x', lease=lease)
            await store.put('kept', 'x', lease=lease)
            await store.put('kept', 'y')
            await store.renew_lease(lease)
            await store.revoke_lease(lease)
            self.assertIsNone(await store.get('a'))
            self.assertEqual('y', (await store.get('kept')).value)
            await self.check_raises(
                exceptions.LeaseExpired, store.renew_lease, lease
            )
            await self.check_raises(
                exceptions.LeaseExpired, store.put, 'a', 'z', None, lease
            )
            self.assertIsNone(await store.get('a'))

    async def test_expired_lease_deletes_its_keys(self):
        async with self.open_store() as (store, _):
            lease = await store.grant_lease(0.02)
            with contextlib.suppress(exceptions.LeaseExpired):
                await store.put('a', 'x', lease=lease)
            with anyio.fail_after(WAIT_SECONDS):
                while await store.get('a') is not None:
                    await anyio.lowlevel.checkpoint()
            await self.check_raises(
                exceptions.LeaseExpired, store.renew_lease, lease
            )

    async def test_outage_fails_every_call_and_changes_nothing(self):
        async with self.open_store() as (store, memory_store):
            memory_store.faults = memory.Faults(down=True)
            for call, arguments in (
                (store.get, ('a',)),
                (store.scan, ('a',)),
                (store.put, ('a', 'x')),
                (store.delete, ('a',)),
                (store.grant_lease, (1.0,)),
                (store.renew_lease, ('l',)),
                (store.revoke_lease, ('l',)),
                (store.watch, ('a', 0, 1.0)),
            ):
                await self.check_raises(
                    exceptions.StoreUnavailable, call, *arguments
                )
            memory_store.faults = memory.Faults()
            self.assertIsNone(await store.get('a'))

    async def test_outage_ends_a_waiting_watch(self):
        async with self.open_store() as (store, memory_store):
            async with anyio.create_task_group() as group:
                group.start_soon(
                    self.check_raises,
                    exceptions.StoreUnavailable,
                    store.watch,
                    'a',
                    0,
                    WAIT_SECONDS,
                )
                await wait_for_watch(memory_store)
                # The response to a later call shows that the watch is waiting.
                await store.get('a')
                memory_store.faults = memory.Faults(down=True)

    async def test_write_with_a_lost_response_takes_effect(self):
        async with self.open_store() as (store, memory_store):
            memory_store.faults = memory.Faults(lose_answers=1)
            await self.check_raises(
                exceptions.StoreUnavailable, store.put, 'a', 'x', 0
            )
            self.assertEqual('x', (await store.get('a')).value)

    async def test_silent_watch_reports_nothing(self):
        async with self.open_store() as (store, memory_store):
            memory_store.faults = memory.Faults(silent_watches=True)
            await store.put('a', 'x')
            page = await store.watch('a', 0, 0.02)
            self.assertEqual((), page.items)
            self.assertEqual('x', (await store.get('a')).value)

    async def check_raises(self, expected, call, *arguments):
        """Check that a call raises the expected error, and return it."""
        try:
            await call(*arguments)
        except expected as error:
            return error
        self.fail(f'{call.__name__} did not raise {expected.__name__}')
