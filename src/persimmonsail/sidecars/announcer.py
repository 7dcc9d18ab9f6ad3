"""A sidecar's links to entries, over which it announces its instance."""

import time
import typing as t

import anyio
import grpclib.exceptions

from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import links
from persimmonsail import logs
from persimmonsail import settings as settings_module
from persimmonsail.sidecars import attempts
from persimmonsail.sidecars import colocation as colocation_module
from persimmonsail.sidecars import instance as instance_module

_STALE_INTERVAL_SECONDS = 0.2


class Announcer:
    """Announces an instance to entries, one task for each entry."""

    def __init__(
        self,
        own: instance_module.OwnInstance,
        settings: settings_module.Settings,
        address: str,
        opened: links.Links,
        colocation: colocation_module.Colocation,
    ) -> None:
        self._own = own
        self._settings = settings
        self._address = settings.process.control_advertised or address
        self._links = opened
        self._colocation = colocation
        self._known: set[str] = set()
        self._live: frozenset[str] = frozenset()
        self.changed = anyio.Event()

    async def run(self) -> None:
        """Maintain a link to every known entry until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            self._add(self._settings.sidecar.entries)
            await anyio.sleep_forever()

    def announce_now(self) -> None:
        """Send a report immediately on every link."""
        self.changed.set()
        self.changed = anyio.Event()

    def describe(self, sequence: int) -> control_pb2.SidecarReport:
        """Return a report that announces this instance."""
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

    def _add(self, addresses: t.Iterable[str]) -> None:
        for address in addresses:
            if address not in self._known:
                self._known.add(address)
                self._group.start_soon(self._run_link_loop, address)

    async def _run_link_loop(self, address: str) -> None:
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
            self._links.drop(address)
            if self._is_replaced(address):
                logs.write_event('entry-forgotten', entry=address)
                self._known.discard(address)
                return
            await anyio.sleep(limits.heartbeat)

    def _is_replaced(self, address: str) -> bool:
        # Without this, the sidecar would keep calling an entry that was
        # replaced at another address. Configured addresses are retained,
        # as they may be reused.
        is_configured = address in self._settings.sidecar.entries
        return (
            not is_configured
            and bool(self._live)
            and address not in self._live
        )

    async def _run_link(self, address: str) -> None:
        settings = self._settings
        stub = control_grpc.EntryStub(self._links.open(address))
        sequence = 0
        link_state = colocation_module.LinkState()
        with anyio.move_on_after(settings.links.silence) as scope:
            async with stub.Link.open() as stream:
                while True:
                    sequence += 1
                    sent_at = time.monotonic()
                    report = self.describe(sequence)
                    self._colocation.describe(report, link_state)
                    await stream.send_message(report)
                    notice = await stream.recv_message()
                    if notice is None:
                        # Exiting the stream context without an error
                        # would finish the stream, which fails once it
                        # has ended.
                        raise exceptions.LinkLost('ended by the entry')
                    self._handle_notice(notice, sent_at)
                    scope.deadline = (
                        anyio.current_time() + settings.links.silence
                    )
                    with anyio.move_on_after(self._choose_interval()):
                        await self.changed.wait()
        # Also raised if a notice extended the deadline just as it passed.
        raise TimeoutError

    def _choose_interval(self) -> float:
        interval = self._settings.sidecar.report_interval
        if self._own.find_staleness():
            return min(interval, _STALE_INTERVAL_SECONDS)
        return interval

    def _handle_notice(
        self, notice: control_pb2.EntryNotice, sent_at: float
    ) -> None:
        self._own.record_revision(notice.revision)
        self._live = frozenset(notice.entries)
        if notice.fresh:
            self._own.record_confirmation(
                sent_at, sent_at - notice.evidence_age_seconds
            )
        self._add(notice.entries)
        self._colocation.note_notice(notice)
