"""What a graceful stop needs: calls counted, waits ended early."""

import contextlib
import typing as t

import anyio

_T = t.TypeVar('_T')


class Calls:
    """Counts calls in flight, so that a stop can wait for them.

    The library's server cancels its handlers when it is closed; a
    caller would lose an answer that was about to be sent.
    """

    def __init__(self) -> None:
        self._count = 0
        self._idle = anyio.Event()

    @contextlib.contextmanager
    def track(self) -> t.Iterator[None]:
        """Count a call while the context is open."""
        self._count += 1
        try:
            yield
        finally:
            self._count -= 1
            if not self._count:
                self._idle.set()
                self._idle = anyio.Event()

    async def wait_idle(self) -> None:
        """Return once no call is in flight."""
        while self._count:
            await self._idle.wait()


class Stop:
    """Tells waiting callers that this process is stopping."""

    def __init__(self) -> None:
        self.begun = anyio.Event()

    async def run_until_begun(
        self, function: t.Callable[..., t.Awaitable[None]], *args: t.Any
    ) -> None:
        """Run a function; cancel it once the stop begins."""

        async def run() -> None:
            await function(*args)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(run)
            await self.begun.wait()
            group.cancel_scope.cancel()

    async def wait_unless_begun(
        self, wait: t.Callable[[float], t.Awaitable[_T]], seconds: float
    ) -> _T:
        """Call ``wait(seconds)``, or ``wait(0)`` once the stop begins.

        A caller that waits for a task's end would otherwise hold the
        stop up, or be cut off at its end.
        """
        results: list[_T] = []
        errors: list[Exception] = []

        async def run() -> None:
            # Raised outside of the group: callers handle the error
            # itself, not a group of one.
            try:
                results.append(await wait(seconds))
            except Exception as error:
                errors.append(error)
            group.cancel_scope.cancel()

        if seconds > 0 and not self.begun.is_set():
            async with anyio.create_task_group() as group:
                group.start_soon(run)
                await self.begun.wait()
                group.cancel_scope.cancel()
        if errors:
            raise errors[0]
        return results[0] if results else await wait(0)


class CloseConnections:
    """ASGI middleware: asks clients not to keep connections at a stop.

    A client that sends on a kept connection in the moment the server
    closes it sees a reset, and can not know whether its request ran.
    """

    def __init__(self, app: t.Any, is_stopping: t.Callable[[], bool]) -> None:
        self._app = app
        self._is_stopping = is_stopping

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any):
        """Serve one request."""

        async def send_closing(message: t.Any) -> None:
            starts = message['type'] == 'http.response.start'
            if starts and self._is_stopping():
                headers = [*message.get('headers', ())]
                headers.append((b'connection', b'close'))
                message = {**message, 'headers': headers}
            await send(message)

        await self._app(scope, receive, send_closing)
