"""Deployments drawn at random, on which decisions are judged.

A decision that is tuned to the deployments at hand earns less on others.
Everything that differs between deployments is drawn from a wide range
here: how loads swing, how close targets are to a task's own latency, how
many pairs of images press and how much, what gauges tell, how large
instances are, how far estimates are off, and what fails.
"""

import dataclasses
import math
import random
import typing as t

from tools.emulator import faults as faults_module
from tools.emulator import load
from tools.emulator import truth

# The mean sizes of the played deployments, in cores.
PLAYED_CORES = (64, 64, 96, 64, 64, 96, 64, 64, 96, 64, 64)
_SHAPE_CORES = 64
# At the peak of its load a serving task alone stays so far below the
# point where it misses its target; else no policy could help it.
_LEAST_ROOM = 0.08
_FAULTS_MOST = 4


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One deployment, and what fails there.

    Attributes
    ----------
    shape : tools.emulator.truth.Shape
        How it behaves.
    rates : tools.emulator.load.Rates
        What comes.
    cores : tuple of int
        The processors of each instance.
    faults : tuple of tools.emulator.faults.Fault
        What fails on its day.
    """

    shape: truth.Shape
    rates: load.Rates
    cores: tuple[int, ...] = PLAYED_CORES
    faults: tuple[faults_module.Fault, ...] = ()


def draw(seed: int) -> Deployment:
    """Draw a deployment."""
    rng = random.Random(f'deployment {seed}')
    cores = _draw_cores(rng)
    return Deployment(
        shape=_draw_shape(rng),
        rates=_draw_rates(rng, cores),
        cores=cores,
        faults=_draw_faults(rng, len(cores)),
    )


def draw_harmed(seed: int) -> Deployment:
    """Draw a deployment where tasks end agents and rooms swing, too."""
    usual = draw(seed)
    rng = random.Random(f'harmed {seed}')
    shrinks = tuple(
        faults_module.Fault(
            kind='shrink',
            at=rng.uniform(0.0, load.DAY_SECONDS),
            seconds=rng.uniform(3.0, 9.0),
            index=index,
            strength=rng.uniform(1.2, 3.0),
        )
        for index in rng.sample(range(len(usual.cores)), 3)
    )
    return dataclasses.replace(
        usual,
        rates=dataclasses.replace(
            usual.rates, crashing=rng.uniform(0.01, 0.04)
        ),
        faults=usual.faults + shrinks,
    )


def _draw_cores(rng: random.Random) -> tuple[int, ...]:
    usual = rng.choice((16, 32, 64, 96, 128))
    large = round(usual * rng.uniform(1.0, 2.0))
    return tuple(
        large if rng.random() < 0.3 else usual
        for _ in range(rng.randint(8, 16))
    )


def _draw_shape(rng: random.Random) -> truth.Shape:
    target_factor = _draw_between(rng, 2.0, 9.0)
    swing = rng.uniform(0.0, 0.8)
    highest = (1 - 1 / target_factor - _LEAST_ROOM) / (1 + swing)
    return truth.Shape(
        own_ms=_draw_between(rng, 2.0, 40.0),
        target_factor=target_factor,
        mean_load=rng.uniform(0.3, 1.0) * min(highest, 0.7),
        swing=swing,
        swing_seconds=_draw_between(rng, 4.0, 40.0),
        pressing_share=rng.uniform(0.1, 0.7),
        stop_seconds=rng.uniform(0.1, 0.5),
        restore_seconds=rng.uniform(0.1, 0.8),
        estimate_error=rng.uniform(0.1, 0.9),
        strength=_draw_between(rng, 0.5, 4.0),
        strength_spread=rng.uniform(0.2, 0.9),
        wave=rng.choice(sorted(truth.WAVES)),
        serving_images=rng.randint(2, 10),
        filling_images=rng.randint(3, 18),
        serving_use=rng.uniform(0.6, 1.3),
        gauge_noise=rng.uniform(0.02, 0.1),
        outlier_share=rng.uniform(0.0, 0.12),
        lag_seconds=_draw_between(rng, 0.15, 0.9),
        checkpoint_seconds=rng.uniform(0.5, 2.5),
    )


def _draw_rates(rng: random.Random, cores: t.Sequence[int]) -> load.Rates:
    """Draw what comes; as a whole it fills the fleet about as elsewhere."""
    size = sum(cores) / sum(PLAYED_CORES)
    # Either more tasks, or larger ones.
    larger = min(size, 1.0) ** rng.uniform(0.3, 1.0)
    larger = min(larger, min(cores) / _SHAPE_CORES)
    many = size / larger
    heavy_seconds = _draw_between(rng, 2.0, 10.0)
    return load.Rates(
        quick=many * rng.uniform(1.0, 4.0),
        heavy=many * rng.uniform(0.35, 0.75) * 5.0 / heavy_seconds,
        serving=many * rng.uniform(0.01, 0.06),
        first_heavy=round(many * 3),
        first_serving=round(many * rng.uniform(4, 9)),
        heavy_seconds=heavy_seconds,
        burst=rng.uniform(1.0, 3.0),
        size=larger,
    )


def _draw_faults(
    rng: random.Random, count: int
) -> tuple[faults_module.Fault, ...]:
    return tuple(
        faults_module.Fault(
            kind=rng.choice(faults_module.USUAL),
            at=rng.uniform(0.0, load.DAY_SECONDS),
            seconds=rng.uniform(3.0, 9.0),
            index=rng.randrange(count),
            strength=rng.uniform(3.0, 9.0),
        )
        for _ in range(rng.randint(0, _FAULTS_MOST))
    )


def _draw_between(rng: random.Random, low: float, high: float) -> float:
    """Draw a value whose logarithm is spread evenly."""
    return math.exp(rng.uniform(math.log(low), math.log(high)))
