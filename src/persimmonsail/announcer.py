"""A sidecar's links to entries, over which it announces its instance."""

import time

import anyio
import anyio.abc
import grpclib.exceptions

from persimmonsail import attempts
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import instance as instance_module
from persimmonsail import links
from persimmonsail import logs
from persimmonsail import pacing
from persimmonsail import reports
from persimmonsail import settings as settings_module

_STALE_INTERVAL = 0.2


class Announcer:
    """Announces an instance to entries, one task for each entry."""

    def __init__(
        self,
        own: instance_module.OwnInstance,
        settings: settings_module.Settings,
        address: str,
        opened: links.Links,
    ) -> None:
        self._own = own
        self._settings = settings
        self._address = settings.process.control_advertised or address
        self._links = opened
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._listed: dict[str, tuple[set[str], set[str]]] = {}
        self._down: set[str] = set()
        self._near_at = anyio.current_time()
        self.changed = anyio.Event()

    async def run(self) -> None:
        """Keep a link to every known entry, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._update_links(group)
                await anyio.sleep(self._settings.links.heartbeat)

    def announce_now(self) -> None:
        """Send a report at once, on every link."""
        self.changed.set()
        self.changed = anyio.Event()

    def describe(self, sequence: int) -> control_pb2.SidecarReport:
        """Return the announcement of this instance."""
        process = self._settings.process
        limits = self._settings.sidecar
        return control_pb2.SidecarReport(
            instance=process.name,
            zone=process.zone,
            rack=process.rack,
            incarnation=self._own.incarnation,
            address=self._address,
            service=limits.service,
            leaving=self._own.leaving,
            backend_leaving=self._own.backend_leaving,
            clock_ms=attempts.read_clock(),
            slots=limits.slots,
            max_connections=limits.connections,
            capacity=self._own.commitments.capacity.to_message(),
            load=self._own.describe_load(),
            revision=self._own.revision,
            sequence=sequence,
        )

    def _update_links(self, group: anyio.abc.TaskGroup) -> None:
        wanted = self._choose_entries()
        for address in self._scopes.keys() - wanted:
            # An entry replaced at another address would be called for
            # ever.
            logs.write_event('entry-forgotten', entry=address)
            self._scopes.pop(address).cancel()
        for address in wanted - self._scopes.keys():
            scope = self._scopes[address] = anyio.CancelScope()
            group.start_soon(self._keep_link, address, scope)

    def _choose_entries(self) -> set[str]:
        live = self._listed.keys() - self._down
        known = [self._listed[name] for name in live or self._listed]
        near = set[str]().union(*(pair[0] for pair in known))
        far = set[str]().union(*(pair[1] for pair in known))
        if near & live:
            self._near_at = anyio.current_time()
        # With no entry of the own zone left, the tasks' new holders are
        # in other zones and can renew leases only if they find the
        # sidecar; it then links to entries of all zones until one of its
        # own is back.
        alone = anyio.current_time() - self._near_at
        if not near or alone > self._settings.links.silence:
            near |= far
        return near.union(self._settings.sidecar.entries)

    async def _keep_link(self, address: str, scope: anyio.CancelScope) -> None:
        with scope:
            await self._repeat_link(address)
        self._links.drop(address)
        self._listed.pop(address, None)

    async def _repeat_link(self, address: str) -> None:
        limits = self._settings.links
        while True:
            try:
                await self._run_link(address)
            except (
                OSError,
                TimeoutError,
                grpclib.exceptions.GRPCError,
                grpclib.exceptions.StreamTerminatedError,
                exceptions.LinkLost,
            ) as error:
                name = type(error).__name__
                logs.write_event('link-lost', entry=address, error=name)
            self._down.add(address)
            self._links.drop(address)
            await anyio.sleep(limits.heartbeat)

    async def _run_link(self, address: str) -> None:
        shortest = self._settings.sidecar.report_interval
        silence = self._settings.links.silence
        stub = control_grpc.EntryStub(self._links.open(address))
        writer = reports.ReportWriter()
        interval = shortest
        sequence = 0
        with anyio.fail_after(silence) as scope:
            async with stub.Link.open() as stream:
                while True:
                    sequence += 1
                    asked_at = time.monotonic()
                    report = writer.shorten(self.describe(sequence))
                    await stream.send_message(report)
                    notice = await stream.recv_message()
                    if notice is None:
                        # Leaving the stream without an error would
                        # finish it, which fails on an ended one.
                        raise exceptions.LinkLost('ended by the entry')
                    self._note(address, notice, asked_at)
                    interval = max(notice.report_seconds or interval, shortest)
                    scope.deadline = (
                        anyio.current_time()
                        + pacing.choose_silence(interval, silence)
                    )
                    with anyio.move_on_after(self._choose_pause(interval)):
                        await self.changed.wait()

    def _choose_pause(self, interval: float) -> float:
        if self._own.find_staleness():
            return min(interval, _STALE_INTERVAL)
        return interval

    def _note(
        self,
        address: str,
        notice: control_pb2.EntryNotice,
        asked_at: float,
    ) -> None:
        self._own.note_revision(notice.revision)
        if notice.fresh:
            self._own.note_fresh(asked_at)
        near, far = set(notice.entries), set(notice.far_entries)
        if near or far:
            self._listed[address] = near, far
        self._down.discard(address)
