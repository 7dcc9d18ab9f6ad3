from persimmonsail import exceptions
from persimmonsail import settings
from tests import base

VALID = """\
[process]
name = entry-1
region = piedmont
zone = piedmont-a

[store]
address = 127.0.0.1:4000
"""

INVALID = """\
[process]
name = entry 1
region = piedmont
colour = red

[stoer]
address = 127.0.0.1:4000
"""


class SettingsTest(base.TestCase):
    def test_reads_a_file(self):
        found = settings.parse('entry.ini', VALID, 'entry')
        self.assertEqual('piedmont-a', found.process.zone)
        self.assertEqual('127.0.0.1:4000', found.store.address)

    def test_reports_every_finding_with_its_location(self):
        error = self.assertRaises(
            exceptions.InvalidInput, settings.parse, 'e.ini', INVALID, 'entry'
        )
        texts = [str(finding) for finding in error.exceptions]
        starts = (
            'e.ini:2 [process] name: ',
            'e.ini:1 [process] zone: ',
            'e.ini:4 [process] colour: ',
            'e.ini:6 [stoer]: unknown section; allowed: process, store',
            'e.ini [store]: section is missing; the entry role needs it',
        )
        for start in starts:
            self.assertTrue(any(text.startswith(start) for text in texts))
        self.assertEqual(len(starts), len(texts))

    def test_port_out_of_range_is_a_finding(self):
        """A role passes ``check`` and crashes when it opens its port."""
        text = VALID.replace(':4000', ':65536')
        error = self.assertRaises(
            exceptions.InvalidInput, settings.parse, 'e.ini', text, 'entry'
        )
        (finding,) = error.exceptions
        self.assertIn('e.ini:7 [store] address: ', str(finding))
        self.assertIn('65535', str(finding))

    def test_wildcard_address_requires_an_advertised_one(self):
        """No entry can reach a running sidecar.

        It announces the wildcard address that it listens on, and every
        entry that receives it connects to its own host.
        """
        for control in ('0.0.0.0:4101', '[::]:4101'):
            text = VALID.replace('region =', f'control = {control}\nregion =')
            error = self.assertRaises(
                exceptions.InvalidInput, settings.parse, 'e.ini', text, 'entry'
            )
            (finding,) = error.exceptions
            self.assertIn('e.ini:3 [process] control: ', str(finding))
            advertised = text.replace(
                'region =', 'control-advertised = 10.0.0.1:4101\nregion ='
            )
            settings.parse('e.ini', advertised, 'entry')
