from persimmonsail.jobs import evacuations
from tests import base

PREFIX = 'zones/closed/'


class EvacuationsTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.evacuations = evacuations.Evacuations(PREFIX)

    def apply_change(self, zone, present, revision):
        self.evacuations.apply_change(PREFIX + zone, present, revision)

    def test_zones_are_evacuated_and_reopened(self):
        self.apply_change('a', True, 5)
        self.apply_change('b', True, 6)
        self.assertEqual({'a', 'b'}, self.evacuations.zones)
        self.apply_change('a', False, 7)
        self.assertEqual({'b'}, self.evacuations.zones)

    def test_a_scan_replaces_what_was_known(self):
        """Guards against a zone that stays evacuated after a missed change."""
        self.apply_change('a', True, 5)
        self.evacuations.apply_scan([PREFIX + 'b', 'zones/other'], 9)
        self.assertEqual({'b'}, self.evacuations.zones)

    def test_what_is_older_is_ignored(self):
        """Guards against delayed answers that reopen an evacuated zone."""
        self.apply_change('a', True, 5)
        self.evacuations.apply_scan([], 4)
        self.apply_change('a', False, 3)
        self.assertEqual({'a'}, self.evacuations.zones)
        self.evacuations.apply_scan([], 8)
        self.apply_change('a', True, 5)
        self.assertEqual(set(), self.evacuations.zones)

    def test_changes_of_one_transaction_are_all_applied(self):
        self.apply_change('a', True, 5)
        self.apply_change('b', True, 5)
        self.assertEqual({'a', 'b'}, self.evacuations.zones)

    def test_other_keys_are_ignored(self):
        for key in ('zones/closed', PREFIX, 'jobs/a', ''):
            self.evacuations.apply_change(key, True, 5)
        self.evacuations.apply_scan([PREFIX], 6)
        self.assertEqual(set(), self.evacuations.zones)

    def test_markers_are_found_again(self):
        markers = self.evacuations.list_markers({'b', 'a', ''})
        self.assertEqual([PREFIX + 'a', PREFIX + 'b'], markers)
        self.assertEqual('a', self.evacuations.find_zone(markers[0]))

    def test_without_a_prefix_no_zone_is_evacuated(self):
        unmarked = evacuations.Evacuations()
        unmarked.apply_change('a', True, 5)
        self.assertEqual(set(), unmarked.zones)
        self.assertEqual([], unmarked.list_markers({'a'}))
