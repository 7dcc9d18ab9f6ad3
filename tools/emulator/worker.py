"""One emulated instance: its runs, and the report that its sidecar sends."""

import dataclasses
import math

from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import instances
from persimmonsail.jobs import specification
from tools.emulator import truth as truth_module

# An order's way to the worker's agent and back.
_ORDER_SECONDS = 0.03
_PACE_SECONDS = 0.13
_TICK_SECONDS = 0.05
# A gauge is a mean over so long, and is as old as that at the most.
_GAUGE_SECONDS = 0.5
# For how long a crashed agent is said to have been silent.
_DARK_SECONDS = 5.0
_GAUGE_TICKS = round(_GAUGE_SECONDS / _TICK_SECONDS)


# A task that ends its agent does so after this time, and the agent is back
# after the second.
_CRASH_SECONDS = 0.05
_BACK_SECONDS = 3.0


@dataclasses.dataclass
class _Run:
    task: str
    number: int
    step: specification.Step
    seconds: float
    done: float
    begins_at: float
    crashes: bool = False
    percent: int = 100
    stops_at: float = 0.0
    used: float = 0.0
    latency: float = 0.0
    total: float = 0.0
    ticks: int = 0
    gauge: float = 0.0

    @property
    def key(self) -> instances.RunId:
        return self.task, self.number

    @property
    def step_name(self) -> str:
        return self.task.rpartition('.')[0]


class Worker:
    """Runs what it is told to, as fast as its neighbours allow.

    Attributes
    ----------
    changed : bool
        Whether a run ended since the last report.
    saved : dict of str to float
        The work that each task has saved; all instances share it.
    served_seconds, over_seconds : dict of str to float
        For each serving job the seconds of its tasks, and those over
        their target.
    stalled : float
        Seconds that best-effort runs stood at a pace of 0.
    paced, short, worked : float
        Best-effort runs' seconds that were lost to their paces, and to a
        lack of processors, and those that they worked.
    speed : float
        At which part of its speed everything here works.
    order_seconds : float
        For how much longer the next starts are under way.
    boot : str
        The life of the worker's agent.
    dark : bool
        Whether the agent is gone.
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
        self._paces: list[tuple[float, instances.RunId, int]] = []
        self._ended: list[fleet_pb2.Ended] = []
        self._number = 0
        self.changed = False
        self.saved: dict[str, float] = {}
        self.over_seconds: dict[str, float] = {}
        self.served_seconds: dict[str, float] = {}
        self.stalled = 0.0
        self.paced = 0.0
        self.short = 0.0
        self.worked = 0.0
        self.speed = 1.0
        self.order_seconds = 0.0
        self.boot = 'boot-1'
        self.dark = False
        # When an agent that a task has ended is back.
        self._back_at = math.inf
        self._crash: fleet_pb2.Crash | None = None
        self._crashed_at = 0.0
        # Requests that wait already are served first, so a tail latency
        # lags behind what causes it.
        lag = truth.shape.lag_seconds
        self._following = 1 - math.exp(-_TICK_SECONDS / lag)

    def crash(self, now: float) -> None:
        """Lose everything that runs here."""
        self.dark = True
        self._crashed_at = now
        self._crash = fleet_pb2.Crash(boot=self.boot)
        for run in sorted(self._runs.values(), key=lambda r: -r.begins_at):
            seconds = max(now - run.begins_at, 0.0)
            self._crash.runs.add(
                task=run.task, run=run.number, seconds=seconds
            )
        self._runs.clear()
        self._paces.clear()
        self._ended.clear()

    def revive(self) -> None:
        """Come back as another life that knows nothing."""
        self.dark = False
        self._back_at = math.inf
        self._number = 0
        self.boot = f'boot-{int(self.boot.rpartition("-")[2]) + 1}'
        self.changed = True

    def start(
        self,
        run: instances.Run,
        seconds: float,
        saved: float,
        now: float,
        crashes: bool = False,
    ) -> None:
        """Carry a start out; one that crashes ends the agent."""
        if self.dark:
            return
        begins = now + _ORDER_SECONDS + self.order_seconds
        if saved:
            begins += self._truth.shape.restore_seconds
        self._runs[run.task, run.number] = _Run(
            run.task,
            run.number,
            run.step,
            seconds,
            saved,
            begins,
            crashes,
            run.speed_limit if run.step.best_effort_cpu else 100,
        )

    def stop(self, key: instances.RunId, now: float) -> None:
        """Stop a run; its room is free once its end is listed."""
        run = self._runs.get(key)
        if run is not None and not run.stops_at:
            run.stops_at = now + self._truth.shape.stop_seconds

    def set_speed_limit(
        self, key: instances.RunId, percent: int, now: float
    ) -> None:
        """Let a run work at this share, from a moment later on."""
        self._paces.append((now + _PACE_SECONDS, key, percent))

    def tick(self, now: float) -> None:
        """Let time pass."""
        if now >= self._back_at:
            self.revive()
        if any(
            run.crashes and now - run.begins_at >= _CRASH_SECONDS
            for run in self._runs.values()
        ):
            self.crash(now)
            self._back_at = now + _BACK_SECONDS
        self._apply_paces(now)
        self._share_processors(now)
        self._disturb(now)
        self._read_gauges()
        for run in list(self._runs.values()):
            if now < run.begins_at:
                continue
            if run.step.best_effort_cpu:
                speed = run.used / max(run.step.size.millicores, 1)
                self._count_speed(run, speed)
            else:
                speed = 1.0
            if not run.step.long_running:
                run.done += speed * self.speed * _TICK_SECONDS
                self._save(run)
            if run.stops_at and now >= run.stops_at:
                self._end(run, board_module.End.STOPPED)
            elif not run.step.long_running and run.done >= run.seconds:
                self._end(run, board_module.End.DONE)

    def _count_speed(self, run: _Run, speed: float) -> None:
        part = run.percent / 100
        self.stalled += _TICK_SECONDS * (run.percent == 0)
        self.paced += _TICK_SECONDS * (1 - part)
        self.short += _TICK_SECONDS * max(part - speed, 0.0)
        self.worked += _TICK_SECONDS * speed * self.speed

    def _save(self, run: _Run) -> None:
        every = self._truth.shape.checkpoint_seconds
        if run.step.checkpoints:
            self.saved[run.task] = max(
                self.saved.get(run.task, 0.0), run.done // every * every
            )

    def _read_gauges(self) -> None:
        for run in self._runs.values():
            serves = run.step.latency_target_ms > 0
            run.total += run.latency if serves else run.used
            run.ticks += 1
            if run.ticks < _GAUGE_TICKS:
                continue
            run.gauge = run.total / run.ticks
            if serves:
                run.gauge = self._truth.read_gauge(run.gauge)
            run.total = 0.0
            run.ticks = 0

    def _apply_paces(self, now: float) -> None:
        due = [row for row in self._paces if row[0] <= now]
        self._paces = [row for row in self._paces if row[0] > now]
        for _, key, percent in due:
            if key in self._runs:
                self._runs[key].percent = percent

    def _share_processors(self, now: float) -> None:
        left = float(self.capacity.millicores)
        wanted: list[tuple[_Run, float]] = []
        for run in self._runs.values():
            if now < run.begins_at:
                run.used = 0.0
            elif run.step.best_effort_cpu:
                part = run.percent / 100
                wanted.append((run, run.step.size.millicores * part))
            else:
                left -= self._use(run, now)
        total = sum(want for _, want in wanted)
        share = min(1.0, max(left, 0.0) / total) if total else 1.0
        for run, want in wanted:
            run.used = want * share

    def _use(self, run: _Run, now: float) -> float:
        if not run.step.latency_target_ms:
            return run.step.size.millicores
        load = self._truth.measure_load(run.step_name, now)
        part = self._truth.shape.serving_use * load
        return run.step.size.millicores * part

    def _disturb(self, now: float) -> None:
        best_effort_runs = [
            (run.step.image, run.used / self.capacity.millicores)
            for run in self._runs.values()
            if run.step.best_effort_cpu
        ]
        for run in self._runs.values():
            target = run.step.latency_target_ms
            if not target or now < run.begins_at:
                continue
            load = self._truth.measure_load(run.step_name, now)
            pressure = sum(
                self._truth.get_coefficient(run.step.image, image) * part
                for image, part in best_effort_runs
            )
            latency = self._truth.measure_latency(load + pressure)
            run.latency += (latency - run.latency) * self._following
            self._count(self.served_seconds, run)
            if run.latency > target:
                self._count(self.over_seconds, run)

    def _count(self, seconds: dict[str, float], run: _Run) -> None:
        job = run.task.partition('.')[0]
        seconds[job] = seconds.get(job, 0.0) + _TICK_SECONDS

    def _end(self, run: _Run, how: board_module.End) -> None:
        del self._runs[run.key]
        self._number += 1
        self.changed = True
        if run.step.checkpoints:
            self.saved[run.task] = run.done
        self._ended.append(
            fleet_pb2.Ended(
                number=self._number,
                task=run.task,
                run=run.number,
                how=how.value,
                checkpoint='saved' if run.step.checkpoints else '',
            )
        )

    def describe(
        self, seen: int, processed: int, now: float
    ) -> fleet_pb2.Report:
        """Return what the sidecar reports."""
        self.changed = False
        self._ended = [row for row in self._ended if row.number > processed]
        report = fleet_pb2.Report(
            seen=seen,
            boot=self.boot,
            service='planner',
            looked=not self.dark,
            silent_seconds=_DARK_SECONDS if self.dark else 0.0,
            fenced=True,
            capacity=fleet_pb2.Size(
                millicores=self.capacity.millicores,
                memory_mib=self.capacity.memory_mib,
            ),
        )
        for run in self._runs.values():
            percent = 100.0
            if not run.step.long_running:
                percent = 100 * min(run.done / run.seconds, 1.0)
            report.running.add(
                task=run.task, run=run.number, percent=percent, gauge=run.gauge
            )
            if run.stops_at:
                report.pending.add(task=run.task, run=run.number)
        report.ended.extend(self._ended)
        if self._crash is not None and not self.dark:
            self._crash.ago_seconds = now - self._crashed_at
            report.crashes.append(self._crash)
            self._crash = None
        return report
