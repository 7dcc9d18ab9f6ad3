"""The whole fleet as vectors, to rate it for one step at once.

Load pattern: a burst of heavy jobs leaves a hundred steps waiting on a
fleet of hundreds of instances, and each round of placing asks for each of
them how fast a task would work on each instance. One after the other that
took the leader half of its processor at 160 instances, and it lost its
term; as vectors a step takes 0.1 ms there. What is known of an instance is
read again only when its runs or gauges have changed.
"""

import typing as t

import numpy

from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import specification

# Loads swing within seconds; without a report from an instance they are
# read again after this time, about that between two reports.
_FRESH_SECONDS = 0.5
# Kept free below the point where a serving task misses its target; while
# a run lasts, its pace follows what happens, so that little is needed.
_MARGIN = 0.03
# Columns to begin with: images, and steps that serve on one instance.
_COLUMNS = 8


class _Names:
    """Numbers names in the order in which they are first seen."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}

    def find(self, name: str) -> int:
        """Return a name's number."""
        return self._numbers.setdefault(name, len(self._numbers))

    def __iter__(self) -> t.Iterator[str]:
        return iter(self._numbers)

    def __len__(self) -> int:
        return len(self._numbers)


class Places:
    """What a leader knows of its instances, an array for each property.

    Rows are instances in the order of the fleet. Call ``refresh`` at the
    start of each round.

    Attributes
    ----------
    fleet : list of persimmonsail.jobs.instances.Instance
        The instances.
    capacity, unused : numpy.ndarray
        Millicores that there are, and that nothing uses; shapes
        (instances,).
    free : numpy.ndarray
        Millicores, MiB and accelerators that no run takes; shape
        (instances, 3).
    images, has_image : numpy.ndarray
        How many images serve there, and which; shapes (instances,) and
        (instances, images).
    """

    def __init__(self) -> None:
        self.fleet: list[instances.Instance] = []
        self._rows: dict[str, int] = {}
        self._model = interference.Model()
        self._now = 0.0
        self._serving_images = _Names()
        self._filling_images = _Names()
        # How much images press on each other, and how many of either kind
        # that is known for in this round.
        self._bounds = numpy.zeros((1, _COLUMNS))
        self._bounded: tuple[int, int] | None = None
        self._resize(0)

    def refresh(
        self,
        fleet: t.Iterable[instances.Instance],
        model: interference.Model,
        now: float,
    ) -> None:
        """Read what has changed since the last round.

        Parameters
        ----------
        fleet : iterable of persimmonsail.jobs.instances.Instance
            All instances.
        model : persimmonsail.jobs.interference.Model
            What is known of the images.
        now : float
            Seconds of the leader's clock.
        """
        fleet = list(fleet)
        self._model = model
        self._now = now
        self._bounded = None
        if fleet != self.fleet:
            self.fleet = fleet
            self._rows = {one.address: row for row, one in enumerate(fleet)}
            self._resize(len(fleet))
        for row, instance in enumerate(fleet):
            changed = self._versions[row] != instance.version
            if changed or now - self._read_at[row] > _FRESH_SECONDS:
                self.read(row)

    def find_row(self, instance: instances.Instance) -> int:
        """Return an instance's row."""
        return self._rows[instance.address]

    def _resize(self, count: int) -> None:
        self._versions = [-1] * count
        self._read_at = [0.0] * count
        self.capacity = numpy.zeros(count)
        self.free = numpy.zeros((count, 3), dtype=numpy.int64)
        self._declared = numpy.zeros(count)
        self._others = numpy.zeros(count)
        self._is_over = numpy.zeros(count, dtype=bool)
        self.images = numpy.zeros(count, dtype=numpy.int64)
        self.has_image = numpy.zeros((count, _COLUMNS), dtype=bool)
        self._filled = numpy.zeros((count, _COLUMNS))
        # Of each step that serves on an instance: its image, the load that
        # it has in the mean and now. Unused columns name no image.
        self._image = numpy.full((count, _COLUMNS), -1)
        self._mean_load = numpy.zeros((count, _COLUMNS))
        self._load = numpy.zeros((count, _COLUMNS))

    def read(self, row: int) -> None:
        """Read one instance again."""
        instance = self.fleet[row]
        self._versions[row] = instance.version
        self._read_at[row] = self._now
        free = instance.free
        self.capacity[row] = instance.capacity.millicores
        self.free[row] = (free.millicores, free.memory_mib, free.accelerators)
        serving = instance.serving
        self._is_over[row] = any(run.over_since for run in serving)
        self._read_use(row, instance)
        self._read_serving(row, instance.address, serving)
        self._read_filling(row, instance.fillers)

    def _read_use(self, row: int, instance: instances.Instance) -> None:
        declared = 0
        others = 0
        for run in instance.runs.values():
            if run.serves:
                declared += run.step.size.millicores
            else:
                others += run.step.size.millicores
        self._declared[row] = declared
        self._others[row] = others

    def _read_serving(
        self, row: int, address: str, serving: t.Sequence[instances.Run]
    ) -> None:
        # Tasks of one step bear the same.
        by_step = {run.step_name: run for run in serving}
        numbers = [
            self._serving_images.find(run.step.image)
            for run in by_step.values()
        ]
        self._widen(len(by_step))
        self.has_image[row] = False
        self.has_image[row, numbers] = True
        self.images[row] = len(set(numbers))
        self._image[row] = -1
        for column, (name, run) in enumerate(by_step.items()):
            mean = self._model.expect_load(name, len(by_step))
            load = self._model.estimate_load(run, address, self._now)
            self._image[row, column] = numbers[column]
            self._mean_load[row, column] = mean
            self._load[row, column] = max(mean, load)

    def _read_filling(
        self, row: int, fillers: t.Sequence[instances.Run]
    ) -> None:
        numbers = [
            self._filling_images.find(run.step.image) for run in fillers
        ]
        self._widen(0)
        self._filled[row] = 0.0
        for number, run in zip(numbers, fillers, strict=True):
            self._filled[row, number] += run.step.size.millicores

    def _widen(self, steps: int) -> None:
        """Make room for more images, or more steps on one instance."""
        self.has_image = _pad(self.has_image, len(self._serving_images))
        self._filled = _pad(self._filled, len(self._filling_images))
        self._image = _pad(self._image, steps, -1)
        self._mean_load = _pad(self._mean_load, steps)
        self._load = _pad(self._load, steps)

    @property
    def unused(self) -> numpy.ndarray:
        """The millicores that nothing uses; shape (instances,)."""
        part = self._model.estimate_use()
        return self.capacity - part * self._declared - self._others

    def find_image(self, image: str) -> int:
        """Return the column of an image that serves."""
        number = self._serving_images.find(image)
        self._widen(0)
        return number

    def _read_bounds(self) -> numpy.ndarray:
        """Return how much each image that fills may press on each other.

        The last row is for columns without an image, on which nothing
        presses. Shape (serving images + 1, columns of ``_filled``).
        """
        known = (len(self._serving_images), len(self._filling_images))
        if self._bounded == known:
            return self._bounds
        bounds = numpy.zeros((known[0] + 1, self._filled.shape[1]))
        for row, serving in enumerate(self._serving_images):
            for column, filling in enumerate(self._filling_images):
                bounds[row, column] = self._model.get_bound(serving, filling)
        self._bounds = bounds
        self._bounded = known
        return bounds

    def estimate_speeds(
        self, step: specification.Step, rows: slice
    ) -> numpy.ndarray:
        """Return at which part of its speed a best-effort task would work.

        Bounded by the processors that are left, and by the pressure that
        the serving tasks bear at their mean load with all that is there
        already.

        Parameters
        ----------
        step : persimmonsail.jobs.specification.Step
            The task's step.
        rows : slice
            Which instances.

        Returns
        -------
        numpy.ndarray
            From 0 to 1; shape (rows,).
        """
        size = step.size.millicores
        if not size:
            return numpy.ones(len(self.fleet[rows]))
        borne = self._estimate_borne(step, rows)
        speed = numpy.minimum(self.unused[rows] / size, borne)
        speed[self._is_over[rows]] = 0.0
        return numpy.clip(speed, 0.0, 1.0)

    def _estimate_borne(
        self, step: specification.Step, rows: slice
    ) -> numpy.ndarray:
        """Return which part of a task's pressure is borne, at the most 1."""
        column = self._filling_images.find(step.image)
        self._widen(0)
        bounds = self._read_bounds()
        capacity = numpy.maximum(self.capacity[rows], 1)[:, None]
        image = self._image[rows]
        own = bounds[:, column][image]
        # Beside what surely presses, the load of this moment counts, too.
        pressing = own >= self._model.get_threshold()
        load = numpy.where(pressing, self._load[rows], self._mean_load[rows])
        room = self._model.estimate_limit() - _MARGIN - load
        by_image = self._filled[rows] @ bounds.T
        there = numpy.take_along_axis(by_image, image, axis=1)
        pressure = (there + own * step.size.millicores) / capacity
        with numpy.errstate(divide='ignore', invalid='ignore'):
            borne = numpy.where(
                (image >= 0) & (pressure > 0),
                numpy.maximum(room, 0.0) / pressure,
                1.0,
            )
        return borne.min(axis=1)


def _pad(array: numpy.ndarray, columns: int, value: int = 0) -> numpy.ndarray:
    """Return an array with so many columns at least."""
    missing = columns - array.shape[1]
    if missing <= 0:
        return array
    # Half as many again: images come one by one.
    missing += columns // 2
    return numpy.pad(array, ((0, 0), (0, missing)), constant_values=value)
