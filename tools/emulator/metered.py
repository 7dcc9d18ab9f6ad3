"""Days on which the leader's computing time delays it.

A leader is one thread: its lease renewals and its callers wait while it
computes. Measured time would differ between machines, so function calls are
counted instead, each at its mean cost.
"""

import sys
import types
import typing as t

from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import instances
from persimmonsail.jobs import placer
from persimmonsail.jobs import reports
from tools.emulator import day
from tools.emulator import deployments
from tools.emulator import load
from tools.emulator import truth

# CPU seconds per function call, when placing and reading reports at 160
# instances: 2.9e-7 with loops in Python, 7e-7 with vectorised code, on a
# processor shared with other work.
_CALL_SECONDS = 5e-7
# Number of instances that the default rates are meant for.
_KNOWN_INSTANCES = 11
_MILLISECONDS = 1000


class Meter:
    """Counts the function calls within a ``with`` block."""

    def __init__(self) -> None:
        self.calls = 0

    def __enter__(self) -> 'Meter':
        sys.setprofile(self._count_call)
        return self

    def __exit__(self, *exc_info: object) -> None:
        sys.setprofile(None)

    def _count_call(
        self, frame: types.FrameType, event: str, argument: t.Any
    ) -> None:
        self.calls += event in ('call', 'c_call')


class MeteredDay(day.Day):
    """A day whose leader falls behind if it computes too much.

    Attributes
    ----------
    lags : list of float
        For each tick, the seconds of unfinished work that the event loop's
        next task has to wait for.
    cpu_seconds : list of float
        The CPU seconds of each tick.
    start_delays : dict of str to float
        For each job the seconds from its arrival to its first claim, the
        lag included.
    """

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        super().__init__(deployment, seed)
        self._meter = Meter()
        self._backlog_seconds = 0.0
        self.lags: list[float] = []
        self.cpu_seconds: list[float] = []
        self.start_delays: dict[str, float] = {}

    def _note_elapsed(self, seconds: float) -> None:
        cost = self._meter.calls * _CALL_SECONDS
        self._meter.calls = 0
        self._backlog_seconds = max(
            self._backlog_seconds + cost - seconds, 0.0
        )
        self.lags.append(self._backlog_seconds)
        self.cpu_seconds.append(cost)

    def _read(
        self, view: instances.Instance, report: fleet_pb2.Report, clock: float
    ) -> reports.Reaction:
        with self._meter:
            return super()._read(view, report, clock)

    def _plan(self, clock: float) -> list[placer.Claim]:
        with self._meter:
            claims = super()._plan(clock)
        for claim in claims:
            job = claim.task.job
            delay_seconds = (
                clock - job.accepted_ms / _MILLISECONDS + self._backlog_seconds
            )
            self.start_delays.setdefault(job.id, delay_seconds)
        return claims


def make_large(instance_count: int) -> deployments.Deployment:
    """Return a fleet of this many instances with proportional load."""
    factor = instance_count / _KNOWN_INSTANCES
    defaults = load.Rates()
    rates = load.Rates(
        quick=defaults.quick * factor,
        heavy=defaults.heavy * factor,
        serving=defaults.serving * factor,
        first_heavy=round(defaults.first_heavy * factor),
        first_serving=round(defaults.first_serving * factor),
    )
    sizes = deployments.KNOWN_CORES
    cores = tuple(sizes[i % len(sizes)] for i in range(instance_count))
    shape = truth.Shape(serving_images=16, best_effort_images=30)
    return deployments.Deployment(shape, rates, cores)
