from tests import base

_LINE = 'time={} level=warning process={} event=loop-late seconds={}'


class StandstillTest(base.TestCase):
    """A failure beside load is told from one of the product."""

    def test_the_longest_of_each_process_is_found(self):
        lines = [
            _LINE.format(1.0, 'entry-1', 0.3),
            _LINE.format(2.0, 'entry-1', 12.5),
            _LINE.format(3.0, 'side-1', 0.9),
            'time=4.0 level=info process=side-2 event=started task=a',
        ]
        found = base.find_standstills(lines)
        self.assertEqual(
            {'entry-1': '12.5', 'side-1': '0.9'},
            {name: event['seconds'] for name, event in found.items()},
        )
        self.assertEqual('2.0', found['entry-1']['time'])
