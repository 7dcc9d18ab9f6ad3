"""What a sidecar sees and does about interference on its instance.

It joins the worker's late usage reports with its own requests' service
times, hands the samples on to entries, and throttles a noisy task by
itself: entries would each decide for the same instance.
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
_DEMAND_MEMORY = 0.8


@dataclasses.dataclass
class LinkState:
    """What one entry was already told over its link."""

    summary: control_pb2.UsageSummary | None = None
    samples: int = 0


class Colocation:
    """Watches one instance's interference and throttles its tasks."""

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
        self._learnt = 0
        self._objectives: dict[str, catalogue.Objective] = {}
        self._samples: collections.deque[interference.Sample] = (
            collections.deque(maxlen=_MAX_SAMPLES)
        )
        self._demand: dict[str, float] = {}
        self._estimator = interference.Estimator()
        # The sidecar cannot see whether another instance would be
        # better, so it never evicts.
        budget = ladder_module.EvictionBudget(time.monotonic, 0.0, 0.0)
        self._ladder = ladder_module.Ladder(
            self._estimator,
            objectives.Objectives(self._objectives.get),
            budget,
            time.monotonic,
        )

    async def run(self) -> None:
        """Take usage reports in and act on them, until cancelled."""
        cores = self._own.commitments.capacity.cores
        self._timeline = usage.Timeline(cores)
        self._joiner = usage.Joiner(self._timeline, self._slots)
        while True:
            await anyio.sleep(self._interval)
            try:
                await self._look()
            except (
                exceptions.WorkerUnavailable,
                exceptions.StaleIncarnation,
            ) as error:
                logs.write_warning('usage-missing', error=error)

    def note_notice(self, notice: control_pb2.EntryNotice) -> None:
        """Take in what an entry tells of the owners' objectives."""
        for found in notice.objectives:
            self._objectives[found.workload] = catalogue.Objective(
                found.objective
            )

    def describe(
        self, report: control_pb2.SidecarReport, told: LinkState
    ) -> None:
        """Add to a report what its entry was not told yet."""
        summary = control_pb2.UsageSummary(
            shares=usage.describe_shares(self._find_shares()),
            demand=usage.describe_shares(self._demand),
        )
        if summary != told.summary:
            report.usage.CopyFrom(summary)
            told.summary = summary
        new = min(self._learnt - told.samples, len(self._samples))
        told.samples = self._learnt
        now = time.monotonic()
        for sample in list(self._samples)[len(self._samples) - new :]:
            report.samples.append(usage.describe_sample(sample, now))

    def _find_shares(self) -> dict[str, float]:
        timeline = getattr(self, '_timeline', None)
        return timeline.find_shares() if timeline else {}

    async def _look(self) -> None:
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
            self._learnt += 1
        names = {*self._demand, *self._joiner.demand}
        self._demand = {
            name: _DEMAND_MEMORY * self._demand.get(name, 0.0)
            + (1 - _DEMAND_MEMORY) * self._joiner.demand.get(name, 0.0)
            for name in names
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
