"""A worker fails all that it starts; a gang must not lose its job."""

import asyncio
import json
import os
import pathlib
import sys

from reviewkit import deployment

_INSTANCES = 12
_RACK = 3
_MEMBERS = 36
_TASK_MS = 2000
_FAILING_SECONDS = 6.5
_MAX_ATTEMPTS = 3
_JOB = '5c0e7a21d94b36f8'
_END_SECONDS = 30.0


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
        running.gangs.sizes[f'{_JOB}.0.0'] = _MEMBERS
        worker = running.workers[0]
        if trouble:
            worker.fails = True
            record.note(f'worker {worker.name} fails all that it starts')
        healing = asyncio.create_task(_heal(running, trouble))
        step = {
            'count': _MEMBERS,
            'cpu': 2000,
            'memMb': 1000,
            'estimateMs': _TASK_MS,
            'gang': True,
        }
        spec = json.dumps({'ms': _TASK_MS})
        await running.submit(_JOB, {'spec': spec, 'phases': [step]})
        state = await running.wait_state(
            _JOB, ('complete', 'failed'), _END_SECONDS
        )
        await healing
        failed = [run for run in running.runs if run.how == 'failed']
        numbers = {run.number for run in failed}
        broken = state == 'failed' and len(numbers) < _MAX_ATTEMPTS
        result = (
            f'the job is {state}; runs of its gang that failed:'
            f' {len(numbers)}, members that ended so: {len(failed)},'
            f' maxAttempts: {_MAX_ATTEMPTS}'
        )
        if broken:
            record.note('LOST shown as failed without cause')
        record.note(result)
        print(result)
        return 1 if broken else 0


async def _heal(running: deployment.Deployment, trouble: bool) -> None:
    await asyncio.sleep(_FAILING_SECONDS)
    if trouble:
        running.workers[0].fails = False
        running.note('the worker is sound again')


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
