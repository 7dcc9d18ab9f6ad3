"""How fast best-effort tasks may work beside tasks that serve.

Load pattern: the load of a serving task swings within seconds, and with
it what the best-effort tasks beside it may do. The learnt pressure of
each pair of images gives the pace at which the target is just met; what
presses on nothing is never slowed. Where the target is missed all the
same, the pace is halved, and after some time the tasks stop working.
"""

import typing as t

from persimmonsail.jobs import instances
from persimmonsail.jobs import interference

# A serving task is kept this far below the point where it misses its
# target, since its load rises by 0.1 within a second.
_MARGIN = 0.06
# A gauge covers half a second, so a pace is changed no faster.
_PERIOD_SECONDS = 0.6
# Over the target for so long, the tasks beside it stop working: the next
# look and the worker's own delay stay below the 4 s that are promised.
_STOP_AFTER_SECONDS = 1.2
# And so much later everything else beside it, whatever was learnt; but
# if the target is missed with all of it stopped, it was not the cause.
_STOP_ALL_SECONDS = 1.8
_NOT_THE_CAUSE_SECONDS = 5.0
# Smaller changes are not worth an order.
_LEAST_CHANGE = 0.2
_LEAST_PERCENT = 4
# A pace rises by no more than this factor, or from nothing to this.
_FASTEST_RISE = 3.0
_FIRST_PERCENT = 15


class Change(t.NamedTuple):
    """A run's new pace, in percent."""

    run: instances.Run
    percent: int


def decide(
    instance: instances.Instance, model: interference.Model, now: float
) -> list[Change]:
    """Return the runs of an instance whose pace has to change.

    Parameters
    ----------
    instance : persimmonsail.jobs.instances.Instance
        With gauges from its latest report.
    model : persimmonsail.jobs.interference.Model
        What is known of the images.
    now : float
        Seconds of the leader's clock.
    """
    fillers = [
        run
        for run in instance.fillers
        if run.phase is instances.RunPhase.RUNNING
    ]
    if not fillers:
        return []
    paces = _share(fillers, instance, model, now)
    changes = []
    for run, allowed in zip(fillers, paces, strict=True):
        if now - run.paced_at < _PERIOD_SECONDS:
            continue
        percent = _limit_rise(run.pace, allowed)
        if _is_worth_an_order(run.pace, percent):
            changes.append(Change(run, percent))
    return changes


def choose_first_percent(
    run: instances.Run,
    instance: instances.Instance,
    model: interference.Model,
    now: float,
) -> int:
    """Return the pace at which a run begins on an instance."""
    fillers = [*instance.fillers, run]
    return round(_share(fillers, instance, model, now)[-1])


def _share(
    fillers: t.Sequence[instances.Run],
    instance: instances.Instance,
    model: interference.Model,
    now: float,
) -> list[float]:
    """Return the pace of each run at which every target is met.

    What a serving task bears goes to the runs whose jobs are due first:
    shared alike, all of them would be late.
    """
    paces = dict.fromkeys(range(len(fillers)), 100.0)
    ranked = sorted(paces, key=lambda i: _rank(fillers[i], now))
    for serving in instance.serving:
        if serving.phase is not instances.RunPhase.RUNNING:
            continue
        room = _measure_room(serving, instance.address, model, now)
        blamed = _blame(fillers, serving, model, now)
        for i in ranked:
            if i not in blamed:
                continue
            need = blamed[i] / max(instance.capacity.millicores, 1)
            part = min(room / need, 1.0) if need else 1.0
            paces[i] = min(
                paces[i], 100 * part, _slow(fillers[i], serving, now)
            )
            room -= part * need
    return [paces[i] for i in range(len(fillers))]


def _rank(run: instances.Run, now: float) -> tuple[bool, float]:
    return (run.due < now, run.due)


def _measure_room(
    serving: instances.Run,
    address: str,
    model: interference.Model,
    now: float,
) -> float:
    load = model.estimate_load(serving, address, now)
    return max(model.estimate_limit(serving) - _MARGIN - load, 0.0)


def _blame(
    fillers: t.Sequence[instances.Run],
    serving: instances.Run,
    model: interference.Model,
    now: float,
) -> dict[int, float]:
    """Return which runs press on a serving one, and with how much.

    Where nothing known presses and the target is missed all the same,
    everything beside is held responsible.
    """
    image = serving.step.image
    pressing = {}
    for i, run in enumerate(fillers):
        coefficient = model.get_coefficient(image, run.step.image)
        if coefficient >= interference.PRESSES:
            pressing[i] = coefficient * run.step.size.millicores
    over = now - serving.over_since if serving.over_since else 0.0
    if _STOP_ALL_SECONDS <= over < _NOT_THE_CAUSE_SECONDS:
        return {i: pressing.get(i, 0.0) for i in range(len(fillers))}
    if not pressing and over:
        return dict.fromkeys(range(len(fillers)), 0.0)
    return pressing


def _slow(run: instances.Run, serving: instances.Run, now: float) -> float:
    """Return the pace that a missed target leaves, whatever was learnt."""
    if not serving.over_since:
        return 100.0
    if now - serving.over_since >= _STOP_AFTER_SECONDS:
        return 0.0
    return run.pace / 2


def _limit_rise(before: int, allowed: float) -> int:
    highest = max(before * _FASTEST_RISE, _FIRST_PERCENT)
    percent = round(min(allowed, highest))
    return percent if percent >= _LEAST_PERCENT else 0


def _is_worth_an_order(before: int, after: int) -> bool:
    if after == before:
        return False
    if after in (0, 100) or before == 0:
        return True
    return abs(after - before) > _LEAST_CHANGE * before
