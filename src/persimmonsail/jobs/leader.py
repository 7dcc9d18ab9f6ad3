"""The leader: sees all jobs and instances, and places the work.

One entry leads at a time. It keeps nothing that can't be read again:
jobs come from the inbox, their progress from the store, and what runs
from the sidecars' reports. Each round places waiting tasks, commits what
changed, and only then sends what follows from it.
"""

import time
import typing as t

import anyio
import anyio.abc
import pydantic

from persimmonsail import exceptions
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import clock
from persimmonsail.jobs import eviction
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import ledger as ledger_module
from persimmonsail.jobs import link as link_module
from persimmonsail.jobs import queues
from persimmonsail.jobs import record
from persimmonsail.jobs import reports
from persimmonsail.jobs import scheduling
from persimmonsail import logs
from persimmonsail import quarantine
from persimmonsail import store as store_module

# A leader without the store goes on renewing what runs for so long; no
# outage seen is longer. A successor waits it out before it starts work
# elsewhere that an instance out of its reach may still run.
KNOWLEDGE_SECONDS = 8.0
# The worker's clock may be slow by 2% of a lease, and it notices the end
# of a lease a little late.
_DRIFT = 0.02
_MARGIN_SECONDS = 0.4
# Rounds come at least so often, for what only time changes.
_ROUND_SECONDS = 0.25
# Rounds are this far apart, so that ends of one moment share a commit.
_GATHER_SECONDS = 0.008
_WATCH_SECONDS = 5.0
_MAX_JOBS_A_WRITE = ledger_module.MAX_WRITES
_MILLISECONDS = 1000
# How often ended jobs that nobody may ask for any more are removed.
_SWEEP_SECONDS = 10.0


class Leader:
    """Leads for one term.

    Parameters
    ----------
    store : persimmonsail.store.TransactionalStore
        Where jobs and progress are kept.
    ledger : persimmonsail.jobs.ledger.Ledger
        This term's writes.
    view : persimmonsail.jobs.queues.View
        The queues in force.
    lease_seconds : float
        How long runs go on after the leader's last word.
    retention_seconds : float
        How long callers may ask for an ended job.
    """

    def __init__(
        self,
        store: store_module.TransactionalStore,
        ledger: ledger_module.Ledger,
        view: queues.View,
        lease_seconds: float,
        retention_seconds: float,
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._view = view
        self._retention_seconds = retention_seconds
        self._lease_bound = lease_seconds * (1 + _DRIFT) + _MARGIN_SECONDS
        self.board = board_module.Board()
        self.fleet: dict[str, instances.Instance] = {}
        self.loaded = False
        self._links: dict[str, link_module.InstanceLink] = {}
        self._wake = anyio.Event()
        self._group: anyio.abc.TaskGroup
        self._model = interference.Model()
        self._reader = reports.Reader(
            self.board,
            quarantine.Tracker(),
            self._model,
            self._get_attempts,
        )

    async def run(self) -> None:
        """Load everything, then place work until cancelled or deposed."""
        async with anyio.create_task_group() as group:
            self._group = group
            revision = await self._load()
            group.start_soon(self._follow, revision)
            group.start_soon(self._sweep)
            await self._place_rounds()

    def note_job(self, id: str, text: str) -> None:
        """Take an accepted job in; a known one changes nothing."""
        if id in self.board.jobs:
            return
        job = _read_job(id, text, None)
        if job is not None and self.board.add(job):
            logs.write_event(
                'job-seen',
                job=id,
                queue=job.queue,
                tasks=job.specification.task_count,
                age_ms=_wall_ms() - job.accepted_ms,
            )
            self._wake.set()

    def note_cancel(self, id: str) -> None:
        """Cancel a job, and stop what runs of it."""
        job = self.board.cancel(id)
        if job is None:
            return
        placed = job.list_placed()
        logs.write_event('job-cancelled', job=id, running=len(placed))
        for task in placed:
            instance = self.fleet.get(task.state.instance)
            run = instance and instance.runs.get((task.name, task.state.run))
            if run is not None and run.phase is not (
                instances.RunPhase.STOPPING
            ):
                self._order_stop(instance, run)
        self._wake.set()

    def _get_attempts(self, queue: str) -> int:
        configuration = self._view.current
        found = configuration and configuration.get_queue(queue)
        # A queue that was removed: its jobs end with their next failure.
        return found.max_attempts if found else 1

    async def _load(self) -> int:
        inbox = await self._store.scan(record.INBOX)
        progress = await self._store.scan(record.PROGRESS)
        states = {
            item.key.removeprefix(record.PROGRESS): item.value
            for item in progress.items
        }
        for item in inbox.items:
            self._take_inbox(item.key, item.value, states)
        self._count_claims()
        self.loaded = True
        logs.write_event(
            'loaded',
            jobs=len(self.board.jobs),
            instances=len(self.fleet),
            revision=inbox.revision,
        )
        self._wake.set()
        return inbox.revision

    def _take_inbox(
        self, key: str, value: str, states: t.Mapping[str, str]
    ) -> None:
        if key.startswith(record.JOBS):
            id = key.removeprefix(record.JOBS)
            if id in self.board.jobs:
                return
            job = _read_job(id, value, states.get(id))
            if job is not None:
                self.board.add(job)
        elif key.startswith(record.CANCELS):
            self.note_cancel(key.removeprefix(record.CANCELS))
        elif key.startswith(record.INSTANCES):
            self._note_instance(key.removeprefix(record.INSTANCES), value)

    def _count_claims(self) -> None:
        """Count what earlier leaders have placed.

        A former leader may have allowed leases until it knew that it was
        replaced, and the sidecars' leases run on after that.
        """
        until = clock.read() + KNOWLEDGE_SECONDS + self._lease_bound
        for job in self.board.jobs.values():
            for task in job.list_placed():
                instance = self._get_instance(task.state.instance)
                instance.trusted_until = until
                instance.add_run(
                    instances.Run(
                        task=task.name,
                        number=task.state.run,
                        boot=task.state.boot,
                        step=task.step,
                        queue=job.queue,
                        ordered_at=clock.read(),
                        # Unknown; the first order says what it is to be.
                        pace=0,
                    )
                )

    def _get_instance(self, address: str) -> instances.Instance:
        if address not in self.fleet:
            instance = instances.Instance(address)
            self.fleet[address] = instance
            link = link_module.InstanceLink(
                instance,
                self._ledger.term.epoch,
                self._describe_lease,
                self._note_attached,
                self._note_report,
            )
            self._links[address] = link
            self._group.start_soon(link.run)
        return self.fleet[address]

    def _note_instance(self, address: str, text: str) -> None:
        try:
            found = record.StoredInstance.model_validate_json(text)
        except pydantic.ValidationError as error:
            logs.write_warning(
                'instance-unreadable', instance=address, error=error
            )
            return
        instance = self._get_instance(address)
        instance.name = found.name
        instance.zone = found.zone

    def _describe_lease(self) -> float:
        age = clock.read() - self._ledger.confirmed_at
        return self._lease_bound if age < KNOWLEDGE_SECONDS else 0.0

    async def _follow(self, revision: int) -> None:
        """Take in what entries and sidecars write to the inbox."""
        while True:
            try:
                found = await self._store.follow(
                    record.INBOX, revision, _WATCH_SECONDS
                )
            except exceptions.HistoryLost:
                revision = await self._scan_again()
                continue
            except exceptions.StoreUnavailable as error:
                logs.write_event('inbox-unheard', error=error)
                await anyio.sleep(_ROUND_SECONDS)
                continue
            revision = max(revision, found.revision)
            for change in found.changes:
                self._take_change(change)

    async def _scan_again(self) -> int:
        while True:
            try:
                page = await self._store.scan(record.INBOX)
            except exceptions.StoreUnavailable as error:
                logs.write_event('inbox-unheard', error=error)
                await anyio.sleep(_ROUND_SECONDS)
                continue
            logs.write_event('inbox-scanned', revision=page.revision)
            for item in page.items:
                self._take_change(
                    store_module.Change(item.key, item.value, item.revision)
                )
            return page.revision

    def _take_change(self, change: store_module.Change) -> None:
        key = change.key
        if change.value is None:
            return
        if key.startswith(record.JOBS):
            self.note_job(key.removeprefix(record.JOBS), change.value)
        else:
            self._take_inbox(key, change.value, {})

    def _note_attached(self, instance: instances.Instance) -> None:
        instance.attached = True
        # A sidecar that was restarted has forgotten it.
        instance.acknowledged = 0
        logs.write_event('instance-attached', instance=instance.address)
        orders = self._links[instance.address].edit()
        for run in instance.runs.values():
            # Nothing of an earlier link counts as heard.
            run.order = 0
            if run.phase is instances.RunPhase.STOPPING:
                run.phase = instances.RunPhase.RUNNING
            _fill_start(orders.known.add(), run)

    def _note_report(
        self, instance: instances.Instance, report: fleet_pb2.Report
    ) -> None:
        now = clock.read()
        if report.fenced:
            # The worker's agent obeys no former leader any more, so only
            # this leader's own word counts.
            instance.trusted_until = now + self._lease_bound
        reaction = self._reader.read(instance, report, now)
        for run in reaction.stops:
            self._order_stop(instance, run)
        for change in reaction.paces:
            self._order_pace(instance, change.run, change.percent)
        for run in eviction.select_leaving(instance, now):
            self._evict(instance, run, 'leaving')
        for run in eviction.select_starved(instance, now):
            self._evict(instance, run, 'starved')
        if reaction.replan or self.board.changed:
            self._wake.set()

    def _evict(
        self, instance: instances.Instance, run: instances.Run, reason: str
    ) -> None:
        logs.write_event(
            'evicted',
            task=run.task,
            run=run.number,
            instance=instance.address,
            reason=reason,
            percent=run.percent,
            pace=run.pace,
        )
        self._order_stop(instance, run)

    def _order_stop(
        self, instance: instances.Instance, run: instances.Run
    ) -> None:
        link = self._links[instance.address]
        run.phase = instances.RunPhase.STOPPING
        run.order = link.next_sequence
        link.edit().stops.add(task=run.task, run=run.number)
        logs.write_event(
            'stop-ordered',
            task=run.task,
            run=run.number,
            instance=instance.address,
        )

    def _order_pace(
        self, instance: instances.Instance, run: instances.Run, percent: int
    ) -> None:
        logs.write_event(
            'paced',
            task=run.task,
            run=run.number,
            instance=instance.address,
            before=run.pace,
            percent=percent,
        )
        run.pace = percent
        run.paced_at = clock.read()
        if percent >= eviction.SLOW_PERCENT:
            run.slow_since = 0.0
        else:
            run.slow_since = run.slow_since or run.paced_at
        orders = self._links[instance.address].edit()
        orders.paces.add(task=run.task, run=run.number, percent=percent)

    async def _place_rounds(self) -> None:
        while True:
            self._wake = anyio.Event()
            self._give_up_unreachable()
            claims: list[scheduling.Claim] = []
            if self._view.current is not None:
                claims = scheduling.plan(
                    self.board,
                    self.fleet.values(),
                    self._view.current,
                    self._model,
                    clock.read(),
                    time.time(),
                )
            await self._commit(claims)
            self._acknowledge()
            with anyio.move_on_after(_ROUND_SECONDS):
                await self._wake.wait()
                await anyio.sleep(_GATHER_SECONDS)

    def _give_up_unreachable(self) -> None:
        now = clock.read()
        for instance in self.fleet.values():
            if instance.runs and now > instance.trusted_until:
                if not instance.attached or not instance.known:
                    self._reader.drop_runs(instance, 'unreachable')

    async def _commit(self, claims: list[scheduling.Claim]) -> None:
        """Commit all changed jobs, then send what that allows."""
        # Ends that come while the store works are in no write yet.
        processed = [
            (instance, instance.boot, instance.processed)
            for instance in self.fleet.values()
        ]
        changed = sorted(self.board.changed)
        self.board.changed.clear()
        for first in range(0, len(changed), _MAX_JOBS_A_WRITE):
            ids = changed[first : first + _MAX_JOBS_A_WRITE]
            await self._commit_jobs(ids)
            chosen = set(ids)
            for claim in claims:
                if claim.task.job.id in chosen:
                    self._order_start(claim)
        for instance, boot, number in processed:
            if instance.boot == boot:
                instance.committed_end = number

    async def _commit_jobs(self, ids: t.Sequence[str]) -> None:
        jobs = [self.board.jobs[id] for id in ids if id in self.board.jobs]
        phases = [job.phase for job in jobs]
        writes = [
            store_module.Write(record.PROGRESS + job.id, job.progress.encode())
            for job in jobs
        ]
        begun = clock.read()
        await self._ledger.commit(writes)
        for job, phase in zip(jobs, phases, strict=True):
            if job.committed_phase is not phase:
                job.committed_phase = phase
                logs.write_event(
                    'job-phase',
                    job=job.id,
                    queue=job.queue,
                    phase=phase.value,
                    age_ms=_wall_ms() - job.accepted_ms,
                    commit_seconds=clock.read() - begun,
                )

    def _order_start(self, claim: scheduling.Claim) -> None:
        instance = claim.instance
        key = (claim.run.task, claim.run.number)
        if instance.runs.get(key) is not claim.run:
            # Given up while the claim was written.
            return
        if claim.run.phase is not instances.RunPhase.ORDERED:
            # Its stop was ordered meanwhile; a start would come after it.
            return
        if claim.task.job.phase.is_final:
            # Cancelled while the claim was written: it was never sent.
            instance.drop_run(key)
            return
        link = self._links[instance.address]
        claim.run.order = link.next_sequence
        start = link.edit().starts.add()
        _fill_start(start, claim.run)
        start.payload = claim.task.job.specification.payload
        start.checkpoint = claim.task.state.checkpoint
        if claim.run.pace < 100:
            start.percent = claim.run.pace

    def _acknowledge(self) -> None:
        for instance in self.fleet.values():
            if instance.committed_end > instance.acknowledged:
                instance.acknowledged = instance.committed_end
                orders = self._links[instance.address].edit()
                orders.boot = instance.boot
                orders.acknowledged = instance.acknowledged

    async def _sweep(self) -> None:
        """Remove jobs that ended long ago."""
        while True:
            await anyio.sleep(_SWEEP_SECONDS)
            limit = _wall_ms() - self._retention_seconds * _MILLISECONDS
            for job in list(self.board.jobs.values()):
                if job.committed_phase.is_final and (
                    0 < job.progress.ended_ms < limit
                ):
                    await self._remove(job)

    async def _remove(self, job: board_module.Job) -> None:
        # Written past the head: nothing else writes these keys any more.
        keys = [
            record.JOBS + job.id,
            record.CANCELS + job.id,
            record.PROGRESS + job.id,
        ]
        try:
            await self._store.commit({}, (), keys)
        except exceptions.StoreError as error:
            logs.write_event('sweep-failed', job=job.id, error=error)
            return
        self.board.forget(job.id)


def _fill_start(start: fleet_pb2.Start, run: instances.Run) -> None:
    size = run.step.committed
    start.task = run.task
    start.run = run.number
    start.boot = run.boot
    start.size.millicores = size.millicores
    start.size.memory_mib = size.memory_mib
    start.size.accelerators = size.accelerators


def _read_job(
    id: str, text: str, progress: str | None
) -> board_module.Job | None:
    try:
        stored = record.StoredSubmission.model_validate_json(text)
        return board_module.Job(
            id,
            stored.queue,
            stored.accepted_ms,
            stored.read_specification(),
            record.decode_progress(progress) if progress else None,
        )
    except pydantic.ValidationError as error:
        # Written by another version; whoever is on call has to look.
        logs.write_error('job-unreadable', job=id, error=error)
        return None


def _wall_ms() -> int:
    return round(time.time() * _MILLISECONDS)
