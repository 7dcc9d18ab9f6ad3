"""The score of an emulated day."""

import collections
import dataclasses
import math
import typing as t

from tools.emulator import load
from tools.emulator import worker

# The share of its value that a late job earns, and the multiple of its
# objective up to which it does.
_LATE_SHARE = 0.15
_MAX_LATE_FACTOR = 3.0
# A second over the target through interference costs as much as this many
# seconds of downtime.
_INTERFERENCE_COST_FACTOR = 4.0
# The value of a mean job, and of one window of a serving one.
_VALUES = {load.QUICK: 0.335, load.HEAVY: 6.22, load.SERVING: 1.33}
_WINDOW_SECONDS = 2.0
# The size-independent part of a job's value; the rest is proportional to its
# work.
_FIXED_VALUE_SHARE = 0.3
_MAX_VALUE = 4.0
_LARGEST_SHARE = 0.2


@dataclasses.dataclass(frozen=True)
class Result:
    """The score of a day.

    Attributes
    ----------
    heavy, quick, serving : float
        The share of its value that each kind of job earned.
    worth : float
        The same over all jobs.
    on_time : float
        The share of the heavy jobs that met their objective.
    done, largest : float
        The share of the heavy jobs that earned anything, and the same of
        the largest fifth of them.
    over : float
        The share of their time that serving tasks were over their target.
    stalled : float
        Seconds that heavy tasks had a speed limit of 0.
    waiting, paced, short, worked : float
        How heavy tasks spent their seconds: waiting for a placement, lost
        to throttling, lost to a lack of processors, and working.
    crash_starts : float
        The maximum number of starts of one crashing task.
    wronged : float
        Failed jobs without a crashing task.
    """

    heavy: float
    quick: float
    serving: float
    worth: float
    on_time: float
    done: float
    largest: float
    over: float
    stalled: float
    waiting: float
    paced: float
    short: float
    worked: float
    crash_starts: float
    wronged: float


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What happened on a day.

    Attributes
    ----------
    arrivals : sequence of tools.emulator.load.Arrival
        All jobs.
    ended_at : mapping of str to float
        When each completed job ended.
    workers : sequence of tools.emulator.worker.Worker
        The instances.
    end : float
        When the day ended.
    waiting_seconds : float
        Seconds that heavy tasks waited for a placement.
    crashing_starts : mapping of str to int
        The number of starts of each crashing task, by its job.
    failed_jobs : collection of str
        Jobs that failed.
    """

    arrivals: t.Sequence[load.Arrival]
    ended_at: t.Mapping[str, float]
    workers: t.Sequence[worker.Worker]
    end: float
    waiting_seconds: float
    crashing_starts: t.Mapping[str, int]
    failed_jobs: t.Collection[str]


@dataclasses.dataclass(frozen=True)
class _JobScore:
    """One job: its value, and the share of it that it earned."""

    work: float
    value: float
    share: float


def compute(outcome: Outcome) -> Result:
    """Return the score of a day."""
    heavy = _score_jobs(outcome, load.HEAVY)
    quick = _score_jobs(outcome, load.QUICK)
    served, over = _score_serving(outcome)
    available = {
        load.HEAVY: sum(job.value for job in heavy),
        load.QUICK: sum(job.value for job in quick),
        load.SERVING: _count_windows(outcome),
    }
    shares = {
        load.HEAVY: _find_earned_share(heavy),
        load.QUICK: _find_earned_share(quick),
        load.SERVING: served,
    }
    weights = {name: _VALUES[name] * available[name] for name in available}
    earned = sum(shares[name] * weights[name] for name in shares)
    by_size = sorted(heavy, key=lambda job: job.work)
    largest = by_size[-math.ceil(len(by_size) * _LARGEST_SHARE) :]
    return Result(
        heavy=shares[load.HEAVY],
        quick=shares[load.QUICK],
        serving=served,
        worth=earned / sum(weights.values()),
        on_time=_mean([job.share == 1.0 for job in heavy]),
        done=_mean([job.share > 0 for job in heavy]),
        largest=_mean([job.share > 0 for job in largest]),
        over=over,
        stalled=sum(each.stalled_seconds for each in outcome.workers),
        waiting=outcome.waiting_seconds,
        paced=sum(each.throttled_seconds for each in outcome.workers),
        short=sum(each.short_seconds for each in outcome.workers),
        worked=sum(each.worked_seconds for each in outcome.workers),
        crash_starts=max(outcome.crashing_starts.values(), default=0),
        wronged=len(set(outcome.failed_jobs) - outcome.crashing_starts.keys()),
    )


def _score_jobs(outcome: Outcome, queue: str) -> list[_JobScore]:
    """Score a queue's jobs whose objective lies within the day."""
    arrivals = [
        arrival
        for arrival in outcome.arrivals
        if arrival.queue == queue and not arrival.crashes
    ]
    mean_work = _mean([arrival.work for arrival in arrivals])
    scored = []
    for arrival in arrivals:
        objective_seconds = _find_objective(arrival)
        end = outcome.ended_at.get(arrival.id)
        if end is None and outcome.end - arrival.at < objective_seconds:
            continue
        value = (
            _FIXED_VALUE_SHARE
            + (1 - _FIXED_VALUE_SHARE) * arrival.work / mean_work
        )
        duration = math.inf if end is None else end - arrival.at
        scored.append(
            _JobScore(
                arrival.work,
                min(value, _MAX_VALUE),
                _find_value_share(duration, objective_seconds),
            )
        )
    return scored


def _find_objective(arrival: load.Arrival) -> float:
    queue = load.QUEUES[arrival.queue]
    return arrival.path_seconds * queue.slack_factor + queue.target_ms / 1000


def _find_value_share(seconds: float, objective_seconds: float) -> float:
    if seconds <= objective_seconds:
        return 1.0
    return (
        _LATE_SHARE if seconds <= _MAX_LATE_FACTOR * objective_seconds else 0.0
    )


def _find_earned_share(jobs: t.Sequence[_JobScore]) -> float:
    total = sum(job.value for job in jobs)
    return sum(j.value * j.share for j in jobs) / total if total else 1.0


def _count_windows(outcome: Outcome) -> float:
    """Return the number of windows of serving jobs."""
    windows = 0.0
    for arrival in outcome.arrivals:
        if arrival.queue == load.SERVING and not arrival.crashes:
            seconds = load.DAY_SECONDS - max(arrival.at, 0.0)
            windows += max(seconds, 0.0) / _WINDOW_SECONDS
    return windows


def _score_serving(outcome: Outcome) -> tuple[float, float]:
    """Return the shares that serving jobs earned and were over target."""
    served: dict[str, float] = collections.defaultdict(float)
    over: dict[str, float] = collections.defaultdict(float)
    for each in outcome.workers:
        for job, seconds in each.served_seconds.items():
            served[job] += seconds
        for job, seconds in each.over_seconds.items():
            over[job] += seconds
    earned = 0.0
    available = 0.0
    for arrival in outcome.arrivals:
        if arrival.queue != load.SERVING or arrival.crashes:
            continue
        count = arrival.specification.steps[0].count
        available += count * (outcome.end - arrival.at)
        penalty = _INTERFERENCE_COST_FACTOR * over[arrival.id]
        earned += max(served[arrival.id] - penalty, 0.0)
    if not available:
        return 1.0, 0.0
    return earned / available, sum(over.values()) / available


def _mean(values: t.Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0
