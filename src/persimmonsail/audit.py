"""The regulator's check of every promise, from ledger and logs alone."""

import argparse
import dataclasses
import pathlib
import typing as t

from persimmonsail import exits
from persimmonsail import logs
from persimmonsail import records


@dataclasses.dataclass(frozen=True)
class Violation:
    """One promise that did not hold, and the evidence."""

    invariant: str
    subject: str
    text: str


@dataclasses.dataclass(frozen=True)
class Evidence:
    """All events of all processes, by the order of their time."""

    events: tuple[dict[str, str], ...]

    def select(self, *names: str) -> t.Iterator[dict[str, str]]:
        """Return the events of the given kinds."""
        return (e for e in self.events if e.get('event') in names)


Check = t.Callable[[Evidence], t.Iterator[Violation]]
CHECKS: dict[str, Check] = {}


def register(invariant: str) -> t.Callable[[Check], Check]:
    """Add the check of one invariant."""

    def add(check: Check) -> Check:
        CHECKS[invariant] = check
        return check

    return add


def read_logs(paths: t.Iterable[pathlib.Path]) -> Evidence:
    """Read log files; lines that are no events are passed over."""
    events = []
    for path in paths:
        for line in path.read_text(encoding='utf-8').splitlines():
            try:
                fields = logs.parse_line(line)
            except logs.LogSyntaxError:
                continue
            if 'event' in fields and 'time' in fields:
                events.append(fields)
    events.sort(key=lambda fields: float(fields['time']))
    return Evidence(tuple(events))


def check_all(evidence: Evidence) -> list[Violation]:
    """Run every registered check."""
    return [
        violation
        for _, check in sorted(CHECKS.items())
        for violation in check(evidence)
    ]


async def run(arguments: argparse.Namespace) -> int:
    """Print all violations and a verdict."""
    violations = check_all(read_logs(arguments.logs))
    for violation in violations:
        print(
            logs.format_line(
                {'violation': violation.invariant, **vars(violation)}
            )
        )
    print(f'audit={"broken" if violations else "ok"}')
    return exits.BROKEN if violations else exits.OK


@register('I4')
def _check_one_final_answer(evidence: Evidence) -> t.Iterator[Violation]:
    final: dict[str, int] = {}
    for event in evidence.select('ledger-commit'):
        for record in records.load_batch(event['batch']).records:
            if isinstance(record, records.Finished):
                final[record.task] = final.get(record.task, 0) + 1
    for task, count in final.items():
        if count > 1:
            yield Violation('I4', task, f'{count} final outcomes')
