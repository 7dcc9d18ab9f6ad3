"""The leader and one side machine are lost at the same moment."""

import asyncio
import pathlib
import signal
import sys
import time

from smallsite import checks
from smallsite import deployment as deployment_module
from smallsite import runner as runner_module

JOB = '7a00000000000001'
TASKS = 3
RUNNERS = 3
CAPACITY = runner_module.Size(64000, 256000)
# The leader's machine is back after this time; the other is gone for good.
DOWN_SECONDS = 1.0
OBSERVED_SECONDS = 20.0
SETTLE_SECONDS = 4.0
BODY = {
    'spec': 'lasts',
    'phases': [
        {
            'count': TASKS,
            'cpu': 13000,
            'memMb': 26000,
            'estimateMs': 400,
            'longRunning': True,
            'image': 'board',
            'targetMs': 100,
        }
    ],
}


async def play(
    deployment: deployment_module.Deployment, trouble: bool
) -> bool:
    """Play the case; return whether the rule held."""
    for number in range(3):
        await deployment.start_entry(f'entry-{number + 1}')
    for number in range(RUNNERS):
        await deployment.start_side(f'side-{number + 1}', CAPACITY)
    await asyncio.sleep(SETTLE_SECONDS)
    await deployment.submit('entry-1', JOB, BODY)
    await deployment.wait_running(JOB, TASKS)
    await asyncio.sleep(SETTLE_SECONDS)
    lost_at = time.monotonic()
    if trouble:
        names = [run.runner for run in deployment.list_running(JOB)]
        gone = max(names, key=names.count)
        leader = deployment.find_leader()
        deployment.note('lost', machines=[leader, gone])
        deployment.signal(leader, signal.SIGKILL)
        deployment.signal(gone, signal.SIGKILL)
        await deployment.runners[gone].crash()
        await asyncio.sleep(DOWN_SECONDS)
        deployment.launch(leader)
    calm_since = time.monotonic()
    await asyncio.sleep(OBSERVED_SECONDS)
    return check(deployment, lost_at, calm_since)


def check(
    deployment: deployment_module.Deployment,
    lost_at: float,
    calm_since: float,
) -> bool:
    """Tell whether each task ran again in time."""
    begin = checks.find_first_check(lost_at, calm_since)
    held = True
    for index in range(TASKS):
        task = f'{JOB}.0.0.{index}'
        runs = [r for r in deployment.list_runs(JOB) if r.task == task]
        idle = checks.find_idle_seconds(runs, begin, time.monotonic())
        again = [r.began - lost_at for r in runs if r.began > lost_at]
        deployment.note(
            'checked',
            task=task,
            idle_seconds=round(idle, 2),
            began_after=[round(seconds, 2) for seconds in again],
        )
        if idle > checks.IDLE_SECONDS:
            held = False
    return held


if __name__ == '__main__':
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(deployment_module.run_case(folder, play))
