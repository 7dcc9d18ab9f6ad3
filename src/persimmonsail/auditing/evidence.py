"""Reads the decision logs of all processes as events.

Files are read line by line, and only events that a check uses are
retained, so that logs may be larger than memory.
"""

import collections
import dataclasses
import pathlib
import re
import sys
import typing as t

from persimmonsail import logs

# The events used by the checks or to rebuild the ledger's chains.
AUDITED_EVENTS = frozenset(
    {
        'admission',
        'answer',
        'caller-gone',
        'catalogue',
        'catalogue-accepted',
        'dispatch',
        'ends-acknowledged',
        'job-call',
        'job-phase',
        'leaving',
        'ledger-commit',
        'ledger-read',
        'listening',
        'outcome',
        'placed',
        'placement',
        'refusal',
        'renewal',
        'request',
        'request-error',
        'routing',
        'run-barred',
        'run-ended',
        'run-lost',
        'started',
        'stopped',
        'stopping',
        'takeover',
        'task-admission',
        'task-answer',
        'task-dispatch',
        'commitment-freed',
        'task-ended',
        'task-found',
    }
)
# A caller's request ends with exactly one of these events.
FINAL_EVENTS = (
    'answer',
    'refusal',
    'request-error',
    'task-answer',
    'caller-gone',
)
_EVENT = re.compile(r'(?:^| )event=([a-z][a-z0-9-]*)')
_D = t.TypeVar('_D')


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One log line; ``time`` is in seconds of the process's own clock."""

    name: str
    process: str
    time: float
    fields: dict[str, str]
    file: str
    line: int

    @property
    def location(self) -> str:
        """The file and line number."""
        return f'{self.file}:{self.line}'

    def get(self, field: str) -> str:
        """Return a field; empty if it is missing."""
        return self.fields.get(field, '')

    def get_int(self, field: str) -> int:
        """Return a field as an integer; zero if it is missing or empty."""
        return int(self.fields.get(field) or 0)

    def get_float(self, field: str) -> float:
        """Return a field as a float; zero if it is missing or empty."""
        return float(self.fields.get(field) or 0)


@dataclasses.dataclass
class Evidence:
    """The audited events of all processes, by name and in order of time.

    Attributes
    ----------
    processes : set of str
        The processes that wrote any audited event.
    lines, unparsed : int
        The numbers of lines read and of lines that were no events.
    """

    processes: set[str] = dataclasses.field(default_factory=set)
    lines: int = 0
    unparsed: int = 0
    _by_name: dict[str, list[Event]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    _derived: dict[t.Any, t.Any] = dataclasses.field(default_factory=dict)

    def add(self, event: Event) -> None:
        """Add one event."""
        self.processes.add(event.process)
        self._by_name[event.name].append(event)

    def sort(self) -> None:
        """Sort by time; lines with equal times keep their order."""
        for events in self._by_name.values():
            events.sort(key=lambda event: event.time)

    def select(self, *names: str) -> list[Event]:
        """Return the events with the given names, in order of time."""
        if len(names) == 1:
            return self._by_name.get(names[0], [])
        events = [e for name in names for e in self._by_name.get(name, ())]
        events.sort(key=lambda event: event.time)
        return events

    def group(self, name: str, field: str) -> dict[str, list[Event]]:
        """Return the events of one name, grouped by the value of a field."""
        events: dict[str, list[Event]] = collections.defaultdict(list)
        for event in self.select(name):
            events[event.get(field)].append(event)
        return events

    def derive(self, build: t.Callable[['Evidence'], _D]) -> _D:
        """Return the cached result of ``build`` for this evidence."""
        if build not in self._derived:
            self._derived[build] = build(self)
        return self._derived[build]


def read_logs(paths: t.Iterable[pathlib.Path]) -> Evidence:
    """Read log files; lines that are no events are only counted."""
    evidence = Evidence()
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as file:
            for number, line in enumerate(file, start=1):
                _read_line(evidence, line, str(path), number)
    evidence.sort()
    return evidence


def _read_line(evidence: Evidence, line: str, file: str, number: int) -> None:
    evidence.lines += 1
    name = _EVENT.search(line)
    if name is None:
        evidence.unparsed += 1
        return
    if name[1] not in AUDITED_EVENTS:
        return
    event = read_event(line, file, number)
    if event is None:
        evidence.unparsed += 1
    else:
        evidence.add(event)


def read_event(line: str, file: str, number: int) -> Event | None:
    """Parse one log line; None if it is no event."""
    try:
        fields = logs.parse_line(line)
        return Event(
            sys.intern(fields.pop('event')),
            sys.intern(fields.pop('process')),
            float(fields.pop('time')),
            {sys.intern(key): value for key, value in fields.items()},
            file,
            number,
        )
    except (logs.LogSyntaxError, KeyError, ValueError):
        return None
