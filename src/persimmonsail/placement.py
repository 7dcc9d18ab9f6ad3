"""Choice of the instance that a task is claimed for."""

from persimmonsail import admission
from persimmonsail import fleet

# Tasks leave this part of an instance's processors and memory free, so
# that a quick request finds room at once.
HEADROOM = 0.15


def choose_instance(
    candidates: list[fleet.Instance], size: admission.Size
) -> fleet.Instance | None:
    """Return the candidate with the most room left, if any fits."""
    fitting = [
        instance
        for instance in candidates
        if (instance.committed + size).fits(_leave_headroom(instance))
    ]
    if not fitting:
        return None
    return min(fitting, key=lambda i: i.committed.cores / i.capacity.cores)


def _leave_headroom(instance: fleet.Instance) -> admission.Size:
    return admission.Size(
        instance.capacity.cores * (1 - HEADROOM),
        instance.capacity.memory_gb * (1 - HEADROOM),
        instance.capacity.accelerators,
    )
