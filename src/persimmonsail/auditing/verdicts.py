"""The results of an audit: a verdict and findings per invariant."""

import dataclasses
import enum
import typing as t

from persimmonsail.auditing import chain as chain_module
from persimmonsail.auditing import evidence as evidence_module
from persimmonsail.auditing import tolerances as tolerances_module
from persimmonsail.catalogues import revisions


class Verdict(enum.StrEnum):
    """Whether the evidence shows that an invariant held."""

    HELD = 'held'
    VIOLATED = 'violated'
    NOT_SHOWN = 'not-shown'


class Located(t.Protocol):
    """Evidence that a finding refers to: a log line or ledger record."""

    @property
    def location(self) -> str:
        """The file and line number, or the store key."""


@dataclasses.dataclass(frozen=True)
class Finding:
    """A subject that violates, or may violate, an invariant."""

    subject: str
    text: str
    locations: tuple[str, ...] = ()


@dataclasses.dataclass
class Report:
    """The result of one check.

    Attributes
    ----------
    cases : int
        The number of subjects checked; with none, a verdict of ``held``
        shows nothing.
    violations, gaps : list of Finding
        Proven violations, and subjects with insufficient evidence.
    """

    invariant: str
    title: str
    cases: int = 0
    violations: list[Finding] = dataclasses.field(default_factory=list)
    gaps: list[Finding] = dataclasses.field(default_factory=list)

    @property
    def verdict(self) -> Verdict:
        """The verdict derived from all findings."""
        if self.violations:
            return Verdict.VIOLATED
        return Verdict.NOT_SHOWN if self.gaps else Verdict.HELD

    def add_violation(self, subject: str, text: str, *lines: Located) -> None:
        """Record that the invariant did not hold for a subject."""
        self.violations.append(_make_finding(subject, text, lines))

    def add_gap(self, subject: str, text: str, *lines: Located) -> None:
        """Record that the evidence for a subject is insufficient."""
        self.gaps.append(_make_finding(subject, text, lines))


def _make_finding(
    subject: str, text: str, lines: t.Iterable[Located]
) -> Finding:
    return Finding(subject, text, tuple(line.location for line in lines))


@dataclasses.dataclass
class Case:
    """The input of a check; ``heads`` is the catalogue history."""

    logs: evidence_module.Evidence
    ledger: chain_module.Ledgers
    heads: list[revisions.Head] | None = None
    tolerances: tolerances_module.Tolerances = tolerances_module.DEFAULTS


Check = t.Callable[[Case, Report], None]


@dataclasses.dataclass(frozen=True)
class Registered:
    """A check and the title of its invariant."""

    title: str
    check: Check


CHECKS: dict[str, Registered] = {}


def register(invariant: str, title: str) -> t.Callable[[Check], Check]:
    """Register the check of one invariant."""

    def add(check: Check) -> Check:
        CHECKS[invariant] = Registered(title, check)
        return check

    return add


def run_checks(case: Case) -> list[Report]:
    """Run all registered checks in the order of their invariants."""
    reports = []
    for invariant, registered in sorted(CHECKS.items()):
        report = Report(invariant, registered.title)
        registered.check(case, report)
        reports.append(report)
    return reports
