"""The system's roles and stand-ins as simulated processes."""

import json
import pathlib
import typing as t

import anyio
import httpx

from persimmonsail.callers import entry
from persimmonsail.catalogues import catalogue_store
from persimmonsail import httpserver
from persimmonsail import settings as settings_module
from persimmonsail.sidecars import sidecar
from persimmonsail import store as store_module
from standins import backend as backend_module
from standins import store as store_server
from standins.virtual import world as world_module
from standins import worker as worker_module

CATALOGUE = pathlib.Path(__file__).parents[2] / 'examples/catalogue.ini'
STORE = 'store:4000'
_ENTRY = """\
[process]
name = {name}
region = piedmont
zone = piedmont-a
control = {name}:7000
http = {name}:8000

[store]
address = store:4000
timeout = 0.5

[entry]
partitions = 2
partition-lease = 3
task-lease = 3
"""
_SIDECAR = """\
[process]
name = {name}
region = piedmont
zone = piedmont-a
rack = rack-{name}
control = {name}:7000

[sidecar]
entries = {entries}
worker = worker-{name}:9000
backend = backend-{name}:9500
service = planning
"""


class Fleet:
    """Two entries, three instances and a store in one simulation."""

    entries = ('entry-1', 'entry-2')
    instances = ('one', 'two', 'three')

    def __init__(self, world: world_module.World) -> None:
        self.world = world
        self.store: store_server.StoreServer
        self.workers: dict[str, worker_module.WorkerServer] = {}
        self.backends: dict[str, backend_module.BackendServer] = {}
        self.records: dict[str, list[dict]] = {}

    def start_all(self) -> None:
        """Start every process and apply the example catalogue."""
        self.world.start('client', anyio.sleep_forever)
        self.world.start('store', self._run_store)
        self.world.run_for(0.1)
        for name in self.entries:
            self.start_entry(name)
        for name in self.instances:
            self.start_worker(name)
            self.world.start(f'backend-{name}', self._run_backend, name)
            self.start_sidecar(name)
        text = CATALOGUE.read_text(encoding='utf-8')
        self.world.call(self.apply, text)
        self.world.run_for(5.0)

    def start_entry(self, name: str) -> None:
        """Start or restart an entry."""
        settings = settings_module.parse(
            name, _ENTRY.format(name=name), 'entry'
        )
        self.world.start(name, entry.run, settings)

    def start_sidecar(self, name: str) -> None:
        """Start or restart a sidecar."""
        entries = ', '.join(f'{entry}:7000' for entry in self.entries)
        text = _SIDECAR.format(name=name, entries=entries)
        settings = settings_module.parse(name, text, 'sidecar')
        self.world.start(name, sidecar.run, settings)

    def start_worker(self, name: str) -> None:
        """Start a worker, or restart it with empty memory."""
        self.world.start(f'worker-{name}', self._run_worker, name)

    async def apply(self, text: str, author: str = 'operator') -> int:
        """Apply a catalogue and return its revision."""
        store = store_module.KINDS['http'](STORE, 0.5)
        catalogues = catalogue_store.CatalogueStore(store)
        head = await catalogues.swap(await catalogues.read(), text, author)
        return head.revision

    async def post(
        self, entry_name: str, workload: str, body: dict, key: str = ''
    ) -> httpx.Response | None:
        """Send a caller's request; return None without a response."""
        headers = {'idempotency-key': key} if key else {}
        return await self._request(
            'POST',
            f'http://{entry_name}:8000/v1/workloads/{workload}/requests',
            json=body,
            headers=headers,
        )

    async def get_task(
        self, entry_name: str, task: str
    ) -> httpx.Response | None:
        """Request the state of a task."""
        return await self._request(
            'GET', f'http://{entry_name}:8000/v1/tasks/{task}'
        )

    async def cancel_task(
        self, entry_name: str, task: str
    ) -> httpx.Response | None:
        """Request the cancellation of a task."""
        return await self._request(
            'DELETE', f'http://{entry_name}:8000/v1/tasks/{task}'
        )

    async def _request(
        self, method: str, url: str, **options: t.Any
    ) -> httpx.Response | None:
        async with httpx.AsyncClient(timeout=20) as client:
            try:
                return await client.request(method, url, **options)
            except httpx.HTTPError:
                return None

    async def _run_store(self) -> None:
        self.store = store_server.StoreServer()
        await self._serve(
            self.store.app, 'store:4000', self.store.expire_leases
        )

    async def _run_worker(self, name: str) -> None:
        server = worker_module.WorkerServer(64, 250, 0)
        self.workers[name] = server
        record = self.records.setdefault(name, [])
        server._record = record
        await self._serve(server.app, f'worker-{name}:9000', server.run_tasks)

    async def _run_backend(self, name: str) -> None:
        server = backend_module.BackendServer()
        self.backends[name] = server
        await self._serve(server.app, f'backend-{name}:9500')

    async def _serve(self, app, address: str, *background) -> None:
        async with (
            anyio.create_task_group() as group,
            httpserver.HttpServer(app, address, 1.0),
        ):
            for function in background:
                group.start_soon(function)
            await anyio.sleep_forever()


def read_json(response: httpx.Response) -> dict:
    """Return the JSON body of a response."""
    return json.loads(response.content)
