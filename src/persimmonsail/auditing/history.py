"""The complete history of one request or task, from the logs."""

import pathlib
import typing as t

from persimmonsail.auditing import evidence
from persimmonsail.bookkeeping import records
from persimmonsail import logs

_LEDGER_EVENTS = ('ledger-commit', 'ledger-read')
_LINK_FIELDS = ('attempt', 'task', 'request')
_HIDDEN_FIELDS = ('batch', 'level')
_MIN_ID_LENGTH = 16


def collect_lines(subject: str, paths: t.Sequence[pathlib.Path]) -> list[str]:
    """Return all lines about a request or task, in order of time.

    The logs are read twice: lines that name the subject also name its
    attempts and its task, and the history includes the lines of these.

    Parameters
    ----------
    subject : str
        The identifier of a request or task.
    paths : sequence of pathlib.Path
        The logs of all processes.

    Returns
    -------
    list of str
        Readable lines; empty if none mentions the subject.
    """
    names = {subject}
    for event in _read(paths, names):
        for field in _LINK_FIELDS:
            # A task's attempt numbers are small and identify nothing.
            if len(event.get(field)) >= _MIN_ID_LENGTH:
                names.add(event.get(field))
    found = [
        (event.time, line)
        for event in _read(paths, names)
        for line in _describe(event, names)
    ]
    found.sort(key=lambda pair: pair[0])
    return [line for _, line in found]


def _read(
    paths: t.Sequence[pathlib.Path], names: set[str]
) -> t.Iterator[evidence.Event]:
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as file:
            for number, line in enumerate(file, start=1):
                if not any(name in line for name in names):
                    continue
                event = evidence.read_event(line, str(path), number)
                if event is not None:
                    yield event


def _describe(event: evidence.Event, names: set[str]) -> t.Iterator[str]:
    head = f'{event.time:.6f} {event.process} {event.name}'
    if event.name not in _LEDGER_EVENTS:
        fields = {
            key: value
            for key, value in event.fields.items()
            if key not in _HIDDEN_FIELDS and value
        }
        yield f'{head} {logs.format_line(fields)}'
        return
    batch = records.load_batch(event.get('batch'))
    for record in batch.records:
        if getattr(record, 'task', None) in names:
            fields = {
                'partition': event.get('partition'),
                'position': batch.position,
                'epoch': batch.epoch,
                **{k: v for k, v in vars(record).items() if v},
            }
            yield f'{head} {logs.format_line(fields)}'
