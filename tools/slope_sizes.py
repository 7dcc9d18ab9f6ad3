"""The design size, and the predicted costs of each role at it.

A cost is the sum of one series' intercept and, for each driver of the
role, the driver's slope times its value at the design size.
"""

import dataclasses
import typing as t

from tools import slope_fit

CPU_BUDGET = 0.019
MEMORY_BUDGET_MB = 64.0
BYTES_BUDGET = 4096.0
STORE_WRITES_BUDGET = 300.0
STORE_READS_BUDGET = 2000.0


@dataclasses.dataclass(frozen=True)
class DesignSize:
    """The design size, to which the fitted lines are extrapolated.

    ``linked_sidecars`` is the number of sidecars linked to one entry;
    ``spread`` the number of instances with tasks of one holder.
    """

    workers: int = 840
    zones: int = 7
    entries: int = 14
    partitions: int = 32
    tasks: int = 17300
    starts: float = 210.0
    workloads: int = 2450
    linked_sidecars: int = 840
    linked_entries: int = 14

    @property
    def tasks_held(self) -> float:
        """Mean number of tasks of one holder."""
        return self.tasks / self.entries

    @property
    def spread(self) -> float:
        """Expected instances with one holder's tasks at uniform placement."""
        unused_share = (1 - 1 / self.workers) ** self.tasks_held
        return self.workers * (1 - unused_share)

    @property
    def tasks_running(self) -> float:
        """Mean number of tasks on one instance."""
        return self.tasks / self.workers


Fits = dict[tuple[str, str], dict[str, slope_fit.Fit]]


@dataclasses.dataclass(frozen=True)
class Term:
    """One driver's contribution to a role's cost."""

    role: str
    driver: str
    value: t.Callable[[DesignSize], float]
    with_intercept: bool = False


ROLES: dict[str, tuple[Term, ...]] = {
    'entry, links and catalogue': (
        Term('entry', 'partitions held', lambda f: 0.0, True),
        Term('entry', 'sidecars announced', lambda f: f.linked_sidecars),
        Term('entry', 'entries', lambda f: f.entries - 1),
        Term('entry', 'catalogue entries', lambda f: f.workloads),
    ),
    'holder, on top of its entry': (
        Term('entry', 'partitions held', lambda f: f.partitions / f.entries),
        Term('holder', 'tasks held', lambda f: f.tasks_held),
        Term('holder', 'instances with its tasks', lambda f: f.spread),
    ),
    'holder at the peak, on top': (
        Term('holder', 'starts a second', lambda f: f.starts / f.entries),
    ),
    'entry at the peak, forwarding': (
        Term(
            'entry',
            'tasks forwarded a second',
            lambda f: f.starts / f.entries,
        ),
    ),
    'sidecar': (
        Term('sidecar', 'entries linked', lambda f: f.linked_entries, True),
        Term('sidecar', 'tasks on its instance', lambda f: f.tasks_running),
    ),
}


def predict_role(
    terms: t.Iterable[Term], fits: Fits, fleet: DesignSize, cost: str
):
    """Return a role's cost at a size, or None if a driver lacks a fit."""
    total = 0.0
    for term in terms:
        fit = fits.get((term.role, term.driver), {}).get(cost)
        if fit is None:
            return None
        total += fit.slope * term.value(fleet)
        total += fit.intercept if term.with_intercept else 0.0
    return total


BUDGETS = {
    'cpu': CPU_BUDGET,
    'rss_mb': MEMORY_BUDGET_MB,
    'link_bytes': BYTES_BUDGET,
    'store_bytes': BYTES_BUDGET,
}


def format_sizes(fits: Fits, fleet: DesignSize) -> t.Iterator[str]:
    """Yield a line for each role and cost, with its budget and verdict."""
    for role, terms in ROLES.items():
        for cost, budget in BUDGETS.items():
            value = predict_role(terms, fits, fleet, cost)
            if value is None:
                continue
            factor = slope_fit.find_overrun(value, budget)
            verdict = f'missed {factor:.1f}x' if factor else 'kept'
            yield f'{role} | {cost} | {value:.4g} | {budget:g} | {verdict}'
