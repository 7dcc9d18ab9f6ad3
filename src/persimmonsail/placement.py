"""Choice of the instance that a task is claimed for."""

from persimmonsail import admission
from persimmonsail import fleet


def choose_instance(
    candidates: list[fleet.Instance], size: admission.Size
) -> fleet.Instance | None:
    """Return the candidate with the most room left, if any fits."""
    fitting = [
        instance
        for instance in candidates
        if (instance.committed + size).fits(
            admission.leave_headroom(instance.capacity)
        )
    ]
    if not fitting:
        return None
    return min(fitting, key=lambda i: i.committed.cores / i.capacity.cores)
