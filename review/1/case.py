"""Many tasks end while the store is away; none may be run again."""

import asyncio
import json
import os
import pathlib
import sys

from reviewkit import deployment
from reviewkit import worker as worker_module

_TASKS = 1800
_TASK_MS = 9000
# Tasks take up to this much longer, so that they don't end at once.
_SPREAD_MS = 2500
_OUTAGE_SECONDS = 4.2
_JOB = '5c0e7a21d94b36f8'
_START_SECONDS = 30.0
_END_SECONDS = 40.0


async def _play(record: deployment.Record, trouble: bool) -> int:
    async with deployment.Deployment(record) as running:
        running.configure()
        for _ in range(2):
            await running.add_entry()
        for _ in range(2):
            await running.add_instance()
        await running.wait_ready()
        await asyncio.sleep(3.0)
        step = {
            'count': _TASKS,
            'cpu': 50,
            'memMb': 200,
            'estimateMs': _TASK_MS,
        }
        spec = json.dumps({'ms': _TASK_MS, 'spread': _SPREAD_MS})
        await running.submit(_JOB, {'spec': spec, 'phases': [step]})
        await _wait_begun(running)
        if trouble:
            first = min(run.began for run in running.runs)
            # The outage begins just before the first task ends.
            await asyncio.sleep(
                max(first + _TASK_MS / 1000 - 0.3 - record.read_time(), 0)
            )
            running.store.down = 'silent'
            record.note('the store is silent')
            await asyncio.sleep(_OUTAGE_SECONDS)
            running.store.down = ''
            record.note('the store answers again')
        state = await running.wait_state(
            _JOB, ('complete', 'failed'), _END_SECONDS
        )
        await asyncio.sleep(2.0)
        doubled = worker_module.find_doubled(running.runs)
        for first, second in doubled:
            record.note(
                f'TWICE {first.task}: run {first.number} on {first.worker}'
                f' {first.how} at {first.ended:.3f}, its end'
                f' {first.end_number} noted={first.noted};'
                f' run {second.number} on {second.worker}'
                f' began at {second.began:.3f}'
            )
        record.note(
            f'{len(running.runs)} starts of {_TASKS} tasks,'
            f' {len(doubled)} doubled, the job is {state}'
        )
        print(f'starts={len(running.runs)} doubled={len(doubled)} {state}')
        return 1 if doubled else 0


async def _wait_begun(running: deployment.Deployment) -> None:
    for _ in range(round(_START_SECONDS / 0.1)):
        if len(running.runs) >= _TASKS:
            return
        await asyncio.sleep(0.1)
    raise deployment.Unusable('not all tasks began in time')


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
