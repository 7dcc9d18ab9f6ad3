"""Registries of the bench's scenarios and goals, with decorators."""

import dataclasses
import typing as t

from tools.bench import results

Runner = t.Callable[[str, int], results.Run]
Outcomes = dict[str, list[results.Summary]]


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One experiment: ``run(policy, seed)`` for each policy and seed.

    ``subject`` is the policy under test, ``baselines`` the policies that
    it is compared with in the same run of the bench.
    """

    name: str
    description: str
    subject: str
    baselines: tuple[str, ...]
    run: Runner

    @property
    def policies(self) -> tuple[str, ...]:
        """The subject, followed by its baselines."""
        return (self.subject, *self.baselines)


@dataclasses.dataclass(frozen=True)
class Goal:
    """A target for one scenario; ``measure`` returns a figure per seed.

    The goal is met if the figure of every seed is at most ``limit`` (at
    least, with ``at_least``); the table also shows the median.
    """

    scenario: str
    text: str
    limit: float
    at_least: bool
    measure: t.Callable[[Outcomes], list[float]]

    def is_met(self, figure: float) -> bool:
        """Return whether a figure meets the goal."""
        if self.at_least:
            return figure >= self.limit
        return figure <= self.limit


SCENARIOS: dict[str, Scenario] = {}
GOALS: list[Goal] = []


def scenario(
    name: str, subject: str, baselines: t.Sequence[str] = ()
) -> t.Callable[[Runner], Runner]:
    """Register a scenario; the docstring becomes its description."""

    def add(run: Runner) -> Runner:
        description = ' '.join((run.__doc__ or '').split())
        SCENARIOS[name] = Scenario(
            name, description, subject, tuple(baselines), run
        )
        return run

    return add


def goal(
    scenario: str, text: str, limit: float, at_least: bool = False
) -> t.Callable[[t.Callable], t.Callable]:
    """Register a goal; the function returns one figure per seed."""

    def add(measure: t.Callable) -> t.Callable:
        GOALS.append(Goal(scenario, text, limit, at_least, measure))
        return measure

    return add


def divide(
    outcomes: Outcomes, field: str, policy: str, baseline: str
) -> list[float]:
    """Return the ratio of a field between two policies, per seed."""
    ratios = []
    for own, other in zip(outcomes[policy], outcomes[baseline], strict=True):
        denominator = getattr(other, field)
        numerator = getattr(own, field)
        if denominator:
            ratios.append(numerator / denominator)
        else:
            ratios.append(1.0 if not numerator else float('inf'))
    return ratios
