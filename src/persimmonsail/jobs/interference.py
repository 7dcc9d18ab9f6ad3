"""Interference of best-effort tasks with colocated serving tasks.

The tail latency of a serving task behaves as in a queue: a base latency,
divided by the capacity that its own load and the interference of colocated
tasks leave free. A gauge relative to the target therefore gives a task's
fullness: its load plus, for each colocated best-effort image, a coefficient
times the share of the instance's processors that the image uses. Load varies
within seconds, but alike for all tasks of one step. What differs between two
instances at the same time is the interference, and coefficients are learned
from these differences.

Load pattern: deployments differ in how many pairs of images interfere and how
strongly, in load variation, and in how close targets are to a task's base
latency. None of that is a constant here: coefficients start from a wide prior
that adapts to the pairs observed so far, and the headroom below a target
follows the recent prediction errors.
"""

import collections
import dataclasses
import itertools
import math
import typing as t

from persimmonsail.jobs import gauges
from persimmonsail.jobs import instances
from persimmonsail.jobs import loads
from persimmonsail.jobs import regression

# Prior for a pair that was not observed yet: most interfere hardly, the others
# by any amount.
_PRIOR_KINDS = (
    regression.Kind(share=0.6, mean=0.15, deviation=0.2),
    regression.Kind(share=0.4, mean=1.6, deviation=1.0),
)
# The prior weighs as much as this number of observed pairs.
_PRIOR_PAIRS = 4.0
# Lower bound of a kind's mean, since a ratio to 0 is undefined. Interference
# below it is negligible.
_MIN_MEAN = 0.002
# Interval at which kinds are adapted to the observed pairs: a pair can be
# assigned to a kind within seconds.
_ADAPT_SECONDS = 0.6
# Standard deviation of the difference between two gauges of one step without
# any cause, at fullness 0.
_NOISE = 0.15
# Maximum time between two gauges of one step that are compared: the load
# changes little in that time.
_MAX_GAP_SECONDS = 0.45
# A gauge is compared with at most this many others, the latest ones. Further
# differences add little information.
_MAX_COMPARED = 4
# Rate limit of comparisons of one image. An image that serves on 4 instances
# has about as many, so that the observations remembered span 15 s on a fleet
# of any size: without a limit, 160 instances displaced all of them in 0.2 s,
# and learning took 0.35 of a processor.
_COMPARISONS_PER_SECOND = 64.0
_MAX_TOKENS = 32.0
# Relative error assumed for the load's change between two gauges.
_SLOPE_ERROR = 0.5
# A difference that deviates by more than this many standard deviations is
# given less weight.
_MAX_DEVIATIONS = 2.0
# Fullness is weighted by the inverse of this plus the interference in it.
_INTERFERENCE_OFFSET = 0.05
# By how many standard deviations the highest of one, two, three, four or more
# independently varying loads exceeds their mean (order statistics of a normal
# distribution).
EXPECTED_MAXIMA = (0.0, 0.56, 0.85, 1.03)
# Assumed share of its declared processors that a serving task uses.
_SERVING_USE = 0.5
# Headroom in standard deviations of the prediction errors.
_UNCERTAINTY_DEVIATIONS = 1.4
_MIN_UNCERTAINTY = 0.03


@dataclasses.dataclass(frozen=True)
class LearnedState:
    """What was learned about one serving image.

    Attributes
    ----------
    evidence : persimmonsail.jobs.regression.Evidence
        How other images interfere with it.
    """

    evidence: regression.Evidence


class _TokenBucket:
    """Limits the rate of comparisons of one image."""

    def __init__(self) -> None:
        self._tokens = _MAX_TOKENS
        self._read_at = 0.0

    def acquire(self, now: float) -> bool:
        """Consume one token and return whether there was one."""
        elapsed = max(now - self._read_at, 0.0)
        self._tokens += elapsed * _COMPARISONS_PER_SECOND
        self._tokens = min(self._tokens, _MAX_TOKENS)
        self._read_at = max(now, self._read_at)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Model:
    """Learns interference and loads; there is one for each leader."""

    def __init__(self) -> None:
        self._kinds = list(_PRIOR_KINDS)
        self._fits: dict[str, regression.Regression] = {}
        self._unknown_fit = self._make_fit()
        # By step and instance, the latest last.
        self._samples: dict[str, dict[str, gauges.Sample]] = {}
        self._token_buckets: dict[str, _TokenBucket] = collections.defaultdict(
            _TokenBucket
        )
        self._typical_load = loads.Summary()
        self._loads: dict[str, loads.Load] = {}
        self._prediction_errors = loads.PredictionErrors()
        self._usage_filter = gauges.UsageFilter()
        self._adapted_at = 0.0

    def _make_fit(self) -> regression.Regression:
        return regression.Regression(self._kinds, _NOISE)

    def get_coefficient(self, serving: str, best_effort: str) -> float:
        """Return how strongly one image interferes with another."""
        return self._fits.get(serving, self._unknown_fit).get(best_effort)

    def get_upper_bound(self, serving: str, best_effort: str) -> float:
        """Return the probable upper bound of a coefficient."""
        return self._fits.get(serving, self._unknown_fit).get_upper_bound(
            best_effort
        )

    def get_lower_bound(self, serving: str, best_effort: str) -> float:
        """Return the probable lower bound of a coefficient."""
        return self._fits.get(serving, self._unknown_fit).get_lower_bound(
            best_effort
        )

    def get_threshold(self) -> float:
        """Return the coefficient from which a pair counts as interfering.

        That is the geometric mean of both kinds' means.
        """
        weak, strong = self._kinds
        return math.sqrt(max(weak.mean, _MIN_MEAN) * strong.mean)

    def estimate_load(
        self, run: instances.Run, address: str, now: float
    ) -> float:
        """Return the predicted load of a serving run.

        It is read from the latest gauges of the run's own instance: an error
        in a coefficient is then corrected by the next poll, which would not
        happen with the load measured on other instances.

        Parameters
        ----------
        run : persimmonsail.jobs.instances.Run
            The serving run.
        address : str
            Its instance.
        now : float
            Seconds of the leader's clock.
        """
        load = self._loads.get(run.step_name)
        if load is None or not load.is_fresh(now):
            return self._summarize(run.step_name).mean
        value = load.value
        sample = self._samples[run.step_name].get(address)
        if sample is not None and now - sample.read_at < loads.FRESH_SECONDS:
            value = self._read_load(run.step.image, sample)
        return value + load.predict_rise()

    def estimate_uncertainty(self) -> float:
        """Return by how much a load may exceed its estimate."""
        expected = (
            self._prediction_errors.mean
            + _UNCERTAINTY_DEVIATIONS * self._prediction_errors.deviation
        )
        return max(expected, _MIN_UNCERTAINTY)

    def expect_load(self, step_name: str, step_count: int) -> float:
        """Return a step's expected load over the duration of a run.

        Parameters
        ----------
        step_name : str
            The step.
        step_count : int
            Number of steps on the instance, this one included: the more
            there are, the more likely one of them is at its peak.
        """
        summary = self._summarize(step_name)
        factor = EXPECTED_MAXIMA[
            min(max(step_count, 1), len(EXPECTED_MAXIMA)) - 1
        ]
        return summary.mean + factor * summary.deviation

    def estimate_limit(self) -> float:
        """Return the fullness at which a run just meets its target."""
        return 1 - gauges.ZERO_FULLNESS_RATIO

    def estimate_serving_use(self) -> float:
        """Return which share of their processors serving tasks use."""
        return _SERVING_USE

    def learn(self, instance: instances.Instance, now: float) -> None:
        """Update the model with an instance's latest gauges."""
        usage = self._usage_filter.update(instance, now)
        for (image, step_name), fullness in gauges.read(instance).items():
            sample = gauges.Sample(
                now, fullness, usage.shares, usage.recent_change
            )
            samples = self._samples.setdefault(step_name, {})
            samples.pop(instance.address, None)
            self._compare(image, step_name, sample)
            samples[instance.address] = sample
            self._note_load(image, step_name, instance.address, now)
        if now - self._adapted_at >= _ADAPT_SECONDS:
            self._adapted_at = now
            self._adapt_kinds()

    def _adapt_kinds(self) -> None:
        posteriors = [
            posterior
            for fit in self._fits.values()
            for posterior in fit.list_posteriors()
        ]
        self._kinds[:] = regression.adapt_kinds(
            _PRIOR_KINDS, posteriors, _PRIOR_PAIRS
        )

    def export(self) -> dict[str, LearnedState]:
        """Return what was learned about each image, for a later leader."""
        return {
            image: LearnedState(fit.export())
            for image, fit in self._fits.items()
        }

    def restore(self, learned: t.Mapping[str, LearnedState]) -> None:
        """Start from what an earlier leader has learned.

        Raises
        ------
        ValueError
            If it is inconsistent.
        """
        for image, state in learned.items():
            fit = self._make_fit()
            fit.restore(state.evidence)
            self._fits[image] = fit
        self._adapt_kinds()

    def forget(self, step_name: str) -> None:
        """Drop the samples of a step that has ended."""
        self._samples.pop(step_name, None)
        self._loads.pop(step_name, None)
        self._prediction_errors.forget(step_name)

    def _summarize(self, step_name: str) -> loads.Summary:
        load = self._loads.get(step_name)
        return load.summary if load else self._typical_load

    def _read_load(self, image: str, sample: gauges.Sample) -> float:
        return sample.fullness - self._estimate_interference(image, sample)

    def _compare(
        self, image: str, step_name: str, sample: gauges.Sample
    ) -> None:
        """Learn from the same step's gauges on other instances."""
        fit = self._fits.get(image)
        if fit is None:
            fit = self._fits[image] = self._make_fit()
        load = self._loads.get(step_name)
        slope = load.slope if load else 0.0
        others = reversed(self._samples[step_name].values())
        for other in itertools.islice(others, _MAX_COMPARED):
            gap_seconds = sample.read_at - other.read_at
            if gap_seconds > _MAX_GAP_SECONDS:
                return
            if not self._token_buckets[image].acquire(sample.read_at):
                return
            load_variance = (_SLOPE_ERROR * slope * gap_seconds) ** 2
            self._learn_difference(fit, sample, other, slope, load_variance)

    def _learn_difference(
        self,
        fit: regression.Regression,
        sample: gauges.Sample,
        other: gauges.Sample,
        slope: float,
        load_variance: float,
    ) -> None:
        """Learn from two gauges of one step.

        Parameters
        ----------
        fit : persimmonsail.jobs.regression.Regression
            The regression of the step's image.
        sample, other : persimmonsail.jobs.gauges.Sample
            The later and the earlier sample.
        slope : float
            Change of the step's load per second.
        load_variance : float
            Variance of the load's change beyond the slope.
        """
        if min(sample.fullness, other.fullness) > gauges.MAX_FULLNESS:
            return
        differences = {
            name: sample.shares.get(name, 0.0) - other.shares.get(name, 0.0)
            for name in sample.shares.keys() | other.shares.keys()
        }
        expected = sum(
            fit.get(name) * share for name, share in differences.items()
        )
        gap_seconds = sample.read_at - other.read_at
        observed = sample.fullness - other.fullness - slope * gap_seconds
        # A saturated gauge gives only a lower bound of the interference there.
        if sample.fullness > gauges.MAX_FULLNESS:
            observed = max(observed, expected)
        elif other.fullness > gauges.MAX_FULLNESS:
            observed = min(observed, expected)
        variance = gauges.measure_variance(sample, other) + load_variance
        deviations = abs(observed - expected) / math.sqrt(variance)
        confidence = (
            min(_MAX_DEVIATIONS / deviations, 1.0) if deviations else 1.0
        )
        fit.add(differences, observed, confidence * _NOISE * _NOISE / variance)

    def _note_load(
        self, image: str, step_name: str, address: str, now: float
    ) -> None:
        samples = self._samples[step_name]
        total = 0.0
        weights = 0.0
        for sample in reversed(samples.values()):
            if now - sample.read_at > _MAX_GAP_SECONDS:
                break
            interference = self._estimate_interference(image, sample)
            weight = 1 / (_INTERFERENCE_OFFSET + interference)
            total += weight * (sample.fullness - interference)
            weights += weight
        load = self._loads.get(step_name)
        if load is None:
            load = self._loads[step_name] = loads.Load(self._typical_load)
        seconds = load.note(total / weights, now)
        self._typical_load.add(load.value, seconds)
        key = (step_name, address)
        own = self._read_load(image, samples[address])
        fullness = samples[address].fullness
        if fullness <= gauges.MAX_FULLNESS:
            # Only the uncertainty near the target matters. The less full a
            # task is, the more its fullness varies with the same noise of the
            # gauges.
            weight = min(gauges.ZERO_FULLNESS_RATIO / (1 - fullness), 1.0) ** 2
            self._prediction_errors.resolve(key, own, weight, now)
        self._prediction_errors.predict(key, own + load.predict_rise(), now)

    def _estimate_interference(
        self, image: str, sample: gauges.Sample
    ) -> float:
        generation = self._fits[image].generation
        if sample.generation != generation:
            sample.generation = generation
            sample.interference = sum(
                self.get_coefficient(image, best_effort) * share
                for best_effort, share in sample.shares.items()
            )
        return sample.interference
