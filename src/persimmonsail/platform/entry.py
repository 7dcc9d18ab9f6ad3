"""The entry role on the users' platform."""

import contextlib
import importlib
import signal
import types
import typing as t

import anyio
import anyio.abc
import anyio.to_thread
from grpclib.health import service as health_service
import grpclib.server

from persimmonsail import addresses
from persimmonsail import exceptions
from persimmonsail import httpserver
from persimmonsail.jobs import capacities
from persimmonsail.jobs import election
from persimmonsail.jobs import evacuations
from persimmonsail.jobs import fleet_grpc
from persimmonsail.jobs import fleet_pb2
from persimmonsail.jobs import intake as intake_module
from persimmonsail.jobs import leaderservice
from persimmonsail.jobs import ledger as ledger_module
from persimmonsail.jobs import mandate as mandate_module
from persimmonsail.jobs import queues
from persimmonsail.jobs import terms as terms_module
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail import looplag
from persimmonsail.platform import advisor as advisor_module
from persimmonsail.platform import configuration
from persimmonsail.platform import front
from persimmonsail.platform import pages
from persimmonsail.platform import serving
from persimmonsail import settings as settings_module
from persimmonsail import shutdown

if t.TYPE_CHECKING:
    from persimmonsail.jobs import leader as leader_module

# The balancer checks readiness once a second and redirects callers after
# two failed checks; until then this entry continues to serve.
_REDIRECT_SECONDS = 2.2
_DRAIN_SECONDS = 2.0
# Requests are answered this long before the drain ends, which cuts them.
_ANSWER_MARGIN_SECONDS = 0.3
_PING_TIMEOUT_SECONDS = 0.6


def _import_leader() -> types.ModuleType:
    """Import the leader's modules; runs in a worker thread.

    Most entries of a large deployment never lead, and the import costs
    each 0.2 s at its start and 20 MB. In an entry that is large enough to
    lead it is done some 0.2 s after the start.
    """
    return importlib.import_module('persimmonsail.jobs.leader')


class EntryRole:
    """An entry: serves callers, and leads while it is elected."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings
        self._store = serving.open_store(settings)
        self._view = queues.View()
        self._evacuations = evacuations.Evacuations(
            configuration.EVACUATION_PREFIX
        )
        self._links = links_module.Links(
            links_module.make_limits(settings.links)
        )
        self._leader: leader_module.Leader | None = None
        self._stopping = False
        self._terms = terms_module.Terms()
        self._candidate = election.Candidate(
            self._store,
            settings.process.name,
            self._is_alive,
            self._lead,
            self._terms,
            self._ask_term,
            settings.jobs.cores,
        )
        self._capacities = capacities.Capacities()
        self._advisor: advisor_module.PlatformAdvisor | None = None
        if settings.jobs.advisor is not None:
            self._advisor = advisor_module.PlatformAdvisor(
                settings.jobs.advisor
            )
        self._intake = intake_module.Intake(
            self._store,
            self._links,
            lambda: self._candidate.leader,
            self._get_leader,
            self._capacities,
            self._advisor is not None,
            settings.jobs.admission == 'forecast',
        )

    async def run(self, signals: t.AsyncIterator[signal.Signals]) -> None:
        """Serve until a signal requests a stop."""
        settings = self._settings
        sock = addresses.bind(settings.process.control)
        control = addresses.format_address(sock)
        server = grpclib.server.Server(
            [
                leaderservice.LeaderService(
                    self._intake, self._get_leader, self._terms
                ),
                health_service.Health(),
            ]
        )
        await server.start(sock=sock)
        self._candidate.address = control
        front_app = front.Front(self._intake, self._view)
        app = shutdown.CloseConnections(front_app, lambda: self._stopping)
        ready = pages.Readiness(self._is_ready)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._store.close)
            if self._advisor is not None:
                stack.push_async_callback(self._advisor.close)
            stack.enter_context(self._links)
            group = await stack.enter_async_context(anyio.create_task_group())
            follower = configuration.Follower(
                self._store, self._view, self._evacuations
            )
            group.start_soon(follower.run)
            group.start_soon(looplag.monitor)
            if not self._candidate.is_small:
                group.start_soon(anyio.to_thread.run_sync, _import_leader)
            group.start_soon(
                capacities.run_read_loop, self._store, self._capacities
            )
            group.start_soon(self._intake.follow_forecasts)
            candidacy = anyio.CancelScope()
            candidacy_ended = anyio.Event()
            group.start_soon(self._run_candidate, candidacy, candidacy_ended)
            await serving.serve_metrics(stack, settings)
            await self._serve_api(stack)
            async with (
                httpserver.HttpServer(
                    ready, settings.jobs.readiness, 0.1, serving.IDLE_SECONDS
                ),
                httpserver.HttpServer(
                    app,
                    settings.process.http,
                    _DRAIN_SECONDS,
                    serving.IDLE_SECONDS,
                ) as http,
            ):
                logs.write_event(
                    'listening', control=control, http=http.address
                )
                await serving.wait_for_stop(signals, settings)
                logs.write_event('stopping')
                self._stopping = True
                remaining_seconds = _REDIRECT_SECONDS + _DRAIN_SECONDS
                front_app.set_deadline(
                    anyio.current_time()
                    + remaining_seconds
                    - _ANSWER_MARGIN_SECONDS
                )
                if self._leader is not None:
                    await self._leader.save_learned_state()
                candidacy.cancel()
                with anyio.move_on_after(_REDIRECT_SECONDS):
                    await candidacy_ended.wait()
                    await anyio.sleep(_REDIRECT_SECONDS)
            group.cancel_scope.cancel()
        server.close()

    async def _serve_api(self, stack: contextlib.AsyncExitStack) -> None:
        """Serve the product's own interface, if its address is configured."""
        address = self._settings.jobs.api
        if address is None:
            return
        # Imported only here: the platform's front does not need it.
        gateway = importlib.import_module('persimmonsail.jobs.gateway')
        app = gateway.JobGateway(self._intake, self._view, self._is_ready).app
        server = await stack.enter_async_context(
            httpserver.HttpServer(
                shutdown.CloseConnections(app, lambda: self._stopping),
                address,
                _DRAIN_SECONDS,
                serving.IDLE_SECONDS,
            )
        )
        logs.write_event('api-listening', http=server.address)

    def _get_leader(self) -> 'leader_module.Leader | None':
        return self._leader

    def _is_ready(self) -> bool:
        # Without the store this entry cannot accept jobs; another may.
        if self._stopping or self._store.is_lost:
            return False
        return self._view.current is not None

    async def _run_candidate(
        self, scope: anyio.CancelScope, candidacy_ended: anyio.Event
    ) -> None:
        with scope:
            await self._candidate.run()
        candidacy_ended.set()

    async def _lead(
        self, ledger: ledger_module.Ledger, mandate: mandate_module.Mandate
    ) -> None:
        jobs = self._settings.jobs
        leader = await anyio.to_thread.run_sync(_import_leader)
        self._leader = leader.Leader(
            self._store,
            ledger,
            mandate,
            self._view,
            jobs.lease,
            jobs.retention,
            self._advisor,
            self._evacuations,
        )
        try:
            await self._leader.run()
        finally:
            self._leader = None

    async def _is_alive(self, address: str) -> bool:
        try:
            await self._call_entry(
                address,
                self._terms.epoch,
                follower=self._candidate.address,
            )
        except exceptions.PeerAbsent:
            return False
        except exceptions.LinkLost as error:
            # Slow, frozen or partitioned: its lease in the store decides.
            logs.write_event('leader-unheard', error=error)
        return True

    async def _ask_term(self, address: str, epoch: int) -> terms_module.Answer:
        reply = await self._call_entry(address, epoch)
        return terms_module.Answer(reply.epoch, reply.informed)

    async def _call_entry(
        self, address: str, epoch: int, follower: str = ''
    ) -> fleet_pb2.TermReply:
        return await self._links.call(
            address,
            fleet_grpc.LeaderStub,
            'ConfirmTerm',
            fleet_pb2.TermQuery(epoch=epoch, follower=follower),
            _PING_TIMEOUT_SECONDS,
        )
