"""Graceful shutdown: call tracking and early end of waits."""

import contextlib
import typing as t

import anyio

_T = t.TypeVar('_T')


class CallTracker:
    """Tracks calls in flight, so that a shutdown can wait for them.

    grpclib's server cancels its handlers when it is closed, so a caller
    would lose a reply that was about to be sent.
    """

    def __init__(self) -> None:
        self._count = 0
        self._idle = anyio.Event()

    @contextlib.contextmanager
    def track(self) -> t.Iterator[None]:
        """Count a call as in flight while the context is open."""
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
    """Signals waiting callers that this process is shutting down."""

    def __init__(self) -> None:
        self.begun = anyio.Event()

    async def run_until_stop(
        self, function: t.Callable[..., t.Awaitable[None]], *args: t.Any
    ) -> None:
        """Run a function; cancel it once the shutdown begins."""

        async def run() -> None:
            await function(*args)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(run)
            await self.begun.wait()
            group.cancel_scope.cancel()

    async def wait_unless_stopping(
        self, wait: t.Callable[[float], t.Awaitable[_T]], seconds: float
    ) -> _T:
        """Call ``wait(seconds)``, or ``wait(0)`` once the shutdown begins.

        Otherwise, a caller waiting for the end of a task would delay the
        shutdown, or be disconnected when it completes.
        """
        results: list[_T] = []
        errors: list[Exception] = []

        async def run() -> None:
            # Raised outside of the task group: callers handle the error
            # itself, not an exception group.
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
    """ASGI middleware that asks for closed connections during a shutdown.

    A client that sends on a persistent connection just as the server
    closes it sees a reset, and cannot know whether its request ran.
    """

    def __init__(self, app: t.Any, is_stopping: t.Callable[[], bool]) -> None:
        self._app = app
        self._is_stopping = is_stopping

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any):
        """Handle one request."""

        async def send_closing(message: t.Any) -> None:
            is_start = message['type'] == 'http.response.start'
            if is_start and self._is_stopping():
                headers = [*message.get('headers', ())]
                headers.append((b'connection', b'close'))
                message = {**message, 'headers': headers}
            await send(message)

        await self._app(scope, receive, send_closing)
