"""How fast best-effort tasks may work beside tasks that serve.

Load pattern: the load of a serving task swings within seconds, and with
it what the best-effort tasks beside it may do. The learnt pressure of
each pair of images gives the pace at which the target is just met; what
hardly presses is slowed at the peak of a load only, and never by much.
Where the target is missed all the same, what presses or may press stops
working, and after some time everything beside.
"""

import typing as t

from persimmonsail.jobs import instances
from persimmonsail.jobs import interference

# Each look at an instance may change a pace; there are two a second, and
# more when runs end (emulator, 16 days: 0.83 of the heavy jobs on time
# with 0.6, 0.85 with this, and an eighth less time over the targets).
_PERIOD_SECONDS = 0.4
# Over the target for so long, everything beside it stops working, whatever
# was learnt: the next look and the worker's own delay stay below the 4 s
# that are promised. If the target is missed with all of it stopped, it was
# not the cause.
_STOP_ALL_SECONDS = 1.8
_NOT_THE_CAUSE_SECONDS = 5.0
# Smaller changes are not worth an order.
_LEAST_CHANGE = 0.2
_LEAST_PERCENT = 4
# What hardly presses is slowed no further: it does most of the work (with
# 10, 0.34 of the heavy jobs were on time instead of 0.83).
_LIGHT_PERCENT = 40
# A pace rises by no more than this factor, or from nothing to this.
_FASTEST_RISE = 3.0
_FIRST_PERCENT = 15


_Press = t.Callable[[str, str], float]


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
    paces = _share(fillers, instance, model, now, model.get_least)
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
    cautious = _share(fillers, instance, model, now, model.get_bound)
    return round(cautious[-1])


def _share(
    fillers: t.Sequence[instances.Run],
    instance: instances.Instance,
    model: interference.Model,
    now: float,
    press: _Press,
) -> list[float]:
    """Return the pace of each run at which every target is met.

    What a serving task bears goes to the runs whose jobs are due first:
    shared alike, all of them would be late.
    """
    paces = [100.0] * len(fillers)
    ranked = sorted(range(len(fillers)), key=lambda i: _rank(fillers[i], now))
    for serving in instance.serving:
        if serving.phase is not instances.RunPhase.RUNNING:
            continue
        room = _measure_room(serving, instance.address, model, now)
        needs = _measure_needs(fillers, serving, instance, press)
        blamed = _blame(fillers, serving, model, now, press)
        light = [i for i in ranked if i not in blamed]
        left = _slow_light(paces, light, needs, room, model)
        for i in ranked:
            if i not in blamed:
                continue
            part = min(left / needs[i], 1.0) if needs[i] else 1.0
            # A missed target leaves nothing, whatever was learnt.
            bound = 0.0 if serving.over_since else 100.0
            paces[i] = min(paces[i], 100 * part, bound)
            left -= part * needs[i]
    return paces


def _slow_light(
    paces: list[float],
    light: t.Sequence[int],
    needs: t.Sequence[float],
    room: float,
    model: interference.Model,
) -> float:
    """Slow what hardly presses, if all of it is too much together.

    Parameters
    ----------
    paces : list of float
        Changed in place.
    light : sequence of int
        Which runs.
    needs : sequence of float
        With how much each run presses at full speed.
    room : float
        What the serving task bears.
    model : persimmonsail.jobs.interference.Model
        What is known of the images.

    Returns
    -------
    float
        What is left for the other runs; never below 0.
    """
    need = sum(needs[i] for i in light)
    bearable = room + model.estimate_doubt()
    if need > bearable:
        percent = max(100 * bearable / need, _LIGHT_PERCENT)
        for i in light:
            paces[i] = min(paces[i], percent)
    return max(room - need, 0.0)


def _rank(run: instances.Run, now: float) -> tuple[bool, float]:
    return (run.due < now, run.due)


def _measure_room(
    serving: instances.Run,
    address: str,
    model: interference.Model,
    now: float,
) -> float:
    load = model.estimate_load(serving, address, now)
    limit = model.estimate_limit() - model.estimate_doubt()
    return max(limit - load, 0.0)


def _measure_needs(
    fillers: t.Sequence[instances.Run],
    serving: instances.Run,
    instance: instances.Instance,
    press: _Press,
) -> list[float]:
    """Return with how much each run presses at full speed."""
    capacity = max(instance.capacity.millicores, 1)
    return [
        press(serving.step.image, run.step.image)
        * run.step.size.millicores
        / capacity
        for run in fillers
    ]


def _blame(
    fillers: t.Sequence[instances.Run],
    serving: instances.Run,
    model: interference.Model,
    now: float,
    press: _Press,
) -> set[int]:
    """Return which runs have to give way to a serving one.

    Where nothing known presses and the target is missed all the same,
    everything beside is held responsible.
    """
    image = serving.step.image
    over = now - serving.over_since if serving.over_since else 0.0
    # While all is well, a doubt slows nobody down.
    missed = bool(serving.over_since)
    measure = model.get_bound if missed else press
    pressing = {
        i
        for i, run in enumerate(fillers)
        if measure(image, run.step.image) >= model.get_threshold()
    }
    stop_all = _STOP_ALL_SECONDS <= over < _NOT_THE_CAUSE_SECONDS
    if stop_all or (over and not pressing):
        return set(range(len(fillers)))
    return pressing


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
