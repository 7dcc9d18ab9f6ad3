"""Guards of the ledger and of admission."""

from tools import guard

_LEDGER = 'src/persimmonsail/bookkeeping/ledger.py'
_LEDGER_TESTS = ('tests/bookkeeping/test_ledger.py',)

GUARDS = [
    guard.Guard(
        'position compare-and-swap',
        'I2',
        _LEDGER,
        'revision = await self._store.put(key, text, expected)',
        'revision = await self._store.put(key, text)',
        _LEDGER_TESTS,
    ),
    guard.Guard(
        'batch id comparison',
        'I2',
        _LEDGER,
        'if found and records.load_batch(found.value).id == batch.id:',
        'if found:',
        _LEDGER_TESTS,
    ),
    guard.Guard(
        'hash chain',
        'I2',
        _LEDGER,
        'if batch.previous != self.hash:',
        'if False:',
        _LEDGER_TESTS,
    ),
    guard.Guard(
        'no gap in the chain',
        'I2',
        _LEDGER,
        'if batch.position != self.position + 1:',
        'if False:',
        _LEDGER_TESTS,
    ),
    guard.Guard(
        'snapshot ownership',
        'I2',
        _LEDGER,
        "raise exceptions.NotHolder('another holder wrote a snapshot')",
        'pass',
        _LEDGER_TESTS,
    ),
    guard.Guard(
        'capacity check',
        'I1',
        'src/persimmonsail/decisions/admission.py',
        'if not (self.total + size).fits(limit or self.capacity):',
        'if False:',
        ('tests/decisions/test_admission.py',),
    ),
    guard.Guard(
        'headroom',
        'I1',
        'src/persimmonsail/decisions/admission.py',
        'return _reduce(capacity, TASK_HEADROOM)',
        'return capacity',
        ('tests/decisions/test_admission.py',),
    ),
    guard.Guard(
        'one outcome a task',
        'I4',
        'src/persimmonsail/bookkeeping/tasks.py',
        '    if task.is_final or record.attempt != task.attempt:',
        '    if False:',
        ('tests/bookkeeping/test_tasks.py',),
    ),
    guard.Guard(
        'one release an attempt',
        'I3',
        'src/persimmonsail/bookkeeping/tasks.py',
        '    if not claimed or task.attempt != attempt:',
        '    if False:',
        ('tests/bookkeeping/test_tasks.py',),
    ),
    guard.Guard(
        'only finished tasks retire',
        'I6',
        'src/persimmonsail/bookkeeping/tasks.py',
        '        if not table.find(name).is_final:',
        '        if False:',
        ('tests/bookkeeping/test_tasks.py',),
    ),
]
