"""Series of catalogue changes and of the operator and audit commands."""

import contextlib
import random
import subprocess
import sys
import time

import anyio
import psutil

from persimmonsail.catalogues import catalogue_store
from persimmonsail import httpstore
from persimmonsail import logs
from tools import slope_meter
from tools import slope_series as base

_POLL_SECONDS = 0.005
_STORE_TIMEOUT_SECONDS = 2.0
_CHANGES_PER_POINT = 5


@base.register('catalogue')
async def measure_catalogue(
    plan: base.Plan,
) -> list[base.Series]:
    """Grow the catalogue; one change is applied in each window."""
    entry_series = base.Series('entry', 'catalogue entries')
    apply = base.Series('catalogue apply', 'catalogue entries')
    show = base.Series('catalogue show', 'catalogue entries')
    async with base.Bench(plan.directory) as bench:
        await bench.start_entry('entry-0', partitions=1)
        for count in (150, 500, 1000, 2000, 4000):
            path = plan.directory / 'new.ini'
            path.write_text(base.make_catalogue(count), encoding='utf-8')
            store = ('--store', bench.running.store)
            async with anyio.create_task_group() as group:
                group.start_soon(_add_sample, bench, plan, entry_series, count)
                await anyio.sleep(base.SETTLE_SECONDS + 1)
                sample = await _measure_command(
                    'catalogue', 'apply', path, *store, '--base', 'head'
                )
            apply.points.append((count, sample))
            sample = await _measure_command('catalogue', 'show', *store)
            show.points.append((count, sample))
    return [entry_series, apply, show]


async def _add_sample(
    bench: base.Bench,
    plan: base.Plan,
    series: base.Series,
    count: int,
) -> None:
    series.points.append((count, await base.measure(bench, plan)))


async def _measure_command(*arguments: object) -> slope_meter.Sample:
    """Return the total CPU seconds and peak memory of a command.

    A failed command costs little and must not be recorded as a cheap
    one, so that it raises an error.
    """
    program = [sys.executable, '-m', 'persimmonsail']
    handle = psutil.Popen(
        [*program, *map(str, arguments)], stdout=subprocess.DEVNULL
    )
    peak = 0
    cpu = 0.0
    with contextlib.suppress(psutil.Error):
        while handle.status() != psutil.STATUS_ZOMBIE:
            peak = max(peak, handle.memory_info().rss)
            await anyio.sleep(_POLL_SECONDS)
        times = handle.cpu_times()
        cpu = times.user + times.system
    if handle.wait():
        raise RuntimeError(
            f'{arguments[0]} ended with exit code {handle.returncode}'
        )
    return slope_meter.Sample(cpu=cpu, rss_mb=peak / slope_meter.MEGABYTE)


@base.register('audit')
async def measure_audit(plan: base.Plan) -> list[base.Series]:
    """Grow the number of events that the ``audit`` command reads."""
    series = base.Series('audit', 'events')
    plan.directory.mkdir(parents=True, exist_ok=True)
    for count in (5000, 10000, 20000, 40000):
        path = plan.directory / f'{count}.log'
        path.write_text(make_events(count), encoding='utf-8')
        sample = await _measure_command('audit', path)
        series.points.append((count, sample))
    return [series]


def make_events(count: int) -> str:
    """Return log lines like those of an entry."""
    generator = random.Random(count)
    lines = []
    for number in range(count):
        fields = {
            'time': f'{number / 100:.6f}',
            'level': 'info',
            'process': f'entry-{number % 14}',
            'event': 'routing',
            'request': f'{generator.getrandbits(128):032x}',
            'attempt': f'{generator.getrandbits(128):032x}',
            'workload': 'check-7',
            'chosen': f'instance-{number % 840}',
            'revision': number // 1000,
        }
        lines.append(logs.format_line(fields))
    return '\n'.join(lines) + '\n'


@base.register('propagation')
async def measure_propagation(
    plan: base.Plan,
) -> list[base.Series]:
    """Grow the entries that must apply an accepted change."""
    series = base.Series('catalogue propagation', 'entries')
    async with base.Bench(plan.directory) as bench:
        store = httpstore.HttpStore(
            bench.running.store, _STORE_TIMEOUT_SECONDS
        )
        stored_catalogue = catalogue_store.CatalogueStore(store)
        text = base.make_catalogue(base.TEAMS)
        for count in (2, 4, 8, 14):
            while len(bench.entries) < count:
                await bench.start_entry(
                    f'entry-{len(bench.entries)}', partitions=16
                )
            max_seconds = 0.0
            for number in range(_CHANGES_PER_POINT):
                text = f'{text}; {count} {number}\n'
                max_seconds = max(
                    max_seconds,
                    await _apply_change(bench, stored_catalogue, text),
                )
            series.points.append(
                (count, slope_meter.Sample(seconds=max_seconds))
            )
        await store.close()
    return [series]


async def _apply_change(
    bench: base.Bench,
    stored_catalogue: catalogue_store.CatalogueStore,
    text: str,
) -> float:
    """Return the seconds from the swap until all entries have applied it."""
    head = await stored_catalogue.swap(
        await stored_catalogue.read(), text, 'slopes'
    )
    started_at = time.monotonic()
    for entry in bench.entries.values():
        await entry.wait_event('catalogue', revision=str(head.revision))
    return time.monotonic() - started_at
