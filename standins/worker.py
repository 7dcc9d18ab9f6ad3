"""Worker stand-in: ``python -m standins.worker``.

Runs tasks under leases: a task whose lease lapses is stopped by the
worker itself, with a checkpoint. ``GET /record`` returns every start
and end that the worker has seen; tests hold promises against it.

A payload is JSON: ``seconds`` that the task runs (absent: until it is
stopped), ``fail`` for a task that always fails.
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

_TICK = 0.02


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
    phase: str = 'active'
    answer: str = ''
    checkpoint: str = ''

    def describe(self) -> dict:
        """Return the interface's form."""
        names = (
            'task attempt partition phase cores memory_gb accelerators '
            'workload answer checkpoint'
        )
        return {name: getattr(self, name) for name in names.split()}


class WorkerServer:
    """Holds an instance's tasks and serves the worker's interface."""

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
        self._broken = False
        self.app = applications.Starlette(
            routes=[
                routing.Route(
                    '/v1/takeover', self._take_over, methods=['POST']
                ),
                routing.Route('/v1/start', self._start, methods=['POST']),
                routing.Route('/v1/renew', self._renew, methods=['POST']),
                routing.Route('/v1/stop', self._stop, methods=['POST']),
                routing.Route('/record', self._show_record),
                routing.Route('/faults', self._set_faults, methods=['POST']),
            ]
        )

    async def run_tasks(self) -> None:
        """Let tasks progress, end, and lapse."""
        before = time.monotonic()
        while True:
            await anyio.sleep(_TICK)
            now = time.monotonic()
            for run in self._runs.values():
                if run.phase == 'active':
                    self._advance(run, now, now - before)
            before = now

    def _advance(self, run: Run, now: float, elapsed: float) -> None:
        if now >= run.deadline:
            self._end(run, 'evicted', 'lease lapsed')
            return
        if run.remaining is None:
            return
        run.remaining -= elapsed
        if run.remaining <= 0:
            run.answer = json.dumps({'task': run.task, 'done': True})
            self._end(run, 'succeeded', 'done')

    def _end(self, run: Run, phase: str, reason: str) -> None:
        run.phase = phase
        if phase == 'evicted':
            run.checkpoint = json.dumps({'remaining': run.remaining})
        self._note(run, phase, reason)

    def _note(self, run: Run, event: str, reason: str) -> None:
        fields = {
            'task': run.task,
            'attempt': run.attempt,
            'workload': run.workload,
            'reason': reason,
            'at': time.monotonic(),
        }
        self._record.append({'event': event, **fields})
        logs.write_event(f'worker-{event}', **fields)

    async def _take_over(self, request: requests.Request):
        body = await request.json()
        self._incarnation = body['incarnation']
        return self._view()

    async def _start(self, request: requests.Request):
        body = await request.json()
        if body['incarnation'] != self._incarnation:
            return _refuse('another sidecar took over')
        known = self._runs.get(body['task'])
        if known and known.phase == 'active':
            return _refuse('the task is running')
        if known and known.attempt >= body['attempt']:
            return _refuse('the attempt is not new')
        run = self._make_run(body)
        self._runs[run.task] = run
        self._note(run, 'started', 'start')
        if self._broken or run.payload.get('fail'):
            run.answer = 'failed'
            self._end(run, 'failed', 'fault')
        return responses.JSONResponse({})

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
            deadline=time.monotonic() + body['lease_seconds'],
            remaining=remaining,
        )

    async def _renew(self, request: requests.Request):
        body = await request.json()
        if body['incarnation'] != self._incarnation:
            return _refuse('another sidecar took over')
        deadline = time.monotonic() + body['lease_seconds']
        for task, attempt in body['tasks']:
            run = self._runs.get(task)
            if run and run.attempt == attempt and run.phase == 'active':
                run.deadline = deadline
        return self._view()

    async def _stop(self, request: requests.Request):
        body = await request.json()
        if body['incarnation'] != self._incarnation:
            return _refuse('another sidecar took over')
        run = self._runs.get(body['task'])
        if run is None or run.attempt != body['attempt']:
            return responses.JSONResponse({'task': None})
        if run.phase == 'active':
            phase = 'evicted' if body['checkpoint'] else 'stopped'
            self._end(run, phase, 'asked')
        return responses.JSONResponse({'task': run.describe()})

    async def _show_record(self, request: requests.Request):
        return responses.JSONResponse(self._record)

    async def _set_faults(self, request: requests.Request):
        self._broken = (await request.json())['broken']
        return responses.JSONResponse({})

    def _view(self) -> responses.Response:
        tasks = [run.describe() for run in self._runs.values()]
        return responses.JSONResponse(
            {'boot': self.boot, **self._capacity, 'tasks': tasks}
        )


def _refuse(reason: str) -> responses.Response:
    return responses.JSONResponse({'reason': reason}, status_code=409)


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
