"""Guards of quick requests: attempts, idempotency keys, shutdown."""

from tools import guard

_EXECUTION = 'src/persimmonsail/sidecars/execution.py'
_EXECUTION_TESTS = ('tests/sidecars/test_execution.py',)
_CLAIMS = 'src/persimmonsail/callers/claims.py'
_QUICK_TESTS = ('tests/callers/test_quick.py',)

GUARDS = [
    guard.Guard(
        'attempt bar at settlement',
        'I5',
        _EXECUTION,
        'return self._attempts.bar(request.attempt, request.issued_ms)',
        "return _refuse_unrecorded(control_pb2.ExecuteRequest(), 'barred')",
        _EXECUTION_TESTS,
    ),
    guard.Guard(
        'attempt bar at refusal',
        'I5',
        _EXECUTION,
        'reply = self._attempts.bar('
        'request.attempt, request.issued_ms, reason)',
        'reply = _refuse_unrecorded(request, reason)',
        _EXECUTION_TESTS,
    ),
    guard.Guard(
        'age of a request',
        'I6',
        _EXECUTION,
        'if expired:\n            return _refuse_unrecorded(',
        'if False:\n            return _refuse_unrecorded(',
        _EXECUTION_TESTS,
    ),
    guard.Guard(
        'age of a settled attempt',
        'I5',
        _EXECUTION,
        'if self._attempts.is_expired(request.issued_ms):\n'
        '                return',
        'if False:\n                return',
        _EXECUTION_TESTS,
    ),
    guard.Guard(
        'incarnation of a request',
        'I6',
        _EXECUTION,
        'if request.incarnation != self._own.incarnation:\n'
        '            return _refuse_unrecorded(',
        'if False:\n            return _refuse_unrecorded(',
        _EXECUTION_TESTS,
    ),
    guard.Guard(
        'incarnation of a settlement',
        'I5',
        _EXECUTION,
        'if request.incarnation != self._own.incarnation:\n'
        '            return _make_unknown_reply(',
        'if False:\n            return _make_unknown_reply(',
        _EXECUTION_TESTS,
    ),
    guard.Guard(
        'unknown for a request sent before',
        'I5',
        _EXECUTION,
        'if request.resent:',
        'if False:',
        _EXECUTION_TESTS,
    ),
    guard.Guard(
        'one run for one attempt',
        'I6',
        _EXECUTION,
        'known = self._attempts.find(request.attempt)\n'
        '        if known is not None:\n'
        '            await known.ended.wait()',
        'known = None\n'
        '        if known is not None:\n'
        '            await known.ended.wait()',
        _EXECUTION_TESTS,
    ),
    guard.Guard(
        'floor under forgotten attempts',
        'I6',
        'src/persimmonsail/sidecars/attempts.py',
        'self._floor_ms = max(self._floor_ms, attempt.issued_ms)',
        'pass',
        ('tests/sidecars/test_attempts.py',),
    ),
    guard.Guard(
        'slots and connections',
        'I1',
        _EXECUTION,
        'return min(settings.slots, connections)',
        'return settings.slots',
        _EXECUTION_TESTS,
    ),
    guard.Guard(
        'leaving backend server',
        'I7',
        _EXECUTION,
        'if self._own.backend_leaving:',
        'if False:',
        _EXECUTION_TESTS,
    ),
    guard.Guard(
        'leaving instance',
        'I7',
        _EXECUTION,
        'if self._own.leaving:',
        'if False:',
        _EXECUTION_TESTS,
    ),
    guard.Guard(
        'claim made only if absent',
        'I6',
        _CLAIMS,
        'self._store.put(path, value, expected, lease)',
        'self._store.put(path, value, None, lease)',
        _QUICK_TESTS,
    ),
    guard.Guard(
        'claim marked as joined',
        'I6',
        _CLAIMS,
        'claim = dataclasses.replace(existing_claim, joined=True)',
        'claim = existing_claim',
        _QUICK_TESTS,
    ),
    guard.Guard(
        'unknown where a joined claim has no connection',
        'I6',
        'src/persimmonsail/callers/sending.py',
        'if not claim.joined:',
        'if True:',
        (
            'tests/callers/test_quick.py::SecondAttemptTest'
            '::test_joined_claim_without_a_connection_does_not_move',
        ),
    ),
    guard.Guard(
        'no second attempt at a non-idempotent request',
        'I6',
        'src/persimmonsail/callers/quick.py',
        'if not request.limits.idempotent:\n'
        '                    raise _make_unknown(reply.reason)',
        'if False:\n                    raise _make_unknown(reply.reason)',
        (
            'tests/callers/test_quick.py::SecondAttemptTest'
            '::test_order_whose_answer_is_lost_is_not_sent_again',
        ),
    ),
    guard.Guard(
        'probe of a silent link',
        'I4',
        'src/persimmonsail/links.py',
        "logs.write_event('link-silent', address=self.address)\n"
        '            self.lost.set()',
        'pass',
        ('tests/test_links.py',),
    ),
    guard.Guard(
        'late report',
        'I7',
        'src/persimmonsail/decisions/fleet.py',
        'if before is not None and _is_late(report, before):',
        'if False:',
        ('tests/decisions/test_fleet.py',),
    ),
    guard.Guard(
        'one connection for one request',
        'I4',
        'src/persimmonsail/sidecars/backends.py',
        'max_keepalive_connections=0',
        'max_keepalive_connections=connections',
        (
            'tests/test_quick_processes.py::SilentLinkTest'
            '::test_silent_backend_connections_delay_no_new_request',
        ),
    ),
    guard.Guard(
        'whole answers only',
        'I4',
        'src/persimmonsail/sidecars/backends.py',
        'if len(received) > self._max_answer_bytes:',
        'if False:',
        (
            'tests/test_quick_processes.py::OutOfOrderTest'
            '::test_truncated_or_oversized_answer_is_never_passed_on',
        ),
    ),
    guard.Guard(
        'waits end when a stop begins',
        'I8',
        'src/persimmonsail/shutdown.py',
        'await self.begun.wait()\n'
        '                group.cancel_scope.cancel()\n'
        '        if errors:',
        'await anyio.sleep_forever()\n        if errors:',
        (
            'tests/test_quick_stops.py::GracefulStopTest'
            '::test_waiting_caller_is_answered_when_its_entry_stops',
        ),
    ),
    guard.Guard(
        'a stopping entry asks to close connections',
        'I8',
        'src/persimmonsail/shutdown.py',
        "headers.append((b'connection', b'close'))",
        'pass',
        ('tests/test_quick_stops.py::StopInFlightTest',),
    ),
    guard.Guard(
        'a fresh entry is not ready before its sidecars',
        'I8',
        'src/persimmonsail/callers/entry.py',
        'if not self.fleet.list_live() and time.monotonic() < self._warm_at:',
        'if False:',
        ('tests/test_quick_stops.py::RollingReplacementTest',),
    ),
]
