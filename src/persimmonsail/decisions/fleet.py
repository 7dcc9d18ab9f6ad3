"""An entry's view of the instances that sidecars announce."""

import dataclasses
import time

from persimmonsail import control_pb2
from persimmonsail.decisions import admission
from persimmonsail.decisions import interference
from persimmonsail.decisions import usage

RETENTION_SECONDS = 900.0


@dataclasses.dataclass
class Instance:
    """One announced instance; times are monotonic seconds.

    ``outstanding`` counts this entry's own requests in flight there,
    ``failures`` the consecutive task failures, and ``unproved`` the
    started tasks that have neither ended nor run for long enough to
    prove themselves, see ``persimmonsail.decisions.quarantine``.
    ``shares`` has the fraction of the cores that each batch class uses,
    ``demand`` the fraction of the slots that each latency-critical class
    keeps busy.
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
    backend_leaving: bool = False
    clock_ms: int = 0
    revision: int = 0
    shares: dict[str, float] = dataclasses.field(default_factory=dict)
    demand: dict[str, float] = dataclasses.field(default_factory=dict)
    failures: int = 0
    unproved: int = 0


class Fleet:
    """Instances by name; those that stop reporting expire.

    ``estimator`` learns from the samples of all reports.

    Parameters
    ----------
    timeout : float
        Seconds without a report after which an instance gets no new work.
    retention : float, optional
        Seconds without a report after which an instance is removed.
    """

    def __init__(
        self, timeout: float, retention: float = RETENTION_SECONDS
    ) -> None:
        self._timeout = timeout
        self.estimator = interference.Estimator()
        self._retention = retention
        self._last_cleanup_at = time.monotonic()
        self._instances: dict[str, Instance] = {}

    def note_report(self, report: control_pb2.SidecarReport) -> Instance:
        """Record a sidecar's announcement or update."""
        before = self._instances.get(report.instance)
        if before is not None and _is_late(report, before):
            return before
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
            backend_leaving=report.backend_leaving,
            clock_ms=report.clock_ms,
            revision=report.revision,
            failures=report.load.failures,
            unproved=report.load.unproved,
        )
        if report.HasField('usage'):
            instance.shares = usage.read_shares(report.usage.shares)
            instance.demand = usage.read_shares(report.usage.demand)
        elif before and before.incarnation == report.incarnation:
            instance.shares = before.shares
            instance.demand = before.demand
        for sample in report.samples:
            self.estimator.learn(
                usage.read_sample(sample, instance.reported_at)
            )
        self._remove_expired()
        if before is None:
            self._instances[report.instance] = instance
            return instance
        # Requests in flight hold a reference to the object and decrement
        # its counter when they end; a new object's counter would never
        # return to zero.
        instance.outstanding = before.outstanding
        vars(before).update(vars(instance))
        return before

    def note_load(self, name: str, load: control_pb2.Load) -> None:
        """Record the load reported in a reply."""
        instance = self._instances.get(name)
        if instance is None:
            return
        instance.committed = admission.read_size(load.committed)
        instance.busy_slots = load.busy_slots
        instance.queued = load.queued
        instance.connections = load.connections
        instance.failures = load.failures
        instance.unproved = load.unproved

    def note_reply(
        self, name: str, incarnation: str, reply: control_pb2.ExecuteReply
    ) -> None:
        """Record the load and clock of a reply unless it is outdated.

        A reply of a sidecar that has since been replaced does not
        describe the new one.
        """
        instance = self._instances.get(name)
        if instance is None or instance.incarnation != incarnation:
            return
        if reply.clock_ms > instance.clock_ms:
            instance.clock_ms = reply.clock_ms
            self.note_load(name, reply.load)

    def _remove_expired(self) -> None:
        now = time.monotonic()
        if now - self._last_cleanup_at < self._retention / 10:
            return
        self._last_cleanup_at = now
        for name, instance in list(self._instances.items()):
            is_expired = now - instance.reported_at > self._retention
            if is_expired and not instance.outstanding:
                del self._instances[name]

    def find(self, name: str) -> Instance | None:
        """Return an instance, even if it no longer reports."""
        return self._instances.get(name)

    def list_all(self) -> list[Instance]:
        """Return all instances that have not been removed."""
        return list(self._instances.values())

    def list_live(self, service: str = '') -> list[Instance]:
        """Return the instances that may get new work.

        Parameters
        ----------
        service : str, optional
            Only instances whose backend server offers this service.
        """
        min_reported_at = time.monotonic() - self._timeout
        return [
            instance
            for instance in self._instances.values()
            if instance.reported_at >= min_reported_at
            and not instance.leaving
            and (not service or _serves(instance, service))
        ]


def _is_late(report: control_pb2.SidecarReport, current: Instance) -> bool:
    same_incarnation = report.incarnation == current.incarnation
    return same_incarnation and report.clock_ms < current.clock_ms


def _serves(instance: Instance, service: str) -> bool:
    return instance.service == service and not instance.backend_leaving
