"""The latest contact of a holder with each instance's sidecar."""

import dataclasses
import time
import typing as t

# Bounds the clock drift between holder, sidecar and worker over one
# lease, plus the delay until the worker acts on a lease's end.
LEASE_MARGIN_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class Contact:
    """A sidecar's latest reply; ``received_at`` is monotonic seconds.

    Every lease granted on ``ticket`` ends by ``received_at`` plus one
    lease.
    """

    incarnation: str
    boot: str
    ticket: float
    received_at: float

    @property
    def age(self) -> float:
        """Seconds since the ticket was received."""
        return time.monotonic() - self.received_at


class Contacts:
    """Latest contacts by instance name, and the time since each."""

    def __init__(self, lease_seconds: float) -> None:
        self._lease_seconds = lease_seconds
        self._contacts: dict[str, Contact] = {}

    def note(self, instance: str, incarnation: str, reply: t.Any) -> Contact:
        """Store the ticket received with a reply."""
        contact = Contact(
            incarnation, reply.boot, reply.ticket, time.monotonic()
        )
        self._contacts[instance] = contact
        return contact

    def find(self, instance: str) -> Contact | None:
        """Return the latest contact that this holder has had."""
        return self._contacts.get(instance)

    def find_fresh(self, instance: str) -> Contact | None:
        """Return a contact whose ticket is valid for half a lease or more."""
        contact = self._contacts.get(instance)
        if contact is None or contact.age > self._lease_seconds / 2:
            return None
        return contact

    def measure_silence(
        self, instance: str, others_expired_at: float
    ) -> float:
        """Return for how many seconds no lease can have been granted.

        Parameters
        ----------
        instance : str
            The instance's name.
        others_expired_at : float
            When the authority of earlier holders ended.
        """
        contact = self._contacts.get(instance)
        since = others_expired_at
        if contact is not None:
            since = max(since, contact.received_at)
        return time.monotonic() - since

    def has_expired(self, instance: str, others_expired_at: float) -> bool:
        """Whether every lease granted on an instance has expired.

        The worker stops a task by itself when its lease ends. Only
        after that plus a margin can the task be started elsewhere
        without running twice.
        """
        silence = self.measure_silence(instance, others_expired_at)
        return silence > self._lease_seconds + LEASE_MARGIN_SECONDS
