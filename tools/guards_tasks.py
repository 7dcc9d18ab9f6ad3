"""Guards against running a task twice: tickets, epochs, incarnations."""

from tools import guard

_SUPERVISOR = 'src/persimmonsail/sidecars/supervisor.py'
_SUPERVISOR_TESTS = (
    'tests/sidecars/test_supervisor.py',
    'tests/sidecars/test_supervisor_refusals.py',
)

_AGENT = 'src/persimmonsail/jobs/agent.py'
_AGENT_TESTS = ('tests/jobs/test_agent.py',)
_RUNNER_TESTS = ('tests/platform/test_runner.py',)

GUARDS = [
    guard.Guard(
        "birth in a boot's name",
        'I2',
        'src/persimmonsail/jobs/boots.py',
        "    return f'{agent_id}{_SEPARATOR}{born_ms}'",
        '    return agent_id',
        ('tests/jobs/test_boots.py',),
    ),
    guard.Guard(
        'late starts barred at the next boot',
        'I2',
        _AGENT,
        '        self._bar_late_starts(incarnation, late_starts, now)',
        '        pass',
        _AGENT_TESTS,
    ),
    guard.Guard(
        'no work while ends may be discarded late',
        'I2',
        'src/persimmonsail/jobs/incarnation.py',
        'self.usable_at = self.late_calls.find_discards_end(now)',
        'self.usable_at = 0.0',
        _AGENT_TESTS,
    ),
    guard.Guard(
        "announced end of a boot that doesn't drain",
        'I2',
        _AGENT,
        'if born_ms and not incarnation.heartbeat.leaving:',
        'if False:',
        _AGENT_TESTS,
    ),
    guard.Guard(
        'ends discarded by short calls',
        'I2',
        'src/persimmonsail/jobs/orders.py',
        'discarded = 0 if wait else incarnation.undiscarded_end',
        'discarded = incarnation.undiscarded_end',
        ('tests/jobs/test_orders.py',),
    ),
    guard.Guard(
        'calls over confirmed connections',
        'I2',
        'src/persimmonsail/platform/runner.py',
        'timeout, peer=boot)',
        'timeout)',
        _RUNNER_TESTS,
    ),
    guard.Guard(
        'replies of another start',
        'I2',
        'src/persimmonsail/platform/runner.py',
        'if reply.born_ms and reply.born_ms != born_ms:',
        'if False:',
        _RUNNER_TESTS,
    ),
    guard.Guard(
        'lease counts from the ticket',
        'I2',
        'src/persimmonsail/sidecars/supervisor.py',
        '            until=self._find_lease_end(request),',
        '            until=time.monotonic() + request.lease_seconds,',
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'start only on a valid ticket',
        'I2',
        'src/persimmonsail/sidecars/supervisor.py',
        "            return 'the lease is over'",
        '            pass',
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        "ticket of the sidecar's own past",
        'I2',
        'src/persimmonsail/sidecars/supervisor.py',
        'is_valid = self._is_ticket_valid(request)',
        'is_valid = True',
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'worker refuses a lease that is over',
        'I2',
        'standins/worker.py',
        "            return 'the lease has lapsed'",
        '            pass',
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'worker keeps a lapsed lease lapsed',
        'I2',
        'standins/worker.py',
        ('        if time.monotonic() >= run.deadline:\n'),
        ('        if False:\n'),
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'epoch check in the sidecar',
        'I2',
        'src/persimmonsail/sidecars/supervisor.py',
        '        if epoch < highest:',
        '        if False:',
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'epoch check in the worker',
        'I2',
        'standins/worker.py',
        "        if body['epoch'] < self._epochs.get(body['partition'], 0):",
        '        if False:',
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'epochs survive a sidecar restart',
        'I2',
        'src/persimmonsail/sidecars/supervisor.py',
        '        self._epochs.update(view.epochs)',
        '        pass',
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'epochs survive a worker restart',
        'I2',
        'standins/worker.py',
        ('            self._note_epoch(int(partition), epoch)\n'),
        ('            pass\n'),
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'incarnation check of a start',
        'I2',
        'src/persimmonsail/sidecars/supervisor.py',
        (
            "            return 'other incarnation'\n"
            '        if not self._accept'
        ),
        ('            pass\n        if not self._accept'),
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'incarnation check of a renewal',
        'I2',
        'src/persimmonsail/sidecars/supervisor.py',
        ("            return 'other incarnation'\n        requested"),
        ('            pass\n        requested'),
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'incarnation check in the worker',
        'I1',
        'standins/worker.py',
        "        if body['incarnation'] != self._incarnation:",
        '        if False:',
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'attempt barred in the sidecar',
        'I5',
        'src/persimmonsail/sidecars/supervisor.py',
        "            return 'barred'",
        '            pass',
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'attempt barred in the worker',
        'I5',
        'standins/worker.py',
        "            return 'the attempt is barred'",
        '            pass',
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'start under way keeps its room',
        'I1',
        'src/persimmonsail/sidecars/supervisor.py',
        'if name in active or name in self._unsettled:',
        'if name in active:',
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'ended attempts kept until acknowledged',
        'I3',
        'standins/worker.py',
        'for task, attempt in acknowledged:',
        'for task, attempt in [(r.task, r.attempt) for r in [*map('
        'self._runs.get, [*self._runs])]]:',
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'acknowledged attempt never starts',
        'I6',
        'src/persimmonsail/sidecars/supervisor.py',
        (
            '        for key in ended:\n'
            '            self._bar(key, request.lease_seconds)'
        ),
        ('        for key in ended:\n            pass'),
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'start only at the claimed worker process',
        'I6',
        'src/persimmonsail/sidecars/supervisor.py',
        "            return 'the worker was restarted'",
        '            pass',
        ('tests/sidecars/test_supervisor.py',),
    ),
    guard.Guard(
        'absence counts for one worker process',
        'I6',
        'src/persimmonsail/partitioning/endings.py',
        '        if task.boot and task.boot == boot:',
        '        if True:',
        ('tests/partitioning/test_holder.py',),
    ),
    guard.Guard(
        'eviction without a checkpoint',
        'I6',
        'src/persimmonsail/partitioning/endings.py',
        '        if checkpoint and not task.cancel_asked:',
        '        if not task.cancel_asked:',
        ('tests/partitioning/test_holder.py',),
    ),
    guard.Guard(
        'contact only through a live worker',
        'I2',
        'src/persimmonsail/partitioning/renewals.py',
        'if reply.incarnation != self._find_incarnation(instance):',
        'if True:',
        ('tests/partitioning/test_holder.py',),
    ),
    guard.Guard(
        'authority before each renewal',
        'I2',
        'src/persimmonsail/partitioning/renewals.py',
        '        if not self._context.authority.is_valid:',
        '        if False:',
        ('tests/partitioning/test_holder.py',),
    ),
    guard.Guard(
        'later epoch ends the holder',
        'I2',
        'src/persimmonsail/partitioning/renewals.py',
        '        if reply.reason == reasons.LATER_EPOCH:',
        '        if False:',
        ('tests/partitioning/test_holder.py',),
    ),
    guard.Guard(
        'withdrawn proposal is not written',
        'I5',
        'src/persimmonsail/bookkeeping/commits.py',
        '            self._proposals.remove(proposal)',
        '            pass',
        ('tests/partitioning/test_holder.py',),
    ),
    guard.Guard(
        'doubled key is not reported as not run',
        'I5',
        'src/persimmonsail/partitioning/holder.py',
        '            if self._uncertain_submits[request.task] > 0:',
        '            if False:',
        ('tests/partitioning/test_holder.py',),
    ),
    guard.Guard(
        'record checked before its write',
        'I6',
        'src/persimmonsail/bookkeeping/ledger.py',
        ('        if problems:\n'),
        ('        if False:\n'),
        ('tests/bookkeeping/test_ledger.py',),
    ),
    guard.Guard(
        'ring waits for a snapshot',
        'I6',
        'src/persimmonsail/bookkeeping/ledger.py',
        '        while self.position + 1 - self._snapshot_position > SLOTS:',
        '        while False:',
        ('tests/bookkeeping/test_ledger.py',),
    ),
    guard.Guard(
        'lost snapshot answer',
        'I2',
        'src/persimmonsail/bookkeeping/ledger.py',
        '        self._uncertain_snapshots.add(records.hash_text(text))',
        '        pass',
        ('tests/bookkeeping/test_ledger.py',),
    ),
    guard.Guard(
        'leases end with the hand-over',
        'I2',
        'src/persimmonsail/partitioning/holder.py',
        (
            '        self._authority.release()\n'
            '        self.ready = False\n'
            '        self._committer.notify_changed()\n'
            '        seconds'
        ),
        (
            '        self.ready = False\n'
            '        self._committer.notify_changed()\n'
            '        seconds'
        ),
        ('tests/partitioning/test_holder.py',),
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
        'if self._own.leaving:',
        'if False:',
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
]
