"""The guards that the proofs lean on, and the tests that need them."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Guard:
    """One guard: where it stands, and the source without it.

    ``pattern`` stands exactly once in ``file``; ``replacement`` is the
    same place with the guard taken out.
    """

    name: str
    invariant: str
    file: str
    pattern: str
    replacement: str
    tests: tuple[str, ...]


_LEDGER = 'src/persimmonsail/ledger.py'
_LEDGER_TESTS = ('tests/test_ledger.py',)

GUARDS = [
    Guard(
        'position compare-and-swap',
        'I2',
        _LEDGER,
        'revision = await self._store.put(key, text, expected)',
        'revision = await self._store.put(key, text)',
        _LEDGER_TESTS,
    ),
    Guard(
        'batch id comparison',
        'I2',
        _LEDGER,
        'if found and records.load_batch(found.value).id == batch.id:',
        'if found:',
        _LEDGER_TESTS,
    ),
    Guard(
        'hash chain',
        'I2',
        _LEDGER,
        'if batch.previous != self.hash:',
        'if False:',
        _LEDGER_TESTS,
    ),
    Guard(
        'no gap in the chain',
        'I2',
        _LEDGER,
        'if batch.position != self.position + 1:',
        'if False:',
        _LEDGER_TESTS,
    ),
    Guard(
        'snapshot ownership',
        'I2',
        _LEDGER,
        "raise exceptions.NotHolder('another holder wrote a snapshot')",
        'pass',
        _LEDGER_TESTS,
    ),
    Guard(
        'capacity check',
        'I1',
        'src/persimmonsail/admission.py',
        'if not (self.total + size).fits(limit or self.capacity):',
        'if False:',
        ('tests/test_admission.py',),
    ),
    Guard(
        'headroom',
        'I1',
        'src/persimmonsail/admission.py',
        'capacity.cores * (1 - HEADROOM),',
        'capacity.cores,',
        ('tests/test_admission.py',),
    ),
]
