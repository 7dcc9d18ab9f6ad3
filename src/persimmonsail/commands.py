"""Operators' commands on the catalogue."""

import argparse
import getpass
import pathlib
import sys
import typing as t

from persimmonsail import catalogue
from persimmonsail import exceptions
from persimmonsail import exits
from persimmonsail import logs
from persimmonsail import revisions
from persimmonsail import store as store_module

_Command = t.Callable[
    [argparse.Namespace, revisions.CatalogueStore], t.Awaitable[int]
]
COMMANDS: dict[str, _Command] = {}


def register(name: str) -> t.Callable[[_Command], _Command]:
    """Add a command under ``persimmonsail catalogue NAME``."""

    def add(command: _Command) -> _Command:
        COMMANDS[name] = command
        return command

    return add


async def run(arguments: argparse.Namespace) -> int:
    """Run one command and return the exit code."""
    store = store_module.KINDS[arguments.store_kind](
        arguments.store, arguments.timeout
    )
    try:
        command = COMMANDS[arguments.action]
        return await command(arguments, revisions.CatalogueStore(store))
    except exceptions.StoreUnavailable as error:
        print(f'the store gave no answer: {error}', file=sys.stderr)
        return exits.UNAVAILABLE
    finally:
        await store.close()


@register('show')
async def _show(
    arguments: argparse.Namespace, kept: revisions.CatalogueStore
) -> int:
    head, _ = await kept.read()
    print(f'; revision {head.revision} by {head.author or "nobody"}')
    print(head.text, end='')
    return exits.OK


@register('history')
async def _history(
    arguments: argparse.Namespace, kept: revisions.CatalogueStore
) -> int:
    for head in await kept.read_history():
        print(f'{head.revision} {head.id} {head.author}')
    return exits.OK


@register('check')
async def _check(
    arguments: argparse.Namespace, kept: revisions.CatalogueStore
) -> int:
    _read_file(arguments.file)
    print('ok')
    return exits.OK


@register('diff')
async def _diff(
    arguments: argparse.Namespace, kept: revisions.CatalogueStore
) -> int:
    new = _read_file(arguments.file)
    head, _ = await kept.read()
    print(_diff_to(head, new, str(arguments.file)))
    return exits.OK


@register('apply')
async def _apply(
    arguments: argparse.Namespace, kept: revisions.CatalogueStore
) -> int:
    new = _read_file(arguments.file)
    head, key_revision = await kept.read()
    base = arguments.base if arguments.base is not None else head.revision
    if base != head.revision:
        return _report_lost_race(head, new, arguments)
    try:
        accepted = await kept.swap(
            head, key_revision, new, arguments.author or getpass.getuser()
        )
    except exceptions.Conflict:
        won, _ = await kept.read()
        return _report_lost_race(won, new, arguments)
    print(f'accepted revision={accepted.revision} id={accepted.id}')
    _print_evidence(accepted)
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


def _read_file(path: pathlib.Path) -> str:
    text = path.read_text(encoding='utf-8')
    catalogue.parse(str(path), text)
    return text


def _diff_to(head: revisions.Head, new: str, name: str) -> str:
    return catalogue.diff(head.text, new, f'revision {head.revision}', name)


def _report_lost_race(
    won: revisions.Head, new: str, arguments: argparse.Namespace
) -> int:
    print(
        f'not accepted: revision {won.revision} by {won.author} won',
        file=sys.stderr,
    )
    print(_diff_to(won, new, str(arguments.file)), file=sys.stderr)
    return exits.LOST_RACE
