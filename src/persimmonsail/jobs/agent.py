"""The sidecar's side of jobs: orders of the leader, leases of runs.

The sidecar decides nothing but whether an order may be carried out. It
renews the leases of what runs beside it only as long as the leader's
latest word allows it: each report carries the sidecar's own clock, the
leader sends the latest one back, and leases may be extended until that
time and the lease. So a leader knows the end of every lease that a
sidecar out of its reach can have granted, however late calls arrive.
"""

import collections
import contextlib
import typing as t

import anyio
import anyio.abc
import grpclib
import grpclib.const
import grpclib.exceptions

from persimmonsail import exceptions
from persimmonsail.jobs import clock
from persimmonsail.jobs import fleet_grpc
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import leases
from persimmonsail.jobs import life as life_module
from persimmonsail.jobs import lifereport
from persimmonsail.jobs import orders as orders_module
from persimmonsail.jobs import specification
from persimmonsail.jobs import worker as worker_module
from persimmonsail import logs

# Reports leave, and leases are renewed, at least so often.
_LONGEST_PERIOD_SECONDS = 0.45
# Reports of many ends at once are sent together.
_GATHER_SECONDS = 0.01
# How long a look waits for an end; the agent allows 2 s.
_WAIT_SECONDS = 1.5
# A link over which no orders came for so long has gone silent.
_SILENCE_SECONDS = 2.0
_RETRY_SECONDS = 0.1
# So many boots that ended are named in each report.
_KEPT_BOOTS = 8
# A line about a crash names so many of the runs that were started last.
_LATEST_RUNS = 4


class _Link:
    """One leader's link to this sidecar."""

    def __init__(self) -> None:
        self.seen = 0
        self.scope = anyio.CancelScope()
        self.barred: list[fleet_pb2.Barred] = []
        self.crashes: list[life_module.Crash] = []


class Agent(fleet_grpc.AgentBase):
    """Carries out a leader's orders at one worker's agent.

    Parameters
    ----------
    worker : persimmonsail.jobs.worker.Worker
        How that agent is reached.
    lease_seconds : float
        How long a run goes on after the leader's last word.
    """

    def __init__(
        self, worker: worker_module.Worker, lease_seconds: float
    ) -> None:
        self._lease_seconds = lease_seconds
        self._period_seconds = leases.choose_period(
            lease_seconds, _LONGEST_PERIOD_SECONDS
        )
        self._authority = orders_module.Authority()
        self._orders = orders_module.Orders(
            worker,
            self._authority,
            on_over=self.note_boot_over,
            on_barred=self._bar,
            on_change=self._notify,
            on_lease=self._renew_now,
        )
        self._life: life_module.Life | None = None
        self._successor: worker_module.Heartbeat | None = None
        self._over: list[str] = []
        self._crashes: collections.deque[life_module.Crash] = (
            collections.deque(maxlen=_KEPT_BOOTS)
        )
        self._link: _Link | None = None
        self._changed = anyio.Event()
        self._renew = anyio.Event()
        self._group: anyio.abc.TaskGroup
        self.attached_at = clock.read()

    def note_heartbeat(self, heartbeat: worker_module.Heartbeat) -> None:
        """Take in what the worker's agent says of itself."""
        life = self._life
        if heartbeat.boot in self._over:
            # A heartbeat that was held up on its way outlives its sender.
            logs.write_event('heartbeat-late', boot=heartbeat.boot)
            return
        if life is not None and life.boot == heartbeat.boot:
            if heartbeat.sequence <= life.heartbeat.sequence:
                return
            if heartbeat.leaving and not life.heartbeat.leaving:
                logs.write_event(
                    'worker-leaving',
                    boot=heartbeat.boot,
                    remaining=heartbeat.remaining_seconds,
                )
            life.note_heartbeat(heartbeat, clock.read())
        elif life is None:
            self._begin_life(heartbeat)
        else:
            # A heartbeat alone proves nothing: one that was held up may
            # be older than the boot that runs. If that one has ended, the
            # agent says so at the next look.
            self._successor = heartbeat
            self._renew.set()
        self._notify()

    def _begin_life(self, heartbeat: worker_module.Heartbeat) -> None:
        self._successor = None
        self._life = life_module.Life(heartbeat, clock.read())
        logs.write_event(
            'worker-boot',
            boot=heartbeat.boot,
            service=heartbeat.service,
            millicores=heartbeat.capacity.millicores,
        )
        self._renew.set()

    def note_boot_over(self, boot: str, asked: bool = False) -> None:
        """Note that a boot of the worker's agent has ended.

        Parameters
        ----------
        boot : str
            Which boot; one that is not the latest changes nothing.
        asked : bool
            Whether it said so itself, as it does when it is stopped.
        """
        if not boot or boot in self._over:
            return
        self._over.append(boot)
        if self._life is not None and self._life.boot == boot:
            logs.write_event('worker-gone', boot=boot)
            self._life.over = True
            if not asked and not self._life.heartbeat.leaving:
                self._note_crash(self._life.describe_crash(clock.read()))
            self._life = None
            successor = self._successor
            if successor is not None and successor.boot not in self._over:
                self._begin_life(successor)
            self._notify()

    def _note_crash(self, crash: life_module.Crash) -> None:
        self._crashes.append(crash)
        if self._link is not None:
            self._link.crashes.append(crash)
        logs.write_warning(
            'worker-crashed',
            boot=crash.boot,
            quiet_seconds=crash.failed_at - crash.alive_at,
            runs=len(crash.runs),
            latest=' '.join(
                f'{run.task}:{run.run}@{run.seconds:.3f}'
                for run in crash.runs[:_LATEST_RUNS]
            ),
        )

    async def run(self) -> None:
        """Renew leases and read ends, until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._keep_renewing)
            group.start_soon(self._keep_waiting)
            await anyio.sleep_forever()

    async def Attach(self, stream: t.Any) -> None:
        """Serve one leader; a later leader's link ends this one."""
        first = await stream.recv_message()
        if first is None:
            return
        if first.epoch < self._authority.epoch:
            # A deposed leader that does not know it yet.
            logs.write_event(
                'leader-stale', epoch=first.epoch, known=self._authority.epoch
            )
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.FAILED_PRECONDITION, 'stale epoch'
            )
        if self._link is not None:
            self._link.scope.cancel()
        link = self._link = _Link()
        # Whoever led before may have heard of them without having written
        # down what follows; a leader counts none of them twice.
        link.crashes.extend(self._crashes)
        self._authority.epoch = first.epoch
        logs.write_event('leader-attached', epoch=first.epoch)
        with link.scope:
            self._take(link, first)
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_reports, link, stream)
                with contextlib.suppress(TimeoutError):
                    await self._receive(link, stream)
                group.cancel_scope.cancel()
        if self._link is link:
            self._link = None
            logs.write_warning('leader-lost', epoch=first.epoch)

    async def _receive(self, link: _Link, stream: t.Any) -> None:
        while True:
            with anyio.fail_after(_SILENCE_SECONDS):
                orders = await stream.recv_message()
            if orders is None:
                return
            self._take(link, orders)

    async def _send_reports(self, link: _Link, stream: t.Any) -> None:
        while True:
            self._changed = anyio.Event()
            await stream.send_message(self._describe(link))
            with anyio.move_on_after(self._period_seconds):
                await self._changed.wait()
                await anyio.sleep(_GATHER_SECONDS)

    def _describe(self, link: _Link) -> fleet_pb2.Report:
        now = clock.read()
        report = fleet_pb2.Report(ticket=now, seen=link.seen)
        report.barred.extend(link.barred)
        link.barred.clear()
        report.over.extend(self._over[-_KEPT_BOOTS:])
        for crash in link.crashes:
            lifereport.fill_crash(report.crashes.add(), crash, now)
        link.crashes.clear()
        life = self._life
        if life is None:
            return report
        lifereport.fill(report, life, now)
        report.fenced = life.fenced_epoch >= self._authority.epoch
        return report

    def _notify(self) -> None:
        self._changed.set()

    def _renew_now(self) -> None:
        self._renew.set()

    def _take(self, link: _Link, orders: fleet_pb2.Orders) -> None:
        self.attached_at = clock.read()
        link.seen = orders.sequence
        if orders.ticket:
            until = orders.ticket + self._lease_seconds
            self._authority.until = max(self._authority.until, until)
        life = self._life
        if life is None:
            for start in orders.starts:
                self._bar(start.task, start.run, 'no-worker')
            return
        # Ends are numbered anew in each boot: a number of an earlier one
        # would have the agent forget ends that nobody has seen.
        same = orders.boot == life.boot
        if same and orders.acknowledged > life.acknowledged:
            life.acknowledged = orders.acknowledged
            self._renew.set()
        for start in (*orders.known, *orders.starts):
            life.sizes[start.task, start.run] = lifereport.read_size(
                start.size
            )
        stops = [(stop.task, stop.run) for stop in orders.stops]
        life.stopping.update(stops)
        for start in orders.starts:
            self._admit(life, start)
        for key in stops:
            life.pending[key] = life.sizes.get(key, specification.Size())
            self._group.start_soon(self._orders.stop, life, key)
        for pace in orders.paces:
            self._group.start_soon(self._orders.set_pace, life, pace)

    def _admit(self, life: life_module.Life, start: fleet_pb2.Start) -> None:
        key = (start.task, start.run)
        size = life.sizes.pop(key)
        if start.boot != life.boot:
            self._bar(start.task, start.run, 'boot-changed')
            return
        if key in life.pending or key in life.running:
            life.sizes[key] = size
            return
        if key in life.stopping:
            # The stop tells the leader that it never starts.
            return
        free = life.measure_free()
        reason = ''
        if orders_module.is_expired(start, clock.read()):
            reason = orders_module.EXPIRED
        elif life.heartbeat.leaving:
            reason = 'leaving'
        elif not size.fits(free):
            reason = 'room'
        if reason:
            logs.write_event(
                'start-refused',
                task=start.task,
                run=start.run,
                reason=reason,
                free_millicores=free.millicores,
                free_mib=free.memory_mib,
            )
            self._bar(start.task, start.run, reason)
            return
        life.sizes[key] = size
        life.pending[key] = size
        self._group.start_soon(self._orders.start, life, start)

    def _bar(self, task: str, run: int, reason: str) -> None:
        if self._link is not None:
            barred = fleet_pb2.Barred(task=task, run=run, reason=reason)
            self._link.barred.append(barred)
        self._notify()

    async def _keep_renewing(self) -> None:
        """Extend leases; nothing else may hold this task up."""
        while True:
            self._renew = anyio.Event()
            if self._life is not None:
                await self._try_look(self._life, extend=True)
            with anyio.move_on_after(self._period_seconds):
                await self._renew.wait()

    async def _keep_waiting(self) -> None:
        """Read ends at the moment they happen."""
        while True:
            life = self._life
            if life is None or not life.looked:
                await anyio.sleep(_RETRY_SECONDS)
            elif life.ended:
                # The agent answers at once while ends are not
                # acknowledged; asking on took a tenth of the processor.
                with anyio.move_on_after(_RETRY_SECONDS):
                    await self._renew.wait()
                await anyio.sleep(_GATHER_SECONDS)
            elif not await self._try_look(life, wait=_WAIT_SECONDS):
                await anyio.sleep(_RETRY_SECONDS)

    async def _try_look(
        self, life: life_module.Life, extend: bool = False, wait: float = 0.0
    ) -> bool:
        try:
            await self._orders.look(life, extend, wait)
        except exceptions.WorkerBootChanged:
            self.note_boot_over(life.boot)
        except (
            exceptions.OrderRefused,
            exceptions.WorkerUnavailable,
        ) as error:
            if not life.failing:
                logs.write_warning('worker-lost', boot=life.boot, error=error)
            life.failing = True
            if isinstance(error, exceptions.WorkerUnavailable):
                life.note_silence(clock.read())
        else:
            return True
        return False
