"""Carrying out a leader's orders at the worker's agent."""

import dataclasses
import typing as t

import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import life as life_module
from persimmonsail.jobs import worker as worker_module
from persimmonsail import logs

_RETRY_SECONDS = 0.1
# An order that a worker leaves unanswered is repeated at once; the
# repetition finds what the first one started.
_ORDER_PAUSE_SECONDS = 0.03
# Leases are extended twice a second, so that a worker's agent has them until
# so long before the end that the leader allows.
_LAG_SECONDS = 1.0
# Why a start is not carried out any more whose deadline is over.
EXPIRED = 'expired'


def is_expired(start: fleet_pb2.Start, now: float) -> bool:
    """Tell whether a run may not begin any more."""
    return bool(start.deadline) and now >= start.deadline


@dataclasses.dataclass
class Authority:
    """What the latest leader allows.

    Attributes
    ----------
    epoch : int
        Its term.
    until : float
        Until when leases may be granted, on ``clock``.
    """

    epoch: int = 0
    until: float = 0.0


class Orders:
    """Starts, stops and paces runs, and reads what became of them.

    Parameters
    ----------
    worker : persimmonsail.jobs.worker.Worker
        The worker's agent.
    authority : Authority
        Shared with whoever listens to the leader.
    on_over : callable
        Called with a boot that has ended.
    on_barred : callable
        Called with task, run and reason of a run that never starts.
    on_change : callable
        Called when runs or ends have changed.
    on_lease : callable
        Called when leases should be extended at once.
    """

    def __init__(
        self,
        worker: worker_module.Worker,
        authority: Authority,
        on_over: t.Callable[[str], None],
        on_barred: t.Callable[[str, int, str], None],
        on_change: t.Callable[[], None],
        on_lease: t.Callable[[], None],
    ) -> None:
        self._worker = worker
        self._authority = authority
        self._on_over = on_over
        self._on_barred = on_barred
        self._on_change = on_change
        self._on_lease = on_lease

    async def start(
        self, life: life_module.Life, start: fleet_pb2.Start
    ) -> None:
        """Start a run; tell the leader if it never starts."""
        key = (start.task, start.run)
        unanswered = False
        ordered_at = clock.read()
        tries = 0
        while not life.over and key not in life.stopping:
            now = clock.read()
            obstacle = self._find_obstacle(life, start, unanswered)
            if obstacle:
                await self._settle(life, key, obstacle, unanswered)
                return
            until = life.to_agent_clock(self._limit(start))
            life.granted_until = max(life.granted_until, self._authority.until)
            order = worker_module.StartOrder(
                start.task,
                start.run,
                start.payload,
                start.checkpoint,
                until,
                start.ticket,
            )
            tries += 1
            try:
                clock_ms = await self._worker.start(
                    life.boot, self._authority.epoch, order
                )
            except exceptions.WorkerBootChanged:
                self._on_over(life.boot)
                return
            except exceptions.OrderRefused as error:
                life.note_answer(clock.read())
                if not unanswered:
                    life.note_unsent(key)
                await self._settle(life, key, error.reason, unanswered)
                return
            except exceptions.WorkerNotReached as error:
                if not unanswered:
                    await self._settle(life, key, str(error), unanswered)
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
                life.note_unanswered(key, now)
                life.note_silence(clock.read())
                await anyio.sleep(_ORDER_PAUSE_SECONDS)
                continue
            life.note_sent(key, now)
            life.note_started(order, clock_ms, clock.read())
            logs.write_event(
                'started',
                task=start.task,
                run=start.run,
                ordered_seconds=clock.read() - ordered_at,
                tries=tries,
            )
            await self._follow_start(life, start)
            return

    async def _follow_start(
        self, life: life_module.Life, start: fleet_pb2.Start
    ) -> None:
        """Do what follows from a start that was answered."""
        life.note_answer(clock.read())
        life.pending.pop((start.task, start.run), None)
        if life.extended_until < self._authority.until - _LAG_SECONDS:
            # The agent has no more lease than the order had left, and what
            # began would end with that if this sidecar did.
            self._on_lease()
        if start.HasField('percent'):
            # At once: a run that begins at full speed is felt by what
            # serves beside it until the leader's first look.
            pace = fleet_pb2.Pace(
                task=start.task, run=start.run, percent=start.percent
            )
            await self.set_pace(life, pace)
        self._on_change()

    def _find_obstacle(
        self, life: life_module.Life, start: fleet_pb2.Start, repeated: bool
    ) -> str:
        """Return why a start may not be sent now; nothing if it may."""
        now = clock.read()
        # Without the leader's word no lease can be granted.
        if self._authority.until <= now or not life.knows_agent_clock:
            return 'no-authority'
        if is_expired(start, now):
            return EXPIRED
        # The instance may have changed since the order came, and its agent
        # starts whatever it is told to.
        if repeated and life.heartbeat.leaving:
            return 'leaving'
        if repeated and not life.has_room():
            return 'room'
        return ''

    def _limit(self, start: fleet_pb2.Start) -> float:
        """Return until when the agent may begin a run, on ``clock``.

        The agent checks it last, however late the order comes to it; leases
        are extended beyond it as usual.
        """
        if not start.deadline:
            return self._authority.until
        return min(self._authority.until, start.deadline)

    async def _settle(
        self,
        life: life_module.Life,
        key: life_module.RunId,
        reason: str,
        unanswered: bool,
    ) -> None:
        """Tell the leader that a run never starts, once that is certain.

        An order without an answer may be carried out seconds later. Only
        a stop that was answered keeps it from starting then; without it
        the leader would start the task elsewhere and it would run twice.
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
            await self.stop(life, key)
            return
        life.pending.pop(key, None)
        self._on_barred(task, run, reason)

    async def stop(
        self, life: life_module.Life, key: life_module.RunId
    ) -> None:
        """Stop a run, or bar it, until the agent has answered."""
        life.stopping.add(key)
        try:
            await self._stop_until_settled(life, key)
        finally:
            life.stopping.discard(key)

    async def _stop_until_settled(
        self, life: life_module.Life, key: life_module.RunId
    ) -> None:
        task, run = key
        failures = 0
        while not life.over:
            try:
                await self._worker.stop(
                    life.boot, self._authority.epoch, task, run
                )
                await self.look(life)
            except exceptions.WorkerBootChanged:
                self._on_over(life.boot)
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
            if key not in life.running:
                break
            await anyio.sleep(_RETRY_SECONDS)
        life.pending.pop(key, None)
        logs.write_event('stopped-run', task=task, run=run)
        if not life.has_ended(key):
            life.note_unsent(key)
            self._on_barred(task, run, 'absent')
        self._on_change()

    async def set_pace(
        self, life: life_module.Life, pace: fleet_pb2.Pace
    ) -> None:
        """Tell the agent a run's pace, once."""
        try:
            await self._worker.set_pace(
                life.boot,
                self._authority.epoch,
                pace.task,
                pace.run,
                pace.percent,
            )
        except exceptions.WorkerBootChanged:
            self._on_over(life.boot)
        except (
            exceptions.OrderRefused,
            exceptions.WorkerUnavailable,
        ) as error:
            # The leader sends it again while the gauges ask for it.
            logs.write_event('pace-failed', task=pace.task, error=error)

    async def look(
        self, life: life_module.Life, extend: bool = False, wait: float = 0.0
    ) -> None:
        """Read what runs and what ended; extend leases if asked to.

        Parameters
        ----------
        life : persimmonsail.jobs.life.Life
            The boot that is meant.
        extend : bool
            Whether leases are extended as far as the leader allows.
        wait : float
            Seconds to wait for a further end.
        """
        until = None
        now = clock.read()
        silent = now - life.answered_at > life_module.SILENT_SECONDS
        if extend and not silent and self._authority.until > now:
            allowed = self._authority.until
            until = life.to_agent_clock(allowed)
            life.granted_until = max(life.granted_until, allowed)
        epoch = self._authority.epoch
        look = await self._worker.look(
            life.boot, epoch, life.acknowledged, until, wait
        )
        life.fenced_epoch = max(life.fenced_epoch, epoch)
        life.note_answer(clock.read())
        if until is not None:
            life.extended_until = max(life.extended_until, allowed)
        if life.failing:
            life.failing = False
            logs.write_event('worker-regained', boot=life.boot)
            self._on_lease()
        first = not life.looked
        if life.note_look(look, clock.read()):
            self._on_change()
        if first:
            # The agent's clock is known from now on, so leases can be
            # extended at once.
            self._on_lease()
