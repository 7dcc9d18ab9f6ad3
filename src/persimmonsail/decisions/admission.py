"""Admission control for one instance.

The only module that commits processors, memory, accelerators, slots and
connections.
"""

import dataclasses

from persimmonsail import control_pb2


@dataclasses.dataclass(frozen=True)
class Size:
    """Processors (cores), memory (gigabytes) and accelerators."""

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0

    def __add__(self, other: 'Size') -> 'Size':
        return Size(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def fits(self, capacity: 'Size') -> bool:
        """Whether a commitment of this size stays within capacity."""
        return (
            self.cores <= capacity.cores + _ROUNDING_TOLERANCE
            and self.memory_gb <= capacity.memory_gb + _ROUNDING_TOLERANCE
            and self.accelerators <= capacity.accelerators
        )

    def to_message(self) -> control_pb2.Size:
        """Return the protocol message."""
        return control_pb2.Size(
            cores=self.cores,
            memory_gb=self.memory_gb,
            accelerators=self.accelerators,
        )


_ROUNDING_TOLERANCE = 1e-9

# The fraction of an instance's processors and memory that tasks leave
# free, so that quick requests find capacity immediately.
TASK_HEADROOM = 0.15
# The fraction that other quick requests leave free for urgent ones, which
# may use the full capacity.
URGENT_HEADROOM = 0.05


def subtract_headroom(capacity: Size) -> Size:
    """Return the part of a capacity that tasks may use."""
    return _reduce(capacity, TASK_HEADROOM)


def find_quick_limit(capacity: Size, urgent: bool) -> Size:
    """Return the part of a capacity that quick requests may use."""
    return capacity if urgent else _reduce(capacity, URGENT_HEADROOM)


def _reduce(capacity: Size, fraction: float) -> Size:
    return Size(
        capacity.cores * (1 - fraction),
        capacity.memory_gb * (1 - fraction),
        capacity.accelerators,
    )


def read_size(message: control_pb2.Size) -> Size:
    """Return the size given in a protocol message."""
    return Size(message.cores, message.memory_gb, message.accelerators)


class Commitments:
    """Commitments of an instance; new ones never exceed its capacity."""

    def __init__(self, capacity: Size) -> None:
        self.capacity = capacity
        self._sizes: dict[str, Size] = {}

    @property
    def total(self) -> Size:
        """The sum of all commitments."""
        return sum(self._sizes.values(), Size())

    def try_commit(
        self, holder: str, size: Size, limit: Size | None = None
    ) -> bool:
        """Commit a size for a holder if the new total fits the limit.

        The check prevents overcommitment: entries choose instances from
        reports that may be stale, so several of them may choose this
        one simultaneously.
        """
        if holder in self._sizes:
            return True
        if not (self.total + size).fits(limit or self.capacity):
            return False
        self._sizes[holder] = size
        return True

    def release(self, holder: str) -> None:
        """Release a holder's commitment."""
        self._sizes.pop(holder, None)

    def list_holders(self, prefix: str) -> list[str]:
        """Return the holders whose names begin with a prefix."""
        return [name for name in self._sizes if name.startswith(prefix)]

    def restore(self, holder: str, size: Size) -> None:
        """Record running work, regardless of the free capacity."""
        self._sizes[holder] = size
