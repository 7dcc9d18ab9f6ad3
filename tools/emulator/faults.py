"""Faults of an emulated instance."""

import dataclasses
import typing as t

from persimmonsail.jobs import specification
from tools.emulator import worker as worker_module


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault of one instance.

    Attributes
    ----------
    kind : str
        A key of ``KINDS``.
    at, seconds : float
        When it begins, and how long it lasts.
    index : int
        The instance's index.
    strength : float
        Its severity, above 1.
    """

    kind: str
    at: float
    seconds: float
    index: int
    strength: float


Change = t.Callable[[worker_module.Worker, Fault], None]


class Kind(t.NamedTuple):
    """How a fault begins and how it ends."""

    begin: Change
    end: Change


KINDS: dict[str, Kind] = {}
# The kinds that every drawn deployment may have.
DRAWN_KINDS = ('crash', 'late', 'slow', 'still')


def register(name: str, end: Change) -> t.Callable[[Change], Change]:
    """Register a kind of fault by how it begins and ends."""

    def decorate(begin: Change) -> Change:
        KINDS[name] = Kind(begin, end)
        return begin

    return decorate


def _restore_speed(worker: worker_module.Worker, fault: Fault) -> None:
    worker.speed = 1.0


def _restart(worker: worker_module.Worker, fault: Fault) -> None:
    worker.restart()


def _restore_capacity(worker: worker_module.Worker, fault: Fault) -> None:
    worker.capacity = specification.Size(
        round(worker.capacity.millicores * fault.strength),
        round(worker.capacity.memory_mib * fault.strength),
    )


def _reset_order_delay(worker: worker_module.Worker, fault: Fault) -> None:
    worker.order_delay_seconds = 0.0


@register('slow', _restore_speed)
def _slow_down(worker: worker_module.Worker, fault: Fault) -> None:
    worker.speed = 1 / fault.strength


@register('still', _restore_speed)
def _stall(worker: worker_module.Worker, fault: Fault) -> None:
    worker.speed = 0.0


@register('crash', _restart)
def _crash(worker: worker_module.Worker, fault: Fault) -> None:
    worker.crash(fault.at)


@register('late', _reset_order_delay)
def _delay_orders(worker: worker_module.Worker, fault: Fault) -> None:
    worker.order_delay_seconds = fault.strength / 2


@register('shrink', _restore_capacity)
def _shrink_capacity(worker: worker_module.Worker, fault: Fault) -> None:
    worker.capacity = specification.Size(
        round(worker.capacity.millicores / fault.strength),
        round(worker.capacity.memory_mib / fault.strength),
    )
