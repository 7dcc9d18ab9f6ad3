"""Linear regression of measured costs, and predictions from it."""

import dataclasses
import statistics
import typing as t

MIN_POINTS = 4


class TooFewPoints(ValueError):
    """There are too few different points to fit a line."""


@dataclasses.dataclass(frozen=True)
class Fit:
    """A least-squares line.

    Attributes
    ----------
    slope : float
        Cost per unit of the driver.
    intercept : float
        Cost at a driver of zero.
    residual : float
        Root mean square error, in the cost's unit.
    max_driver : float
        The largest measured driver.
    """

    slope: float
    intercept: float
    residual: float
    max_driver: float

    def predict(self, driver: float) -> float:
        """Return the cost at a driver, extrapolated beyond ``max_driver``."""
        return self.intercept + self.slope * driver

    def extrapolation_factor(self, driver: float) -> float:
        """Return a driver as a multiple of the largest measured one."""
        return driver / self.max_driver


def fit_line(points: t.Iterable[tuple[float, float]]) -> Fit:
    """Fit a line to points of driver and cost.

    Raises
    ------
    TooFewPoints
        If fewer than ``MIN_POINTS`` different drivers were measured.
    """
    pairs = list(points)
    drivers = [driver for driver, _ in pairs]
    costs = [cost for _, cost in pairs]
    if len(set(drivers)) < MIN_POINTS:
        raise TooFewPoints(
            f'{len(set(drivers))} different drivers of {MIN_POINTS} needed'
        )
    slope, intercept = statistics.linear_regression(drivers, costs)
    squares = [
        (cost - intercept - slope * driver) ** 2 for driver, cost in pairs
    ]
    return Fit(
        slope, intercept, statistics.fmean(squares) ** 0.5, max(drivers)
    )


def find_overrun(predicted: float, budget: float) -> float:
    """Return the factor by which a budget is exceeded, or 0."""
    return predicted / budget if predicted > budget else 0.0
