"""Simulates agents that restart under their ids, in virtual time.

The real sidecars and the real leader's side run on simulated agents. Calls
may be left unanswered and executed late, by whichever start is there then.
"""

import asyncio
import contextlib
import dataclasses
import functools
import typing as t
from unittest import mock

import anyio

from persimmonsail.decisions import quarantine
from persimmonsail import exceptions
from persimmonsail.jobs import advice
from persimmonsail.jobs import agent as agent_module
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import boots
from persimmonsail.jobs import clock
from persimmonsail.jobs import fleet as fleet_module
from persimmonsail.jobs import fleetsnapshot
from persimmonsail.jobs import interference
from persimmonsail.jobs import job as job_module
from persimmonsail.jobs import ledger
from persimmonsail.jobs import link
from persimmonsail.jobs import mandate
from persimmonsail.jobs import record
from persimmonsail.jobs import reports
from persimmonsail.jobs import specification
from persimmonsail.jobs import terms
from persimmonsail.jobs import worker
from standins.virtual import loops
from tests import base
from tests.jobs import cases

LEASE_SECONDS = 3.0
_ROUND_SECONDS = 0.05
_HEARTBEAT_SECONDS = 0.4
_UPDATE_SECONDS = 0.01
_CALL_SECONDS = 0.004
_TIMEOUT_SECONDS = 0.6
_MAX_ATTEMPTS = 50
ENTRIES = ('entry-0', 'entry-1', 'entry-2')
_MILLISECONDS = 1000


@dataclasses.dataclass
class _Run:
    start: dict[str, t.Any]
    ends_at: float | None


class SimulatedAgent(worker.Worker):
    """A worker's agent, with the contract of the platform's adapter."""

    def __init__(self, site: 'Site', name: str) -> None:
        self._site = site
        self.id = f'i-{name}'
        self.starts: list[dict[str, t.Any]] = []
        self.down = False
        # Calls are neither executed nor answered; heartbeats are sent.
        self.silent = False
        self.silent_after_poll = False
        self.max_ends_listed = 500
        # Number of next calls that are executed late, and their delay.
        self.late_calls = 0
        self.late_seconds = 1.0
        self.lost_answers = 0
        self.born_ms = 0
        self.restart(1, 100_000)

    @property
    def boot(self) -> str:
        """The name of the present start."""
        return boots.join(self.id, self.born_ms)

    def restart(self, born_ms: int, clock_ms: int) -> None:
        """Start anew; everything that was running has ended."""
        for start in self.starts:
            if not start['ended']:
                start.update(ended=self._site.now, how='crashed')
        self.born_ms = born_ms
        self._born_at = self._site.now
        self._clock_offset_ms = clock_ms - self._site.now * _MILLISECONDS
        self._sequence = 0
        self._epoch = 0
        self._lease_until_ms = 0
        self._runs: dict[str, _Run] = {}
        self._barred: dict[str, int] = {}
        self._ended: list[worker.EndedRow] = []
        self._lapsed_ends: set[int] = set()
        self._last_end = 0

    def leave_for_good(self) -> None:
        """End with all that is running, and never start again."""
        self.restart(self.born_ms + 1, 1)
        self.down = True

    def make_heartbeat(self) -> worker.Heartbeat:
        """Return the next heartbeat of the present start."""
        self._sequence += 1
        return worker.Heartbeat(
            boot=self.boot,
            sequence=self._sequence,
            service=cases.QUEUE.service,
            capacity=specification.Size(8000, 16000),
            clock_ms=self._read_clock(),
        )

    def _read_clock(self) -> int:
        return round(self._site.now * _MILLISECONDS + self._clock_offset_ms)

    def update(self) -> None:
        """End runs whose time or lease is over."""
        lapsed = 0 < self._lease_until_ms < self._read_clock()
        if lapsed:
            # Once the lease has lapsed, tasks whose end is unknown may be
            # started elsewhere; acknowledging such an end does not count.
            self._lapsed_ends.update(row.number for row in self._ended)
        for task, run in list(self._runs.items()):
            if lapsed:
                self._end(task, 'lapsed')
            elif run.ends_at is not None and run.ends_at <= self._site.now:
                self._end(task, 'done')

    def _end(self, task: str, how: str) -> None:
        run = self._runs.pop(task)
        run.start.update(ended=self._site.now, how=how)
        self._barred[task] = run.start['run']
        self._last_end += 1
        row = worker.EndedRow(self._last_end, task, run.start['run'], how)
        self._ended.append(row)

    async def _call(
        self,
        boot: str,
        epoch: int,
        execute: t.Callable[[], t.Any],
        may_be_late: bool = True,
    ) -> t.Any:
        """Execute a call, or leave it unanswered."""
        if self.down:
            raise exceptions.WorkerNotReached('down')
        if self.silent:
            await anyio.sleep(_TIMEOUT_SECONDS)
            raise exceptions.WorkerUnavailable('no answer')
        if boot != self.boot:
            await anyio.sleep(_CALL_SECONDS)
            raise exceptions.WorkerBootChanged(self.boot)
        if self.late_calls and may_be_late:
            self.late_calls -= 1
            self._site.call_later(
                self.late_seconds, lambda: self._execute_late(epoch, execute)
            )
            await anyio.sleep(_TIMEOUT_SECONDS)
            raise exceptions.WorkerUnavailable('no answer')
        await anyio.sleep(_CALL_SECONDS)
        if boot != self.boot:
            raise exceptions.WorkerUnavailable('broken')
        result = self._check_epoch(epoch, execute)
        if self.lost_answers:
            self.lost_answers -= 1
            await anyio.sleep(_TIMEOUT_SECONDS)
            raise exceptions.WorkerUnavailable('no answer')
        await anyio.sleep(_CALL_SECONDS)
        return result

    def _execute_late(self, epoch: int, execute: t.Callable) -> None:
        if not self.down:
            with contextlib.suppress(exceptions.OrderRefused):
                self._check_epoch(epoch, execute)

    def _check_epoch(
        self, epoch: int, execute: t.Callable[[], t.Any]
    ) -> t.Any:
        if epoch < self._epoch:
            raise exceptions.OrderRefused('fence')
        self._epoch = epoch
        return execute()

    async def start(
        self, boot: str, epoch: int, order: worker.StartOrder
    ) -> int:
        """See ``Worker.start``."""
        born_ms = self.born_ms
        return await self._call(
            boot, epoch, lambda: self._start(order, born_ms)
        )

    def _start(self, order: worker.StartOrder, born_ms: int) -> int:
        if order.until_ms < self._read_clock():
            raise exceptions.OrderRefused('late')
        run = self._runs.get(order.task)
        if run is not None and run.start['run'] == order.run:
            return self._read_clock()
        if run is not None or order.run <= self._barred.get(order.task, 0):
            raise exceptions.OrderRefused('old')
        self._lease_until_ms = max(self._lease_until_ms, order.until_ms)
        start = {
            'boot': self.boot,
            'task': order.task,
            'run': order.run,
            'born': self._born_at * _MILLISECONDS,
            'meant_for': self._born_at * _MILLISECONDS,
            'began': self._site.now,
            'ended': 0.0,
            'how': '',
            'acknowledged': False,
        }
        if born_ms != self.born_ms:
            start['meant_for'] = 0
        self.starts.append(start)
        ends_at = None
        if order.payload != 'lasts':
            ends_at = self._site.now + float(order.payload)
        self._runs[order.task] = _Run(start, ends_at)
        return self._read_clock()

    async def stop(self, boot: str, epoch: int, task: str, run: int) -> None:
        """See ``Worker.stop``."""
        await self._call(boot, epoch, lambda: self._stop(task, run))

    def _stop(self, task: str, run: int) -> None:
        present = self._runs.get(task)
        if present is not None and present.start['run'] == run:
            self._end(task, 'stopped')
        self._barred[task] = max(self._barred.get(task, 0), run)

    async def set_speed_limit(
        self, boot: str, epoch: int, task: str, run: int, percent: int
    ) -> None:
        """See ``Worker.set_speed_limit``."""

    async def poll(
        self,
        boot: str,
        epoch: int,
        acknowledged: int,
        until_ms: int | None = None,
        wait_seconds: float = 0.0,
    ) -> worker.Snapshot:
        """See ``Worker.poll``."""
        waited = 0.0
        while waited < wait_seconds and not self._ended and boot == self.boot:
            await anyio.sleep(_UPDATE_SECONDS)
            waited += _UPDATE_SECONDS
        return await self._call(
            boot,
            epoch,
            lambda: self._hold(acknowledged, until_ms),
            may_be_late=bool(acknowledged),
        )

    def _hold(
        self, acknowledged: int, until_ms: int | None
    ) -> worker.Snapshot:
        self._lease_until_ms = max(self._lease_until_ms, until_ms or 0)
        for row in self._ended:
            if row.number <= acknowledged and (
                row.number not in self._lapsed_ends
            ):
                self._find_start(row)['acknowledged'] = True
        self._ended = [r for r in self._ended if r.number > acknowledged]
        self.silent = self.silent or self.silent_after_poll
        running = [
            worker.RunningRow(task, run.start['run'], percent=100.0)
            for task, run in self._runs.items()
        ]
        listed = self._ended[: self.max_ends_listed]
        return worker.Snapshot(
            self._read_clock(),
            tuple(running),
            tuple(listed),
            truncated=len(listed) == self.max_ends_listed,
        )

    def _find_start(self, row: worker.EndedRow) -> dict[str, t.Any]:
        return next(
            start
            for start in self.starts
            if (start['boot'], start['task'], start['run'])
            == (self.boot, row.task, row.run)
        )


class _Stream:
    """One end of a link in memory."""

    def __init__(self, sender: t.Any, receiver: t.Any) -> None:
        self._sender = sender
        self._receiver = receiver

    async def send_message(self, message: t.Any) -> None:
        await self._sender.send(message)

    async def recv_message(self) -> t.Any:
        try:
            return await self._receiver.receive()
        except (anyio.EndOfStream, anyio.ClosedResourceError):
            return None


class _MemoryLink(link.InstanceLink):
    """Links the leader to a sidecar without a network."""

    site: 'Site'

    async def _attach_once(self) -> None:
        instance = self._instance
        sidecar = self.site.sidecars.get(instance.address)
        if sidecar is None or self._is_cut():
            return
        to_sidecar = anyio.create_memory_object_stream(100)
        to_leader = anyio.create_memory_object_stream(100)
        self._sequence = 0
        self._sidecar_clock = 0.0
        self._next_orders = agent_module.fleet_pb2.Orders()
        self._on_attach(instance)
        async with anyio.create_task_group() as group:

            async def run(function: t.Any, stream: _Stream) -> None:
                with contextlib.suppress(TimeoutError):
                    await function(stream)
                group.cancel_scope.cancel()

            own = _Stream(to_sidecar[0], to_leader[1])
            group.start_soon(run, self._send, own)
            group.start_soon(run, self._receive, own)
            group.start_soon(
                run, sidecar.Attach, _Stream(to_leader[0], to_sidecar[1])
            )
            group.start_soon(run, self._wait_cut, own)
        instance.attached = False

    async def _wait_cut(self, stream: _Stream) -> None:
        sidecar = self.site.sidecars.get(self._instance.address)
        while True:
            if self._is_cut():
                return
            if self.site.sidecars[self._instance.address] is not sidecar:
                return
            await anyio.sleep(_UPDATE_SECONDS)

    def _is_cut(self) -> bool:
        address = self._instance.address
        entry = self.site.entry_by_epoch[self._epoch]
        return address in self.site.cut or self.site.is_cut(entry, address)


class _SiteLedger(ledger.Ledger):
    """A leader's writes of the electorate."""

    def __init__(self, site: 'Site', entry: str, term: ledger.Term) -> None:
        super().__init__(None, term)
        self._site = site
        self._entry = entry

    async def _commit(self, writes, absent):
        await self._site.wait_store(self._entry)
        for write in writes:
            stored = ledger.Electorate.model_validate_json(write.value)
            self._site.electorate = frozenset(stored.entries)
        return self._site.now


class SiteTestCase(base.TestCase):
    """Plays on a site of this many instances."""

    INSTANCES = 3

    def setUp(self) -> None:
        super().setUp()
        self.site = Site(self.INSTANCES)
        self.addCleanup(self.site.close)

    def find_address(self) -> str:
        """Return where the only task is running."""
        (start,) = [s for s in self.site.list_starts() if not s['ended']]
        return next(
            address
            for address, agent in self.site.agents.items()
            if agent.boot == start['boot']
        )


class Site:
    """Instances, their sidecars and one leader at a time."""

    def __init__(self, count: int = 3) -> None:
        self._loop_clock = loops.Clock()
        self._loop = loops.Loop(self._loop_clock)
        self._stack = contextlib.ExitStack()
        self._stack.enter_context(
            mock.patch.object(clock, 'read', lambda: self.now)
        )
        link_class = type('_SiteLink', (_MemoryLink,), {'site': self})
        self._stack.enter_context(
            mock.patch.object(
                fleet_module.link_module, 'InstanceLink', link_class
            )
        )
        self.cut: set[str] = set()
        # Entries and instances that reach each other, and nothing else.
        self.isolated: set[str] = set()
        self.entry_by_epoch: dict[int, str] = {}
        self.electorate: frozenset[str] | None = frozenset()
        self._terms = {name: terms.Terms() for name in ENTRIES}
        self.store_silent = False
        self.epoch = 0
        self._jobs: dict[str, specification.Specification] = {}
        self._progress: dict[str, str] = {}
        self.agents = {
            f'10.0.0.{index}:7000': SimulatedAgent(self, str(index))
            for index in range(count)
        }
        self.sidecars: dict[str, agent_module.Agent] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        for address in self.agents:
            self.restart_sidecar(address)
            self._spawn(f'agent-{address}', self._run_agent(address))
        self.change_leader()

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self._loop_clock.now

    def close(self) -> None:
        """End all tasks."""
        for task in self._tasks.values():
            task.cancel()
        while not all(task.done() for task in self._tasks.values()):
            self._loop.run_round()
        self._stack.close()
        self._loop.close()

    def run_for(self, seconds: float) -> None:
        """Advance virtual time."""
        until = self.now + seconds
        while True:
            due = self._loop.next_time()
            if due is None or due > until:
                break
            self._loop_clock.now = max(self.now, due)
            self._loop.run_round()
            for task in self._tasks.values():
                if task.done() and not task.cancelled():
                    task.result()
        self._loop_clock.now = until

    def _spawn(self, name: str, main: t.Coroutine) -> None:
        previous = self._tasks.pop(name, None)
        if previous is not None:
            previous.cancel()
        self._tasks[name] = self._loop.create_task(main)

    def call_later(self, seconds: float, action: t.Callable) -> None:
        """Run an action at a later time."""
        self._loop.call_later(seconds, action)

    def submit(self, id: str, payload: str, count: int, **fields) -> None:
        """Submit a job of one step."""
        step = cases.make_step(count, **fields)
        self._jobs[id] = specification.Specification(payload, (step,))
        self._board.add(self._make_job(id))

    def _make_job(self, id: str) -> job_module.Job:
        text = self._progress.get(id)
        progress = record.decode_progress(text) if text else None
        return job_module.Job(
            id, cases.QUEUE.name, 0, self._jobs[id], progress
        )

    def list_unfinished(self) -> set[str]:
        """Return the jobs that are not complete."""
        return {
            job.id
            for job in self._board.jobs.values()
            if job.phase is not record.JobPhase.COMPLETE
        }

    def list_failed(self) -> set[str]:
        """Return the jobs that were given up."""
        return {
            job.id
            for job in self._board.jobs.values()
            if job.phase is record.JobPhase.FAILED
        }

    def list_starts(self) -> list[dict[str, t.Any]]:
        """Return every start that was executed, the earliest first."""
        starts = [
            start for agent in self.agents.values() for start in agent.starts
        ]
        return sorted(starts, key=lambda start: start['began'])

    def restart_sidecar(self, address: str) -> None:
        """Start a sidecar that knows nothing."""
        sidecar = agent_module.Agent(self.agents[address], LEASE_SECONDS)
        self.sidecars[address] = sidecar
        self._spawn(f'sidecar-{address}', sidecar.run())

    async def _run_agent(self, address: str) -> None:
        agent = self.agents[address]
        beat_at = self.now
        while True:
            await anyio.sleep(_UPDATE_SECONDS)
            if agent.down:
                continue
            agent.update()
            if self.now >= beat_at:
                beat_at = self.now + _HEARTBEAT_SECONDS
                self.sidecars[address].note_heartbeat(agent.make_heartbeat())

    def send_late_heartbeat(self, address: str, seconds: float) -> None:
        """Deliver a heartbeat of the present start later."""
        heartbeat = self.agents[address].make_heartbeat()
        self.call_later(
            seconds, lambda: self.sidecars[address].note_heartbeat(heartbeat)
        )

    def send_departure(self, address: str, seconds: float) -> None:
        """Deliver an announcement of the agent's end later."""
        agent_id = self.agents[address].id
        self.call_later(
            seconds, lambda: self.sidecars[address].note_departure(agent_id)
        )

    def stop_all(self) -> None:
        """Have the leader stop every placed task, to be started anew."""
        for job in self._board.jobs.values():
            for task in job.list_placed():
                self._fleet.stop_task(task)

    def is_cut(self, first: str, second: str) -> bool:
        """Return whether two of entries and instances can't communicate."""
        return (first in self.isolated) != (second in self.isolated)

    async def wait_store(self, entry: str) -> None:
        """Wait until an entry reaches the store."""
        while self.store_silent or entry in self.isolated:  # noqa: ASYNC110
            await anyio.sleep(_ROUND_SECONDS)
        await anyio.sleep(_CALL_SECONDS)

    def change_leader(self) -> None:
        """Replace the leader by one that knows only what is stored.

        One that is isolated lives on.
        """
        before = self.entry_by_epoch.get(self.epoch, '')
        if before not in self.isolated and before:
            self._tasks[f'leader-{self.epoch}'].cancel()
        self.epoch += 1
        reachable = [name for name in ENTRIES if name not in self.isolated]
        # An entry that leads again has restarted.
        entry = next((n for n in reachable if n != before), reachable[0])
        self._terms[entry] = terms.Terms()
        self.entry_by_epoch[self.epoch] = entry
        self._board = board_module.Board()
        for id in self._jobs:
            self._board.add(self._make_job(id))
        self._spawn(
            f'leader-{self.epoch}',
            self._run_leader(self._board, self.epoch, entry),
        )

    async def _ask_term(
        self, asking: str, address: str, epoch: int
    ) -> terms.Answer:
        await anyio.sleep(_CALL_SECONDS)
        if self.is_cut(asking, address):
            await anyio.sleep(_TIMEOUT_SECONDS)
            raise exceptions.LinkLost(address)
        return self._terms[address].answer(epoch)

    def _follow(self, epoch: int, leader: str) -> None:
        """Have the entries that reach the leader ask it for its term."""
        for name, known in self._terms.items():
            if name != leader and not self.is_cut(name, leader):
                if not self.store_silent and name not in self.isolated:
                    known.note_stored(self.epoch)
                self._terms[leader].answer(known.epoch, name)

    async def _run_leader(
        self, board: board_module.Board, epoch: int, entry: str
    ) -> None:
        model = interference.Model()
        reader = reports.Reader(
            board,
            quarantine.Tracker(),
            model,
            lambda queue: _MAX_ATTEMPTS,
            advice.Approvals(),
            lambda: fleet.instances.values(),
        )
        term = _SiteLedger(
            self,
            entry,
            ledger.Term(f'term-{epoch}', epoch, 'lease', self.electorate),
        )
        self._terms[entry].note_stored(epoch)
        term_mandate = mandate.Mandate(
            term,
            entry,
            self._terms[entry],
            functools.partial(self._ask_term, entry),
        )
        fleet = fleet_module.Fleet(
            term_mandate, LEASE_SECONDS, reader, lambda reaction: None
        )
        self._fleet = fleet
        snapshot = fleetsnapshot.FleetSnapshot()
        async with anyio.create_task_group() as group:
            fleet.open(group)
            group.start_soon(term_mandate.run)
            for address in self.agents:
                fleet.get(address)
            for job in board.jobs.values():
                for task in job.list_placed():
                    fleet.adopt_claim(task)
            while True:
                self._follow(epoch, entry)
                if not self.store_silent and entry not in self.isolated:
                    term.confirmed_at = self.now
                fleet.abandon_unreachable()
                claims = cases.plan(
                    board,
                    snapshot,
                    fleet.instances.values(),
                    self.now,
                    self.now,
                    model=model,
                )
                await self._commit(board, fleet, entry)
                for claim in claims:
                    fleet.start(claim, self.now)
                fleet.acknowledge()
                await anyio.sleep(_ROUND_SECONDS)

    async def _commit(
        self,
        board: board_module.Board,
        fleet: fleet_module.Fleet,
        entry: str,
    ) -> None:
        processed = [
            (instance, instance.boot, instance.processed_end)
            for instance in fleet.instances.values()
        ]
        texts = {id: board.jobs[id].progress.encode() for id in board.changed}
        board.changed.clear()
        await self.wait_store(entry)
        self._progress.update(texts)
        for instance, boot, number in processed:
            if instance.boot == boot:
                instance.committed_end = number
