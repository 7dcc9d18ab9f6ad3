"""Weights of owners' objectives in placement and in the ladder."""

import dataclasses
import typing as t

from persimmonsail.catalogues import catalogue
from persimmonsail import control_pb2


@dataclasses.dataclass(frozen=True)
class Weights:
    """How an owner weighs tail latency against batch throughput.

    ``tail`` scales the cost of slowing latency-critical work. Tasks are
    throttled or evicted when the predicted slowdown of a class is above
    ``throttle_above`` or ``evict_above``, and released below
    ``release_below``; the gap between them is the hysteresis.
    ``min_speed`` is the lowest speed of a throttled task. Batch work
    is held for at most ``hold_seconds`` rather than placed at a cost
    above ``hold_above``.
    """

    tail: float
    throttle_above: float
    release_below: float
    evict_above: float
    min_speed: float
    hold_above: float
    hold_seconds: float


WEIGHTS: dict[catalogue.Objective, Weights] = {
    catalogue.Objective.TAIL_LATENCY: Weights(
        tail=1.0,
        throttle_above=1.7,
        release_below=1.4,
        evict_above=2.2,
        min_speed=0.5,
        hold_above=0.25,
        hold_seconds=20.0,
    ),
    catalogue.Objective.THROUGHPUT: Weights(
        tail=0.5,
        throttle_above=4.0,
        release_below=3.0,
        evict_above=6.0,
        min_speed=0.8,
        hold_above=2.0,
        hold_seconds=5.0,
    ),
}


class Objectives:
    """Finds the weights of a workload's owner.

    Parameters
    ----------
    find_objective : callable
        Returns a workload's objective, or none for an unknown workload,
        which then gets the weights for tail latency.
    """

    def __init__(
        self, find_objective: t.Callable[[str], catalogue.Objective | None]
    ) -> None:
        self._find_objective = find_objective

    def find_weights(self, workload: str) -> Weights:
        """Return the weights of a workload's owner."""
        objective = self._find_objective(workload)
        return WEIGHTS[objective or catalogue.Objective.TAIL_LATENCY]


def find_objective(
    definitions: catalogue.Catalogue, workload: str
) -> catalogue.Objective | None:
    """Return the objective that the catalogue gives a workload's owner."""
    limits = definitions.workloads.get(workload)
    team = definitions.teams.get(limits.owner) if limits else None
    return team.objective if team else None


def fill_notice(
    notice: control_pb2.EntryNotice,
    definitions: catalogue.Catalogue,
    service: str,
) -> None:
    """Add the objectives of a service's workloads to a notice."""
    for name, limits in definitions.workloads.items():
        objective = find_objective(definitions, name)
        if limits.service == service and objective:
            notice.objectives.add(workload=name, objective=objective)
