"""A fleet snapshot as arrays, to rate all instances for a step at once.

Load pattern: a burst of heavy jobs leaves a hundred steps waiting on a
fleet of hundreds of instances, and each scheduling round estimates for each
step how fast a task would run on each instance. Computed instance by
instance, this took half of the leader's processor at 160 instances, and it
lost its term; vectorised, a step takes 0.1 ms there. An instance's row is
only read again when its runs or gauges have changed.
"""

import typing as t

import numpy

from persimmonsail.jobs import instances
from persimmonsail.jobs import interference
from persimmonsail.jobs import specification

# Loads vary within seconds: without a report from an instance, its row is
# read again after this time, about the interval between two reports.
_MAX_AGE_SECONDS = 0.5
# Headroom below the load at which a serving task misses its target. It can
# be small, as runs are throttled when the load changes.
_HEADROOM = 0.03
# Initial columns, for images and for serving steps per instance.
_INITIAL_COLUMNS = 8


class _NameIndex:
    """Numbers names in the order of their first use."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}

    def find(self, name: str) -> int:
        """Return a name's number."""
        return self._numbers.setdefault(name, len(self._numbers))

    def __iter__(self) -> t.Iterator[str]:
        return iter(self._numbers)

    def __len__(self) -> int:
        return len(self._numbers)


class FleetSnapshot:
    """The state of a leader's instances, one array per property.

    Rows are instances in the order of the fleet. Call ``refresh`` at the
    start of each round.

    Attributes
    ----------
    fleet : list of persimmonsail.jobs.instances.Instance
        The instances.
    capacity, unused : numpy.ndarray
        Total millicores, and those estimated to be unused; shapes
        (instances,).
    free : numpy.ndarray
        Uncommitted millicores, MiB and accelerators; shape
        (instances, 3).
    image_counts, has_image : numpy.ndarray
        How many images serve on each instance, and which; shapes
        (instances,) and (instances, images).
    """

    def __init__(self) -> None:
        self.fleet: list[instances.Instance] = []
        self._rows: dict[str, int] = {}
        self._model = interference.Model()
        self._now = 0.0
        self._serving_images = _NameIndex()
        self._best_effort_images = _NameIndex()
        # Upper bounds of the interference between images, and for how many
        # images of either kind they were read in this round.
        self._interference_bounds = numpy.zeros((1, _INITIAL_COLUMNS))
        self._bounded_images: tuple[int, int] | None = None
        self._resize(0)

    def refresh(
        self,
        fleet: t.Iterable[instances.Instance],
        model: interference.Model,
        now: float,
    ) -> None:
        """Update the rows that have changed since the last round.

        Parameters
        ----------
        fleet : iterable of persimmonsail.jobs.instances.Instance
            All instances.
        model : persimmonsail.jobs.interference.Model
            Learned interference between images.
        now : float
            Seconds of the leader's clock.
        """
        fleet = list(fleet)
        self._model = model
        self._now = now
        self._bounded_images = None
        if fleet != self.fleet:
            self.fleet = fleet
            self._rows = {one.address: row for row, one in enumerate(fleet)}
            self._resize(len(fleet))
        for row, instance in enumerate(fleet):
            changed = self._versions[row] != instance.version
            if changed or now - self._read_at[row] > _MAX_AGE_SECONDS:
                self.update_row(row)

    def find_row(self, instance: instances.Instance) -> int:
        """Return an instance's row."""
        return self._rows[instance.address]

    def _resize(self, count: int) -> None:
        self._versions = [-1] * count
        self._read_at = [0.0] * count
        self.capacity = numpy.zeros(count)
        self.free = numpy.zeros((count, 3), dtype=numpy.int64)
        self._declared = numpy.zeros(count)
        self._other_runs = numpy.zeros(count)
        self._is_over_target = numpy.zeros(count, dtype=bool)
        self.image_counts = numpy.zeros(count, dtype=numpy.int64)
        self.has_image = numpy.zeros((count, _INITIAL_COLUMNS), dtype=bool)
        self._best_effort_millicores = numpy.zeros((count, _INITIAL_COLUMNS))
        # For each serving step on an instance: its image, mean load and
        # current load. The image of unused columns is -1.
        self._step_image = numpy.full((count, _INITIAL_COLUMNS), -1)
        self._mean_load = numpy.zeros((count, _INITIAL_COLUMNS))
        self._current_load = numpy.zeros((count, _INITIAL_COLUMNS))

    def update_row(self, row: int) -> None:
        """Update the row of one instance."""
        instance = self.fleet[row]
        self._versions[row] = instance.version
        self._read_at[row] = self._now
        free = instance.free
        self.capacity[row] = instance.capacity.millicores
        self.free[row] = (free.millicores, free.memory_mib, free.accelerators)
        serving = instance.serving
        self._is_over_target[row] = any(
            run.over_target_since for run in serving
        )
        self._read_usage(row, instance)
        self._read_serving(row, instance.address, serving)
        self._read_best_effort(row, instance.best_effort_runs)

    def _read_usage(self, row: int, instance: instances.Instance) -> None:
        declared = 0
        other_runs = 0
        for run in instance.runs.values():
            if run.serves:
                declared += run.step.size.millicores
            else:
                other_runs += run.step.size.millicores
        self._declared[row] = declared
        self._other_runs[row] = other_runs

    def _read_serving(
        self, row: int, address: str, serving: t.Sequence[instances.Run]
    ) -> None:
        # Tasks of one step tolerate the same interference.
        by_step = {run.step_name: run for run in serving}
        numbers = [
            self._serving_images.find(run.step.image)
            for run in by_step.values()
        ]
        self._add_columns(len(by_step))
        self.has_image[row] = False
        self.has_image[row, numbers] = True
        self.image_counts[row] = len(set(numbers))
        self._step_image[row] = -1
        for column, (name, run) in enumerate(by_step.items()):
            mean = self._model.expect_load(name, len(by_step))
            load = self._model.estimate_load(run, address, self._now)
            self._step_image[row, column] = numbers[column]
            self._mean_load[row, column] = mean
            self._current_load[row, column] = max(mean, load)

    def _read_best_effort(
        self, row: int, best_effort: t.Sequence[instances.Run]
    ) -> None:
        columns = [
            self._best_effort_images.find(run.step.image)
            for run in best_effort
        ]
        self._add_columns(0)
        self._best_effort_millicores[row] = 0.0
        for column, run in zip(columns, best_effort, strict=True):
            self._best_effort_millicores[row, column] += (
                run.step.size.millicores
            )

    def _add_columns(self, steps: int) -> None:
        """Add columns for new images, or for more steps on an instance."""
        self.has_image = _pad(self.has_image, len(self._serving_images))
        self._best_effort_millicores = _pad(
            self._best_effort_millicores, len(self._best_effort_images)
        )
        self._step_image = _pad(self._step_image, steps, -1)
        self._mean_load = _pad(self._mean_load, steps)
        self._current_load = _pad(self._current_load, steps)

    @property
    def unused(self) -> numpy.ndarray:
        """Estimated unused millicores; shape (instances,)."""
        use = self._model.estimate_serving_use()
        return self.capacity - use * self._declared - self._other_runs

    def find_image(self, image: str) -> int:
        """Return the column of a serving image."""
        number = self._serving_images.find(image)
        self._add_columns(0)
        return number

    def _get_interference_bounds(self) -> numpy.ndarray:
        """Return interference bounds of best-effort on serving images.

        The last row, all zeros, is for columns without an image. Shape
        (serving images + 1, columns of ``_best_effort_millicores``).
        """
        counts = (
            len(self._serving_images),
            len(self._best_effort_images),
        )
        if self._bounded_images == counts:
            return self._interference_bounds
        bounds = numpy.zeros(
            (counts[0] + 1, self._best_effort_millicores.shape[1])
        )
        for row, serving in enumerate(self._serving_images):
            for column, best_effort in enumerate(self._best_effort_images):
                bounds[row, column] = self._model.get_upper_bound(
                    serving, best_effort
                )
        self._interference_bounds = bounds
        self._bounded_images = counts
        return bounds

    def estimate_speeds(
        self, step: specification.Step, rows: slice
    ) -> numpy.ndarray:
        """Return the speed of a best-effort task on each instance.

        It is limited by the unused processors, and by the interference
        that the serving tasks tolerate at their mean load beside the
        best-effort tasks that already run there.

        Parameters
        ----------
        step : persimmonsail.jobs.specification.Step
            The task's step.
        rows : slice
            The instances to rate.

        Returns
        -------
        numpy.ndarray
            Fractions of full speed, from 0 to 1; shape (rows,).
        """
        size = step.size.millicores
        if not size:
            return numpy.ones(len(self.fleet[rows]))
        tolerated = self._estimate_tolerated(step, rows)
        speed = numpy.minimum(self.unused[rows] / size, tolerated)
        speed[self._is_over_target[rows]] = 0.0
        return numpy.clip(speed, 0.0, 1.0)

    def _estimate_tolerated(
        self, step: specification.Step, rows: slice
    ) -> numpy.ndarray:
        """Return the tolerable fraction of the interference, at most 1."""
        column = self._best_effort_images.find(step.image)
        self._add_columns(0)
        bounds = self._get_interference_bounds()
        capacity = numpy.maximum(self.capacity[rows], 1)[:, None]
        image = self._step_image[rows]
        own = bounds[:, column][image]
        # Beside a task that is known to interfere, the current load counts
        # as well as the mean.
        interfering = own >= self._model.get_threshold()
        load = numpy.where(
            interfering, self._current_load[rows], self._mean_load[rows]
        )
        headroom = self._model.estimate_limit() - _HEADROOM - load
        by_image = self._best_effort_millicores[rows] @ bounds.T
        present = numpy.take_along_axis(by_image, image, axis=1)
        interference_load = (present + own * step.size.millicores) / capacity
        with numpy.errstate(divide='ignore', invalid='ignore'):
            tolerated = numpy.where(
                (image >= 0) & (interference_load > 0),
                numpy.maximum(headroom, 0.0) / interference_load,
                1.0,
            )
        return tolerated.min(axis=1)


def _pad(array: numpy.ndarray, columns: int, value: int = 0) -> numpy.ndarray:
    """Return the array, padded to at least this many columns."""
    missing = columns - array.shape[1]
    if missing <= 0:
        return array
    # Over-allocate by half, since images are added one by one.
    missing += columns // 2
    return numpy.pad(array, ((0, 0), (0, missing)), constant_values=value)
