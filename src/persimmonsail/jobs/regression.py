"""A linear regression over coefficients that are either small or large.

Few pairs of images disturb each other much; all others hardly do. A
plain regression takes some ten seconds to tell the two from each other,
and what it says of a pair that was not seen lately drifts to the middle.
So each coefficient is estimated as one of two kinds, each with a prior of
its own, weighed by how well either explains what was observed.
"""

import dataclasses
import math
import typing as t

# Each observation weighs this much less than the one after it. Images
# behave alike all day, so little is forgotten.
_KEPT = 0.999
_HIGHEST = 20.0
# Coefficients are solved for again after so many observations, or after
# this part of all that are remembered: the more is known, the less a few
# more change, and a solution of 30 coefficients takes 1.4 ms.
_SOLVE_EVERY = 6
_SOLVE_PART = 0.05
# So many observations are remembered: the sum of their weights.
_REMEMBERED = 1 / (1 - _KEPT)
# Sums grow by the weight of the newest observation instead of shrinking
# by what is forgotten, so that one observation touches only the names that
# it has; beyond this they are shrunk all at once.
_LARGEST_SCALE = 1e6
_SWEEPS = 5
# Sweeps end when no coefficient moves by more than this: gauges scatter by
# far more.
_SETTLED = 0.01
# A coefficient is thought to be no higher than its mean and so many
# deviations: with more, heavy tasks wait beside free room, with less, what
# serves is disturbed (emulator, 12 days of known shapes: worth 0.858 with
# 0.1, 0.880 with this, 0.852 with 0.7).
_BOUND_DEVIATIONS = 0.3
# And no lower than this many below it.
_LEAST_DEVIATIONS = 0.7
# A kind never gets narrower than this part of what it began with.
_LEAST_DEVIATION_PART = 0.5
# Beyond this nothing works beside the other; how far does not matter.
_MOST_TELLING = 4.0
# A coefficient counts by half for its kind when what was observed is so
# much more precise than the kind itself.
_KNOWN_WEIGHT = 4.0
# Sums are kept to so many digits; they are worth nothing below 0.001.
_DIGITS = 4


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of coefficient.

    Attributes
    ----------
    share : float
        The part of all coefficients that are of this kind.
    mean, deviation : float
        Where its coefficients lie.
    """

    share: float
    mean: float
    deviation: float


@dataclasses.dataclass(frozen=True)
class Evidence:
    """What a regression has observed, as sums.

    Attributes
    ----------
    products : dict
        For each pair of names the sum of ``x * x``.
    targets : dict
        For each name the sum of ``x * y``.
    """

    products: dict[str, dict[str, float]]
    targets: dict[str, float]


class Belief(t.NamedTuple):
    """What is believed of one coefficient.

    Attributes
    ----------
    parts : tuple of float
        How likely it is of each kind.
    means : tuple of float
        Its mean if it is of that kind.
    weight : float
        How precisely it was observed: one over the variance.
    mean, deviation : float
        Over all kinds.
    """

    parts: tuple[float, ...]
    means: tuple[float, ...]
    weight: float
    mean: float = 0.0
    deviation: float = 0.0


class Regression:
    """Finds ``y = sum(coefficient * x)`` with no coefficient below 0.

    Parameters
    ----------
    kinds : sequence of Kind
        What coefficients may be.
    noise : float
        The standard deviation of what is observed.
    """

    def __init__(self, kinds: t.Sequence[Kind], noise: float) -> None:
        self._kinds = kinds
        self._variance = noise * noise
        self._products: dict[str, dict[str, float]] = {}
        self._targets: dict[str, float] = {}
        self._values: dict[str, float] = {}
        self._bounds: dict[str, float] = {}
        self._least: dict[str, float] = {}
        self._beliefs: dict[str, Belief] = {}
        self._pending = 0
        self._seen = 0
        # What the newest observation weighs in the sums.
        self._scale = 1.0
        # Rises whenever coefficients change.
        self.generation = 0

    def get(self, name: str) -> float:
        """Return a coefficient."""
        value = self._values.get(name)
        if value is None:
            return sum(kind.share * kind.mean for kind in self._kinds)
        return value

    def get_bound(self, name: str) -> float:
        """Return what a coefficient may be at the most, in all likelihood.

        That is its mean and some of its spread over all kinds.
        """
        bound = self._bounds.get(name)
        if bound is None:
            return self._guess(_BOUND_DEVIATIONS)
        return bound

    def get_least(self, name: str) -> float:
        """Return what a coefficient is at the least, in all likelihood."""
        least = self._least.get(name)
        if least is None:
            return max(self._guess(-_LEAST_DEVIATIONS), 0.0)
        return least

    def _guess(self, deviations: float) -> float:
        mean = sum(kind.share * kind.mean for kind in self._kinds)
        square = sum(
            kind.share * (kind.mean**2 + kind.deviation**2)
            for kind in self._kinds
        )
        return mean + deviations * math.sqrt(square - mean * mean)

    def list_beliefs(self) -> list[Belief]:
        """Return what is believed of each coefficient that was seen."""
        return list(self._beliefs.values())

    def add(
        self, xs: t.Mapping[str, float], y: float, weight: float = 1.0
    ) -> None:
        """Take one observation in.

        Parameters
        ----------
        xs : mapping of str to float
            How much there was of each name.
        y : float
            What was observed.
        weight : float
            How much more it tells than one with the usual noise.
        """
        self._scale /= _KEPT
        if self._scale > _LARGEST_SCALE:
            self._shrink()
        weight *= self._scale
        for name, x in xs.items():
            row = self._products.setdefault(name, {})
            for other, z in xs.items():
                row[other] = row.get(other, 0.0) + weight * x * z
            before = self._targets.get(name, 0.0)
            self._targets[name] = before + weight * x * y
        self._pending += 1
        self._seen += 1
        remembered = min(self._seen, _REMEMBERED)
        if self._pending >= max(_SOLVE_EVERY, _SOLVE_PART * remembered):
            self._solve()

    def _shrink(self) -> None:
        """Bring the sums back to where the newest weighs 1."""
        for row in self._products.values():
            for other in row:
                row[other] /= self._scale
        for name in self._targets:
            self._targets[name] /= self._scale
        self._scale = 1.0

    def export(self) -> Evidence:
        """Return what was observed."""
        self._shrink()
        return Evidence(
            {
                name: {other: round(x, _DIGITS) for other, x in row.items()}
                for name, row in self._products.items()
            },
            {name: round(x, _DIGITS) for name, x in self._targets.items()},
        )

    def restore(self, evidence: Evidence) -> None:
        """Begin with what another regression has observed.

        Raises
        ------
        ValueError
            If the sums do not belong together.
        """
        if evidence.products.keys() != evidence.targets.keys():
            raise ValueError('products and targets name different things')
        self._products = {
            name: dict(row) for name, row in evidence.products.items()
        }
        self._targets = dict(evidence.targets)
        self._scale = 1.0
        self._solve()

    def _solve(self) -> None:
        """Improve each coefficient in turn, the others as they are."""
        self._pending = 0
        self.generation += 1
        kinds = [_Weighed.of(kind) for kind in self._kinds]
        usual = sum(kind.share * kind.mean for kind in self._kinds)
        values = {
            name: self._values.get(name, usual) for name in self._products
        }
        unit = self._scale * self._variance
        found = {}
        for _ in range(_SWEEPS):
            moved = 0.0
            for name, row in self._products.items():
                before = values[name]
                rest = -row[name] * before
                for other, product in row.items():
                    rest += product * values[other]
                target = (self._targets[name] - rest) / unit
                belief = found[name] = _estimate(
                    kinds, target, row[name] / unit
                )
                values[name] = min(max(belief.mean, 0.0), _HIGHEST)
                moved = max(moved, abs(values[name] - before))
            if moved < _SETTLED:
                break
        self._values = values
        self._beliefs = found
        for name, belief in found.items():
            bound = belief.mean + _BOUND_DEVIATIONS * belief.deviation
            self._bounds[name] = min(max(bound, 0.0), _HIGHEST)
            least = belief.mean - _LEAST_DEVIATIONS * belief.deviation
            self._least[name] = min(max(least, 0.0), _HIGHEST)


class _Weighed(t.NamedTuple):
    """A kind, in the terms that estimates need."""

    precision: float
    pull: float
    score: float

    @classmethod
    def of(cls, kind: Kind) -> '_Weighed':
        """Return a kind's terms."""
        spread = kind.deviation * kind.deviation
        score = math.log(kind.share)
        score -= 0.5 * math.log(spread)
        score -= 0.5 * kind.mean * kind.mean / spread
        return cls(1 / spread, kind.mean / spread, score)


def _estimate(
    kinds: t.Sequence[_Weighed], target: float, weight: float
) -> Belief:
    """Estimate one coefficient over its kinds.

    Parameters
    ----------
    kinds : sequence of _Weighed
        What it may be.
    target, weight : float
        The sums of ``x * y`` and of ``x * x`` over what was observed, in
        units of the variance.
    """
    scores = []
    means = []
    precisions = []
    for kind in kinds:
        precision = weight + kind.precision
        mean = (target + kind.pull) / precision
        # The likelihood of all observations under this kind, but for
        # factors that both kinds share.
        score = kind.score - 0.5 * math.log(precision)
        scores.append(score + 0.5 * mean * mean * precision)
        means.append(mean)
        precisions.append(precision)
    highest = max(scores)
    parts = [math.exp(score - highest) for score in scores]
    total = sum(parts)
    mean = 0.0
    square = 0.0
    for part, one, precision in zip(parts, means, precisions, strict=True):
        mean += part * one
        square += part * (one * one + 1 / precision)
    mean /= total
    return Belief(
        parts=tuple(part / total for part in parts),
        means=tuple(means),
        weight=weight,
        mean=mean,
        deviation=math.sqrt(max(square / total - mean * mean, 0.0)),
    )


def adapt_kinds(
    prior: t.Sequence[Kind], beliefs: t.Collection[Belief], prior_count: float
) -> list[Kind]:
    """Return kinds as what was observed suggests them.

    How many pairs of images press, and how much, differs between
    deployments. What was seen of some pairs is the best guess for those
    that were not seen yet.

    Parameters
    ----------
    prior : sequence of Kind
        What is thought before anything is observed.
    beliefs : collection of Belief
        What is believed of the coefficients that were observed.
    prior_count : float
        How many coefficients the prior weighs as much as.
    """
    certainties = [_measure_certainty(belief, prior) for belief in beliefs]
    seen = sum(certainties)
    kinds = []
    for index, kind in enumerate(prior):
        total = prior_count * kind.share
        mean = total * kind.mean
        square = total * (kind.deviation**2 + kind.mean**2)
        count = total
        for belief, certainty in zip(beliefs, certainties, strict=True):
            part = belief.parts[index] * certainty
            value = min(max(belief.means[index], 0.0), _MOST_TELLING)
            count += part
            mean += part * value
            square += part * (value * value)
        mean /= count
        variance = max(square / count - mean * mean, 0.0)
        least = _LEAST_DEVIATION_PART * kind.deviation
        deviation = max(math.sqrt(variance), least)
        share = count / (prior_count + seen)
        kinds.append(Kind(share, mean, deviation))
    return kinds


def _measure_certainty(belief: Belief, prior: t.Sequence[Kind]) -> float:
    """Return how well a coefficient is known, from 0 to 1."""
    widest = max(kind.deviation for kind in prior)
    known = belief.weight * widest * widest
    return known / (known + _KNOWN_WEIGHT)
