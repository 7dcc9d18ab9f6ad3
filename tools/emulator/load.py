"""The workload that callers submit to the emulated fleet."""

import dataclasses
import math
import random
import typing as t

from persimmonsail.jobs import queues
from persimmonsail.jobs import specification
from tools.emulator import truth

SERVICE = 'planner'
QUICK = 'check'
HEAVY = 'build'
SERVING = 'watch'


def _make_queue(
    name: str, priority: int, slack: float, target_ms: int
) -> queues.Queue:
    return queues.Queue(
        name=name,
        host='jobs',
        prefix=f'/{name}/',
        service=SERVICE,
        priority=priority,
        max_attempts=4,
        slack_factor=slack,
        target_ms=target_ms,
    )


QUEUES = {
    queue.name: queue
    for queue in (
        _make_queue(QUICK, 0, 1.5, 250),
        _make_queue(HEAVY, 2, 2.0, 1000),
        _make_queue(SERVING, 0, 2.2, 2500),
    )
}


@dataclasses.dataclass(frozen=True)
class Rates:
    """The rates of arriving jobs; heavy ones also come in one burst.

    Attributes
    ----------
    quick, heavy, serving : float
        Jobs per second.
    first_heavy, first_serving : int
        Jobs that are submitted before the day begins.
    heavy_seconds : float
        The mean duration of a heavy task at full speed.
    burst : float
        The factor by which the rate of heavy jobs rises in the burst.
    size : float
        The size of tasks, relative to those of the known deployments.
    crashing_share : float
        The share of jobs whose first task crashes each agent that starts
        it.
    """

    quick: float = 2.2
    heavy: float = 0.6
    serving: float = 0.05
    first_heavy: int = 3
    first_serving: int = 9
    heavy_seconds: float = 4.4
    burst: float = 1.4
    size: float = 1.0
    crashing_share: float = 0.0


# Begin and end of the burst, in seconds of the day.
_BURST_SECONDS = (16.0, 22.0)
# Jobs arrive for this long.
DAY_SECONDS = 34.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job and the actual durations of its tasks.

    Attributes
    ----------
    at : float
        When it is submitted.
    id, queue : str
        Its name and its queue.
    specification : persimmonsail.jobs.specification.Specification
        What the caller declares.
    seconds : tuple of tuple of float
        The duration of each task at full speed, by step.
    crashes : bool
        Whether its first task crashes each agent that starts it.
    """

    at: float
    id: str
    queue: str
    specification: specification.Specification
    seconds: tuple[tuple[float, ...], ...]
    crashes: bool = False

    @property
    def work(self) -> float:
        """The job's work in core-seconds."""
        return sum(
            sum(seconds) * step.size.millicores / 1000
            for step, seconds in zip(
                self.specification.steps, self.seconds, strict=True
            )
        )

    @property
    def path_seconds(self) -> float:
        """The duration of the longest chain of tasks at full speed."""
        return sum(max(seconds) for seconds in self.seconds)


class Caller:
    """Draws a day's jobs.

    Parameters
    ----------
    rates : Rates
        The rates of arriving jobs.
    shape : tools.emulator.truth.Shape
        The deployment's behaviour.
    seed : int
        Seeds the jobs.
    """

    def __init__(self, rates: Rates, shape: truth.Shape, seed: int) -> None:
        self._rates = rates
        self._shape = shape
        self._random = random.Random(seed)
        # A separate generator, so that crashes change nothing else in a day.
        self._crash_random = random.Random(f'harm {seed}')
        self._count = 0

    def draw_day(self, lead_seconds: float) -> list[Arrival]:
        """Return all jobs of a day, the earliest first.

        Parameters
        ----------
        lead_seconds : float
            How long before the day the first jobs are submitted.
        """
        rates = self._rates
        arrivals = [
            self._draw(-lead_seconds, SERVING)
            for _ in range(rates.first_serving)
        ]
        arrivals += [
            self._draw(-lead_seconds, HEAVY) for _ in range(rates.first_heavy)
        ]
        for queue, rate in (
            (QUICK, rates.quick),
            (HEAVY, rates.heavy),
            (SERVING, rates.serving),
        ):
            arrivals += [
                self._draw(at, queue) for at in self._draw_times(rate)
            ]
        # The additional jobs of the burst.
        begin, end = _BURST_SECONDS
        extra = rates.heavy * (rates.burst - 1)
        arrivals += [
            self._draw(begin + at * (end - begin) / DAY_SECONDS, HEAVY)
            for at in self._draw_times(extra * (end - begin) / DAY_SECONDS)
        ]
        return sorted(arrivals, key=lambda arrival: arrival.at)

    def _draw_times(self, rate: float) -> t.Iterator[float]:
        at = self._random.expovariate(rate)
        while at < DAY_SECONDS:
            yield at
            at += self._random.expovariate(rate)

    def _draw(self, at: float, queue: str) -> Arrival:
        self._count += 1
        drawn = _DRAW_STEPS[queue](self)
        steps = tuple(step for step, _ in drawn)
        return Arrival(
            at,
            f'{self._count:016x}',
            queue,
            specification.Specification('payload', steps),
            tuple(seconds for _, seconds in drawn),
            crashes=self._crash_random.random() < self._rates.crashing_share,
        )

    def _draw_lognormal(
        self, mean: float, deviation: float, max_value: float
    ) -> float:
        location = math.log(mean) - deviation * deviation / 2
        return min(self._random.lognormvariate(location, deviation), max_value)

    def _draw_millicores(
        self, mean: float, deviation: float, max_value: float
    ) -> int:
        return round(
            self._rates.size * self._draw_lognormal(mean, deviation, max_value)
        )

    def _draw_steps(
        self,
        mean_steps: float,
        counts: tuple[float, float, float],
        durations: tuple[float, float, float],
        make_step: t.Callable[..., specification.Step],
    ) -> list[tuple[specification.Step, tuple[float, ...]]]:
        mean_seconds = self._draw_lognormal(*durations)
        drawn = []
        for index in range(
            max(1, round(self._draw_lognormal(mean_steps, 0.4, 5.0)))
        ):
            count = max(1, round(self._draw_lognormal(*counts)))
            task_seconds = tuple(
                mean_seconds * self._random.uniform(0.7, 1.3)
                for _ in range(count)
            )
            error = self._shape.estimate_error
            error_factor = self._random.uniform(1 - error, 1 + error)
            step = make_step(
                count=count,
                estimate_ms=round(1000 * mean_seconds * error_factor),
                after=(index - 1,) if index else (),
            )
            drawn.append((step, task_seconds))
        return drawn

    def _draw_quick(self) -> t.Any:
        size = specification.Size(
            self._draw_millicores(960, 0.45, 2900),
            round(self._draw_lognormal(1900, 0.3, 3800)),
        )
        return self._draw_steps(
            1.6,
            (6.0, 0.8, 36.0),
            (2.0, 0.5, 5.0),
            lambda **fields: specification.Step(size=size, **fields),
        )

    def _draw_heavy(self) -> t.Any:
        size = specification.Size(
            self._draw_millicores(7000, 0.3, 14000),
            round(self._draw_lognormal(13000, 0.3, 26000)),
        )
        image = (
            f'fills-{self._random.randrange(self._shape.best_effort_images)}'
        )
        return self._draw_steps(
            2.0,
            (8.0, 0.6, 32.0),
            (self._rates.heavy_seconds, 0.5, 2.5 * self._rates.heavy_seconds),
            lambda **fields: specification.Step(
                size=size,
                image=image,
                best_effort_cpu=True,
                checkpoints=True,
                **fields,
            ),
        )

    def _draw_serving(self) -> t.Any:
        count = max(1, round(self._draw_lognormal(6.0, 0.4, 12.0)))
        images = self._shape.serving_images
        step = specification.Step(
            count=count,
            size=specification.Size(
                self._draw_millicores(13000, 0.25, 20000),
                round(self._draw_lognormal(26000, 0.3, 51000)),
            ),
            estimate_ms=400,
            long_running=True,
            image=f'serves-{self._random.randrange(images)}',
            latency_target_ms=self._shape.target_ms,
            most_per_instance=self._random.choice((0, 3)),
            disruption_budget=1,
        )
        return [(step, (0.4,) * count)]


_DRAW_STEPS: dict[str, t.Callable[[Caller], t.Any]] = {
    QUICK: Caller._draw_quick,
    HEAVY: Caller._draw_heavy,
    SERVING: Caller._draw_serving,
}
