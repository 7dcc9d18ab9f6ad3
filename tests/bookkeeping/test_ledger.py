import testtools

from persimmonsail.bookkeeping import ledger
from persimmonsail.bookkeeping import records
from persimmonsail import exceptions
from standins import memory
from tests import base


def submit(task: str) -> records.Submitted:
    return records.Submitted(task, 'build', 'team', '{}', 1)


class LedgerTest(base.TestCase):
    async def test_second_holder_reads_what_the_first_wrote(self):
        store = memory.MemoryStore()
        first = ledger.Ledger(store, 0)
        await first.take_over('one')
        await first.append((submit('a'), submit('b')))
        second = ledger.Ledger(store, 0)
        await second.load()
        self.assertEqual(2, await second.take_over('two'))
        self.assertEqual({'a', 'b'}, set(second.table.tasks))

    async def test_paused_holder_cannot_write_after_a_takeover(self):
        """A build runs twice.

        The first holder is frozen; a second takes over the partition and
        writes until the ring wraps around. The first resumes and claims
        the build at a position that it still assumes to be free.
        """
        store = memory.MemoryStore()
        first = ledger.Ledger(store, 0)
        await first.take_over('one')
        second = ledger.Ledger(store, 0)
        await second.load()
        await second.take_over('two')
        for number in range(ledger.SLOTS + 5):
            if second.needs_snapshot():
                await second.write_snapshot()
            await second.append((submit(f't{number}'),))
        with testtools.ExpectedException(exceptions.NotHolder):
            await first.append((submit('late'),))

    async def test_lost_answer_is_resolved_by_the_batch_id(self):
        """A task is refused although it was accepted.

        The store commits the batch and its answer is lost, so that the
        retry conflicts with the holder's own write.
        """
        store = memory.MemoryStore()
        first = ledger.Ledger(store, 0)
        await first.take_over('one')
        store.faults.lose_answers = 1
        await first.append((submit('a'),))
        reloaded = ledger.Ledger(store, 0)
        await reloaded.load()
        self.assertEqual(['a'], list(reloaded.table.tasks))
        self.assertEqual(first.hash, reloaded.hash)

    async def test_batch_that_breaks_the_hash_chain_is_not_replayed(self):
        """A holder continues from a batch that was tampered with."""
        store = memory.MemoryStore()
        first = ledger.Ledger(store, 0)
        await first.take_over('one')
        await first.append((submit('a'),))
        await first.append((submit('b'),))
        page = await store.scan('ledger/000/slot/')
        changed = page.items[1].value.replace('"task":"a"', '"task":"x"')
        await store.put(page.items[1].key, changed)
        with testtools.ExpectedException(exceptions.LedgerCorrupt):
            await ledger.Ledger(store, 0).load()

    async def test_missing_position_is_not_passed_over(self):
        """An accepted task is lost in a takeover."""
        store = memory.MemoryStore()
        first = ledger.Ledger(store, 0)
        await first.take_over('one')
        await first.append((submit('a'),))
        page = await store.scan('ledger/000/slot/')
        await store.delete(page.items[0].key)
        with testtools.ExpectedException(
            exceptions.LedgerCorrupt, '.*no position 1.*'
        ):
            await ledger.Ledger(store, 0).load()

    async def test_paused_holder_cannot_replace_a_later_snapshot(self):
        """Accepted tasks are lost from a snapshot.

        The first holder is frozen while it writes a snapshot. A second
        takes over and writes its own; then the first one's write arrives.
        """
        store = memory.MemoryStore()
        first = ledger.Ledger(store, 0)
        await first.take_over('one')
        second = ledger.Ledger(store, 0)
        await second.load()
        await second.take_over('two')
        await second.append((submit('a'),))
        await second.write_snapshot()
        with testtools.ExpectedException(exceptions.NotHolder):
            await first.write_snapshot()
        third = ledger.Ledger(store, 0)
        await third.load()
        self.assertEqual(['a'], list(third.table.tasks))

    async def test_record_that_does_not_fit_is_never_written(self):
        """No holder can load the partition any more.

        A record that is invalid for the table was committed; every
        replay of the ledger fails at it.
        """
        store = memory.MemoryStore()
        first = ledger.Ledger(store, 0)
        await first.take_over('one')
        await first.append((submit('a'),))
        with testtools.ExpectedException(exceptions.LedgerCorrupt):
            await first.append((submit('b'), submit('a')))
        reloaded = ledger.Ledger(store, 0)
        await reloaded.load()
        self.assertEqual(['a'], list(reloaded.table.tasks))
        self.assertEqual(first.position, reloaded.position)

    async def test_own_snapshot_is_recognised_after_a_lost_answer(self):
        """A holder gives up its partition without need.

        The store wrote its snapshot but the answer was lost. The next
        snapshot has another text and conflicts with that one.
        """
        store = memory.MemoryStore()
        first = ledger.Ledger(store, 0)
        await first.take_over('one')
        store.faults.lose_answers = 1
        with testtools.ExpectedException(exceptions.StoreUnavailable):
            await first.write_snapshot()
        await first.append((submit('a'),))
        await first.write_snapshot()
        reloaded = ledger.Ledger(store, 0)
        await reloaded.load()
        self.assertEqual(['a'], list(reloaded.table.tasks))

    async def test_ring_never_overwrites_what_no_snapshot_has(self):
        """Tasks are lost when the holder changes.

        Snapshots fail for so long that the ring wraps around and
        overwrites batches that the next holder needs.
        """
        store = memory.MemoryStore()
        first = ledger.Ledger(store, 0)
        await first.take_over('one')
        for number in range(ledger.SLOTS + 5):
            await first.append((submit(f't{number}'),))
        reloaded = ledger.Ledger(store, 0)
        await reloaded.load()
        self.assertEqual(ledger.SLOTS + 5, len(reloaded.table.tasks))

    async def test_snapshot_fits_a_value_at_the_size_designed_for(self):
        """A partition stops permanently once its snapshot is too large.

        The largest of eight partitions is assumed to have twice its share
        of 17,300 running tasks and of a day's 12,000 finished ones.
        """
        store = memory.MemoryStore()
        first = ledger.Ledger(store, 0)
        await first.take_over('one')
        for number in range(2 * 17_300 // 8):
            name = records.hash_text(f'running {number}')[:24]
            first.table.apply(submit(f'000-{name}'))
            first.table.apply(
                records.Claimed(f'000-{name}', 1, 'instance-1', 32 * 'b')
            )
        for number in range(2 * 12_000 // 8):
            name = records.hash_text(f'finished {number}')[:24]
            first.table.apply(submit(f'000-{name}'))
            first.table.apply(
                records.Finished(
                    f'000-{name}',
                    0,
                    records.TaskPhase.SUCCEEDED,
                    records.hash_text(name),
                    'done',
                    1.7e9 + number,
                )
            )
        await first.write_snapshot()
        found = await store.get('ledger/000/snapshot')
        self.assertLess(len(found.value), 1_000_000)
        reloaded = ledger.Ledger(store, 0)
        await reloaded.load()
        self.assertEqual(first.table, reloaded.table)
