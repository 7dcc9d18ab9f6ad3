"""Baselines for the scheduler's decisions: a floor and an oracle.

Both decide with the scheduler's own rules. The floor assumes that all
best-effort work interferes with all serving tasks, so that nothing is
colocated with them; the oracle knows the true loads and coefficients.
"""

import typing as t

from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from tools.emulator import truth as truth_module

_PROHIBITIVE_COEFFICIENT = 100.0
# The leader's clock minus the emulated day's.
CLOCK_OFFSET_SECONDS = 1000.0
# Times for which the oracle reads loads: until the next poll's orders have
# taken effect.
_LOOKAHEAD_SECONDS = (0.0, 0.2, 0.4, 0.6, 0.8)
# A sine's standard deviation relative to its amplitude.
_SINE_DEVIATION = 0.7
_UNCERTAINTY = 0.03

MakeModel = t.Callable[[truth_module.Truth], interference.Model]


class Floor(interference.Model):
    """Colocates nothing with serving tasks."""

    def get_coefficient(self, serving: str, best_effort: str) -> float:
        """Return a coefficient that rules out colocation."""
        return _PROHIBITIVE_COEFFICIENT

    def get_upper_bound(self, serving: str, best_effort: str) -> float:
        """Return a bound that rules out colocation."""
        return _PROHIBITIVE_COEFFICIENT

    def get_lower_bound(self, serving: str, best_effort: str) -> float:
        """Return a coefficient that rules out colocation."""
        return _PROHIBITIVE_COEFFICIENT

    def estimate_limit(self) -> float:
        """Return a limit that tolerates no interference."""
        return 0.0


class Oracle(interference.Model):
    """Knows the true behaviour of the emulated fleet.

    Parameters
    ----------
    truth : tools.emulator.truth.Truth
        That behaviour.
    """

    def __init__(self, truth: truth_module.Truth) -> None:
        super().__init__()
        self._truth = truth

    def get_coefficient(self, serving: str, best_effort: str) -> float:
        """Return the true coefficient."""
        return self._truth.get_coefficient(serving, best_effort)

    def get_upper_bound(self, serving: str, best_effort: str) -> float:
        """Return the true coefficient, which is certain."""
        return self._truth.get_coefficient(serving, best_effort)

    def estimate_load(
        self, run: instances.Run, address: str, now: float
    ) -> float:
        """Return the highest true load until the next poll."""
        at = now - CLOCK_OFFSET_SECONDS
        return max(
            self._truth.measure_load(run.step_name, at + lookahead_seconds)
            for lookahead_seconds in _LOOKAHEAD_SECONDS
        )

    def get_lower_bound(self, serving: str, best_effort: str) -> float:
        """Return the true coefficient, which is certain."""
        return self._truth.get_coefficient(serving, best_effort)

    def expect_load(self, step_name: str, step_count: int) -> float:
        """Return the true mean load, and more if steps are colocated."""
        shape = self._truth.shape
        factor = interference.EXPECTED_MAXIMA[
            min(step_count, len(interference.EXPECTED_MAXIMA)) - 1
        ]
        deviation = shape.mean_load * shape.load_variation * _SINE_DEVIATION
        return shape.mean_load + factor * deviation

    def estimate_uncertainty(self) -> float:
        """Return what covers the time between two polls."""
        return _UNCERTAINTY

    def estimate_limit(self) -> float:
        """Return the true fullness at which the target is met."""
        return 1 - 1 / self._truth.shape.target_factor

    def estimate_serving_use(self) -> float:
        """Return the share of processors that serving tasks use."""
        return self._truth.shape.serving_use * self._truth.shape.mean_load
