"""The records that a holder commits when an attempt has ended."""

import time

from persimmonsail.bookkeeping import records
from persimmonsail.bookkeeping import tasks
from persimmonsail.catalogues import catalogue
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail.partitioning import holdercontext

WORKER_RESTARTED = 'the worker was restarted'


class Endings:
    """Commits the end of attempts and the next phase of their tasks.

    A task that may have run and must not run twice ends as unknown,
    unless the attempt left a checkpoint to resume from.
    """

    def __init__(self, context: holdercontext.HolderContext) -> None:
        self._context = context

    async def note_state(
        self, task: tasks.Task, state: control_pb2.TaskState, boot: str
    ) -> None:
        """Commit the end of the latest attempt as a worker reports it.

        Parameters
        ----------
        task : Task
            A claimed task, locked by the caller.
        state : TaskState
            The attempt's state at the worker.
        boot : str
            The worker process that reported it.
        """
        if state.phase in (control_pb2.SUCCEEDED, control_pb2.FAILED):
            failed = state.phase == control_pb2.FAILED
            self._note_end(task, failed)
        if state.phase == control_pb2.SUCCEEDED:
            await self.finish(
                task, records.TaskPhase.SUCCEEDED, 'done', state.answer
            )
        elif state.phase == control_pb2.FAILED:
            await self._note_failure(task, state.answer)
        elif state.phase == control_pb2.EVICTED:
            await self._note_eviction(task, state.checkpoint)
        elif state.phase == control_pb2.ABSENT:
            await self._note_absence(task, boot)
        elif state.phase == control_pb2.STOPPED:
            await self.abandon(task, 'stopped')

    async def abandon(self, task: tasks.Task, reason: str) -> None:
        """Abandon the latest attempt, which may have run."""
        if task.cancel_asked:
            await self.finish(task, records.TaskPhase.CANCELLED, 'cancelled')
        elif self.is_restartable(task):
            await self.release(task, reason)
        else:
            await self.finish(task, records.TaskPhase.UNKNOWN, reason)

    def is_restartable(self, task: tasks.Task) -> bool:
        """Whether a task may restart from its last checkpoint."""
        workload = self._context.view.catalogue.workloads.get(task.workload)
        return workload is not None and (
            workload.idempotent
            or workload.workload_class is catalogue.WorkloadClass.WATCHER
        )

    async def release(
        self, task: tasks.Task, reason: str, checkpoint: str = ''
    ) -> None:
        """Make a task pending again."""
        attempt = task.attempt
        await self._commit(
            records.Released(task.id, attempt, reason, checkpoint)
        )
        logs.write_event(
            'task-released',
            task=task.id,
            attempt=attempt,
            reason=reason,
            checkpoint=bool(checkpoint),
        )

    async def finish(
        self,
        task: tasks.Task,
        phase: records.TaskPhase,
        reason: str,
        answer: str = '',
    ) -> None:
        """Commit a task's final outcome."""
        self._context.learned_state.forget(task.id)
        await self._commit(
            records.Finished(
                task.id, task.attempt, phase, answer, reason, time.time()
            )
        )
        logs.write_event(
            'task-finished',
            task=task.id,
            attempt=task.attempt,
            phase=phase,
            reason=reason,
        )

    def _note_end(self, task: tasks.Task, failed: bool) -> None:
        learned_state = self._context.learned_state
        verdict = learned_state.note_end(
            task, task.instance, failed, time.monotonic()
        )
        if failed:
            logs.write_event(
                'task-failed',
                task=task.id,
                workload=task.workload,
                attempt=task.attempt,
                instance=task.instance,
                instance_log_odds=verdict.log_odds,
                streak=verdict.streak,
                jobs=verdict.jobs,
                job_failures=learned_state.tracker.estimate_failures(
                    task.workload
                ),
            )

    async def _note_failure(self, task: tasks.Task, answer: str) -> None:
        workload = self._context.view.catalogue.workloads.get(task.workload)
        retry = (
            workload is not None
            and workload.idempotent
            and task.failures + 1 < workload.max_attempts
            and not self._context.learned_state.tracker.is_job_faulty(
                task.workload
            )
        )
        if retry:
            await self.release(task, tasks.FAILED)
        else:
            await self.finish(task, records.TaskPhase.FAILED, 'failed', answer)

    async def _note_eviction(self, task: tasks.Task, checkpoint: str) -> None:
        if checkpoint and not task.cancel_asked:
            await self.release(task, 'evicted', checkpoint)
        else:
            await self.abandon(task, 'evicted without a checkpoint')

    async def _note_absence(self, task: tasks.Task, boot: str) -> None:
        # A worker knows every attempt that it has started and whose end
        # was not acknowledged. A process that replaced it knows none, so
        # there an attempt's absence does not prove that it never ran.
        if task.boot and task.boot == boot:
            await self.release(task, 'not run')
        else:
            await self.abandon(task, WORKER_RESTARTED)

    async def _commit(self, record: records.Record) -> None:
        try:
            await self._context.committer.commit(record)
        except exceptions.NotCommitted as error:
            logs.write_warning('record-late', reason=error)
