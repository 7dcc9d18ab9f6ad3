"""A small linear regression that forgets, for coefficients of pairs."""

import typing as t

# Each observation weighs this much less than the one after it; some
# hundred count, which is about ten seconds of a fleet of eleven.
_KEPT = 0.995
# How much the prior weighs against observations: as much as one of a
# part of 0.3.
_PRIOR_WEIGHT = 0.1
_HIGHEST = 6.0
# Coefficients are solved for again after so many observations.
_SOLVE_EVERY = 8
_SWEEPS = 4


class Regression:
    """Finds ``y = sum(coefficient * x)`` with no coefficient below 0.

    Parameters
    ----------
    prior : float
        What each coefficient is before anything was observed.
    """

    def __init__(self, prior: float) -> None:
        self._prior = prior
        self._products: dict[str, dict[str, float]] = {}
        self._targets: dict[str, float] = {}
        self._values: dict[str, float] = {}
        self._pending = 0

    def get(self, name: str) -> float:
        """Return a coefficient."""
        return self._values.get(name, self._prior)

    def add(self, xs: t.Mapping[str, float], y: float) -> None:
        """Take one observation in."""
        for name, row in self._products.items():
            for other in row:
                row[other] *= _KEPT
            self._targets[name] *= _KEPT
        for name, x in xs.items():
            row = self._products.setdefault(name, {})
            for other, z in xs.items():
                row[other] = row.get(other, 0.0) + x * z
            self._targets[name] = self._targets.get(name, 0.0) + x * y
        self._pending += 1
        if self._pending >= _SOLVE_EVERY:
            self._solve()

    def _solve(self) -> None:
        """Improve each coefficient in turn, the others as they are."""
        self._pending = 0
        for _ in range(_SWEEPS):
            for name, row in self._products.items():
                rest = sum(
                    product * self.get(other)
                    for other, product in row.items()
                    if other != name
                )
                wanted = self._targets[name] - rest
                wanted += _PRIOR_WEIGHT * self._prior
                value = wanted / (row[name] + _PRIOR_WEIGHT)
                self._values[name] = min(max(value, 0.0), _HIGHEST)
