"""An emulated instance: its runs, and the reports of its sidecar."""

import dataclasses
import math

from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import boots
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import instances
from persimmonsail.jobs import specification
from tools.emulator import truth as truth_module

# The round trip of an order to the worker's agent.
_ORDER_SECONDS = 0.03
_SPEED_LIMIT_DELAY_SECONDS = 0.13
_TICK_SECONDS = 0.05
# A gauge is the mean of this window, and at most as old as the window is long.
_GAUGE_WINDOW_SECONDS = 0.5
# The reported silence of a crashed agent.
_REPORTED_SILENCE_SECONDS = 5.0
_GAUGE_TICKS = round(_GAUGE_WINDOW_SECONDS / _TICK_SECONDS)


# Time from the start of a crashing task to the crash, and from there to the
# restart of the agent.
_CRASH_DELAY_SECONDS = 0.05
_RESTART_SECONDS = 3.0


@dataclasses.dataclass
class _Run:
    task: str
    number: int
    step: specification.Step
    seconds: float
    done_seconds: float
    begins_at: float
    crashes: bool = False
    speed_limit: int = 100
    stops_at: float = 0.0
    used_millicores: float = 0.0
    latency: float = 0.0
    gauge_total: float = 0.0
    gauge_ticks: int = 0
    gauge: float = 0.0

    @property
    def key(self) -> instances.RunId:
        return self.task, self.number

    @property
    def step_name(self) -> str:
        return self.task.rpartition('.')[0]


class Worker:
    """Executes orders; its runs share processors and interfere.

    Attributes
    ----------
    changed : bool
        Whether a run ended since the last report.
    saved_work : dict of str to float
        The work that each task has saved; all instances share it.
    served_seconds, over_seconds : dict of str to float
        For each serving job the seconds of its tasks, and those over
        their target.
    stalled_seconds : float
        Seconds that best-effort runs had a speed limit of 0.
    throttled_seconds, short_seconds, worked_seconds : float
        Best-effort runs' seconds that were lost to throttling, and to a
        lack of processors, and those that they worked.
    speed : float
        The speed of the whole instance, as a share of its full speed.
    order_delay_seconds : float
        The additional delay of the next starts.
    boot : str
        The incarnation of the worker's agent.
    is_down : bool
        Whether the agent is down.
    """

    def __init__(
        self,
        address: str,
        capacity: specification.Size,
        truth: truth_module.Truth,
    ) -> None:
        self.address = address
        self.capacity = capacity
        self._truth = truth
        self._runs: dict[instances.RunId, _Run] = {}
        self._pending_limits: list[tuple[float, instances.RunId, int]] = []
        self._ended: list[fleet_pb2.Ended] = []
        self._last_end = 0
        self.changed = False
        self.saved_work: dict[str, float] = {}
        self.over_seconds: dict[str, float] = {}
        self.served_seconds: dict[str, float] = {}
        self.stalled_seconds = 0.0
        self.throttled_seconds = 0.0
        self.short_seconds = 0.0
        self.worked_seconds = 0.0
        self.speed = 1.0
        self.order_delay_seconds = 0.0
        self.boot = boots.join('agent', 1)
        self._ended_boots: list[str] = []
        self.is_down = False
        # When an agent that a task has crashed restarts.
        self._restarts_at = math.inf
        self._unreported_crash: fleet_pb2.Crash | None = None
        self._crashed_at = 0.0
        # Requests that already wait are served first, so a tail latency
        # follows its causes with a delay.
        lag = truth.shape.lag_seconds
        self._smoothing_factor = 1 - math.exp(-_TICK_SECONDS / lag)

    def crash(self, now: float) -> None:
        """Crash the agent, and lose all runs."""
        self.is_down = True
        self._crashed_at = now
        agent_id, born_ms = boots.split(self.boot)
        self._unreported_crash = fleet_pb2.Crash(
            boot=agent_id, born_ms=born_ms
        )
        for run in sorted(self._runs.values(), key=lambda r: -r.begins_at):
            seconds = max(now - run.begins_at, 0.0)
            self._unreported_crash.runs.add(
                task=run.task, run=run.number, seconds=seconds
            )
        self._runs.clear()
        self._pending_limits.clear()
        self._ended.clear()

    def restart(self) -> None:
        """Restart the agent as a new incarnation without runs."""
        self.is_down = False
        self._restarts_at = math.inf
        self._last_end = 0
        agent_id, starts = boots.split(self.boot)
        self._ended_boots.append(self.boot)
        self.boot = boots.join(agent_id, starts + 1)
        self.changed = True

    def start(
        self,
        run: instances.Run,
        seconds: float,
        saved_seconds: float,
        now: float,
        crashes: bool = False,
    ) -> None:
        """Start a run; a crashing one will crash the agent."""
        if self.is_down:
            return
        begins_at = now + _ORDER_SECONDS + self.order_delay_seconds
        if saved_seconds:
            begins_at += self._truth.shape.restore_seconds
        self._runs[run.task, run.number] = _Run(
            run.task,
            run.number,
            run.step,
            seconds,
            saved_seconds,
            begins_at,
            crashes,
            run.speed_limit if run.step.best_effort_cpu else 100,
        )

    def stop(self, key: instances.RunId, now: float) -> None:
        """Stop a run; its capacity is free once its end is reported."""
        run = self._runs.get(key)
        if run is not None and not run.stops_at:
            run.stops_at = now + self._truth.shape.stop_seconds

    def set_speed_limit(
        self, key: instances.RunId, percent: int, now: float
    ) -> None:
        """Set a run's speed limit, after the delay of such an order."""
        self._pending_limits.append(
            (now + _SPEED_LIMIT_DELAY_SECONDS, key, percent)
        )

    def tick(self, now: float) -> None:
        """Advance time by one tick."""
        if now >= self._restarts_at:
            self.restart()
        if any(
            run.crashes and now - run.begins_at >= _CRASH_DELAY_SECONDS
            for run in self._runs.values()
        ):
            self.crash(now)
            self._restarts_at = now + _RESTART_SECONDS
        self._apply_speed_limits(now)
        self._share_processors(now)
        self._apply_interference(now)
        self._update_gauges()
        for run in list(self._runs.values()):
            if now < run.begins_at:
                continue
            if run.step.best_effort_cpu:
                speed = run.used_millicores / max(run.step.size.millicores, 1)
                self._account_time(run, speed)
            else:
                speed = 1.0
            if not run.step.long_running:
                run.done_seconds += speed * self.speed * _TICK_SECONDS
                self._save_checkpoint(run)
            if run.stops_at and now >= run.stops_at:
                self._end_run(run, board_module.End.STOPPED)
            elif not run.step.long_running and run.done_seconds >= run.seconds:
                self._end_run(run, board_module.End.DONE)

    def _account_time(self, run: _Run, speed: float) -> None:
        limit_share = run.speed_limit / 100
        self.stalled_seconds += _TICK_SECONDS * (run.speed_limit == 0)
        self.throttled_seconds += _TICK_SECONDS * (1 - limit_share)
        self.short_seconds += _TICK_SECONDS * max(limit_share - speed, 0.0)
        self.worked_seconds += _TICK_SECONDS * speed * self.speed

    def _save_checkpoint(self, run: _Run) -> None:
        interval_seconds = self._truth.shape.checkpoint_seconds
        if run.step.checkpoints:
            self.saved_work[run.task] = max(
                self.saved_work.get(run.task, 0.0),
                run.done_seconds // interval_seconds * interval_seconds,
            )

    def _update_gauges(self) -> None:
        for run in self._runs.values():
            serves = run.step.latency_target_ms > 0
            run.gauge_total += run.latency if serves else run.used_millicores
            run.gauge_ticks += 1
            if run.gauge_ticks < _GAUGE_TICKS:
                continue
            run.gauge = run.gauge_total / run.gauge_ticks
            if serves:
                run.gauge = self._truth.read_gauge(run.gauge)
            run.gauge_total = 0.0
            run.gauge_ticks = 0

    def _apply_speed_limits(self, now: float) -> None:
        due = [row for row in self._pending_limits if row[0] <= now]
        self._pending_limits = [
            row for row in self._pending_limits if row[0] > now
        ]
        for _, key, percent in due:
            if key in self._runs:
                self._runs[key].speed_limit = percent

    def _share_processors(self, now: float) -> None:
        free_millicores = float(self.capacity.millicores)
        demands: list[tuple[_Run, float]] = []
        for run in self._runs.values():
            if now < run.begins_at:
                run.used_millicores = 0.0
            elif run.step.best_effort_cpu:
                limit_share = run.speed_limit / 100
                demands.append((run, run.step.size.millicores * limit_share))
            else:
                free_millicores -= self._measure_use(run, now)
        total_demand = sum(demand for _, demand in demands)
        share = (
            min(1.0, max(free_millicores, 0.0) / total_demand)
            if total_demand
            else 1.0
        )
        for run, demand in demands:
            run.used_millicores = demand * share

    def _measure_use(self, run: _Run, now: float) -> float:
        if not run.step.latency_target_ms:
            return run.step.size.millicores
        load = self._truth.measure_load(run.step_name, now)
        used_share = self._truth.shape.serving_use * load
        return run.step.size.millicores * used_share

    def _apply_interference(self, now: float) -> None:
        best_effort_runs = [
            (run.step.image, run.used_millicores / self.capacity.millicores)
            for run in self._runs.values()
            if run.step.best_effort_cpu
        ]
        for run in self._runs.values():
            target = run.step.latency_target_ms
            if not target or now < run.begins_at:
                continue
            load = self._truth.measure_load(run.step_name, now)
            interference = sum(
                self._truth.get_coefficient(run.step.image, image) * share
                for image, share in best_effort_runs
            )
            latency = self._truth.measure_latency(load + interference)
            run.latency += (latency - run.latency) * self._smoothing_factor
            self._add_tick(self.served_seconds, run)
            if run.latency > target:
                self._add_tick(self.over_seconds, run)

    def _add_tick(self, seconds: dict[str, float], run: _Run) -> None:
        job = run.task.partition('.')[0]
        seconds[job] = seconds.get(job, 0.0) + _TICK_SECONDS

    def _end_run(self, run: _Run, how: board_module.End) -> None:
        del self._runs[run.key]
        self._last_end += 1
        self.changed = True
        if run.step.checkpoints:
            self.saved_work[run.task] = run.done_seconds
        self._ended.append(
            fleet_pb2.Ended(
                number=self._last_end,
                task=run.task,
                run=run.number,
                how=how.value,
                checkpoint='saved' if run.step.checkpoints else '',
            )
        )

    def make_report(
        self, seen: int, processed: int, now: float
    ) -> fleet_pb2.Report:
        """Return the report of the sidecar."""
        self.changed = False
        self._ended = [row for row in self._ended if row.number > processed]
        agent_id, born_ms = boots.split(self.boot)
        report = fleet_pb2.Report(
            seen=seen,
            boot=agent_id,
            born_ms=born_ms,
            ended_boots=self._ended_boots,
            service='planner',
            looked=not self.is_down,
            silent_seconds=_REPORTED_SILENCE_SECONDS if self.is_down else 0.0,
            fenced=True,
            capacity=fleet_pb2.Size(
                millicores=self.capacity.millicores,
                memory_mib=self.capacity.memory_mib,
            ),
        )
        for run in self._runs.values():
            percent = 100.0
            if not run.step.long_running:
                percent = 100 * min(run.done_seconds / run.seconds, 1.0)
            report.running.add(
                task=run.task, run=run.number, percent=percent, gauge=run.gauge
            )
            if run.stops_at:
                report.pending.add(task=run.task, run=run.number)
        report.ended.extend(self._ended)
        if self._unreported_crash is not None and not self.is_down:
            self._unreported_crash.ago_seconds = now - self._crashed_at
            report.crashes.append(self._unreported_crash)
            self._unreported_crash = None
        return report
