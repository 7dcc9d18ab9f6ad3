"""The holder of one partition: accepts, places and tracks its tasks."""

import collections
import contextlib
import random
import time
import typing as t

import anyio

from persimmonsail.bookkeeping import commits
from persimmonsail.bookkeeping import ledger as ledger_module
from persimmonsail.bookkeeping import ratelimits
from persimmonsail.bookkeeping import records
from persimmonsail.bookkeeping import tasks
from persimmonsail.catalogues import revisions
from persimmonsail import control_pb2
from persimmonsail.decisions import fleet as fleet_module
from persimmonsail.decisions import intake
from persimmonsail.decisions import planner
from persimmonsail import exceptions
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail.partitioning import cancels
from persimmonsail.partitioning import consents
from persimmonsail.partitioning import contacts
from persimmonsail.partitioning import dispatch
from persimmonsail.partitioning import endings
from persimmonsail.partitioning import holdercontext
from persimmonsail.partitioning import renewals
from persimmonsail import settings as settings_module

MAX_PAYLOAD_BYTES = 65_536
_MAX_COMMIT_SECONDS = 3.5
_MEMBERS_PERIOD_SECONDS = 0.5
_MAX_RETIRED_TASKS = 500
_PASSES_PER_RETENTION = 100

ListMembers = t.Callable[[], tuple[records.Member, ...]]


class Holder:
    """Runs one partition while this process holds it."""

    def __init__(
        self,
        ledger: ledger_module.Ledger,
        fleet: fleet_module.Fleet,
        links: links_module.Links,
        view: revisions.View,
        settings: settings_module.Settings,
        lease: consents.StoreLease,
        process_id: str,
        list_members: ListMembers,
        learned_state: planner.LearnedState | None = None,
        rate_limiter: ratelimits.RateLimiter | None = None,
    ) -> None:
        limits = settings.entry
        consent_limits = (limits.task_lease, limits.outage_limit)
        self.ledger = ledger
        self.ready = False
        self.closing = anyio.Event()
        self._earlier_leases_expired = False
        self._uncertain_submits: collections.Counter[str] = (
            collections.Counter()
        )
        self._view = view
        self._settings = settings
        self._process_id = process_id
        self._list_members = list_members
        self._proposed_members: set[records.Member] = set()
        learned = learned_state or planner.LearnedState()
        self._intake = intake.Intake(
            fleet, learned, random.Random(ledger.partition)
        )
        self._committer = commits.Committer(
            ledger,
            rate_limiter or ratelimits.RateLimiter(limits.commit_interval),
        )
        self._authority = consents.Authority(
            lease, links, process_id, *consent_limits
        )
        self._fence = consents.Fence(links, process_id, *consent_limits)
        shared = holdercontext.HolderContext(
            ledger,
            self._committer,
            fleet,
            links,
            view,
            contacts.Contacts(limits.task_lease),
            self._authority,
            self._fence,
            holdercontext.TaskLocks(self._committer),
            limits.task_lease,
            learned,
            self._intake,
        )
        task_endings = endings.Endings(shared)
        self._renewer = renewals.Renewer(shared, task_endings)
        self._dispatcher = dispatch.Dispatcher(
            shared, task_endings, self._renewer
        )
        self._canceller = cancels.Canceller(shared, task_endings)

    @property
    def table(self) -> tasks.Table:
        """The partition's tasks."""
        return self.ledger.table

    async def run(self) -> None:
        """Take over the partition and serve it until cancelled.

        Raises
        ------
        persimmonsail.exceptions.NotHolder
            If another holder has taken over the partition.
        """
        await self.ledger.load()
        epoch = await self.ledger.take_over(self._settings.process.name)
        previous = self.table.members
        logs.write_event(
            'partition-opened', partition=self.ledger.partition, epoch=epoch
        )
        self.ready = True
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._committer.run)
                group.start_soon(self._run_leases, epoch, previous)
                group.start_soon(self._dispatcher.run)
                group.start_soon(self._canceller.run)
                group.start_soon(self._run_retirement)
                await self.closing.wait()
                await self._close()
                group.cancel_scope.cancel()
        finally:
            self.ready = False
            self._authority.release()
            self._committer.notify_changed()

    async def submit(self, request: control_pb2.SubmitRequest) -> tasks.Task:
        """Accept a task, or return it if it was accepted earlier.

        Raises
        ------
        persimmonsail.exceptions.NotCommitted
            If the task was not accepted; ``NotAccepted`` if it exceeds
            its team's limits or can never run.
        persimmonsail.exceptions.CommitUnknown
            If it may have been accepted; a retry with its key finds it.
        """
        found = self.table.tasks.get(request.task)
        if found is not None:
            return found
        try:
            await self._propose(request)
        except exceptions.NotCommitted as error:
            if request.task in self.table.tasks:
                return self.table.tasks[request.task]
            if self._uncertain_submits[request.task] > 0:
                # This attempt had no effect, but an earlier one with the
                # same key may yet be committed, so 'not run' is wrong.
                raise exceptions.CommitUnknown(str(error)) from error
            raise
        return self.table.tasks[request.task]

    async def _propose(self, request: control_pb2.SubmitRequest) -> None:
        self._check_submit(request)
        workload = self._view.catalogue.workloads[request.workload]
        record = records.Submitted(
            request.task,
            request.workload,
            workload.owner,
            request.payload.decode(),
            request.revision,
        )
        seconds = min(request.timeout_seconds, _MAX_COMMIT_SECONDS)
        self._uncertain_submits[request.task] += 1
        try:
            with self._intake.admit(request.task, workload.owner):
                await self._committer.commit(record, seconds)
        except exceptions.NotCommitted:
            self._uncertain_submits[request.task] -= 1
            raise
        del self._uncertain_submits[request.task]

    async def wait_final(self, task: str, seconds: float) -> tasks.Task | None:
        """Return a task, waiting up to ``seconds`` for its final outcome.

        Raises
        ------
        persimmonsail.exceptions.NotHolder
            If the partition is handed over in the meantime.
        """
        found = self.table.tasks.get(task)
        with anyio.move_on_after(seconds):
            while found is not None and not found.is_final:
                if not self.ready:
                    raise exceptions.NotHolder('the partition is handed over')
                await self._committer.changed.wait()
        return found

    async def cancel(self, task: str) -> tasks.Task | None:
        """Request a task's cancellation; raises like ``submit``."""
        found = self.table.tasks.get(task)
        if found and not found.is_final and not found.cancel_asked:
            record = records.CancelAsked(task)
            await self._committer.commit(record, _MAX_COMMIT_SECONDS)
        return found

    def _check_submit(self, request: control_pb2.SubmitRequest) -> None:
        if len(request.payload) > MAX_PAYLOAD_BYTES:
            raise exceptions.NotCommitted(
                f'the payload exceeds {MAX_PAYLOAD_BYTES} bytes'
            )
        if self._committer.stalled or not self._authority.lease_is_valid:
            raise exceptions.NotCommitted('the store does not answer')
        self._intake.check(
            request.task,
            request.workload,
            self._view.catalogue,
            time.monotonic(),
        )

    async def _close(self) -> None:
        """Give up the partition, and write the proposed records.

        No lease is extended from then on. An empty list of members
        informs the next holder that nobody continues by consent.
        """
        self._authority.release()
        self.ready = False
        self._committer.notify_changed()
        seconds = self._settings.entry.drain / 2
        if self._earlier_leases_expired:
            with contextlib.suppress(exceptions.PersimmonsailError):
                await self._committer.commit(records.Members(()), seconds)
        written = await self._committer.close(seconds)
        logs.write_event(
            'partition-closed',
            partition=self.ledger.partition,
            epoch=self.table.epoch,
            written=written,
        )

    async def _run_leases(
        self, epoch: int, previous: tuple[records.Member, ...]
    ) -> None:
        partition = self.ledger.partition
        async with anyio.create_task_group() as group:
            group.start_soon(self._renewer.run)
            group.start_soon(
                self._authority.run, partition, epoch, self._list_consenting
            )
            await self._fence.run(partition, epoch, previous)
            await self._run_members()

    def _list_consenting(self) -> dict[str, str]:
        """Return every entry that could acquire the partition.

        This includes the entries of a list that may have been committed,
        as a later holder relies on the list that it reads in the ledger.
        """
        members = {
            *self.table.members,
            *self._proposed_members,
            *self._list_members(),
        }
        return {member.id: member.control for member in members}

    async def _run_members(self) -> None:
        # Until the leases of earlier holders have expired, the ledger has
        # to retain the members that those ask: a successor needs them.
        leases_expired_at = (
            self._fence.consents_expired_at
            + self._settings.entry.task_lease
            + contacts.LEASE_MARGIN_SECONDS
        )
        await anyio.sleep(max(leases_expired_at - time.monotonic(), 0))
        self._earlier_leases_expired = True
        while True:
            entries = self._list_members()
            if set(entries) != set(self.table.members):
                self._proposed_members.update(entries)
                await self._committer.commit(records.Members(entries))
                self._proposed_members.clear()
                logs.write_event(
                    'members-listed',
                    partition=self.ledger.partition,
                    epoch=self.table.epoch,
                    entries=len(entries),
                )
            await anyio.sleep(_MEMBERS_PERIOD_SECONDS)

    async def _run_retirement(self) -> None:
        retention = self._settings.entry.retention
        while True:
            cutoff = time.time() - retention
            expired = tuple(
                task.id
                for task in self.table.tasks.values()
                if task.is_final and task.finished_at < cutoff
            )
            if expired:
                record = records.Retired(expired[:_MAX_RETIRED_TASKS])
                await self._committer.commit(record)
            await anyio.sleep(retention / _PASSES_PER_RETENTION)
