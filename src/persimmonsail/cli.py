"""Command line: one program with a subcommand for each role and tool."""

import argparse
import importlib
import pathlib
import sys
import textwrap
import typing as t

import anyio

import persimmonsail
from persimmonsail.auditing import tolerances
from persimmonsail import crashes
from persimmonsail import exceptions
from persimmonsail import exits
from persimmonsail import logs
from persimmonsail import settings as settings_module

# Modules of the roles for settings without a [jobs] section.
_ROLES = {
    'entry': 'persimmonsail.callers.entry',
    'sidecar': 'persimmonsail.sidecars.sidecar',
}
_CATALOGUE_ARGUMENTS = 'persimmonsail.operators.catalogue_arguments'
_WIDTH = 79
_EPILOG = exits.describe()
_ROLE_TEXTS = {
    'entry': (
        'Serve callers over HTTP and hold partitions of the task ledger. '
        'Runs until SIGTERM, then shuts down gracefully: reports not ready, '
        'hands over its partitions, completes the requests in flight.'
    ),
    'sidecar': (
        'Admit work to one instance: quick requests to its backend server, '
        'tasks to its worker. Runs until SIGTERM, then shuts down gracefully: '
        'announces its departure, accepts no new work, completes the work in '
        'flight.'
    ),
}
_CHECK_TEXT = (
    'Report all errors in a settings file, each with file, line, section, '
    'option and the allowed values. Needs no store.'
)
_AUDIT_TEXT = (
    "Reconstruct the history from the processes' log files and the task "
    'ledger, check every guarantee, and print one line for each violation, '
    'then a verdict. Relies on no running process.'
)
_EXPLAIN_TEXT = (
    'Print every log line about one job, ordered across all processes, then '
    'each cause found for its refusal, delay or failure, with the log line '
    'that established it. Reads log files only.'
)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the complete command line."""
    parser = argparse.ArgumentParser(
        prog='persimmonsail',
        description='Scheduler for colocated latency-critical and batch work.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'%(prog)s {persimmonsail.__version__}',
    )
    commands = parser.add_subparsers(dest='command', required=True)
    for role in _ROLES:
        command = _add_command(
            commands,
            role,
            f'run the {role} role',
            _ROLE_TEXTS[role],
            f'persimmonsail {role} {role}.ini',
        )
        command.add_argument('settings', type=pathlib.Path, help='INI file')
    check = _add_command(
        commands,
        'check',
        'validate a settings file',
        _CHECK_TEXT,
        'persimmonsail check entry.ini --role entry',
    )
    check.add_argument('settings', type=pathlib.Path, help='INI file')
    check.add_argument(
        '--role',
        choices=_ROLES,
        required=True,
        help='role that the file is meant for',
    )
    _add_catalogue(commands)
    _add_audit(commands)
    _add_explain(commands)
    return parser


def _add_command(
    commands: t.Any, name: str, text: str, description: str, example: str
) -> argparse.ArgumentParser:
    return commands.add_parser(
        name,
        help=text,
        description=textwrap.fill(description, _WIDTH),
        epilog=f'example: {example}\n\n{_EPILOG}',
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )


def _add_catalogue(commands: t.Any) -> None:
    # Imported here to keep these texts out of the start of other roles.
    arguments = importlib.import_module(_CATALOGUE_ARGUMENTS)
    arguments.add_catalogue(commands, _EPILOG)
    arguments.add_status(commands, _EPILOG)


def _add_audit(commands: t.Any) -> None:
    audit = _add_command(
        commands,
        'audit',
        'check every guarantee against ledger and logs',
        _AUDIT_TEXT,
        'persimmonsail audit --store 10.0.0.5:4000 logs/*.log',
    )
    audit.add_argument(
        'logs',
        type=pathlib.Path,
        nargs='+',
        help='log files of all processes, in any order',
    )
    source = audit.add_mutually_exclusive_group()
    source.add_argument(
        '--store', help='host:port of the store to read the ledger from'
    )
    source.add_argument(
        '--ledger', type=pathlib.Path, help='a saved copy of the ledger'
    )
    audit.add_argument(
        '--save-ledger', type=pathlib.Path, help='save a copy of the ledger'
    )
    subject = audit.add_mutually_exclusive_group()
    subject.add_argument('--request', help="print one request's history")
    subject.add_argument('--task', help="print one task's history")
    for name, seconds, text in (
        ('clock', tolerances.DEFAULTS.clock, 'of offset between two clocks'),
        (
            'leaving',
            tolerances.DEFAULTS.leaving,
            'in which a leaving backend server may still be chosen',
        ),
        (
            'catalogue',
            tolerances.DEFAULTS.catalogue,
            'until a change has to be in force',
        ),
    ):
        audit.add_argument(
            f'--{name}-seconds',
            type=float,
            default=seconds,
            help=f'maximum seconds {text} (default: %(default)s)',
        )
    audit.add_argument(
        '--store-kind',
        default='http',
        help='store adapter (default: %(default)s)',
    )
    audit.add_argument(
        '--timeout',
        type=float,
        default=2.0,
        help='timeout of each store call in seconds (default: %(default)s)',
    )


def _add_explain(commands: t.Any) -> None:
    explain = _add_command(
        commands,
        'explain',
        'explain why a job was refused, delayed or failed',
        _EXPLAIN_TEXT,
        'persimmonsail explain 3a785f93fa34c516 logs/*.log',
    )
    explain.add_argument('id', help="the job's id")
    explain.add_argument(
        'logs',
        type=pathlib.Path,
        nargs='+',
        help='log files of all processes, in any order',
    )


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
    # Only the role that runs is imported, to limit memory use.
    importlib.import_module('persimmonsail.httpstore')
    crashes.install_hooks()
    try:
        if settings.jobs is not None:
            roles = importlib.import_module('persimmonsail.platform.roles')
            anyio.run(roles.run, settings, arguments.command)
        else:
            role = importlib.import_module(_ROLES[arguments.command])
            anyio.run(role.run, settings)
    except Exception as error:
        if crashes.report_startup_error(error):
            return exits.INVALID_INPUT
        # The interpreter would print a traceback of many lines, which log
        # collectors don't treat as one event.
        crashes.report(error)
        return exits.CRASHED
    return exits.OK


def _run_check(arguments: argparse.Namespace) -> int:
    settings_module.load(arguments.settings, arguments.role)
    print('ok')
    return exits.OK


def _run_catalogue(arguments: argparse.Namespace) -> int:
    commands = importlib.import_module('persimmonsail.operators.commands')
    return anyio.run(commands.run, arguments)


def _run_status(arguments: argparse.Namespace) -> int:
    status = importlib.import_module('persimmonsail.partitioning.status')
    return anyio.run(status.run, arguments)


def _run_explain(arguments: argparse.Namespace) -> int:
    explanation = importlib.import_module('persimmonsail.auditing.explanation')
    return explanation.run(arguments)


def _run_audit(arguments: argparse.Namespace) -> int:
    importlib.import_module('persimmonsail.httpstore')
    audit = importlib.import_module('persimmonsail.auditing.audit')
    return anyio.run(audit.run, arguments)


_COMMANDS: dict[str, t.Callable[[argparse.Namespace], int]] = {
    'entry': _run_role,
    'sidecar': _run_role,
    'check': _run_check,
    'catalogue': _run_catalogue,
    'status': _run_status,
    'audit': _run_audit,
    'explain': _run_explain,
}
