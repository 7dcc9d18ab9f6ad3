"""Series of recoveries: time until every task is placed or renewed."""

import signal
import time

import anyio

from tools import slope_meter
from tools import slope_series

_INSTANCES = 40
_RECOVERY_TIMEOUT_SECONDS = 90.0


class _RecoveryTimer:
    """Times a recovery and counts its store calls."""

    def __init__(self, store: str) -> None:
        self._store = store

    async def __aenter__(self) -> '_RecoveryTimer':
        self._calls = await slope_meter.read_calls(self._store)
        self.started_at = time.monotonic()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        return None

    async def end(self) -> slope_meter.Sample:
        """Return the duration and the store calls since the start."""
        seconds = time.monotonic() - self.started_at
        calls = await slope_meter.read_calls(self._store)
        before = self._calls
        return slope_meter.Sample(
            reads=calls['read'] - before['read'],
            writes=calls['write'] - before['write'],
            watches=calls['watch'] - before['watch'],
            seconds=seconds,
        )


@slope_series.register('lost')
async def measure_lost(plan: slope_series.Plan) -> list[slope_series.Series]:
    """Lose instances simultaneously; their tasks are placed elsewhere."""
    series = slope_series.Series('recovery of instances', 'tasks lost')
    async with slope_series.Bench(plan.directory) as bench:
        await bench.start_entry('entry-0', partitions=1)
        await bench.apply(slope_series.make_catalogue(slope_series.TEAMS))
        await bench.announce(_INSTANCES)
        await bench.submit(_INSTANCES * 10)
        entry = bench.entries['entry-0']
        for count in (1, 2, 4, 8):
            placed_before = len(entry.find('placement'))
            async with _RecoveryTimer(bench.running.store) as timer:
                disconnected = bench.sidecars.disconnect_last(count)
                tasks = sum(len(sidecar.tasks) for sidecar in disconnected)
                await entry.wait_event(
                    'placement',
                    placed_before + tasks,
                    seconds=_RECOVERY_TIMEOUT_SECONDS,
                )
                series.points.append((tasks, await timer.end()))
    return [series]


@slope_series.register('restarted')
async def measure_restarted(
    plan: slope_series.Plan,
) -> list[slope_series.Series]:
    """Kill all entries and restart them; their tasks' leases are renewed."""
    series = slope_series.Series('recovery of all entries', 'tasks held')
    names = ['entry-0', 'entry-1']
    for count in (100, 200, 400, 800):
        directory = plan.directory / str(count)
        async with slope_series.Bench(directory) as bench:
            for name in names:
                await bench.start_entry(name, partitions=4)
            await bench.apply(slope_series.make_catalogue(slope_series.TEAMS))
            links = [bench.links[name].address for name in names]
            await bench.sidecars.grow(_INSTANCES, links)
            for name in names:
                await bench.entries[name].wait_event('announced', _INSTANCES)
            await _submit_spread(bench, count)
            async with _RecoveryTimer(bench.running.store) as timer:
                for name in names:
                    await bench.entries[name].stop(signal.SIGKILL)
                killed_at = time.monotonic()
                for name in names:
                    await bench.start_entry(name, partitions=4)
                with anyio.fail_after(_RECOVERY_TIMEOUT_SECONDS):
                    await bench.sidecars.wait_renewed(count, killed_at)
                series.points.append((count, await timer.end()))
    return [series]


async def _submit_spread(bench: slope_series.Bench, count: int) -> None:
    async with anyio.create_task_group() as group:
        limiter = anyio.CapacityLimiter(16)
        for number in range(count):
            workload = f'build-{number % slope_series.TEAMS}'
            group.start_soon(_post, bench, workload, limiter)
    with anyio.fail_after(_RECOVERY_TIMEOUT_SECONDS):
        await bench.sidecars.wait_started(count)


async def _post(bench: slope_series.Bench, workload: str, limiter) -> None:
    async with limiter:
        await bench.post('entry-0', workload)
