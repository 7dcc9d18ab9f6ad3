"""Load of each step's tasks: its level, variation and prediction.

Load pattern: the load of serving tasks varies within seconds, in one
deployment by a tenth and in another by most of it, in waves or in steps. None
of that is known beforehand, so the mean, variance and slope of each step's
load are tracked, as well as the errors of the predictions of the last seconds,
which determine the headroom.
"""

import collections
import dataclasses
import math
import typing as t

# Maximum age of gauges that a load is predicted from.
FRESH_SECONDS = 1.2
# How far ahead loads are predicted: the age of a gauge when a new speed limit
# takes effect.
_AHEAD_SECONDS = 0.8
_SLOPE_SMOOTHING = 0.4
# Typical time between two polls of a step.
_TYPICAL_GAP_SECONDS = 0.45
_MIN_GAP_SECONDS = 0.05
# Mean and variance cover this time, several periods of most loads.
_WINDOW_SECONDS = 20.0
# The prior for a new step weighs as much as this time of observation.
_PRIOR_SECONDS = 2.0
# Prior without any observation: a serving task is about half as full as its
# target allows, and its load may double.
_PRIOR_MEAN = 0.4
_PRIOR_DEVIATION = 0.15
# Prediction errors are averaged over the last 25 or so. The initial value is a
# tenth of the headroom that a target leaves to a task that is half full.
_ERROR_SMOOTHING = 0.04
_PRIOR_ERROR = 0.06
# Maximum number of predictions of one load that are not due yet. There are
# three polls until then, forty where runs end continually, and none is
# resolved while a gauge is saturated.
_MAX_PENDING = 64
# Limit of a single error in standard deviations: one gauge that is off by half
# is an outlier, not a change of the load.
_MAX_ERROR_DEVIATIONS = 2.0


@dataclasses.dataclass
class Summary:
    """A load's mean and variance, and the seconds it was observed for."""

    mean: float = _PRIOR_MEAN
    variance: float = _PRIOR_DEVIATION**2
    seconds: float = 0.0

    @property
    def deviation(self) -> float:
        """The standard deviation."""
        return math.sqrt(self.variance)

    def add(self, value: float, seconds: float) -> None:
        """Add a value that lasted for this time."""
        if seconds <= 0:
            return
        self.seconds = min(self.seconds + seconds, _WINDOW_SECONDS)
        factor = min(seconds / (self.seconds + _PRIOR_SECONDS), 1.0)
        difference = value - self.mean
        self.mean += factor * difference
        self.variance += factor * (
            difference * (value - self.mean) - self.variance
        )


class _Prediction(t.NamedTuple):
    due_at: float
    value: float


class Load:
    """The load of one step's tasks.

    Parameters
    ----------
    typical : Summary
        Summary of other steps' loads, used as the prior.
    """

    def __init__(self, typical: Summary) -> None:
        self.summary = Summary(typical.mean, typical.variance)
        self.value = typical.mean
        self.slope = 0.0
        self.read_at = -math.inf

    def note(self, value: float, now: float) -> float:
        """Add a reading and return the seconds that it covers."""
        elapsed = now - self.read_at
        if elapsed >= FRESH_SECONDS:
            self.slope = 0.0
            elapsed = _TYPICAL_GAP_SECONDS
        else:
            gap = max(elapsed, _MIN_GAP_SECONDS)
            factor = _SLOPE_SMOOTHING * min(gap / _TYPICAL_GAP_SECONDS, 1.0)
            observed_slope = (value - self.value) / gap
            self.slope += factor * (observed_slope - self.slope)
        self.value = value
        self.read_at = now
        self.summary.add(value, elapsed)
        return elapsed

    def is_fresh(self, now: float) -> bool:
        """Return whether the last reading is recent enough for predictions."""
        return now - self.read_at <= FRESH_SECONDS

    def predict_rise(self) -> float:
        """Return the predicted rise until a new speed limit takes effect."""
        return max(self.slope, 0.0) * _AHEAD_SECONDS


def _make_pending() -> collections.deque[_Prediction]:
    return collections.deque(maxlen=_MAX_PENDING)


class PredictionErrors:
    """Statistics of how far loads exceed their predictions."""

    def __init__(self) -> None:
        self.mean = 0.0
        self.variance = _PRIOR_ERROR**2
        self._predictions: dict[
            tuple[str, str], collections.deque[_Prediction]
        ] = collections.defaultdict(_make_pending)

    def predict(self, key: tuple[str, str], value: float, now: float) -> None:
        """Record the prediction of a load."""
        due_at = now + _AHEAD_SECONDS
        self._predictions[key].append(_Prediction(due_at, value))

    def resolve(
        self, key: tuple[str, str], value: float, weight: float, now: float
    ) -> None:
        """Compare a load with its prediction, if one is due.

        Parameters
        ----------
        key : tuple of str
            The step and the instance.
        value : float
            The measured load.
        weight : float
            The weight of the error, from 0 to 1.
        now : float
            Seconds of the leader's clock.
        """
        pending = self._predictions[key]
        due = None
        while pending and pending[0].due_at <= now:
            due = pending.popleft()
        if due is None or now - due.due_at > FRESH_SECONDS:
            return
        error = value - due.value
        factor = weight * _ERROR_SMOOTHING
        max_difference = _MAX_ERROR_DEVIATIONS * self.deviation
        difference = min(
            max(error - self.mean, -max_difference), max_difference
        )
        self.mean += factor * difference
        self.variance += factor * (difference * difference - self.variance)

    def forget(self, step_name: str) -> None:
        """Drop the predictions of a step that has ended."""
        for key in [k for k in self._predictions if k[0] == step_name]:
            del self._predictions[key]

    @property
    def deviation(self) -> float:
        """The standard deviation of the prediction errors."""
        return math.sqrt(self.variance)
