"""One scheduling round for the waiting tasks; performs no I/O."""

import typing as t

import numpy

from persimmonsail.jobs import advice
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import fleetsnapshot
from persimmonsail.jobs import gangs
from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import order
from persimmonsail.jobs import placement
from persimmonsail.jobs import placer as placer_module
from persimmonsail.jobs import queues
from persimmonsail.jobs import ranking
from persimmonsail.jobs import setaside
from persimmonsail.jobs import suspects
from persimmonsail import logs

_MILLISECONDS = 1000
# A job that has had nothing running for this long accepts any placement:
# if it interferes with all serving tasks, it would otherwise wait forever,
# and a job idle for 3 s despite free capacity counts as lost. Most jobs find
# a better placement sooner.
_IDLE_TIMEOUT_SECONDS = 2.0
# Maximum interval between rounds; some conditions change only with time.
ROUND_SECONDS = 0.25
# Interval between round starts when a slow store's commit takes as long as
# ROUND_SECONDS. A leader with a tenth of a processor starts a round every 0.6
# to 1.4 s, and the report of a run's end and the order of its next start are
# delayed alike: the idle time-out shrinks by these delays and the commit's.
_USUAL_ROUND_INTERVAL_SECONDS = 0.5
_DELAYS_PER_RESTART = 4
# A round ends after this many claims, the most urgent ones, which are
# committed and started before the next round. A claim takes 0.25 ms, so a
# round delays callers and lease renewals by at most 25 ms.
MAX_CLAIMS = 100
# The minimum pause lets simultaneous ends share a commit. The factor, relative
# to the round's duration, limits placement to a fifth of the processor on a
# large fleet, where runs end continuously.
_MIN_PAUSE_SECONDS = 0.008
_PAUSE_FACTOR = 4.0
# A full round means that more placeable tasks are waiting, as all tasks are
# after a power failure. Placement may then take half of the processor.
_FULL_PAUSE_FACTOR = 1.0


_StepId = tuple[str, tuple[int, int]]


def plan(
    board: board_module.Board,
    snapshot: fleetsnapshot.FleetSnapshot,
    fleet: t.Iterable[instances.Instance],
    queues_by_name: t.Mapping[str, queues.Queue],
    slowdowns: t.Mapping[str, float],
    model: interference.Model,
    approvals: advice.Approvals,
    now: float,
    wall_seconds: float,
    round_interval: float = 0.0,
) -> list[placer_module.Claim]:
    """Claim capacity for up to one round's worth of waiting tasks.

    Parameters
    ----------
    board : persimmonsail.jobs.board.Board
        The jobs; claimed tasks are marked as placed.
    snapshot : persimmonsail.jobs.fleetsnapshot.FleetSnapshot
        The fleet snapshot, shared by all rounds of a leader.
    fleet : iterable of persimmonsail.jobs.instances.Instance
        The instances; claimed runs are added to them.
    queues_by_name : mapping of str to persimmonsail.jobs.queues.Queue
        The queues by name.
    slowdowns : mapping of str to float
        Ratio of actual to estimated task duration, by queue.
    model : persimmonsail.jobs.interference.Model
        Learned interference between images.
    approvals : persimmonsail.jobs.advice.Approvals
        Where steps of advised queues may run; missing approvals are
        requested there.
    now : float
        Seconds of the leader's clock.
    wall_seconds : float
        Seconds since the epoch.
    round_interval : float, optional
        Seconds since the previous round began.
    """
    suspects.fail_exhausted(board, now)
    approvals.begin_round()
    snapshot.refresh(fleet, model, now)
    idle_timeout = _choose_idle_timeout(round_interval)
    current_round = _Round(
        board, snapshot, model, approvals, now, wall_seconds, idle_timeout
    )
    claims: list[placer_module.Claim] = []
    retried: dict[str, job_module.Job] = {}
    for task, queue in ranking.rank(
        board, queues_by_name, slowdowns, now, wall_seconds
    ):
        job = task.job
        if setaside.is_set_aside(job, now):
            continue
        if job.planning_failures:
            retried[job.id] = job
        try:
            claims += current_round.place(task, queue)
        except Exception as error:
            setaside.set_aside(job, error, now)
            setaside.take_back_runs(board, snapshot.fleet, job, claims)
            current_round.discard_placer()
        if len(claims) >= MAX_CLAIMS:
            return claims
    for job in retried.values():
        if not setaside.is_set_aside(job, now):
            setaside.note_planned(job)
    return claims


def choose_pause(duration: float, full: bool) -> float:
    """Return how long to wait until the next round.

    Parameters
    ----------
    duration : float
        Duration of the last round in seconds.
    full : bool
        Whether it ended before all waiting tasks were considered.

    Returns
    -------
    float
        Seconds.
    """
    factor = _FULL_PAUSE_FACTOR if full else _PAUSE_FACTOR
    return max(_MIN_PAUSE_SECONDS, factor * duration)


def _choose_idle_timeout(round_interval: float) -> float:
    """Return for how many seconds an idle job waits for full speed."""
    delay = max(round_interval - _USUAL_ROUND_INTERVAL_SECONDS, 0.0)
    return max(_IDLE_TIMEOUT_SECONDS - _DELAYS_PER_RESTART * delay, 0.0)


def _measure_idle_seconds(job: job_module.Job, now: float) -> float:
    """Return for how many seconds a job has had no task placed."""
    if job.placed_count or not job.idle_since:
        job.idle_since = now
    return now - job.idle_since


class _Round:
    """One scheduling round and the steps that it could not place."""

    def __init__(
        self,
        board: board_module.Board,
        snapshot: fleetsnapshot.FleetSnapshot,
        model: interference.Model,
        approvals: advice.Approvals,
        now: float,
        wall_seconds: float,
        idle_timeout: float,
    ) -> None:
        self._idle_timeout = idle_timeout
        self._board = board
        self._snapshot = snapshot
        self._model = model
        self._approvals = approvals
        self._now = now
        self._wall_ms = wall_seconds * _MILLISECONDS
        # Tasks of a step have equal requirements: once one doesn't fit, no
        # other one will in this round.
        self._unplaceable_steps: set[_StepId] = set()
        # Services whose capacity is reserved for a gang; all later tasks of
        # this round are less urgent.
        self._reserved_services: set[str] = set()
        # Masks of the instances of each service that accept new work.
        self._usable: dict[str, numpy.ndarray] = {}
        # How many suspects are tried on each instance, once it is needed.
        self._trials: numpy.ndarray | None = None
        # Steps whose suspects can't be tried beside others in this round.
        self._steps_without_batch: set[_StepId] = set()
        # Tasks are ordered by step, so only the last placer is reused.
        self._placer_step: _StepId | None = None
        self._placer: placer_module.Placer

    def place(
        self, task: job_module.Task, queue: queues.Queue
    ) -> list[placer_module.Claim]:
        """Claim capacity for a task, or for its complete gang."""
        step = (task.job.id, task.key.step_key)
        if step in self._unplaceable_steps:
            return []
        idle = _measure_idle_seconds(task.job, self._now) > self._idle_timeout
        if queue.service in self._reserved_services and not idle:
            return []
        members = gangs.list_members(task, self._now)
        min_speed = 0.0 if idle else placement.MIN_SPEED
        if suspects.needs_isolation(task, self._now):
            return self._place_isolated(task, queue)
        if suspects.is_isolation_due(task):
            return self._place_in_batch(task, queue, step, min_speed)
        if self._placer_step != step:
            usable = self._find_usable(queue.service)
            self._placer = self._make_placer(task, queue, usable)
            self._placer_step = step
        claims = self._placer.place(members, min_speed)
        if not claims:
            self._unplaceable_steps.add(step)
            self._handle_unplaced(members, task, queue)
        self._commit_all(claims)
        return claims

    def discard_placer(self) -> None:
        """Rate the instances again for the next task.

        Their runs may have changed unnoticed.
        """
        self._placer_step = None

    def _commit_all(self, claims: t.Iterable[placer_module.Claim]) -> None:
        for claim in claims:
            row = self._snapshot.find_row(claim.instance)
            claim.task.isolation_wait_since = 0.0
            claim.task.trial_obstacle = ''
            if claim.run.trial_seconds and self._trials is not None:
                self._trials[row] += 1
            _commit(self._board, claim, self._snapshot.unused[row])

    def _place_isolated(
        self, task: job_module.Task, queue: queues.Queue
    ) -> list[placer_module.Claim]:
        """Place a suspect so that its next crash can be attributed to it."""
        fleet = self._snapshot.fleet
        cleared = placement.find_cleared(fleet, task.name, self._now)
        usable = self._find_usable(queue.service)
        allowed = usable
        if cleared is not None:
            allowed = placement.make_mask([one is cleared for one in fleet])
        elif not self._may_reserve(usable, queue.service):
            return self._defer_trial(task, suspects.Obstacle.NO_TURN)
        placer = self._make_placer(task, queue, allowed)
        instance = placer.choose_isolated(task)
        if instance is None:
            self._handle_unplaced([task], task, queue)
            return self._defer_trial(task, suspects.Obstacle.NO_INSTANCE)
        if not placement.has_witness(fleet, instance):
            return self._defer_trial(task, suspects.Obstacle.NO_WITNESS)
        # Later placements of this round go elsewhere.
        usable[self._snapshot.find_row(instance)] = False
        self._placer_step = None
        if not suspects.has_no_recent_start(instance, self._now):
            if cleared is None:
                suspects.reserve_instance(task, instance, self._now)
            return []
        claim = placer.place_isolated(task, instance)
        self._commit_all([claim])
        return [claim]

    def _place_in_batch(
        self,
        task: job_module.Task,
        queue: queues.Queue,
        step: _StepId,
        min_speed: float,
    ) -> list[placer_module.Claim]:
        """Place a suspect that has waited long enough beside few others."""
        if step in self._steps_without_batch:
            return []
        has_room = self._count_trials() < suspects.MAX_BATCH
        allowed = self._find_usable(queue.service) & has_room
        placer = self._make_placer(task, queue, allowed)
        claims = placer.place([task], min_speed)
        self._placer_step = None
        if not claims:
            self._steps_without_batch.add(step)
            suspects.note_obstacle(task, suspects.Obstacle.NO_BATCH)
            self._handle_unplaced([task], task, queue)
        self._commit_all(claims)
        return claims

    def _defer_trial(
        self, task: job_module.Task, obstacle: suspects.Obstacle
    ) -> list[placer_module.Claim]:
        """Leave a suspect waiting for its trial.

        The wait of one that is probably the cause starts again. That of
        others is bounded, whatever other suspects do.
        """
        suspects.note_obstacle(task, obstacle)
        if suspects.is_likely_cause(task):
            task.isolation_wait_since = 0.0
        return []

    def _count_trials(self) -> numpy.ndarray:
        """Return how many suspects are tried on each instance."""
        if self._trials is None:
            self._trials = numpy.array(
                [one.count_trials(self._now) for one in self._snapshot.fleet],
                dtype=int,
            )
        return self._trials

    def _may_reserve(self, usable: numpy.ndarray, service: str) -> bool:
        reserved = sum(
            one.service == service and one.is_reserved(self._now)
            for one in self._snapshot.fleet
        )
        return suspects.may_reserve(int(usable.sum()), reserved)

    def _make_placer(
        self,
        task: job_module.Task,
        queue: queues.Queue,
        usable: numpy.ndarray,
    ) -> placer_module.Placer:
        objective_ms = order.find_objective_ms(task.job, queue)
        remaining_ms = objective_ms - (self._wall_ms - task.objective_start_ms)
        permits = None
        if queue.advised:
            permits = self._approvals.find_permits(task.step_name, self._now)
        candidates = placement.Candidates(
            self._snapshot,
            task.step,
            task.step_name,
            usable,
            permits,
        )
        deadline = self._now + remaining_ms / _MILLISECONDS
        return placer_module.Placer(
            candidates, self._model, self._now, deadline, permits or {}
        )

    def _find_usable(self, service: str) -> numpy.ndarray:
        if service not in self._usable:
            self._usable[service] = placement.find_usable(
                self._snapshot.fleet, service, self._now
            )
        return self._usable[service]

    def _handle_unplaced(
        self,
        members: t.Sequence[job_module.Task],
        task: job_module.Task,
        queue: queues.Queue,
    ) -> None:
        service = queue.service
        fleet = self._snapshot.fleet
        if queue.advised:
            self._approvals.request(task, fleet, service, self._now)
        if gangs.needs_reservation(members, fleet, service, self._now):
            self._reserved_services.add(service)


def _commit(
    board: board_module.Board,
    claim: placer_module.Claim,
    unused_millicores: float,
) -> None:
    run = claim.run
    instance = claim.instance
    board.place(
        claim.task,
        instance.address,
        instance.boot,
        run.number,
        isolated=run.isolation_seconds > 0,
    )
    logs.write_event(
        'placed',
        task=run.task,
        run=run.number,
        instance=instance.address,
        free_millicores=instance.free.millicores,
        free_mib=instance.free.memory_mib,
        unused_millicores=round(unused_millicores),
        serving=len(instance.serving),
        percent=run.speed_limit,
        resumes=bool(claim.task.state.checkpoint),
        gang=claim.task.step.gang,
        advised=bool(claim.permit),
        crashes=claim.task.state.crashes.count,
        apart=run.isolation_seconds > 0,
    )
