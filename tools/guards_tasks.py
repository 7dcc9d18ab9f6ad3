"""The guards of a task's one place: leases, epochs, incarnations."""

from tools import guard

_SUPERVISOR = 'src/persimmonsail/supervisor.py'
_SUPERVISOR_TESTS = (
    'tests/test_supervisor.py',
    'tests/test_supervisor_refusals.py',
)
_CONSENTS = 'src/persimmonsail/consents.py'
_CONSENTS_TESTS = ('tests/test_consents.py',)
_HOLDER_TESTS = ('tests/test_holder.py',)

GUARDS = [
    guard.Guard(
        'epoch check (sidecar)',
        'I2',
        _SUPERVISOR,
        'if epoch < highest:',
        'if False:',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'epoch check (worker)',
        'I2',
        'standins/worker.py',
        "if body['epoch'] < self._epochs.get(body['partition'], 0):",
        'if False:',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'epochs told to a restarted worker',
        'I2',
        _SUPERVISOR,
        'self._own.incarnation, self._epochs\n',
        'self._own.incarnation, {}\n',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'epochs learnt by a restarted sidecar',
        'I2',
        _SUPERVISOR,
        'self._epochs.update(view.epochs)',
        'pass',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'incarnation check of a start',
        'I2',
        _SUPERVISOR,
        """        if request.incarnation != self._own.incarnation:
            return 'other incarnation'
        if not self._accept_epoch""",
        '        if not self._accept_epoch',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'incarnation check of a renewal',
        'I2',
        _SUPERVISOR,
        """        if request.incarnation != self._own.incarnation:
            return 'other incarnation'
        wanted =""",
        '        wanted =',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'incarnation check (worker)',
        'I2',
        'standins/worker.py',
        "if body['incarnation'] != self._incarnation:",
        'if False:',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'ticket of a start',
        'I2',
        _SUPERVISOR,
        'if not self._is_granted(request):',
        'if False:',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'lease counts from its ticket (start)',
        'I2',
        _SUPERVISOR,
        """        until = request.ticket + request.lease_seconds
""",
        """        until = time.monotonic() + request.lease_seconds
""",
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'lease counts from its ticket (renewal)',
        'I2',
        _SUPERVISOR,
        'until=request.ticket + request.lease_seconds,',
        'until=time.monotonic() + request.lease_seconds,',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'worker refuses a start whose lease is over',
        'I2',
        'standins/worker.py',
        "if time.monotonic() >= body['until']:",
        'if False:',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'bar after the question (sidecar)',
        'I5',
        _SUPERVISOR,
        'if (request.task, request.attempt) in self._bars:',
        'if False:',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'bar after the question (worker)',
        'I5',
        'standins/worker.py',
        'if key in self._bars:',
        'if False:',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'boot check of a start',
        'I6',
        _SUPERVISOR,
        """        if request.boot != self._worker.boot:
            return 'the worker was restarted'
""",
        '',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'revision comparison (start at the sidecar)',
        'I9',
        _SUPERVISOR,
        'if request.revision < self._own.revision:',
        'if False:',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'freshness stop of a start',
        'I9',
        _SUPERVISOR,
        'if reason := self._own.find_staleness():',
        "if reason := '':",
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'leaving sidecar starts nothing',
        'I7',
        _SUPERVISOR,
        "return 'leaving' if self._own.leaving else ''",
        "return ''",
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'commitment of a start under way',
        'I1',
        _SUPERVISOR,
        'if name in active or name in self._unsettled:',
        'if name in active:',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'restarted sidecar commits what runs',
        'I1',
        _SUPERVISOR,
        'self._own.commitments.restore(name, size)',
        'pass',
        _SUPERVISOR_TESTS,
    ),
    guard.Guard(
        'lease margin',
        'I2',
        'src/persimmonsail/contacts.py',
        'return silence > self._lease_seconds + LEASE_MARGIN',
        'return silence > self._lease_seconds',
        _CONSENTS_TESTS,
    ),
    guard.Guard(
        'whole lease before a reassignment',
        'I2',
        'src/persimmonsail/contacts.py',
        'return silence > self._lease_seconds + LEASE_MARGIN',
        'return silence > LEASE_MARGIN',
        _CONSENTS_TESTS,
    ),
    guard.Guard(
        'earlier holders waited out',
        'I2',
        'src/persimmonsail/contacts.py',
        'since = max(since, contact.received_at)',
        'since = contact.received_at',
        _CONSENTS_TESTS,
    ),
    guard.Guard(
        'authority before a renewal',
        'I2',
        'src/persimmonsail/renewals.py',
        'if not self._holding.authority.is_valid:',
        'if False:',
        _HOLDER_TESTS,
    ),
    guard.Guard(
        'end of the store lease',
        'I2',
        _CONSENTS,
        'return not self.ended and time.monotonic() < self.until',
        'return not self.ended',
        _CONSENTS_TESTS,
    ),
    guard.Guard(
        'unanimous consent',
        'I2',
        _CONSENTS,
        """        if all(granted):
            self._consent_until""",
        """        if any(granted):
            self._consent_until""",
        _CONSENTS_TESTS,
    ),
    guard.Guard(
        'no consent against a fence',
        'I2',
        _CONSENTS,
        'if request.epoch < self._fences.get(request.partition, 0):',
        'if False:',
        _CONSENTS_TESTS,
    ),
    guard.Guard(
        'no consent by whoever holds',
        'I2',
        _CONSENTS,
        'if self._is_held(request.partition):',
        'if False:',
        _CONSENTS_TESTS,
    ),
    guard.Guard(
        'no consent with store contact',
        'I2',
        _CONSENTS,
        'if time.monotonic() - self.contact_at <= request.lost_seconds:',
        'if False:',
        _CONSENTS_TESTS,
    ),
    guard.Guard(
        'no consent by another process',
        'I2',
        _CONSENTS,
        'if request.id != self.id:',
        'if False:',
        _CONSENTS_TESTS,
    ),
    guard.Guard(
        'limit of an outage',
        'I2',
        _CONSENTS,
        """        if lost > self._outage_limit:
            return False
""",
        '',
        _CONSENTS_TESTS,
    ),
    guard.Guard(
        'restarted worker is no evidence of not run',
        'I6',
        'src/persimmonsail/endings.py',
        'if task.boot and task.boot == boot:',
        'if True:',
        _HOLDER_TESTS,
    ),
    guard.Guard(
        'build without a checkpoint is not run again',
        'I6',
        'src/persimmonsail/endings.py',
        'if checkpoint and not task.cancel_asked:',
        'if not task.cancel_asked:',
        _HOLDER_TESTS,
    ),
]
