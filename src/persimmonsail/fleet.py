"""An entry's view of instances, as their sidecars announce them."""

import dataclasses
import time

from persimmonsail import admission
from persimmonsail import control_pb2


@dataclasses.dataclass
class Instance:
    """One announced instance; times are monotonic seconds.

    ``outstanding`` counts this entry's own requests there. ``shares``
    has the part of the cores that each batch class uses, ``demand`` the
    part of the slots that each latency-critical class keeps busy.
    """

    name: str
    zone: str
    rack: str
    incarnation: str
    address: str
    service: str
    leaving: bool
    slots: int
    max_connections: int
    capacity: admission.Size
    committed: admission.Size
    busy_slots: int
    queued: int
    connections: int
    reported_at: float
    outstanding: int = 0
    revision: int = 0
    shares: dict[str, float] = dataclasses.field(default_factory=dict)
    demand: dict[str, float] = dataclasses.field(default_factory=dict)


class Fleet:
    """Instances by name; a silent one ages out."""

    def __init__(self, silence: float) -> None:
        self._silence = silence
        self._instances: dict[str, Instance] = {}

    def note_report(self, report: control_pb2.SidecarReport) -> Instance:
        """Take a sidecar's announcement or change in."""
        before = self._instances.get(report.instance)
        instance = Instance(
            name=report.instance,
            zone=report.zone,
            rack=report.rack,
            incarnation=report.incarnation,
            address=report.address,
            service=report.service,
            leaving=report.leaving,
            slots=report.slots,
            max_connections=report.max_connections,
            capacity=admission.read_size(report.capacity),
            committed=admission.read_size(report.load.committed),
            busy_slots=report.load.busy_slots,
            queued=report.load.queued,
            connections=report.load.connections,
            reported_at=time.monotonic(),
            outstanding=before.outstanding if before else 0,
            revision=report.revision,
        )
        self._instances[report.instance] = instance
        return instance

    def note_load(self, name: str, load: control_pb2.Load) -> None:
        """Take in the load that came with a reply."""
        instance = self._instances.get(name)
        if instance is None:
            return
        instance.committed = admission.read_size(load.committed)
        instance.busy_slots = load.busy_slots
        instance.queued = load.queued
        instance.connections = load.connections

    def find(self, name: str) -> Instance | None:
        """Return an instance, also when it has gone silent."""
        return self._instances.get(name)

    def list_all(self) -> list[Instance]:
        """Return every instance that was ever announced."""
        return list(self._instances.values())

    def list_live(self, service: str = '') -> list[Instance]:
        """Return instances that may get new work.

        Parameters
        ----------
        service : str, optional
            Only instances whose backend server offers this.
        """
        oldest = time.monotonic() - self._silence
        return [
            instance
            for instance in self._instances.values()
            if instance.reported_at >= oldest
            and not instance.leaving
            and (not service or instance.service == service)
        ]
