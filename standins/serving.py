"""Runs a stand-in as a process."""

import argparse
import signal
import typing as t

import anyio

from persimmonsail import httpserver
from persimmonsail import logs
from persimmonsail import looplag


async def serve(
    app: t.Any, address: str, *background: t.Callable[[], t.Awaitable[None]]
) -> None:
    """Serve until SIGTERM; log the address when listening."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with (
            anyio.create_task_group() as group,
            httpserver.HttpServer(app, address, drain=1.0) as server,
        ):
            group.start_soon(looplag.monitor)
            for function in background:
                group.start_soon(function)
            logs.write_event('listening', http=server.address)
            await anext(aiter(signals))
            group.cancel_scope.cancel()


def parse_arguments(description: str, *options: str) -> argparse.Namespace:
    """Parse ``--listen``, ``--name`` and further ``--option value`` pairs."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--listen', default='127.0.0.1:0')
    parser.add_argument('--name', default=description.split()[0].lower())
    for option in options:
        name, _, default = option.partition('=')
        parser.add_argument(f'--{name}', default=default)
    return parser.parse_args()
