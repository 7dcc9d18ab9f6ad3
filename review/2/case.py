"""A runner fails and is lost while its sidecar restarts; its job goes on."""

import asyncio
import json
import os
import pathlib
import sys

from reviewkit import deployment

_INSTANCES = 11
_RACK = 3
# The runner answers no call for this long, and is lost then.
_SICK_SECONDS = 5.4
_KILLED_AFTER_SECONDS = 2.0
_DOWN_SECONDS = 0.66
_FINISH_SECONDS = 14.0
_IDLE_SECONDS = 3.0
_MAX_WATCHED_SECONDS = 30.0
_JOB = '5c0e7a21d94b36f8'
_TASK_MS = 10000


async def _play(record: deployment.Record, trouble: bool) -> int:
    async with deployment.Deployment(record) as running:
        running.configure()
        for _ in range(2):
            await running.add_entry()
        for number in range(_INSTANCES):
            labels = ('a', f'r1-{number // _RACK}')
            await running.add_instance(labels=labels)
        await running.wait_ready()
        await asyncio.sleep(4.0)
        step = {
            'count': _INSTANCES,
            'cpu': 1000,
            'memMb': 1000,
            'estimateMs': _TASK_MS,
            'maxPerServer': 1,
        }
        spec = json.dumps({'ms': _TASK_MS})
        await running.submit(_JOB, {'spec': spec, 'phases': [step]})
        await asyncio.sleep(2.0)
        if trouble:
            await _disturb(running)
        # No traffic from here on, and no disruption.
        await asyncio.sleep(_FINISH_SECONDS)
        idle, state = await _watch(running)
        done = {run.task for run in running.runs if run.how == 'done'}
        result = (
            f'the job is {state}; {len(done)} of {_INSTANCES} tasks are done;'
            f' nothing of it ran in the last {idle:.1f} s'
        )
        broken = state not in ('complete', 'failed') and idle > _IDLE_SECONDS
        if broken:
            record.note('LOST nothing runs though a task has its turn')
        record.note(result)
        print(result)
        return 1 if broken else 0


async def _disturb(running: deployment.Deployment) -> None:
    machine = running.sidecars[0]
    worker = running.workers[0]
    worker.hangs = True
    running.note(f'worker {worker.name} answers no call, and checks in')
    await asyncio.sleep(_KILLED_AFTER_SECONDS)
    await running.kill(machine)
    await asyncio.sleep(_DOWN_SECONDS)
    await running.start(machine)
    await asyncio.sleep(_SICK_SECONDS - _KILLED_AFTER_SECONDS - _DOWN_SECONDS)
    worker.leave_for_good()


async def _watch(running: deployment.Deployment) -> tuple[float, str]:
    """Return for how long nothing of the job has run, and its state."""
    read_time = running.record.read_time
    ends_at = read_time() + _MAX_WATCHED_SECONDS
    idle_since = read_time()
    state = ''
    while read_time() < ends_at:
        reply = await running.call(running.entries[0], 'GET', _JOB)
        state = reply.body.get('state', state)
        if state in ('complete', 'failed'):
            break
        if any(not run.ended for run in running.runs):
            idle_since = read_time()
        await asyncio.sleep(0.5)
    return read_time() - idle_since, state


def main() -> int:
    """Run the case; return 1 if the rule was broken, 0 if it held."""
    path = pathlib.Path(__file__).parent / 'record.txt'
    record = deployment.Record(path)
    try:
        trouble = os.environ.get('TROUBLE', '1') != '0'
        return asyncio.run(_play(record, trouble))
    except deployment.Unusable as error:
        record.note(f'the case could not run: {error}')
        print(error)
        return 2
    finally:
        record.close()


if __name__ == '__main__':
    sys.exit(main())
