from persimmonsail import control_pb2
from persimmonsail.sidecars import attempts
from tests import base


def answer(body: bytes = b'yes') -> control_pb2.ExecuteReply:
    return control_pb2.ExecuteReply(verdict=control_pb2.ANSWERED, body=body)


class AttemptTableTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100_000

    def make_table(self, **options) -> attempts.AttemptTable:
        return attempts.AttemptTable(
            window=10, clock=lambda: self.now, **options
        )

    async def test_delayed_copy_of_an_evicted_attempt_is_refused(self):
        """An order runs a second time a minute after its answer.

        A copy of its request is delayed for so long that the sidecar has
        evicted the attempt. The copy's issue time shows that it is old.
        """
        table = self.make_table()
        issued = self.now
        table.end(table.begin('a', issued), answer())
        while table.find('a') is not None:
            self.assertFalse(table.is_expired(issued) and table.find('a'))
            self.now += 1_000
            table.bar(f'other-{self.now}', self.now)
        self.assertTrue(table.is_expired(issued))

    async def test_early_eviction_refuses_earlier_requests(self):
        """A barred order runs after a burst of other attempts.

        The number of attempts makes the table evict records early; every
        request issued no later than those must be refused.
        """
        table = self.make_table(max_records=10)
        table.bar('barred', self.now)
        for number in range(10):
            self.now += 1
            table.bar(f'other-{number}', self.now)
        self.assertIsNone(table.find('barred'))
        self.assertTrue(table.is_expired(100_000))
        self.assertFalse(table.is_expired(self.now))

    async def test_request_of_another_clock_is_refused(self):
        self.assertTrue(self.make_table().is_expired(self.now + 1))

    async def test_running_attempt_is_never_evicted(self):
        table = self.make_table(max_records=1)
        table.begin('long', self.now)
        for _ in range(20):
            self.now += 5_000
            table.bar(f'other-{self.now}', self.now)
        self.assertIsNotNone(table.find('long'))

    async def test_answers_beyond_the_limit_become_unknown(self):
        table = self.make_table(max_bytes=10)
        for name in ('a', 'b', 'c'):
            table.end(table.begin(name, self.now), answer(b'12345'))
        self.assertEqual(
            [
                control_pb2.UNKNOWN,
                control_pb2.ANSWERED,
                control_pb2.ANSWERED,
            ],
            [table.find(name).reply.verdict for name in ('a', 'b', 'c')],
        )
