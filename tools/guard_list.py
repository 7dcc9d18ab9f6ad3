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
_REVISIONS = 'src/persimmonsail/revisions.py'
_REVISIONS_TESTS = ('tests/test_revisions.py',)
_PEERS = 'src/persimmonsail/peers.py'
_PEERS_TESTS = ('tests/test_peers.py',)

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
    Guard(
        'revision comparison (entry)',
        'I9',
        _REVISIONS,
        'if head.revision <= max(self.revision, self.refused):',
        'if head.revision == self.revision:',
        _REVISIONS_TESTS,
    ),
    Guard(
        'freshness stop (entry)',
        'I9',
        _REVISIONS,
        'return time.monotonic() - newest <= self._freshness',
        'return True',
        _REVISIONS_TESTS,
    ),
    Guard(
        'freshness stop (sidecar)',
        'I9',
        'src/persimmonsail/instance.py',
        'if time.monotonic() - self.confirmed_at <= self.notice_limit:',
        'if True:',
        _PEERS_TESTS,
    ),
    Guard(
        'higher revision is no evidence',
        'I9',
        _REVISIONS,
        """        if head.revision > self.revision:
            return False
""",
        '',
        _REVISIONS_TESTS,
    ),
    Guard(
        'store that went back is no evidence',
        'I9',
        _REVISIONS,
        'if forked or went_back:',
        'if False:',
        _REVISIONS_TESTS,
    ),
    Guard(
        'evidence counts from the question on',
        'I9',
        'src/persimmonsail/follower.py',
        'self._view.confirm(head, asked_at)',
        'self._view.confirm(head, time.monotonic())',
        _REVISIONS_TESTS,
    ),
    Guard(
        'peer that has not read the store',
        'I9',
        _PEERS,
        'if not answer.established:',
        'if False:',
        _PEERS_TESTS,
    ),
    Guard(
        'peer with a higher revision',
        'I9',
        _PEERS,
        'if answer is None or answer.revision > self._view.revision:',
        'if answer is None:',
        _PEERS_TESTS,
    ),
    Guard(
        'peer that does not answer',
        'I9',
        _PEERS,
        'answer = self._answers.get(name)',
        """answer = self._answers.get(name)
            if answer is None:
                continue""",
        _PEERS_TESTS,
    ),
    Guard(
        'catalogue compare-and-swap',
        'I9',
        'src/persimmonsail/catalogue_store.py',
        'revisions.HEAD_KEY, _dump_small(head), base.key_revision',
        'revisions.HEAD_KEY, _dump_small(head)',
        ('tests/test_commands.py',),
    ),
    Guard(
        'edit without a base',
        'I9',
        'src/persimmonsail/commands.py',
        'if edited_from != base.head.revision:',
        'if False:',
        ('tests/test_commands.py',),
    ),
]
