"""Lease renewal and state tracking of a partition's tasks."""

import time

import anyio
import anyio.abc

from persimmonsail.bookkeeping import reasons
from persimmonsail.bookkeeping import records
from persimmonsail.bookkeeping import refsets
from persimmonsail.bookkeeping import tasks
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail.decisions import fleet as fleet_module
from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail.partitioning import contacts as contacts_module
from persimmonsail.partitioning import endings as endings_module
from persimmonsail.partitioning import holdercontext

_RENEW_TIMEOUT_SECONDS = 1.5
# For how many leases a task that must not run twice waits for an
# unreachable sidecar to return with an outcome or a checkpoint.
_MAX_WAIT_LEASES = 10


class Renewer:
    """Extends leases on all instances, with one call at a time to each."""

    def __init__(
        self,
        context: holdercontext.HolderContext,
        endings: endings_module.Endings,
    ) -> None:
        self._context = context
        self._endings = endings
        self._ref_sets = refsets.RefSetWriter()
        self._in_progress: set[str] = set()
        self._unacknowledged: dict[str, list[control_pb2.TaskRef]] = {}

    async def run(self) -> None:
        """Extend leases until cancelled.

        Raises
        ------
        persimmonsail.exceptions.NotHolder
            If a sidecar follows a later holder.
        """
        async with anyio.create_task_group() as group:
            while True:
                for name, claimed in self._list_due().items():
                    if name not in self._in_progress:
                        group.start_soon(
                            self._renew_and_process, name, claimed
                        )
                await anyio.sleep(self._context.lease_seconds / 4)

    async def find_contact(
        self, instance: fleet_module.Instance
    ) -> contacts_module.Contact | None:
        """Return a contact with a fresh ticket, calling if necessary."""
        contact = self._context.contacts.find_fresh(instance.name)
        if contact is None or contact.incarnation != instance.incarnation:
            await self._call(instance, [])
            contact = self._context.contacts.find_fresh(instance.name)
        return contact

    def _list_due(self) -> dict[str, list[tasks.Task]]:
        """Return claimed tasks by instance.

        Includes instances that this holder has not contacted yet, and
        those with ended attempts to acknowledge.
        """
        due: dict[str, list[tasks.Task]] = {
            name: [] for name, refs in self._unacknowledged.items() if refs
        }
        for instance in self._context.fleet.list_live():
            if self._context.contacts.find(instance.name) is None:
                due.setdefault(instance.name, [])
        for task in self._context.table.tasks.values():
            if task.phase is records.TaskPhase.CLAIMED:
                due.setdefault(task.instance, []).append(task)
        return due

    async def _renew_and_process(
        self, name: str, claimed: list[tasks.Task]
    ) -> None:
        self._in_progress.add(name)
        try:
            reply = await self._renew(name, claimed)
        finally:
            self._in_progress.discard(name)
        # In a store outage, outcomes cannot be committed until it ends.
        # If the instance were not called in the meantime, the leases of
        # all its other tasks would expire.
        if reply is not None:
            await self._note_states(name, reply)
        else:
            await self._reassign_unreachable(name, claimed)

    async def _renew(
        self, name: str, claimed: list[tasks.Task]
    ) -> control_pb2.RenewReply | None:
        instance = self._context.fleet.find(name)
        if instance is None:
            return None
        refs = [
            control_pb2.TaskRef(task=task.id, attempt=task.attempt)
            for task in claimed
            if task.id not in self._context.task_locks
        ]
        contact = self._context.contacts.find_fresh(name)
        if contact is None or contact.incarnation != instance.incarnation:
            # A call with an old ticket would not extend any lease.
            await self._call(instance, [])
        return await self._call(instance, refs)

    async def _call(
        self,
        instance: fleet_module.Instance,
        refs: list[control_pb2.TaskRef],
    ) -> control_pb2.RenewReply | None:
        contact = self._context.contacts.find(instance.name)
        if not self._context.authority.is_valid:
            logs.write_event(
                'renew-withheld',
                instance=instance.name,
                partition=self._context.partition,
            )
            return None
        request = control_pb2.RenewRequest(
            partition=self._context.partition,
            epoch=self._context.epoch,
            incarnation=self._find_incarnation(instance),
            lease_seconds=self._context.lease_seconds,
            ticket=contact.ticket if contact else 0.0,
            acknowledged=self._unacknowledged.get(instance.name, []),
        )
        self._ref_sets.add_tasks(request, refs)
        try:
            reply = await self._context.links.call(
                instance.address,
                control_grpc.SidecarStub,
                'Renew',
                request,
                min(_RENEW_TIMEOUT_SECONDS, self._context.lease_seconds / 4),
            )
        except exceptions.LinkLost as error:
            logs.write_event(
                'renew-failed', instance=instance.name, error=error
            )
            return None
        self._ref_sets.note_reply(request, reply)
        if reply.resend:
            return await self._call(instance, refs)
        return self._process_reply(instance, reply)

    def _process_reply(
        self, instance: fleet_module.Instance, reply: control_pb2.RenewReply
    ) -> control_pb2.RenewReply | None:
        if reply.reason == reasons.LATER_EPOCH:
            raise exceptions.NotHolder(f'{instance.name}: {reply.reason}')
        if not reply.accepted:
            logs.write_event(
                'renew-refused', instance=instance.name, reason=reply.reason
            )
            # A sidecar that has lost its worker must not count as being
            # in contact, or the tasks' leases would never expire.
            if reply.incarnation != self._find_incarnation(instance):
                self._context.contacts.note(
                    instance.name, reply.incarnation, reply
                )
            return None
        self._context.contacts.note(instance.name, reply.incarnation, reply)
        self._context.fleet.note_load(instance.name, reply.load)
        self._unacknowledged[instance.name] = [
            control_pb2.TaskRef(task=state.task, attempt=state.attempt)
            for state in reply.unasked
            if self._is_ended(state)
        ]
        return reply

    def _find_incarnation(self, instance: fleet_module.Instance) -> str:
        contact = self._context.contacts.find(instance.name)
        return (contact or instance).incarnation

    def _is_ended(self, state: control_pb2.TaskState) -> bool:
        """Whether the ledger no longer needs anything from an attempt."""
        if state.phase == control_pb2.ACTIVE:
            return False
        task = self._context.table.tasks.get(state.task)
        if task is None or task.is_final or task.attempt > state.attempt:
            return True
        return task.phase is records.TaskPhase.PENDING

    async def _note_states(
        self, name: str, reply: control_pb2.RenewReply
    ) -> None:
        async with anyio.create_task_group() as group:
            for state in reply.states:
                if state.phase == control_pb2.ACTIVE:
                    continue
                group.start_soon(self._note_state, name, state, reply.boot)

    async def _note_state(
        self, name: str, state: control_pb2.TaskState, boot: str
    ) -> None:
        task = self._context.table.tasks.get(state.task)
        if task is None or not self._is_available(task, state.attempt):
            return
        with self._context.task_locks.acquire(task.id):
            await self._endings.note_state(task, state, boot)
        # The worker retains the attempt until it is acknowledged.
        self._unacknowledged.setdefault(name, []).append(
            control_pb2.TaskRef(task=state.task, attempt=state.attempt)
        )

    def _is_available(self, task: tasks.Task, attempt: int) -> bool:
        return (
            task.phase is records.TaskPhase.CLAIMED
            and task.attempt == attempt
            and task.id not in self._context.task_locks
        )

    async def _reassign_unreachable(
        self, name: str, claimed: list[tasks.Task]
    ) -> None:
        others_expired_at = self._context.fence.consents_expired_at
        if not self._context.authority.lease_is_valid:
            return
        if not self._context.contacts.has_expired(name, others_expired_at):
            return
        silence = self._context.contacts.measure_silence(
            name, others_expired_at
        )
        max_wait = _MAX_WAIT_LEASES * self._context.lease_seconds
        async with anyio.create_task_group() as group:
            for task in claimed:
                # The task may have moved during the call, and this silence
                # is no evidence about the next instance.
                if task.instance != name:
                    continue
                keeps_waiting = silence < max_wait and not (
                    task.cancel_asked or self._endings.is_restartable(task)
                )
                if not keeps_waiting:
                    group.start_soon(self._reassign, task, task.attempt, name)

    async def _reassign(
        self, task: tasks.Task, attempt: int, name: str
    ) -> None:
        if not self._is_available(task, attempt):
            return
        logs.write_event(
            'reassign',
            task=task.id,
            attempt=attempt,
            instance=name,
            epoch=self._context.epoch,
            reason=records.LEASE_EXPIRED,
            now=f'{time.monotonic():.6f}',
        )
        with self._context.task_locks.acquire(task.id):
            await self._endings.abandon(task, records.LEASE_EXPIRED)
