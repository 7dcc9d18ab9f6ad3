"""Tasks that crash their agents, played in virtual time.

The leader's own decisions place tasks on agents that a bad task ends; what
sidecars report comes as late and as coarse as from a real one.
"""

import collections
import dataclasses
import random

from persimmonsail.decisions import quarantine
from persimmonsail.jobs import advice
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import placer
from persimmonsail.jobs import places as places_module
from persimmonsail.jobs import record
from persimmonsail.jobs import reports
from tests.jobs import cases

_TICK_SECONDS = 0.01
_REPORT_SECONDS = 0.45
_ROUND_SECONDS = 0.25
_BEGIN = 100.0
# So many crashes a sidecar tells the next leader of.
_KEPT_CRASHES = 8


@dataclasses.dataclass(frozen=True)
class Plan:
    """What is played.

    Attributes
    ----------
    instances, bad, harmless : int
        How many there are; each task is a job of its own.
    seed : int
        Draws the small differences in time.
    crash_seconds : tuple of float
        Bounds of the time from a bad task's start to its agent's crash.
    down_seconds : float
        For how long a crashed agent is away.
    work_seconds : float
        How long a harmless task takes.
    way_seconds : tuple of float
        Bounds of an order's way to the sidecar, and on to the agent.
    within_seconds : float
        The time over which the jobs are handed in.
    losses : tuple of float
        When all agents crash at one moment.
    successions : tuple of float
        When another leader takes over.
    """

    instances: int
    bad: int
    harmless: int
    seed: int = 1
    crash_seconds: tuple[float, float] = (0.003, 0.06)
    down_seconds: float = 0.2
    work_seconds: float = 0.4
    way_seconds: tuple[float, float] = (0.003, 0.02)
    within_seconds: float = 0.1
    losses: tuple[float, ...] = ()
    successions: tuple[float, ...] = ()
    most_seconds: float = 120.0


@dataclasses.dataclass
class Outcome:
    """What a play came to.

    Attributes
    ----------
    starts : Counter
        How often each bad task was started.
    failed : set of str
        Harmless jobs that were given up.
    open : set of str
        Jobs without an end.
    seconds : float
        When the last job ended.
    """

    starts: collections.Counter[str]
    failed: set[str]
    open: set[str]
    seconds: float

    @property
    def most_starts(self) -> int:
        """The starts of the bad task that had most."""
        return max(self.starts.values(), default=0)


@dataclasses.dataclass
class _Run:
    key: instances.RunId
    sent_at: float
    begins_at: float
    ends_at: float
    crashes_at: float | None


class _Agent:
    """A worker's agent and what its sidecar knows of it."""

    def __init__(self, number: int, drawn: random.Random) -> None:
        self.number = number
        self._random = drawn
        self._lives = 0
        self.back_at = 0.0
        # Each with when its boot last answered.
        self.crashes: list[tuple[fleet_pb2.Crash, float]] = []
        self.told = 0
        self.over: list[str] = []
        self.pending: list[_Run] = []
        self.runs: dict[instances.RunId, _Run] = {}
        self.answered_at = _BEGIN
        self.reported_at = _BEGIN + drawn.uniform(0, _REPORT_SECONDS)
        self.looked_at = _BEGIN + drawn.uniform(0, _REPORT_SECONDS)
        self.changed = True
        self.ended: list[fleet_pb2.Ended] = []
        self._number = 0

    @property
    def boot(self) -> str:
        return f'boot-{self.number}-{self._lives}'

    def order(self, run: _Run) -> None:
        self.pending.append(run)

    def crash(self, now: float, down_seconds: float) -> None:
        """End with all runs; the sidecar tells of it later."""
        if now < self.back_at:
            return
        crash = fleet_pb2.Crash(boot=self.boot)
        rows = sorted(self.runs.values(), key=lambda run: -run.sent_at)
        for run in rows:
            seconds = max(self.answered_at - run.sent_at, 0.0)
            task, number = run.key
            crash.runs.add(task=task, run=number, seconds=seconds)
        self.crashes.append((crash, self.answered_at))
        self.over.append(self.boot)
        self.runs.clear()
        self.pending.clear()
        self.ended.clear()
        self._number = 0
        self.back_at = now + down_seconds + self._random.uniform(0, 0.2)

    def tick(self, now: float, down_seconds: float) -> list[_Run]:
        """Let time pass; return what has begun."""
        if now < self.back_at:
            return []
        if self.back_at:
            self.back_at = 0.0
            self._lives += 1
            self.answered_at = now
            self.changed = True
        begun = [one for one in self.pending if one.begins_at <= now]
        for run in begun:
            self.pending.remove(run)
            self.runs[run.key] = run
            self.answered_at = now
            self.changed = True
        if now - self.looked_at > _REPORT_SECONDS:
            self.looked_at = self.answered_at = now
        for run in list(self.runs.values()):
            if run.crashes_at is not None and run.crashes_at <= now:
                self.crash(now, down_seconds)
                break
            if run.ends_at <= now:
                self._end(run)
        return begun

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
        self, view: instances.Instance, now: float
    ) -> fleet_pb2.Report:
        """Return what the sidecar reports to the leader."""
        self.changed = False
        self.reported_at = now
        report = cases.make_report(view)
        report.boot = self.boot
        report.over.extend(self.over)
        report.silent_seconds = now - self.answered_at
        away = now < self.back_at
        for run in () if away else self.runs.values():
            report.running.add(task=run.key[0], run=run.key[1])
        if away:
            # The runs of the last look, as the sidecar still sees them.
            del report.over[-1:]
            for crashed in self.crashes[-1][0].runs:
                report.running.add(task=crashed.task, run=crashed.run)
        for run in self.pending:
            report.pending.add(task=run.key[0], run=run.key[1])
        report.ended.extend(
            row for row in self.ended if row.number > view.processed
        )
        # A crash is known when the agent is back as another boot.
        known = len(self.crashes) - away
        for crash, at in self.crashes[self.told : known]:
            crash.ago_seconds = now - at
            report.crashes.append(crash)
        self.told = known
        return report


class Play:
    """Plays a plan to its end."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._agents = [
            _Agent(number, random.Random(plan.seed * 1000 + number))
            for number in range(plan.instances)
        ]
        bad = [f'b{number:015x}' for number in range(plan.bad)]
        harmless = [f'a{number:015x}' for number in range(plan.harmless)]
        ids = bad + harmless
        self._random.shuffle(ids)
        until = _BEGIN + plan.within_seconds
        times = sorted(self._random.uniform(_BEGIN, until) for _ in ids)
        self._arrivals = list(zip(times, ids, strict=True))
        self._starts: collections.Counter[str] = collections.Counter()
        self._board = board_module.Board()
        self._lead(_BEGIN)

    def _lead(self, now: float) -> None:
        """Have another leader take over, with what the store keeps."""
        loaded = board_module.Board()
        for job in self._board.jobs.values():
            loaded.add(_copy(job))
        self._board = loaded
        self._places = places_module.Places()
        self._views = [
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
            lambda: self._views,
        )
        for agent, view in zip(self._agents, self._views, strict=True):
            view.reported = False
            view.boot = agent.boot
            agent.changed = True
            # Sidecars tell each leader of theirs anew.
            agent.told = max(0, len(agent.crashes) - _KEPT_CRASHES)
        self._adopt()

    def _adopt(self) -> None:
        """Count what the claims of the leader before say."""
        by_address = {view.address: view for view in self._views}
        for job in self._board.jobs.values():
            for task in job.list_placed():
                view = by_address[task.state.instance]
                view.add_run(
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
        """Play until all jobs have ended, or for too long."""
        now = _BEGIN
        end = _BEGIN + self._plan.most_seconds
        planned_at = 0.0
        while now < end:
            replan = self._submit(now)
            self._fail(now)
            for agent, view in zip(self._agents, self._views, strict=True):
                self._note_starts(agent.tick(now, self._plan.down_seconds))
                due = now - agent.reported_at > _REPORT_SECONDS
                if agent.changed or due:
                    report = agent.describe(view, now)
                    replan |= self._reader.read(view, report, now).replan
            if replan or now - planned_at > _ROUND_SECONDS:
                planned_at = now
                self._place(now)
            if not self._arrivals and not self._list_open():
                break
            now += _TICK_SECONDS
        failed = {
            job.id
            for job in self._board.jobs.values()
            if job.phase is record.JobPhase.FAILED and job.id[0] == 'a'
        }
        return Outcome(self._starts, failed, self._list_open(), now - _BEGIN)

    def _note_starts(self, begun: list[_Run]) -> None:
        for run in begun:
            if run.crashes_at is not None:
                self._starts[run.key[0].partition('.')[0]] += 1

    def _list_open(self) -> set[str]:
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

    def _fail(self, now: float) -> None:
        for at in self._plan.losses:
            if _is_now(_BEGIN + at, now):
                for agent in self._agents:
                    agent.crash(now, self._plan.down_seconds)
        for at in self._plan.successions:
            if _is_now(_BEGIN + at, now):
                self._lead(now)

    def _place(self, now: float) -> None:
        claims = cases.plan(self._board, self._places, self._views, now, now)
        for claim in claims:
            claim.run.order = 1
            self._start(claim, now)

    def _start(self, claim: placer.Claim, now: float) -> None:
        (agent,) = (
            one
            for one, view in zip(self._agents, self._views, strict=True)
            if view is claim.instance
        )
        if agent.boot != claim.run.boot or now < agent.back_at:
            return
        sent_at = now + self._random.uniform(*self._plan.way_seconds)
        begins_at = sent_at + self._random.uniform(*self._plan.way_seconds)
        crashes_at = None
        if claim.task.job.id[0] == 'b':
            wait = self._random.uniform(*self._plan.crash_seconds)
            crashes_at = begins_at + wait
        agent.order(
            _Run(
                (claim.run.task, claim.run.number),
                sent_at,
                begins_at,
                begins_at + self._plan.work_seconds,
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
