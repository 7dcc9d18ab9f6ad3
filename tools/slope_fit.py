"""Straight lines through measured points, and what they foretell."""

import dataclasses
import statistics
import typing as t

MIN_POINTS = 4


class TooFewPoints(ValueError):
    """A line was asked for through too few different points."""


@dataclasses.dataclass(frozen=True)
class Fit:
    """A least-squares line.

    Attributes
    ----------
    slope : float
        Cost for each unit of the driver.
    intercept : float
        Cost at a driver of nought.
    residual : float
        Root of the mean squared distance from the points, in the
        cost's unit.
    reach : float
        The largest driver that was measured.
    """

    slope: float
    intercept: float
    residual: float
    reach: float

    def predict(self, driver: float) -> float:
        """Return the cost at a driver, also beyond those measured."""
        return self.intercept + self.slope * driver

    def stretch(self, driver: float) -> float:
        """Return how many times beyond the reach a driver lies."""
        return driver / self.reach


def fit_line(points: t.Iterable[tuple[float, float]]) -> Fit:
    """Fit a line through points of driver and cost.

    Raises
    ------
    TooFewPoints
        If fewer than ``MIN_POINTS`` different drivers were measured.
    """
    pairs = list(points)
    drivers = [driver for driver, _ in pairs]
    costs = [cost for _, cost in pairs]
    if len(set(drivers)) < MIN_POINTS:
        raise TooFewPoints(f'{len(set(drivers))} drivers of {MIN_POINTS}')
    slope, intercept = statistics.linear_regression(drivers, costs)
    squares = [
        (cost - intercept - slope * driver) ** 2 for driver, cost in pairs
    ]
    return Fit(
        slope, intercept, statistics.fmean(squares) ** 0.5, max(drivers)
    )


def find_miss(predicted: float, budget: float) -> float:
    """Return the factor by which a budget is missed; 0 if it is kept."""
    return predicted / budget if predicted > budget else 0.0
