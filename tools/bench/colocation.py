"""Quick requests and batch tasks together on a site's fake workers.

Three entries route what a balancer gives them; one holder places batch
tasks. Each sees the workers only through reports that take their time.
"""

import collections
import dataclasses
import random
import typing as t

from persimmonsail.decisions import admission
from persimmonsail.decisions import fleet
from tools.bench import clock as clock_module
from tools.bench import interfering
from tools.bench import machines
from tools.bench import results

TASK_CORES = 8.0
TASK_MEMORY_GB = 20.0
TASK_SECONDS = 30.0
REPORT_PERIOD = 1.0
DISPATCH_PERIOD = 0.1
CHECKPOINT_SECONDS = 3.0
LEASE_SECONDS = 12.0
LINK_SILENCE = 0.5
_REQUEST_TIMEOUT = 2.0
_DRAIN_SECONDS = 30.0
_MAX_ATTEMPTS = 4
_SCAN = 40

PLACEABLE = admission.subtract_headroom(
    admission.Size(machines.CORES, machines.MEMORY_GB)
)


@dataclasses.dataclass(frozen=True)
class Load:
    """What arrives; parts of capacity, seconds, and weights by class.

    ``quick`` has mean seconds and the part of requests; ``batch`` the
    part of tasks. ``wave`` multiplies the arrivals of one batch class
    during ``wave_seconds`` out of every ``wave_period``.
    """

    quick_load: float
    batch_load: float
    quick: dict[str, tuple[float, float]]
    batch: dict[str, float]
    wave: tuple[str, float] = ('', 1.0)
    wave_period: float = 60.0
    wave_seconds: float = 15.0


@dataclasses.dataclass(frozen=True)
class Reporting:
    """How late usage reports come, and which part never comes."""

    lag: float = 1.0
    missing: float = 0.0


class Policy:
    """What a policy decides; the base never throttles nor evicts.

    ``reporting`` takes the place of the scenario's, for an oracle.
    """

    reporting: Reporting | None = None

    def __init__(self, world: 'World') -> None:
        self.world = world

    def route(
        self,
        candidates: list[fleet.Instance],
        workload: str,
        zone: str,
    ) -> fleet.Instance:
        """Choose the instance for a quick request."""
        raise NotImplementedError

    def place(
        self, candidates: list[fleet.Instance], task: machines.Batch
    ) -> fleet.Instance | None:
        """Choose the instance for a batch task; none leaves it waiting."""
        raise NotImplementedError

    def note_started(self, worker: str, task: machines.Batch) -> None:
        """Hear that a task has started."""

    def note_stopped(self, worker: str, task: machines.Batch) -> None:
        """Hear that a task has left a worker."""

    def note_usage(self, usage: machines.Usage) -> None:
        """Take in a usage report, late."""

    def act(self) -> None:
        """Throttle or evict; called once a second."""


class World:
    """One run: arrivals, entries, the holder, and all counting."""

    def __init__(
        self,
        site: machines.Site,
        truth: interfering.Truth,
        load: Load,
        reporting: Reporting,
        make_policy: t.Callable[['World'], Policy],
        seed: int,
    ) -> None:
        self.clock = clock_module.EventQueue()
        self.site = site
        self.truth = truth
        self.load = load
        self.reporting = reporting
        self.run = results.Run()
        self.arrivals = random.Random(f'arrivals {seed}')
        self.chances = random.Random(f'chances {seed}')
        self.workers = {
            worker.name: worker
            for worker in machines.make_workers(self.clock, truth, site)
        }
        self.entries = [self._make_view() for _ in range(machines.ZONES)]
        self.holder = self._make_view()
        self.pending: collections.deque[machines.Batch] = collections.deque()
        self.moving: dict[int, machines.Batch] = {}
        self.ended: collections.Counter[int] = collections.Counter()
        self.open_requests = 0
        self.policy = make_policy(self)
        self._arriving = True
        self._next = 0
        for worker in self.workers.values():
            worker.on_batch_end = self._end_batch

    def _make_view(self) -> dict[str, fleet.Instance]:
        return {
            worker.name: fleet.Instance(
                name=worker.name,
                zone=worker.zone,
                rack=worker.rack,
                incarnation='1',
                address=worker.name,
                service='quick',
                leaving=False,
                slots=machines.SLOTS,
                max_connections=machines.CONNECTIONS,
                capacity=admission.Size(machines.CORES, machines.MEMORY_GB),
                committed=admission.Size(),
                busy_slots=0,
                queued=0,
                connections=0,
                reported_at=0.0,
            )
            for worker in self.workers.values()
        }

    def execute(self, seconds: float) -> results.Run:
        """Let arrivals come for a time, drain, and count."""
        self._schedule_request()
        self._schedule_batch()
        for worker in self.workers.values():
            phase = self.chances.random() * REPORT_PERIOD
            self.clock.call_later(phase, self._start_reports, worker)
        self.clock.call_every(DISPATCH_PERIOD, self._dispatch)
        self.clock.call_every(1.0, self.policy.act)
        self.clock.run(seconds)
        for worker in self.workers.values():
            worker.advance()
            self.run.batch_work += worker.work_done
        self._arriving = False
        self.clock.run(seconds + _DRAIN_SECONDS)
        self._count_outcomes()
        return self.run

    def _count_outcomes(self) -> None:
        running = collections.Counter(
            task for w in self.workers.values() for task in w.tasks
        )
        waiting = len(self.pending) + len(self.moving)
        known = len(self.ended) + len(running) + waiting
        self.run.lost += self.run.batch_submitted - known
        self.run.lost += self.open_requests
        self.run.doubled += sum(n - 1 for n in running.values())
        self.run.doubled += sum(n - 1 for n in self.ended.values())
        self.run.batch_finished = len(self.ended)

    # Quick requests.

    def _schedule_request(self) -> None:
        mean = sum(s * part for s, part in self.load.quick.values())
        slots = machines.WORKERS * machines.SLOTS
        rate = self.load.quick_load * slots / mean
        self.clock.call_later(self.arrivals.expovariate(rate), self._arrive)

    def _arrive(self) -> None:
        if not self._arriving:
            return
        self._schedule_request()
        names = list(self.load.quick)
        parts = [part for _, part in self.load.quick.values()]
        workload = self.arrivals.choices(names, parts)[0]
        self._next += 1
        request = machines.Request(
            id=self._next,
            workload=workload,
            service=machines.draw_service(
                self.arrivals, self.load.quick[workload][0]
            ),
            sent=self.clock.now,
            deadline=self.clock.now + _REQUEST_TIMEOUT,
            done=self._end_request,
        )
        self.run.requests += 1
        self.open_requests += 1
        number = self.arrivals.randrange(len(self.entries))
        self.clock.call_later(
            self.site.client_delay, self._route, request, number, ()
        )

    def _route(
        self, request: machines.Request, number: int, tried: tuple[str, ...]
    ) -> None:
        zone = f'{self.site.name}-{"abc"[number]}'
        candidates = self.list_live(self.entries[number], tried)
        if (
            not candidates
            or len(tried) >= _MAX_ATTEMPTS
            or request.deadline <= self.clock.now
        ):
            self._answer(request, False)
            return
        chosen = self.policy.route(candidates, request.workload, zone)
        chosen.outstanding += 1
        delay = 0.0 if chosen.zone == zone else self.site.zone_delay
        request.context = (number, chosen.name, (*tried, chosen.name), delay)
        self.clock.call_later(delay, self._reach, request)

    def _reach(self, request: machines.Request) -> None:
        _, name, _, _ = request.context
        worker = self.workers[name]
        if not worker.alive:
            self.clock.call_later(LINK_SILENCE, self._reroute, request)
        elif not worker.serve(request):
            self._end_request(request, 'refused')

    def _reroute(self, request: machines.Request) -> None:
        number, name, tried, _ = request.context
        self.entries[number][name].outstanding -= 1
        self._route(request, number, tried)

    def _end_request(self, request: machines.Request, outcome: str) -> None:
        delay = request.context[3]
        self.clock.call_later(delay, self._reply, request, outcome)

    def _reply(self, request: machines.Request, outcome: str) -> None:
        number, name, _, _ = request.context
        self.note_load(self.entries[number][name])
        if outcome == 'refused':
            self._reroute(request)
            return
        self.entries[number][name].outstanding -= 1
        self._answer(request, True)

    def _answer(self, request: machines.Request, answered: bool) -> None:
        self.open_requests -= 1
        if not answered:
            self.run.refused += 1
            return
        self.run.answered += 1
        seconds = self.clock.now - request.sent + self.site.client_delay
        self.run.latencies.record(seconds)

    # Reports.

    def list_live(
        self, view: dict[str, fleet.Instance], tried: tuple[str, ...] = ()
    ) -> list[fleet.Instance]:
        """Return the instances that were heard of lately."""
        oldest = self.clock.now - 3 * REPORT_PERIOD
        return [
            instance
            for instance in view.values()
            if instance.reported_at >= oldest and instance.name not in tried
        ]

    def note_load(self, instance: fleet.Instance) -> None:
        """Bring a view up to what its sidecar sees now."""
        worker = self.workers[instance.name]
        if not worker.alive:
            return
        instance.busy_slots = worker.busy
        instance.queued = len(worker.queue)
        instance.committed = worker.committed
        instance.reported_at = self.clock.now

    def _start_reports(self, worker: machines.Worker) -> None:
        self.clock.call_every(REPORT_PERIOD, self._report, worker)

    def _report(self, worker: machines.Worker) -> None:
        if not worker.alive:
            return
        worker.refresh()
        for view in (*self.entries, self.holder):
            self.note_load(view[worker.name])
        usage = worker.take_usage()
        reporting = self.policy.reporting or self.reporting
        if self.chances.random() >= reporting.missing:
            self.clock.call_later(reporting.lag, self.policy.note_usage, usage)

    # Batch tasks.

    def _schedule_batch(self) -> None:
        places = int(PLACEABLE.cores // TASK_CORES) * machines.WORKERS
        rate = self.load.batch_load * places / TASK_SECONDS
        self.clock.call_later(
            self.arrivals.expovariate(rate), self._submit_batch
        )

    def _submit_batch(self) -> None:
        if not self._arriving:
            return
        self._schedule_batch()
        weights = dict(self.load.batch)
        noisy, factor = self.load.wave
        if self.clock.now % self.load.wave_period < self.load.wave_seconds:
            if noisy:
                weights[noisy] *= factor
        total = sum(weights.values())
        # In a wave the noisy class comes on top of the others.
        for _ in range(max(1, round(total / sum(self.load.batch.values())))):
            self._submit_one(weights)

    def _submit_one(self, weights: dict[str, float]) -> None:
        workload = self.arrivals.choices(list(weights), weights.values())[0]
        self._next += 1
        seconds = machines.draw_service(self.arrivals, TASK_SECONDS)
        task = machines.Batch(
            id=self._next,
            workload=workload,
            cores=TASK_CORES,
            used=TASK_CORES * self.arrivals.uniform(0.7, 1.0),
            memory_gb=TASK_MEMORY_GB,
            work=seconds,
            submitted=self.clock.now,
            left=seconds,
        )
        self.run.batch_submitted += 1
        self.pending.append(task)

    def _dispatch(self) -> None:
        for _ in range(min(_SCAN, len(self.pending))):
            task = self.pending.popleft()
            chosen = self.policy.place(self.list_live(self.holder), task)
            if chosen is None:
                self.pending.append(task)
                continue
            chosen.committed = chosen.committed + admission.Size(
                task.cores, task.memory_gb
            )
            self.moving[task.id] = task
            self.clock.call_later(
                self.site.zone_delay, self._start_batch, task, chosen.name
            )

    def _start_batch(self, task: machines.Batch, name: str) -> None:
        worker = self.workers[name]
        self.moving.pop(task.id)
        if any(task.id in other.tasks for other in self.workers.values()):
            self.run.doubled += 1
        task.context = task.left
        if worker.start_batch(task, PLACEABLE):
            self.policy.note_started(name, task)
        else:
            self.pending.append(task)

    def _end_batch(
        self, worker: machines.Worker, task: machines.Batch
    ) -> None:
        self.ended[task.id] += 1
        self.policy.note_stopped(worker.name, task)
        self.note_load(self.holder[worker.name])

    def throttle(self, name: str, task: int, speed: float) -> bool:
        """Carry a throttle out, as the instance's sidecar would."""
        done = self.workers[name].throttle_batch(task, speed)
        if done and speed < 1.0:
            self.run.throttles += 1
        return done

    def evict(self, name: str, task: int) -> bool:
        """Checkpoint a task and put it back among the waiting."""
        found = self.workers[name].evict_batch(task)
        if found is None:
            return False
        self.run.evictions += 1
        self.policy.note_stopped(name, found)
        self.note_load(self.holder[name])
        self._move(found, CHECKPOINT_SECONDS)
        return True

    def _move(self, task: machines.Batch, seconds: float) -> None:
        self.moving[task.id] = task
        self.clock.call_later(seconds, self._requeue, task)

    def _requeue(self, task: machines.Batch) -> None:
        self.moving.pop(task.id)
        self.pending.appendleft(task)

    def fail_rack(self, rack: str, seconds: float) -> None:
        """Lose a rack's instances, which come back empty."""
        for worker in self.workers.values():
            if worker.rack == rack:
                self._fail(worker)
                self.clock.call_later(seconds, worker.recover)

    def _fail(self, worker: machines.Worker) -> None:
        requests, tasks = worker.fail()
        for request in requests:
            self.clock.call_later(LINK_SILENCE, self._reroute, request)
        for task in tasks:
            self.policy.note_stopped(worker.name, task)
            task.left = task.context
            self._move(task, LEASE_SECONDS)
