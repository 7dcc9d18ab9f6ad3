"""The scenarios and goals that the bench knows; decorators fill both."""

import dataclasses
import typing as t

from tools.bench import results

Runner = t.Callable[[str, int], results.Run]
Outcomes = dict[str, list[results.Summary]]


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One experiment: ``run(policy, seed)`` for each policy and seed.

    ``subject`` is the policy under test; ``baselines`` are policies that
    its ratios are taken to, in the same run of the bench.
    """

    name: str
    story: str
    subject: str
    baselines: tuple[str, ...]
    run: Runner

    @property
    def policies(self) -> tuple[str, ...]:
        """The subject, then its baselines."""
        return (self.subject, *self.baselines)


@dataclasses.dataclass(frozen=True)
class Goal:
    """A promise about one scenario; ``measure`` returns a figure.

    The goal is met when the figure of every seed is at most ``limit``
    (or at least, with ``at_least``); the table shows the median too.
    """

    scenario: str
    text: str
    limit: float
    at_least: bool
    measure: t.Callable[[Outcomes], list[float]]

    def is_met(self, figure: float) -> bool:
        """Whether a figure keeps the goal."""
        if self.at_least:
            return figure >= self.limit
        return figure <= self.limit


SCENARIOS: dict[str, Scenario] = {}
GOALS: list[Goal] = []


def scenario(
    name: str, subject: str, baselines: t.Sequence[str] = ()
) -> t.Callable[[Runner], Runner]:
    """Register a scenario; its docstring becomes its story."""

    def add(run: Runner) -> Runner:
        story = ' '.join((run.__doc__ or '').split())
        SCENARIOS[name] = Scenario(name, story, subject, tuple(baselines), run)
        return run

    return add


def goal(
    scenario: str, text: str, limit: float, at_least: bool = False
) -> t.Callable[[t.Callable], t.Callable]:
    """Register a goal; the function returns one figure for each seed."""

    def add(measure: t.Callable) -> t.Callable:
        GOALS.append(Goal(scenario, text, limit, at_least, measure))
        return measure

    return add


def divide(
    outcomes: Outcomes, field: str, policy: str, baseline: str
) -> list[float]:
    """Return a field's ratio of two policies, seed by seed."""
    ratios = []
    for own, other in zip(outcomes[policy], outcomes[baseline], strict=True):
        below = getattr(other, field)
        above = getattr(own, field)
        if below:
            ratios.append(above / below)
        else:
            ratios.append(1.0 if not above else float('inf'))
    return ratios
