"""What decisions are measured against: a floor and an oracle.

Both decide with the scheduler's own rules. The floor believes that all
best-effort work presses on all that serves, so that nothing runs beside
it; the oracle knows the true loads and coefficients.
"""

import typing as t

from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from tools.emulator import truth as truth_module

_TOO_MUCH = 100.0
# The leader's clock against the emulated day's.
CLOCK_OFFSET = 1000.0
# The oracle looks so far ahead: until the next look has taken effect.
_AHEAD_SECONDS = (0.0, 0.2, 0.4, 0.6, 0.8)
# A sine's standard deviation against its height.
_SWING_DEVIATION = 0.7
_LEAST_DOUBT = 0.03

Make = t.Callable[[truth_module.Truth], interference.Model]


class Floor(interference.Model):
    """Lets nothing work beside what serves."""

    def get_coefficient(self, serving: str, filling: str) -> float:
        """Return a coefficient that leaves no room."""
        return _TOO_MUCH

    def get_upper_bound(self, serving: str, filling: str) -> float:
        """Return a bound that leaves no room."""
        return _TOO_MUCH

    def get_lower_bound(self, serving: str, filling: str) -> float:
        """Return a coefficient that leaves no room."""
        return _TOO_MUCH

    def estimate_limit(self) -> float:
        """Return that nothing is borne."""
        return 0.0


class Oracle(interference.Model):
    """Knows what the emulated fleet hides.

    Parameters
    ----------
    truth : tools.emulator.truth.Truth
        What it hides.
    """

    def __init__(self, truth: truth_module.Truth) -> None:
        super().__init__()
        self._truth = truth

    def get_coefficient(self, serving: str, filling: str) -> float:
        """Return the true coefficient."""
        return self._truth.get_coefficient(serving, filling)

    def get_upper_bound(self, serving: str, filling: str) -> float:
        """Return the true coefficient; nothing is in doubt."""
        return self._truth.get_coefficient(serving, filling)

    def estimate_load(
        self, run: instances.Run, address: str, now: float
    ) -> float:
        """Return the highest true load until the next look."""
        at = now - CLOCK_OFFSET
        return max(
            self._truth.measure_load(run.step_name, at + ahead)
            for ahead in _AHEAD_SECONDS
        )

    def get_lower_bound(self, serving: str, filling: str) -> float:
        """Return the true coefficient; nothing is in doubt."""
        return self._truth.get_coefficient(serving, filling)

    def expect_load(self, step_name: str, beside: int) -> float:
        """Return the true mean load, and more beside other steps."""
        shape = self._truth.shape
        factor = interference.EXPECTED_MAXIMA[
            min(beside, len(interference.EXPECTED_MAXIMA)) - 1
        ]
        deviation = shape.mean_load * shape.swing * _SWING_DEVIATION
        return shape.mean_load + factor * deviation

    def estimate_uncertainty(self) -> float:
        """Return what covers the time between two looks."""
        return _LEAST_DOUBT

    def estimate_limit(self) -> float:
        """Return the true fullness at which the target is met."""
        return 1 - 1 / self._truth.shape.target_factor

    def estimate_serving_use(self) -> float:
        """Return the part of declared processors that serving uses."""
        return self._truth.shape.serving_use * self._truth.shape.mean_load
