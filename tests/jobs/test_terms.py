from unittest import mock

from persimmonsail.jobs import clock
from persimmonsail.jobs import terms
from tests import base


class TermsTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.terms = terms.Terms()

    def test_an_entry_confirms_the_latest_term_only(self):
        """Two leaders extend leases, confirmed by the same entry."""
        self.terms.note_stored(7)
        self.assertTrue(self.terms.answer(7).confirms(7))
        self.assertTrue(self.terms.answer(9).confirms(9))
        self.assertFalse(self.terms.answer(7).confirms(7))
        # A delayed read of the store does not take it back.
        self.terms.note_stored(7)
        self.assertFalse(self.terms.answer(7).confirms(7))

    def test_an_entry_that_has_restarted_confirms_nobody_at_first(self):
        """A restarted entry confirms a term although it knew a later one."""
        self.assertFalse(self.terms.answer(7).confirms(7))
        self.terms.note_stored(7)
        self.assertTrue(self.terms.answer(7).confirms(7))

    def test_entries_that_ask_no_more_are_followers_no_more(self):
        """Entries that are gone for good make up the majority."""
        with mock.patch.object(clock, 'read', return_value=100.0):
            self.terms.answer(7, 'entry-1')
            self.assertEqual(['entry-1'], [*self.terms.list_followers()])
        with mock.patch.object(clock, 'read', return_value=131.0):
            self.assertEqual([], [*self.terms.list_followers()])
