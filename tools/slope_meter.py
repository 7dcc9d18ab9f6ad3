"""Meters of the resource use of a process, its links and the store."""

import asyncio
import contextlib
import dataclasses
import time
import typing as t

import anyio
import httpx
import psutil

MEGABYTE = 1 << 20
_CHUNK_BYTES = 1 << 16


@dataclasses.dataclass(frozen=True)
class Sample:
    """Costs over one window.

    Attributes
    ----------
    cpu : float
        CPU seconds per second; for a command, in total.
    rss_mb : float
        Resident memory at the window's end; for a command, its peak.
    link_bytes : float
        Bytes per second on control links, in both directions.
    store_bytes : float
        Bytes per second to and from the store.
    reads, writes, watches : float
        Store calls per second; for a recovery, in total.
    seconds : float
        Duration of a recovery or of a catalogue change.
    """

    cpu: float = 0.0
    rss_mb: float = 0.0
    link_bytes: float = 0.0
    store_bytes: float = 0.0
    reads: float = 0.0
    writes: float = 0.0
    watches: float = 0.0
    seconds: float = 0.0


COSTS = tuple(field.name for field in dataclasses.fields(Sample))


class CountingProxy:
    """Forwards TCP connections and counts their bytes.

    Use inside ``async with``; ``target`` may be set after the start.
    While ``discarding`` is set, all received data is dropped.
    """

    def __init__(self, target: str = '') -> None:
        self.target = target
        self.bytes = 0
        self.discarding = False
        self.address = ''

    async def __aenter__(self) -> 'CountingProxy':
        self._server = await asyncio.start_server(
            self._forward, '127.0.0.1', 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def __aexit__(self, *exc_info: t.Any) -> None:
        self._server.close()

    async def _forward(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        async with anyio.create_task_group() as group:
            group.start_soon(self._copy, reader, upstream[1])
            group.start_soon(self._copy, upstream[0], writer)

    async def _copy(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.discarding:
                    continue
                self.bytes += len(chunk)
                writer.write(chunk)
                await writer.drain()
        writer.close()


class Meter:
    """Measures one process with its links and the store."""

    def __init__(
        self,
        pid: int,
        links: t.Iterable[CountingProxy] = (),
        store_link: CountingProxy | None = None,
        store: str = '',
    ) -> None:
        self._process = psutil.Process(pid)
        self._links = list(links)
        self._store_link = store_link
        self._store = store

    async def measure(self, seconds: float) -> Sample:
        """Return the costs over the next ``seconds``."""
        calls = await read_calls(self._store)
        cpu, link, store = self._read()
        started_at = time.monotonic()
        await anyio.sleep(seconds)
        elapsed = time.monotonic() - started_at
        cpu_after, link_after, store_after = self._read()
        calls_after = await read_calls(self._store)
        rates = {
            name: (calls_after[name] - count) / elapsed
            for name, count in calls.items()
        }
        return Sample(
            cpu=(cpu_after - cpu) / elapsed,
            rss_mb=self._process.memory_info().rss / MEGABYTE,
            link_bytes=(link_after - link) / elapsed,
            store_bytes=(store_after - store) / elapsed,
            reads=rates.get('read', 0.0),
            writes=rates.get('write', 0.0),
            watches=rates.get('watch', 0.0),
        )

    def _read(self) -> tuple[float, int, int]:
        times = self._process.cpu_times()
        return (
            times.user + times.system,
            sum(link.bytes for link in self._links),
            self._store_link.bytes if self._store_link else 0,
        )


async def read_calls(store: str) -> dict[str, int]:
    """Return the call counts of a store stand-in."""
    if not store:
        return {}
    async with httpx.AsyncClient(trust_env=False) as client:
        return (await client.get(f'http://{store}/calls')).json()
