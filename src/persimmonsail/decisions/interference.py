"""Online estimation of how batch work slows latency-critical work.

For each latency-critical class (the victim) the mean service time is
fitted to the shares of an instance's cores that each batch class (an
aggressor) used in the same window::

    seconds = base * (1 + sum of coefficient[aggressor] * share)

The fit is a least-squares regression with exponentially decayed sums
and non-negative coefficients. It shrinks towards a prior where samples
are few. Each load band has its own fit, which shrinks towards the fit
over all loads.
"""

import bisect
import dataclasses
import typing as t

HALF_LIFE_SECONDS = 120.0
PRIOR_COEFFICIENT = 0.5

# The weight of the prior, as a number of requests observed while a class
# used this share of the cores.
_PRIOR_REQUESTS = 60.0
_PRIOR_SHARE = 0.1
_MAX_WEIGHT = 100.0
_SOLVER_ITERATIONS = 12
_EPSILON = 1e-9
_LOAD_BANDS = (0.5, 0.75)
_INTERCEPT = ''

# Coefficient of variation of one request's service time.
_SERVICE_TIME_CV = 0.5
_MAX_SQUARED_ERROR = 100.0
_SHORT_AVERAGE_SAMPLES = 8.0
_LONG_AVERAGE_SAMPLES = 300.0
_SHIFT_ERROR_FACTOR = 4.0
_MIN_SHIFT_SAMPLES = 60
_SHIFT_RETAINED_FRACTION = 0.02
_NO_COEFFICIENTS: t.Mapping[str, float] = {}


@dataclasses.dataclass(frozen=True)
class Sample:
    """One class's mean service time in one window, with colocated work.

    ``seconds`` is the mean over ``count`` requests, ``shares`` has the
    fraction of the cores used by each batch class, ``busy`` is the busy
    fraction of the slots, and ``measured_at`` the window's end on the
    learner's clock.
    """

    victim: str
    seconds: float
    count: int
    shares: t.Mapping[str, float]
    busy: float
    measured_at: float


@dataclasses.dataclass(frozen=True)
class Term:
    """The contribution of one aggressor to a slowdown."""

    aggressor: str
    share: float
    coefficient: float

    @property
    def excess(self) -> float:
        """The added time, as a fraction of the undisturbed time."""
        return self.coefficient * self.share


@dataclasses.dataclass(frozen=True)
class Estimate:
    """A predicted slowdown and the terms that it is the sum of."""

    victim: str
    slowdown: float
    terms: tuple[Term, ...]

    def describe(self) -> str:
        """Return the terms for a decision's log line."""
        return ','.join(
            f'{term.aggressor}:{term.share:.2f}@{term.coefficient:.2f}'
            for term in self.terms
        )


class _Regression:
    """Weighted regression from decayed sums, without stored samples."""

    def __init__(self) -> None:
        self.names: set[str] = set()
        self.values: dict[str, float] = {}
        self._products: dict[tuple[str, str], float] = {}
        self._targets: dict[str, float] = {}

    def add(
        self, features: t.Mapping[str, float], target: float, weight: float
    ) -> None:
        self.names.update(features)
        for row, row_value in features.items():
            self._targets[row] = (
                self._targets.get(row, 0.0) + weight * row_value * target
            )
            for column, column_value in features.items():
                key = (row, column)
                self._products[key] = (
                    self._products.get(key, 0.0)
                    + weight * row_value * column_value
                )

    def decay(self, factor: float) -> None:
        for key in self._products:
            self._products[key] *= factor
        for name in self._targets:
            self._targets[name] *= factor

    def solve(self, priors: t.Mapping[str, float], strength: float) -> None:
        """Minimize the error by coordinate descent, with values >= 0."""
        names = sorted(self.names)
        for _ in range(_SOLVER_ITERATIONS):
            for name in names:
                self.values[name] = self._minimize_coordinate(
                    name, priors.get(name), strength
                )

    def _minimize_coordinate(
        self, name: str, prior: float | None, strength: float
    ) -> float:
        others = sum(
            self._products.get((name, column), 0.0) * value
            for column, value in self.values.items()
            if column != name
        )
        numerator = self._targets.get(name, 0.0) - others
        denominator = self._products.get((name, name), 0.0)
        if prior is not None:
            numerator += strength * prior
            denominator += strength
        return (
            max(0.0, numerator / denominator)
            if denominator > _EPSILON
            else 0.0
        )


class _ShiftDetector:
    """Distinguishes shifts of interference from noise by error size.

    Prediction errors are normalized by the error expected from noise
    alone. An inexact fit has large errors all the time, so only errors
    much larger than their long-term average count as a shift.
    """

    def __init__(self) -> None:
        self._short_average = 1.0
        self._long_average = 1.0
        self._sample_count = 0

    def record(self, predicted: float, seconds: float, weight: float) -> bool:
        """Record one error and return whether a shift is detected."""
        if predicted <= 0:
            return False
        error = (seconds - predicted) / predicted
        squared = error * error * weight / _SERVICE_TIME_CV**2
        squared = min(squared, _MAX_SQUARED_ERROR)
        self._sample_count += 1
        self._short_average += (
            squared - self._short_average
        ) / _SHORT_AVERAGE_SAMPLES
        limit = _SHIFT_ERROR_FACTOR * max(1.0, self._long_average)
        if (
            self._sample_count >= _MIN_SHIFT_SAMPLES
            and self._short_average > limit
        ):
            self._sample_count = 0
            self._short_average = self._long_average
            return True
        self._long_average += (
            squared - self._long_average
        ) / _LONG_AVERAGE_SAMPLES
        return False


class _VictimModel:
    """Fits of one latency-critical class, over all loads and by band."""

    def __init__(self) -> None:
        self.overall = _Regression()
        self.bands = [_Regression() for _ in range(len(_LOAD_BANDS) + 1)]
        self.base = 0.0
        self.coefficients: list[dict[str, float]] = [{} for _ in self.bands]
        self.is_stale = False
        self.decayed_at: float | None = None
        self.detector = _ShiftDetector()

    def discard_history(self) -> None:
        """Discard nearly all of the state learned before a shift."""
        self.overall.decay(_SHIFT_RETAINED_FRACTION)
        for band in self.bands:
            band.decay(_SHIFT_RETAINED_FRACTION)

    def decay(self, now: float, half_life: float) -> None:
        if self.decayed_at is not None and now > self.decayed_at:
            factor = 0.5 ** ((now - self.decayed_at) / half_life)
            self.overall.decay(factor)
            for band in self.bands:
                band.decay(factor)
        self.decayed_at = max(now, self.decayed_at or now)

    def solve(self) -> None:
        self.is_stale = False
        strength = _PRIOR_REQUESTS * _PRIOR_SHARE**2
        previous_base = self.base or self.overall.values.get(_INTERCEPT, 0.0)
        prior = PRIOR_COEFFICIENT * previous_base
        priors = {name: prior for name in self.overall.names if name}
        self.overall.solve(priors, strength)
        self.base = self.overall.values.get(_INTERCEPT, 0.0)
        for band in self.bands:
            # A band's samples vary too little to separate base and slope.
            band.values[_INTERCEPT] = self.base
            band.names.discard(_INTERCEPT)
            band.solve(self.overall.values, strength)
        self.coefficients = [self._scale(band) for band in self.bands]

    def _scale(self, band: _Regression) -> dict[str, float]:
        if self.base <= 0:
            return {}
        values = {**self.overall.values, **band.values}
        return {
            name: value / self.base for name, value in values.items() if name
        }


class Estimator:
    """Predicts slowdowns from the samples learned so far.

    Parameters
    ----------
    half_life : float, optional
        Seconds after which a sample's weight has halved.

    ``shift_count`` is how often a sudden growth of errors has led to
    discarding the learned state.
    """

    def __init__(self, half_life: float = HALF_LIFE_SECONDS) -> None:
        self._half_life = half_life
        self._models: dict[str, _VictimModel] = {}
        self.shift_count = 0

    def learn(self, sample: Sample) -> None:
        """Learn from one joined measurement, however late it arrives."""
        if sample.count <= 0 or sample.seconds <= 0:
            return
        model = self._models.setdefault(sample.victim, _VictimModel())
        model.decay(sample.measured_at, self._half_life)
        weight = min(float(sample.count), _MAX_WEIGHT)
        predicted = model.base * self.predict(
            sample.victim, sample.shares, sample.busy
        )
        if model.detector.record(predicted, sample.seconds, weight):
            model.discard_history()
            self.shift_count += 1
        features = {
            name: share for name, share in sample.shares.items() if share > 0
        }
        features[_INTERCEPT] = 1.0
        model.overall.add(features, sample.seconds, weight)
        band = model.bands[find_load_band(sample.busy)]
        band.add(features, sample.seconds, weight)
        model.is_stale = True

    def find_base(self, victim: str, default: float = 0.0) -> float:
        """Return a class's undisturbed mean service time in seconds."""
        model = self._find_model(victim)
        return model.base if model and model.base > 0 else default

    def find_coefficient(
        self, victim: str, aggressor: str, busy: float
    ) -> float:
        """Return the added slowdown if all of the cores were used."""
        coefficients = self._find_coefficients(victim, busy)
        return coefficients.get(aggressor, PRIOR_COEFFICIENT)

    def predict(
        self, victim: str, shares: t.Mapping[str, float], busy: float
    ) -> float:
        """Return the predicted factor on a class's service time."""
        coefficients = self._find_coefficients(victim, busy)
        slowdown = 1.0
        for name, share in shares.items():
            slowdown += coefficients.get(name, PRIOR_COEFFICIENT) * share
        return slowdown

    def explain(
        self, victim: str, shares: t.Mapping[str, float], busy: float
    ) -> Estimate:
        """Return a prediction with its terms in descending order."""
        terms = [
            Term(name, share, self.find_coefficient(victim, name, busy))
            for name, share in shares.items()
        ]
        terms.sort(key=lambda term: term.excess, reverse=True)
        slowdown = 1.0 + sum(term.excess for term in terms)
        return Estimate(victim, slowdown, tuple(terms))

    def _find_coefficients(
        self, victim: str, busy: float
    ) -> t.Mapping[str, float]:
        model = self._find_model(victim)
        return (
            model.coefficients[find_load_band(busy)]
            if model
            else _NO_COEFFICIENTS
        )

    def _find_model(self, victim: str) -> _VictimModel | None:
        model = self._models.get(victim)
        if model is not None and model.is_stale:
            model.solve()
        return model


def find_load_band(busy: float) -> int:
    """Return the index of a load's band."""
    return bisect.bisect_right(_LOAD_BANDS, busy)
