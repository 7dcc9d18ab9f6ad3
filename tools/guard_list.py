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
_EXECUTION = 'src/persimmonsail/execution.py'
_EXECUTION_TESTS = ('tests/test_execution.py',)
_CLAIMS = 'src/persimmonsail/claims.py'
_QUICK_TESTS = ('tests/test_quick.py',)

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
        'lease counts from the ticket',
        'I2',
        'src/persimmonsail/supervisor.py',
        '            until=self._find_end(request),',
        '            until=time.monotonic() + request.lease_seconds,',
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'start only on a valid ticket',
        'I2',
        'src/persimmonsail/supervisor.py',
        "            return 'the lease is over'",
        '            pass',
        ('tests/test_supervisor.py',),
    ),
    Guard(
        "ticket of the sidecar's own past",
        'I2',
        'src/persimmonsail/supervisor.py',
        'granted = self._is_granted(request)',
        'granted = True',
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'worker refuses a lease that is over',
        'I2',
        'standins/worker.py',
        "            return 'the lease has lapsed'",
        '            pass',
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'worker keeps a lapsed lease lapsed',
        'I2',
        'standins/worker.py',
        ('        if time.monotonic() >= run.deadline:\n'),
        ('        if False:\n'),
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'epoch check in the sidecar',
        'I2',
        'src/persimmonsail/supervisor.py',
        '        if epoch < highest:',
        '        if False:',
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'epoch check in the worker',
        'I2',
        'standins/worker.py',
        "        if body['epoch'] < self._epochs.get(body['partition'], 0):",
        '        if False:',
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'epochs survive a sidecar restart',
        'I2',
        'src/persimmonsail/supervisor.py',
        '        self._epochs.update(view.epochs)',
        '        pass',
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'epochs survive a worker restart',
        'I2',
        'standins/worker.py',
        ('            self._note_epoch(int(partition), epoch)\n'),
        ('            pass\n'),
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'incarnation check of a start',
        'I2',
        'src/persimmonsail/supervisor.py',
        (
            "            return 'other incarnation'\n"
            '        if not self._accept'
        ),
        ('            pass\n        if not self._accept'),
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'incarnation check of a renewal',
        'I2',
        'src/persimmonsail/supervisor.py',
        ("            return 'other incarnation'\n        wanted"),
        ('            pass\n        wanted'),
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'incarnation check in the worker',
        'I1',
        'standins/worker.py',
        "        if body['incarnation'] != self._incarnation:",
        '        if False:',
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'attempt barred in the sidecar',
        'I5',
        'src/persimmonsail/supervisor.py',
        "            return 'barred'",
        '            pass',
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'attempt barred in the worker',
        'I5',
        'standins/worker.py',
        "            return 'the attempt is barred'",
        '            pass',
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'start under way keeps its room',
        'I1',
        'src/persimmonsail/supervisor.py',
        'if name in active or name in self._unsettled:',
        'if name in active:',
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'ended attempts kept until acknowledged',
        'I3',
        'standins/worker.py',
        'for task, attempt in acknowledged:',
        'for task, attempt in [(r.task, r.attempt) for r in [*map('
        'self._runs.get, [*self._runs])]]:',
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'acknowledged attempt never starts',
        'I6',
        'src/persimmonsail/supervisor.py',
        (
            '        for key in ended:\n'
            '            self._bar(key, request.lease_seconds)'
        ),
        ('        for key in ended:\n            pass'),
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'start only at the claimed worker process',
        'I6',
        'src/persimmonsail/supervisor.py',
        "            return 'the worker was restarted'",
        '            pass',
        ('tests/test_supervisor.py',),
    ),
    Guard(
        'absence counts for one worker process',
        'I6',
        'src/persimmonsail/endings.py',
        '        if task.boot and task.boot == boot:',
        '        if True:',
        ('tests/test_holder.py',),
    ),
    Guard(
        'eviction without a checkpoint',
        'I6',
        'src/persimmonsail/endings.py',
        '        if checkpoint and not task.cancel_asked:',
        '        if not task.cancel_asked:',
        ('tests/test_holder.py',),
    ),
    Guard(
        'contact only through a live worker',
        'I2',
        'src/persimmonsail/renewals.py',
        'if reply.incarnation != self._find_incarnation(instance):',
        'if True:',
        ('tests/test_holder.py',),
    ),
    Guard(
        'authority before each renewal',
        'I2',
        'src/persimmonsail/renewals.py',
        '        if not self._holding.authority.is_valid:',
        '        if False:',
        ('tests/test_holder.py',),
    ),
    Guard(
        'later epoch ends the holder',
        'I2',
        'src/persimmonsail/renewals.py',
        '        if reply.reason == _LATER_EPOCH:',
        '        if False:',
        ('tests/test_holder.py',),
    ),
    Guard(
        'withdrawn proposal is not written',
        'I5',
        'src/persimmonsail/commits.py',
        '            self._proposals.remove(proposal)',
        '            pass',
        ('tests/test_holder.py',),
    ),
    Guard(
        'doubled key is not reported as not run',
        'I5',
        'src/persimmonsail/holder.py',
        '            if self._unsettled[request.task] > 0:',
        '            if False:',
        ('tests/test_holder.py',),
    ),
    Guard(
        'record checked before its write',
        'I6',
        'src/persimmonsail/ledger.py',
        ('        if problems:\n'),
        ('        if False:\n'),
        ('tests/test_ledger.py',),
    ),
    Guard(
        'ring waits for a snapshot',
        'I6',
        'src/persimmonsail/ledger.py',
        '        while self.position + 1 - self._snapshot_position > SLOTS:',
        '        while False:',
        ('tests/test_ledger.py',),
    ),
    Guard(
        'lost snapshot answer',
        'I2',
        'src/persimmonsail/ledger.py',
        '        self._uncertain_snapshots.add(records.hash_text(text))',
        '        pass',
        ('tests/test_ledger.py',),
    ),
    Guard(
        'one outcome a task',
        'I4',
        'src/persimmonsail/tasks.py',
        '    if task.is_final or record.attempt != task.attempt:',
        '    if False:',
        ('tests/test_tasks.py',),
    ),
    Guard(
        'one release an attempt',
        'I3',
        'src/persimmonsail/tasks.py',
        '    if not claimed or task.attempt != attempt:',
        '    if False:',
        ('tests/test_tasks.py',),
    ),
    Guard(
        'only finished tasks retire',
        'I6',
        'src/persimmonsail/tasks.py',
        '        if not table.find(name).is_final:',
        '        if False:',
        ('tests/test_tasks.py',),
    ),
    Guard(
        'consent is unanimous',
        'I2',
        'src/persimmonsail/consents.py',
        ('        if all(granted):\n'),
        ('        if any(granted):\n'),
        ('tests/test_consents.py',),
    ),
    Guard(
        'consent of the listed process',
        'I2',
        'src/persimmonsail/consents.py',
        '        if request.id != self.id:',
        '        if False:',
        ('tests/test_consents.py',),
    ),
    Guard(
        'no consent with store contact',
        'I2',
        'src/persimmonsail/consents.py',
        "            return 'the store was reached'",
        '            pass',
        ('tests/test_consents.py',),
    ),
    Guard(
        'no consent for what is held',
        'I2',
        'src/persimmonsail/consents.py',
        '        if self._is_held(request.partition):',
        '        if False:',
        ('tests/test_consents.py',),
    ),
    Guard(
        'no consent past a fence',
        'I2',
        'src/persimmonsail/consents.py',
        '        if request.epoch < self._fences.get(request.partition, 0):',
        '        if False:',
        ('tests/test_consents.py',),
    ),
    Guard(
        'consents wait out behind a fence',
        'I2',
        'src/persimmonsail/consents.py',
        '        fenced_at = time.monotonic() + self._promise_seconds',
        '        fenced_at = time.monotonic()',
        ('tests/test_consents.py',),
    ),
    Guard(
        'limit of an outage',
        'I2',
        'src/persimmonsail/consents.py',
        '        if lost > self._outage_limit:',
        '        if False:',
        ('tests/test_consents.py',),
    ),
    Guard(
        'lost lease ends authority',
        'I2',
        'src/persimmonsail/consents.py',
        '        if self._released or self._lease.ended:',
        '        if self._released:',
        ('tests/test_consents.py',),
    ),
    Guard(
        'promise is kept',
        'I2',
        'src/persimmonsail/partitions.py',
        '            elif not self.promises.is_promised(partition):',
        '            else:',
        ('tests/test_partitions.py',),
    ),
    Guard(
        'silence counts from the takeover',
        'I2',
        'src/persimmonsail/contacts.py',
        ('        since = others_over_at\n'),
        ('        since = 0.0\n'),
        ('tests/test_consents.py',),
    ),
    Guard(
        'lease and margin before reassigning',
        'I2',
        'src/persimmonsail/contacts.py',
        '        return silence > self._lease_seconds + LEASE_MARGIN',
        '        return silence > 0',
        ('tests/test_consents.py',),
    ),
    Guard(
        "predecessor's key is not one's own",
        'I2',
        'src/persimmonsail/partitions.py',
        '        return self._holders.get(partition) == self._own',
        (
            '        found = self._holders.get(partition)\n'
            '        return found is not None and found.name == self._own.name'
        ),
        ('tests/test_partitions.py',),
    ),
    Guard(
        'each lease has its own end',
        'I2',
        'src/persimmonsail/partitions.py',
        ('        self._lease.ended = True\n        for scope'),
        '        for scope',
        ('tests/test_partitions.py',),
    ),
    Guard(
        'one partition count',
        'I6',
        'src/persimmonsail/partitions.py',
        '            if found == own:',
        '            if found:',
        ('tests/test_partitions.py',),
    ),
    Guard(
        'leases end with the hand-over',
        'I2',
        'src/persimmonsail/holder.py',
        (
            '        self._authority.release()\n'
            '        self.ready = False\n'
            '        self._committer.announce()\n'
            '        seconds'
        ),
        (
            '        self.ready = False\n'
            '        self._committer.announce()\n'
            '        seconds'
        ),
        ('tests/test_holder.py',),
    ),
    Guard(
        'attempt bar at settlement',
        'I5',
        _EXECUTION,
        'return self._attempts.bar(request.attempt, request.issued_ms)',
        "return _refuse_other(control_pb2.ExecuteRequest(), 'barred')",
        _EXECUTION_TESTS,
    ),
    Guard(
        'attempt bar at refusal',
        'I5',
        _EXECUTION,
        'reply = self._attempts.bar('
        'request.attempt, request.issued_ms, reason)',
        'reply = _refuse_other(request, reason)',
        _EXECUTION_TESTS,
    ),
    Guard(
        'age of a request',
        'I6',
        _EXECUTION,
        'if self._attempts.is_expired(request.issued_ms):\n'
        "            return _refuse_other(request, 'issued too long ago')",
        'if False:\n            pass',
        _EXECUTION_TESTS,
    ),
    Guard(
        'age of a settled attempt',
        'I5',
        _EXECUTION,
        'if self._attempts.is_expired(request.issued_ms):\n'
        '                return',
        'if False:\n                return',
        _EXECUTION_TESTS,
    ),
    Guard(
        'incarnation of a request',
        'I6',
        _EXECUTION,
        'if request.incarnation != self._own.incarnation:\n'
        '            return _refuse_other(',
        'if False:\n            return _refuse_other(',
        _EXECUTION_TESTS,
    ),
    Guard(
        'incarnation of a settlement',
        'I5',
        _EXECUTION,
        'if request.incarnation != self._own.incarnation:\n'
        '            return _unknown(',
        'if False:\n            return _unknown(',
        _EXECUTION_TESTS,
    ),
    Guard(
        'unknown for a request sent before',
        'I5',
        _EXECUTION,
        'if request.resent:',
        'if False:',
        _EXECUTION_TESTS,
    ),
    Guard(
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
    Guard(
        'floor under forgotten attempts',
        'I6',
        'src/persimmonsail/attempts.py',
        'self._floor_ms = max(self._floor_ms, attempt.issued_ms)',
        'pass',
        ('tests/test_attempts.py',),
    ),
    Guard(
        'slots and connections',
        'I1',
        _EXECUTION,
        'return min(settings.slots, connections)',
        'return settings.slots',
        _EXECUTION_TESTS,
    ),
    Guard(
        'leaving backend server',
        'I7',
        _EXECUTION,
        'if self._own.backend_leaving:',
        'if False:',
        _EXECUTION_TESTS,
    ),
    Guard(
        'leaving instance',
        'I7',
        _EXECUTION,
        'if self._own.leaving:',
        'if False:',
        _EXECUTION_TESTS,
    ),
    Guard(
        'claim made only if absent',
        'I6',
        _CLAIMS,
        'self._store.put(path, value, expected, lease)',
        'self._store.put(path, value, None, lease)',
        _QUICK_TESTS,
    ),
    Guard(
        'claim marked as joined',
        'I6',
        _CLAIMS,
        'claim = dataclasses.replace(standing, joined=True)',
        'claim = standing',
        _QUICK_TESTS,
    ),
    Guard(
        'unknown where a joined claim has no connection',
        'I6',
        'src/persimmonsail/quick.py',
        'if not claim.joined:',
        'if True:',
        (
            'tests/test_quick_processes.py::SameKeyTest'
            '::test_key_of_a_killed_sidecar_never_runs_again',
        ),
    ),
    Guard(
        'no second attempt at a non-idempotent request',
        'I6',
        'src/persimmonsail/quick.py',
        'if not request.limits.idempotent:\n'
        '                    raise _outcome_unknown(reply.reason)',
        'if False:\n                    raise _outcome_unknown(reply.reason)',
        (
            'tests/test_quick_processes.py::LostProcessTest'
            '::test_killed_sidecar_leaves_the_outcome_unknown_at_once',
        ),
    ),
    Guard(
        'probe of a silent link',
        'I4',
        'src/persimmonsail/links.py',
        "logs.write_event('link-silent', address=self.address)\n"
        '            self.lost.set()',
        'pass',
        ('tests/test_links.py',),
    ),
    Guard(
        'late report',
        'I7',
        'src/persimmonsail/fleet.py',
        'if before is not None and _is_late(report, before):',
        'if False:',
        ('tests/test_fleet.py',),
    ),
    Guard(
        'one connection for one request',
        'I4',
        'src/persimmonsail/backends.py',
        'max_keepalive_connections=0',
        'max_keepalive_connections=connections',
        (
            'tests/test_quick_processes.py::SilentLinkTest'
            '::test_silent_backend_connections_delay_no_new_request',
        ),
    ),
    Guard(
        'whole answers only',
        'I4',
        'src/persimmonsail/backends.py',
        'if len(whole) > self._max_answer_bytes:',
        'if False:',
        (
            'tests/test_quick_processes.py::OutOfOrderTest'
            '::test_truncated_or_oversized_answer_is_never_passed_on',
        ),
    ),
    Guard(
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
    Guard(
        'a stopping entry asks to close connections',
        'I8',
        'src/persimmonsail/shutdown.py',
        "headers.append((b'connection', b'close'))",
        'pass',
        ('tests/test_quick_stops.py::StopInFlightTest',),
    ),
    Guard(
        'a fresh entry is not ready before its sidecars',
        'I8',
        'src/persimmonsail/entry.py',
        'if not self.fleet.list_live() and time.monotonic() < self._warm_at:',
        'if False:',
        ('tests/test_quick_stops.py::RollingReplacementTest',),
    ),
]
