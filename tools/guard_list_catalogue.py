"""The guards that the proof of I9 relies on."""

from tools import guard

_SOURCE = 'src/persimmonsail/'
_REVISIONS = ('tests/catalogues/test_revisions.py',)
_PEERS = ('tests/partitioning/test_peers.py',)
_COMMANDS = ('tests/operators/test_commands.py',)


def _make_guard(
    name: str,
    file: str,
    pattern: str,
    replacement: str,
    tests: tuple[str, ...],
) -> guard.Guard:
    return guard.Guard(name, 'I9', _SOURCE + file, pattern, replacement, tests)


GUARDS = [
    _make_guard(
        'revision comparison',
        'catalogues/revisions.py',
        'if head.revision <= max(self.revision, self.unreadable_revision):',
        'if False:',
        _REVISIONS,
    ),
    _make_guard(
        'freshness bound',
        'catalogues/revisions.py',
        'return time.monotonic() - self.evidence_at <= self._freshness',
        'return True',
        _REVISIONS,
    ),
    _make_guard(
        'unreadable catalogue',
        'catalogues/revisions.py',
        'self.unreadable_revision = head.revision\n',
        'pass\n',
        _REVISIONS,
    ),
    _make_guard(
        'store that went back',
        'catalogues/revisions.py',
        'if forked or reverted:',
        'if False:',
        _REVISIONS,
    ),
    _make_guard(
        'evidence from the question on',
        'catalogues/follower.py',
        'self._view.confirm(head, asked_at)',
        'self._view.confirm(head, time.monotonic())',
        _REVISIONS,
    ),
    _make_guard(
        "age of a peer's evidence",
        'partitioning/peers.py',
        'at = asked_at - reply.store_age_seconds',
        'at = asked_at',
        _PEERS,
    ),
    _make_guard(
        'agreement of all peers',
        'partitioning/peers.py',
        'if answer is None or answer.revision > self._view.revision:\n'
        '                return -math.inf',
        'if answer is None:\n                continue',
        _PEERS,
    ),
    _make_guard(
        'restarted peer',
        'partitioning/peers.py',
        'if not answer.established:',
        'if False:',
        _PEERS,
    ),
    _make_guard(
        'word of a fresh entry',
        'sidecars/instance.py',
        'if time.monotonic() - self.confirmed_at <= self.max_evidence_age:',
        'if True:',
        _PEERS,
    ),
    _make_guard(
        'evidence younger than the sidecar',
        'sidecars/instance.py',
        'if evidence_at >= self.started_at:',
        'if True:',
        _PEERS,
    ),
    _make_guard(
        'revision check of quick requests',
        'sidecars/execution.py',
        'if request.revision < self._own.revision:',
        'if False:',
        _PEERS,
    ),
    _make_guard(
        'revision check of tasks',
        'sidecars/supervisor.py',
        'if request.revision < self._own.revision:',
        'if False:',
        _PEERS,
    ),
    _make_guard(
        'holder without evidence',
        'partitioning/forwarding.py',
        'return view.find_staleness()',
        "return ''",
        ('tests/partitioning/test_forwarding.py',),
    ),
    _make_guard(
        'known task is accepted',
        'partitioning/forwarding.py',
        'if request.task in holder.table.tasks:',
        'if False:',
        ('tests/partitioning/test_forwarding.py',),
    ),
    _make_guard(
        'catalogue compare-and-swap',
        'catalogues/catalogue_store.py',
        '_dump_without_text(head), base.key_revision',
        '_dump_without_text(head)',
        _COMMANDS,
    ),
    _make_guard(
        'lost answer of the swap',
        'catalogues/catalogue_store.py',
        'if not await self._resolve(head):',
        'if True:',
        _COMMANDS,
    ),
    _make_guard(
        'base revision of an edit',
        'operators/commands.py',
        'if edited_from != base.head.revision:',
        'if False:',
        _COMMANDS,
    ),
    guard.Guard(
        'higher revision is no evidence',
        'I9',
        'src/persimmonsail/catalogues/revisions.py',
        """        if head.revision > self.revision:
            return False
""",
        '',
        _REVISIONS,
    ),
    guard.Guard(
        'peer that does not answer',
        'I9',
        'src/persimmonsail/partitioning/peers.py',
        'answer = self._answers.get(name)',
        """answer = self._answers.get(name)
            if answer is None:
                continue""",
        _PEERS,
    ),
]
