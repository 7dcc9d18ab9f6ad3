"""Detection and mitigation of interference on a sidecar's instance.

The sidecar joins the worker's delayed usage reports with its requests'
service times, forwards the samples to entries, and throttles a noisy
task itself: several entries would each decide for the same instance.
"""

import collections
import dataclasses
import time

import anyio

from persimmonsail.catalogues import catalogue
from persimmonsail import control_pb2
from persimmonsail.decisions import interference
from persimmonsail.decisions import ladder as ladder_module
from persimmonsail.decisions import objectives
from persimmonsail.decisions import usage
from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail.sidecars import instance as instance_module
from persimmonsail.sidecars import workers

_MAX_SAMPLES = 32
_DEMAND_SMOOTHING = 0.8


@dataclasses.dataclass
class LinkState:
    """What was already reported to one entry over its link."""

    summary: control_pb2.UsageSummary | None = None
    samples: int = 0


class Colocation:
    """Monitors interference on one instance and throttles its tasks."""

    def __init__(
        self,
        own: instance_module.OwnInstance,
        worker: workers.Worker,
        slots: int,
        interval: float,
    ) -> None:
        self._own = own
        self._worker = worker
        self._slots = slots
        self._interval = interval
        self._sequence = 0
        self._sample_count = 0
        self._objectives: dict[str, catalogue.Objective] = {}
        self._samples: collections.deque[interference.Sample] = (
            collections.deque(maxlen=_MAX_SAMPLES)
        )
        self._demand: dict[str, float] = {}
        self._estimator = interference.Estimator()
        # The sidecar cannot tell whether another instance would suit a
        # task better, so it never evicts.
        budget = ladder_module.EvictionBudget(time.monotonic, 0.0, 0.0)
        self._ladder = ladder_module.Ladder(
            self._estimator,
            objectives.Objectives(self._objectives.get),
            budget,
            time.monotonic,
        )

    async def run(self) -> None:
        """Poll usage reports and act on them until cancelled."""
        cores = self._own.commitments.capacity.cores
        self._timeline = usage.Timeline(cores)
        self._joiner = usage.Joiner(self._timeline, self._slots)
        while True:
            await anyio.sleep(self._interval)
            try:
                await self._poll_usage()
            except (
                exceptions.WorkerUnavailable,
                exceptions.StaleIncarnation,
            ) as error:
                logs.write_warning('usage-missing', error=error)

    def note_notice(self, notice: control_pb2.EntryNotice) -> None:
        """Record the owners' objectives from an entry's notice."""
        for found in notice.objectives:
            self._objectives[found.workload] = catalogue.Objective(
                found.objective
            )

    def describe(
        self, report: control_pb2.SidecarReport, link_state: LinkState
    ) -> None:
        """Add to a report the usage that its entry does not have yet."""
        summary = control_pb2.UsageSummary(
            shares=usage.describe_shares(self._find_shares()),
            demand=usage.describe_shares(self._demand),
        )
        if summary != link_state.summary:
            report.usage.CopyFrom(summary)
            link_state.summary = summary
        unreported = min(
            self._sample_count - link_state.samples, len(self._samples)
        )
        link_state.samples = self._sample_count
        now = time.monotonic()
        for sample in list(self._samples)[len(self._samples) - unreported :]:
            report.samples.append(usage.describe_sample(sample, now))

    def _find_shares(self) -> dict[str, float]:
        timeline = getattr(self, '_timeline', None)
        return timeline.find_shares() if timeline else {}

    async def _poll_usage(self) -> None:
        windows = await self._worker.list_usage(
            self._own.incarnation, self._sequence
        )
        for window in windows:
            self._sequence = window.sequence
            self._join(window)
        await self._act()

    def _join(self, window: usage.Window) -> None:
        self._timeline.sync(window)
        report = usage.Report(
            window.begin,
            window.end,
            self._own.latencies.find(window.begin, window.end),
            {use.task: use.cores for use in window.tasks},
        )
        for sample in self._joiner.join(report, time.monotonic()):
            self._estimator.learn(sample)
            self._samples.append(sample)
            self._sample_count += 1
        workloads = {*self._demand, *self._joiner.demand}
        self._demand = {
            workload: _DEMAND_SMOOTHING * self._demand.get(workload, 0.0)
            + (1 - _DEMAND_SMOOTHING) * self._joiner.demand.get(workload, 0.0)
            for workload in workloads
        }

    async def _act(self) -> None:
        situation = ladder_module.InstanceSnapshot(
            instance=self._own.incarnation,
            tasks=tuple(
                ladder_module.RunningTask(*task)
                for task in self._timeline.list_tasks()
            ),
            demand=self._demand,
            lag=self._joiner.lag,
            waiting=self._own.queued / max(self._slots, 1),
        )
        action = self._ladder.decide(situation, lambda task: 0.0)
        if action is None:
            return
        await self._worker.throttle(
            self._own.incarnation, action.task, action.speed
        )
        self._timeline.note_speed(action.task, action.speed, time.monotonic())
        logs.write_event(
            action.kind,
            task=action.task,
            incarnation=self._own.incarnation,
            speed=action.speed,
            victim=action.victim,
            slowdown=action.slowdown,
            terms=action.terms,
        )
