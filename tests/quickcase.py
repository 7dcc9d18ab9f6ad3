"""Shared fixtures of the process tests of quick requests."""

import contextlib
import dataclasses
import typing as t

import anyio
import httpx

from standins import deployment

CATALOGUE = """
[team tallowford]
objective = tail-latency
cores = 400
memory-gb = 1600

[workload check]
owner = tallowford
class = latency-critical
service = planning
idempotent = yes
timeout = 20
cores = 0.5
memory-gb = 0.5

[workload order]
owner = tallowford
class = latency-critical
service = planning
idempotent = no
timeout = 20
cores = 0.5
memory-gb = 0.5

[workload build]
owner = tallowford
class = batch
idempotent = no
timeout = 30
cores = 8
memory-gb = 16
"""


@dataclasses.dataclass
class Site:
    """Running entries and sidecars, and their addresses."""

    running: deployment.Deployment
    entries: list[deployment.Process] = dataclasses.field(default_factory=list)
    backends: dict[str, str] = dataclasses.field(default_factory=dict)
    workers: dict[str, str] = dataclasses.field(default_factory=dict)
    proxies: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def controls(self) -> list[str]:
        """The control addresses of the entries."""
        return [
            entry.find('listening')[-1]['control'] for entry in self.entries
        ]

    def url(self, entry: int = 0) -> str:
        """Return an entry's address for callers."""
        listening = self.entries[entry].find('listening')[-1]
        return f'http://{listening["http"]}'

    async def add_entry(self, name: str, **options: t.Any) -> None:
        """Start an entry."""
        process = await self.running.start_entry(name, **options)
        self.entries.append(process)

    async def add_sidecar(
        self,
        name: str,
        controls: list[str] | None = None,
        proxied: bool = False,
        proxied_backend: bool = False,
        **options: t.Any,
    ) -> deployment.Process:
        """Start a sidecar with its worker and backend server."""
        running = self.running
        if name not in self.backends:
            self.backends[name] = await running.start_stand_in(
                'backend', f'backend-{name}'
            )
            self.workers[name] = await running.start_stand_in(
                'worker', f'worker-{name}'
            )
        backend = self.backends[name]
        if proxied_backend:
            backend, control = await running.start_proxy(
                f'backend-proxy-{name}', backend
            )
            self.proxies[f'backend-{name}'] = control
        process: dict[str, object] = {}
        if proxied:
            address, control = await running.start_proxy(
                f'proxy-{name}', '127.0.0.1:1'
            )
            process['control-advertised'] = address
            self.proxies[name] = control
        sidecar = await running.start_sidecar(
            name,
            controls or self.controls,
            self.workers[name],
            backend,
            'planning',
            process=process,
            sidecar=options,
        )
        if proxied:
            target = sidecar.find('listening')[-1]['control']
            await running.set_faults(self.proxies[name], target=target)
        return sidecar

    async def wait_ready(self, *sidecars: str) -> None:
        """Wait until all entries have the catalogue and the sidecars."""
        for entry in self.entries:
            await entry.wait_event('catalogue')
            for name in sidecars:
                await entry.wait_event('announced', instance=name)

    async def post(
        self,
        workload: str,
        body: dict[str, t.Any],
        entry: int = 0,
        headers: dict[str, str] | None = None,
    ) -> httpx.Response:
        """Send a caller's request."""
        return await self.running.client.post(
            f'{self.url(entry)}/v1/workloads/{workload}/requests',
            json=body,
            headers=headers,
        )

    async def read_record(self, name: str) -> list[dict[str, t.Any]]:
        """Return the requests that a backend server ran."""
        answer = await self.running.client.get(
            f'http://{self.backends[name]}/record'
        )
        return answer.json()

    async def read_all(self) -> list[dict[str, t.Any]]:
        """Return the requests that all backend servers ran."""
        records = [await self.read_record(name) for name in self.backends]
        return [run for record in records for run in record]

    async def wait_work_started(self) -> str:
        """Return the name of the first backend server to start work."""
        names: list[str] = []

        async def wait(name: str) -> None:
            await self.running.processes[f'backend-{name}'].wait_event('work')
            names.append(name)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            for name in self.backends:
                group.start_soon(wait, name)
        return names[0]

    async def send_backend_action(self, name: str, action: str) -> None:
        """Make a backend server ``leave`` or ``return``."""
        await self.running.client.post(
            f'http://{self.backends[name]}/{action}'
        )


@contextlib.asynccontextmanager
async def open_site(directory, entries: int = 1) -> t.AsyncIterator[Site]:
    """Start a store and entries, with the catalogue in force."""
    async with deployment.Deployment(directory) as running:
        await running.start_store()
        code, output = await running.apply_catalogue(CATALOGUE)
        if code:
            raise AssertionError(output)
        site = Site(running)
        for number in range(entries):
            await site.add_entry(f'entry-{number}')
        yield site


async def gather(*calls: t.Awaitable[t.Any]) -> list[t.Any]:
    """Await all concurrently and return their results in order."""
    results: list[t.Any] = [None] * len(calls)

    async def run(index: int, call: t.Awaitable[t.Any]) -> None:
        results[index] = await call

    async with anyio.create_task_group() as group:
        for index, call in enumerate(calls):
            group.start_soon(run, index, call)
    return results
