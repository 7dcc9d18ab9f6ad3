"""Placing pending tasks on instances, and starting them there."""

import anyio
import anyio.abc

from persimmonsail import admission
from persimmonsail import catalogue
from persimmonsail import contacts as contacts_module
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import endings as endings_module
from persimmonsail import exceptions
from persimmonsail import fleet as fleet_module
from persimmonsail import holding as holding_module
from persimmonsail import logs
from persimmonsail import placement
from persimmonsail import records
from persimmonsail import renewals
from persimmonsail import tasks

_START_TIMEOUT = 2.0
_PERIOD = 0.1


class Dispatcher:
    """Claims pending tasks for instances and starts them."""

    def __init__(
        self,
        holding: holding_module.Holding,
        endings: endings_module.Endings,
        renewer: renewals.Renewer,
    ) -> None:
        self._holding = holding
        self._endings = endings
        self._renewer = renewer

    async def run(self) -> None:
        """Place tasks until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                if self._holding.authority.lease_is_valid:
                    self._place_pending(group)
                await anyio.sleep(_PERIOD)

    def choose(
        self, task: tasks.Task, workload: catalogue.Workload
    ) -> fleet_module.Instance | None:
        """Return the instance for a task's next attempt, if any."""
        return placement.choose_instance(
            self._holding.fleet.list_live(), _read_size(workload)
        )

    def _place_pending(self, group: anyio.abc.TaskGroup) -> None:
        for task in list(self._holding.table.tasks.values()):
            if task.phase is not records.TaskPhase.PENDING:
                continue
            if task.cancel_asked or task.id in self._holding.owned:
                continue
            workload = self._holding.view.catalogue.workloads.get(
                task.workload
            )
            if workload is None or not self._holding.view.is_fresh:
                continue
            chosen = self.choose(task, workload)
            if chosen is not None:
                chosen.committed = chosen.committed + _read_size(workload)
                group.start_soon(self._start, task, workload, chosen)

    async def _start(
        self,
        task: tasks.Task,
        workload: catalogue.Workload,
        chosen: fleet_module.Instance,
    ) -> None:
        if task.id in self._holding.owned:
            return
        with self._holding.owned.own(task.id):
            contact = await self._renewer.find_contact(chosen)
            if contact is None:
                return
            if not await self._claim(task, workload, chosen, contact):
                return
            await self._send_start(task, workload, chosen, contact.boot)

    async def _claim(
        self,
        task: tasks.Task,
        workload: catalogue.Workload,
        chosen: fleet_module.Instance,
        contact: contacts_module.Contact,
    ) -> bool:
        attempt = task.attempt + 1
        try:
            await self._holding.committer.commit(
                records.Claimed(task.id, attempt, chosen.name, contact.boot)
            )
        except exceptions.NotCommitted:
            return False
        logs.write_event(
            'placement',
            task=task.id,
            workload=task.workload,
            attempt=attempt,
            epoch=self._holding.epoch,
            chosen=chosen.name,
            incarnation=contact.incarnation,
            workload_class=workload.workload_class,
            idempotent=workload.idempotent,
            checkpoint=logs.digest(task.checkpoint.encode()),
            revision=self._holding.view.revision,
        )
        return True

    async def _send_start(
        self,
        task: tasks.Task,
        workload: catalogue.Workload,
        chosen: fleet_module.Instance,
        boot: str,
    ) -> None:
        # The commit may have taken seconds; the ticket is then old.
        contact = await self._renewer.find_contact(chosen)
        if contact is None or not self._holding.authority.is_valid:
            # Nothing was sent, but only this holder knows that: the
            # next renewal bars the attempt before it is released.
            return
        attempt = task.attempt
        request = control_pb2.StartTaskRequest(
            task=task.id,
            attempt=attempt,
            partition=self._holding.partition,
            epoch=self._holding.epoch,
            incarnation=contact.incarnation,
            revision=self._holding.view.revision,
            workload=task.workload,
            team=task.team,
            workload_class=workload.workload_class,
            size=_read_size(workload).to_message(),
            lease_seconds=self._holding.lease_seconds,
            payload=task.payload.encode(),
            checkpoint=task.checkpoint,
            ticket=contact.ticket,
            boot=boot,
        )
        try:
            reply = await self._holding.links.call(
                chosen.address,
                control_grpc.SidecarStub,
                'StartTask',
                request,
                _START_TIMEOUT,
            )
        except exceptions.LinkLost:
            return
        self._holding.fleet.note_load(chosen.name, reply.load)
        if reply.verdict != control_pb2.UNKNOWN:
            self._holding.contacts.note(chosen.name, reply.incarnation, reply)
        if reply.verdict == control_pb2.NOT_RUN:
            await self._endings.release(task, reply.reason)


def _read_size(workload: catalogue.Workload) -> admission.Size:
    return admission.Size(
        workload.cores, workload.memory_gb, workload.accelerators
    )
