"""How much best-effort tasks slow the tasks that serve beside them.

The tail latency of a serving task behaves as in a queue: a latency of
its own, divided by what its load and the pressure beside it leave free.
So a gauge, against the target, tells how full a task is: by its load, and
for each image that runs beside it by a coefficient times the part of the
instance's processors that it uses. The load swings within seconds, but
alike for all tasks of one step; what differs between two instances at
the same time is the pressure, and from such differences coefficients are
learnt.

Load pattern: deployments differ in how many pairs of images press and how
much, in how loads swing, and in how close targets are to a task's own
latency. So none of that is a constant here: coefficients begin with a wide
guess that follows what was seen of other pairs, and what is kept free
below a target is by how much predictions were off lately.
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

# What is thought of a pair before any was seen: most hardly press, and
# the others by any amount.
_PRIOR_KINDS = (
    regression.Kind(share=0.6, mean=0.15, deviation=0.2),
    regression.Kind(share=0.4, mean=1.6, deviation=1.0),
)
# The guess weighs as much as so many pairs.
_PRIOR_PAIRS = 4.0
# A kind whose mean is lower presses on nothing; 0 has no factor to others.
_LEAST_MEAN = 0.002
# Kinds follow the pairs that were seen so often: a pair is told from others
# within seconds.
_ADAPT_SECONDS = 0.6
# Two gauges of one step differ by so much without any cause, where they
# are just at the target's unit of fullness.
_NOISE = 0.15
# Two gauges of one step are compared when they are no further apart: the
# load changes little meanwhile.
_TOGETHER_SECONDS = 0.45
# A gauge is compared with no more than so many others, the latest: each
# difference after the first few tells little that these don't.
_MOST_COMPARED = 4
# Comparisons of one image in a second. An image that serves on 4 instances
# has about as many, so that what is remembered spans 15 s on a fleet of
# any size: without a bound 160 instances forgot all of it in 0.2 s, and
# learning took 0.35 of a processor.
_COMPARED_A_SECOND = 64.0
_MOST_SAVED_UP = 32.0
# Half of how a load moved between two gauges may be wrong.
_SLOPE_DOUBT = 0.5
# A difference that is further off than so many deviations counts less.
_WIDEST = 2.0
# Fullness is weighed by the inverse of this and the pressure in it.
_PRESSURE_DOUBT = 0.05
# By how many deviations the highest of one, two, three, four or more
# loads that swing alone exceeds their mean (order statistics of a normal
# distribution).
HIGHEST = (0.0, 0.56, 0.85, 1.03)
# A serving task is thought to use this part of the processors that it
# declares. To learn it from instances that are full was worth nothing
# (emulator, 12 days of known shapes and 16 drawn: +0.004 +-0.006 and +0.001
# +-0.001 without it).
_USED_PART = 0.5
# What is kept free is so many deviations of what predictions missed by:
# one in twelve was further off (emulator, 28 drawn deployments: worth
# 0.852 with 1.0, 0.864 with 1.6, 0.840 with 2.4; on known shapes 1.0 and
# 1.4 are alike).
_SURE = 1.4
_LEAST_DOUBT = 0.03


@dataclasses.dataclass(frozen=True)
class Knowledge:
    """What is known of one image that serves.

    Attributes
    ----------
    evidence : persimmonsail.jobs.regression.Evidence
        How other images press on it.
    """

    evidence: regression.Evidence


class _Allowance:
    """How many more comparisons of one image may be made now."""

    def __init__(self) -> None:
        self._left = _MOST_SAVED_UP
        self._read_at = 0.0

    def take(self, now: float) -> bool:
        """Use one, if there is one."""
        passed = max(now - self._read_at, 0.0)
        self._left += passed * _COMPARED_A_SECOND
        self._left = min(self._left, _MOST_SAVED_UP)
        self._read_at = max(now, self._read_at)
        if self._left < 1:
            return False
        self._left -= 1
        return True


class Model:
    """What is learnt of images; one for the leader."""

    def __init__(self) -> None:
        self._kinds = list(_PRIOR_KINDS)
        self._fits: dict[str, regression.Regression] = {}
        self._unknown = self._make_fit()
        # By step and instance; the latest are last.
        self._samples: dict[str, dict[str, gauges.Sample]] = {}
        self._allowances: dict[str, _Allowance] = collections.defaultdict(
            _Allowance
        )
        self._usual = loads.Summary()
        self._loads: dict[str, loads.Load] = {}
        self._surprise = loads.Surprise()
        self._pressing = gauges.Pressing()
        self._adapted_at = 0.0

    def _make_fit(self) -> regression.Regression:
        return regression.Regression(self._kinds, _NOISE)

    def get_coefficient(self, serving: str, filling: str) -> float:
        """Return how much one image presses on another."""
        return self._fits.get(serving, self._unknown).get(filling)

    def get_bound(self, serving: str, filling: str) -> float:
        """Return how much one image may press on another at the most."""
        return self._fits.get(serving, self._unknown).get_bound(filling)

    def get_least(self, serving: str, filling: str) -> float:
        """Return how much one image presses on another at the least."""
        return self._fits.get(serving, self._unknown).get_least(filling)

    def get_threshold(self) -> float:
        """Return from which coefficient on a pair presses.

        That is half way between both kinds, by factors.
        """
        faint, strong = self._kinds
        return math.sqrt(max(faint.mean, _LEAST_MEAN) * strong.mean)

    def estimate_load(
        self, run: instances.Run, address: str, now: float
    ) -> float:
        """Return what a serving run's load will be in a moment.

        Read from its own instance's last gauges: what a coefficient is
        wrong by is then made good by the next look, as it would not be
        with the load that other instances show.

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

    def estimate_doubt(self) -> float:
        """Return by how much a load may exceed what was estimated."""
        expected = self._surprise.mean + _SURE * self._surprise.deviation
        return max(expected, _LEAST_DOUBT)

    def expect_load(self, step_name: str, beside: int) -> float:
        """Return what a step's load will be while a run lasts.

        Parameters
        ----------
        step_name : str
            The step.
        beside : int
            How many steps there are on the instance, this one included:
            the more there are, the likelier one is at its highest.
        """
        summary = self._summarize(step_name)
        factor = HIGHEST[min(max(beside, 1), len(HIGHEST)) - 1]
        return summary.mean + factor * summary.deviation

    def estimate_limit(self) -> float:
        """Return the fullness at which a run just meets its target."""
        return 1 - gauges.UNIT_PART

    def estimate_use(self) -> float:
        """Return which part of their processors serving tasks use."""
        return _USED_PART

    def learn(self, instance: instances.Instance, now: float) -> None:
        """Take an instance's latest gauges in."""
        pressing = self._pressing.follow(instance, now)
        for (image, step_name), fullness in gauges.read(instance).items():
            sample = gauges.Sample(
                now, fullness, pressing.parts, pressing.changed
            )
            known = self._samples.setdefault(step_name, {})
            known.pop(instance.address, None)
            self._compare(image, step_name, sample)
            known[instance.address] = sample
            self._note_load(image, step_name, instance.address, now)
        if now - self._adapted_at >= _ADAPT_SECONDS:
            self._adapted_at = now
            self._adapt_kinds()

    def _adapt_kinds(self) -> None:
        beliefs = [
            belief
            for fit in self._fits.values()
            for belief in fit.list_beliefs()
        ]
        self._kinds[:] = regression.adapt_kinds(
            _PRIOR_KINDS, beliefs, _PRIOR_PAIRS
        )

    def export(self) -> dict[str, Knowledge]:
        """Return what is known of each image, for a later leader."""
        return {
            image: Knowledge(fit.export()) for image, fit in self._fits.items()
        }

    def restore(self, known: t.Mapping[str, Knowledge]) -> None:
        """Begin with what an earlier leader has learnt.

        Raises
        ------
        ValueError
            If it makes no sense.
        """
        for image, knowledge in known.items():
            fit = self._make_fit()
            fit.restore(knowledge.evidence)
            self._fits[image] = fit
        self._adapt_kinds()

    def forget(self, step_name: str) -> None:
        """Drop the gauges of a step that has ended."""
        self._samples.pop(step_name, None)
        self._loads.pop(step_name, None)
        self._surprise.forget(step_name)

    def _summarize(self, step_name: str) -> loads.Summary:
        load = self._loads.get(step_name)
        return load.summary if load else self._usual

    def _read_load(self, image: str, sample: gauges.Sample) -> float:
        return sample.fullness - self._press(image, sample)

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
        for other in itertools.islice(others, _MOST_COMPARED):
            apart = sample.read_at - other.read_at
            if apart > _TOGETHER_SECONDS:
                return
            if not self._allowances[image].take(sample.read_at):
                return
            doubt = (_SLOPE_DOUBT * slope * apart) ** 2
            self._learn_difference(fit, sample, other, slope, doubt)

    def _learn_difference(
        self,
        fit: regression.Regression,
        sample: gauges.Sample,
        other: gauges.Sample,
        slope: float,
        doubt: float,
    ) -> None:
        """Learn from two gauges of one step.

        Parameters
        ----------
        fit : persimmonsail.jobs.regression.Regression
            Of the step's image.
        sample, other : persimmonsail.jobs.gauges.Sample
            The later one and the one before it.
        slope : float
            How the step's load changes in a second.
        doubt : float
            By how much the load may have changed otherwise, squared.
        """
        if min(sample.fullness, other.fullness) > gauges.FULL:
            return
        differences = {
            name: sample.parts.get(name, 0.0) - other.parts.get(name, 0.0)
            for name in sample.parts.keys() | other.parts.keys()
        }
        expected = sum(
            fit.get(name) * part for name, part in differences.items()
        )
        apart = sample.read_at - other.read_at
        seen = sample.fullness - other.fullness - slope * apart
        # A gauge that is full shows the least that presses there.
        if sample.fullness > gauges.FULL:
            seen = max(seen, expected)
        elif other.fullness > gauges.FULL:
            seen = min(seen, expected)
        variance = gauges.measure_variance(sample, other) + doubt
        surprise = abs(seen - expected) / math.sqrt(variance)
        trust = min(_WIDEST / surprise, 1.0) if surprise else 1.0
        fit.add(differences, seen, trust * _NOISE * _NOISE / variance)

    def _note_load(
        self, image: str, step_name: str, address: str, now: float
    ) -> None:
        known = self._samples[step_name]
        total = 0.0
        weights = 0.0
        for sample in reversed(known.values()):
            if now - sample.read_at > _TOGETHER_SECONDS:
                break
            pressure = self._press(image, sample)
            weight = 1 / (_PRESSURE_DOUBT + pressure)
            total += weight * (sample.fullness - pressure)
            weights += weight
        load = self._loads.get(step_name)
        if load is None:
            load = self._loads[step_name] = loads.Load(self._usual)
        seconds = load.note(total / weights, now)
        self._usual.add(load.value, seconds)
        key = (step_name, address)
        own = self._read_load(image, known[address])
        fullness = known[address].fullness
        if fullness <= gauges.FULL:
            # What counts is the doubt near the target; the emptier a task,
            # the more its fullness scatters with the same gauges.
            weight = min(gauges.UNIT_PART / (1 - fullness), 1.0) ** 2
            self._surprise.settle(key, own, weight, now)
        self._surprise.predict(key, own + load.predict_rise(), now)

    def _press(self, image: str, sample: gauges.Sample) -> float:
        generation = self._fits[image].generation
        if sample.generation != generation:
            sample.generation = generation
            sample.pressure = sum(
                self.get_coefficient(image, filling) * part
                for filling, part in sample.parts.items()
            )
        return sample.pressure
