"""An emulated day, from its first job to its score."""

import math

from persimmonsail.decisions import quarantine
from persimmonsail.jobs import admission
from persimmonsail.jobs import advice
from persimmonsail.jobs import backlog
from persimmonsail.jobs import backlogmeter
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import eviction
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import fleetsnapshot
from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import placer
from persimmonsail.jobs import record
from persimmonsail.jobs import reports
from persimmonsail.jobs import scheduling
from persimmonsail.jobs import specification
from tools.emulator import deployments
from tools.emulator import faults
from tools.emulator import load as load_module
from tools.emulator import score
from tools.emulator import truth as truth_module
from tools.emulator import worker as worker_module
from tools.emulator import yardsticks

_TICK_SECONDS = 0.05
_REPORT_SECONDS = 0.45
# Time before the day for the first jobs, and after it for the last to end.
_LEAD_SECONDS = 6.0
_DRAIN_SECONDS = 12.0
# Keeps the leader's clock above 0, which stands for "never".
_CLOCK_OFFSET_SECONDS = yardsticks.CLOCK_OFFSET_SECONDS
_MEMORY_MIB = 256000


class Day:
    """Plays one day with the scheduler's own decisions.

    Parameters
    ----------
    deployment : tools.emulator.deployments.Deployment
        Its behaviour, workload and faults.
    seed : int
        Seeds the jobs and the truth.
    make_model : callable
        Makes the leader's interference model from the truth.
    takeover_seconds : float
        How often another leader takes over, which knows no speed limits.
    admits_by_forecast : bool
        Whether jobs are rejected that would end too late.

    Attributes
    ----------
    decisions : dict of str to persimmonsail.jobs.admission.Decision
        The decision on the admission of each job.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        seed: int,
        make_model: yardsticks.MakeModel = lambda truth: interference.Model(),
        takeover_seconds: float = math.inf,
        admits_by_forecast: bool = False,
    ) -> None:
        self._admits_by_forecast = admits_by_forecast
        self._backlog = backlogmeter.Meter()
        self.decisions: dict[str, admission.Decision] = {}
        self._takeover_seconds = takeover_seconds
        self._next_takeover = takeover_seconds
        self._truth = truth_module.Truth(deployment.shape, seed)
        caller = load_module.Caller(deployment.rates, deployment.shape, seed)
        self._faults = deployment.faults
        self._arrivals = caller.draw_day(_LEAD_SECONDS)
        self._arrivals_by_id = {a.id: a for a in self._arrivals}
        self._ended_at: dict[str, float] = {}
        # Number of starts of the crashing task of each job that has one.
        self._crashing_starts: dict[str, int] = {}
        self._failed_jobs: set[str] = set()
        self._saved_work: dict[str, float] = {}
        self.board = board_module.Board()
        self._waiting_seconds = 0.0
        self._model = make_model(self._truth)
        self._snapshot = fleetsnapshot.FleetSnapshot()
        self._reader = reports.Reader(
            self.board,
            quarantine.Tracker(),
            self._model,
            lambda queue: 4,
            advice.Approvals(),
            lambda: self._views,
        )
        self._workers: list[worker_module.Worker] = []
        self._views: list[instances.Instance] = []
        self._reported_at: list[float] = []
        self._indices: dict[str, int] = {}
        for index, cores in enumerate(deployment.cores):
            capacity = specification.Size(cores * 1000, _MEMORY_MIB)
            address = f'10.0.0.{index}:7000'
            worker = worker_module.Worker(address, capacity, self._truth)
            worker.saved_work = self._saved_work
            self._workers.append(worker)
            self._views.append(
                instances.Instance(
                    address,
                    service=load_module.SERVICE,
                    boot=worker.boot,
                    capacity=capacity,
                    attached=True,
                    has_reported=True,
                )
            )
            # Sidecars report at intervals of 0.04 s within a period.
            first_report_at = 0.04 * index % _REPORT_SECONDS
            self._reported_at.append(first_report_at - _LEAD_SECONDS)
            self._indices[address] = index

    def play(self) -> score.Result:
        """Play the day and return its score."""
        now = -_LEAD_SECONDS
        pending = list(reversed(self._arrivals))
        while now < load_module.DAY_SECONDS + _DRAIN_SECONDS:
            replan = False
            while pending and pending[-1].at <= now:
                self._submit(pending.pop())
                replan = True
            self._apply_faults(now)
            if now >= self._next_takeover:
                self._next_takeover += self._takeover_seconds
                self._forget_speed_limits()
            for worker in self._workers:
                worker.tick(now)
            for index in range(len(self._workers)):
                replan |= self._process_report(index, now)
            if replan or round(now / _TICK_SECONDS) % 5 == 0:
                self._place(now)
            self._waiting_seconds += _TICK_SECONDS * self._count_waiting()
            self._note_elapsed(_TICK_SECONDS)
            now += _TICK_SECONDS
        return score.compute(
            score.Outcome(
                self._arrivals,
                self._ended_at,
                self._workers,
                now,
                self._waiting_seconds,
                self._crashing_starts,
                self._failed_jobs,
            )
        )

    def find_span(self, id: str) -> float:
        """Return the seconds that a job took; infinite if it did not end."""
        ended_at = self._ended_at.get(id, math.inf)
        return ended_at - self._arrivals_by_id[id].at

    def _note_elapsed(self, seconds: float) -> None:
        """Account for the leader's time; a hook for subclasses."""

    def _count_waiting(self) -> int:
        return sum(
            len(job.waiting)
            for job in self.board.jobs.values()
            if job.queue == load_module.HEAVY
        )

    def _submit(self, arrival: load_module.Arrival) -> None:
        decision = self._decide(arrival)
        self.decisions[arrival.id] = decision
        if self._admits_by_forecast and not decision.is_admitted:
            return
        self.board.add(
            job_module.Job(
                arrival.id,
                arrival.queue,
                round((_CLOCK_OFFSET_SECONDS + arrival.at) * 1000),
                arrival.specification,
            )
        )

    def _decide(self, arrival: load_module.Arrival) -> admission.Decision:
        """Decide on the admission of a job, as an entry does."""
        work = arrival.specification.work_core_ms
        return admission.decide(
            self._backlog.forecasts.get(
                load_module.SERVICE, backlog.Forecast()
            ),
            load_module.QUEUES[arrival.queue],
            arrival.specification,
            self._backlog.mean_works.get(arrival.queue, work),
        )

    def _apply_faults(self, now: float) -> None:
        for fault in self._faults:
            kind = faults.KINDS[fault.kind]
            worker = self._workers[fault.index]
            if _is_due(fault.at, now):
                kind.begin(worker, fault)
            if _is_due(fault.at + fault.seconds, now):
                kind.end(worker, fault)

    def _forget_speed_limits(self) -> None:
        for view in self._views:
            for run in view.best_effort_runs:
                run.speed_limit_known = False
                run.speed_limit_at = 0.0
                run.throttled_since = 0.0

    def _process_report(self, index: int, now: float) -> bool:
        worker = self._workers[index]
        view = self._views[index]
        if not worker.changed:
            if now - self._reported_at[index] < _REPORT_SECONDS:
                return False
        self._reported_at[index] = now
        report = worker.make_report(1, view.processed_end, now)
        clock = now + _CLOCK_OFFSET_SECONDS
        reaction = self._read(view, report, clock)
        for run in reaction.stops:
            self._stop(worker, run, now)
        for change in reaction.paces:
            eviction.record_speed_limit(change.run, change.percent, clock)
            key = (change.run.task, change.run.number)
            worker.set_speed_limit(key, change.percent, now)
        for run in eviction.select_starved(
            view, clock, self._reader.is_last_placed
        ):
            self._stop(worker, run, now)
        self._note_ends(now)
        return reaction.replan or bool(self.board.changed)

    def _stop(
        self, worker: worker_module.Worker, run: instances.Run, now: float
    ) -> None:
        run.phase = instances.RunPhase.STOPPING
        worker.stop((run.task, run.number), now)

    def _note_ends(self, now: float) -> None:
        for job_id in self.board.changed:
            job = self.board.jobs[job_id]
            if job.phase is record.JobPhase.COMPLETE:
                self._ended_at.setdefault(job_id, now)
            elif job.phase is record.JobPhase.FAILED:
                self._failed_jobs.add(job_id)
        self.board.changed.clear()

    def _place(self, now: float) -> None:
        clock = now + _CLOCK_OFFSET_SECONDS
        claims = self._plan(clock)
        self._backlog.measure(
            self.board,
            load_module.QUEUES,
            self._reader.slowdowns,
            clock,
            clock,
        )
        self._note_ends(now)
        for claim in claims:
            claim.run.order = 1
            index = self._indices[claim.instance.address]
            key = claim.task.key
            arrival = self._arrivals_by_id[claim.task.job.id]
            self._workers[index].start(
                claim.run,
                arrival.seconds[key.step][key.index],
                self._saved_work.get(claim.run.task, 0.0),
                now,
                self._note_start(arrival, claim),
            )

    def _note_start(
        self, arrival: load_module.Arrival, claim: placer.Claim
    ) -> bool:
        """Return whether a task crashes its agent, and count such starts."""
        key = claim.task.key
        crashes = arrival.crashes and key.step == 0 and key.index == 0
        if crashes:
            starts = self._crashing_starts.get(arrival.id, 0)
            self._crashing_starts[arrival.id] = starts + 1
        return crashes

    def _read(
        self, view: instances.Instance, report: fleet_pb2.Report, clock: float
    ) -> reports.Reaction:
        return self._reader.read(view, report, clock)

    def _plan(self, clock: float) -> list[placer.Claim]:
        return scheduling.plan(
            self.board,
            self._snapshot,
            self._views,
            load_module.QUEUES,
            self._reader.slowdowns,
            self._model,
            advice.Approvals(),
            clock,
            clock,
        )


def _is_due(at: float, now: float) -> bool:
    return at <= now < at + _TICK_SECONDS
