"""Series of one real sidecar."""

import contextlib
import signal

import anyio

from standins import deployment
from tools import slope_fakes
from tools import slope_meter
from tools import slope_series as base

_RENEWED_TASKS = 40


@base.register('linked')
async def measure_linked(plan: base.Plan) -> list[base.Series]:
    """Grow the number of entries to which one idle sidecar is linked."""
    series = base.Series('sidecar', 'entries linked')
    async with deployment.Deployment(plan.directory) as running:
        worker = await running.start_stand_in('worker', 'worker')
        for count in (1, 2, 4, 8, 14):
            sample = await _measure_links(running, plan, worker, count)
            series.points.append((count, sample))
    return [series]


async def _measure_links(
    running: deployment.Deployment,
    plan: base.Plan,
    worker: str,
    count: int,
) -> slope_meter.Sample:
    async with contextlib.AsyncExitStack() as stack:
        fake_entries = [
            await stack.enter_async_context(slope_fakes.open_fake_entry())
            for _ in range(count)
        ]
        proxies = [proxy for _, proxy in fake_entries]
        sidecar = await running.start_sidecar(
            f'sidecar-{count}',
            [proxy.address for proxy in proxies],
            worker,
            '127.0.0.1:1',
            'planning',
        )
        await anyio.sleep(base.SETTLE_SECONDS)
        meter = slope_meter.Meter(sidecar.pid, proxies)
        sample = await meter.measure(plan.window_seconds)
        await sidecar.stop(signal.SIGKILL)
    return sample


@base.register('running')
async def measure_running(
    plan: base.Plan,
) -> list[base.Series]:
    """Grow the number of tasks on the instance of one real sidecar."""
    series = base.Series('sidecar', 'tasks on its instance')
    async with base.Bench(plan.directory) as bench:
        await bench.start_entry('entry-0', partitions=1)
        await bench.apply(base.make_catalogue(base.TEAMS))
        async with _open_sidecar(bench) as (sidecar, links):
            submitted = 0
            for count in (10, 20, 40, 80):
                await bench.submit(count - submitted)
                submitted = count
                await anyio.sleep(base.SETTLE_SECONDS)
                meter = slope_meter.Meter(sidecar.pid, links)
                sample = await meter.measure(plan.window_seconds)
                series.points.append((count, sample))
    return [series]


@base.register('renewing')
async def measure_renewing(
    plan: base.Plan,
) -> list[base.Series]:
    """Grow the partitions whose tasks run on one real sidecar's instance."""
    series = base.Series('sidecar', 'partitions with tasks on its instance')
    for count in (1, 2, 4, 8):
        async with base.Bench(plan.directory / str(count)) as bench:
            await bench.start_entry('entry-0', partitions=count)
            await bench.apply(base.make_catalogue(base.TEAMS))
            async with _open_sidecar(bench) as (sidecar, links):
                async with anyio.create_task_group() as group:
                    for number in range(_RENEWED_TASKS):
                        workload = f'build-{number}'
                        group.start_soon(bench.post, 'entry-0', workload)
                await bench.entries['entry-0'].wait_event(
                    'placement', _RENEWED_TASKS
                )
                await anyio.sleep(base.SETTLE_SECONDS)
                meter = slope_meter.Meter(sidecar.pid, links)
                sample = await meter.measure(plan.window_seconds)
                series.points.append((count, sample))
    return [series]


@contextlib.asynccontextmanager
async def _open_sidecar(bench: base.Bench):
    """Run a real sidecar and a worker stand-in behind a counting proxy."""
    running = bench.running
    worker = await running.start_stand_in('worker', 'worker')
    async with slope_meter.CountingProxy() as proxy:
        sidecar = await running.start_sidecar(
            'sidecar-0',
            [bench.links['entry-0'].address],
            worker,
            '127.0.0.1:1',
            'planning',
            process={'control-advertised': proxy.address},
        )
        proxy.target = sidecar.find('listening')[0]['control']
        yield sidecar, [proxy, bench.links['entry-0']]
