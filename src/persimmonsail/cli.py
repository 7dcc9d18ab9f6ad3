"""The command line: one program, a subcommand for each role."""

import argparse
import importlib
import pathlib
import sys
import typing as t

import anyio

from persimmonsail import __version__
from persimmonsail import crashes
from persimmonsail import exceptions
from persimmonsail import exits
from persimmonsail import logs
from persimmonsail import settings as settings_module
from persimmonsail import tolerances

_ROLES = ('entry', 'sidecar')
_EPILOG = """\
exit codes:
  0  done
  1  broken: a promise or the kept catalogue
  2  the command line is wrong, or an edit names no base revision
  3  a file has findings; all are printed with their places
  4  the store or an entry gave no answer; nothing was changed
  5  another operator's edit won; yours is kept in your file
  6  unknown whether the edit was accepted
  7  accepted, but not confirmed in force by every live process
"""


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog='persimmonsail',
        description='Scheduler for colocated latency-critical and batch work.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--version', action='version', version=f'%(prog)s {__version__}'
    )
    commands = parser.add_subparsers(dest='command', required=True)
    for role in _ROLES:
        command = commands.add_parser(role, help=f'run the {role} role')
        command.add_argument('settings', type=pathlib.Path, help='INI file')
    check = commands.add_parser('check', help='validate a settings file')
    check.add_argument('settings', type=pathlib.Path, help='INI file')
    check.add_argument('--role', choices=_ROLES, required=True)
    _add_catalogue(commands)
    _add_audit(commands)
    return parser


def _add_catalogue(commands: t.Any) -> None:
    # Only here: the other roles' start stays free of these texts.
    arguments = importlib.import_module('persimmonsail.catalogue_arguments')
    arguments.add_catalogue(commands, _EPILOG)
    arguments.add_status(commands, _EPILOG)


def _add_audit(commands: t.Any) -> None:
    audit = commands.add_parser(
        'audit', help='check every promise from ledger and logs'
    )
    audit.add_argument('logs', type=pathlib.Path, nargs='+')
    source = audit.add_mutually_exclusive_group()
    source.add_argument('--store', help='host:port to read the ledger from')
    source.add_argument(
        '--ledger', type=pathlib.Path, help='a saved copy of the ledger'
    )
    audit.add_argument(
        '--save-ledger', type=pathlib.Path, help='keep a copy of the ledger'
    )
    subject = audit.add_mutually_exclusive_group()
    subject.add_argument('--request', help="print one request's history")
    subject.add_argument('--task', help="print one task's history")
    for name, seconds, text in (
        ('clock', tolerances.DEFAULTS.clock, 'two clocks may differ'),
        (
            'leaving',
            tolerances.DEFAULTS.leaving,
            'a leaving backend server may still be chosen',
        ),
        (
            'catalogue',
            tolerances.DEFAULTS.catalogue,
            'a change may not yet be in force',
        ),
    ):
        audit.add_argument(
            f'--{name}-seconds',
            type=float,
            default=seconds,
            help=f'how long {text} (default: %(default)s)',
        )
    audit.add_argument('--store-kind', default='http')
    audit.add_argument('--timeout', type=float, default=2.0)


def _add_store(parser: argparse.ArgumentParser) -> None:
    arguments = importlib.import_module('persimmonsail.catalogue_arguments')
    arguments.add_store(parser)


def main(arguments: list[str] | None = None) -> int:
    """Run one command.

    Parameters
    ----------
    arguments : list of str, optional
        The command line without the program's name.

    Returns
    -------
    int
        One of the codes in ``persimmonsail.exits``.
    """
    parsed = make_parser().parse_args(arguments)
    try:
        return _COMMANDS[parsed.command](parsed)
    except exceptions.InvalidInput as group:
        print(group.message, file=sys.stderr)
        for finding in group.exceptions:
            print(f'  {finding}', file=sys.stderr)
        return exits.INVALID_INPUT
    except (OSError, exceptions.UnknownKind) as error:
        print(error, file=sys.stderr)
        return exits.INVALID_INPUT


def _run_role(arguments: argparse.Namespace) -> int:
    settings = settings_module.load(arguments.settings, arguments.command)
    logs.configure(settings.process.name)
    # Only the role that runs is imported, to stay small in memory.
    importlib.import_module('persimmonsail.httpstore')
    role = importlib.import_module(f'persimmonsail.{arguments.command}')
    crashes.install_hooks()
    try:
        anyio.run(role.run, settings)
    except Exception as error:
        # Left to the interpreter this is a traceback of many lines,
        # which no collector of log lines takes for one event.
        crashes.report(error)
        return exits.CRASHED
    return exits.OK


def _run_check(arguments: argparse.Namespace) -> int:
    settings_module.load(arguments.settings, arguments.role)
    print('ok')
    return exits.OK


def _run_catalogue(arguments: argparse.Namespace) -> int:
    commands = importlib.import_module('persimmonsail.commands')
    return anyio.run(commands.run, arguments)


def _run_status(arguments: argparse.Namespace) -> int:
    status = importlib.import_module('persimmonsail.status')
    return anyio.run(status.run, arguments)


def _run_audit(arguments: argparse.Namespace) -> int:
    importlib.import_module('persimmonsail.httpstore')
    audit = importlib.import_module('persimmonsail.audit')
    return anyio.run(audit.run, arguments)


_COMMANDS: dict[str, t.Callable[[argparse.Namespace], int]] = {
    'entry': _run_role,
    'sidecar': _run_role,
    'check': _run_check,
    'catalogue': _run_catalogue,
    'status': _run_status,
    'audit': _run_audit,
}
