"""Execution of a leader's orders through the worker's agent."""

import contextlib
import dataclasses
import typing as t

import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import incarnation as incarnation_module
from persimmonsail.jobs import worker as worker_module
from persimmonsail import logs

_RETRY_SECONDS = 0.1
# An unanswered start is retried almost immediately; the retry finds the run
# that the first attempt started.
_ORDER_RETRY_SECONDS = 0.03
# Leases are extended twice a second, so those that a worker's agent holds end
# at most this long before the limit that the leader allows.
_MAX_EXTENSION_LAG_SECONDS = 1.0
# Reason given for a start whose deadline has passed.
EXPIRED = 'expired'


def is_expired(start: fleet_pb2.Start, now: float) -> bool:
    """Return whether the deadline of a start has passed."""
    return bool(start.deadline) and now >= start.deadline


@dataclasses.dataclass
class Authority:
    """The authority granted by the latest leader.

    Attributes
    ----------
    epoch : int
        The leader's term.
    until : float
        Time up to which leases may be granted, on ``clock``.
    """

    epoch: int = 0
    until: float = 0.0


class Executor:
    """Starts, stops and throttles runs, and polls their state.

    Parameters
    ----------
    worker : persimmonsail.jobs.worker.Worker
        Client of the worker's agent.
    authority : Authority
        Updated by the owner as the leader's orders arrive.
    on_boot_ended : callable
        Called with a boot that has ended.
    on_barred : callable
        Called with task, run and reason of a run that never starts.
    on_change : callable
        Called when the running or ended runs have changed.
    on_renewal_due : callable
        Called when leases should be extended immediately.
    """

    def __init__(
        self,
        worker: worker_module.Worker,
        authority: Authority,
        on_boot_ended: t.Callable[[str], None],
        on_barred: t.Callable[[str, int, str], None],
        on_change: t.Callable[[], None],
        on_renewal_due: t.Callable[[], None],
    ) -> None:
        self._worker = worker
        self._authority = authority
        self._on_boot_ended = on_boot_ended
        self._on_barred = on_barred
        self._on_change = on_change
        self._on_renewal_due = on_renewal_due

    async def start(
        self,
        incarnation: incarnation_module.Incarnation,
        start: fleet_pb2.Start,
    ) -> None:
        """Start a run; report it to the leader if it never starts."""
        key = (start.task, start.run)
        unanswered = False
        ordered_at = clock.read()
        attempts = 0
        while not incarnation.terminated and key not in incarnation.stopping:
            now = clock.read()
            refusal = self._find_refusal(incarnation, start, unanswered)
            if refusal:
                await self._settle_refusal(
                    incarnation, key, refusal, unanswered
                )
                return
            until = incarnation.to_agent_clock(self._get_begin_limit(start))
            incarnation.granted_until = max(
                incarnation.granted_until, self._authority.until
            )
            order = worker_module.StartOrder(
                start.task,
                start.run,
                start.payload,
                start.checkpoint,
                until,
                start.ticket,
            )
            attempts += 1
            try:
                with incarnation.late_calls.send_start(key):
                    clock_ms = await self._worker.start(
                        incarnation.boot, self._authority.epoch, order
                    )
            except exceptions.WorkerBootChanged:
                self._on_boot_ended(incarnation.boot)
                return
            except exceptions.OrderRefused as error:
                incarnation.note_answer(clock.read())
                if not unanswered:
                    incarnation.discard_start(key)
                await self._settle_refusal(
                    incarnation, key, error.reason, unanswered
                )
                return
            except exceptions.WorkerNotReached as error:
                if not unanswered:
                    await self._settle_refusal(
                        incarnation, key, str(error), unanswered
                    )
                    return
                await anyio.sleep(_RETRY_SECONDS)
                continue
            except exceptions.WorkerUnavailable as error:
                if not unanswered:
                    logs.write_event(
                        'start-unanswered',
                        task=start.task,
                        run=start.run,
                        error=error,
                    )
                unanswered = True
                incarnation.note_unanswered_start(key, now)
                incarnation.note_unanswered_call(clock.read())
                await anyio.sleep(_ORDER_RETRY_SECONDS)
                continue
            incarnation.note_start_sent(key, now)
            incarnation.note_start_answered(order, clock_ms, clock.read())
            logs.write_event(
                'started',
                task=start.task,
                run=start.run,
                ordered_seconds=clock.read() - ordered_at,
                tries=attempts,
            )
            await self._handle_answered_start(incarnation, start)
            return

    async def _handle_answered_start(
        self,
        incarnation: incarnation_module.Incarnation,
        start: fleet_pb2.Start,
    ) -> None:
        """Update the state after a start was answered."""
        incarnation.note_answer(clock.read())
        incarnation.pending.pop((start.task, start.run), None)
        if (
            incarnation.extended_until
            < self._authority.until - _MAX_EXTENSION_LAG_SECONDS
        ):
            # The run's lease is only as long as the start order allowed;
            # if this sidecar failed now, the run would end with it.
            self._on_renewal_due()
        if start.HasField('percent'):
            # Immediately: at full speed the run would interfere with
            # colocated serving tasks until the leader's first decision.
            pace = fleet_pb2.Pace(
                task=start.task, run=start.run, percent=start.percent
            )
            await self.set_speed_limit(incarnation, pace)
        self._on_change()

    def _find_refusal(
        self,
        incarnation: incarnation_module.Incarnation,
        start: fleet_pb2.Start,
        repeated: bool,
    ) -> str:
        """Return why a start may not be sent now; empty if it may."""
        now = clock.read()
        # Without the leader's authority no lease can be granted.
        if self._authority.until <= now or not incarnation.knows_agent_clock:
            return 'no-authority'
        if is_expired(start, now):
            return EXPIRED
        # The instance may have changed since the order arrived, and its
        # agent starts whatever it is ordered to.
        if repeated and incarnation.heartbeat.leaving:
            return 'leaving'
        if repeated and not incarnation.fits_capacity():
            return 'room'
        return ''

    def _get_begin_limit(self, start: fleet_pb2.Start) -> float:
        """Return the time until which a run may begin, on ``clock``.

        The agent checks it when the order arrives, however late; leases are
        extended beyond it as usual.
        """
        if not start.deadline:
            return self._authority.until
        return min(self._authority.until, start.deadline)

    async def _settle_refusal(
        self,
        incarnation: incarnation_module.Incarnation,
        key: incarnation_module.RunId,
        reason: str,
        unanswered: bool,
    ) -> None:
        """Report to the leader that a run never starts, once certain.

        An unanswered start may be executed seconds later. Only an answered
        stop prevents that; without it the leader would start the task
        elsewhere and it would run twice.
        """
        task, run = key
        logs.write_event(
            'start-refused',
            task=task,
            run=run,
            reason=reason,
            settled=not unanswered,
        )
        if unanswered:
            await self.stop(incarnation, key)
            return
        incarnation.pending.pop(key, None)
        self._on_barred(task, run, reason)

    async def stop(
        self,
        incarnation: incarnation_module.Incarnation,
        key: incarnation_module.RunId,
    ) -> None:
        """Stop a run or bar its start, retrying until it is answered."""
        incarnation.stopping.add(key)
        try:
            await self._stop_until_settled(incarnation, key)
        finally:
            incarnation.stopping.discard(key)

    async def _stop_until_settled(
        self,
        incarnation: incarnation_module.Incarnation,
        key: incarnation_module.RunId,
    ) -> None:
        task, run = key
        failures = 0
        while not incarnation.terminated:
            try:
                await self._worker.stop(
                    incarnation.boot, self._authority.epoch, task, run
                )
                await self.poll(incarnation)
            except exceptions.WorkerBootChanged:
                self._on_boot_ended(incarnation.boot)
                return
            except exceptions.OrderRefused as error:
                logs.write_event(
                    'stop-refused', task=task, run=run, reason=error.reason
                )
                await anyio.sleep(_RETRY_SECONDS)
                continue
            except exceptions.WorkerUnavailable as error:
                failures += 1
                if failures == 1:
                    logs.write_event(
                        'stop-unanswered', task=task, run=run, error=error
                    )
                await anyio.sleep(_RETRY_SECONDS)
                continue
            if key not in incarnation.running:
                break
            await anyio.sleep(_RETRY_SECONDS)
        await self._wait_outcome(incarnation, key)
        incarnation.pending.pop(key, None)
        logs.write_event('stopped-run', task=task, run=run)
        if not incarnation.has_ended(key):
            incarnation.discard_start(key)
            self._on_barred(task, run, 'absent')
        self._on_change()

    async def _wait_outcome(
        self,
        incarnation: incarnation_module.Incarnation,
        key: incarnation_module.RunId,
    ) -> None:
        """Wait until the end of a stopped run is listed, or ruled out."""
        if incarnation.is_outcome_known(key):
            return
        task, run = key
        logs.write_event('stop-unsettled', task=task, run=run)
        while not incarnation.terminated:
            # The agent is polled anyway, whenever ends are acknowledged.
            await anyio.sleep(_RETRY_SECONDS)
            if incarnation.is_outcome_known(key):
                return

    async def set_speed_limit(
        self, incarnation: incarnation_module.Incarnation, pace: fleet_pb2.Pace
    ) -> None:
        """Send a run's speed limit to the agent, without retrying."""
        try:
            await self._worker.set_speed_limit(
                incarnation.boot,
                self._authority.epoch,
                pace.task,
                pace.run,
                pace.percent,
            )
        except exceptions.WorkerBootChanged:
            self._on_boot_ended(incarnation.boot)
        except (
            exceptions.OrderRefused,
            exceptions.WorkerUnavailable,
        ) as error:
            # The leader sends it again as long as the gauges require it.
            logs.write_event('pace-failed', task=pace.task, error=error)

    async def poll(
        self,
        incarnation: incarnation_module.Incarnation,
        extend: bool = False,
        wait: float = 0.0,
    ) -> None:
        """Poll running and ended runs; extend leases if requested.

        Parameters
        ----------
        incarnation : persimmonsail.jobs.incarnation.Incarnation
            The agent's incarnation to poll.
        extend : bool
            Whether leases are extended as far as the leader allows.
        wait : float
            Seconds to wait for another run to end.
        """
        until = None
        now = clock.read()
        unreachable = (
            now - incarnation.answered_at
            > incarnation_module.UNREACHABLE_SECONDS
        )
        if extend and not unreachable and self._authority.until > now:
            allowed = self._authority.until
            until = incarnation.to_agent_clock(allowed)
            incarnation.granted_until = max(incarnation.granted_until, allowed)
        epoch = self._authority.epoch
        # A long poll is often open when the agent ends. It discards nothing,
        # as the agent's next start might execute it.
        discarded = 0 if wait else incarnation.undiscarded_end
        with contextlib.ExitStack() as stack:
            if discarded:
                stack.enter_context(incarnation.late_calls.send_discard())
            snapshot = await self._worker.poll(
                incarnation.boot, epoch, discarded, until, wait
            )
        incarnation.discarded_end = max(incarnation.discarded_end, discarded)
        incarnation.fenced_epoch = max(incarnation.fenced_epoch, epoch)
        incarnation.note_answer(clock.read())
        if until is not None:
            incarnation.extended_until = max(
                incarnation.extended_until, allowed
            )
        if incarnation.failing:
            incarnation.failing = False
            logs.write_event(
                'worker-regained',
                boot=incarnation.boot,
                clock_ms=snapshot.clock_ms,
                acknowledged=incarnation.acknowledged,
            )
            self._on_renewal_due()
        first_poll = not incarnation.polled
        if incarnation.apply_snapshot(snapshot, clock.read()):
            self._on_change()
        if first_poll:
            # The agent's clock is known from now on, so leases can be
            # extended immediately.
            self._on_renewal_due()
