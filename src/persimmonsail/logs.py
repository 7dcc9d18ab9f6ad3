"""Structured logs: one line of key=value pairs per event.

A value is written unquoted if it consists of letters, digits and
``_./:+@%,-`` only, else as a JSON string. ``parse_line`` reads back
exactly what ``format_line`` wrote.
"""

import atexit
import hashlib
import json
import logging
import re
import sys
import time
import typing as t

from absl import flags
from absl import logging as absl_logging

from persimmonsail import exceptions
from persimmonsail import logwriter
from persimmonsail import tracebacks

_DIGEST_LENGTH = 16
_BARE = re.compile(r'[A-Za-z0-9_./:+@%,-]+')
_PAIR = re.compile(
    r'(?P<key>[a-z][a-z0-9_]*)='
    r'(?:(?P<quoted>"(?:[^"\\]|\\.)*")|(?P<bare>[A-Za-z0-9_./:+@%,-]+))'
    r'(?: |$)'
)


class LogSyntaxError(exceptions.PersimmonsailError):
    """A line does not consist of key=value pairs."""


def format_line(fields: t.Mapping[str, object]) -> str:
    """Format fields as one line of key=value pairs."""
    return ' '.join(f'{key}={_quote(v)}' for key, v in fields.items())


def parse_line(line: str) -> dict[str, str]:
    """Parse a line that ``format_line`` wrote.

    Raises
    ------
    LogSyntaxError
        If any part of the line is not a key=value pair.
    """
    fields: dict[str, str] = {}
    position = 0
    line = line.rstrip('\n')
    while position < len(line):
        pair = _PAIR.match(line, position)
        if pair is None:
            raise LogSyntaxError(f'no key=value pair at column {position}')
        quoted = pair['quoted']
        fields[pair['key']] = json.loads(quoted) if quoted else pair['bare']
        position = pair.end()
    return fields


def _quote(value: object) -> str:
    if isinstance(value, bool):
        text = 'yes' if value else 'no'
    elif isinstance(value, float):
        text = f'{value:.6g}'
    else:
        text = str(value)
    return text if _BARE.fullmatch(text) else json.dumps(text)


def _describe_message(record: logging.LogRecord, text: str) -> dict[str, str]:
    fields = {'event': 'message', 'logger': record.name, 'text': text}
    error = record.exc_info[1] if record.exc_info else None
    if error is not None:
        description = tracebacks.describe(error)
        fields |= {
            name: description[name] for name in ('error', 'where', 'trace')
        }
        fields['error_text'] = description['text']
    return fields


class _LineFormatter(logging.Formatter):
    """Adds time, level and process to the fields of an event."""

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        header = {
            'time': f'{record.created:.6f}',
            'level': record.levelname.lower(),
            'process': self._process,
        }
        text = record.getMessage()
        if record.name != 'absl' or not text.startswith('event='):
            text = format_line(_describe_message(record, text))
        return f'{format_line(header)} {text}'


def configure(process: str, stream: t.TextIO | None = None) -> None:
    """Send all log lines of this process to standard output.

    Parameters
    ----------
    process : str
        Value of ``process`` in every line.
    stream : file object, optional
        Stream to write to instead of standard output.
    """
    # Until absl's flags are marked as parsed, its handler ignores its
    # stream and writes to standard error.
    flags.FLAGS.mark_as_parsed()
    handler = absl_logging.get_absl_handler()
    formatter = _LineFormatter(process)
    handler.python_handler.stream = stream or _open_writer(formatter)
    handler.python_handler.setFormatter(formatter)
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(absl_logging.INFO)
    logging.captureWarnings(True)
    logging.getLogger('httpx').setLevel(logging.WARNING)
    logging.getLogger('hypercorn').setLevel(logging.WARNING)


def _open_writer(formatter: logging.Formatter) -> t.TextIO:
    def format_dropped(count: int) -> str:
        text = format_line({'event': 'log-lines-dropped', 'count': count})
        record = logging.LogRecord(
            'absl', logging.WARNING, __file__, 0, text, None, None
        )
        return formatter.format(record) + '\n'

    try:
        descriptor = sys.stdout.fileno()
    except (OSError, ValueError):
        # Not backed by a file descriptor, so that writing can't block.
        return sys.stdout
    writer = logwriter.LineWriter(descriptor, format_dropped)
    # Closed at interpreter exit: lines may be written until then.
    atexit.register(writer.close)
    return t.cast(t.TextIO, writer)


def write_event(event: str, **fields: object) -> None:
    """Log an informational event with its fields."""
    absl_logging.info('%s', format_line({'event': event, **fields}))


def write_warning(event: str, **fields: object) -> None:
    """Log an event that an operator may have to act on."""
    absl_logging.warning('%s', format_line({'event': event, **fields}))


def write_error(event: str, **fields: object) -> None:
    """Log an event that ended something prematurely."""
    absl_logging.error('%s', format_line({'event': event, **fields}))


def digest(data: bytes) -> str:
    """Return a short hash of an answer, as evidence; empty for no data."""
    if not data:
        return ''
    return hashlib.sha256(data).hexdigest()[:_DIGEST_LENGTH]


def wall_time() -> float:
    """Return seconds since the epoch; used as evidence only."""
    return time.time()
