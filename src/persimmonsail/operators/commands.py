"""Operators' commands on the catalogue."""

import argparse
import datetime
import getpass
import pathlib
import re
import sys
import typing as t

from persimmonsail.catalogues import catalogue
from persimmonsail.catalogues import catalogue_store
from persimmonsail.catalogues import revisions
from persimmonsail import exceptions
from persimmonsail import exits
from persimmonsail import findings
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail.partitioning import status
from persimmonsail import store as store_module

HEAD_BASE = 'head'
_REVISION_HEADER = re.compile(r'^; revision (?P<revision>\d+)\b')

_OfflineCommand = t.Callable[[argparse.Namespace], int]
_Command = t.Callable[
    [argparse.Namespace, store_module.Store], t.Awaitable[int]
]
OFFLINE_COMMANDS: dict[str, _OfflineCommand] = {}
COMMANDS: dict[str, _Command] = {}
_CommandT = t.TypeVar('_CommandT', bound=t.Callable[..., t.Any])


def register(
    name: str, registry: dict[str, t.Any]
) -> t.Callable[[_CommandT], _CommandT]:
    """Add a command under ``persimmonsail catalogue NAME``."""

    def add(command: _CommandT) -> _CommandT:
        registry[name] = command
        return command

    return add


async def run(arguments: argparse.Namespace) -> int:
    """Run one command and return the exit code."""
    if arguments.action in OFFLINE_COMMANDS:
        return OFFLINE_COMMANDS[arguments.action](arguments)
    store = store_module.open_adapter(
        arguments.store_kind, arguments.store, arguments.timeout
    )
    try:
        return await COMMANDS[arguments.action](arguments, store)
    except exceptions.StoreUnavailable as error:
        _print_error(f'the store did not answer: {error}')
        if arguments.action == 'apply':
            _print_error(
                'not accepted: the swap was not sent; nothing has changed. '
                'Run the same command again once the store answers'
            )
        return exits.UNAVAILABLE
    except exceptions.CatalogueUnreadable as error:
        _print_error(f'the store holds no readable catalogue: {error}')
        return exits.BROKEN
    finally:
        await store.close()


@register('check', OFFLINE_COMMANDS)
def _check(arguments: argparse.Namespace) -> int:
    _read_file(arguments.file)
    print('ok')
    return exits.OK


@register('show', COMMANDS)
async def _show(
    arguments: argparse.Namespace, store: store_module.Store
) -> int:
    catalogues = catalogue_store.CatalogueStore(store)
    if arguments.revision is None:
        head = (await catalogues.read()).head
    else:
        head = await catalogues.read_revision(arguments.revision)
        if head is None:
            _print_error(f'no revision {arguments.revision} was ever accepted')
            return exits.INVALID_INPUT
    print(f'; revision {head.revision} by {head.author or "nobody"}')
    print(_strip_header(head.text), end='')
    return exits.OK


@register('history', COMMANDS)
async def _history(
    arguments: argparse.Namespace, store: store_module.Store
) -> int:
    for head in await catalogue_store.CatalogueStore(store).read_history():
        print(_describe(head))
    return exits.OK


@register('diff', COMMANDS)
async def _diff(
    arguments: argparse.Namespace, store: store_module.Store
) -> int:
    new = _read_file(arguments.file)
    base = await catalogue_store.CatalogueStore(store).read()
    print(_diff_to(base.head, new, str(arguments.file)))
    return exits.OK


@register('apply', COMMANDS)
async def _apply(
    arguments: argparse.Namespace, store: store_module.Store
) -> int:
    new = _read_file(arguments.file)
    catalogues = catalogue_store.CatalogueStore(store)
    base = await catalogues.read()
    edited_from = _find_base(arguments.base, new, base.head.revision)
    if edited_from is None:
        _print_error(
            'not accepted: the file does not say which revision it was '
            f'edited from, and revision {base.head.revision} is in force. '
            'Start from `persimmonsail catalogue show`, or give --base N, '
            'or --base head to replace whatever is in force'
        )
        return exits.USAGE
    if edited_from != base.head.revision:
        return _report_lost_race(base.head, new, arguments)
    author = arguments.author or getpass.getuser()
    try:
        accepted = await catalogues.swap(base, _strip_header(new), author)
    except exceptions.Conflict:
        return _report_lost_race(
            (await catalogues.read()).head, new, arguments
        )
    except exceptions.OutcomeUnknown as error:
        _report_unknown(error, base.head.revision)
        return exits.OUTCOME_UNKNOWN
    print(f'accepted revision={accepted.revision} id={accepted.id}')
    _print_evidence(accepted)
    if arguments.wait:
        return await _wait_in_force(store, accepted, arguments.wait)
    return exits.OK


def _print_evidence(accepted: revisions.Head) -> None:
    fields = {
        'time': f'{logs.wall_time():.6f}',
        'process': 'catalogue',
        'event': 'catalogue-accepted',
        'revision': accepted.revision,
        'id': accepted.id,
    }
    print(logs.format_line(fields))


async def _wait_in_force(
    store: store_module.Store, accepted: revisions.Head, seconds: float
) -> int:
    with links_module.Links() as links:
        entries = status.Entries(store, links)
        missing = await entries.wait_confirmed(accepted.revision, seconds)
    if not missing:
        print(f'in-force revision={accepted.revision}')
        return exits.OK
    for process in missing:
        fields = {'unconfirmed': process.name, 'reason': process.reason}
        _print_error(logs.format_line(fields))
    _print_error(
        f'accepted, but not yet confirmed in force within {seconds:g} s. '
        'Do not apply it again: it stays accepted. See `persimmonsail status`'
    )
    return exits.NOT_CONFIRMED


def _find_base(given: str | None, text: str, in_force: int) -> int | None:
    if given == HEAD_BASE:
        return in_force
    if given is not None:
        return int(given)
    if header := _REVISION_HEADER.match(text):
        return int(header['revision'])
    return None if in_force else 0


def _strip_header(text: str) -> str:
    # Stored with the text, it would name this edit's base for good.
    if _REVISION_HEADER.match(text):
        return text.partition('\n')[2]
    return text


def _read_file(path: pathlib.Path) -> str:
    text = findings.read_text(path)
    catalogue.parse(str(path), text)
    return text


def _describe(head: revisions.Head) -> str:
    applied_at = datetime.datetime.fromtimestamp(head.applied_at, datetime.UTC)
    return logs.format_line(
        {
            'revision': head.revision,
            'author': head.author,
            'applied': applied_at.isoformat(timespec='seconds'),
            'id': head.id,
        }
    )


def _diff_to(head: revisions.Head, new: str, name: str) -> str:
    return catalogue.diff(
        _strip_header(head.text),
        _strip_header(new),
        f'revision {head.revision}',
        name,
    )


def _report_lost_race(
    winner: revisions.Head, new: str, arguments: argparse.Namespace
) -> int:
    _print_error(
        f'not accepted: revision {winner.revision} by {winner.author} won. '
        f'Your edit is kept in {arguments.file}; its difference from the '
        'revision that won follows'
    )
    _print_error(_describe(winner))
    _print_error(_diff_to(winner, new, str(arguments.file)))
    return exits.LOST_RACE


def _report_unknown(error: exceptions.OutcomeUnknown, base: int) -> None:
    _print_error(
        f'unknown whether revision {base + 1} was accepted: {error}. '
        f'Once the store answers, look for id={error.id} in `persimmonsail '
        f'catalogue history`; if it is absent, apply again with --base {base}'
        ': the same edit can never be accepted twice from one base'
    )


def _print_error(text: str) -> None:
    print(text, file=sys.stderr)
