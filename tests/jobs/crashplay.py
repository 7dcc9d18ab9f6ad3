"""Simulates tasks that crash their worker agents, in virtual time.

Tasks are placed by the leader's own decisions; reports arrive with the delay
and the granularity of real sidecars.
"""

import collections
import dataclasses
import math
import random

from persimmonsail.decisions import quarantine
from persimmonsail.jobs import advice
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import fleetsnapshot
from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import placer
from persimmonsail.jobs import record
from persimmonsail.jobs import reports
from tests.jobs import cases

_TICK_SECONDS = 0.01
_REPORT_SECONDS = 0.45
_ROUND_SECONDS = 0.25
_START = 100.0
# Number of past crashes that a sidecar reports to a new leader.
_MAX_REPORTED_CRASHES = 8


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Parameters of a simulation.

    Attributes
    ----------
    instances, bad, harmless : int
        Number of instances, of tasks that crash their agents, and of tasks
        that do not; each task is a job of its own.
    seed : int
        Seed of the random delays.
    crash_seconds : tuple of float
        Bounds of the time from a bad task's start to its agent's crash.
    down_seconds : float
        How long a crashed agent is unreachable.
    work_seconds : float
        How long a harmless task takes.
    delay_seconds : tuple of float
        Bounds of an order's delay to the sidecar, and on to the agent.
    arrival_seconds : float
        The time over which the jobs are submitted.
    bad_arrival_seconds : float
        The time over which the bad ones are; 0 for the same time.
    power_losses : tuple of float
        When all agents crash simultaneously.
    leader_changes : tuple of float
        When another leader takes over.
    max_seconds : float
        After which time the simulation ends.
    """

    instances: int
    bad: int
    harmless: int
    seed: int = 1
    crash_seconds: tuple[float, float] = (0.003, 0.06)
    down_seconds: float = 0.2
    work_seconds: float = 0.4
    delay_seconds: tuple[float, float] = (0.003, 0.02)
    arrival_seconds: float = 0.1
    bad_arrival_seconds: float = 0.0
    power_losses: tuple[float, ...] = ()
    leader_changes: tuple[float, ...] = ()
    max_seconds: float = 120.0


@dataclasses.dataclass
class Outcome:
    """The result of a simulation.

    Attributes
    ----------
    starts : Counter
        How often each bad task was started.
    failed : set of str
        Harmless jobs that failed.
    unfinished : set of str
        Jobs that have not ended.
    seconds : float
        When the last job ended.
    """

    starts: collections.Counter[str]
    failed: set[str]
    unfinished: set[str]
    seconds: float

    @property
    def max_starts(self) -> int:
        """The starts of the bad task that was started most often."""
        return max(self.starts.values(), default=0)


@dataclasses.dataclass
class _Run:
    key: instances.RunId
    ordered_at: float
    begins_at: float
    ends_at: float
    crashes_at: float | None


class _Agent:
    """A worker's agent and what its sidecar knows about it."""

    def __init__(self, number: int, rng: random.Random) -> None:
        self.number = number
        self._random = rng
        self._incarnation = 0
        self.restart_at = 0.0
        # Each crash with the time of the boot's last answer.
        self.crashes: list[tuple[fleet_pb2.Crash, float]] = []
        self.reported_count = 0
        self.ended_boots: list[str] = []
        self.pending: list[_Run] = []
        self.runs: dict[instances.RunId, _Run] = {}
        self.answered_at = _START
        self.reported_at = _START + rng.uniform(0, _REPORT_SECONDS)
        self.polled_at = _START + rng.uniform(0, _REPORT_SECONDS)
        self.changed = True
        self.ended: list[fleet_pb2.Ended] = []
        self._number = 0

    @property
    def boot(self) -> str:
        return f'boot-{self.number}-{self._incarnation}'

    def order(self, run: _Run) -> None:
        self.pending.append(run)

    def crash(self, now: float, down_seconds: float) -> None:
        """Crash with all runs; the sidecar reports it later."""
        if now < self.restart_at:
            return
        crash = fleet_pb2.Crash(boot=self.boot)
        rows = sorted(self.runs.values(), key=lambda run: -run.ordered_at)
        for run in rows:
            seconds = max(self.answered_at - run.ordered_at, 0.0)
            task, number = run.key
            crash.runs.add(task=task, run=number, seconds=seconds)
        self.crashes.append((crash, self.answered_at))
        self.ended_boots.append(self.boot)
        self.runs.clear()
        self.pending.clear()
        self.ended.clear()
        self._number = 0
        self.restart_at = now + down_seconds + self._random.uniform(0, 0.2)

    def tick(self, now: float, down_seconds: float) -> list[_Run]:
        """Advance the time; return the runs that have started."""
        if now < self.restart_at:
            return []
        if self.restart_at:
            self.restart_at = 0.0
            self._incarnation += 1
            self.answered_at = now
            self.changed = True
        started = [one for one in self.pending if one.begins_at <= now]
        for run in started:
            self.pending.remove(run)
            self.runs[run.key] = run
            self.answered_at = now
            self.changed = True
        if now - self.polled_at > _REPORT_SECONDS:
            self.polled_at = self.answered_at = now
        for run in list(self.runs.values()):
            if run.crashes_at is not None and run.crashes_at <= now:
                self.crash(now, down_seconds)
                break
            if run.ends_at <= now:
                self._end(run)
        return started

    def _end(self, run: _Run) -> None:
        del self.runs[run.key]
        self._number += 1
        self.changed = True
        self.ended.append(
            fleet_pb2.Ended(
                number=self._number,
                task=run.key[0],
                run=run.key[1],
                how='done',
            )
        )

    def describe(
        self, instance: instances.Instance, now: float
    ) -> fleet_pb2.Report:
        """Return what the sidecar reports to the leader."""
        self.changed = False
        self.reported_at = now
        report = cases.make_report(instance)
        report.boot = self.boot
        report.over.extend(self.ended_boots)
        report.silent_seconds = now - self.answered_at
        is_down = now < self.restart_at
        for run in () if is_down else self.runs.values():
            report.running.add(task=run.key[0], run=run.key[1])
        if is_down:
            # The runs of the last poll, which the sidecar still reports.
            del report.over[-1:]
            for crashed in self.crashes[-1][0].runs:
                report.running.add(task=crashed.task, run=crashed.run)
        for run in self.pending:
            report.pending.add(task=run.key[0], run=run.key[1])
        report.ended.extend(
            row for row in self.ended if row.number > instance.processed_end
        )
        # A crash is known once the agent is back with another boot.
        known_count = len(self.crashes) - is_down
        for crash, at in self.crashes[self.reported_count : known_count]:
            crash.ago_seconds = now - at
            report.crashes.append(crash)
        self.reported_count = known_count
        return report


class Simulation:
    """Runs a scenario to its end."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._agents = [
            _Agent(number, random.Random(scenario.seed * 1000 + number))
            for number in range(scenario.instances)
        ]
        bad = [f'b{number:015x}' for number in range(scenario.bad)]
        harmless = [f'a{number:015x}' for number in range(scenario.harmless)]
        ids = bad + harmless
        self._random.shuffle(ids)
        until = _START + scenario.arrival_seconds
        times = sorted(self._random.uniform(_START, until) for _ in ids)
        if scenario.bad_arrival_seconds:
            until = _START + scenario.bad_arrival_seconds
            times = [
                self._random.uniform(_START, until) if id in bad else at
                for at, id in zip(times, ids, strict=True)
            ]
        self._arrivals = sorted(zip(times, ids, strict=True))
        self._starts: collections.Counter[str] = collections.Counter()
        self._board = board_module.Board()
        self._start_leader(_START)

    def _start_leader(self, now: float) -> None:
        """Start a new leader from what the store contains."""
        board = board_module.Board()
        for job in self._board.jobs.values():
            board.add(_copy(job))
        self._board = board
        self._snapshot = fleetsnapshot.FleetSnapshot()
        self._instances = [
            cases.make_instance(
                f'10.0.0.{agent.number}:7000',
                cores=8,
                boot=agent.boot,
                answered_at=now,
            )
            for agent in self._agents
        ]
        self._reader = reports.Reader(
            self._board,
            quarantine.Tracker(),
            interference.Model(),
            lambda queue: 3,
            advice.Approvals(),
            lambda: self._instances,
        )
        for agent, instance in zip(self._agents, self._instances, strict=True):
            instance.has_reported = False
            instance.boot = agent.boot
            agent.changed = True
            # Sidecars report their crashes to each leader again.
            agent.reported_count = max(
                0, len(agent.crashes) - _MAX_REPORTED_CRASHES
            )
        self._adopt()

    def _adopt(self) -> None:
        """Add the runs that the claims of the previous leader name."""
        by_address = {
            instance.address: instance for instance in self._instances
        }
        for job in self._board.jobs.values():
            for task in job.list_placed():
                instance = by_address[task.state.instance]
                instance.add_run(
                    instances.Run(
                        task=task.name,
                        number=task.state.run,
                        boot=task.state.boot,
                        step=task.step,
                        queue=job.queue,
                        suspect=task.is_suspect,
                    )
                )

    def run(self) -> Outcome:
        """Simulate until all jobs have ended or the time limit is reached."""
        now = _START
        end = _START + self._scenario.max_seconds
        placed_at = 0.0
        while now < end:
            replan = self._submit(now)
            self._inject_faults(now)
            for agent, instance in zip(
                self._agents, self._instances, strict=True
            ):
                self._note_starts(agent.tick(now, self._scenario.down_seconds))
                due = now - agent.reported_at > _REPORT_SECONDS
                if agent.changed or due:
                    report = agent.describe(instance, now)
                    replan |= self._reader.read(instance, report, now).replan
            if replan or now - placed_at > _ROUND_SECONDS:
                placed_at = now
                self._place(now)
            if not self._arrivals and not self._list_unfinished():
                break
            now += _TICK_SECONDS
        failed = {
            job.id
            for job in self._board.jobs.values()
            if job.phase is record.JobPhase.FAILED and job.id[0] == 'a'
        }
        return Outcome(
            self._starts, failed, self._list_unfinished(), now - _START
        )

    def _note_starts(self, started: list[_Run]) -> None:
        for run in started:
            if run.crashes_at is not None:
                self._starts[run.key[0].partition('.')[0]] += 1

    def _list_unfinished(self) -> set[str]:
        return {
            job.id
            for job in self._board.jobs.values()
            if not job.phase.is_final
        }

    def _submit(self, now: float) -> bool:
        replan = False
        while self._arrivals and self._arrivals[0][0] <= now:
            _, id = self._arrivals.pop(0)
            self._board.add(cases.make_job(id=id))
            replan = True
        return replan

    def _inject_faults(self, now: float) -> None:
        for at in self._scenario.power_losses:
            if _is_now(_START + at, now):
                for agent in self._agents:
                    agent.crash(now, self._scenario.down_seconds)
        for at in self._scenario.leader_changes:
            if _is_now(_START + at, now):
                self._start_leader(now)

    def _place(self, now: float) -> None:
        claims = cases.plan(
            self._board, self._snapshot, self._instances, now, now
        )
        for claim in claims:
            claim.run.order = 1
            self._start(claim, now)

    def _start(self, claim: placer.Claim, now: float) -> None:
        (agent,) = (
            one
            for one, instance in zip(
                self._agents, self._instances, strict=True
            )
            if instance is claim.instance
        )
        if agent.boot != claim.run.boot or now < agent.restart_at:
            return
        ordered_at = now + self._random.uniform(*self._scenario.delay_seconds)
        begins_at = ordered_at + self._random.uniform(
            *self._scenario.delay_seconds
        )
        ends_at = begins_at + self._scenario.work_seconds
        crashes_at = None
        if claim.task.job.id[0] == 'b':
            crash_delay = self._random.uniform(*self._scenario.crash_seconds)
            crashes_at = begins_at + crash_delay
            ends_at = math.inf
        agent.order(
            _Run(
                (claim.run.task, claim.run.number),
                ordered_at,
                begins_at,
                ends_at,
                crashes_at,
            )
        )


def _copy(job: job_module.Job) -> job_module.Job:
    """Return a job as a new leader reads it from the store."""
    return job_module.Job(
        job.id,
        job.queue,
        job.accepted_ms,
        job.specification,
        record.decode_progress(job.progress.encode()),
    )


def _is_now(at: float, now: float) -> bool:
    return at <= now < at + _TICK_SECONDS
