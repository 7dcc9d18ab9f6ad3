"""A linear regression over coefficients that are either small or large.

Few pairs of images interfere much; all others hardly do. A plain regression
takes some ten seconds to separate the two, and its estimate for a pair that
was not observed lately drifts to the middle. Each coefficient is therefore
estimated as a mixture of two kinds, each with its own prior, weighted by how
well it explains the observations.
"""

import dataclasses
import math
import typing as t

# Weight of an observation relative to the next one. Images behave alike all
# day, so little is forgotten.
_DECAY = 0.999
_MAX_COEFFICIENT = 20.0
# Coefficients are solved for again after this many observations, or after this
# share of the effective number of observations: the more there are, the less a
# few more change, and a solution of 30 coefficients takes 1.4 ms.
_MIN_PENDING = 6
_MIN_PENDING_SHARE = 0.05
# Limit of the effective number of observations, the sum of their weights.
_MAX_EFFECTIVE_COUNT = 1 / (1 - _DECAY)
# Sums grow by the weight of the newest observation instead of decaying, so
# that an observation updates only the names that it has. Beyond this scale all
# sums are rescaled.
_MAX_SCALE = 1e6
_MAX_SWEEPS = 5
# Sweeps end when no coefficient changes by more than this; the noise of the
# gauges is far larger.
_CONVERGED_CHANGE = 0.01
# Standard deviations from a coefficient's mean to its upper bound: with more,
# heavy tasks wait beside free capacity; with less, serving tasks suffer
# interference.
_UPPER_BOUND_DEVIATIONS = 0.3
# Standard deviations from a coefficient's mean to its lower bound.
_LOWER_BOUND_DEVIATIONS = 0.7
# Minimum deviation of a kind, as a share of its initial one.
_MIN_DEVIATION_SHARE = 0.5
# From this coefficient on, nothing can be colocated with the other image;
# larger values carry no further information.
_MAX_INFORMATIVE = 4.0
# A coefficient counts by half for its kind when its observations are this many
# times as precise as the kind itself.
_HALF_CERTAINTY_RATIO = 4.0
# Decimal places of exported sums; differences below 0.001 are irrelevant.
_DIGITS = 4


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of coefficient.

    Attributes
    ----------
    share : float
        The share of all coefficients that are of this kind.
    mean, deviation : float
        The distribution of its coefficients.
    """

    share: float
    mean: float
    deviation: float


@dataclasses.dataclass(frozen=True)
class Evidence:
    """The observations of a regression, as sums.

    Attributes
    ----------
    products : dict
        For each pair of names the sum of ``x * x``.
    targets : dict
        For each name the sum of ``x * y``.
    """

    products: dict[str, dict[str, float]]
    targets: dict[str, float]


class Posterior(t.NamedTuple):
    """The posterior distribution of one coefficient.

    Attributes
    ----------
    probabilities : tuple of float
        The probability of each kind.
    means : tuple of float
        Its mean under each kind.
    weight : float
        Precision of the observations: the inverse of their variance.
    mean, deviation : float
        Over all kinds.
    """

    probabilities: tuple[float, ...]
    means: tuple[float, ...]
    weight: float
    mean: float = 0.0
    deviation: float = 0.0


class Regression:
    """Finds ``y = sum(coefficient * x)`` with no coefficient below 0.

    Parameters
    ----------
    kinds : sequence of Kind
        The kinds of coefficients.
    noise : float
        The standard deviation of an observation.
    """

    def __init__(self, kinds: t.Sequence[Kind], noise: float) -> None:
        self._kinds = kinds
        self._variance = noise * noise
        self._products: dict[str, dict[str, float]] = {}
        self._targets: dict[str, float] = {}
        self._values: dict[str, float] = {}
        self._upper_bounds: dict[str, float] = {}
        self._lower_bounds: dict[str, float] = {}
        self._posteriors: dict[str, Posterior] = {}
        self._pending = 0
        self._count = 0
        # Weight of the newest observation in the sums.
        self._scale = 1.0
        # Incremented whenever coefficients change.
        self.generation = 0

    def get(self, name: str) -> float:
        """Return a coefficient's mean."""
        value = self._values.get(name)
        if value is None:
            return sum(kind.share * kind.mean for kind in self._kinds)
        return value

    def get_upper_bound(self, name: str) -> float:
        """Return the probable upper bound of a coefficient.

        That is its mean plus part of its standard deviation over all kinds.
        """
        upper_bound = self._upper_bounds.get(name)
        if upper_bound is None:
            return self._estimate_prior(_UPPER_BOUND_DEVIATIONS)
        return upper_bound

    def get_lower_bound(self, name: str) -> float:
        """Return the probable lower bound of a coefficient."""
        lower_bound = self._lower_bounds.get(name)
        if lower_bound is None:
            return max(self._estimate_prior(-_LOWER_BOUND_DEVIATIONS), 0.0)
        return lower_bound

    def _estimate_prior(self, deviations: float) -> float:
        mean = sum(kind.share * kind.mean for kind in self._kinds)
        square = sum(
            kind.share * (kind.mean**2 + kind.deviation**2)
            for kind in self._kinds
        )
        return mean + deviations * math.sqrt(square - mean * mean)

    def list_posteriors(self) -> list[Posterior]:
        """Return the posterior of each coefficient that was observed."""
        return list(self._posteriors.values())

    def add(
        self, xs: t.Mapping[str, float], y: float, weight: float = 1.0
    ) -> None:
        """Add one observation.

        Parameters
        ----------
        xs : mapping of str to float
            The amount of each name.
        y : float
            The observed value.
        weight : float
            Its precision relative to an observation with the usual noise.
        """
        self._scale /= _DECAY
        if self._scale > _MAX_SCALE:
            self._rescale()
        weight *= self._scale
        for name, x in xs.items():
            row = self._products.setdefault(name, {})
            for other, z in xs.items():
                row[other] = row.get(other, 0.0) + weight * x * z
            previous = self._targets.get(name, 0.0)
            self._targets[name] = previous + weight * x * y
        self._pending += 1
        self._count += 1
        effective_count = min(self._count, _MAX_EFFECTIVE_COUNT)
        if self._pending >= max(
            _MIN_PENDING, _MIN_PENDING_SHARE * effective_count
        ):
            self._solve()

    def _rescale(self) -> None:
        """Rescale the sums so that the newest observation weighs 1."""
        for row in self._products.values():
            for other in row:
                row[other] /= self._scale
        for name in self._targets:
            self._targets[name] /= self._scale
        self._scale = 1.0

    def export(self) -> Evidence:
        """Return the observations as sums."""
        self._rescale()
        return Evidence(
            {
                name: {other: round(x, _DIGITS) for other, x in row.items()}
                for name, row in self._products.items()
            },
            {name: round(x, _DIGITS) for name, x in self._targets.items()},
        )

    def restore(self, evidence: Evidence) -> None:
        """Start from the observations of another regression.

        Raises
        ------
        ValueError
            If the sums are inconsistent.
        """
        if evidence.products.keys() != evidence.targets.keys():
            raise ValueError('products and targets have different names')
        self._products = {
            name: dict(row) for name, row in evidence.products.items()
        }
        self._targets = dict(evidence.targets)
        self._scale = 1.0
        self._solve()

    def _solve(self) -> None:
        """Solve for the coefficients by coordinate descent."""
        self._pending = 0
        self.generation += 1
        kinds = [_KindTerms.of(kind) for kind in self._kinds]
        prior_mean = sum(kind.share * kind.mean for kind in self._kinds)
        values = {
            name: self._values.get(name, prior_mean) for name in self._products
        }
        unit = self._scale * self._variance
        posteriors = {}
        for _ in range(_MAX_SWEEPS):
            max_change = 0.0
            for name, row in self._products.items():
                previous = values[name]
                other_sum = -row[name] * previous
                for other, product in row.items():
                    other_sum += product * values[other]
                target = (self._targets[name] - other_sum) / unit
                posterior = posteriors[name] = _estimate(
                    kinds, target, row[name] / unit
                )
                values[name] = min(max(posterior.mean, 0.0), _MAX_COEFFICIENT)
                max_change = max(max_change, abs(values[name] - previous))
            if max_change < _CONVERGED_CHANGE:
                break
        self._values = values
        self._posteriors = posteriors
        for name, posterior in posteriors.items():
            upper_bound = (
                posterior.mean + _UPPER_BOUND_DEVIATIONS * posterior.deviation
            )
            self._upper_bounds[name] = min(
                max(upper_bound, 0.0), _MAX_COEFFICIENT
            )
            lower_bound = (
                posterior.mean - _LOWER_BOUND_DEVIATIONS * posterior.deviation
            )
            self._lower_bounds[name] = min(
                max(lower_bound, 0.0), _MAX_COEFFICIENT
            )


class _KindTerms(t.NamedTuple):
    """A kind in the terms that estimates need."""

    precision: float
    weighted_mean: float
    score: float

    @classmethod
    def of(cls, kind: Kind) -> '_KindTerms':
        """Return the terms of a kind."""
        variance = kind.deviation * kind.deviation
        score = math.log(kind.share)
        score -= 0.5 * math.log(variance)
        score -= 0.5 * kind.mean * kind.mean / variance
        return cls(1 / variance, kind.mean / variance, score)


def _estimate(
    kinds: t.Sequence[_KindTerms], target: float, weight: float
) -> Posterior:
    """Estimate one coefficient over its kinds.

    Parameters
    ----------
    kinds : sequence of _KindTerms
        The kinds it may be of.
    target, weight : float
        The sums of ``x * y`` and of ``x * x`` over all observations, in
        units of the variance.
    """
    scores = []
    means = []
    precisions = []
    for kind in kinds:
        precision = weight + kind.precision
        mean = (target + kind.weighted_mean) / precision
        # Log-likelihood of all observations under this kind, up to terms
        # common to all kinds.
        score = kind.score - 0.5 * math.log(precision)
        scores.append(score + 0.5 * mean * mean * precision)
        means.append(mean)
        precisions.append(precision)
    highest = max(scores)
    probabilities = [math.exp(score - highest) for score in scores]
    total = sum(probabilities)
    mean = 0.0
    square = 0.0
    for weight_of_kind, kind_mean, precision in zip(
        probabilities, means, precisions, strict=True
    ):
        mean += weight_of_kind * kind_mean
        square += weight_of_kind * (kind_mean * kind_mean + 1 / precision)
    mean /= total
    return Posterior(
        probabilities=tuple(
            weight_of_kind / total for weight_of_kind in probabilities
        ),
        means=tuple(means),
        weight=weight,
        mean=mean,
        deviation=math.sqrt(max(square / total - mean * mean, 0.0)),
    )


def adapt_kinds(
    prior: t.Sequence[Kind],
    posteriors: t.Collection[Posterior],
    prior_count: float,
) -> list[Kind]:
    """Return kinds adapted to the observed coefficients.

    How many pairs of images interfere, and how strongly, differs between
    deployments. The pairs observed so far give the best estimate for those not
    observed yet.

    Parameters
    ----------
    prior : sequence of Kind
        The kinds assumed before any observation.
    posteriors : collection of Posterior
        The posteriors of the observed coefficients.
    prior_count : float
        Number of coefficients that the prior weighs as much as.
    """
    certainties = [
        _measure_certainty(posterior, prior) for posterior in posteriors
    ]
    total_certainty = sum(certainties)
    kinds = []
    for index, kind in enumerate(prior):
        total = prior_count * kind.share
        mean = total * kind.mean
        square = total * (kind.deviation**2 + kind.mean**2)
        count = total
        for posterior, certainty in zip(posteriors, certainties, strict=True):
            weight_of_kind = posterior.probabilities[index] * certainty
            value = min(max(posterior.means[index], 0.0), _MAX_INFORMATIVE)
            count += weight_of_kind
            mean += weight_of_kind * value
            square += weight_of_kind * (value * value)
        mean /= count
        variance = max(square / count - mean * mean, 0.0)
        min_deviation = _MIN_DEVIATION_SHARE * kind.deviation
        deviation = max(math.sqrt(variance), min_deviation)
        share = count / (prior_count + total_certainty)
        kinds.append(Kind(share, mean, deviation))
    return kinds


def _measure_certainty(posterior: Posterior, prior: t.Sequence[Kind]) -> float:
    """Return how well a coefficient is known, from 0 to 1."""
    max_deviation = max(kind.deviation for kind in prior)
    precision_ratio = posterior.weight * max_deviation * max_deviation
    return precision_ratio / (precision_ratio + _HALF_CERTAINTY_RATIO)
