"""Reports unhandled exceptions as one log line each.

A traceback spans many lines of standard error, which neither ``audit``
nor a log collector treats as one event.
"""

import errno
import sys
import threading
import types
import typing as t

from persimmonsail import exceptions
from persimmonsail import logs
from persimmonsail import tracebacks


_ADDRESS_ERRNOS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES)


def report_startup_error(error: BaseException) -> bool:
    """Log an error that the settings cause; return whether it was one.

    The operator has to correct such an error, it is no bug: a port that
    is in use, or settings that contradict those of the ledger.
    """
    for leaf in tracebacks.list_leaves(error):
        if _is_settings_error(leaf):
            logs.write_error('not-started', text=leaf)
            return True
    return False


def _is_settings_error(error: BaseException) -> bool:
    if isinstance(error, OSError):
        return error.errno in _ADDRESS_ERRNOS
    return isinstance(error, exceptions.SettingsMismatch)


def report(error: BaseException) -> None:
    """Log an exception that ends this process."""
    logs.write_error('crash', **tracebacks.describe(error))


def install_hooks() -> None:
    """Log exceptions that reach the interpreter as one line each."""
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
