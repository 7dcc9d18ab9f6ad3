"""A small deployment for failure tests, and the workers' own records."""

import collections
import dataclasses
import signal
import time
import typing as t

import anyio
import httpx

from standins import deployment
from tests import oracle

CATALOGUE = """
[team yard]
objective = throughput
cores = 400
memory-gb = 1600

[workload build]
owner = yard
class = batch
idempotent = no
timeout = 30
cores = 8
memory-gb = 16

[workload watcher]
owner = yard
class = watcher
cores = 0.25
memory-gb = 0.5
"""
TASK_LEASE_SECONDS = 1.2
ENTRY_SETTINGS = {
    'partitions': 1,
    'partition-lease': 2.0,
    'task-lease': TASK_LEASE_SECONDS,
    'commit-interval': 0.02,
    'drain': 2.0,
    'outage-limit': 30,
}


@dataclasses.dataclass(frozen=True)
class Interval:
    """When one attempt at a task ran, by the worker's clock.

    A frozen worker observes the end late, but does nothing for the task
    once its lease has expired: the interval ends there at the latest.
    """

    worker: str
    attempt: int
    start: float
    end: float
    reason: str
    resumed: str
    checkpoint: str = ''


@dataclasses.dataclass(frozen=True)
class Start:
    """An attempt that a worker has started."""

    instance: str
    attempt: int


class Cluster(deployment.Deployment):
    """Entries, workers and sidecars with short leases."""

    def __init__(self, directory) -> None:
        super().__init__(directory)
        self.entries: list[str] = []
        self.sidecars: dict[str, t.Callable] = {}
        self.workers: dict[str, str] = {}

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        try:
            if exc_info[0] is None:
                violations = await oracle.find_violations(self)
                assert not violations, violations
        finally:
            handled = await super().__aexit__(*exc_info)
        return handled

    async def open(
        self, entries: int = 2, workers: int = 2, **entry: object
    ) -> None:
        """Start everything and wait until tasks are accepted."""
        await self.start_store()
        for number in range(entries):
            await self.add_entry(f'entry-{number}', **entry)
        for number in range(workers):
            await self.add_instance(f'w{number}')
        code, text = await self.apply_catalogue(CATALOGUE)
        assert code == 0, text
        for name in self.entries:
            await self.processes[name].wait_event('catalogue', revision='1')
            for number in range(workers):
                await self.processes[name].wait_event(
                    'announced', instance=f'w{number}'
                )

    async def add_entry(
        self, name: str, store: str = '', **entry: object
    ) -> deployment.Process:
        """Start an entry."""
        options = {k.replace('_', '-'): v for k, v in entry.items()}
        process = await self.start_entry(
            name, store=store, entry={**ENTRY_SETTINGS, **options}
        )
        if name not in self.entries:
            self.entries.append(name)
        return process

    async def add_instance(self, name: str, **process: object) -> None:
        """Start a worker and its sidecar."""
        self.workers[name] = await self.start_stand_in(
            'worker', f'worker-{name}'
        )
        await self.restart_sidecar(name, **process)

    async def restart_sidecar(self, name: str, **process: object) -> None:
        """Start the sidecar of a worker, or a new one after a kill."""
        controls = [self.read_listening(e)['control'] for e in self.entries]
        await self.start_sidecar(
            name,
            controls,
            self.workers[name],
            '127.0.0.1:9',
            'yard',
            process=process,
            sidecar={'report-interval': 0.1},
        )

    async def restart_worker(self, name: str) -> None:
        """Start a killed worker again at its address."""
        await self.start_stand_in(
            'worker', f'worker-{name}', '--listen', self.workers[name]
        )

    def read_listening(self, name: str) -> dict[str, str]:
        """Return the latest addresses of a process."""
        return self.processes[name].find('listening')[-1]

    async def wait_holder(self) -> str:
        """Return the entry that opened the partition's latest epoch."""
        await self.wait_any(self.entries, 'partition-opened')
        return max(self.entries, key=self._find_epoch)

    async def wait_successor(self, holder: str) -> tuple[str, str]:
        """Return the entry that opens the next epoch, and the epoch."""
        previous = self._find_epoch(holder)
        with anyio.fail_after(deployment.START_SECONDS):
            while True:
                name = max(self.entries, key=self._find_epoch)
                if self._find_epoch(name) > previous:
                    return name, str(self._find_epoch(name))
                await self._wait_change()

    def _find_epoch(self, name: str) -> int:
        opened = self.processes[name].find('partition-opened')
        return max((int(event['epoch']) for event in opened), default=0)

    async def wait_any(
        self, names: t.Iterable[str], event: str, **fields: str
    ) -> dict[str, str]:
        """Wait until one of some processes has logged an event."""
        names = list(names)
        with anyio.fail_after(deployment.START_SECONDS):
            while True:
                for name in names:
                    found = self.processes[name].find(event, **fields)
                    if found:
                        return found[0]
                await self._wait_change()

    async def wait_members(self, count: int) -> None:
        """Wait until a holder has listed this many entries."""
        await self.wait_any(self.entries, 'members-listed', entries=str(count))

    async def _wait_change(self) -> None:
        async with anyio.create_task_group() as group:

            async def wait(process):
                await process.changed.wait()
                group.cancel_scope.cancel()

            for process in self.processes.values():
                if not process.ended:
                    group.start_soon(wait, process)

    def find_other_entry(self, name: str) -> str:
        """Return an entry other than the named one."""
        return next(e for e in self.entries if e != name)

    async def post(
        self, entry: str, workload: str, key: str, seconds: float | None
    ) -> httpx.Response:
        """Submit a task at an entry."""
        http = self.read_listening(entry)['http']
        payload = {} if seconds is None else {'seconds': seconds}
        return await self.client.post(
            f'http://{http}/v1/workloads/{workload}/requests',
            json=payload,
            headers={'idempotency-key': key},
        )

    async def submit(
        self, entry: str, workload: str, key: str, seconds: float | None = None
    ) -> str:
        """Submit a task and retry until it is accepted."""
        with anyio.fail_after(deployment.START_SECONDS):
            while True:
                answer = await self.post(entry, workload, key, seconds)
                if answer.status_code == 202:
                    return answer.json()['task']
                await anyio.sleep(float(answer.headers['retry-after']) / 10)

    async def wait_running(self, task: str, attempt: int = 1) -> str:
        """Return the instance whose worker started an attempt."""
        names = [f'worker-{name}' for name in self.workers]
        event = await self.wait_any(
            names, 'worker-started', task=task, attempt=str(attempt)
        )
        return event['process'].removeprefix('worker-')

    async def wait_start(self, task: str, after: int = 0) -> Start:
        """Return the latest started attempt with a number above ``after``.

        A sidecar may refuse a start, and a late renewal may end an
        attempt, so the running attempt's number depends on the machine.
        """
        with anyio.fail_after(deployment.START_SECONDS):
            while True:
                starts = [
                    Start(name, int(event['attempt']))
                    for name in self.workers
                    for event in self.processes[f'worker-{name}'].find(
                        'worker-started', task=task
                    )
                ]
                latest = max(
                    starts,
                    key=lambda start: start.attempt,
                    default=Start('', 0),
                )
                if latest.attempt > after:
                    return latest
                await self._wait_change()

    async def read_final(self, entry: str, task: str) -> dict:
        """Poll a task until its state is final and return that."""
        http = self.read_listening(entry)['http']
        with anyio.fail_after(deployment.START_SECONDS):
            while True:
                answer = await self.client.get(
                    f'http://{http}/v1/tasks/{task}', params={'wait': 10}
                )
                body = answer.json()
                if body.get('phase') not in (None, 'pending', 'claimed'):
                    return body

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        await self.processes[name].stop(signal.SIGKILL)

    async def kill_worker(self, name: str) -> None:
        """Kill a worker; its tasks end with it."""
        await self.kill(f'worker-{name}')

    def freeze(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self._log_action(name, 'frozen')
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a frozen process."""
        self._log_action(name, 'woken')
        self.processes[name].send_signal(signal.SIGCONT)

    def _log_action(self, name: str, event: str) -> None:
        """Log, in a separate file, when the test acted on a process.

        Its time separates the lines that the process wrote before the action
        from those that it wrote after, regardless of when they were read.
        """
        epoch = self._find_epoch(name)
        line = (
            f'time={time.time():.6f} level=warning process=test '
            f'event={event} name={name} epoch_read={epoch}\n'
        )
        with (self.directory / 'test.log').open('a') as log:
            log.write(line)

    async def read_intervals(self) -> dict[str, list[Interval]]:
        """Return when each task ran, from the workers' own records.

        A live worker is asked; a killed worker's record is its log. Its
        attempts have ended by the start of its replacement, whose record
        omits them.
        """
        found: dict[str, list[Interval]] = collections.defaultdict(list)
        for name, address in self.workers.items():
            process = self.processes[f'worker-{name}']
            if process.handle.returncode is None:
                answer = await self.client.get(f'http://{address}/record')
                events = answer.json()
            else:
                events = _read_logged(process)
            for task, interval in _pair_events(name, events):
                found[task].append(interval)
        return {
            task: sorted(runs, key=lambda run: run.start)
            for task, runs in found.items()
        }

    async def wait_active(self, task: str) -> None:
        """Wait until the latest attempt at a task runs."""
        with anyio.fail_after(deployment.START_SECONDS):
            while True:
                runs = (await self.read_intervals())[task]
                if runs[-1].reason == 'active':
                    return
                await self._wait_change()

    async def find_overlaps(self) -> list[tuple[Interval, Interval]]:
        """Return pairs of attempts at one task that ran simultaneously."""
        intervals = await self.read_intervals()
        return [
            (first, second)
            for runs in intervals.values()
            for index, first in enumerate(runs)
            for second in runs[index + 1 :]
            if second.start < first.end
        ]


def _read_logged(process: deployment.Process) -> list[dict]:
    return [
        {
            **event,
            'event': event['event'].removeprefix('worker-'),
            'attempt': int(event['attempt']),
            'at': float(event['at']),
            'until': float(event['until']),
        }
        for event in process.events
        if event.get('event', '').startswith('worker-') and 'at' in event
    ]


def _pair_events(worker: str, events: list[dict]) -> t.Iterator[tuple]:
    open_events: dict[tuple[str, int], dict] = {}
    for event in events:
        key = (event['task'], event['attempt'])
        if event['event'] == 'started':
            open_events[key] = event
            continue
        start = open_events.pop(key)
        end = min(event['at'], event['until'])
        interval = _make_interval(worker, start, end, event['event'])
        yield (
            key[0],
            dataclasses.replace(interval, checkpoint=event['checkpoint']),
        )
    for key, start in open_events.items():
        yield key[0], _make_interval(worker, start, float('inf'), 'active')


def _make_interval(worker, start, end, reason) -> Interval:
    return Interval(
        worker,
        start['attempt'],
        start['at'],
        end,
        reason,
        start['resumed'],
    )
