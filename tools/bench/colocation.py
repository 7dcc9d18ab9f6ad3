"""Quick requests and batch tasks colocated on a site's fake workers.

Three entries route the requests that a load balancer gives them; one
holder places batch tasks. All observe workers through delayed reports.
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
REPORT_INTERVAL_SECONDS = 1.0
DISPATCH_INTERVAL_SECONDS = 0.1
CHECKPOINT_SECONDS = 3.0
LEASE_SECONDS = 12.0
LINK_TIMEOUT_SECONDS = 0.5
_REQUEST_TIMEOUT_SECONDS = 2.0
_DRAIN_SECONDS = 30.0
_MAX_ATTEMPTS = 4
_MAX_TASKS_PER_DISPATCH = 40

MAX_COMMITTED = admission.subtract_headroom(
    admission.Size(machines.CORES, machines.MEMORY_GB)
)


@dataclasses.dataclass(frozen=True)
class Load:
    """The arriving work; loads are fractions of capacity.

    ``quick`` has, by class, the mean service seconds and the fraction of
    requests; ``batch`` the fraction of tasks. ``burst`` multiplies the
    arrivals of one batch class during the first ``burst_seconds`` of
    every ``burst_period`` (seconds).
    """

    quick_load: float
    batch_load: float
    quick: dict[str, tuple[float, float]]
    batch: dict[str, float]
    burst: tuple[str, float] = ('', 1.0)
    burst_period: float = 60.0
    burst_seconds: float = 15.0


@dataclasses.dataclass(frozen=True)
class Reporting:
    """Delay of usage reports in seconds, and the fraction lost."""

    lag: float = 1.0
    missing: float = 0.0


class Policy:
    """Interface of a policy; this base neither throttles nor evicts.

    ``reporting`` overrides the scenario's, which an oracle needs.
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
        self, candidates: list[fleet.Instance], task: machines.BatchTask
    ) -> fleet.Instance | None:
        """Choose the instance for a batch task; ``None`` defers it."""
        raise NotImplementedError

    def note_started(self, worker: str, task: machines.BatchTask) -> None:
        """Handle the start of a task on a worker."""

    def note_stopped(self, worker: str, task: machines.BatchTask) -> None:
        """Handle a task's end, eviction or loss on a worker."""

    def note_usage(self, usage: machines.Usage) -> None:
        """Process a usage report, which arrives with a delay."""

    def act(self) -> None:
        """Throttle or evict tasks; called once a second."""


class World:
    """One run: arrivals, entries, the holder, and the measurements."""

    def __init__(
        self,
        site: machines.Site,
        truth: interfering.TrueInterference,
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
        self.pending: collections.deque[machines.BatchTask] = (
            collections.deque()
        )
        self.in_transit: dict[int, machines.BatchTask] = {}
        self.ended: collections.Counter[int] = collections.Counter()
        self.open_requests = 0
        self.policy = make_policy(self)
        self._arriving = True
        self._last_id = 0
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
        """Generate arrivals for a time, drain, and return the counts."""
        self._schedule_request()
        self._schedule_batch()
        for worker in self.workers.values():
            phase = self.chances.random() * REPORT_INTERVAL_SECONDS
            self.clock.call_later(phase, self._start_reports, worker)
        self.clock.call_every(DISPATCH_INTERVAL_SECONDS, self._dispatch)
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
        waiting = len(self.pending) + len(self.in_transit)
        accounted = len(self.ended) + len(running) + waiting
        self.run.lost += self.run.batch_submitted - accounted
        self.run.lost += self.open_requests
        self.run.doubled += sum(n - 1 for n in running.values())
        self.run.doubled += sum(n - 1 for n in self.ended.values())
        self.run.batch_finished = len(self.ended)

    # Quick requests.

    def _schedule_request(self) -> None:
        mean = sum(s * fraction for s, fraction in self.load.quick.values())
        slots = machines.WORKERS * machines.SLOTS
        rate = self.load.quick_load * slots / mean
        self.clock.call_later(self.arrivals.expovariate(rate), self._arrive)

    def _arrive(self) -> None:
        if not self._arriving:
            return
        self._schedule_request()
        names = list(self.load.quick)
        fractions = [fraction for _, fraction in self.load.quick.values()]
        workload = self.arrivals.choices(names, fractions)[0]
        self._last_id += 1
        request = machines.Request(
            id=self._last_id,
            workload=workload,
            service=machines.draw_service(
                self.arrivals, self.load.quick[workload][0]
            ),
            sent_at=self.clock.now,
            deadline=self.clock.now + _REQUEST_TIMEOUT_SECONDS,
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
            self._complete_request(request, False)
            return
        chosen = self.policy.route(candidates, request.workload, zone)
        chosen.outstanding += 1
        delay = 0.0 if chosen.zone == zone else self.site.zone_delay
        request.context = (number, chosen.name, (*tried, chosen.name), delay)
        self.clock.call_later(delay, self._deliver, request)

    def _deliver(self, request: machines.Request) -> None:
        _, name, _, _ = request.context
        worker = self.workers[name]
        if not worker.alive:
            self.clock.call_later(LINK_TIMEOUT_SECONDS, self._reroute, request)
        elif not worker.serve(request):
            self._end_request(request, 'refused')

    def _reroute(self, request: machines.Request) -> None:
        number, name, tried, _ = request.context
        self.entries[number][name].outstanding -= 1
        self._route(request, number, tried)

    def _end_request(self, request: machines.Request, outcome: str) -> None:
        delay = request.context[3]
        self.clock.call_later(delay, self._receive_reply, request, outcome)

    def _receive_reply(self, request: machines.Request, outcome: str) -> None:
        number, name, _, _ = request.context
        self.note_load(self.entries[number][name])
        if outcome == 'refused':
            self._reroute(request)
            return
        self.entries[number][name].outstanding -= 1
        self._complete_request(request, True)

    def _complete_request(
        self, request: machines.Request, answered: bool
    ) -> None:
        self.open_requests -= 1
        if not answered:
            self.run.refused += 1
            return
        self.run.answered += 1
        latency = self.clock.now - request.sent_at + self.site.client_delay
        self.run.latencies.record(latency)

    # Usage reports.

    def list_live(
        self, view: dict[str, fleet.Instance], tried: tuple[str, ...] = ()
    ) -> list[fleet.Instance]:
        """Return the instances that reported recently."""
        oldest = self.clock.now - 3 * REPORT_INTERVAL_SECONDS
        return [
            instance
            for instance in view.values()
            if instance.reported_at >= oldest and instance.name not in tried
        ]

    def note_load(self, instance: fleet.Instance) -> None:
        """Update a view of an instance from its worker's present state."""
        worker = self.workers[instance.name]
        if not worker.alive:
            return
        instance.busy_slots = worker.busy
        instance.queued = len(worker.queue)
        instance.committed = worker.committed
        instance.reported_at = self.clock.now

    def _start_reports(self, worker: machines.Worker) -> None:
        self.clock.call_every(REPORT_INTERVAL_SECONDS, self._report, worker)

    def _report(self, worker: machines.Worker) -> None:
        if not worker.alive:
            return
        worker.refresh()
        for view in (*self.entries, self.holder):
            self.note_load(view[worker.name])
        usage = worker.collect_usage()
        reporting = self.policy.reporting or self.reporting
        if self.chances.random() >= reporting.missing:
            self.clock.call_later(reporting.lag, self.policy.note_usage, usage)

    # Batch tasks.

    def _schedule_batch(self) -> None:
        task_slots = int(MAX_COMMITTED.cores // TASK_CORES) * machines.WORKERS
        rate = self.load.batch_load * task_slots / TASK_SECONDS
        self.clock.call_later(
            self.arrivals.expovariate(rate), self._submit_batch
        )

    def _submit_batch(self) -> None:
        if not self._arriving:
            return
        self._schedule_batch()
        weights = dict(self.load.batch)
        burst_class, factor = self.load.burst
        if self.clock.now % self.load.burst_period < self.load.burst_seconds:
            if burst_class:
                weights[burst_class] *= factor
        total = sum(weights.values())
        # The burst adds to the other classes' arrivals.
        for _ in range(max(1, round(total / sum(self.load.batch.values())))):
            self._submit_one(weights)

    def _submit_one(self, weights: dict[str, float]) -> None:
        workload = self.arrivals.choices(list(weights), weights.values())[0]
        self._last_id += 1
        seconds = machines.draw_service(self.arrivals, TASK_SECONDS)
        task = machines.BatchTask(
            id=self._last_id,
            workload=workload,
            cores=TASK_CORES,
            used_cores=TASK_CORES * self.arrivals.uniform(0.7, 1.0),
            memory_gb=TASK_MEMORY_GB,
            work_seconds=seconds,
            submitted=self.clock.now,
            remaining_seconds=seconds,
        )
        self.run.batch_submitted += 1
        self.pending.append(task)

    def _dispatch(self) -> None:
        for _ in range(min(_MAX_TASKS_PER_DISPATCH, len(self.pending))):
            task = self.pending.popleft()
            chosen = self.policy.place(self.list_live(self.holder), task)
            if chosen is None:
                self.pending.append(task)
                continue
            chosen.committed = chosen.committed + admission.Size(
                task.cores, task.memory_gb
            )
            self.in_transit[task.id] = task
            self.clock.call_later(
                self.site.zone_delay, self._start_batch, task, chosen.name
            )

    def _start_batch(self, task: machines.BatchTask, name: str) -> None:
        worker = self.workers[name]
        self.in_transit.pop(task.id)
        if any(task.id in other.tasks for other in self.workers.values()):
            self.run.doubled += 1
        task.context = task.remaining_seconds
        if worker.start_batch(task, MAX_COMMITTED):
            self.policy.note_started(name, task)
        else:
            self.pending.append(task)

    def _end_batch(
        self, worker: machines.Worker, task: machines.BatchTask
    ) -> None:
        self.ended[task.id] += 1
        self.policy.note_stopped(worker.name, task)
        self.note_load(self.holder[worker.name])

    def throttle(self, name: str, task: int, speed: float) -> bool:
        """Throttle a task, as the instance's sidecar does."""
        applied = self.workers[name].throttle_batch(task, speed)
        if applied and speed < 1.0:
            self.run.throttles += 1
        return applied

    def evict(self, name: str, task: int) -> bool:
        """Checkpoint a task and requeue it."""
        found = self.workers[name].evict_batch(task)
        if found is None:
            return False
        self.run.evictions += 1
        self.policy.note_stopped(name, found)
        self.note_load(self.holder[name])
        self._requeue_later(found, CHECKPOINT_SECONDS)
        return True

    def _requeue_later(self, task: machines.BatchTask, seconds: float) -> None:
        self.in_transit[task.id] = task
        self.clock.call_later(seconds, self._requeue, task)

    def _requeue(self, task: machines.BatchTask) -> None:
        self.in_transit.pop(task.id)
        self.pending.appendleft(task)

    def fail_rack(self, rack: str, seconds: float) -> None:
        """Fail a rack's instances; they recover without their work."""
        for worker in self.workers.values():
            if worker.rack == rack:
                self._fail(worker)
                self.clock.call_later(seconds, worker.recover)

    def _fail(self, worker: machines.Worker) -> None:
        requests, tasks = worker.fail()
        for request in requests:
            self.clock.call_later(LINK_TIMEOUT_SECONDS, self._reroute, request)
        for task in tasks:
            self.policy.note_stopped(worker.name, task)
            task.remaining_seconds = task.context
            self._requeue_later(task, LEASE_SECONDS)
