"""Errors that nobody foresaw, reported as one log line each.

A traceback spreads over many lines of standard error, where neither
``audit`` nor a log collector takes it for one event.
"""

import errno
import sys
import threading
import types
import typing as t

from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail import tracebacks


_WRONG_ADDRESS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES)


def report_unstarted(error: BaseException) -> bool:
    """Log an error that its settings explain, and say whether it was one.

    Such an error is the operator's to mend and no bug: a port that
    another process has, or settings that do not fit the ledger's.
    """
    for leaf in tracebacks.list_leaves(error):
        if _is_explained(leaf):
            logs.write_error('not-started', text=leaf)
            return True
    return False


def _is_explained(error: BaseException) -> bool:
    if isinstance(error, OSError):
        return error.errno in _WRONG_ADDRESS
    return isinstance(error, exceptions.SettingsMismatch)


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
