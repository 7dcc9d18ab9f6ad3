"""What a sidecar knows of its own instance."""

import dataclasses
import uuid

from persimmonsail import admission
from persimmonsail import control_pb2


def _make_incarnation() -> str:
    return uuid.uuid4().hex


@dataclasses.dataclass
class OwnInstance:
    """The sidecar's own instance: commitments, queue and state.

    ``incarnation`` tells an old and a new sidecar of one instance
    apart; ``revision`` is the highest catalogue revision seen.
    ``backend_leaving`` concerns quick requests only, tasks go on.
    """

    incarnation: str = dataclasses.field(default_factory=_make_incarnation)
    revision: int = 0
    leaving: bool = False
    backend_leaving: bool = False
    busy_slots: int = 0
    queued: int = 0
    commitments: admission.Commitments = dataclasses.field(
        default_factory=lambda: admission.Commitments(admission.Size())
    )

    def describe_load(self) -> control_pb2.Load:
        """Return the load that goes with every reply."""
        return control_pb2.Load(
            committed=self.commitments.total.to_message(),
            busy_slots=self.busy_slots,
            queued=self.queued,
            connections=self.busy_slots,
        )

    def note_revision(self, revision: int) -> None:
        """Remember the highest catalogue revision seen."""
        self.revision = max(self.revision, revision)
