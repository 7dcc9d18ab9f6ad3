"""Stand-in for a runner, as the users' pages describe it.

The text of a task is its duration in milliseconds, or ``lasts``.
"""

import asyncio
import dataclasses
import time
import typing as t

from smallsite import wire

_STEP_SECONDS = 0.02
_MAX_ENDS = 500
_MAX_LEASE_MS = 6000
_BEAT_SECONDS = 1.1
_BEAT_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass
class Size:
    """What a runner has, or a task takes."""

    cpu: int = 0
    memory_mb: int = 0


@dataclasses.dataclass
class Run:
    """One run of a task on a runner.

    Attributes
    ----------
    runner : str
        The runner's name.
    task : str
        The task's full name.
    number : int
        The run's number.
    began, ended : float
        Seconds of the script; ``ended`` is 0 while it runs.
    how : str
        How it ended.
    """

    runner: str
    task: str
    number: int
    began: float
    ends_at: float | None
    ended: float = 0.0
    how: str = ''


class Runner:
    """One runner; it may crash, be dark, and start again under its id.

    Parameters
    ----------
    name : str
        Its name in the record.
    address : str
        Where its sidecar calls it.
    beats_to : str
        The sidecar's address for check-ins.
    capacity : Size
        Its capacity, which it doesn't enforce.
    labels : sequence of str
        Its kind and its rack.
    note : callable
        Writes a line of the record.
    """

    def __init__(
        self,
        name: str,
        address: str,
        beats_to: str,
        capacity: Size,
        labels: t.Sequence[str],
        note: t.Callable[..., None],
    ) -> None:
        self.name = name
        self.id = f'i-{name}'
        self.address = address
        self.capacity = capacity
        self.runs: list[Run] = []
        self.is_up = False
        # Neither answers nor checks in; its tasks go on.
        self.is_dark = False
        self.state = 'ready'
        self.remaining_ms = 0
        self.service = 'planner'
        self.sequence = 0
        # Whether a start has to carry the advisor's ticket.
        self.needs_ticket = False
        # Called with each run that has begun.
        self.on_start: t.Callable[[Run], None] = lambda run: None
        self._beats_to = beats_to
        self._labels = list(labels)
        self._note = note
        self._server = wire.Server(self._handle)
        # Without it, as on the smaller installations, each start has an id
        # of its own.
        self.sends_born = True
        self._starts = 0
        self._born_ms = 0
        self._reset()

    def _reset(self) -> None:
        self._born_ms = max(round(time.time() * 1000), self._born_ms + 1)
        self._started_at = time.monotonic()
        self.sequence = 0
        self._fence = 0
        self._until_ms = 0
        self._active: dict[str, Run] = {}
        self._barred: dict[str, int] = {}
        self._ends: list[list[t.Any]] = []
        self._last_end = 0
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Begin a new life, which knows nothing of earlier ones."""
        self._reset()
        self._starts += 1
        if not self.sends_born:
            self.id = f'i-{self.name}-{self._starts}'
        host, port = self.address.rsplit(':', 1)
        await self._server.open(host, int(port))
        self.is_up = True
        self._note('runner-up', runner=self.name, born=self._born_ms)

    async def crash(self) -> None:
        """End at once; what runs there ends with it."""
        self.is_up = False
        await self._server.close()
        for run in self._active.values():
            run.ended = time.monotonic()
            run.how = 'crashed'
        self._note(
            'runner-crashed', runner=self.name, tasks=sorted(self._active)
        )
        self._active = {}

    async def run(self) -> None:
        """Let tasks and leases end, and check in, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_tasks())
            group.create_task(self._run_beats())

    async def _run_tasks(self) -> None:
        while True:
            await asyncio.sleep(_STEP_SECONDS)
            now = time.monotonic()
            lapsed = self._read_clock_ms() > self._until_ms
            for run in list(self._active.values()):
                if lapsed:
                    self._end(run, 'lapsed')
                elif run.ends_at is not None and run.ends_at <= now:
                    self._end(run, 'done')

    async def _run_beats(self) -> None:
        while True:
            if self.is_up and not self.is_dark:
                await self.beat()
            await asyncio.sleep(_BEAT_SECONDS)

    async def beat(self) -> wire.Answer | None:
        """Check in once at the sidecar."""
        self.sequence += 1
        return await self.send_beat(self.describe())

    def describe(self) -> dict[str, t.Any]:
        """Return what the runner says of itself."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'hall-a',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'remainingMs': self.remaining_ms,
            'coldLeftMs': 0,
            'capacity': {
                'cpu': self.capacity.cpu,
                'memMb': self.capacity.memory_mb,
                'gpu': 0,
            },
            'labels': self._labels,
            'clockMs': self._read_clock_ms(),
            'seq': self.sequence,
            **self._describe_birth(),
        }

    def _describe_birth(self) -> dict[str, int]:
        return {'born': self._born_ms} if self.sends_born else {}

    async def send_beat(
        self, body: t.Mapping[str, t.Any]
    ) -> wire.Answer | None:
        """Send a check-in under the runner's id."""
        return await wire.call(
            self._beats_to,
            'PUT',
            f'/v1/runners/{self.id}',
            body,
            timeout=_BEAT_TIMEOUT_SECONDS,
        )

    async def _handle(self, request: wire.Request) -> wire.Answer:
        if self.is_dark:
            await self._server.never.wait()
        if request.headers.get('expected-instance') != self.id:
            return wire.Answer(421)
        body = request.body
        token = body.get('fencingToken', 0)
        if token < self._fence:
            return self._refuse('fence')
        self._fence = token
        name = request.path.rpartition('/')[2]
        if name == 'run-start':
            return self._start_run(body)
        if name == 'run-stop':
            return self._stop_run(body)
        if name == 'hold':
            return await self._hold(body)
        return self._answer({})

    def _start_run(self, body: t.Mapping[str, t.Any]) -> wire.Answer:
        task, number = body['task'], body['run']
        if body['untilMs'] <= self._read_clock_ms():
            return self._refuse('late')
        if self.needs_ticket:
            phase = task.rpartition('.')[0]
            if body.get('ticket') != f'{phase}-{self.id}':
                return self._refuse('ticket')
        self._extend(body['untilMs'])
        current = self._active.get(task)
        if current is not None and current.number == number:
            return self._answer({})
        if current is not None or number <= self._barred.get(task, 0):
            return self._refuse('old')
        ends_at = None
        if body['spec'] != 'lasts':
            ends_at = time.monotonic() + int(body['spec']) / 1000
        run = Run(self.name, task, number, time.monotonic(), ends_at)
        self._active[task] = run
        self.runs.append(run)
        self._note('start', runner=self.name, task=task, run=number)
        self.on_start(run)
        return self._answer({})

    def _stop_run(self, body: t.Mapping[str, t.Any]) -> wire.Answer:
        task, number = body['task'], body['run']
        run = self._active.get(task)
        if run is not None and run.number == number:
            self._end(run, 'stopped')
        self._barred[task] = max(self._barred.get(task, 0), number)
        return self._answer({})

    async def _hold(self, body: t.Mapping[str, t.Any]) -> wire.Answer:
        if 'untilMs' in body:
            self._extend(body['untilMs'])
        acked = body.get('acked', 0)
        self._ends = [row for row in self._ends if row[0] > acked]
        wait = body.get('waitMs', 0) / 1000
        if wait and not self._ends:
            changed = self._changed
            try:
                async with asyncio.timeout(wait):
                    await changed.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, '', 100, 0] for run in self._active.values()
        ]
        return self._answer(
            {
                **self._describe_birth(),
                'running': running,
                'finished': self._ends[:_MAX_ENDS],
            }
        )

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self._read_clock_ms() + _MAX_LEASE_MS)
        self._until_ms = max(self._until_ms, until_ms)

    def _end(self, run: Run, how: str) -> None:
        del self._active[run.task]
        run.ended = time.monotonic()
        run.how = how
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.number)
        self._last_end += 1
        self._ends.append([self._last_end, run.task, run.number, how, ''])
        self._note(
            'end', runner=self.name, task=run.task, run=run.number, how=how
        )
        self._changed.set()
        self._changed = asyncio.Event()

    def _read_clock_ms(self) -> int:
        return 1000 + round((time.monotonic() - self._started_at) * 1000)

    def _answer(self, body: t.Mapping[str, t.Any]) -> wire.Answer:
        return wire.Answer(200, {'clockMs': self._read_clock_ms(), **body})

    def _refuse(self, reason: str) -> wire.Answer:
        return wire.Answer(
            409, {'clockMs': self._read_clock_ms(), 'reason': reason}
        )
