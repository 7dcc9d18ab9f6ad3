"""A runner crashes under a job whose queue has an advisor."""

import asyncio
import pathlib
import sys
import time

from smallsite import deployment as deployment_module
from smallsite import runner as runner_module

JOB = '5a00000000000001'
TASKS = 6
RUNNERS = 3
CAPACITY = runner_module.Size(64000, 256000)
# As in the users' example of an advisor's answer.
VALID_MS = 3000
# The runner crashes this long after the first task has begun, and is back
# after this time.
CRASH_DELAY_SECONDS = 0.3
DOWN_SECONDS = 1.0
SETTLE_SECONDS = 4.0
TASK_MS = 4400
# Bounds of the site: finish_s after the end of the traffic, for 3 s.
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
# Beyond the bound, to show that it goes on.
EXTRA_SECONDS = 30.0
BODY = {
    'spec': str(TASK_MS),
    'phases': [
        {
            'count': TASKS,
            'cpu': 7000,
            'memMb': 13000,
            'estimateMs': TASK_MS,
        }
    ],
}


async def play(
    deployment: deployment_module.Deployment, trouble: bool
) -> bool:
    """Play the case; return whether the rule held."""
    await deployment.start_advisor(VALID_MS)
    for number in range(2):
        await deployment.start_entry(f'entry-{number + 1}')
    for number in range(RUNNERS):
        one = await deployment.start_side(f'side-{number + 1}', CAPACITY)
        one.needs_ticket = True
    await asyncio.sleep(SETTLE_SECONDS)
    begun = asyncio.Event()
    for one in deployment.runners.values():
        one.on_start = lambda run: begun.set()
    await deployment.submit('entry-1', JOB, BODY)
    await begun.wait()
    await asyncio.sleep(CRASH_DELAY_SECONDS)
    if trouble:
        names = [run.runner for run in deployment.list_running(JOB)]
        chosen = deployment.runners[max(names, key=names.count)]
        await chosen.crash()
        await asyncio.sleep(DOWN_SECONDS)
        await chosen.start()
    # The last job was handed in and the last disruption is over.
    deployment.note('traffic-ended')
    await asyncio.sleep(FINISH_SECONDS)
    idle = await measure_idle_seconds(deployment)
    answer = await deployment.call('entry-2', 'GET', JOB)
    deployment.note('idle', seconds=round(idle, 2))
    complete = answer is not None and answer.body == {'state': 'complete'}
    return complete or idle < IDLE_SECONDS


async def measure_idle_seconds(
    deployment: deployment_module.Deployment,
) -> float:
    """Return for how long nothing of the job runs while it isn't complete."""
    began_at = time.monotonic()
    while time.monotonic() < began_at + EXTRA_SECONDS:
        await asyncio.sleep(1.0)
        answer = await deployment.call('entry-1', 'GET', JOB)
        if answer is not None and answer.body == {'state': 'complete'}:
            break
        if deployment.list_running(JOB):
            break
    return time.monotonic() - began_at


if __name__ == '__main__':
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(deployment_module.run_case(folder, play))
