"""Command-line arguments of the operators' commands."""

import argparse
import dataclasses
import pathlib
import typing as t


@dataclasses.dataclass(frozen=True)
class _Action:
    """One ``catalogue`` command: its help and an example."""

    help: str
    description: str
    example: str
    takes_file: bool = False
    needs_store: bool = True


_ACTIONS = {
    'show': _Action(
        'print the catalogue in force',
        'Print the catalogue in force, or an earlier revision. The first '
        'line names the revision; leave it in the file that you edit, so '
        'that apply can detect a concurrent edit.',
        'persimmonsail catalogue show --store 10.0.0.5:4000 > mine.ini',
    ),
    'history': _Action(
        'list every accepted revision',
        'List every accepted revision with author, time and id.',
        'persimmonsail catalogue history --store 10.0.0.5:4000',
    ),
    'check': _Action(
        'validate a catalogue file',
        'Report every error in a file, with its location and the '
        'allowed values. Needs no store.',
        'persimmonsail catalogue check mine.ini',
        takes_file=True,
        needs_store=False,
    ),
    'diff': _Action(
        'compare a file with the catalogue in force',
        'Print what applying the file would change.',
        'persimmonsail catalogue diff mine.ini --store 10.0.0.5:4000',
        takes_file=True,
    ),
    'apply': _Action(
        'put a file in force, unless it lost a race',
        'Put a file in force by compare-and-swap on the revision that it '
        'was edited from. If another edit was accepted first, prints its '
        'author and the difference. Prints "accepted" once the swap has '
        'succeeded and, with --wait, "in-force" once every live process '
        'has confirmed it.',
        'persimmonsail catalogue apply mine.ini --wait 10 '
        '--store 10.0.0.5:4000',
        takes_file=True,
    ),
}


def add_catalogue(commands: t.Any, epilog: str) -> None:
    """Add the ``catalogue`` command with its actions."""
    catalogue = commands.add_parser(
        'catalogue',
        help='read and edit the catalogue',
        description='Read and edit the catalogue: show, edit, check, apply.',
        epilog=epilog,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    actions = catalogue.add_subparsers(dest='action', required=True)
    for name, action in _ACTIONS.items():
        parser = actions.add_parser(
            name,
            help=action.help,
            description=action.description,
            epilog=f'example: {action.example}',
        )
        if action.takes_file:
            parser.add_argument('file', type=pathlib.Path, help='INI file')
        if action.needs_store:
            add_store(parser)
        if name == 'show':
            parser.add_argument(
                '--revision',
                type=_parse_revision,
                help='an earlier revision instead of the one in force',
            )
        if name == 'apply':
            _add_apply(parser)


def _add_apply(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--base',
        type=_parse_base,
        help="the revision that the edit was made from (default: the file's "
        'first line as printed by show); "head" replaces whatever is in force',
    )
    parser.add_argument(
        '--author', default='', help='default: the user who runs the command'
    )
    parser.add_argument(
        '--wait',
        type=_parse_seconds,
        default=0.0,
        metavar='SECONDS',
        help='maximum time to wait until every live entry and sidecar '
        'has confirmed the revision',
    )


def add_status(commands: t.Any, epilog: str) -> None:
    """Add the ``status`` command."""
    parser = commands.add_parser(
        'status',
        help='show the state of the live entries',
        description='Print a key=value line for each live entry (revision, '
        'readiness,\npartitions held) and each instance that it sees.',
        epilog='example: persimmonsail status --store 10.0.0.5:4000\n'
        'example: persimmonsail status 10.0.1.2:7000 10.0.2.2:7000\n\n'
        + epilog,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        'entries',
        nargs='*',
        metavar='ENTRY',
        help="control addresses to ask instead of the store's list",
    )
    add_store(parser, required=False)


def add_store(parser: argparse.ArgumentParser, required: bool = True) -> None:
    """Add the options that select the store."""
    parser.add_argument(
        '--store', required=required, default='', help='host:port'
    )
    parser.add_argument(
        '--store-kind', default='http', help='adapter (default: %(default)s)'
    )
    parser.add_argument(
        '--timeout',
        type=_parse_seconds,
        default=2.0,
        help='seconds for each call to the store (default: %(default)s)',
    )


def _parse_revision(text: str) -> int:
    if not text.isdecimal():
        raise argparse.ArgumentTypeError(f'not a revision: {text!r}')
    return int(text)


def _parse_base(text: str) -> str:
    if text != 'head' and not text.isdecimal():
        raise argparse.ArgumentTypeError(
            f'not a revision: {text!r}; allowed: a number, or head'
        )
    return text


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 <= seconds <= 3600:
        raise argparse.ArgumentTypeError(
            f'not a number of seconds: {text!r}; allowed: 0 to 3600'
        )
    return seconds
