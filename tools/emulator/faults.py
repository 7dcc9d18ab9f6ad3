"""What fails on an emulated instance."""

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
        When it comes, and for how long it stays.
    index : int
        Which instance.
    strength : float
        How strong it is, above 1.
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
# What drawn deployments have; others are added to them.
USUAL = ('crash', 'late', 'slow', 'still')


def register(name: str, end: Change) -> t.Callable[[Change], Change]:
    """Add a kind of fault, by how it begins."""

    def decorate(begin: Change) -> Change:
        KINDS[name] = Kind(begin, end)
        return begin

    return decorate


def _restore_speed(worker: worker_module.Worker, fault: Fault) -> None:
    worker.speed = 1.0


def _revive(worker: worker_module.Worker, fault: Fault) -> None:
    worker.revive()


def _restore_room(worker: worker_module.Worker, fault: Fault) -> None:
    worker.capacity = specification.Size(
        round(worker.capacity.millicores * fault.strength),
        round(worker.capacity.memory_mib * fault.strength),
    )


def _order_at_once(worker: worker_module.Worker, fault: Fault) -> None:
    worker.order_seconds = 0.0


@register('slow', _restore_speed)
def _slow_down(worker: worker_module.Worker, fault: Fault) -> None:
    worker.speed = 1 / fault.strength


@register('still', _restore_speed)
def _stand_still(worker: worker_module.Worker, fault: Fault) -> None:
    worker.speed = 0.0


@register('crash', _revive)
def _crash(worker: worker_module.Worker, fault: Fault) -> None:
    worker.crash(fault.at)


@register('late', _order_at_once)
def _order_late(worker: worker_module.Worker, fault: Fault) -> None:
    worker.order_seconds = fault.strength / 2


@register('shrink', _restore_room)
def _shrink_room(worker: worker_module.Worker, fault: Fault) -> None:
    worker.capacity = specification.Size(
        round(worker.capacity.millicores / fault.strength),
        round(worker.capacity.memory_mib / fault.strength),
    )
