"""Time tolerances of an audit, in their own module to load fast."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Tolerances:
    """Tolerances of the checks in seconds.

    Attributes
    ----------
    clock : float
        Maximum clock difference between two processes.
    leaving : float
        How long after announcing its stop a backend server may still
        be chosen.
    catalogue : float
        How long after its acceptance a change may take to be in force.
    cancel : float
        How long after its cancel was accepted a job may still start tasks.
    """

    clock: float = 0.25
    leaving: float = 3.0
    catalogue: float = 5.0
    cancel: float = 3.0


DEFAULTS = Tolerances()
