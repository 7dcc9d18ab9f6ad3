"""What an emulated day came to."""

import collections
import dataclasses
import math
import typing as t

from tools.emulator import load
from tools.emulator import worker

# What a job earns that ends after its objective, and how late it may be.
_LATE_PART = 0.15
_LATE_FACTOR = 3.0
# A second over the target through what runs beside it costs as much as
# so many seconds away.
_HARM_FACTOR = 4.0
# A mean job's worth, and that of two seconds of a serving one.
_WORTHS = {load.QUICK: 0.335, load.HEAVY: 6.22, load.SERVING: 1.33}
_WINDOW_SECONDS = 2.0
# A job's worth is so much, and the rest in proportion to its work.
_FIXED_WORTH = 0.3
_MOST_WORTH = 4.0
_LARGEST_PART = 0.2


@dataclasses.dataclass(frozen=True)
class Result:
    """What a day came to.

    Attributes
    ----------
    heavy, quick, serving : float
        The part of its worth that each kind of job earned.
    worth : float
        The same over all jobs.
    on_time : float
        The part of the heavy jobs that met their objective.
    done, largest : float
        The part of the heavy jobs that earned anything, and the same of
        the largest fifth of them.
    over : float
        The part of their time that serving tasks were over their target.
    stalled : float
        Seconds that heavy tasks stood at a pace of 0.
    waiting, paced, short, worked : float
        What heavy tasks spent their seconds on: waiting for a place, held
        back by a pace or by a lack of processors, and at work.
    crash_starts : float
        The most starts of one task that ends its agents.
    wronged : float
        Jobs that were given up, and end no agents.
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
    ended : dict of str to float
        When each job ended that did.
    workers : sequence of tools.emulator.worker.Worker
        The instances.
    end : float
        When the day ended.
    waiting : float
        Seconds that heavy tasks waited for a place.
    crashing : mapping of str to int
        The starts of the task that ends its agents, by its job.
    given_up : collection of str
        Jobs that failed.
    """

    arrivals: t.Sequence[load.Arrival]
    ended: t.Mapping[str, float]
    workers: t.Sequence[worker.Worker]
    end: float
    waiting: float
    crashing: t.Mapping[str, int]
    given_up: t.Collection[str]


@dataclasses.dataclass(frozen=True)
class _Earned:
    """One ended job: what it was worth, and which part of that it got."""

    work: float
    worth: float
    part: float


def judge(outcome: Outcome) -> Result:
    """Return what a day came to."""
    heavy = _judge_jobs(outcome, load.HEAVY)
    quick = _judge_jobs(outcome, load.QUICK)
    served, over = _judge_serving(outcome)
    owed = {
        load.HEAVY: sum(earned.worth for earned in heavy),
        load.QUICK: sum(earned.worth for earned in quick),
        load.SERVING: _count_windows(outcome),
    }
    parts = {
        load.HEAVY: _weigh(heavy),
        load.QUICK: _weigh(quick),
        load.SERVING: served,
    }
    weights = {name: _WORTHS[name] * owed[name] for name in owed}
    worth = sum(parts[name] * weights[name] for name in parts)
    by_size = sorted(heavy, key=lambda earned: earned.work)
    largest = by_size[-math.ceil(len(by_size) * _LARGEST_PART) :]
    return Result(
        heavy=parts[load.HEAVY],
        quick=parts[load.QUICK],
        serving=served,
        worth=worth / sum(weights.values()),
        on_time=_mean([earned.part == 1.0 for earned in heavy]),
        done=_mean([earned.part > 0 for earned in heavy]),
        largest=_mean([earned.part > 0 for earned in largest]),
        over=over,
        stalled=sum(each.stalled for each in outcome.workers),
        waiting=outcome.waiting,
        paced=sum(each.paced for each in outcome.workers),
        short=sum(each.short for each in outcome.workers),
        worked=sum(each.worked for each in outcome.workers),
        crash_starts=max(outcome.crashing.values(), default=0),
        wronged=len(set(outcome.given_up) - outcome.crashing.keys()),
    )


def _judge_jobs(outcome: Outcome, queue: str) -> list[_Earned]:
    """Judge a queue's jobs whose objective lies within the day."""
    arrivals = [
        arrival
        for arrival in outcome.arrivals
        if arrival.queue == queue and not arrival.crashes
    ]
    mean_work = _mean([arrival.work for arrival in arrivals])
    earned = []
    for arrival in arrivals:
        limit = _find_objective(arrival)
        end = outcome.ended.get(arrival.id)
        if end is None and outcome.end - arrival.at < limit:
            continue
        worth = _FIXED_WORTH + (1 - _FIXED_WORTH) * arrival.work / mean_work
        took = math.inf if end is None else end - arrival.at
        earned.append(
            _Earned(
                arrival.work,
                min(worth, _MOST_WORTH),
                _find_part(took, limit),
            )
        )
    return earned


def _find_objective(arrival: load.Arrival) -> float:
    queue = load.QUEUES[arrival.queue]
    return arrival.path_seconds * queue.slack_factor + queue.target_ms / 1000


def _find_part(took: float, limit: float) -> float:
    if took <= limit:
        return 1.0
    return _LATE_PART if took <= _LATE_FACTOR * limit else 0.0


def _weigh(earned: t.Sequence[_Earned]) -> float:
    owed = sum(each.worth for each in earned)
    return sum(e.worth * e.part for e in earned) / owed if owed else 1.0


def _count_windows(outcome: Outcome) -> float:
    """Return how many windows of serving jobs there were."""
    windows = 0.0
    for arrival in outcome.arrivals:
        if arrival.queue == load.SERVING and not arrival.crashes:
            seconds = load.DAY_SECONDS - max(arrival.at, 0.0)
            windows += max(seconds, 0.0) / _WINDOW_SECONDS
    return windows


def _judge_serving(outcome: Outcome) -> tuple[float, float]:
    """Return what serving jobs earned, and how long they were over."""
    served: dict[str, float] = collections.defaultdict(float)
    over: dict[str, float] = collections.defaultdict(float)
    for each in outcome.workers:
        for job, seconds in each.served_seconds.items():
            served[job] += seconds
        for job, seconds in each.over_seconds.items():
            over[job] += seconds
    earned = 0.0
    owed = 0.0
    for arrival in outcome.arrivals:
        if arrival.queue != load.SERVING or arrival.crashes:
            continue
        count = arrival.specification.steps[0].count
        owed += count * (outcome.end - arrival.at)
        lost = _HARM_FACTOR * over[arrival.id]
        earned += max(served[arrival.id] - lost, 0.0)
    if not owed:
        return 1.0, 0.0
    return earned / owed, sum(over.values()) / owed


def _mean(values: t.Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0
