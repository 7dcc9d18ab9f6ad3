"""The entry role: serves callers and holds ledger partitions."""

import contextlib
import hashlib
import random
import signal
import time
import typing as t

import anyio
from grpclib.health import service as health_service
import grpclib.server

from persimmonsail import addresses
from persimmonsail.bookkeeping import ledger
from persimmonsail.bookkeeping import ratelimits
from persimmonsail.callers import claims
from persimmonsail.callers import gateway
from persimmonsail.callers import quick
from persimmonsail.catalogues import follower as follower_module
from persimmonsail.catalogues import revisions
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail.decisions import fleet as fleet_module
from persimmonsail.decisions import objectives
from persimmonsail.decisions import planner
from persimmonsail.decisions import shedding
from persimmonsail import httpserver
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail import looplag
from persimmonsail.partitioning import consents
from persimmonsail.partitioning import forwarding
from persimmonsail.partitioning import holder as holder_module
from persimmonsail.partitioning import holders
from persimmonsail.partitioning import partitions as partitions_module
from persimmonsail.partitioning import peers as peers_module
from persimmonsail.partitioning import status
from persimmonsail import problems
from persimmonsail import settings as settings_module
from persimmonsail import shutdown
from persimmonsail import store as store_module

_RETRY_AFTER_SECONDS = 2.0
_DIGEST_LENGTH = 24
_LINK_TIMEOUT_SILENCES = 2
_FRESHNESS_CHECK_SECONDS = 0.1
_REFRESH_TIMEOUT_SECONDS = 0.5


class Entry(control_grpc.EntryBase):
    """One entry process; use inside ``async with``."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self.view = revisions.View(settings.entry.freshness)
        self.fleet = fleet_module.Fleet(settings.links.silence)
        self.learned_state = planner.LearnedState()
        self.links = links_module.Links(
            links_module.make_limits(settings.links)
        )
        self.leaving = False
        self._warm_at = time.monotonic() + settings.entry.warmup
        self.stop = shutdown.Stop()
        self.final_stop = shutdown.Stop()
        self.calls = shutdown.CallTracker()
        self.store = _open_store(settings.store)
        self.commit_rate_limiter = ratelimits.RateLimiter(
            settings.entry.commit_interval
        )
        self.follower = follower_module.Follower(
            self.store, self.view, settings.entry.catalogue_poll
        )
        shedder = shedding.Shedder(
            self.fleet,
            random.Random(settings.process.name),
            name=settings.process.name,
            list_entries=lambda: self.partitions.entries,
        )
        self.quick = quick.QuickPath(
            self.fleet,
            self.links,
            self.view,
            settings.process.zone,
            random.Random(settings.process.name),
            claims.Claims(self.store),
            shedder,
        )
        self.partitions: partitions_module.Partitions
        self.tasks = forwarding.TaskForwarder(self)

    async def __aenter__(self) -> 'Entry':
        self._exit_stack = contextlib.AsyncExitStack()
        self._exit_stack.push_async_callback(self.store.close)
        self._exit_stack.enter_context(self.links)
        await self._exit_stack.enter_async_context(self.quick)
        return self

    async def __aexit__(self, *exc_info: t.Any) -> bool | None:
        return await self._exit_stack.__aexit__(*exc_info)

    def open_partitions(self, control: str) -> None:
        """Set up partitions and peers under this control address."""
        self.partitions = partitions_module.Partitions(
            self.store, self.settings, control, self._make_holder
        )
        self.peers = peers_module.Peers(
            self.settings,
            self.view,
            self.links,
            lambda: self.partitions.entries,
        )
        self.view.find_peer_evidence = self.peers.find_confirmed_since

    async def run_catalogue_updates(self) -> None:
        """Keep the catalogue view up to date until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(looplag.monitor)
            group.start_soon(self.follower.run)
            group.start_soon(self.peers.run)
            group.start_soon(
                revisions.watch_freshness, self.view, _FRESHNESS_CHECK_SECONDS
            )

    def check_serving(self) -> None:
        """Raise if this entry may not admit work now.

        Raises
        ------
        persimmonsail.problems.Problem
            If the entry has no catalogue, or cannot confirm that its
            catalogue is the latest. A stopping entry still serves
            requests that arrive before its listener closes.
        """
        reason = self.find_unready_reason() and self._find_catalogue_problem()
        if reason:
            raise problems.Problem(
                503,
                'Not ready',
                problems.NOT_RUN,
                reason,
                _RETRY_AFTER_SECONDS,
            )

    def find_unready_reason(self) -> str:
        """Return why this entry is not ready; empty if it is."""
        if self.leaving:
            return 'the entry is stopping'
        if not self.fleet.list_live() and time.monotonic() < self._warm_at:
            # Sidecars discover a new entry within a few reports; if it
            # were ready earlier, it would refuse all quick requests.
            return 'no backend server has announced itself yet'
        return self._find_catalogue_problem()

    def _find_catalogue_problem(self) -> str:
        if not self.view.revision:
            return 'no catalogue is known'
        return self.view.find_staleness()

    def make_task_id(self, workload: str, key: str) -> str:
        """Return the task id derived from an idempotency key."""
        limits = self.view.catalogue.workloads[workload]
        partition = partitions_module.find_partition(
            limits.owner, self.settings.entry.partitions
        )
        text = f'{limits.owner}/{workload}/{key}'
        digest = hashlib.sha256(text.encode()).hexdigest()[:_DIGEST_LENGTH]
        return f'{partition:03d}-{digest}'

    def _make_holder(
        self,
        partition: int,
        lease: consents.StoreLease,
        partitions: partitions_module.Partitions,
    ) -> holder_module.Holder:
        return holder_module.Holder(
            ledger.Ledger(self.store, partition),
            self.fleet,
            self.links,
            self.view,
            self.settings,
            lease,
            partitions.promises.id,
            partitions.list_members,
            self.learned_state,
            self.commit_rate_limiter,
        )

    async def Link(self, stream) -> None:
        """Receive a sidecar's reports and answer each with a notice."""
        with self.calls.track():
            await self.final_stop.run_until_stop(self._serve_link, stream)

    async def _serve_link(self, stream) -> None:
        # A link can go silent permanently; its sidecar then reconnects,
        # so this end is closed after a timeout.
        timeout = _LINK_TIMEOUT_SILENCES * self.settings.links.silence
        sent_revision = -1
        while True:
            with anyio.move_on_after(timeout):
                report = await stream.recv_message()
                if report is None:
                    return
                notice = await self._handle_report(report, sent_revision)
                await stream.send_message(notice)
                sent_revision = notice.revision
                continue
            logs.write_event('link-silent', address='a sidecar')
            return

    async def _handle_report(
        self, report: control_pb2.SidecarReport, sent_revision: int
    ) -> control_pb2.EntryNotice:
        previous = self.fleet.find(report.instance)
        incarnation = previous.incarnation if previous else ''
        was_leaving = previous is not None and _is_leaving(previous)
        if incarnation != report.incarnation:
            # A newly started sidecar admits nothing until it has
            # evidence that is newer than its own start.
            await self.follower.refresh(_REFRESH_TIMEOUT_SECONDS)
        instance = self.fleet.note_report(report)
        if incarnation != report.incarnation:
            logs.write_event(
                'announced',
                instance=report.instance,
                incarnation=report.incarnation,
                service=report.service,
            )
        if _is_leaving(instance) != was_leaving:
            event = 'serving' if was_leaving else 'leaving'
            logs.write_event(event, instance=report.instance)
        entries = [e.control for e in self.partitions.entries.values()]
        notice = control_pb2.EntryNotice(
            revision=self.view.revision,
            entries=entries,
            sequence=report.sequence,
            fresh=self.view.is_fresh,
            evidence_age_seconds=time.monotonic() - self.view.evidence_at,
        )
        if sent_revision != self.view.revision:
            objectives.fill_notice(notice, self.view.catalogue, report.service)
        return notice

    async def Submit(self, stream) -> None:
        """Accept a task of a partition held here."""
        request = await stream.recv_message()
        with self.calls.track():
            await stream.send_message(await self.tasks.submit_local(request))

    async def Query(self, stream) -> None:
        """Return the state of a task of a partition held here."""
        request = await stream.recv_message()
        with self.calls.track():
            reply = await self.stop.wait_unless_stopping(
                lambda seconds: self.tasks.query_local(
                    _copy_with_wait(request, seconds)
                ),
                request.wait_seconds,
            )
            await stream.send_message(reply)

    async def Cancel(self, stream) -> None:
        """Cancel a task of a partition held here."""
        request = await stream.recv_message()
        with self.calls.track():
            await stream.send_message(await self.tasks.cancel_local(request))

    async def Status(self, stream) -> None:
        """Report this entry's status to an operator."""
        await stream.recv_message()
        await stream.send_message(status.describe_entry(self))

    async def Peer(self, stream) -> None:
        """Report the catalogue in force here to another entry."""
        query = await stream.recv_message()
        reply = control_pb2.PeerReply(
            entry=self.settings.process.name,
            revision=self.view.revision,
            store_age_seconds=self.view.age,
            established=self.view.established,
        )
        if query.revision < self.view.revision:
            reply.catalogue = self.view.describe()
        await stream.send_message(reply)


def _is_leaving(instance: fleet_module.Instance) -> bool:
    return instance.leaving or instance.backend_leaving


def _copy_with_wait(
    request: control_pb2.TaskQuery, seconds: float
) -> control_pb2.TaskQuery:
    return control_pb2.TaskQuery(
        task=request.task, partition=request.partition, wait_seconds=seconds
    )


def _open_store(settings: settings_module.Store) -> store_module.Store:
    return store_module.open_adapter(
        settings.kind, settings.address, settings.timeout
    )


async def run(settings: settings_module.Settings) -> None:
    """Run the role until SIGTERM, then stop gracefully."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with Entry(settings) as entry:
            sock = addresses.bind(settings.process.control)
            control = addresses.format_address(sock)
            entry.open_partitions(
                settings.process.control_advertised or control
            )
            server = grpclib.server.Server(
                [
                    entry,
                    holders.Holders(entry.partitions),
                    health_service.Health(),
                ]
            )
            await server.start(sock=sock)
            app = shutdown.CloseConnections(
                gateway.Gateway(entry).app, lambda: entry.leaving
            )
            drain = settings.entry.drain
            async with anyio.create_task_group() as group:
                async with httpserver.HttpServer(
                    app, settings.process.http, drain
                ) as http:
                    logs.write_event(
                        'listening', control=control, http=http.address
                    )
                    group.start_soon(entry.run_catalogue_updates)
                    group.start_soon(entry.partitions.run)
                    await anext(aiter(signals))
                    logs.write_event('stopping')
                    entry.leaving = True
                    await anyio.sleep(settings.entry.notice)
                    entry.stop.begun.set()
                await entry.partitions.leave()
                entry.final_stop.begun.set()
                with anyio.move_on_after(drain):
                    await entry.calls.wait_idle()
                group.cancel_scope.cancel()
            server.close()
            await server.wait_closed()
    logs.write_event('stopped')
