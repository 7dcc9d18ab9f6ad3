"""Measure urgent requests while batch tasks use all capacity they may.

Runs real processes on this machine: one entry, two instances, and more
builds than fit. Run ``python -m tools.measure_urgent``.
"""

import pathlib
import tempfile
import time

import anyio

from standins import deployment
from tools.bench import results

_REQUEST_COUNT = 300
_BUILD_COUNT = 60
_PERCENTILES = (50, 99, 99.9, 100)
_MILLISECONDS = 1000.0
_CATALOGUE = """\
[team a]
objective = tail-latency
cores = 400
memory-gb = 1600

[workload check]
owner = a
class = latency-critical
service = planning
idempotent = yes
urgent = yes
cores = 0.5
memory-gb = 0.5

[workload build]
owner = a
class = batch
idempotent = yes
cores = 6
memory-gb = 12
"""


async def _start(running: deployment.Deployment) -> str:
    await running.start_store()
    entry = await running.start_entry('entry')
    listening = entry.find('listening')[0]
    for number in range(2):
        worker = await running.start_stand_in('worker', f'worker-{number}')
        backend = await running.start_stand_in('backend', f'backend-{number}')
        await running.start_sidecar(
            f'instance-{number}',
            [listening['control']],
            worker,
            backend,
            'planning',
        )
    await running.apply_catalogue(_CATALOGUE)
    await entry.wait_event('catalogue', revision='1')
    await entry.wait_event('announced', count=2)
    await entry.wait_event('partition-opened', count=8)
    return f'http://{listening["http"]}/v1/workloads'


async def _measure() -> None:
    with tempfile.TemporaryDirectory(prefix='persimmonsail-') as directory:
        async with deployment.Deployment(pathlib.Path(directory)) as running:
            url = await _start(running)
            for _ in range(_BUILD_COUNT):
                await running.client.post(
                    f'{url}/build/requests', json={'seconds': 3600}
                )
            entry = running.processes['entry']
            await entry.wait_event('waiting', reason='no-room')
            latencies = results.Latencies()
            refused = 0
            for _ in range(_REQUEST_COUNT):
                started_at = time.monotonic()
                response = await running.client.post(
                    f'{url}/check/requests', json={}
                )
                latencies.record(time.monotonic() - started_at)
                refused += response.status_code != 200
            placed = len(entry.find('placement'))
    print(f'builds placed: {placed} of {_BUILD_COUNT}; refused: {refused}')
    for percentile in _PERCENTILES:
        value = latencies.quantile(percentile) * _MILLISECONDS
        print(f'p{percentile:g}: {value:.1f} ms')


if __name__ == '__main__':
    anyio.run(_measure)
