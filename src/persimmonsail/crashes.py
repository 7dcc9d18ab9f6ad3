"""Errors that nobody foresaw, reported as one log line each.

A traceback spreads over many lines of standard error, where neither
``audit`` nor a log collector takes it for one event.
"""

import sys
import threading
import types
import typing as t

from persimmonsail import logs
from persimmonsail import tracebacks


def report(error: BaseException) -> None:
    """Log an error that ends this process."""
    logs.write_error('crash', **tracebacks.describe(error))


def install_hooks() -> None:
    """Turn errors that reach the interpreter's top into one line each."""
    sys.excepthook = _report_uncaught
    sys.unraisablehook = _report_unraisable
    threading.excepthook = _report_thread


def _report_uncaught(
    kind: type[BaseException],
    error: BaseException,
    trace: types.TracebackType | None,
) -> None:
    report(error)


def _report_unraisable(unraisable: t.Any) -> None:
    if unraisable.exc_value is not None:
        logs.write_error(
            'unraisable', **tracebacks.describe(unraisable.exc_value)
        )


def _report_thread(arguments: t.Any) -> None:
    if arguments.exc_value is not None:
        logs.write_error(
            'thread-error', **tracebacks.describe(arguments.exc_value)
        )
