"""A sidecar's state of its own instance."""

import dataclasses
import math
import time
import uuid

from persimmonsail import control_pb2
from persimmonsail.decisions import admission
from persimmonsail.decisions import quarantine
from persimmonsail.decisions import usage
from persimmonsail import logs


def _read_clock() -> float:
    # Looked up on each call, so that tests can replace the clock.
    return time.monotonic()


def _make_incarnation() -> str:
    return uuid.uuid4().hex


def name_verdict(verdict: int) -> str:
    """Return a verdict's name in log lines."""
    return control_pb2.Verdict.Name(verdict).lower().replace('_', '-')


@dataclasses.dataclass
class OwnInstance:
    """The sidecar's own instance: commitments, queue and state.

    ``incarnation`` distinguishes the processes of successive sidecars;
    ``revision`` is the highest observed catalogue revision.
    ``backend_leaving`` affects quick requests only, not tasks.
    ``max_evidence_age`` is how many seconds from ``confirmed_at`` an
    entry's report of a fresh catalogue remains valid.
    """

    incarnation: str = dataclasses.field(default_factory=_make_incarnation)
    revision: int = 0
    max_evidence_age: float = math.inf
    confirmed_at: float = -math.inf
    started_at: float = dataclasses.field(default_factory=_read_clock)
    has_fresh_evidence: bool = False
    leaving: bool = False
    backend_leaving: bool = False
    busy_slots: int = 0
    queued: int = 0
    latencies: usage.LatencyLog = dataclasses.field(
        default_factory=usage.LatencyLog
    )
    commitments: admission.Commitments = dataclasses.field(
        default_factory=lambda: admission.Commitments(admission.Size())
    )
    probation: quarantine.Probation = dataclasses.field(
        default_factory=quarantine.Probation
    )

    def describe_load(self) -> control_pb2.Load:
        """Return the load that is attached to every reply."""
        return control_pb2.Load(
            committed=self.commitments.total.to_message(),
            busy_slots=self.busy_slots,
            queued=self.queued,
            failures=self.probation.failures,
            unproved=self.probation.unproved,
            connections=self.busy_slots,
        )

    def record_revision(self, revision: int) -> None:
        """Record the highest observed catalogue revision."""
        if revision > self.revision:
            self.revision = revision
            logs.write_event(
                'catalogue', revision=revision, incarnation=self.incarnation
            )

    def record_confirmation(self, asked_at: float, evidence_at: float) -> None:
        """Record an entry's report that its catalogue is fresh.

        Parameters
        ----------
        asked_at : float
            Monotonic seconds, read before the entry was asked.
        evidence_at : float
            Monotonic seconds at which no revision higher than the
            entry's had been accepted.
        """
        self.confirmed_at = max(self.confirmed_at, asked_at)
        if evidence_at >= self.started_at:
            self.has_fresh_evidence = True

    def find_staleness(self) -> str:
        """Return why no revision can be trusted; empty if one can.

        A restarted sidecar has lost the highest revision, and an entry
        may still be fresh under the previous one. Evidence newer than
        the sidecar's start covers every revision it may have lost. An
        entry that was frozen while a change was accepted resumes with
        the replaced revision. Without a recent confirmation, this
        sidecar may not have been notified of the change.
        """
        if self.max_evidence_age == math.inf:
            return ''
        if not self.has_fresh_evidence:
            return 'no entry confirms the catalogue revision since the start'
        if time.monotonic() - self.confirmed_at <= self.max_evidence_age:
            return ''
        return 'no entry confirms the catalogue revision'
