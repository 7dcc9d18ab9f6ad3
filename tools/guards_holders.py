"""Guards of a partition's single holder: leases, consents, timeouts."""

from tools import guard

_CONSENTS = 'src/persimmonsail/partitioning/consents.py'
_CONSENTS_TESTS = ('tests/partitioning/test_consents.py',)

GUARDS = [
    guard.Guard(
        'consent is unanimous',
        'I2',
        'src/persimmonsail/partitioning/consents.py',
        ('        if all(granted):\n'),
        ('        if any(granted):\n'),
        ('tests/partitioning/test_consents.py',),
    ),
    guard.Guard(
        'consent of the listed process',
        'I2',
        'src/persimmonsail/partitioning/consents.py',
        '        if request.id != self.id:',
        '        if False:',
        ('tests/partitioning/test_consents.py',),
    ),
    guard.Guard(
        'no consent with store contact',
        'I2',
        'src/persimmonsail/partitioning/consents.py',
        "            return 'the store was reached'",
        '            pass',
        ('tests/partitioning/test_consents.py',),
    ),
    guard.Guard(
        'no consent for what is held',
        'I2',
        'src/persimmonsail/partitioning/consents.py',
        '        if self._is_held(request.partition):',
        '        if False:',
        ('tests/partitioning/test_consents.py',),
    ),
    guard.Guard(
        'no consent past a fence',
        'I2',
        'src/persimmonsail/partitioning/consents.py',
        '        if request.epoch < self._fences.get(request.partition, 0):',
        '        if False:',
        ('tests/partitioning/test_consents.py',),
    ),
    guard.Guard(
        'consents wait out behind a fence',
        'I2',
        'src/persimmonsail/partitioning/consents.py',
        '        fenced_at = time.monotonic() + self._promise_seconds',
        '        fenced_at = time.monotonic()',
        ('tests/partitioning/test_consents.py',),
    ),
    guard.Guard(
        'limit of an outage',
        'I2',
        'src/persimmonsail/partitioning/consents.py',
        '        if lost > self._outage_limit:',
        '        if False:',
        ('tests/partitioning/test_consents.py',),
    ),
    guard.Guard(
        'lost lease ends authority',
        'I2',
        'src/persimmonsail/partitioning/consents.py',
        '        if self._released or self._lease.ended:',
        '        if self._released:',
        ('tests/partitioning/test_consents.py',),
    ),
    guard.Guard(
        'promise is kept',
        'I2',
        'src/persimmonsail/partitioning/partitions.py',
        '            elif not self.promises.is_promised(partition):',
        '            else:',
        ('tests/partitioning/test_partitions.py',),
    ),
    guard.Guard(
        'silence counts from the takeover',
        'I2',
        'src/persimmonsail/partitioning/contacts.py',
        ('        since = others_expired_at\n'),
        ('        since = 0.0\n'),
        ('tests/partitioning/test_consents.py',),
    ),
    guard.Guard(
        'lease and margin before reassigning',
        'I2',
        'src/persimmonsail/partitioning/contacts.py',
        '        return silence > self._lease_seconds + LEASE_MARGIN_SECONDS',
        '        return silence > 0',
        ('tests/partitioning/test_consents.py',),
    ),
    guard.Guard(
        "predecessor's key is not one's own",
        'I2',
        'src/persimmonsail/partitioning/partitions.py',
        '        return self._holders.get(partition) == self._own',
        (
            '        found = self._holders.get(partition)\n'
            '        return found is not None and found.name == self._own.name'
        ),
        ('tests/partitioning/test_partitions.py',),
    ),
    guard.Guard(
        'each lease has its own end',
        'I2',
        'src/persimmonsail/partitioning/partitions.py',
        ('        self._lease.ended = True\n        for scope'),
        '        for scope',
        ('tests/partitioning/test_partitions.py',),
    ),
    guard.Guard(
        'one partition count',
        'I6',
        'src/persimmonsail/partitioning/partitions.py',
        '            if found == own:',
        '            if found:',
        ('tests/partitioning/test_partitions.py',),
    ),
    guard.Guard(
        'lease margin',
        'I2',
        'src/persimmonsail/partitioning/contacts.py',
        'return silence > self._lease_seconds + LEASE_MARGIN_SECONDS',
        'return silence > self._lease_seconds',
        _CONSENTS_TESTS,
    ),
    guard.Guard(
        'earlier holders waited out',
        'I2',
        'src/persimmonsail/partitioning/contacts.py',
        'since = max(since, contact.received_at)',
        'since = contact.received_at',
        _CONSENTS_TESTS,
    ),
    guard.Guard(
        'end of the store lease',
        'I2',
        _CONSENTS,
        'return not self.ended and time.monotonic() < self.until',
        'return not self.ended',
        _CONSENTS_TESTS,
    ),
]
