"""Randomly drawn deployments, on which decisions are judged.

A decision that is tuned to the known deployments earns less on others.
Everything that differs between deployments is drawn from a wide range
here: load variation, the ratio of targets to base latencies, how many
pairs of images interfere and how strongly, the accuracy and delay of
gauges, the size of instances, the error of estimates, and faults.
"""

import dataclasses
import math
import random
import typing as t

from tools.emulator import faults as faults_module
from tools.emulator import load
from tools.emulator import truth

# Mean instance sizes of the known deployments, in cores.
KNOWN_CORES = (64, 64, 96, 64, 64, 96, 64, 64, 96, 64, 64)
_KNOWN_INSTANCE_CORES = 64
# Headroom of a serving task without interference at its load peak, below the
# fullness at which it misses its target: without it, no policy could meet the
# target.
_MIN_PEAK_HEADROOM = 0.08
_MAX_FAULTS = 4


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One deployment and its faults.

    Attributes
    ----------
    shape : tools.emulator.truth.Shape
        Its behaviour.
    rates : tools.emulator.load.Rates
        Its workload.
    cores : tuple of int
        The processors of each instance.
    faults : tuple of tools.emulator.faults.Fault
        The faults of its day.
    """

    shape: truth.Shape
    rates: load.Rates
    cores: tuple[int, ...] = KNOWN_CORES
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
    """Draw a deployment where tasks crash agents and capacities vary."""
    base = draw(seed)
    rng = random.Random(f'harmed {seed}')
    shrink_faults = tuple(
        faults_module.Fault(
            kind='shrink',
            at=rng.uniform(0.0, load.DAY_SECONDS),
            seconds=rng.uniform(3.0, 9.0),
            index=index,
            strength=rng.uniform(1.2, 3.0),
        )
        for index in rng.sample(range(len(base.cores)), 3)
    )
    return dataclasses.replace(
        base,
        rates=dataclasses.replace(
            base.rates, crashing_share=rng.uniform(0.01, 0.04)
        ),
        faults=base.faults + shrink_faults,
    )


def _draw_cores(rng: random.Random) -> tuple[int, ...]:
    regular = rng.choice((16, 32, 64, 96, 128))
    large = round(regular * rng.uniform(1.0, 2.0))
    return tuple(
        large if rng.random() < 0.3 else regular
        for _ in range(rng.randint(8, 16))
    )


def _draw_shape(rng: random.Random) -> truth.Shape:
    target_factor = _draw_log_uniform(rng, 2.0, 9.0)
    load_variation = rng.uniform(0.0, 0.8)
    max_mean_load = (1 - 1 / target_factor - _MIN_PEAK_HEADROOM) / (
        1 + load_variation
    )
    return truth.Shape(
        base_latency_ms=_draw_log_uniform(rng, 2.0, 40.0),
        target_factor=target_factor,
        mean_load=rng.uniform(0.3, 1.0) * min(max_mean_load, 0.7),
        load_variation=load_variation,
        load_period_seconds=_draw_log_uniform(rng, 4.0, 40.0),
        interfering_share=rng.uniform(0.1, 0.7),
        stop_seconds=rng.uniform(0.1, 0.5),
        restore_seconds=rng.uniform(0.1, 0.8),
        estimate_error=rng.uniform(0.1, 0.9),
        strength=_draw_log_uniform(rng, 0.5, 4.0),
        strength_spread=rng.uniform(0.2, 0.9),
        waveform=rng.choice(sorted(truth.WAVEFORMS)),
        serving_images=rng.randint(2, 10),
        best_effort_images=rng.randint(3, 18),
        serving_use=rng.uniform(0.6, 1.3),
        gauge_noise=rng.uniform(0.02, 0.1),
        outlier_share=rng.uniform(0.0, 0.12),
        lag_seconds=_draw_log_uniform(rng, 0.15, 0.9),
        checkpoint_seconds=rng.uniform(0.5, 2.5),
    )


def _draw_rates(rng: random.Random, cores: t.Sequence[int]) -> load.Rates:
    """Draw rates that load the fleet about as much as any other."""
    capacity_factor = sum(cores) / sum(KNOWN_CORES)
    # The same total load comes from more tasks or from larger ones.
    size_factor = min(capacity_factor, 1.0) ** rng.uniform(0.3, 1.0)
    size_factor = min(size_factor, min(cores) / _KNOWN_INSTANCE_CORES)
    rate_factor = capacity_factor / size_factor
    heavy_seconds = _draw_log_uniform(rng, 2.0, 10.0)
    return load.Rates(
        quick=rate_factor * rng.uniform(1.0, 4.0),
        heavy=rate_factor * rng.uniform(0.35, 0.75) * 5.0 / heavy_seconds,
        serving=rate_factor * rng.uniform(0.01, 0.06),
        first_heavy=round(rate_factor * 3),
        first_serving=round(rate_factor * rng.uniform(4, 9)),
        heavy_seconds=heavy_seconds,
        burst=rng.uniform(1.0, 3.0),
        size=size_factor,
    )


def _draw_faults(
    rng: random.Random, count: int
) -> tuple[faults_module.Fault, ...]:
    return tuple(
        faults_module.Fault(
            kind=rng.choice(faults_module.DRAWN_KINDS),
            at=rng.uniform(0.0, load.DAY_SECONDS),
            seconds=rng.uniform(3.0, 9.0),
            index=rng.randrange(count),
            strength=rng.uniform(3.0, 9.0),
        )
        for _ in range(rng.randint(0, _MAX_FAULTS))
    )


def _draw_log_uniform(rng: random.Random, low: float, high: float) -> float:
    """Draw from a log-uniform distribution."""
    return math.exp(rng.uniform(math.log(low), math.log(high)))
