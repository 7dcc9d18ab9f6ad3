"""Stand-in for a worker's agent: ``python -m standins.runner``.

Serves the platform's protocol. ``POST /connect`` sets the sidecar's
address for heartbeats; ``POST /faults`` sets the faults to inject; ``GET
/starts`` returns every start that was executed, in order, and ``GET /lease``
for how long the runs may go on.

The payload of a task is its duration in milliseconds, or ``lasts`` to run
until it is stopped. A prefix ``crash=KEYS`` lists tasks of the job, as
``0.0.0/0.0.1``, that crash the agent shortly after each of their starts.

A restarted agent keeps its id unless the faults say otherwise. It has lost
all state, its clock and its numbers start anew, and connections of the
start before are closed; what was sent over them is lost, except for calls
that are executed late.
"""

import dataclasses
import random
import time
import typing as t
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

_UPDATE_SECONDS = 0.02
_MAX_ENDS_LISTED = 500
_HEARTBEAT_SECONDS = 0.2
# Range of the clock at a start.
_MIN_CLOCK_MS = 1_000
_MAX_CLOCK_MS = 900_000
# Numbers of another program's heartbeats begin here.
_FOREIGN_SEQUENCE = 1_000_000


@dataclasses.dataclass
class Faults:
    """Faults injected into orders.

    Attributes
    ----------
    late_starts : int
        Number of next starts that get no response and are executed later.
    late_holds : int
        Number of next holds that acknowledge ends, get no response and are
        executed later.
    late_seconds : float
        Delay of these calls.
    silent : bool
        No call gets a response and no heartbeat is sent; tasks keep
        running until their lease ends.
    fail : bool
        Every task fails immediately.
    refuse : bool
        Every start is refused as by an unhealthy agent.
    needs_ticket : bool
        A start must carry the advisor's permit, as in a queue that has an
        advisor.
    crash_seconds : float
        Delay between the start of a crashing task and the crash.
    down_seconds : float
        Downtime of the agent after the crash.
    millicores : int
        Capacity that the agent reports; it does not enforce it.
    new_ids : bool
        Each restart gets a new id.
    sends_born : bool
        Heartbeats and lists of runs carry the time of the start, as those
        of older agents do not.
    clock_ms : int
        The clock at the next restart; 0 for a random one.
    foreign_heartbeats : bool
        Another program sends heartbeats of another service under the
        agent's id, with higher numbers.
    """

    late_starts: int = 0
    late_holds: int = 0
    late_seconds: float = 1.0
    silent: bool = False
    fail: bool = False
    refuse: bool = False
    needs_ticket: bool = False
    crash_seconds: float = 0.02
    down_seconds: float = 0.2
    millicores: int = 8000
    new_ids: bool = False
    sends_born: bool = True
    clock_ms: int = 0
    foreign_heartbeats: bool = False


@dataclasses.dataclass
class _Run:
    task: str
    number: int
    ends_at: float | None
    fails: bool


@dataclasses.dataclass(frozen=True)
class _Payload:
    """Behaviour of a job's tasks; ``seconds`` is None if they last."""

    seconds: float | None
    crashing: frozenset[str]

    @classmethod
    def parse(cls, text: str) -> '_Payload':
        *options, duration = text.split()
        crashing = ''.join(options).removeprefix('crash=').split('/')
        seconds = None if duration == 'lasts' else int(duration) / 1000
        return cls(seconds, frozenset(crashing))


@dataclasses.dataclass
class Start:
    """A start that was executed, and when and how it ended.

    ``boot`` is the agent's id, and ``born`` tells its starts apart.
    ``meant_for`` is when the start was born that the call was sent to.
    """

    boot: str
    born: int
    task: str
    run: int
    began: float
    meant_for: int
    ended: float = 0.0
    how: str = ''
    acknowledged: bool = False


class RunnerServer:
    """One worker's agent; a new boot loses all state."""

    def __init__(self, name: str) -> None:
        self._name = name
        self.faults = Faults()
        self.starts: list[Start] = []
        self._sidecar_address = ''
        self._leaving = False
        self.boot = _make_id()
        self._born_ms = 0
        self._group: anyio.abc.TaskGroup | None = None
        # The other ends of connections, and those of earlier starts.
        self._peers: set[t.Any] = set()
        self._closed_peers: set[t.Any] = set()
        self._reset()
        post = {'methods': ['POST']}
        self.app = applications.Starlette(
            routes=[
                routing.Route('/v1/run-start', self._start, **post),
                routing.Route('/v1/run-stop', self._stop, **post),
                routing.Route('/v1/hold', self._hold, **post),
                routing.Route('/v1/pace', self._throttle, **post),
                routing.Route('/connect', self._connect, **post),
                routing.Route('/faults', self._set_faults, **post),
                routing.Route('/starts', self._list_starts),
                routing.Route('/lease', self._show_lease),
            ]
        )

    def _reset(self) -> None:
        if self.faults.new_ids:
            self.boot = _make_id()
        self._born_ms = max(round(time.time() * 1000), self._born_ms + 1)
        clock_ms = random.randrange(_MIN_CLOCK_MS, _MAX_CLOCK_MS)
        self._clock_offset_ms = (
            self.faults.clock_ms or clock_ms
        ) - time.monotonic() * 1000
        self._closed_peers |= self._peers
        self._peers = set()
        self._sequence = 0
        self._fencing_token = 0
        self._lease_until_ms = 0
        self._runs: dict[str, _Run] = {}
        self._barred: dict[str, int] = {}
        self._ended: list[list] = []
        self._last_end_number = 0
        self._lapsed_ends: set[int] = set()
        self._changed = anyio.Event()

    async def run(self) -> None:
        """End tasks and leases when they are due, and send heartbeats."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._send_heartbeats)
            while True:
                await anyio.sleep(_UPDATE_SECONDS)
                self._update_runs()

    def restart(self) -> None:
        """Crash and start again."""
        for start in self.starts:
            if not start.ended:
                start.ended = time.time()
                start.how = 'crashed'
        self._reset()

    def _update_runs(self) -> None:
        now = time.monotonic()
        lapsed = (
            self._lease_until_ms
            and self._read_clock_ms() > self._lease_until_ms
        )
        if lapsed:
            # Once the lease has lapsed the leader may rerun tasks whose end
            # it does not know of; acknowledging such an end does not count.
            self._lapsed_ends.update(row[0] for row in self._ended)
        for run in list(self._runs.values()):
            if lapsed:
                self._end(run, 'lapsed')
            elif run.fails:
                self._end(run, 'failed')
            elif run.ends_at is not None and run.ends_at <= now:
                self._end(run, 'done')

    def _end(self, run: _Run, outcome: str) -> None:
        del self._runs[run.task]
        self._barred[run.task] = run.number
        self._last_end_number += 1
        self._ended.append(
            [self._last_end_number, run.task, run.number, outcome, '']
        )
        start = self._find_start(run.task, run.number)
        if start is not None:
            start.ended = time.time()
            start.how = outcome
        self._changed.set()
        self._changed = anyio.Event()

    async def _send_heartbeats(self) -> None:
        async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
            while True:
                await anyio.sleep(_HEARTBEAT_SECONDS)
                if not self._sidecar_address or self.faults.silent:
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
                    'clockMs': self._read_clock_ms(),
                    **self._describe_start(),
                }
                url = f'http://{self._sidecar_address}/v1/runners/{self.boot}'
                sent = [body]
                if self.faults.foreign_heartbeats:
                    number = _FOREIGN_SEQUENCE + self._sequence
                    foreign = {'service': 'other', 'seq': number}
                    sent.append({**body, **foreign})
                try:
                    for heartbeat in sent:
                        await client.put(url, json=heartbeat)
                except httpx.HTTPError as error:
                    logs.write_event('heartbeat-lost', error=repr(error))

    async def _validate(
        self, request: requests.Request
    ) -> tuple[dict, responses.Response | None]:
        if self.faults.silent:
            await anyio.sleep_forever()
        body = await request.json()
        if request.client in self._closed_peers:
            return body, _close()
        self._peers.add(request.client)
        if request.headers['Expected-Instance'] != self.boot:
            return body, responses.JSONResponse({}, status_code=421)
        if body['fencingToken'] < self._fencing_token:
            return body, self._refuse('fence')
        self._fencing_token = body['fencingToken']
        return body, None

    async def _start(self, request: requests.Request) -> responses.Response:
        body, refusal = await self._validate(request)
        if refusal is not None:
            return refusal
        if self.faults.refuse:
            return responses.JSONResponse({}, status_code=503)
        if self.faults.late_starts:
            self.faults.late_starts -= 1
            self._group.start_soon(
                self._start_delayed,
                self.boot,
                self._born_ms,
                body,
                self.faults.late_seconds,
            )
            await anyio.sleep_forever()
        return self._start_now(body, self._born_ms)

    async def _start_delayed(
        self, boot: str, born_ms: int, body: dict, seconds: float
    ) -> None:
        await anyio.sleep(seconds)
        if boot == self.boot and body['fencingToken'] >= self._fencing_token:
            self._start_now(body, born_ms)

    async def _hold_delayed(
        self, boot: str, body: dict, seconds: float
    ) -> None:
        await anyio.sleep(seconds)
        if boot == self.boot and body['fencingToken'] >= self._fencing_token:
            self._extend_and_discard(body)

    def _start_now(self, body: dict, meant_for: int) -> responses.Response:
        task, number = body['task'], body['run']
        if body['untilMs'] < self._read_clock_ms():
            return self._refuse('late')
        if self.faults.needs_ticket:
            step = task.rpartition('.')[0]
            if body.get('ticket') != advisor.make_permit(step, self.boot):
                return self._refuse('ticket')
        current = self._runs.get(task)
        if current is not None and current.number == number:
            return self._respond({})
        if current is not None or number <= self._barred.get(task, 0):
            return self._refuse('old')
        self._lease_until_ms = max(self._lease_until_ms, body['untilMs'])
        payload = _Payload.parse(body['spec'])
        crashes = task.partition('.')[2] in payload.crashing
        ends_at = None
        if payload.seconds is not None and not crashes:
            ends_at = time.monotonic() + payload.seconds
        self._runs[task] = _Run(task, number, ends_at, self.faults.fail)
        self.starts.append(
            Start(
                self.boot, self._born_ms, task, number, time.time(), meant_for
            )
        )
        if crashes:
            self._group.start_soon(self._crash_later, self._born_ms)
        return self._respond({})

    async def _crash_later(self, born_ms: int) -> None:
        await anyio.sleep(self.faults.crash_seconds)
        if born_ms != self._born_ms:
            return
        self.restart()
        faults, self.faults.silent = self.faults, True
        await anyio.sleep(faults.down_seconds)
        faults.silent = False

    async def _stop(self, request: requests.Request) -> responses.Response:
        body, refusal = await self._validate(request)
        if refusal is not None:
            return refusal
        task, number = body['task'], body['run']
        run = self._runs.get(task)
        if run is not None and run.number == number:
            self._end(run, 'stopped')
        self._barred[task] = max(self._barred.get(task, 0), number)
        return self._respond({})

    async def _hold(self, request: requests.Request) -> responses.Response:
        body, refusal = await self._validate(request)
        if refusal is not None:
            return refusal
        if self.faults.late_holds and body['acked']:
            self.faults.late_holds -= 1
            self._group.start_soon(
                self._hold_delayed, self.boot, body, self.faults.late_seconds
            )
            await anyio.sleep_forever()
        self._extend_and_discard(body)
        born_ms = self._born_ms
        if not self._ended and body.get('waitMs'):
            with anyio.move_on_after(body['waitMs'] / 1000):
                await self._changed.wait()
        if born_ms != self._born_ms:
            # The agent crashed during the wait.
            return _close()
        running = [[r.task, r.number, '', 0, 0] for r in self._runs.values()]
        return self._respond(
            {
                **self._describe_start(),
                'running': running,
                'finished': self._ended[:_MAX_ENDS_LISTED],
            }
        )

    def _extend_and_discard(self, body: dict) -> None:
        """Extend leases and discard ends as a hold says."""
        self._lease_until_ms = max(
            self._lease_until_ms, body.get('untilMs', 0)
        )
        self._discard_ended(body['acked'])

    def _discard_ended(self, number: int) -> None:
        """Discard the ends up to a number, which the caller has recorded."""
        for row in self._ended:
            if row[0] <= number and row[0] not in self._lapsed_ends:
                start = self._find_start(row[1], row[2])
                if start is not None:
                    start.acknowledged = True
        self._ended = [row for row in self._ended if row[0] > number]

    def _find_start(self, task: str, number: int) -> Start | None:
        key = (self._born_ms, task, number)
        for start in self.starts:
            if (start.born, start.task, start.run) == key:
                return start
        return None

    async def _throttle(self, request: requests.Request) -> responses.Response:
        _, refusal = await self._validate(request)
        return refusal or self._respond({})

    async def _connect(self, request: requests.Request) -> responses.Response:
        self._sidecar_address = (await request.json())['address']
        return responses.JSONResponse({})

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        body = await request.json()
        restart = body.pop('restart', False)
        self._leaving = body.pop('leaving', False)
        self.faults = Faults(**body)
        if restart:
            self.restart()
        return responses.JSONResponse(
            {'boot': self.boot, 'born': self._born_ms}
        )

    async def _list_starts(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse(
            [dataclasses.asdict(start) for start in self.starts]
        )

    async def _show_lease(
        self, request: requests.Request
    ) -> responses.Response:
        remaining_ms = self._lease_until_ms - self._read_clock_ms()
        return responses.JSONResponse({'remainingMs': remaining_ms})

    def _describe_start(self) -> dict:
        return {'born': self._born_ms} if self.faults.sends_born else {}

    def _read_clock_ms(self) -> int:
        return round(time.monotonic() * 1000 + self._clock_offset_ms)

    def _respond(self, body: dict) -> responses.Response:
        clock = {'clockMs': self._read_clock_ms()}
        return responses.JSONResponse({**clock, **body})

    def _refuse(self, reason: str) -> responses.Response:
        body = {'clockMs': self._read_clock_ms(), 'reason': reason}
        return responses.JSONResponse(body, status_code=409)


def _make_id() -> str:
    return f'i-{uuid.uuid4().hex[:8]}'


def _close() -> responses.Response:
    """Return the response of a start that no longer exists."""
    return responses.Response(status_code=500, headers={'Connection': 'close'})


def main() -> None:
    """Run the stand-in until SIGTERM."""
    arguments = serving.parse_arguments('Runner stand-in')
    logs.configure(arguments.name)
    server = RunnerServer(arguments.name)
    anyio.run(serving.serve, server.app, arguments.listen, server.run)


if __name__ == '__main__':
    main()
