import contextlib
import random
import time

import anyio

from persimmonsail.callers import claims
from persimmonsail.callers import quick
from persimmonsail.callers import replays
from persimmonsail.callers import sending
from persimmonsail.catalogues import catalogue
from persimmonsail.catalogues import revisions
from persimmonsail import control_pb2
from persimmonsail.decisions import backlog
from persimmonsail.decisions import fleet
from persimmonsail.decisions import hedging
from persimmonsail.decisions import retries
from persimmonsail import exceptions
from persimmonsail import problems
from standins import memory
from tests import base


class BudgetTest(base.TestCase):
    def test_retries_stay_below_a_fraction_of_successes(self):
        """Retries multiply the load on overloaded servers.

        While no request succeeds, the budget is used up and stays so.
        """
        budget = retries.FractionBudget(per_second=0, clock=lambda: 0.0)
        allowed = sum(budget.try_acquire() for _ in range(1000))
        self.assertEqual(10, allowed)
        for _ in range(200):
            budget.note_success()
        self.assertEqual(20, sum(budget.try_acquire() for _ in range(1000)))


class HedgingTest(base.TestCase):
    def test_delay_is_a_high_percentile_once_samples_suffice(self):
        policy = hedging.PercentileHedging()
        self.assertIsNone(policy.find_delay('check'))
        for number in range(100):
            slow = number % 20 == 0
            policy.note_latency('check', 1.0 if slow else 0.01)
        self.assertLessEqual(policy.find_delay('check'), 0.02)
        self.assertIsNone(policy.find_delay('other'))


class BacklogTest(base.TestCase):
    def test_retry_after_follows_the_backlog_with_jitter(self):
        estimate = backlog.Backlog(8, random.Random(1))
        estimate.note_service(0.8)
        for queued in (8, 80):
            times = {
                estimate.suggest_retry_delay(8, queued) for _ in range(50)
            }
            expected = (8 + queued) * 0.8 / 8
            self.assertGreater(len(times), 40)
            self.assertGreaterEqual(min(times), expected * 0.75)
            self.assertLessEqual(max(times), expected * 1.25)


def make_claim(attempt: str) -> claims.Claim:
    return claims.Claim(attempt, 'one', 'first', 'one:1', 5, 'print')


class ClaimsTest(base.TestCase):
    async def test_second_entry_joins_the_existing_claim(self):
        store = memory.MemoryStore()
        first = await claims.Claims(store).acquire('k', make_claim('a'))
        second = await claims.Claims(store).acquire('k', make_claim('b'))
        self.assertEqual('a', first.claim.attempt)
        self.assertFalse(first.claim.joined)
        self.assertEqual('a', second.claim.attempt)
        self.assertTrue(second.claim.joined)

    async def test_claim_moves_only_while_not_joined(self):
        """An order runs on two instances.

        One entry cannot connect to the claimed instance and moves the
        claim, while another entry has just joined the old claim.
        """
        store = memory.MemoryStore()
        own_claims = claims.Claims(store)
        acquired = await own_claims.acquire('k', make_claim('a'))
        await claims.Claims(store).acquire('k', make_claim('b'))
        moved = await own_claims.acquire('k', make_claim('c'), acquired)
        self.assertEqual('a', moved.claim.attempt)
        self.assertTrue(moved.claim.joined)

    async def test_lost_store_response_leaves_one_claim(self):
        store = memory.MemoryStore()
        own_claims = claims.Claims(store)
        await own_claims.acquire('other', make_claim('x'))
        store.faults.lose_answers = 1
        acquired = await own_claims.acquire('k', make_claim('a'))
        self.assertEqual('a', acquired.claim.attempt)
        self.assertFalse(acquired.claim.joined)

    async def test_store_outage_raises(self):
        store = memory.MemoryStore()
        store.faults.down = True
        with self.assertRaises(exceptions.StoreUnavailable):
            await claims.Claims(store).acquire('k', make_claim('a'))


class ReplaysTest(base.TestCase):
    async def test_one_key_is_sent_once_and_all_receive_its_answer(self):
        cache = replays.ReplayCache(clock=lambda: 0.0)
        release = anyio.Event()
        sent = []
        results = []

        async def send():
            sent.append(1)
            await release.wait()
            return control_pb2.ExecuteReply(body=b'answer')

        async def run():
            deadline = anyio.current_time() + 30
            results.append(await cache.run('k', 'f', send, deadline))

        async with anyio.create_task_group() as group:
            for _ in range(3):
                group.start_soon(run)
            await anyio.wait_all_tasks_blocked()
            release.set()
        await run()
        self.assertEqual(1, len(sent))
        self.assertEqual([b'answer'] * 4, [r.body for r in results])
        with self.assertRaises(problems.Problem) as caught:
            await cache.run('k', 'other', send, 0)
        self.assertEqual(422, caught.exception.status)

    async def test_refused_key_may_be_sent_again(self):
        cache = replays.ReplayCache()
        sent = []

        async def send():
            sent.append(1)
            raise problems.Problem(503, 'Not run', problems.NOT_RUN)

        for _ in range(2):
            with self.assertRaises(problems.Problem):
                await cache.run('k', 'f', send, 0)
        self.assertEqual(2, len(sent))


ORDER = catalogue.Workload.model_validate(
    {
        'owner': 'a',
        'class': 'latency-critical',
        'service': 'planning',
        'idempotent': 'no',
        'cores': 1,
        'memory-gb': 1,
    }
)


class OnceFailingLinks:
    """Fails the first attempt, answers others; settles as unknown."""

    def __init__(self, error: Exception) -> None:
        self.executed: list[str] = []
        self._error = error

    async def call(self, address, stub, method, message, timeout):
        if method == 'Settle':
            return control_pb2.ExecuteReply(
                verdict=control_pb2.UNKNOWN, reason='other incarnation'
            )
        self.executed.append(message.attempt)
        if len(self.executed) == 1:
            raise self._error
        return control_pb2.ExecuteReply(verdict=control_pb2.ANSWERED)


@contextlib.asynccontextmanager
async def open_path(links, store):
    """Open a quick path to two idle instances."""
    known_fleet = fleet.Fleet(3600.0)
    for name in ('one', 'two'):
        known_fleet.note_report(
            control_pb2.SidecarReport(
                instance=name, service='planning', slots=8
            )
        )
    async with quick.QuickPath(
        known_fleet,
        links,
        revisions.View(),
        'zone',
        random.Random(1),
        claims.Claims(store),
    ) as path:
        yield path


class SecondAttemptTest(base.TestCase):
    async def assert_unknown(self, links, store, key='') -> None:
        """Check that an order ends as unknown after one attempt."""
        deadline = time.monotonic() + 60
        request = sending.QuickRequest(
            'r', 'order', ORDER, b'', '', deadline, key
        )
        async with open_path(links, store) as path:
            with self.assertRaises(problems.Problem) as caught:
                await path.send(request)
        self.assertEqual(problems.UNKNOWN, caught.exception.work)
        self.assertEqual(1, len(links.executed))

    async def test_order_whose_answer_is_lost_is_not_sent_again(self):
        """An order without a key runs twice.

        Its answer is lost and the sidecar that knew its outcome has been
        replaced. Another instance has free capacity.
        """
        links = OnceFailingLinks(exceptions.LinkLost('lost'))
        await self.assert_unknown(links, memory.MemoryStore())

    async def test_joined_claim_without_a_connection_does_not_move(self):
        """An order with a key runs twice.

        One entry has claimed the key and sent the order to a sidecar
        that then ended. Another entry joins the claim and cannot
        connect: its copy was not sent, but the first may have run.
        """
        store = memory.MemoryStore()
        fingerprint = claims.compute_fingerprint(b'')
        existing_claim = claims.Claim(
            'a', 'one', 'first', 'one:1', 5, fingerprint
        )
        await claims.Claims(store).acquire('a/order/k', existing_claim)
        links = OnceFailingLinks(exceptions.LinkRefused('refused'))
        await self.assert_unknown(links, store, 'k')
        self.assertEqual(['a'], links.executed)
