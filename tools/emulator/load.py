"""What callers of the emulated fleet submit."""

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
    """How much comes; the heavy jobs come in a burst once.

    Attributes
    ----------
    quick, heavy, serving : float
        Jobs a second.
    first_heavy, first_serving : int
        Jobs that are there when the day begins.
    heavy_seconds : float
        The mean duration of a heavy task at full speed.
    burst : float
        By how much more heavy jobs come in the burst's seconds.
    size : float
        How large tasks are, against those of the played deployments.
    crashing : float
        The share of jobs whose first task ends each worker's agent that
        starts it.
    """

    quick: float = 2.2
    heavy: float = 0.6
    serving: float = 0.05
    first_heavy: int = 3
    first_serving: int = 9
    heavy_seconds: float = 4.4
    burst: float = 1.4
    size: float = 1.0
    crashing: float = 0.0


# The burst's place in the day, in seconds.
_BURST = (16.0, 22.0)
# Work comes for so long.
DAY_SECONDS = 34.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job, and what each of its tasks really takes.

    Attributes
    ----------
    at : float
        When it is submitted.
    id, queue : str
        Its name, and where it belongs.
    specification : persimmonsail.jobs.specification.Specification
        What the caller says of it.
    seconds : tuple of tuple of float
        For each step and task its duration at full speed.
    crashes : bool
        Whether its first task ends each worker's agent that starts it.
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
        """The longest chain of tasks at full speed."""
        return sum(max(seconds) for seconds in self.seconds)


class Caller:
    """Draws a day's jobs.

    Parameters
    ----------
    rates : Rates
        How much comes.
    shape : tools.emulator.truth.Shape
        How the deployment behaves.
    seed : int
        Draws the jobs.
    """

    def __init__(self, rates: Rates, shape: truth.Shape, seed: int) -> None:
        self._rates = rates
        self._shape = shape
        self._random = random.Random(seed)
        # Apart from the rest, so that a day is the same but for this.
        self._harm = random.Random(f'harm {seed}')
        self._count = 0

    def draw_day(self, lead: float) -> list[Arrival]:
        """Return all jobs of a day, the earliest first.

        Parameters
        ----------
        lead : float
            How long before the day the first jobs are there, in seconds.
        """
        rates = self._rates
        day = [self._draw(-lead, SERVING) for _ in range(rates.first_serving)]
        day += [self._draw(-lead, HEAVY) for _ in range(rates.first_heavy)]
        for queue, rate in (
            (QUICK, rates.quick),
            (HEAVY, rates.heavy),
            (SERVING, rates.serving),
        ):
            day += [self._draw(at, queue) for at in self._draw_times(rate)]
        # The burst.
        begin, end = _BURST
        extra = rates.heavy * (rates.burst - 1)
        day += [
            self._draw(begin + at * (end - begin) / DAY_SECONDS, HEAVY)
            for at in self._draw_times(extra * (end - begin) / DAY_SECONDS)
        ]
        return sorted(day, key=lambda arrival: arrival.at)

    def _draw_times(self, rate: float) -> t.Iterator[float]:
        at = self._random.expovariate(rate)
        while at < DAY_SECONDS:
            yield at
            at += self._random.expovariate(rate)

    def _draw(self, at: float, queue: str) -> Arrival:
        self._count += 1
        drawn = _DRAWS[queue](self)
        steps = tuple(step for step, _ in drawn)
        return Arrival(
            at,
            f'{self._count:016x}',
            queue,
            specification.Specification('payload', steps),
            tuple(seconds for _, seconds in drawn),
            crashes=self._harm.random() < self._rates.crashing,
        )

    def _vary(self, mean: float, spread: float, most: float) -> float:
        location = math.log(mean) - spread * spread / 2
        return min(self._random.lognormvariate(location, spread), most)

    def _draw_millicores(self, mean: float, spread: float, most: float) -> int:
        return round(self._rates.size * self._vary(mean, spread, most))

    def _draw_steps(
        self,
        steps: float,
        width: tuple[float, float, float],
        seconds: tuple[float, float, float],
        make: t.Callable[..., specification.Step],
    ) -> list[tuple[specification.Step, tuple[float, ...]]]:
        mean = self._vary(*seconds)
        drawn = []
        for index in range(max(1, round(self._vary(steps, 0.4, 5.0)))):
            count = max(1, round(self._vary(*width)))
            each = tuple(
                mean * self._random.uniform(0.7, 1.3) for _ in range(count)
            )
            error = self._shape.estimate_error
            off = self._random.uniform(1 - error, 1 + error)
            step = make(
                count=count,
                estimate_ms=round(1000 * mean * off),
                after=(index - 1,) if index else (),
            )
            drawn.append((step, each))
        return drawn

    def _draw_quick(self) -> t.Any:
        size = specification.Size(
            self._draw_millicores(960, 0.45, 2900),
            round(self._vary(1900, 0.3, 3800)),
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
            round(self._vary(13000, 0.3, 26000)),
        )
        image = f'fills-{self._random.randrange(self._shape.filling_images)}'
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
        count = max(1, round(self._vary(6.0, 0.4, 12.0)))
        images = self._shape.serving_images
        step = specification.Step(
            count=count,
            size=specification.Size(
                self._draw_millicores(13000, 0.25, 20000),
                round(self._vary(26000, 0.3, 51000)),
            ),
            estimate_ms=400,
            long_running=True,
            image=f'serves-{self._random.randrange(images)}',
            latency_target_ms=self._shape.target_ms,
            most_per_instance=self._random.choice((0, 3)),
            disruption_budget=1,
        )
        return [(step, (0.4,) * count)]


_DRAWS: dict[str, t.Callable[[Caller], t.Any]] = {
    QUICK: Caller._draw_quick,
    HEAVY: Caller._draw_heavy,
    SERVING: Caller._draw_serving,
}
