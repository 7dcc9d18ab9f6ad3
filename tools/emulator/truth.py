"""The behaviour of the emulated fleet, hidden from the scheduler."""

import dataclasses
import math
import random
import typing as t


@dataclasses.dataclass(frozen=True)
class Shape:
    """The behaviour of one deployment.

    Attributes
    ----------
    base_latency_ms : float
        A serving task's tail latency without load.
    target_factor : float
        Its target, as a multiple of the base latency.
    mean_load, load_variation : float
        A serving task's mean load, and the amplitude of its variation
        relative to the mean.
    load_period_seconds : float
        The period of the variation.
    interfering_share : float
        The share of all pairs of images that interfere strongly.
    stop_seconds, restore_seconds : float
        The time to stop a run, and to resume from a checkpoint.
    estimate_error : float
        The maximum relative error of duration estimates.
    strength, strength_spread : float
        If a spread is given, coefficients of interfering pairs are drawn
        around this strength without a gap to the others: the spread is
        the standard deviation of their logarithm.
    waveform : str
        The form of load variation, a key of ``WAVEFORMS``.
    serving_images, best_effort_images : int
        The number of images of either kind.
    serving_use : float
        The share of its declared processors that a serving task uses at
        full load.
    gauge_noise, outlier_share : float
        The relative noise of gauges, and the share of them that are off
        by half.
    lag_seconds : float
        The delay with which a tail latency follows its causes.
    checkpoint_seconds : float
        The seconds of work between two checkpoints of a task.
    """

    base_latency_ms: float = 4.0
    target_factor: float = 4.5
    mean_load: float = 0.42
    load_variation: float = 0.5
    load_period_seconds: float = 10.0
    interfering_share: float = 0.33
    stop_seconds: float = 0.2
    restore_seconds: float = 0.1
    estimate_error: float = 0.2
    strength: float = 1.5
    strength_spread: float = 0.0
    waveform: str = 'sine'
    serving_images: int = 5
    best_effort_images: int = 9
    serving_use: float = 1.0
    gauge_noise: float = 0.05
    outlier_share: float = 0.08
    lag_seconds: float = 0.45
    checkpoint_seconds: float = 1.0

    @property
    def target_ms(self) -> int:
        """The latency that a serving task must stay below."""
        return round(self.base_latency_ms * self.target_factor)


# Of 80 pairs of images on a known deployment, a third had coefficients between
# 1.1 and 2.6, the others below 0.5.
_STRONG_COEFFICIENTS = (1.1, 2.5)
_WEAK_COEFFICIENTS = (0.0, 0.45)
_MAX_FULLNESS = 0.985
_OUTLIER_FACTOR = 1.5
# The strength of a weakly interfering pair, relative to a strong one.
_WEAK_STRENGTH_SHARE = 0.08
_STEEPNESS = 6.0

Waveform = t.Callable[[float], float]
# Forms of load variation by name: functions from periods to -1 ... 1.
WAVEFORMS: dict[str, Waveform] = {}


def register(name: str) -> t.Callable[[Waveform], Waveform]:
    """Register a form of load variation that a shape may name."""

    def decorate(waveform: Waveform) -> Waveform:
        WAVEFORMS[name] = waveform
        return waveform

    return decorate


@register('sine')
def _vary_as_sine(periods: float) -> float:
    return math.sin(2 * math.pi * periods)


@register('steps')
def _vary_in_steps(periods: float) -> float:
    """Stay high or low, and change within a tenth of a period."""
    return math.tanh(_STEEPNESS * math.sin(2 * math.pi * periods))


@register('mixed')
def _vary_at_two_frequencies(periods: float) -> float:
    slow = math.sin(2 * math.pi * periods)
    fast = math.sin(2 * math.pi * periods * 2.7 + 1.0)
    return 0.7 * slow + 0.3 * fast


class Truth:
    """The true interference between images, and the true loads.

    Parameters
    ----------
    shape : Shape
        The deployment's behaviour.
    seed : int
        Seeds everything that the shape leaves open.
    """

    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape = shape
        self._random = random.Random(seed)
        self._coefficients: dict[tuple[str, str], float] = {}
        self._phases: dict[str, float] = {}

    def get_coefficient(self, serving: str, best_effort: str) -> float:
        """Return how strongly one image actually interferes with another."""
        pair = (serving, best_effort)
        if pair not in self._coefficients:
            self._coefficients[pair] = self._draw_coefficient()
        return self._coefficients[pair]

    def _draw_coefficient(self) -> float:
        shape = self.shape
        interferes = self._random.random() < shape.interfering_share
        if not shape.strength_spread:
            return self._random.uniform(
                *(_STRONG_COEFFICIENTS if interferes else _WEAK_COEFFICIENTS)
            )
        strength = shape.strength * (
            1.0 if interferes else _WEAK_STRENGTH_SHARE
        )
        return strength * self._random.lognormvariate(
            0.0, shape.strength_spread
        )

    def measure_load(self, step_name: str, now: float) -> float:
        """Return the load of a serving step's tasks."""
        if step_name not in self._phases:
            self._phases[step_name] = self._random.random()
        periods = (
            now / self.shape.load_period_seconds + self._phases[step_name]
        )
        variation = self.shape.load_variation * WAVEFORMS[self.shape.waveform](
            periods
        )
        return self.shape.mean_load * (1 + variation)

    def measure_latency(self, fullness: float) -> float:
        """Return the tail latency of a task with this fullness."""
        return self.shape.base_latency_ms / (1 - min(fullness, _MAX_FULLNESS))

    def read_gauge(self, latency: float) -> float:
        """Return a latency as an agent reports it, with its error."""
        noise = self._random.gauss(0.0, self.shape.gauge_noise)
        if self._random.random() < self.shape.outlier_share:
            latency *= _OUTLIER_FACTOR
        return max(1.0, latency * math.exp(noise))
