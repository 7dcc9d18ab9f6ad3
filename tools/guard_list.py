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
]
