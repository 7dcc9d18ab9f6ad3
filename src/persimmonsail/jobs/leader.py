"""The leader: tracks all jobs and instances, and places tasks.

One entry leads at a time. All of its state can be read again: jobs from
the inbox, their progress from the store, and the running tasks from the
sidecars' reports. Each round places waiting tasks, commits the changed
jobs, and only then sends the resulting orders.
"""

import collections
import time
import typing as t

import anyio

from persimmonsail.decisions import quarantine
from persimmonsail.jobs import advice
from persimmonsail.jobs import advisor as advisor_module
from persimmonsail.jobs import backlogmeter
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import capacities
from persimmonsail.jobs import clock
from persimmonsail.jobs import commits
from persimmonsail.jobs import evacuations as evacuations_module
from persimmonsail.jobs import fleet as fleet_module
from persimmonsail.jobs import fleetsnapshot
from persimmonsail.jobs import inbox
from persimmonsail.jobs import inboxitems
from persimmonsail.jobs import interference
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import learnedstate
from persimmonsail.jobs import ledger as ledger_module
from persimmonsail.jobs import mandate as mandate_module
from persimmonsail.jobs import placer
from persimmonsail.jobs import queues
from persimmonsail.jobs import record
from persimmonsail.jobs import rejections
from persimmonsail.jobs import reports
from persimmonsail.jobs import scheduling
from persimmonsail.jobs import sweep
from persimmonsail import logs
from persimmonsail import store as store_module

# A leader whose last confirmation is older than this may have been replaced,
# and lack the newest jobs. Its term is confirmed twice a second.
_MAX_CONFIRMATION_AGE_SECONDS = 1.2
_MILLISECONDS = 1000
# A power loss of all machines costs the work since a job's checkpoints were
# last committed. Each interval commits the jobs with the most such work, in
# one write.
_CHECKPOINT_SECONDS = 1.0


class Leader:
    """Leads for one term.

    Parameters
    ----------
    store : persimmonsail.store.TransactionalStore
        Holds jobs and progress.
    ledger : persimmonsail.jobs.ledger.Ledger
        This term's writes.
    mandate : persimmonsail.jobs.mandate.Mandate
        Whether this leader may extend leases.
    view : persimmonsail.jobs.queues.View
        The current queue configuration.
    lease_seconds : float
        How long runs continue after the leader's last message.
    retention_seconds : float
        How long an ended job can be queried.
    advisor : persimmonsail.jobs.advisor.Advisor, optional
        Decides where steps of queues with an advisor may run.
    evacuations : persimmonsail.jobs.evacuations.Evacuations, optional
        The zones that get no new runs.
    """

    def __init__(
        self,
        store: store_module.TransactionalStore,
        ledger: ledger_module.Ledger,
        mandate: mandate_module.Mandate,
        view: queues.View,
        lease_seconds: float,
        retention_seconds: float,
        advisor: advisor_module.Advisor | None = None,
        evacuations: evacuations_module.Evacuations | None = None,
    ) -> None:
        self._advisor = advisor
        self._evacuations = evacuations or evacuations_module.Evacuations()
        self._store = store
        self._ledger = ledger
        self._view = view
        self._retention_seconds = retention_seconds
        self.board = board_module.Board()
        self.backlog = backlogmeter.Meter()
        self.loaded = False
        self._wake = anyio.Event()
        self._model = interference.Model()
        self._snapshot = fleetsnapshot.FleetSnapshot()
        self._approvals = advice.Approvals()
        self._reader = reports.Reader(
            self.board,
            quarantine.Tracker(),
            self._model,
            self._get_max_attempts,
            self._approvals,
            lambda: self._fleet.instances.values(),
        )
        self._fleet = fleet_module.Fleet(
            mandate, lease_seconds, self._reader, self._handle_reaction
        )
        self._unsent_claims: list[placer.Claim] = []
        self._commits = commits.Commits(
            self.board,
            ledger,
            self._evacuations,
            self.cancel_job,
            self._withdraw_claims,
            self._forget_job,
        )

    @property
    def epoch(self) -> int:
        """The number of this term; rises with each leader."""
        return self._ledger.term.epoch

    async def run(self) -> None:
        """Load all state, then place tasks until cancelled or deposed."""
        async with anyio.create_task_group() as group:
            self._fleet.open(group)
            revision = await self._load()
            inbox_follower = inbox.Inbox(self._store, self._apply_change)
            group.start_soon(inbox_follower.run, revision)
            group.start_soon(
                sweep.run_sweep_loop,
                self._store,
                self.board,
                self._retention_seconds,
            )
            group.start_soon(
                rejections.run_sweep_loop,
                self._store,
                self._retention_seconds,
            )
            group.start_soon(self._run_checkpoint_loop)
            group.start_soon(
                learnedstate.run_save_loop, self._store, self._model
            )
            group.start_soon(
                capacities.run_save_loop, self._store, self._fleet.instances
            )
            if self._advisor is not None:
                group.start_soon(
                    advice.run_question_loop,
                    self._advisor,
                    self._approvals,
                    lambda: self._wake.set(),
                )
            await self._run_rounds()

    async def save_learned_state(self) -> None:
        """Persist the learned state before this leader stops."""
        if self.loaded:
            await learnedstate.save_last(self._store, self._model)

    def count_pending(self, queue: str) -> int | None:
        """Return how many jobs of a queue wait for their first task.

        Returns None unless this process confirmed recently that it leads:
        one that is partitioned from the store would keep reporting no
        waiting jobs, whatever is accepted meanwhile.
        """
        age = clock.read() - self._ledger.confirmed_at
        if not self.loaded or age > _MAX_CONFIRMATION_AGE_SECONDS:
            return None
        return self.board.count_pending(queue)

    def add_job(self, id: str, text: str) -> None:
        """Add an accepted job; does nothing if it was added before."""
        if id in self.board.jobs:
            return
        job = self._parse_job(id, text, None)
        if job is not None and self.board.add(job):
            logs.write_event(
                'job-seen',
                job=id,
                queue=job.queue,
                tasks=job.specification.task_count,
                age_ms=_wall_ms() - job.accepted_ms,
            )
            self._wake.set()

    def cancel_job(self, id: str, text: str) -> None:
        """Cancel a job, and stop its runs.

        Parameters
        ----------
        id : str
            The job's id.
        text : str
            The stored cancel marker.
        """
        job = self.board.cancel(id)
        if job is None:
            return
        placed = job.list_placed()
        marker = inboxitems.parse_cancel(id, text)
        logs.write_event(
            'job-cancelled',
            job=id,
            running=len(placed),
            age_ms=_wall_ms() - marker.cancelled_ms
            if marker.cancelled_ms
            else -1,
        )
        for task in placed:
            self._fleet.stop_task(task)
        self._wake.set()

    def _handle_reaction(self, reaction: reports.Reaction) -> None:
        if reaction.replan or self.board.changed:
            self._wake.set()

    def _get_max_attempts(self, queue: str) -> int:
        terms = self._view.queues_by_name.get(queue)
        # Only jobs stored by an older version lack terms of their own.
        return terms.max_attempts if terms else 1

    async def _load(self) -> int:
        page = await inbox.scan(self._store, record.INBOX)
        progress = await inbox.scan(self._store, record.PROGRESS)
        progress_texts = {
            item.key.removeprefix(record.PROGRESS): item.value
            for item in progress.items
        }
        for item in page.items:
            self._apply_entry(item.key, item.value, progress_texts)
        self._restore_claims()
        await learnedstate.load(self._store, self._model)
        self.loaded = True
        logs.write_event(
            'loaded',
            jobs=len(self.board.jobs),
            instances=len(self._fleet.instances),
            revision=page.revision,
        )
        self._wake.set()
        return page.revision

    def _apply_entry(
        self, key: str, value: str, progress_texts: t.Mapping[str, str]
    ) -> None:
        if key.startswith(record.JOBS):
            id = key.removeprefix(record.JOBS)
            if id in self.board.jobs:
                return
            job = self._parse_job(id, value, progress_texts.get(id))
            if job is not None:
                self.board.add(job)
        elif key.startswith(record.CANCELS):
            self.cancel_job(key.removeprefix(record.CANCELS), value)
        elif key.startswith(record.INSTANCES):
            self._register_instance(key.removeprefix(record.INSTANCES), value)

    def _parse_job(
        self, id: str, text: str, progress: str | None
    ) -> job_module.Job | None:
        return inboxitems.parse_job(id, text, progress, self._view)

    def _restore_claims(self) -> None:
        """Restore the runs that earlier leaders placed.

        A former leader may have granted leases until it noticed that it was
        replaced, and these leases remain valid after that.
        """
        for job in self.board.jobs.values():
            for task in job.list_placed():
                self._fleet.adopt_claim(task)

    def _register_instance(self, address: str, text: str) -> None:
        stored = inboxitems.parse_instance(address, text)
        if stored is None:
            return
        instance = self._fleet.get(address)
        instance.name = stored.name
        instance.zone = stored.zone

    def _apply_change(self, change: store_module.Change) -> None:
        key = change.key
        if change.value is None:
            return
        if key.startswith(record.JOBS):
            self.add_job(key.removeprefix(record.JOBS), change.value)
        else:
            self._apply_entry(key, change.value, {})

    async def _run_rounds(self) -> None:
        started_at = clock.read()
        while True:
            self._wake = anyio.Event()
            self._fleet.abandon_unreachable()
            self._fleet.apply_evacuations(self._evacuations.zones)
            previous_start, started_at = started_at, clock.read()
            claims = scheduling.plan(
                self.board,
                self._snapshot,
                self._fleet.instances.values(),
                self._view.queues_by_name,
                self._reader.slowdowns,
                self._model,
                self._approvals,
                clock.read(),
                time.time(),
                started_at - previous_start,
            )
            self.backlog.measure(
                self.board,
                self._view.queues_by_name,
                self._reader.slowdowns,
                clock.read(),
                time.time(),
            )
            planning_seconds = clock.read() - started_at
            is_full = len(claims) >= scheduling.MAX_CLAIMS
            await self._commit(claims)
            self._fleet.acknowledge()
            if not is_full:
                with anyio.move_on_after(scheduling.ROUND_SECONDS):
                    await self._wake.wait()
            await anyio.sleep(
                scheduling.choose_pause(planning_seconds, is_full)
            )

    async def _commit(self, claims: list[placer.Claim]) -> None:
        """Commit all changed jobs, then order the starts of the claims."""
        # Ends that arrive while the store commits are in no write yet.
        processed = [
            (instance, instance.boot, instance.processed_end)
            for instance in self._fleet.instances.values()
        ]
        changed = sorted(self.board.changed)
        self.board.changed.clear()
        self._unsent_claims = claims
        claims_by_job = collections.defaultdict(list)
        for claim in claims:
            claims_by_job[claim.task.job.id].append(claim)
        for ids in commits.split_rows(changed, claims_by_job):
            verified_at = await self._commits.write(ids, claims_by_job)
            for claim in self._pop_claims(set(ids)):
                self._fleet.start(claim, verified_at)
        for instance, boot, number in processed:
            if instance.boot == boot:
                instance.committed_end = number

    def _pop_claims(self, ids: t.Collection[str]) -> list[placer.Claim]:
        """Remove and return the unsent claims of some jobs."""
        claims = self._unsent_claims
        self._unsent_claims = [c for c in claims if c.task.job.id not in ids]
        return [c for c in claims if c.task.job.id in ids]

    def _withdraw_claims(self, zone: str) -> None:
        """Withdraw the unsent claims in an evacuated zone."""
        self._fleet.withdraw(self._unsent_claims, zone)

    def _forget_job(self, job: job_module.Job) -> None:
        """Drop the learned state of an ended job's steps."""
        self._approvals.forget(job.id)
        for task in job.tasks.values():
            # Once per step; only those with a latency target have such
            # gauges.
            if task.key.index == 0 and task.step.latency_target_ms:
                self._model.forget(task.step_name)

    async def _run_checkpoint_loop(self) -> None:
        """Commit the checkpoints of running tasks at regular intervals.

        Sidecars report checkpoints to any new leader, so this matters only
        if all machines fail: the agents lose their state, and the next
        leader has only the store. Without it each running task restarted
        from where it was placed, losing 6.7 s of work on average.
        """
        while True:
            await anyio.sleep(_CHECKPOINT_SECONDS)
            self.board.queue_uncommitted(ledger_module.MAX_ROWS)
            self._wake.set()


def _wall_ms() -> int:
    return round(time.time() * _MILLISECONDS)
