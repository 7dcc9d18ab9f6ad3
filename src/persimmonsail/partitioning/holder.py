"""The holder of one partition: accepts, places and follows its tasks."""

import collections
import contextlib
import random
import time
import typing as t

import anyio

from persimmonsail.bookkeeping import commits
from persimmonsail.bookkeeping import ledger as ledger_module
from persimmonsail.bookkeeping import records
from persimmonsail.bookkeeping import tasks
from persimmonsail.bookkeeping import turns as turns_module
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
from persimmonsail.partitioning import holding
from persimmonsail.partitioning import renewals
from persimmonsail import settings as settings_module

MAX_PAYLOAD_BYTES = 65_536
_ANSWER_SECONDS = 3.5
_MEMBERS_PERIOD = 0.5
_RETIRE_AT_ONCE = 500
_RETIRE_PERIODS = 100

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
        turns: turns_module.Turns | None = None,
    ) -> None:
        limits = settings.entry
        consent_limits = (limits.task_lease, limits.outage_limit)
        self.ledger = ledger
        self.ready = False
        self.closing = anyio.Event()
        self._settled = False
        self._unsettled: collections.Counter[str] = collections.Counter()
        self._view = view
        self._settings = settings
        self._process_id = process_id
        self._list_members = list_members
        self._proposed_members: set[records.Member] = set()
        known = learned_state or planner.LearnedState()
        self._intake = intake.Intake(
            fleet, known, random.Random(ledger.partition)
        )
        self._committer = commits.Committer(
            ledger, turns or turns_module.Turns(limits.commit_interval)
        )
        self._authority = consents.Authority(
            lease, links, process_id, *consent_limits
        )
        self._fence = consents.Fence(links, process_id, *consent_limits)
        shared = holding.Holding(
            ledger,
            self._committer,
            fleet,
            links,
            view,
            contacts.Contacts(limits.task_lease),
            self._authority,
            self._fence,
            holding.Owned(self._committer),
            limits.task_lease,
            known,
            self._intake,
        )
        ends = endings.Endings(shared)
        self._renewer = renewals.Renewer(shared, ends)
        self._dispatcher = dispatch.Dispatcher(shared, ends, self._renewer)
        self._canceller = cancels.Canceller(shared, ends)

    @property
    def table(self) -> tasks.Table:
        """The partition's tasks."""
        return self.ledger.table

    async def run(self) -> None:
        """Take the partition over and serve it until cancelled.

        Raises
        ------
        persimmonsail.exceptions.NotHolder
            If another holder has taken the partition.
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
            self._committer.announce()

    async def submit(self, request: control_pb2.SubmitRequest) -> tasks.Task:
        """Accept a task, or find the one already accepted.

        Raises
        ------
        persimmonsail.exceptions.NotCommitted
            If the task was not accepted; ``NotAccepted`` if it was
            refused for its team's limits or because it can never run.
        persimmonsail.exceptions.CommitUnknown
            If it may have been accepted; the same key finds it then.
        """
        found = self.table.tasks.get(request.task)
        if found is not None:
            return found
        try:
            await self._propose(request)
        except exceptions.NotCommitted as error:
            if request.task in self.table.tasks:
                return self.table.tasks[request.task]
            if self._unsettled[request.task] > 0:
                # This try came to nothing, but an earlier one with the
                # same key may yet be committed: it is not 'not run'.
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
        seconds = min(request.timeout_seconds, _ANSWER_SECONDS)
        self._unsettled[request.task] += 1
        try:
            with self._intake.admit(request.task, workload.owner):
                await self._committer.commit(record, seconds)
        except exceptions.NotCommitted:
            self._unsettled[request.task] -= 1
            raise
        del self._unsettled[request.task]

    async def wait_final(self, task: str, seconds: float) -> tasks.Task | None:
        """Return a task, waiting for its final outcome for a while.

        Raises
        ------
        persimmonsail.exceptions.NotHolder
            If the partition was handed over meanwhile.
        """
        found = self.table.tasks.get(task)
        with anyio.move_on_after(seconds):
            while found is not None and not found.is_final:
                if not self.ready:
                    raise exceptions.NotHolder('the partition is handed over')
                await self._committer.changed.wait()
        return found

    async def cancel(self, task: str) -> tasks.Task | None:
        """Ask for a task's end; raises as ``submit``."""
        found = self.table.tasks.get(task)
        if found and not found.is_final and not found.cancel_asked:
            record = records.CancelAsked(task)
            await self._committer.commit(record, _ANSWER_SECONDS)
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
        """Give the partition up, and write what was proposed.

        No lease is extended from here on. An empty list of members
        tells the next holder that nobody goes on by consent.
        """
        self._authority.release()
        self.ready = False
        self._committer.announce()
        seconds = self._settings.entry.drain / 2
        if self._settled:
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
                self._authority.run, partition, epoch, self._list_consenters
            )
            await self._fence.run(partition, epoch, previous)
            await self._run_members()

    def _list_consenters(self) -> dict[str, str]:
        """Return every entry that could take the partition.

        Those of a list that may have been committed are among them: a
        later holder relies on the list that it reads in the ledger.
        """
        members = {
            *self.table.members,
            *self._proposed_members,
            *self._list_members(),
        }
        return {member.id: member.control for member in members}

    async def _run_members(self) -> None:
        # Until the leases of earlier holders are over, the ledger keeps
        # the list that those ask: a follower has to find it there.
        settled_at = (
            self._fence.consents_over_at
            + self._settings.entry.task_lease
            + contacts.LEASE_MARGIN
        )
        await anyio.sleep(max(settled_at - time.monotonic(), 0))
        self._settled = True
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
            await anyio.sleep(_MEMBERS_PERIOD)

    async def _run_retirement(self) -> None:
        retention = self._settings.entry.retention
        while True:
            oldest = time.time() - retention
            over = tuple(
                task.id
                for task in self.table.tasks.values()
                if task.is_final and task.finished_at < oldest
            )
            if over:
                record = records.Retired(over[:_RETIRE_AT_ONCE])
                await self._committer.commit(record)
            await anyio.sleep(retention / _RETIRE_PERIODS)
