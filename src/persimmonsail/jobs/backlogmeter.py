"""Measurement of services' backlogs by the leader.

Load pattern: callers hand in work faster than a service's instances do it,
for longer than a burst. What the service does in a second is only known while
it is saturated: then it is what has been done, in the units that callers
estimate in, so that estimates which are wrong by a constant factor cancel
out. No capacity of instances is read: what evacuated, leaving, silent or slow
ones don't do is missing in the rate.

Some tasks wait although the service is not full, for an instance with a label
or an advisor's approval. So forecasts are corrected by how early those of jobs
that have ended since turned out to be.
"""

import collections
import typing as t

from persimmonsail.decisions import retryafter
from persimmonsail.jobs import backlog
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import order
from persimmonsail.jobs import queues
from persimmonsail.jobs import record
from persimmonsail.jobs import setaside
from persimmonsail import logs

# Minimum interval between two measurements.
_INTERVAL_SECONDS = 0.5
# A leader whose rounds wait for the store places nothing; a longer interval
# therefore says nothing about what the service does.
_MAX_INTERVAL_SECONDS = 1.5
# The rate is smoothed over this time, about two tasks of a heavy job.
_TIME_CONSTANT_SECONDS = 8.0
# Arrivals are smoothed over a longer time: a burst of some seconds says little
# about what arrives while a job waits.
_ARRIVAL_TIME_CONSTANT_SECONDS = 30.0
# A rate is used once it has been measured for as long as a task takes: what
# ends earlier was mostly done before.
_MIN_MEASURED_SECONDS = 5.0
# Weight of one ended job in the correction of forecasts.
_CORRECTION_SMOOTHING = 0.1
_MILLISECONDS = 1000


class _Service:
    """What is measured of one service."""

    def __init__(self) -> None:
        self._rate = retryafter.Rate(_TIME_CONSTANT_SECONDS)
        self._arrivals: dict[backlog.LevelKey, retryafter.Rate] = {}
        # The rate's clock: it stands still while the service is not
        # saturated, when its rate is that of its callers.
        self._measured_seconds = 0.0
        self._is_saturated = False
        # Since when, on the leader's clock.
        self._saturated_since = 0.0
        self._done_core_ms = 0.0
        self._waiting: dict[backlog.LevelKey, float] = {}
        self._forecast = backlog.Forecast()
        # When jobs were forecast to end, in seconds from their acceptance.
        self._expected: dict[str, float] = {}
        self._correction = 1.0

    def begin(self) -> None:
        """Begin a measurement."""
        self._done_core_ms = 0.0
        self._waiting = {}

    def note_done(self, core_ms: float) -> None:
        """Count work that was done since the last measurement."""
        self._done_core_ms += core_ms

    def note_arrival(
        self, job: job_module.Job, urgency: order.Urgency, now: float
    ) -> None:
        """Count the work of a new job, and note its forecast end."""
        core_ms = job.specification.work_core_ms
        if self._forecast.rate > 0:
            expected = self._forecast.find_uncorrected_end(urgency, core_ms)
            self._expected[job.id] = expected
        rate = self._arrivals.setdefault(
            backlog.find_level(urgency),
            retryafter.Rate(_ARRIVAL_TIME_CONSTANT_SECONDS),
        )
        rate.note(now, core_ms)

    def note_end(self, job: job_module.Job) -> None:
        """Correct later forecasts by the end of a job."""
        expected = self._expected.pop(job.id, 0.0)
        if not expected or job.phase is not record.JobPhase.COMPLETE:
            return
        took_ms = job.progress.ended_ms - job.accepted_ms
        share = min(took_ms / _MILLISECONDS / expected, 1.0)
        self._correction += _CORRECTION_SMOOTHING * (share - self._correction)

    def note_waiting(self, urgency: order.Urgency, core_ms: float) -> None:
        """Count waiting work; that of late jobs precedes no new one."""
        if urgency.lateness == 0:
            level = backlog.find_level(urgency)
            self._waiting[level] = self._waiting.get(level, 0.0) + core_ms

    def end(self, name: str, elapsed: float, now: float) -> backlog.Forecast:
        """End a measurement, and return the forecast."""
        has_waiting = bool(self._waiting)
        # A service with waiting tasks at both ends of the interval was
        # saturated all the while.
        regular = elapsed <= _MAX_INTERVAL_SECONDS
        if self._is_saturated and has_waiting and regular:
            self._measured_seconds += elapsed
            self._rate.note(self._measured_seconds, self._done_core_ms)
        if has_waiting != self._is_saturated:
            self._is_saturated = has_waiting
            self._saturated_since = now
            self._log_change(name)
        measured = self._measured_seconds >= _MIN_MEASURED_SECONDS
        if not self._is_saturated or not measured:
            self._forecast = backlog.Forecast()
            return self._forecast
        self._forecast = backlog.Forecast(
            self._rate.find(self._measured_seconds),
            now - self._saturated_since,
            self._list_levels(now),
            self._correction,
        )
        return self._forecast

    def _list_levels(self, now: float) -> tuple[backlog.Level, ...]:
        levels = []
        for key in sorted(self._waiting.keys() | self._arrivals.keys()):
            arrivals = self._arrivals.get(key)
            levels.append(
                backlog.Level(
                    *key,
                    self._waiting.get(key, 0.0),
                    arrivals.find(now) if arrivals else 0.0,
                )
            )
        return tuple(levels)

    def _log_change(self, name: str) -> None:
        logs.write_event(
            'service-saturated' if self._is_saturated else 'service-relieved',
            service=name,
            backlog_core_ms=round(sum(self._waiting.values())),
            rate_core_ms=round(self._rate.find(self._measured_seconds)),
            measured_seconds=self._measured_seconds,
            correction=self._correction,
        )


class Meter:
    """Measures the backlog of all services of a leader.

    Attributes
    ----------
    version : int
        Rises with each measurement.
    forecasts : dict of str to Forecast
        By service.
    mean_works : dict of str to float
        The mean work of each queue's jobs, in core-milliseconds.
    """

    def __init__(self) -> None:
        self.version = 0
        self.forecasts: dict[str, backlog.Forecast] = {}
        self.mean_works: dict[str, float] = {}
        self._services: dict[str, _Service] = {}
        # Remaining work of each unfinished job at the last measurement; None
        # before the first one.
        self._remaining: dict[str, float] | None = None
        self._measured_at = 0.0

    def measure(
        self,
        board: board_module.Board,
        queues_by_name: t.Mapping[str, queues.Queue],
        slowdowns: t.Mapping[str, float],
        now: float,
        wall_seconds: float,
    ) -> None:
        """Measure after a scheduling round, unless it was done just before.

        Parameters
        ----------
        board : persimmonsail.jobs.board.Board
            The jobs; tasks that still wait found no capacity.
        queues_by_name : mapping of str to persimmonsail.jobs.queues.Queue
            The queues by name.
        slowdowns : mapping of str to float
            Ratio of actual to estimated task duration, by queue.
        now : float
            Seconds of the leader's clock.
        wall_seconds : float
            Seconds since the epoch.
        """
        elapsed = now - self._measured_at
        if elapsed < _INTERVAL_SECONDS:
            return
        self._measured_at = now
        wall_ms = wall_seconds * _MILLISECONDS
        self.mean_works = order.measure_mean_works(board.jobs.values())
        for service in self._services.values():
            service.begin()
        self._read_jobs(board, queues_by_name, slowdowns, now, wall_ms)
        for name, service in self._services.items():
            self.forecasts[name] = service.end(name, elapsed, now)
        self.version += 1

    def _read_jobs(
        self,
        board: board_module.Board,
        queues_by_name: t.Mapping[str, queues.Queue],
        slowdowns: t.Mapping[str, float],
        now: float,
        wall_ms: float,
    ) -> None:
        """Read what has arrived, waits and was done."""
        remaining_by_job: dict[str, float] = {}
        for job in board.jobs.values():
            queue = queues_by_name.get(job.queue)
            if queue is None or not backlog.has_forecast(job.specification):
                continue
            # That of a job which can't be read now stays as it was.
            remaining = self._find_remaining(job, 0.0)
            if not setaside.is_set_aside(job, now):
                slowdown = slowdowns.get(job.queue, 1.0)
                try:
                    remaining = self._read_job(
                        job, queue, slowdown, now, wall_ms
                    )
                except Exception as error:
                    setaside.set_aside(job, error, now)
            if not job.phase.is_final:
                remaining_by_job[job.id] = remaining
        self._remaining = remaining_by_job

    def _read_job(
        self,
        job: job_module.Job,
        queue: queues.Queue,
        slowdown: float,
        now: float,
        wall_ms: float,
    ) -> float:
        """Read one job; return its remaining work in core-milliseconds."""
        service = self._services.setdefault(queue.service, _Service())
        remaining = job.remaining_core_ms
        mean_work = self.mean_works[job.queue]
        if self._is_new(job):
            work = job.specification.work_core_ms
            urgency = order.rate_new(work, queue, mean_work)
            service.note_arrival(job, urgency, now)
        else:
            before = self._find_remaining(job, remaining)
            service.note_done(max(before - remaining, 0.0))
        if job.phase.is_final:
            service.note_end(job)
            return remaining
        for tasks in _list_placeable(job, now):
            urgency = order.rate(tasks[0], queue, wall_ms, slowdown, mean_work)
            core_ms = len(tasks) * tasks[0].step.work_core_ms
            service.note_waiting(urgency, core_ms)
        return remaining

    def _is_new(self, job: job_module.Job) -> bool:
        """Return whether a job has arrived since the last measurement."""
        if self._remaining is None or job.phase.is_final:
            return False
        return job.id not in self._remaining

    def _find_remaining(self, job: job_module.Job, default: float) -> float:
        """Return a job's remaining work at the last measurement."""
        return (self._remaining or {}).get(job.id, default)


def _list_placeable(
    job: job_module.Job, now: float
) -> t.Iterable[list[job_module.Task]]:
    """Group the tasks that may be placed now by step.

    All tasks of a step are equally urgent.
    """
    by_step = collections.defaultdict(list)
    for task in job.waiting.values():
        if task.not_before <= now:
            by_step[task.key.step_key].append(task)
    return by_step.values()
