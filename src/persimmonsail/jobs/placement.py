"""Selection of the instance that a task runs on.

Load pattern: serving tasks declare most of the fleet's processors and
use part of them; heavy best-effort tasks use the rest and interfere with
some serving images, so strongly that one or two of them use up a serving
task's headroom at peak load. An instance that serves only one image can
run most best-effort images at full speed, one with five images almost
none. So serving tasks are colocated with their own image, and best-effort
tasks are placed where they don't interfere, by the learned coefficient of
each pair plus a share of its uncertainty. A short task goes to the instance
with the most unused processors.
"""

import typing as t

import numpy

from persimmonsail.jobs import fleetsnapshot
from persimmonsail.jobs import instances
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import specification
from persimmonsail.jobs import suspects

# A best-effort task waits for an instance that allows at least this fraction
# of its full speed: a slower one costs more time than the wait.
MIN_SPEED = 0.95
# An instance gets no new work once its worker's agent, which the sidecar
# polls twice a second, has not answered for this long.
_MAX_SILENCE_SECONDS = 0.7

# An instance that has been silent for longer is not awaited as a witness.
_WITNESS_TIMEOUT_SECONDS = 10.0

_ALL_ROWS = slice(None)


class Candidates:
    """The instances that may run the tasks of one step, in one round.

    Parameters
    ----------
    snapshot : persimmonsail.jobs.fleetsnapshot.FleetSnapshot
        The fleet snapshot, refreshed for this round.
    step : persimmonsail.jobs.specification.Step
        The step.
    step_name : str
        Identifies job, occurrence and step.
    usable : numpy.ndarray
        Mask of the service's instances that accept new work; shape
        (instances,).
    boots : collection of str, optional
        If given, only these boots may run the step.
    """

    def __init__(
        self,
        snapshot: fleetsnapshot.FleetSnapshot,
        step: specification.Step,
        step_name: str,
        usable: numpy.ndarray,
        boots: t.Collection[str] | None = None,
    ) -> None:
        self._snapshot = snapshot
        self._step = step
        self._step_name = step_name
        self._allowed = usable
        if step.label:
            self._allowed = usable & make_mask(
                [step.label in instance.labels for instance in snapshot.fleet]
            )
        if boots is not None:
            self._allowed = self._allowed & make_mask(
                [instance.boot in boots for instance in snapshot.fleet]
            )
        self._fits = self._allowed & self._check_capacity(_ALL_ROWS)
        self._speeds = self._estimate_speeds(_ALL_ROWS)

    def choose(
        self,
        avoid: t.Collection[str] = (),
        min_speed: float = MIN_SPEED,
        rack: str | None = None,
        suspect: bool = False,
    ) -> instances.Instance | None:
        """Return the best instance with capacity for a task, if any.

        Parameters
        ----------
        avoid : collection of str
            Addresses that are only used if there is no other.
        min_speed : float
            Minimum speed of a best-effort task, as a fraction of full speed.
        rack : str, optional
            If given, only this rack is considered.
        suspect : bool, optional
            Whether the task is a crash suspect: a crash could not be
            attributed if two suspects were colocated.
        """
        fleet = self._snapshot.fleet
        remaining = self._fits.copy()
        if self._step.best_effort_cpu:
            remaining &= self._speeds >= min_speed
        if rack is not None:
            remaining &= make_mask([one.rack == rack for one in fleet])
        if not remaining.any():
            return None
        if avoid:
            avoided = [instance.address in avoid for instance in fleet]
            remaining = _filter_lowest(remaining, numpy.array(avoided))
        if suspect:
            suspects = [instance.suspect_count for instance in fleet]
            remaining = _filter_lowest(remaining, numpy.array(suspects))
        if self._step.data_rack:
            rack = self._step.data_rack
            remote = [instance.rack != rack for instance in fleet]
            remaining = _filter_lowest(remaining, numpy.array(remote))
        for score in self._list_scores():
            remaining = _filter_lowest(remaining, score)
        return fleet[int(remaining.argmax())]

    def choose_isolated(
        self, avoid: t.Collection[str], now: float
    ) -> instances.Instance | None:
        """Return the instance where a crash of a suspect costs least."""
        fleet = self._snapshot.fleet
        remaining = self._fits
        if not remaining.any():
            return None
        for score in (
            [instance.address in avoid for instance in fleet],
            [
                not suspects.has_no_recent_start(instance, now)
                for instance in fleet
            ],
            [instance.suspect_count for instance in fleet],
            [len(instance.runs) for instance in fleet],
        ):
            remaining = _filter_lowest(remaining, numpy.array(score))
        return fleet[int(remaining.argmax())]

    def list_racks(self) -> list[str]:
        """Return the racks of the instances that may run the step."""
        allowed = zip(self._snapshot.fleet, self._allowed, strict=True)
        return sorted({instance.rack for instance, may in allowed if may})

    def update_instance(self, instance: instances.Instance) -> None:
        """Rate an instance again after its runs have changed."""
        row = self._snapshot.find_row(instance)
        rows = slice(row, row + 1)
        self._snapshot.update_row(row)
        self._fits[rows] = self._allowed[rows] & self._check_capacity(rows)
        self._speeds[rows] = self._estimate_speeds(rows)

    def _check_capacity(self, rows: slice) -> numpy.ndarray:
        size = self._step.committed
        request = (size.millicores, size.memory_mib, size.accelerators)
        fits = (self._snapshot.free[rows] >= request).all(axis=1)
        limit = self._step.most_per_instance
        if limit:
            fits &= make_mask(
                [
                    instance.count_step(self._step_name) < limit
                    for instance in self._snapshot.fleet[rows]
                ]
            )
        return fits

    def _estimate_speeds(self, rows: slice) -> numpy.ndarray:
        if not self._step.best_effort_cpu:
            return numpy.ones(len(self._snapshot.fleet[rows]))
        return self._snapshot.estimate_speeds(self._step, rows)

    def _list_scores(self) -> list[numpy.ndarray]:
        """Return the scores, most significant first; lower is better."""
        snapshot = self._snapshot
        if self._step.best_effort_cpu:
            return [-self._speeds, -snapshot.unused]
        if not self._step.latency_target_ms:
            return [-snapshot.unused]
        column = snapshot.find_image(self._step.image)
        other_images = snapshot.image_counts - snapshot.has_image[:, column]
        empty = snapshot.image_counts == 0
        return [other_images, empty, numpy.where(empty, snapshot.capacity, 0)]


def _filter_lowest(
    remaining: numpy.ndarray, score: numpy.ndarray
) -> numpy.ndarray:
    """Return the mask of the remaining rows with the lowest score."""
    return remaining & (score == score[remaining].min())


def make_mask(flags: list[bool]) -> numpy.ndarray:
    """Return a mask of the fleet, of type bool also if there are no rows.

    An empty list is an array of floats, to which masks can't be applied.
    """
    return numpy.array(flags, dtype=bool)


def find_usable(
    fleet: t.Iterable[instances.Instance], service: str, now: float
) -> numpy.ndarray:
    """Return which instances of a service accept new work.

    Returns
    -------
    numpy.ndarray
        A mask of the fleet; shape (instances,).
    """
    return make_mask(
        [
            instance.service == service and is_usable(instance, now)
            for instance in fleet
        ]
    )


def find_cleared(
    fleet: t.Iterable[instances.Instance], suspect: str, now: float
) -> instances.Instance | None:
    """Return the instance that is reserved for a suspect, if any."""
    for instance in fleet:
        # Cheap check first: few instances are reserved, and every suspect
        # searches the whole fleet in every round.
        if not instance.is_reserved_for(suspect, now):
            continue
        if is_usable(instance, now, suspect):
            return instance
    return None


def has_witness(
    fleet: t.Iterable[instances.Instance], candidate: instances.Instance
) -> bool:
    """Tell whether a crash could be distinguished from a power failure.

    That takes another instance that survives it. None is needed if there is
    no other instance, or none that may return soon.
    """
    others = [one for one in fleet if one is not candidate and one.attached]
    awaited = [
        one for one in others if one.silent_seconds < _WITNESS_TIMEOUT_SECONDS
    ]
    answering = [
        one for one in awaited if one.silent_seconds < _MAX_SILENCE_SECONDS
    ]
    return bool(answering) or not awaited


def list_usable(
    fleet: t.Iterable[instances.Instance],
    service: str,
    now: float,
    suspect: str = '',
) -> list[instances.Instance]:
    """Return the instances of a service that accept new work.

    One that is reserved for ``suspect`` is among them.
    """
    return [
        instance
        for instance in fleet
        if instance.service == service and is_usable(instance, now, suspect)
    ]


def list_fitting(
    task: job_module.Task,
    fleet: t.Iterable[instances.Instance],
    service: str,
    now: float,
) -> list[instances.Instance]:
    """Return the instances of a service that can start a task now."""
    return [
        instance
        for instance in list_usable(fleet, service, now, task.name)
        if has_capacity(task, instance)
    ]


def is_usable(
    instance: instances.Instance, now: float, suspect: str = ''
) -> bool:
    """Tell whether an instance accepts new work, or this suspect."""
    return (
        instance.attached
        and instance.has_reported
        and bool(instance.boot)
        and not instance.leaving
        and not instance.deferred
        and not instance.evacuated
        and instance.has_agent
        and instance.silent_seconds < _MAX_SILENCE_SECONDS
        and now >= instance.suspect_until
        and (
            instance.is_reserved_for(suspect, now)
            or not instance.is_reserved(now)
        )
    )


def has_capacity(task: job_module.Task, instance: instances.Instance) -> bool:
    """Tell whether an instance has capacity for a task."""
    step = task.step
    if step.label and step.label not in instance.labels:
        return False
    if not step.committed.fits(instance.free):
        return False
    if step.most_per_instance:
        if instance.count_step(task.step_name) >= step.most_per_instance:
            return False
    return True
