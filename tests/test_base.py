from tests import base

_LOOP_LATE_LINE = 'time={} level=warning process={} event=loop-late seconds={}'


class LoopStallTest(base.TestCase):
    """Failures caused by machine load can be told from product faults."""

    def test_finds_the_longest_stall_of_each_process(self):
        lines = [
            _LOOP_LATE_LINE.format(1.0, 'entry-1', 0.3),
            _LOOP_LATE_LINE.format(2.0, 'entry-1', 12.5),
            _LOOP_LATE_LINE.format(3.0, 'side-1', 0.9),
            'time=4.0 level=info process=side-2 event=started task=a',
        ]
        stalls = base.find_longest_stalls(lines)
        self.assertEqual(
            {'entry-1': '12.5', 'side-1': '0.9'},
            {name: event['seconds'] for name, event in stalls.items()},
        )
        self.assertEqual('2.0', stalls['entry-1']['time'])
