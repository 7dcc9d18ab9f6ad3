"""The guards of the catalogue: order, freshness, acceptance."""

from tools import guard

_REVISIONS = 'src/persimmonsail/revisions.py'
_REVISIONS_TESTS = ('tests/test_revisions.py',)
_PEERS = 'src/persimmonsail/peers.py'
_PEERS_TESTS = ('tests/test_peers.py',)

GUARDS = [
    guard.Guard(
        'revision comparison (entry)',
        'I9',
        _REVISIONS,
        'if head.revision <= max(self.revision, self.refused):',
        'if head.revision == self.revision:',
        _REVISIONS_TESTS,
    ),
    guard.Guard(
        'freshness stop (entry)',
        'I9',
        _REVISIONS,
        'return time.monotonic() - newest <= self._freshness',
        'return True',
        _REVISIONS_TESTS,
    ),
    guard.Guard(
        'freshness stop (sidecar)',
        'I9',
        'src/persimmonsail/instance.py',
        'if time.monotonic() - self.confirmed_at <= self.notice_limit:',
        'if True:',
        _PEERS_TESTS,
    ),
    guard.Guard(
        'higher revision is no evidence',
        'I9',
        _REVISIONS,
        """        if head.revision > self.revision:
            return False
""",
        '',
        _REVISIONS_TESTS,
    ),
    guard.Guard(
        'store that went back is no evidence',
        'I9',
        _REVISIONS,
        'if forked or went_back:',
        'if False:',
        _REVISIONS_TESTS,
    ),
    guard.Guard(
        'evidence counts from the question on',
        'I9',
        'src/persimmonsail/follower.py',
        'self._view.confirm(head, asked_at)',
        'self._view.confirm(head, time.monotonic())',
        _REVISIONS_TESTS,
    ),
    guard.Guard(
        'peer that has not read the store',
        'I9',
        _PEERS,
        'if not answer.established:',
        'if False:',
        _PEERS_TESTS,
    ),
    guard.Guard(
        'peer with a higher revision',
        'I9',
        _PEERS,
        'if answer is None or answer.revision > self._view.revision:',
        'if answer is None:',
        _PEERS_TESTS,
    ),
    guard.Guard(
        'peer that does not answer',
        'I9',
        _PEERS,
        'answer = self._answers.get(name)',
        """answer = self._answers.get(name)
            if answer is None:
                continue""",
        _PEERS_TESTS,
    ),
    guard.Guard(
        'catalogue compare-and-swap',
        'I9',
        'src/persimmonsail/catalogue_store.py',
        'revisions.HEAD_KEY, _dump_small(head), base.key_revision',
        'revisions.HEAD_KEY, _dump_small(head)',
        ('tests/test_commands.py',),
    ),
    guard.Guard(
        'edit without a base',
        'I9',
        'src/persimmonsail/commands.py',
        'if edited_from != base.head.revision:',
        'if False:',
        ('tests/test_commands.py',),
    ),
]
