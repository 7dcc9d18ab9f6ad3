"""The worker's agent on the platform's wire: ``python -m standins.runner``.

``POST /connect`` names the sidecar's address for heartbeats; ``POST
/faults`` sets what goes wrong; ``GET /starts`` returns every start that
was carried out, in order. A task's payload says how long it runs, in
milliseconds; ``lasts`` runs until it is stopped. A word ``crash=KEYS`` in
front of that names tasks of the job, as ``0.0.0/0.0.1``, that end the agent
shortly after each of their starts.
"""

import dataclasses
import time
import uuid

import anyio
import anyio.abc
import httpx
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonsail import logs
from standins import advisor
from standins import serving

_TICK_SECONDS = 0.02
_HEARTBEAT_SECONDS = 0.2


@dataclasses.dataclass
class Faults:
    """What goes wrong with orders, from now on.

    Attributes
    ----------
    late_starts : int
        So many next starts get no answer and are carried out later.
    late_seconds : float
        How much later.
    silent : bool
        No call gets an answer and no heartbeat leaves; what runs goes on
        until its lease ends.
    fail : bool
        Every task fails at once.
    needs_ticket : bool
        A start has to carry the advisor's ticket, as with a queue that
        has an advisor.
    crash_seconds : float
        How long after its start a task that ends the agent does so.
    down_seconds : float
        How long the agent is gone then.
    millicores : int
        What it says that it has; it starts whatever it is told to.
    """

    late_starts: int = 0
    late_seconds: float = 1.0
    silent: bool = False
    fail: bool = False
    needs_ticket: bool = False
    crash_seconds: float = 0.02
    down_seconds: float = 0.2
    millicores: int = 8000


@dataclasses.dataclass
class _Run:
    task: str
    number: int
    ends_at: float | None
    fails: bool


@dataclasses.dataclass(frozen=True)
class _Payload:
    """What a job's tasks do; ``seconds`` is None for those that last."""

    seconds: float | None
    crashing: frozenset[str]

    @classmethod
    def read(cls, text: str) -> '_Payload':
        *words, length = text.split()
        crashing = ''.join(words).removeprefix('crash=').split('/')
        seconds = None if length == 'lasts' else int(length) / 1000
        return cls(seconds, frozenset(crashing))


@dataclasses.dataclass
class Start:
    """A start that was carried out, and when it ended."""

    boot: str
    task: str
    run: int
    began: float
    ended: float = 0.0
    how: str = ''
    acknowledged: bool = False


class RunnerServer:
    """One worker's agent; a new boot forgets everything."""

    def __init__(self, name: str) -> None:
        self._name = name
        self.faults = Faults()
        self.starts: list[Start] = []
        self._target = ''
        self._leaving = False
        self._sequence = 0
        self._group: anyio.abc.TaskGroup | None = None
        self._reset()
        post = {'methods': ['POST']}
        self.app = applications.Starlette(
            routes=[
                routing.Route('/v1/run-start', self._start, **post),
                routing.Route('/v1/run-stop', self._stop, **post),
                routing.Route('/v1/hold', self._hold, **post),
                routing.Route('/v1/pace', self._pace, **post),
                routing.Route('/connect', self._connect, **post),
                routing.Route('/faults', self._set_faults, **post),
                routing.Route('/starts', self._show),
            ]
        )

    def _reset(self) -> None:
        self.boot = f'i-{uuid.uuid4().hex[:8]}'
        self._fence = 0
        self._until = 0
        self._runs: dict[str, _Run] = {}
        self._barred: dict[str, int] = {}
        self._ended: list[list] = []
        self._number = 0
        self._void: set[int] = set()
        self._changed = anyio.Event()

    async def run(self) -> None:
        """End tasks and leases in time, and send heartbeats."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._beat)
            while True:
                await anyio.sleep(_TICK_SECONDS)
                self._tick()

    def restart(self) -> None:
        """Crash, and start again as a new boot."""
        for start in self.starts:
            if not start.ended:
                start.ended = time.time()
                start.how = 'crashed'
        self._reset()

    def _tick(self) -> None:
        now = time.monotonic()
        lapsed = self._until and _read_clock() > self._until
        if lapsed:
            # What ended before is not known to anybody: whoever waited
            # the lease out may have it run again.
            self._void.update(row[0] for row in self._ended)
        for run in list(self._runs.values()):
            if lapsed:
                self._end(run, 'lapsed')
            elif run.fails:
                self._end(run, 'failed')
            elif run.ends_at is not None and run.ends_at <= now:
                self._end(run, 'done')

    def _end(self, run: _Run, how: str) -> None:
        del self._runs[run.task]
        self._barred[run.task] = run.number
        self._number += 1
        self._ended.append([self._number, run.task, run.number, how, ''])
        start = self._find_start(run.task, run.number)
        if start is not None:
            start.ended = time.time()
            start.how = how
        self._changed.set()
        self._changed = anyio.Event()

    async def _beat(self) -> None:
        async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
            while True:
                await anyio.sleep(_HEARTBEAT_SECONDS)
                if not self._target or self.faults.silent:
                    continue
                self._sequence += 1
                body = {
                    'service': 'planner',
                    'address': self._name,
                    'state': 'draining' if self._leaving else 'ready',
                    'remainingMs': 500,
                    'seq': self._sequence,
                    'capacity': {
                        'cpu': self.faults.millicores,
                        'memMb': 16000,
                        'gpu': 0,
                    },
                    'labels': ['a', 'r1-1'],
                    'clockMs': _read_clock(),
                }
                url = f'http://{self._target}/v1/runners/{self.boot}'
                try:
                    await client.put(url, json=body)
                except httpx.HTTPError as error:
                    logs.write_event('heartbeat-lost', error=repr(error))

    async def _check(
        self, request: requests.Request
    ) -> tuple[dict, responses.Response | None]:
        if self.faults.silent:
            await anyio.sleep_forever()
        body = await request.json()
        if request.headers['Expected-Instance'] != self.boot:
            return body, responses.JSONResponse({}, status_code=421)
        if body['fencingToken'] < self._fence:
            return body, _refuse('fence')
        self._fence = body['fencingToken']
        return body, None

    async def _start(self, request: requests.Request) -> responses.Response:
        body, refusal = await self._check(request)
        if refusal is not None:
            return refusal
        if self.faults.late_starts:
            self.faults.late_starts -= 1
            self._group.start_soon(
                self._start_late, self.boot, body, self.faults.late_seconds
            )
            await anyio.sleep_forever()
        return self._start_now(body)

    async def _start_late(self, boot: str, body: dict, wait: float) -> None:
        await anyio.sleep(wait)
        if boot == self.boot:
            self._start_now(body)

    def _start_now(self, body: dict) -> responses.Response:
        task, number = body['task'], body['run']
        if body['untilMs'] < _read_clock():
            return _refuse('late')
        if self.faults.needs_ticket:
            step = task.rpartition('.')[0]
            if body.get('ticket') != advisor.make_ticket(step, self.boot):
                return _refuse('ticket')
        known = self._runs.get(task)
        if known is not None and known.number == number:
            return _answer({})
        if known is not None or number <= self._barred.get(task, 0):
            return _refuse('old')
        self._until = max(self._until, body['untilMs'])
        payload = _Payload.read(body['spec'])
        ends_at = None
        if payload.seconds is not None:
            ends_at = time.monotonic() + payload.seconds
        self._runs[task] = _Run(task, number, ends_at, self.faults.fail)
        self.starts.append(Start(self.boot, task, number, time.time()))
        if task.partition('.')[2] in payload.crashing:
            self._group.start_soon(self._crash_soon, self.boot)
        return _answer({})

    async def _crash_soon(self, boot: str) -> None:
        await anyio.sleep(self.faults.crash_seconds)
        if boot != self.boot:
            return
        self.restart()
        faults, self.faults.silent = self.faults, True
        await anyio.sleep(faults.down_seconds)
        faults.silent = False

    async def _stop(self, request: requests.Request) -> responses.Response:
        body, refusal = await self._check(request)
        if refusal is not None:
            return refusal
        task, number = body['task'], body['run']
        run = self._runs.get(task)
        if run is not None and run.number == number:
            self._end(run, 'stopped')
        self._barred[task] = max(self._barred.get(task, 0), number)
        return _answer({})

    async def _hold(self, request: requests.Request) -> responses.Response:
        body, refusal = await self._check(request)
        if refusal is not None:
            return refusal
        self._until = max(self._until, body.get('untilMs', 0))
        self._forget(body['acked'])
        if not self._ended and body.get('waitMs'):
            with anyio.move_on_after(body['waitMs'] / 1000):
                await self._changed.wait()
        if request.headers['Expected-Instance'] != self.boot:
            # The agent has crashed meanwhile.
            await anyio.sleep_forever()
        running = [[r.task, r.number, '', 0, 0] for r in self._runs.values()]
        return _answer({'running': running, 'finished': self._ended})

    def _forget(self, number: int) -> None:
        """Drop the ends up to a number; the caller has noted them."""
        for row in self._ended:
            if row[0] <= number and row[0] not in self._void:
                start = self._find_start(row[1], row[2])
                if start is not None:
                    start.acknowledged = True
        self._ended = [row for row in self._ended if row[0] > number]

    def _find_start(self, task: str, number: int) -> Start | None:
        key = (self.boot, task, number)
        for start in self.starts:
            if (start.boot, start.task, start.run) == key:
                return start
        return None

    async def _pace(self, request: requests.Request) -> responses.Response:
        _, refusal = await self._check(request)
        return refusal or _answer({})

    async def _connect(self, request: requests.Request) -> responses.Response:
        self._target = (await request.json())['address']
        return responses.JSONResponse({})

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        body = await request.json()
        if body.pop('restart', False):
            self.restart()
        self._leaving = body.pop('leaving', False)
        self.faults = Faults(**body)
        return responses.JSONResponse({'boot': self.boot})

    async def _show(self, request: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            [dataclasses.asdict(start) for start in self.starts]
        )


def _read_clock() -> int:
    return round(time.monotonic() * 1000)


def _answer(body: dict) -> responses.Response:
    return responses.JSONResponse({'clockMs': _read_clock(), **body})


def _refuse(reason: str) -> responses.Response:
    body = {'clockMs': _read_clock(), 'reason': reason}
    return responses.JSONResponse(body, status_code=409)


def main() -> None:
    """Run the stand-in until SIGTERM."""
    arguments = serving.parse_arguments('Runner stand-in')
    logs.configure(arguments.name)
    server = RunnerServer(arguments.name)
    anyio.run(serving.serve, server.app, arguments.listen, server.run)


if __name__ == '__main__':
    main()
