"""Placement of pending tasks on instances, and their start."""

import random
import time

import anyio
import anyio.abc

from persimmonsail.bookkeeping import records
from persimmonsail.bookkeeping import tasks
from persimmonsail.catalogues import catalogue as catalogue_module
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail.decisions import backoff
from persimmonsail.decisions import objectives
from persimmonsail.decisions import placement
from persimmonsail.decisions import planner as planner_module
from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail.partitioning import contacts as contacts_module
from persimmonsail.partitioning import endings as endings_module
from persimmonsail.partitioning import holdercontext
from persimmonsail.partitioning import renewals

_START_TIMEOUT_SECONDS = 2.0
_ROUND_PERIOD_SECONDS = 0.1


class Dispatcher:
    """Claims pending tasks for instances and starts them."""

    def __init__(
        self,
        context: holdercontext.HolderContext,
        endings: endings_module.Endings,
        renewer: renewals.Renewer,
    ) -> None:
        self._context = context
        self._endings = endings
        self._renewer = renewer
        self._placer = placement.Placer(
            context.fleet.estimator,
            objectives.Objectives(
                lambda name: objectives.find_objective(
                    context.view.catalogue, name
                )
            ),
            time.monotonic,
        )
        self._planner = planner_module.Planner(
            context.fleet, context.learned_state, self._placer.choose_task
        )
        self._backoff = backoff.Backoff(random.Random(context.partition))
        self._starting: set[str] = set()
        self._logged_reasons: dict[str, str] = {}
        self._idle_position: int | None = None

    async def run(self) -> None:
        """Place tasks until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                if (
                    self._context.authority.lease_is_valid
                    and self._may_have_pending()
                ):
                    self._place_pending(group)
                await anyio.sleep(_ROUND_PERIOD_SECONDS)

    def _may_have_pending(self) -> bool:
        """Whether any task may be pending.

        Tasks become pending only through records: if none was written
        since a round without pending tasks, there is still none.
        """
        return self._idle_position != self._context.ledger.position

    def _place_pending(self, group: anyio.abc.TaskGroup) -> None:
        context = self._context
        if not context.view.is_fresh:
            return
        catalogue = context.view.catalogue
        pending = self._collect_pending(catalogue)
        context.intake.note_pending(pending)
        now = time.monotonic()
        self._backoff.forget_unless(self._is_unfinished)
        for task in pending:
            self._delay_restarted(task, now)
        ready = [
            task
            for task in pending
            if not self._backoff.is_waiting(task.id, now)
        ]
        for step in self._planner.plan(ready, catalogue, now):
            self._starting.add(step.task.id)
            if isinstance(step, planner_module.Refusal):
                group.start_soon(self._refuse, step)
            else:
                workload = catalogue.workloads[step.task.workload]
                group.start_soon(self._start, step, workload)
        self._log_waiting()

    def _is_unfinished(self, task: str) -> bool:
        found = self._context.table.tasks.get(task)
        return found is not None and not found.is_final

    def _collect_pending(
        self, catalogue: catalogue_module.Catalogue
    ) -> list[tasks.Task]:
        """Return the pending tasks, and account for the running ones."""
        pending = []
        has_pending = False
        charged = set(self._starting)
        for task in self._context.table.tasks.values():
            if task.phase is records.TaskPhase.CLAIMED:
                charged.add(task.id)
                self._planner.note_task(task, catalogue)
            elif task.phase is records.TaskPhase.PENDING:
                has_pending = True
                available = task.id not in self._context.task_locks
                if available and not task.cancel_asked:
                    pending.append(task)
        self._planner.accounts.retain_only(charged)
        position = self._context.ledger.position
        self._idle_position = None if has_pending else position
        return pending

    def _log_waiting(self) -> None:
        waiting = self._planner.wait_reasons
        for task, reason in waiting.items():
            if self._logged_reasons.get(task) != reason:
                logs.write_event('waiting', task=task, reason=reason)
        self._logged_reasons = waiting

    async def _refuse(self, step: planner_module.Refusal) -> None:
        try:
            if step.task.id in self._context.task_locks:
                return
            with self._context.task_locks.acquire(step.task.id):
                await self._endings.finish(
                    step.task, records.TaskPhase.FAILED, step.reason
                )
        finally:
            self._starting.discard(step.task.id)

    async def _start(
        self,
        step: planner_module.Placement,
        workload: catalogue_module.Workload,
    ) -> None:
        task = step.task
        try:
            if task.id in self._context.task_locks:
                return
            with self._context.task_locks.acquire(task.id):
                contact = await self._renewer.find_contact(step.instance)
                if contact is None:
                    return
                if await self._claim(step, workload, contact):
                    await self._send_start(step, workload, contact.boot)
        finally:
            self._starting.discard(task.id)

    async def _claim(
        self,
        step: planner_module.Placement,
        workload: catalogue_module.Workload,
        contact: contacts_module.Contact,
    ) -> bool:
        task, chosen = step.task, step.instance
        attempt = task.attempt + 1
        try:
            await self._context.committer.commit(
                records.Claimed(task.id, attempt, chosen.name, contact.boot)
            )
        except exceptions.NotCommitted:
            return False
        self._context.intake.note_placed(task.team, time.monotonic())
        logs.write_event(
            'placement',
            task=task.id,
            workload=task.workload,
            attempt=attempt,
            epoch=self._context.epoch,
            chosen=chosen.name,
            incarnation=contact.incarnation,
            workload_class=workload.workload_class,
            idempotent=workload.idempotent,
            checkpoint=logs.digest(task.checkpoint.encode()),
            revision=self._context.view.revision,
            **_describe_terms(step),
        )
        return True

    async def _send_start(
        self,
        step: planner_module.Placement,
        workload: catalogue_module.Workload,
        boot: str,
    ) -> None:
        task, chosen = step.task, step.instance
        # The ticket is stale if the commit took seconds.
        contact = await self._renewer.find_contact(chosen)
        allowed = self._context.authority.is_valid and not task.cancel_asked
        if contact is None or not allowed:
            # Nothing was sent, but only this holder knows that. The next
            # renewal bars the attempt before it is released.
            return
        attempt = task.attempt
        request = control_pb2.StartTaskRequest(
            task=task.id,
            attempt=attempt,
            partition=self._context.partition,
            epoch=self._context.epoch,
            incarnation=contact.incarnation,
            revision=self._context.view.revision,
            workload=task.workload,
            team=task.team,
            workload_class=workload.workload_class,
            size=step.estimate.size.to_message(),
            lease_seconds=self._context.lease_seconds,
            payload=task.payload.encode(),
            checkpoint=task.checkpoint,
            ticket=contact.ticket,
            boot=boot,
            canary=step.canary,
            suspect=step.suspect,
        )
        self._context.learned_state.note_start(task.id, time.monotonic())
        try:
            reply = await self._context.links.call(
                chosen.address,
                control_grpc.SidecarStub,
                'StartTask',
                request,
                _START_TIMEOUT_SECONDS,
            )
        except exceptions.LinkLost:
            return
        self._context.fleet.note_load(chosen.name, reply.load)
        if reply.verdict != control_pb2.UNKNOWN:
            self._context.contacts.note(chosen.name, reply.incarnation, reply)
        if reply.verdict == control_pb2.NOT_RUN:
            self._delay(task, reply)
            await self._endings.release(task, reply.reason)

    def _delay_restarted(self, task: tasks.Task, now: float) -> None:
        """Back off the restart of a task whose worker was restarted.

        The task may be what crashes its workers. Restarted immediately, it
        would take the colocated tasks down with it ten times a second. There
        is no evidence yet that it is the cause, so it is delayed ever longer
        rather than failed.
        """
        if task.reason != endings_module.WORKER_RESTARTED:
            return
        if not self._backoff.has_wait(task.id, task.attempt):
            self._back_off(task, task.reason, 0.0, now)

    def _delay(
        self, task: tasks.Task, reply: control_pb2.StartTaskReply
    ) -> None:
        retry_after = reply.retry_after_seconds
        self._back_off(task, reply.reason, retry_after, time.monotonic())

    def _back_off(
        self, task: tasks.Task, reason: str, retry_after: float, now: float
    ) -> None:
        wait = self._backoff.note_refusal(
            task.id, task.attempt, reason, retry_after, now
        )
        if wait is not None:
            logs.write_event(
                'start-delayed',
                task=task.id,
                attempt=task.attempt,
                reason=reason,
                refusals=wait.refusals,
                seconds=round(wait.until - now, 3),
            )


def _describe_terms(step: planner_module.Placement) -> dict[str, object]:
    size = step.estimate.size
    return {
        'cores': size.cores,
        'memory_gb': size.memory_gb,
        'size': step.estimate.source,
        'samples': step.estimate.samples,
        'team': step.task.team,
        'share': step.decision.share,
        'entitlement': step.decision.entitlement,
        'canary': step.canary,
        'suspect': step.suspect,
    }
