"""Days on which the leader pays for what it computes.

A leader is one thread: whatever it computes, its renewals and callers wait
for. Time that is measured would differ from machine to machine, so that
function calls are counted instead, each at what it takes in the mean.
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

# Processor seconds of placing and reading at 160 instances by the calls that
# they made: 2.9e-7 where each look was a loop in Python, 7e-7 with vectors,
# on a processor shared with other work.
_CALL_SECONDS = 5e-7
# The played deployment that rates are told for.
_USUAL_INSTANCES = 11
_MILLISECONDS = 1000


class Meter:
    """Counts the function calls that are made inside ``with``."""

    def __init__(self) -> None:
        self.calls = 0

    def __enter__(self) -> 'Meter':
        sys.setprofile(self._note)
        return self

    def __exit__(self, *exc_info: object) -> None:
        sys.setprofile(None)

    def _note(self, frame: types.FrameType, event: str, value: t.Any) -> None:
        self.calls += event in ('call', 'c_call')


class MeteredDay(day.Day):
    """A day whose leader falls behind if it computes too much.

    Attributes
    ----------
    lags : list of float
        At each moment, for how many seconds of work whatever comes next
        has to wait: the loop takes turns.
    used : list of float
        The processor seconds of each moment.
    starts : dict of str to float
        For each job the seconds from its arrival to its first claim, the
        lag included.
    """

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        super().__init__(deployment, seed)
        self._meter = Meter()
        self._debt = 0.0
        self.lags: list[float] = []
        self.used: list[float] = []
        self.starts: dict[str, float] = {}

    def _note_time(self, seconds: float) -> None:
        cost = self._meter.calls * _CALL_SECONDS
        self._meter.calls = 0
        self._debt = max(self._debt + cost - seconds, 0.0)
        self.lags.append(self._debt)
        self.used.append(cost)

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
            waited = clock - job.accepted_ms / _MILLISECONDS + self._debt
            self.starts.setdefault(job.id, waited)
        return claims


def make_large(count: int) -> deployments.Deployment:
    """Return a fleet of so many instances with load in proportion."""
    factor = count / _USUAL_INSTANCES
    usual = load.Rates()
    rates = load.Rates(
        quick=usual.quick * factor,
        heavy=usual.heavy * factor,
        serving=usual.serving * factor,
        first_heavy=round(usual.first_heavy * factor),
        first_serving=round(usual.first_serving * factor),
    )
    sizes = deployments.PLAYED_CORES
    cores = tuple(sizes[i % len(sizes)] for i in range(count))
    shape = truth.Shape(serving_images=16, filling_images=30)
    return deployments.Deployment(shape, rates, cores)
