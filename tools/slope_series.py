"""Series of measurements in which one driver grows at a time."""

import contextlib
import dataclasses
import pathlib
import time
import typing as t
import uuid

import anyio
import httpx

from persimmonsail.partitioning import partitions
from standins import deployment
from tools import slope_fakes
from tools import slope_meter

TEAMS = 150
SETTLE_SECONDS = 2.0
_LOAD_CHANGE_SECONDS = 1.0
_MAX_CONCURRENT_POSTS = 32
_TASK_SECONDS = 1.0
_MAX_POST_ATTEMPTS = 100


@dataclasses.dataclass
class Series:
    """Costs of one role as one driver grows."""

    role: str
    driver: str
    points: list[tuple[float, slope_meter.Sample]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True)
class Plan:
    """The directory for files, and the seconds that a point is measured."""

    directory: pathlib.Path
    window_seconds: float = 6.0


SeriesFunction = t.Callable[[Plan], t.Awaitable[list[Series]]]
SERIES: dict[str, SeriesFunction] = {}


def register(name: str) -> t.Callable[[SeriesFunction], SeriesFunction]:
    """Register a series under a name for ``--only``."""

    def add(function: SeriesFunction) -> SeriesFunction:
        SERIES[name] = function
        return function

    return add


def make_catalogue(workloads: int, teams: int = TEAMS) -> str:
    """Return the text of a catalogue with ``workloads`` workloads."""
    lines = []
    for team in range(teams):
        lines += [
            f'[team team-{team}]',
            'objective = throughput',
            'cores = 50000',
            'memory-gb = 200000',
            'accelerators = 1400',
            '',
        ]
    for number in range(workloads):
        lines += [
            f'[workload build-{number}]',
            f'owner = team-{number % teams}',
            'class = batch',
            'idempotent = yes',
            'timeout = 30',
            'cores = 0.05',
            'memory-gb = 0.05',
            'max-concurrent = 100000',
            '',
        ]
    return '\n'.join(lines)


class Bench:
    """A store, entries behind counting proxies, and fake sidecars."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.running = deployment.Deployment(directory)
        self.sidecars = slope_fakes.FakeSidecars(_LOAD_CHANGE_SECONDS)
        self.entries: dict[str, deployment.Process] = {}
        self.links: dict[str, slope_meter.CountingProxy] = {}
        self.store_links: dict[str, slope_meter.CountingProxy] = {}
        self._exit_stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> 'Bench':
        await self._exit_stack.enter_async_context(self.running)
        await self._exit_stack.enter_async_context(self.sidecars)
        await self.running.start_store()
        return self

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        return await self._exit_stack.__aexit__(*exc_info)

    async def start_entry(
        self, name: str, zone: str = 'piedmont-a', **options: object
    ) -> None:
        """Start an entry whose links all go through counting proxies.

        An entry that is restarted under its name keeps its address.
        """
        enter = self._exit_stack.enter_async_context
        if name not in self.links:
            self.links[name] = await enter(slope_meter.CountingProxy())
            self.store_links[name] = await enter(
                slope_meter.CountingProxy(self.running.store)
            )
        link, store = self.links[name], self.store_links[name]
        entry = await self.running.start_entry(
            name,
            zone,
            store=store.address,
            process={'control-advertised': link.address},
            entry=options,
        )
        link.target = entry.find('listening')[0]['control']
        self.entries[name] = entry

    async def apply(self, text: str) -> None:
        """Apply a catalogue and wait until every entry uses it."""
        code, output = await self.running.apply_catalogue(text)
        if code:
            raise RuntimeError(output)
        revision = output.partition('revision=')[2].split()[0]
        for entry in self.entries.values():
            await entry.wait_event('catalogue', revision=revision)

    def open_meter(self, name: str) -> slope_meter.Meter:
        """Return a meter of one entry and of the store."""
        return slope_meter.Meter(
            self.entries[name].pid,
            [self.links[name], *self.sidecars.proxies],
            self.store_links[name],
            self.running.store,
        )

    async def announce(self, count: int, name: str = 'entry-0') -> None:
        """Grow the fake instances and wait until the entry knows them all."""
        await self.sidecars.grow(count, [self.links[name].address])
        await self.entries[name].wait_event('announced', count)

    async def submit(self, count: int, name: str = 'entry-0') -> None:
        """Submit tasks to an entry and wait until they are placed."""
        placed_before = len(self.entries[name].find('placement'))
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_POSTS)
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(self._submit_one, name, limiter)
        await self.entries[name].wait_event(
            'placement', placed_before + count, seconds=120.0
        )

    async def _submit_one(self, name: str, limiter) -> None:
        async with limiter:
            await self.post(name)

    async def post(self, name: str, workload: str = 'build-0') -> None:
        """Submit one task, retrying until it is accepted."""
        address = self.entries[name].find('listening')[0]['http']
        headers = {'idempotency-key': uuid.uuid4().hex}
        for _ in range(_MAX_POST_ATTEMPTS):
            # A keep-alive connection may be closed just as it is reused.
            with contextlib.suppress(httpx.TransportError):
                answer = await self.running.client.post(
                    f'http://{address}/v1/workloads/{workload}/requests',
                    headers=headers,
                )
                if answer.status_code in (200, 202):
                    return
            await anyio.sleep(0.2)
        raise RuntimeError('the entry did not accept the task')


async def measure(
    bench: Bench, plan: Plan, name: str = 'entry-0'
) -> slope_meter.Sample:
    """Return an entry's costs after ``SETTLE_SECONDS``."""
    await anyio.sleep(SETTLE_SECONDS)
    return await bench.open_meter(name).measure(plan.window_seconds)


@register('announced')
async def measure_announced(plan: Plan) -> list[Series]:
    """Grow the number of sidecars announced to one entry."""
    series = Series('entry', 'sidecars announced')
    async with Bench(plan.directory) as bench:
        await bench.start_entry('entry-0', partitions=1)
        await bench.apply(make_catalogue(TEAMS))
        for count in (15, 30, 60, 120, 240):
            await bench.announce(count)
            series.points.append((count, await measure(bench, plan)))
    return [series]


@register('held')
async def measure_held(plan: Plan) -> list[Series]:
    """Grow the number of tasks held by one holder, on 60 instances."""
    series = Series('holder', 'tasks held')
    async with Bench(plan.directory) as bench:
        await bench.start_entry('entry-0', partitions=1)
        await bench.apply(make_catalogue(TEAMS))
        await bench.announce(60)
        submitted = 0
        for count in (150, 300, 600, 1200):
            await bench.submit(count - submitted)
            submitted = count
            series.points.append((count, await measure(bench, plan)))
    return [series]


@register('spread')
async def measure_spread(plan: Plan) -> list[Series]:
    """Grow the number of instances that run one holder's tasks."""
    series = Series('holder', 'instances with its tasks')
    for count in (20, 40, 80, 160):
        async with Bench(plan.directory / str(count)) as bench:
            await bench.start_entry('entry-0', partitions=1)
            await bench.apply(make_catalogue(TEAMS))
            await bench.announce(count)
            await bench.submit(320)
            series.points.append((count, await measure(bench, plan)))
    return [series]


@register('starts')
async def measure_starts(plan: Plan) -> list[Series]:
    """Grow the task starts per second; callers use another entry."""
    holder = Series('holder', 'starts a second')
    forwarder = Series('entry', 'tasks forwarded a second')
    async with Bench(plan.directory) as bench:
        names = ['entry-0', 'entry-1']
        for name in names:
            await bench.start_entry(name, partitions=1)
        await bench.apply(make_catalogue(TEAMS))
        holder_name = partitions.prefer_entry(0, names)
        caller = next(name for name in names if name != holder_name)
        await bench.announce(40, holder_name)
        for sidecar in bench.sidecars.sidecars:
            sidecar.task_seconds = _TASK_SECONDS
        for rate in (5, 10, 20, 40):
            samples = await _measure_under_load(
                bench, plan, rate, holder_name, caller
            )
            holder.points.append((rate, samples[holder_name]))
            forwarder.points.append((rate, samples[caller]))
    return [holder, forwarder]


@register('commits')
async def measure_commits(plan: Plan) -> list[Series]:
    """Grow the starts per second over four partitions of one holder."""
    series = Series('holder of 4 partitions', 'starts a second')
    async with Bench(plan.directory) as bench:
        await bench.start_entry('entry-0', partitions=4)
        await bench.apply(make_catalogue(TEAMS))
        await bench.announce(40)
        for sidecar in bench.sidecars.sidecars:
            sidecar.task_seconds = _TASK_SECONDS
        for rate in (5, 10, 20, 40):
            samples = await _measure_under_load(
                bench, plan, rate, 'entry-0', 'entry-0'
            )
            series.points.append((rate, samples['entry-0']))
    return [series]


async def _measure_under_load(
    bench: Bench, plan: Plan, rate: int, holder_name: str, caller: str
) -> dict[str, slope_meter.Sample]:
    samples: dict[str, slope_meter.Sample] = {}

    async def measure_one(name: str) -> None:
        samples[name] = await measure(bench, plan, name)

    async def send(group) -> None:
        started_at = time.monotonic()
        sent_count = 0
        while True:
            sent_count += 1
            workload = f'build-{sent_count % TEAMS}'
            group.start_soon(bench.post, caller, workload)
            due_at = started_at + sent_count / rate
            await anyio.sleep(max(due_at - time.monotonic(), 0.0))

    async with anyio.create_task_group() as posts:
        async with anyio.create_task_group() as group:
            group.start_soon(send, posts)
            async with anyio.create_task_group() as meters:
                for name in {holder_name, caller}:
                    meters.start_soon(measure_one, name)
            group.cancel_scope.cancel()
    return samples


@register('partitions')
async def measure_partitions(plan: Plan) -> list[Series]:
    """Grow the number of partitions that one idle entry holds."""
    series = Series('entry', 'partitions held')
    for count in (4, 8, 16, 32):
        async with Bench(plan.directory / str(count)) as bench:
            await bench.start_entry('entry-0', partitions=count)
            await bench.entries['entry-0'].wait_event(
                'partition-opened', count
            )
            series.points.append((count, await measure(bench, plan)))
    return [series]


@register('entries')
async def measure_entries(plan: Plan) -> list[Series]:
    """Grow the number of idle entries with one store and 16 partitions."""
    series = Series('entry', 'entries')
    async with Bench(plan.directory) as bench:
        for count in (1, 2, 4, 8, 14):
            while len(bench.entries) < count:
                await bench.start_entry(
                    f'entry-{len(bench.entries)}', partitions=16
                )
            await anyio.sleep(SETTLE_SECONDS)
            series.points.append((count, await measure(bench, plan)))
    return [series]
