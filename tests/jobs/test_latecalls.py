from unittest import mock

import testtools

from persimmonsail import exceptions
from persimmonsail.jobs import latecalls
from tests import base

NOW = 100.0
UNTIL = NOW + latecalls.LATE_CALL_SECONDS
KEY = ('a.0.0.0', 1)


class LateCallsTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.calls = latecalls.LateCalls()
        patch = mock.patch.object(latecalls.clock, 'read', lambda: NOW)
        patch.start()
        self.addCleanup(patch.stop)

    def raise_in(self, context, error):
        with testtools.ExpectedException(type(error)), context:
            raise error

    def test_a_start_without_an_answer_may_be_executed_for_a_while(self):
        self.raise_in(
            self.calls.send_start(KEY), exceptions.WorkerUnavailable('late')
        )
        with self.calls.send_start(KEY):
            pass
        self.assertEqual({KEY: UNTIL}, self.calls.list_starts(NOW))
        self.assertEqual({}, self.calls.list_starts(UNTIL))

    def test_a_call_that_was_not_sent_or_was_refused_is_not_late(self):
        for error in (
            exceptions.WorkerNotReached('refused'),
            exceptions.OrderRefused('old'),
        ):
            self.raise_in(self.calls.send_start(KEY), error)
            self.raise_in(self.calls.send_discard(), error)
        self.assertEqual({}, self.calls.list_starts(NOW))
        self.assertEqual(0.0, self.calls.find_discards_end(NOW))

    def test_a_call_that_is_being_sent_counts(self):
        with self.calls.send_start(KEY), self.calls.send_discard():
            self.assertEqual({KEY: UNTIL}, self.calls.list_starts(NOW))
            self.assertEqual(UNTIL, self.calls.find_discards_end(NOW))

    def test_later_boots_bar_starts_of_any_age(self):
        """A done task runs again: its start was executed after 10 s."""
        error = exceptions.WorkerUnavailable('late')
        self.raise_in(self.calls.send_start(KEY), error)
        later = latecalls.LateCalls()
        later.inherit(self.calls, UNTIL)
        self.assertEqual({}, later.list_starts(UNTIL))
        self.assertEqual({KEY: UNTIL}, later.list_all_starts(UNTIL))

    def test_overdue_starts_take_no_unbounded_memory(self):
        error = exceptions.WorkerUnavailable('late')
        for number in range(1500):
            self.raise_in(self.calls.send_start((KEY[0], number)), error)
        self.assertEqual(1500, len(self.calls.list_all_starts(NOW)))
        with mock.patch.object(latecalls.clock, 'read', lambda: UNTIL):
            self.raise_in(self.calls.send_start(KEY), error)
        starts = self.calls.list_all_starts(UNTIL)
        self.assertEqual(1001, len(starts))
        self.assertIn((KEY[0], 1499), starts)

    def test_later_boots_inherit_what_is_not_over(self):
        error = exceptions.WorkerUnavailable('late')
        self.raise_in(self.calls.send_start(KEY), error)
        self.raise_in(self.calls.send_discard(), error)
        for _ in range(2):
            earlier, self.calls = self.calls, latecalls.LateCalls()
            self.calls.inherit(earlier, NOW)
        self.assertEqual({KEY: UNTIL}, self.calls.list_starts(NOW))
        self.assertEqual(UNTIL, self.calls.find_discards_end(NOW))
