"""The holder of one partition: accepts, places and follows its tasks."""

import contextlib
import dataclasses
import time
import typing as t

import anyio
import anyio.abc

from persimmonsail import admission
from persimmonsail import catalogue
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import fleet as fleet_module
from persimmonsail import ledger as ledger_module
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail import placement
from persimmonsail import records
from persimmonsail import revisions
from persimmonsail import settings as settings_module
from persimmonsail import tasks

_START_TIMEOUT = 2.0
_RENEW_TIMEOUT = 1.5
_DISPATCH_PERIOD = 0.1
_LEASE_MARGIN = 2.0


@dataclasses.dataclass
class _Proposal:
    record: records.Record
    done: anyio.Event
    committed: bool = False


class Holder:
    """Runs one partition while this process holds it."""

    def __init__(
        self,
        ledger: ledger_module.Ledger,
        fleet: fleet_module.Fleet,
        links: links_module.Links,
        view: revisions.View,
        settings: settings_module.Settings,
    ) -> None:
        self.ledger = ledger
        self.ready = False
        self._fleet = fleet
        self._links = links
        self._view = view
        self._settings = settings
        self._proposals: list[_Proposal] = []
        self._proposed = anyio.Event()
        self._busy: set[str] = set()
        self._heard: dict[str, float] = {}
        self._changed = anyio.Event()

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
        logs.write_event(
            'partition-opened', partition=self.ledger.partition, epoch=epoch
        )
        self.ready = True
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._run_commits)
                group.start_soon(self._run_dispatch, group)
                group.start_soon(self._run_renewals, group)
        finally:
            self.ready = False

    async def submit(self, request: control_pb2.SubmitRequest) -> tasks.Task:
        """Accept a task, or find the one already accepted.

        Raises
        ------
        persimmonsail.exceptions.NotHolder
            If the partition was lost; the task may have been accepted.
        """
        workload = self._view.catalogue.workloads[request.workload]
        record = records.Submitted(
            request.task,
            request.workload,
            workload.owner,
            request.payload.decode(),
            request.revision,
        )
        while request.task not in self.table.tasks:
            if request.task in self._busy:
                await self._changed.wait()
            else:
                with self._own(request.task):
                    await self._commit(record)
        return self.table.tasks[request.task]

    async def wait_final(self, task: str, seconds: float) -> tasks.Task | None:
        """Return a task, waiting for its final outcome for a while."""
        found = self.table.tasks.get(task)
        with anyio.move_on_after(seconds):
            while found is not None and not found.is_final:
                await self._changed.wait()
        return found

    async def cancel(self, task: str) -> tasks.Task | None:
        """Ask for a task's end."""
        found = self.table.tasks.get(task)
        while found and not found.is_final and not found.cancel_asked:
            if task in self._busy:
                await self._changed.wait()
            else:
                with self._own(task):
                    await self._commit(records.CancelAsked(task))
        return found

    @contextlib.contextmanager
    def _own(self, task: str) -> t.Iterator[None]:
        """Be the only one to change a task while the context is open."""
        self._busy.add(task)
        try:
            yield
        finally:
            self._busy.discard(task)
            self._announce()

    def _announce(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _commit(self, record: records.Record) -> None:
        proposal = _Proposal(record, anyio.Event())
        self._proposals.append(proposal)
        self._proposed.set()
        await proposal.done.wait()
        if not proposal.committed:
            raise exceptions.NotHolder('the partition was lost')

    async def _run_commits(self) -> None:
        try:
            while True:
                await self._proposed.wait()
                self._proposed = anyio.Event()
                group, self._proposals = self._proposals, []
                await self._commit_group(group)
                await anyio.sleep(self._settings.entry.commit_interval)
        finally:
            for proposal in self._proposals:
                proposal.done.set()

    async def _commit_group(self, group: list[_Proposal]) -> None:
        try:
            await self.ledger.append(tuple(p.record for p in group))
            for proposal in group:
                proposal.committed = True
        finally:
            for proposal in group:
                proposal.done.set()
            self._announce()
        if self.ledger.needs_snapshot():
            await self.ledger.write_snapshot()

    async def _run_dispatch(self, group: anyio.abc.TaskGroup) -> None:
        while True:
            for task in list(self.table.tasks.values()):
                if task.id in self._busy or task.is_final:
                    continue
                if task.cancel_asked:
                    group.start_soon(self._finish_cancel, task)
                elif task.phase is records.TaskPhase.PENDING:
                    self._place(task, group)
            await anyio.sleep(_DISPATCH_PERIOD)

    def _place(self, task: tasks.Task, group: anyio.abc.TaskGroup) -> None:
        workload = self._view.catalogue.workloads.get(task.workload)
        if workload is None or not self._view.is_fresh:
            return
        size = admission.Size(
            workload.cores, workload.memory_gb, workload.accelerators
        )
        chosen = placement.choose_instance(self._fleet.list_live(), size)
        if chosen is None:
            return
        chosen.committed = chosen.committed + size
        group.start_soon(self._start, task, workload, chosen, size)

    async def _start(
        self,
        task: tasks.Task,
        workload: catalogue.Workload,
        chosen: fleet_module.Instance,
        size: admission.Size,
    ) -> None:
        if task.id in self._busy:
            return
        with self._own(task.id):
            await self._claim_and_start(task, workload, chosen, size)

    async def _claim_and_start(
        self,
        task: tasks.Task,
        workload: catalogue.Workload,
        chosen: fleet_module.Instance,
        size: admission.Size,
    ) -> None:
        attempt = task.attempt + 1
        await self._commit(records.Claimed(task.id, attempt, chosen.name))
        logs.write_event(
            'placement',
            task=task.id,
            workload=task.workload,
            attempt=attempt,
            epoch=self.table.epoch,
            chosen=chosen.name,
            incarnation=chosen.incarnation,
            workload_class=workload.workload_class,
            idempotent=workload.idempotent,
            checkpoint=logs.digest(task.checkpoint.encode()),
            revision=self._view.revision,
        )
        request = control_pb2.StartTaskRequest(
            task=task.id,
            attempt=attempt,
            partition=self.ledger.partition,
            epoch=self.table.epoch,
            incarnation=chosen.incarnation,
            revision=self._view.revision,
            workload=task.workload,
            team=task.team,
            workload_class=workload.workload_class,
            size=size.to_message(),
            lease_seconds=self._settings.entry.task_lease,
            payload=task.payload.encode(),
            checkpoint=task.checkpoint,
        )
        self._heard[chosen.name] = time.monotonic()
        try:
            reply = await self._call(
                chosen.address, 'StartTask', request, _START_TIMEOUT
            )
        except exceptions.LinkLost:
            return
        self._fleet.note_load(chosen.name, reply.load)
        if reply.verdict == control_pb2.NOT_RUN:
            await self._release(task, attempt, reply.reason)

    async def _run_renewals(self, group: anyio.abc.TaskGroup) -> None:
        period = self._settings.entry.task_lease / 4
        while True:
            by_instance: dict[str, list[tasks.Task]] = {}
            for task in self.table.tasks.values():
                if task.phase is records.TaskPhase.CLAIMED:
                    by_instance.setdefault(task.instance, []).append(task)
            for name, claimed in by_instance.items():
                group.start_soon(self._renew_instance, name, claimed)
            await anyio.sleep(period)

    async def _renew_instance(
        self, name: str, claimed: list[tasks.Task]
    ) -> None:
        instance = self._fleet.find(name)
        refs = [
            control_pb2.TaskRef(task=task.id, attempt=task.attempt)
            for task in claimed
            if task.id not in self._busy
        ]
        if instance is not None and refs:
            request = control_pb2.RenewRequest(
                partition=self.ledger.partition,
                epoch=self.table.epoch,
                incarnation=instance.incarnation,
                lease_seconds=self._settings.entry.task_lease,
                tasks=refs,
            )
            try:
                reply = await self._call(
                    instance.address, 'Renew', request, _RENEW_TIMEOUT
                )
            except exceptions.LinkLost as error:
                logs.write_event('renew-failed', instance=name, error=error)
            else:
                self._heard[name] = time.monotonic()
                await self._note_states(reply)
                return
        await self._give_up_silent(name, claimed)

    async def _note_states(self, reply: control_pb2.RenewReply) -> None:
        if not reply.accepted:
            logs.write_event('renew-refused', reason=reply.reason)
            return
        async with anyio.create_task_group() as group:
            for state in reply.states:
                task = self.table.tasks[state.task]
                if task.id in self._busy or task.attempt != state.attempt:
                    continue
                if task.phase is records.TaskPhase.CLAIMED:
                    group.start_soon(self._own_and_note, task, state)

    async def _own_and_note(
        self, task: tasks.Task, state: control_pb2.TaskState
    ) -> None:
        with self._own(task.id):
            await self._note_state(task, state)

    async def _note_state(
        self, task: tasks.Task, state: control_pb2.TaskState
    ) -> None:
        if state.phase == control_pb2.SUCCEEDED:
            await self._finish(
                task, records.TaskPhase.SUCCEEDED, state.answer, 'done'
            )
        elif state.phase == control_pb2.FAILED:
            await self._note_failure(task, state.answer)
        elif state.phase == control_pb2.EVICTED:
            await self._release(
                task, task.attempt, 'evicted', state.checkpoint
            )
        elif state.phase == control_pb2.ABSENT:
            await self._release(task, task.attempt, 'not run')
        elif state.phase == control_pb2.STOPPED:
            await self._give_up(task, 'stopped')

    async def _note_failure(self, task: tasks.Task, answer: str) -> None:
        workload = self._view.catalogue.workloads.get(task.workload)
        again = (
            workload is not None
            and workload.idempotent
            and task.attempt < workload.max_attempts
        )
        if again:
            await self._release(task, task.attempt, 'failed')
        else:
            await self._finish(
                task, records.TaskPhase.FAILED, answer, 'failed'
            )

    async def _give_up_silent(
        self, name: str, claimed: list[tasks.Task]
    ) -> None:
        # The worker stops a task by itself once its lease is over. Only
        # after the whole lease and a margin for clock drift can the
        # task be started elsewhere without running twice.
        silent = time.monotonic() - self._heard.setdefault(
            name, time.monotonic()
        )
        if silent < self._settings.entry.task_lease + _LEASE_MARGIN:
            return
        async with anyio.create_task_group() as group:
            for task in claimed:
                if task.id not in self._busy:
                    group.start_soon(self._own_and_give_up, task)

    async def _own_and_give_up(self, task: tasks.Task) -> None:
        with self._own(task.id):
            await self._give_up(task, 'lease over')

    async def _give_up(self, task: tasks.Task, reason: str) -> None:
        workload = self._view.catalogue.workloads.get(task.workload)
        restartable = workload is not None and (
            workload.idempotent
            or workload.workload_class is catalogue.WorkloadClass.WATCHER
        )
        if task.cancel_asked:
            await self._finish(
                task, records.TaskPhase.CANCELLED, '', 'cancelled'
            )
        elif restartable:
            await self._release(task, task.attempt, reason)
        else:
            await self._finish(task, records.TaskPhase.UNKNOWN, '', reason)

    async def _finish_cancel(self, task: tasks.Task) -> None:
        if task.id in self._busy or task.is_final:
            return
        with self._own(task.id):
            await self._stop_and_finish(task)

    async def _stop_and_finish(self, task: tasks.Task) -> None:
        if task.phase is records.TaskPhase.PENDING:
            await self._finish(
                task, records.TaskPhase.CANCELLED, '', 'cancelled'
            )
            return
        instance = self._fleet.find(task.instance)
        try:
            if instance is None:
                return
            reply = await self._call(
                instance.address,
                'StopTask',
                control_pb2.StopTaskRequest(
                    task=task.id,
                    attempt=task.attempt,
                    partition=self.ledger.partition,
                    epoch=self.table.epoch,
                ),
                _RENEW_TIMEOUT,
            )
        except exceptions.LinkLost:
            return
        if reply.accepted:
            await self._note_stopped(task, reply.state)

    async def _note_stopped(
        self, task: tasks.Task, state: control_pb2.TaskState
    ) -> None:
        if state.phase == control_pb2.SUCCEEDED:
            await self._note_state(task, state)
        else:
            await self._finish(
                task, records.TaskPhase.CANCELLED, '', 'cancelled'
            )

    async def _release(
        self, task: tasks.Task, attempt: int, reason: str, checkpoint: str = ''
    ) -> None:
        await self._commit(
            records.Released(task.id, attempt, reason, checkpoint)
        )
        logs.write_event(
            'task-released', task=task.id, attempt=attempt, reason=reason
        )

    async def _finish(
        self,
        task: tasks.Task,
        phase: records.TaskPhase,
        answer: str,
        reason: str,
    ) -> None:
        await self._commit(
            records.Finished(task.id, task.attempt, phase, answer, reason)
        )
        logs.write_event(
            'task-finished', task=task.id, phase=phase, reason=reason
        )

    async def _call(
        self, address: str, method: str, request: t.Any, timeout: float
    ) -> t.Any:
        return await self._links.call(
            address, control_grpc.SidecarStub, method, request, timeout
        )
