import anyio
import testtools

from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import ledger
from persimmonsail.jobs import record
from persimmonsail import store as store_module
from tests import base


class FakeStore:
    """A store with the head and marker keys, and preset call outcomes.

    A ``lost`` call takes effect without a response, a ``refused`` one has
    no effect.
    """

    def __init__(self, *outcomes: str) -> None:
        self.outcomes = list(outcomes)
        self.revision = 5
        self.head = ''
        self.present_keys: dict[str, str] = {}
        self.commits: list[list[store_module.Write]] = []

    async def commit(self, conditions, writes, removals=()):
        outcome = self.outcomes.pop(0) if self.outcomes else 'ok'
        if outcome == 'refused':
            raise exceptions.CallRefused('busy')
        present = conditions.keys() & self.present_keys.keys()
        if present or conditions[record.HEAD] != self.revision:
            item = store_module.Item(record.HEAD, self.head, self.revision)
            found = {
                key: store_module.Item(key, self.present_keys[key], 1)
                for key in present
            }
            raise exceptions.TransactionConflict({record.HEAD: item, **found})
        self.revision += 1
        self.head = writes[0].value
        self.commits.append(list(writes))
        if outcome == 'lost':
            raise exceptions.StoreUnavailable('no answer')
        return self.revision

    async def get(self, key):
        return store_module.Item(key, self.head, self.revision)


class LedgerTest(base.TestCase):
    def open(self, *outcomes):
        store = FakeStore(*outcomes)
        return store, ledger.Ledger(store, ledger.Term('me', 5, '1'))

    async def test_a_write_whose_answer_was_lost_counts_once(self):
        store, leader_ledger = self.open('lost', 'ok')
        write = store_module.Write('progress/a', 'x')
        await leader_ledger.commit([write])
        await leader_ledger.commit([write])
        self.assertEqual(2, len(store.commits))

    async def test_a_refused_write_is_sent_again(self):
        store, leader_ledger = self.open('refused', 'refused')
        await leader_ledger.commit([store_module.Write('progress/a', 'x')])
        self.assertEqual(1, len(store.commits))

    async def test_a_replaced_leader_writes_nothing(self):
        """Guards against a finished job becoming active again.

        A frozen leader resumes after its successor has made progress, and
        writes its outdated state.
        """
        store, leader_ledger = self.open()
        store.revision = 9
        store.head = ledger.Head(leader='other', writes=3).model_dump_json()
        with anyio.fail_after(5):
            try:
                await leader_ledger.commit(
                    [store_module.Write('progress/a', 'old')]
                )
            except exceptions.Deposed:
                pass
            else:
                self.fail('a replaced leader was able to write')
        self.assertEqual([], store.commits)

    async def test_a_commit_fails_if_a_key_required_absent_exists(self):
        store, leader_ledger = self.open()
        store.present_keys = {'mark/a': 'text'}
        write = store_module.Write('progress/a', 'x')
        found = {}
        try:
            await leader_ledger.commit([write], absent=['mark/a', 'mark/b'])
        except exceptions.KeysPresent as error:
            found = error.found
        self.assertEqual({'mark/a': 'text'}, found)
        self.assertEqual([], store.commits)
        await leader_ledger.commit([write], absent=['mark/b'])
        self.assertEqual(1, len(store.commits))

    async def test_a_write_before_the_cancel_counts_if_answered_later(self):
        store, leader_ledger = self.open('lost')
        write = store_module.Write('progress/a', 'x')
        before = clock.read()
        commit = store.commit

        async def commit_and_cancel(*arguments):
            try:
                return await commit(*arguments)
            finally:
                store.present_keys = {'mark/a': 'text'}
                await anyio.sleep(0.1)

        store.commit = commit_and_cancel
        verified_at = await leader_ledger.commit([write], absent=['mark/a'])
        self.assertEqual(1, len(store.commits))
        # The check dates from the first attempt.
        self.assertLess(verified_at - before, 0.1)

    async def test_a_head_of_another_writer_ends_the_term(self):
        """Guards against a leader that continues while its leases expire.

        Another writer overwrote the head; treated like an unavailable store,
        that never showed the leader that its writes would be refused, and
        after 8 s its runs were no longer renewed.
        """
        store, leader_ledger = self.open()
        await leader_ledger.commit([])
        store.head = 'other'
        with testtools.ExpectedException(exceptions.Deposed):
            await leader_ledger.confirm()
        store.revision += 1
        with testtools.ExpectedException(exceptions.Deposed):
            await leader_ledger.commit([])

    async def test_only_its_own_head_confirms_a_leader(self):
        store, leader_ledger = self.open()
        await leader_ledger.commit([])
        await leader_ledger.confirm()
        store.head = ledger.Head(leader='other', writes=0).model_dump_json()
        try:
            await leader_ledger.confirm()
        except exceptions.Deposed:
            return
        self.fail('the term was confirmed by the head of another leader')
