"""The sidecar's side of jobs: executes orders and renews leases.

The sidecar makes no scheduling decisions; it only checks whether an order
may still be executed. It renews the leases of local runs only as far as
the leader's latest message allows: each report carries a ticket, which is
a reading of the sidecar's own clock, the leader sends the latest ticket
back, and leases may be extended until that time plus the lease duration.
The leader therefore has an upper bound for every lease that an unreachable
sidecar can have granted, however late messages arrive.
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
from persimmonsail.jobs import boots
from persimmonsail.jobs import clock
from persimmonsail.jobs import fleet_grpc
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import incarnation as incarnation_module
from persimmonsail.jobs import incarnationreport
from persimmonsail.jobs import latecalls
from persimmonsail.jobs import leases
from persimmonsail.jobs import orders as orders_module
from persimmonsail.jobs import specification
from persimmonsail.jobs import worker as worker_module
from persimmonsail import logs

# Upper bound of the interval between reports and between lease renewals.
_MAX_PERIOD_SECONDS = 0.45
# Changes within this window are sent in one report.
_BATCH_WINDOW_SECONDS = 0.01
# How long a poll waits for a run to end; the agent allows 2 s.
_LONG_POLL_SECONDS = 1.5
# A link without orders for this long is treated as broken.
_LINK_TIMEOUT_SECONDS = 2.0
_RETRY_SECONDS = 0.1
# Number of ended boots and of crashes that are reported.
_MAX_ENDED_BOOTS = 8
# An agent's reason for refusing calls of an outdated epoch.
_EPOCH_REFUSED = 'fence'
# Number of the most recently started runs that a crash's log line names.
_MAX_LOGGED_RUNS = 4


class _Link:
    """One leader's link to this sidecar."""

    def __init__(self) -> None:
        self.last_sequence = 0
        self.scope = anyio.CancelScope()
        self.barred: list[fleet_pb2.Barred] = []
        self.crashes: list[incarnation_module.Crash] = []


class Agent(fleet_grpc.AgentBase):
    """Executes a leader's orders through one worker's agent.

    Parameters
    ----------
    worker : persimmonsail.jobs.worker.Worker
        Client of that agent.
    lease_seconds : float
        How long a run continues after the leader's last message.
    """

    def __init__(
        self, worker: worker_module.Worker, lease_seconds: float
    ) -> None:
        self._lease_seconds = lease_seconds
        # No lease granted by an earlier process of this sidecar lasts longer.
        self._earlier_leases_until = clock.read() + lease_seconds
        self._period_seconds = leases.choose_period(
            lease_seconds, _MAX_PERIOD_SECONDS
        )
        self._authority = orders_module.Authority()
        self._executor = orders_module.Executor(
            worker,
            self._authority,
            on_boot_ended=self.note_boot_ended,
            on_barred=self._report_barred,
            on_change=self._request_report,
            on_renewal_due=self._request_renewal,
        )
        self._incarnation: incarnation_module.Incarnation | None = None
        self._successor: worker_module.Heartbeat | None = None
        self._ended_boots: list[str] = []
        # Calls to ended boots that the agent's next boot may execute.
        self._late_calls: latecalls.LateCalls | None = None
        self._crashes: collections.deque[incarnation_module.Crash] = (
            collections.deque(maxlen=_MAX_ENDED_BOOTS)
        )
        self._link: _Link | None = None
        self._report_due = anyio.Event()
        self._renewal_requested = anyio.Event()
        self._group: anyio.abc.TaskGroup
        self.last_orders_at = clock.read()

    def note_heartbeat(self, heartbeat: worker_module.Heartbeat) -> None:
        """Process a heartbeat of the worker's agent."""
        incarnation = self._incarnation
        if heartbeat.boot in self._ended_boots:
            # A delayed heartbeat can arrive after its sender has ended.
            logs.write_event('heartbeat-late', boot=heartbeat.boot)
            return
        if incarnation is not None and incarnation.boot == heartbeat.boot:
            if incarnation.is_foreign(heartbeat, clock.read()):
                logs.write_warning(
                    'heartbeat-foreign',
                    boot=heartbeat.boot,
                    service=heartbeat.service,
                    known=incarnation.heartbeat.service,
                )
                return
            if not incarnation.expects(heartbeat):
                return
            if heartbeat.leaving and not incarnation.heartbeat.leaving:
                logs.write_event(
                    'worker-leaving',
                    boot=heartbeat.boot,
                    remaining=heartbeat.remaining_seconds,
                )
            incarnation.note_heartbeat(heartbeat, clock.read())
        elif incarnation is None:
            self._begin_incarnation(heartbeat)
        else:
            # A heartbeat alone is no evidence of a restart: a delayed one
            # may be older than the current boot. If the current boot has
            # ended, the next poll of the agent reveals it.
            self._successor = heartbeat
            self._renewal_requested.set()
        self._request_report()

    def _begin_incarnation(self, heartbeat: worker_module.Heartbeat) -> None:
        now = clock.read()
        self._successor = None
        if not self._is_restart(heartbeat.boot):
            self._late_calls = None
        incarnation = incarnation_module.Incarnation(
            heartbeat, now, self._late_calls, self._earlier_leases_until
        )
        self._incarnation = incarnation
        late_starts = incarnation.late_calls.list_all_starts(now)
        logs.write_event(
            'worker-boot',
            boot=heartbeat.boot,
            service=heartbeat.service,
            millicores=heartbeat.capacity.millicores,
            late_starts=len(late_starts),
            deferred_seconds=max(incarnation.usable_at - now, 0.0),
        )
        self._bar_late_starts(incarnation, late_starts, now)
        self._renewal_requested.set()

    def _is_restart(self, boot: str) -> bool:
        """Return whether a boot's agent has the id of the last ended one."""
        if not self._ended_boots:
            return False
        agent_id, born_ms = boots.split(boot)
        last_id, _ = boots.split(self._ended_boots[-1])
        return bool(born_ms) and agent_id == last_id

    def _bar_late_starts(
        self,
        incarnation: incarnation_module.Incarnation,
        starts: t.Mapping[incarnation_module.RunId, float],
        now: float,
    ) -> None:
        """Bar starts that were sent to the agent's earlier boots.

        Until that is answered the runs that are expected to be started stay
        pending, so that their tasks are not placed again meanwhile.
        """
        for key, expected_until in starts.items():
            if expected_until > now:
                incarnation.pending[key] = specification.Size()
            incarnation.stopping.add(key)
            self._group.start_soon(self._executor.stop, incarnation, key)

    def note_departure(self, agent_id: str) -> None:
        """Process an announcement that the worker's agent ends.

        It names the agent and not the boot, and may be an earlier boot's
        that was delayed. An agent drains before it ends, so one of a boot
        that does not drain is an earlier boot's.
        """
        incarnation = self._incarnation
        if incarnation is None:
            return
        current_id, born_ms = boots.split(incarnation.boot)
        if current_id != agent_id:
            return
        if born_ms and not incarnation.heartbeat.leaving:
            logs.write_event('departure-late', boot=incarnation.boot)
            return
        self.note_boot_ended(incarnation.boot, announced=True)

    def note_boot_ended(self, boot: str, announced: bool = False) -> None:
        """Record that a boot of the worker's agent has ended.

        Parameters
        ----------
        boot : str
            The boot that ended; the current state changes only if it is
            the latest one.
        announced : bool
            Whether the agent announced it, as it does on shutdown.
        """
        if not boot or boot in self._ended_boots:
            return
        self._ended_boots.append(boot)
        incarnation = self._incarnation
        if incarnation is not None and incarnation.boot == boot:
            now = clock.read()
            logs.write_event('worker-gone', boot=boot)
            incarnation.terminated = True
            if not announced and not incarnation.heartbeat.leaving:
                self._record_crash(incarnation.describe_crash(now))
            self._late_calls = incarnation.late_calls
            self._incarnation = None
            successor = self._successor
            if (
                successor is not None
                and successor.boot not in self._ended_boots
            ):
                self._begin_incarnation(successor)
            self._request_report()

    def _record_crash(self, crash: incarnation_module.Crash) -> None:
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
                for run in crash.runs[:_MAX_LOGGED_RUNS]
            ),
        )

    async def run(self) -> None:
        """Renew leases and poll for ended runs, until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._run_renewal_loop)
            group.start_soon(self._run_wait_loop)
            await anyio.sleep_forever()

    async def Attach(self, stream: t.Any) -> None:
        """Serve one leader, until a later leader attaches."""
        first = await stream.recv_message()
        if first is None:
            return
        if first.epoch < self._authority.epoch:
            # A deposed leader that has not noticed it yet.
            logs.write_event(
                'leader-stale', epoch=first.epoch, known=self._authority.epoch
            )
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.FAILED_PRECONDITION, 'stale epoch'
            )
        if self._link is not None:
            self._link.scope.cancel()
        link = self._link = _Link()
        # The previous leader may have received these without committing
        # their consequences; a leader counts no crash twice.
        link.crashes.extend(self._crashes)
        self._authority.epoch = first.epoch
        logs.write_event('leader-attached', epoch=first.epoch)
        with link.scope:
            self._apply_orders(link, first)
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
            with anyio.fail_after(_LINK_TIMEOUT_SECONDS):
                orders = await stream.recv_message()
            if orders is None:
                return
            self._apply_orders(link, orders)

    async def _send_reports(self, link: _Link, stream: t.Any) -> None:
        while True:
            self._report_due = anyio.Event()
            await stream.send_message(self._build_report(link))
            with anyio.move_on_after(self._period_seconds):
                await self._report_due.wait()
                await anyio.sleep(_BATCH_WINDOW_SECONDS)

    def _build_report(self, link: _Link) -> fleet_pb2.Report:
        now = clock.read()
        report = fleet_pb2.Report(ticket=now, seen=link.last_sequence)
        report.barred.extend(link.barred)
        link.barred.clear()
        incarnation = self._incarnation
        incarnationreport.fill_ended_boots(
            report,
            self._ended_boots[-_MAX_ENDED_BOOTS:],
            incarnation.boot if incarnation else '',
        )
        for crash in link.crashes:
            incarnationreport.fill_crash(report.crashes.add(), crash, now)
        link.crashes.clear()
        if incarnation is None:
            if self._late_calls is not None:
                for task, run in self._late_calls.list_starts(now):
                    report.pending.add(task=task, run=run)
            return report
        incarnationreport.fill_report(report, incarnation, now)
        report.fenced = incarnation.fenced_epoch >= self._authority.epoch
        return report

    def _request_report(self) -> None:
        self._report_due.set()

    def _request_renewal(self) -> None:
        self._renewal_requested.set()

    def _apply_orders(self, link: _Link, orders: fleet_pb2.Orders) -> None:
        self.last_orders_at = clock.read()
        link.last_sequence = orders.sequence
        if orders.ticket:
            until = orders.ticket + self._lease_seconds
            self._authority.until = max(self._authority.until, until)
        incarnation = self._incarnation
        if incarnation is None:
            for start in orders.starts:
                self._report_barred(start.task, start.run, 'no-worker')
            return
        # Ended runs are numbered per boot: applying a number of an earlier
        # boot would make the agent discard ends that no leader has read.
        same_boot = _is_meant_for(orders, incarnation.boot)
        if same_boot and orders.acknowledged > incarnation.acknowledged:
            incarnation.acknowledged = orders.acknowledged
            self._renewal_requested.set()
        for start in (*orders.known, *orders.starts):
            incarnation.sizes[start.task, start.run] = (
                incarnationreport.read_size(start.size)
            )
        stop_keys = [(stop.task, stop.run) for stop in orders.stops]
        incarnation.stopping.update(stop_keys)
        for start in orders.starts:
            self._admit(incarnation, start)
        for key in stop_keys:
            incarnation.pending[key] = incarnation.sizes.get(
                key, specification.Size()
            )
            self._group.start_soon(self._executor.stop, incarnation, key)
        for pace in orders.paces:
            self._group.start_soon(
                self._executor.set_speed_limit, incarnation, pace
            )

    def _admit(
        self,
        incarnation: incarnation_module.Incarnation,
        start: fleet_pb2.Start,
    ) -> None:
        key = (start.task, start.run)
        size = incarnation.sizes.pop(key)
        if not _is_meant_for(start, incarnation.boot):
            self._report_barred(start.task, start.run, 'boot-changed')
            return
        if key in incarnation.pending or key in incarnation.running:
            incarnation.sizes[key] = size
            return
        if key in incarnation.stopping:
            # The stop reports to the leader that the run never starts.
            return
        free = incarnation.measure_free()
        reason = ''
        if orders_module.is_expired(start, clock.read()):
            reason = orders_module.EXPIRED
        elif incarnation.heartbeat.leaving:
            reason = 'leaving'
        elif clock.read() < incarnation.usable_at:
            reason = 'deferred'
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
            self._report_barred(start.task, start.run, reason)
            return
        incarnation.sizes[key] = size
        incarnation.pending[key] = size
        self._group.start_soon(self._executor.start, incarnation, start)

    def _report_barred(self, task: str, run: int, reason: str) -> None:
        if self._link is not None:
            barred = fleet_pb2.Barred(task=task, run=run, reason=reason)
            self._link.barred.append(barred)
        self._request_report()

    async def _run_renewal_loop(self) -> None:
        """Extend leases; nothing else may block this task."""
        while True:
            self._renewal_requested = anyio.Event()
            if self._incarnation is not None:
                await self._try_poll(self._incarnation, extend=True)
            with anyio.move_on_after(self._period_seconds):
                await self._renewal_requested.wait()

    async def _run_wait_loop(self) -> None:
        """Poll for ended runs, with long polls where possible."""
        while True:
            incarnation = self._incarnation
            if incarnation is None or not incarnation.polled:
                await anyio.sleep(_RETRY_SECONDS)
            elif incarnation.ended:
                # The agent answers immediately while ends are not
                # acknowledged; polling it in a loop took a tenth of the
                # processor.
                with anyio.move_on_after(_RETRY_SECONDS):
                    await self._renewal_requested.wait()
                await anyio.sleep(_BATCH_WINDOW_SECONDS)
            elif not await self._try_poll(
                incarnation, wait=_LONG_POLL_SECONDS
            ):
                await anyio.sleep(_RETRY_SECONDS)

    async def _try_poll(
        self,
        incarnation: incarnation_module.Incarnation,
        extend: bool = False,
        wait: float = 0.0,
    ) -> bool:
        try:
            await self._executor.poll(incarnation, extend, wait)
        except exceptions.WorkerBootChanged:
            self.note_boot_ended(incarnation.boot)
        except exceptions.OrderRefused as error:
            if error.reason == _EPOCH_REFUSED:
                # The agent is there, and obeys the next leader that attaches.
                incarnation.note_answer(clock.read())
            incarnation.note_failed_poll(error)
        except exceptions.WorkerUnavailable as error:
            incarnation.note_unanswered_call(clock.read())
            incarnation.note_failed_poll(error)
        else:
            return True
        return False


def _is_meant_for(
    message: fleet_pb2.Orders | fleet_pb2.Start, boot: str
) -> bool:
    """Return whether a message names a boot of the worker's agent.

    Leaders of earlier versions name only its agent.
    """
    agent_id, born_ms = boots.split(boot)
    return message.boot == agent_id and message.born_ms in (0, born_ms)
