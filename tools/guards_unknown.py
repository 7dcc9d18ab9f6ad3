"""Guards against taking for absent what is not known."""

from tools import guard

_INCARNATION = 'src/persimmonsail/jobs/incarnation.py'
_REPORTS = 'src/persimmonsail/jobs/reports.py'
_MANDATE = 'src/persimmonsail/jobs/mandate.py'
_REMOVED_INSTANCES_TESTS = ('tests/test_removed_instances.py',)
_SILENT_AGENTS_TESTS = ('tests/test_silent_agents.py',)
_UNLISTED_ENDS_TESTS = ('tests/test_unlisted_ends.py',)

GUARDS = [
    guard.Guard(
        'a successor waits unless enough entries know its term',
        'I2',
        _MANDATE,
        'if len(informed) >= required:',
        'if True:',
        _REMOVED_INSTANCES_TESTS,
    ),
    guard.Guard(
        'a leader without the store needs most of the entries',
        'I2',
        _MANDATE,
        'required = len(electorate) // 2 + 1',
        'required = 1',
        _REMOVED_INSTANCES_TESTS,
    ),
    guard.Guard(
        'an entry that has restarted confirms no term it may have forgotten',
        'I2',
        'src/persimmonsail/jobs/terms.py',
        'return self.informed and self.epoch == epoch',
        'return self.epoch == epoch',
        ('tests/jobs/test_terms.py',),
    ),
    guard.Guard(
        'leases of an earlier process of a sidecar',
        'I2',
        _INCARNATION,
        'self.granted_until = max(now, earlier_leases_until)',
        'self.granted_until = now',
        _SILENT_AGENTS_TESTS,
    ),
    guard.Guard(
        'refusal of an outdated epoch counts as an answer',
        'I2',
        'src/persimmonsail/jobs/agent.py',
        'if error.reason == _EPOCH_REFUSED:',
        'if False:',
        _SILENT_AGENTS_TESTS,
    ),
    guard.Guard(
        'no stop of absent runs by a truncated list',
        'I2',
        _REPORTS,
        '        if report.truncated:\n            return\n',
        '',
        ('tests/jobs/test_reports.py',),
    ),
    guard.Guard(
        'a stop is settled by an end or a complete list',
        'I2',
        'src/persimmonsail/jobs/orders.py',
        '        await self._wait_outcome(incarnation, key)\n',
        '',
        _UNLISTED_ENDS_TESTS,
    ),
    guard.Guard(
        'a full list of ends is marked as truncated',
        'I2',
        'src/persimmonsail/platform/runner.py',
        'truncated=len(self.finished) >= _MAX_ENDS_LISTED',
        'truncated=False',
        ('tests/platform/test_runner.py',),
    ),
    guard.Guard(
        'late starts barred whatever their age',
        'I2',
        'src/persimmonsail/jobs/latecalls.py',
        'self._starts.update(earlier.list_all_starts(now))',
        'self._starts.update(earlier.list_starts(now))',
        ('tests/jobs/test_latecalls.py',),
    ),
]
