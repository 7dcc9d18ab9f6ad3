import contextlib

import anyio
import anyio.abc

from persimmonsail import exceptions
from persimmonsail.sidecars import backends
from tests import base

# Long enough to connect and send on a busy machine.
TIMEOUT_SECONDS = 2.0


@contextlib.asynccontextmanager
async def open_silent_server():
    """Open a server that reads requests and never answers."""
    received = anyio.Event()

    async def handle(stream) -> None:
        async with stream:
            async for _ in stream:
                received.set()

    async with (
        await anyio.create_tcp_listener(local_host='127.0.0.1') as listener,
        anyio.create_task_group() as group,
    ):
        group.start_soon(listener.serve, handle)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield f'127.0.0.1:{port}', received
        group.cancel_scope.cancel()


class BackendTest(base.TestCase):
    async def test_only_what_was_sent_has_an_unknown_outcome(self):
        """An order that was never sent is reported as unknown.

        The only connection is in use until the deadline of a second
        request, which must be reported as not run. The first was sent
        and gets no answer, so its outcome is unknown.
        """
        outcomes = {}

        async def send(name: str, timeout: float) -> None:
            try:
                await backend.send(name, b'{}', '', timeout)
            except exceptions.BackendNotConnected:
                outcomes[name] = 'not run'
            except exceptions.BackendAnswerLost:
                outcomes[name] = 'unknown'

        async with (
            open_silent_server() as (address, received),
            backends.Backend(address, connections=1) as backend,
            anyio.create_task_group() as group,
        ):
            group.start_soon(send, 'sent', TIMEOUT_SECONDS)
            await received.wait()
            await send('waiting', TIMEOUT_SECONDS / 20)
        self.assertEqual({'sent': 'unknown', 'waiting': 'not run'}, outcomes)
