"""One seed of a soak: a site, callers, faults and checked guarantees."""

import dataclasses
import math
import pathlib
import random
import time
import typing as t

import anyio

from persimmonsail.auditing import evidence
from standins import platform_deployment
from tools.soaking import callers as callers_module
from tools.soaking import faults
from tools.soaking import site as site_module

# A task that crashes its agents may need three more starts after the last
# fault, and two may be in flight.
_MAX_STARTS_AFTER_FAULTS = 5
# Time for all jobs to end after the last fault. A successor waits 8 s for what
# a leader disconnected from the store may have permitted, and for a lease.
_DRAIN_SECONDS = 60.0
_FAULT_INTERVAL_SECONDS = (0.1, 1.2)
# No task of a job may start later than this after its acknowledged cancel.
_MAX_START_DELAY_SECONDS = 3.0
# Silences are injected less often than other faults as each lasts longer.
_SILENCE_INTERVAL_SECONDS = (1.0, 3.0)
_RESTART_INTERVAL_SECONDS = (0.5, 3.0)
_EVACUATION_INTERVAL_SECONDS = (0.5, 3.0)
_AGENT_INTERVAL_SECONDS = (1.0, 4.0)
_FEATURE_INTERVAL_SECONDS = (1.0, 4.0)
# No task may start in a zone later than this after its evacuation.
_MAX_EVACUATION_SECONDS = 5.0
_CRASH_EVENTS = {'worker-crashed', 'crash-counted', 'crash-at-once'}
_POLL_SECONDS = 0.2
# Log lines kept for each job that did not end.
_MAX_LINES_PER_JOB = 4
_MAX_ATTEMPTS = platform_deployment.CONFIGURATION['routes'][0]['maxAttempts']
# Jobs of a crowd for each instance, which has twenty seconds to do them, or
# less than half of the time to drain.
_CROWD_PER_INSTANCE = 15


@dataclasses.dataclass(frozen=True)
class Plan:
    """Duration and size of a trial.

    ``cancels`` adds cancellations of jobs that would end by themselves, and
    faults that delay a cancellation on its way to those who execute it;
    without it a seed reproduces the faults and jobs of older recorded runs.
    ``restarts`` adds agents that restart under their ids, once or repeatedly,
    and execute calls that were sent to the start before. ``evacuations`` adds
    zones that operators evacuate. ``crowds`` adds a crowd of callers, and
    entries that reject jobs by the leader's forecast. ``agents`` adds agents
    that refuse starts, or are silent or lost while their sidecars restart,
    and jobs whose tasks are a gang. ``features`` adds jobs with labels and
    limits on each instance, tasks that crash agents after seconds, and
    another program's heartbeats.
    """

    seed: int
    seconds: float = 12.0
    entries: int = 3
    instances: int = 4
    cancels: bool = True
    restarts: bool = True
    evacuations: bool = True
    crowds: bool = True
    agents: bool = True
    features: bool = True


@dataclasses.dataclass
class Report:
    """Outcome of a trial.

    Attributes
    ----------
    seed : int
        Seeds all random generators of the trial.
    jobs, starts, faults : int
        Number of each.
    violations : list of str
        Violated guarantees, each with the job or task concerned.
    evidence : list of str
        Log lines that explain the violations.
    """

    seed: int
    jobs: int = 0
    starts: int = 0
    faults: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)
    evidence: list[str] = dataclasses.field(default_factory=list)


class Trial:
    """Runs one plan in a directory, which holds logs and settings."""

    def __init__(self, plan: Plan, directory: pathlib.Path) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._site = site_module.Site(directory)
        if plan.crowds:
            self._site.admission = 'forecast'
        self._directory = directory
        self._callers = callers_module.Callers(
            self._site,
            random.Random(plan.seed + 1),
            random.Random(plan.seed + 3) if plan.cancels else None,
            random.Random(plan.seed + 7) if plan.agents else None,
            random.Random(plan.seed + 9) if plan.features else None,
        )
        self._report = Report(plan.seed)
        self._schedule: list[str] = []
        self._faults_cleared_at = math.inf

    async def run(self) -> Report:
        """Run the trial and check the guarantees."""
        async with self._site as site:
            await site.start_all(self._plan.entries, self._plan.instances)
            async with anyio.create_task_group() as group:
                group.start_soon(self._callers.run)
                if self._plan.crowds:
                    group.start_soon(
                        self._callers.crowd,
                        random.Random(self._plan.seed + 6),
                        _CROWD_PER_INSTANCE * self._plan.instances,
                    )
                await self._inject_all()
                self._callers.submitting = False
                await self._wait_jobs_end()
                group.cancel_scope.cancel()
            await self._check()
        schedule_file = self._directory / 'faults.txt'
        schedule_file.write_text(
            '\n'.join(self._schedule) + '\n', encoding='utf-8'
        )
        return self._report

    async def _inject_all(self) -> None:
        """Inject the series of faults, which overlap by their durations."""
        busy: set[str] = set()
        plan = self._plan
        all_series = (
            (True, faults.FAULTS, _FAULT_INTERVAL_SECONDS, self._rng),
            (
                plan.cancels,
                faults.SILENCES,
                _SILENCE_INTERVAL_SECONDS,
                random.Random(plan.seed + 2),
            ),
            (
                plan.restarts,
                faults.RESTARTS,
                _RESTART_INTERVAL_SECONDS,
                random.Random(plan.seed + 4),
            ),
            (
                plan.evacuations,
                faults.EVACUATIONS,
                _EVACUATION_INTERVAL_SECONDS,
                random.Random(plan.seed + 5),
            ),
            (
                plan.agents,
                faults.AGENTS,
                _AGENT_INTERVAL_SECONDS,
                random.Random(plan.seed + 8),
            ),
            (
                plan.features,
                faults.FEATURES,
                _FEATURE_INTERVAL_SECONDS,
                random.Random(plan.seed + 10),
            ),
        )
        async with anyio.create_task_group() as group:
            for enabled, series, interval, rng in all_series:
                if enabled:
                    group.start_soon(self._inject, series, interval, rng, busy)
        await faults.clear_faults(self._site)
        self._faults_cleared_at = time.time()

    async def _inject(
        self,
        series: t.Mapping[str, t.Any],
        interval: tuple[float, float],
        rng: random.Random,
        busy: set[str],
    ) -> None:
        started_at = anyio.current_time()
        async with anyio.create_task_group() as group:
            while anyio.current_time() - started_at < self._plan.seconds:
                await anyio.sleep(rng.uniform(*interval))
                name, target, fault = faults.draw(self._site, rng, series)
                if target in busy:
                    continue
                at = anyio.current_time() - started_at
                self._schedule.append(f'{at:.2f} {name} {target}')
                self._report.faults += 1
                busy.add(target)
                fault_rng = random.Random(rng.random())
                group.start_soon(
                    self._run_fault, fault, target, busy, fault_rng
                )

    async def _run_fault(
        self,
        fault: faults.Fault,
        target: str,
        busy: set[str],
        rng: random.Random,
    ) -> None:
        try:
            await fault(self._site, rng, target)
        finally:
            busy.discard(target)

    async def _wait_jobs_end(self) -> None:
        deadline = anyio.current_time() + _DRAIN_SECONDS
        while anyio.current_time() < deadline:
            if all(job.settled for job in self._callers.jobs):
                return
            await anyio.sleep(_POLL_SECONDS)

    async def _check(self) -> None:
        starts = await self._site.list_starts()
        report = self._report
        report.jobs = len(self._callers.jobs)
        report.starts = len(starts)
        preventable = [
            start
            for start in starts
            if not platform_deployment.is_unpreventable(start)
        ]
        for task in platform_deployment.find_overlaps(
            preventable, acknowledged_only=True
        ):
            report.violations.append(f'{task}: duplicate run')
        report.violations += await self._list_evacuated_starts()
        started = {start['task'].partition('.')[0] for start in starts}
        for job in self._callers.jobs:
            report.violations += [
                f'{job.id}: {text}' for text in job.violations
            ]
            if not job.settled:
                report.violations.append(
                    f'{job.id}: did not end, states: {job.states}'
                )
                report.evidence += self._list_last_lines(job.id)
            report.violations += self._check_crashing(job, starts)
            report.violations += _check_cancelled(job, starts)
            report.violations += _check_failed(job, starts)
            refused = not job.accepted and not job.unknown
            if refused and job.id in started:
                report.violations.append(f'{job.id}: ran although refused')
        crashing_jobs = {
            job.id for job in self._callers.jobs if job.crashes_agent
        }
        if report.violations:
            count = len(crashing_jobs)
            report.evidence.append(f'jobs that crash agents: {count}')
        for id in self._list_abandoned() - crashing_jobs:
            report.violations.append(f'{id}: abandoned, but crashed no agent')
            report.evidence += self._list_crash_lines(id)

    def _check_crashing(
        self, job: callers_module.Job, starts: list[dict[str, t.Any]]
    ) -> list[str]:
        """Return the violations by a job that crashes agents."""
        if not job.crashes_agent:
            return []
        name = f'{job.id}.0.0.0'
        violations = []
        late_starts = [
            start
            for start in starts
            if start['task'] == name
            and start['began'] > self._faults_cleared_at
        ]
        if len(late_starts) > _MAX_STARTS_AFTER_FAULTS:
            violations.append(
                f'{name}: {len(late_starts)} starts after the last fault'
            )
        if job.states[-1:] == ['complete']:
            violations.append(
                f'{job.id}: complete although its task crashes agents'
            )
        return violations

    async def _list_evacuated_starts(self) -> list[str]:
        """Return the starts in a zone that was evacuated long before."""
        violations = []
        for name, zone in self._site.zones.items():
            starts = await self._site.list_instance_starts(name)
            violations += [
                f'{start["task"]}: began in {zone}, evacuated at {begin:.2f}'
                for begin, end in self._list_closed_periods(zone)
                for start in starts
                if begin + _MAX_EVACUATION_SECONDS < start['began'] < end
            ]
        return violations

    def _list_closed_periods(self, zone: str) -> list[tuple[float, float]]:
        return [
            (evacuation.evacuated_at, evacuation.reopened_at)
            for evacuation in self._site.evacuations
            if evacuation.zone == zone
        ]

    def _list_abandoned(self) -> set[str]:
        """Return the jobs that a leader abandoned for their crashes."""
        return {
            event.get('job')
            for event, _ in self._read_events()
            if event.name == 'job-given-up'
        }

    def _list_last_lines(self, id: str) -> list[str]:
        """Return the latest log lines that name a job."""
        lines = [line for _, line in self._read_events() if id in line]
        return sorted(lines)[-_MAX_LINES_PER_JOB:]

    def _list_crash_lines(self, id: str) -> list[str]:
        """Return the log lines about crashes that name a job's tasks."""
        return [
            line
            for event, line in self._read_events()
            if event.name in _CRASH_EVENTS and f'{id}.' in line
        ]

    def _read_events(self) -> t.Iterator[tuple[evidence.Event, str]]:
        for path in self._site.running.log_files:
            for line in path.read_text(errors='replace').splitlines():
                event = evidence.read_event(line, str(path), 0)
                if event is not None:
                    yield event, line


def _check_failed(
    job: callers_module.Job, starts: list[dict[str, t.Any]]
) -> list[str]:
    """Return the violations by a job that was given up for its failures.

    The members of a gang share their runs, each of which is one attempt.
    """
    if job.crashes_agent or job.states[-1:] != ['failed']:
        return []
    failed_runs: dict[str, set[int]] = {}
    for start in starts:
        task = start['task']
        if task.partition('.')[0] == job.id and start['how'] == 'failed':
            unit = task.rpartition('.')[0] if job.gang else task
            failed_runs.setdefault(unit, set()).add(start['run'])
    most = max((len(runs) for runs in failed_runs.values()), default=0)
    if most >= _MAX_ATTEMPTS:
        return []
    return [f'{job.id}: given up after {most} failed runs']


def _check_cancelled(
    job: callers_module.Job, starts: list[dict[str, t.Any]]
) -> list[str]:
    """Return the violations by a cancelled job."""
    if not job.cancelled_at:
        return []
    violations = []
    for start in starts:
        if start['task'].partition('.')[0] != job.id:
            continue
        delay = start['began'] - job.cancelled_at
        if delay > _MAX_START_DELAY_SECONDS:
            violations.append(
                f'{start["task"]}: began {delay:.2f} s after a cancel'
            )
        if not start['ended']:
            violations.append(f'{start["task"]}: runs on after a cancel')
    return violations
