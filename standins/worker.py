"""Worker stand-in: ``python -m standins.worker``.

Runs tasks under leases: the worker itself stops a task whose lease
lapses, with a checkpoint. ``GET /record`` returns every start and end
that the worker observed; tests check invariants against it. ``at`` is
when the worker observed the event, ``until`` when the lease ended: no
work is done for a task after that, even if the worker was frozen.
``POST /evict`` ends a task with a checkpoint, as for lack of capacity.

An attempt that is renewed or stopped before its start arrived is barred
for as long as that start could still be valid. Ended attempts are
retained until the holder has acknowledged them.

A payload is JSON: ``seconds`` is the duration of the task (absent: until
it is stopped), ``fail`` makes it always fail.
"""

import dataclasses
import json
import time
import uuid

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonsail import logs
from standins import serving
from standins import usage

_TICK_SECONDS = 0.02


@dataclasses.dataclass
class Run:
    """One attempt that the worker started."""

    task: str
    attempt: int
    partition: int
    workload: str
    cores: float
    memory_gb: float
    accelerators: int
    payload: dict
    deadline: float
    remaining: float | None
    speed: float = 1.0
    phase: str = 'active'
    answer: str = ''
    checkpoint: str = ''
    resumed: str = ''

    def describe(self) -> dict:
        """Return the fields that the worker's interface reports."""
        names = (
            'task attempt partition phase cores memory_gb accelerators '
            'workload answer checkpoint'
        )
        return {name: getattr(self, name) for name in names.split()}


class WorkerServer:
    """Runs an instance's tasks and serves the worker's interface."""

    def __init__(
        self, cores: float, memory_gb: float, accelerators: int
    ) -> None:
        self.boot = uuid.uuid4().hex
        self._capacity = {
            'cores': cores,
            'memory_gb': memory_gb,
            'accelerators': accelerators,
        }
        self._incarnation = ''
        self._runs: dict[str, Run] = {}
        self._record: list[dict] = []
        self._fail_all = False
        self._usage = usage.UsageReports()
        self._epochs: dict[int, int] = {}
        self._bars: dict[tuple[str, int], float] = {}
        self.app = applications.Starlette(
            routes=[
                routing.Route(
                    '/v1/takeover', self._take_over, methods=['POST']
                ),
                routing.Route('/v1/start', self._start, methods=['POST']),
                routing.Route('/v1/renew', self._renew, methods=['POST']),
                routing.Route('/v1/stop', self._stop, methods=['POST']),
                routing.Route('/v1/usage', self._list_usage, methods=['POST']),
                routing.Route(
                    '/v1/throttle', self._throttle, methods=['POST']
                ),
                routing.Route('/evict', self._evict, methods=['POST']),
                routing.Route('/record', self._show_record),
                routing.Route('/faults', self._set_faults, methods=['POST']),
            ]
        )

    async def run_tasks(self) -> None:
        """Advance tasks, and end those that are done or have lapsed."""
        previous = time.monotonic()
        while True:
            await anyio.sleep(_TICK_SECONDS)
            now = time.monotonic()
            for run in self._runs.values():
                if run.phase == 'active':
                    self._advance(run, now, now - previous)
            self._usage.measure(self._runs.values(), now, now - previous)
            previous = now
            expired = [key for key, until in self._bars.items() if until < now]
            for key in expired:
                del self._bars[key]

    def _advance(self, run: Run, now: float, elapsed: float) -> None:
        if now >= run.deadline:
            self._end(run, 'evicted', 'lease lapsed')
            return
        if run.remaining is None:
            return
        run.remaining -= elapsed * run.speed
        if run.remaining <= 0:
            run.answer = json.dumps({'task': run.task, 'done': True})
            self._end(run, 'succeeded', 'done')

    def _end(self, run: Run, phase: str, reason: str) -> None:
        run.phase = phase
        if phase == 'evicted':
            run.checkpoint = json.dumps({'remaining': run.remaining})
        self._record_event(run, phase, reason)

    def _record_event(self, run: Run, event: str, reason: str) -> None:
        fields = {
            'task': run.task,
            'attempt': run.attempt,
            'workload': run.workload,
            'reason': reason,
            'at': time.monotonic(),
            'until': run.deadline,
            'resumed': run.resumed,
            'checkpoint': run.checkpoint,
        }
        self._record.append({'event': event, **fields})
        logs.write_event(f'worker-{event}', **fields)

    async def _take_over(self, request: requests.Request):
        body = await request.json()
        self._incarnation = body['incarnation']
        for partition, epoch in body['epochs'].items():
            self._note_epoch(int(partition), epoch)
        return self._view()

    def _note_epoch(self, partition: int, epoch: int) -> None:
        self._epochs[partition] = max(self._epochs.get(partition, 0), epoch)

    def _find_incarnation_refusal(
        self, body: dict
    ) -> responses.Response | None:
        if body['incarnation'] != self._incarnation:
            return self._refuse('incarnation', 'another sidecar took over')
        return None

    def _find_refusal(self, body: dict) -> responses.Response | None:
        if refusal := self._find_incarnation_refusal(body):
            return refusal
        if body['epoch'] < self._epochs.get(body['partition'], 0):
            return self._refuse('epoch', 'a later epoch is known')
        self._note_epoch(body['partition'], body['epoch'])
        return None

    def _find_start_refusal(self, body: dict) -> str:
        key = (body['task'], body['attempt'])
        if key in self._bars:
            return 'the attempt is barred'
        if time.monotonic() >= body['until']:
            return 'the lease has lapsed'
        current = self._runs.get(body['task'])
        if current and current.phase == 'active':
            return 'the task is running'
        if current and current.attempt >= body['attempt']:
            return 'the attempt is not new'
        return ''

    async def _start(self, request: requests.Request):
        body = await request.json()
        refusal = self._find_refusal(body)
        if refusal:
            return refusal
        if reason := self._find_start_refusal(body):
            return self._refuse('attempt', reason)
        run = self._make_run(body)
        self._runs[run.task] = run
        self._record_event(run, 'started', 'start')
        if self._fail_all or run.payload.get('fail'):
            run.answer = 'failed'
            self._end(run, 'failed', 'fault')
        return self._respond({})

    def _make_run(self, body: dict) -> Run:
        payload = json.loads(body['payload'] or '{}')
        remaining = payload.get('seconds')
        if body['checkpoint']:
            remaining = json.loads(body['checkpoint'])['remaining']
        return Run(
            task=body['task'],
            attempt=body['attempt'],
            partition=body['partition'],
            workload=body['workload'],
            cores=body['cores'],
            memory_gb=body['memory_gb'],
            accelerators=body['accelerators'],
            payload=payload,
            deadline=body['until'],
            remaining=remaining,
            resumed=body['checkpoint'],
        )

    async def _renew(self, request: requests.Request):
        body = await request.json()
        refusal = self._find_refusal(body)
        if refusal:
            return refusal
        self._drop_acknowledged(body['acknowledged'])
        bar_until = time.monotonic() + body['lease_seconds']
        for task, attempt in body['tasks']:
            run = self._runs.get(task)
            if run is None or run.attempt != attempt:
                self._bars[task, attempt] = bar_until
            else:
                self._extend(run, body['until'])
        return self._view()

    def _extend(self, run: Run, until: float) -> None:
        # A worker that was frozen may serve this call before it checks its
        # tasks; a lapsed lease must not be extended.
        if run.phase != 'active':
            return
        if time.monotonic() >= run.deadline:
            self._end(run, 'evicted', 'lease lapsed')
            return
        run.deadline = max(run.deadline, until)

    def _drop_acknowledged(self, acknowledged: list) -> None:
        for task, attempt in acknowledged:
            run = self._runs.get(task)
            if run and run.attempt == attempt and run.phase != 'active':
                del self._runs[task]

    async def _stop(self, request: requests.Request):
        body = await request.json()
        refusal = self._find_refusal(body)
        if refusal:
            return refusal
        run = self._runs.get(body['task'])
        if run is None or run.attempt != body['attempt']:
            bar_until = time.monotonic() + body['lease_seconds']
            self._bars[body['task'], body['attempt']] = bar_until
            return self._respond({'task': None})
        if run.phase == 'active':
            phase = 'evicted' if body['checkpoint'] else 'stopped'
            self._end(run, phase, 'asked')
        return self._respond({'task': run.describe()})

    async def _list_usage(self, request: requests.Request):
        body = await request.json()
        if refusal := self._find_incarnation_refusal(body):
            return refusal
        reports = self._usage.list_after(body['after'], time.monotonic())
        return self._respond({'reports': reports})

    async def _throttle(self, request: requests.Request):
        body = await request.json()
        if refusal := self._find_incarnation_refusal(body):
            return refusal
        run = self._runs.get(body['task'])
        if run and run.phase == 'active':
            run.speed = body['speed']
            self._record_event(run, 'throttled', str(run.speed))
        return self._respond({})

    async def _evict(self, request: requests.Request):
        run = self._runs[(await request.json())['task']]
        self._end(run, 'evicted', 'room needed')
        return self._respond({})

    async def _show_record(self, request: requests.Request):
        return responses.JSONResponse(self._record)

    async def _set_faults(self, request: requests.Request):
        faults = await request.json()
        self._fail_all = faults.get('broken', self._fail_all)
        self._usage.lag = faults.get('usage_lag', self._usage.lag)
        self._usage.missing = faults.get('usage_missing', self._usage.missing)
        return responses.JSONResponse({})

    def _view(self) -> responses.Response:
        tasks = [run.describe() for run in self._runs.values()]
        epochs = {str(key): epoch for key, epoch in self._epochs.items()}
        body = {**self._capacity, 'tasks': tasks, 'epochs': epochs}
        return self._respond(body)

    def _refuse(self, kind: str, reason: str) -> responses.Response:
        body = {'kind': kind, 'reason': reason}
        return self._respond(body, status_code=409)

    def _respond(
        self, body: dict, status_code: int = 200
    ) -> responses.Response:
        common = {
            'boot': self.boot,
            'incarnation': self._incarnation,
            'now': time.monotonic(),
        }
        return responses.JSONResponse({**common, **body}, status_code)


def main() -> None:
    """Run the stand-in until SIGTERM."""
    arguments = serving.parse_arguments(
        'Worker stand-in', 'cores=64', 'memory-gb=250', 'accelerators=0'
    )
    logs.configure(arguments.name)
    server = WorkerServer(
        float(arguments.cores),
        float(arguments.memory_gb),
        int(arguments.accelerators),
    )
    anyio.run(serving.serve, server.app, arguments.listen, server.run_tasks)


if __name__ == '__main__':
    main()
