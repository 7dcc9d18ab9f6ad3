"""Fake workers with their backend servers, on the virtual clock."""

import collections
import dataclasses
import math
import random
import typing as t

from persimmonsail.decisions import admission
from tools.bench import clock as clock_module
from tools.bench import interfering

CORES = 64.0
MEMORY_GB = 250.0
SLOTS = 8
CONNECTIONS = 64
WORKERS = 11
RACK_SIZE = 3
ZONES = 3
_SERVICE_SIGMA = 0.4


@dataclasses.dataclass(frozen=True)
class Site:
    """A customer's deployment; delays are one-way, in seconds."""

    name: str
    zone_delay: float
    client_delay: float


TALLOWFORD = Site('tallowford', 0.0005, 0.001)
PHAM_GIA = Site('phamgia', 0.0014, 0.003)


@dataclasses.dataclass
class Request:
    """A quick request; ``service`` is in seconds without interference."""

    id: int
    workload: str
    service: float
    sent_at: float
    deadline: float
    done: t.Callable[['Request', str], None]
    started: float = 0.0
    context: t.Any = None


@dataclasses.dataclass
class BatchTask:
    """A batch task; ``work_seconds`` is its run time at full speed.

    ``cores`` are declared, ``used_cores`` is its actual usage.
    """

    id: int
    workload: str
    cores: float
    used_cores: float
    memory_gb: float
    work_seconds: float
    submitted: float
    remaining_seconds: float = 0.0
    speed: float = 1.0
    attempts: int = 0
    context: t.Any = None


@dataclasses.dataclass(frozen=True)
class Usage:
    """A worker's usage report for one measuring window.

    ``latencies`` has, by class, count and summed service seconds;
    ``cores`` the average cores that each task used; ``max_p99_seconds``
    the highest 99th percentile of a class's latencies.
    """

    worker: str
    begin: float
    end: float
    latencies: dict[str, tuple[int, float]]
    cores: dict[int, float]
    max_p99_seconds: float


class Worker:
    """An instance that colocates requests, in slots, and batch tasks.

    Like a sidecar, it refuses work that does not fit.
    """

    def __init__(
        self,
        clock: clock_module.EventQueue,
        truth: interfering.TrueInterference,
        name: str,
        zone: str,
        rack: str,
        queue: int = 32,
    ) -> None:
        self.clock = clock
        self.truth = truth
        self.name = name
        self.zone = zone
        self.rack = rack
        self.queue_limit = queue
        self.alive = True
        self.busy = 0
        self.queue: collections.deque[Request] = collections.deque()
        self.running: dict[int, Request] = {}
        self.tasks: dict[int, BatchTask] = {}
        self.on_batch_end: t.Callable[[Worker, BatchTask], None] = _ignore
        self.work_done = 0.0
        self._advanced_at = 0.0
        self._versions: dict[int, int] = {}
        self._window = self._open_window()
        self._window_begin = 0.0

    @property
    def committed(self) -> admission.Size:
        """The sum of the tasks' declared sizes."""
        return admission.Size(
            sum(task.cores for task in self.tasks.values()),
            sum(task.memory_gb for task in self.tasks.values()),
        )

    def list_shares(self) -> dict[str, float]:
        """Return the share of the cores that each class actually uses."""
        shares: dict[str, float] = {}
        for task in self.tasks.values():
            share = task.used_cores * task.speed / CORES
            shares[task.workload] = shares.get(task.workload, 0.0) + share
        return shares

    def serve(self, request: Request) -> bool:
        """Accept or refuse a request; its ``done`` is called at the end."""
        if not self.alive or len(self.queue) >= self.queue_limit:
            return False
        if self.busy < SLOTS:
            self._start(request)
        else:
            self.queue.append(request)
        return True

    def _start(self, request: Request) -> None:
        self.busy += 1
        self.running[request.id] = request
        request.started = self.clock.now
        factor = self.truth.find_request_slowdown(
            request.workload, self.list_shares(), self.busy / SLOTS
        )
        self.clock.call_later(
            request.service * factor, self._end, request, self.clock.now
        )

    def _end(self, request: Request, started: float) -> None:
        if self.running.pop(request.id, None) is None:
            return
        self.busy -= 1
        seconds = self.clock.now - started
        entry = self._window.setdefault(request.workload, [0, 0.0, []])
        entry[0] += 1
        entry[1] += seconds
        entry[2].append(self.clock.now - request.sent_at)
        request.done(request, 'answered')
        while self.queue and self.busy < SLOTS:
            waiting = self.queue.popleft()
            if waiting.deadline <= self.clock.now:
                waiting.done(waiting, 'refused')
            else:
                self._start(waiting)

    def start_batch(self, task: BatchTask, limit: admission.Size) -> bool:
        """Start a task if its declared size fits the limit."""
        size = admission.Size(task.cores, task.memory_gb)
        if not self.alive or not (self.committed + size).fits(limit):
            return False
        self.advance()
        task.attempts += 1
        task.speed = 1.0
        self.tasks[task.id] = task
        self._reschedule()
        return True

    def throttle_batch(self, task: int, speed: float) -> bool:
        """Limit a task to a fraction of its full speed."""
        if task not in self.tasks:
            return False
        self.advance()
        self.tasks[task].speed = speed
        self._reschedule()
        return True

    def evict_batch(self, task: int) -> BatchTask | None:
        """Stop a task and return it with its progress retained."""
        if task not in self.tasks:
            return None
        self.advance()
        found = self.tasks.pop(task)
        self._versions.pop(task, None)
        self._reschedule()
        return found

    def advance(self) -> None:
        """Advance the tasks' progress to the present time."""
        elapsed = self.clock.now - self._advanced_at
        self._advanced_at = self.clock.now
        if elapsed <= 0:
            return
        for task in self.tasks.values():
            done = min(task.remaining_seconds, elapsed * self._find_rate(task))
            task.remaining_seconds -= done
            self.work_done += done * task.cores

    def _find_rate(self, task: BatchTask) -> float:
        same_class = sum(
            t.workload == task.workload for t in self.tasks.values()
        )
        return task.speed / self.truth.find_batch_slowdown(
            same_class, self.busy / SLOTS
        )

    def refresh(self) -> None:
        """Update progress and end times for the present load.

        Call this about once a second.
        """
        self.advance()
        self._reschedule()

    def _reschedule(self) -> None:
        for task in self.tasks.values():
            version = self._versions.get(task.id, 0) + 1
            self._versions[task.id] = version
            rate = self._find_rate(task)
            if rate > 0:
                self.clock.call_later(
                    task.remaining_seconds / rate,
                    self._finish,
                    task.id,
                    version,
                )

    def _finish(self, task: int, version: int) -> None:
        if self._versions.get(task) != version:
            return
        self.advance()
        found = self.tasks.pop(task)
        self._versions.pop(task)
        self._reschedule()
        self.on_batch_end(self, found)

    def fail(self) -> tuple[list[Request], list[BatchTask]]:
        """Fail the instance and return the work that it loses."""
        self.advance()
        self.alive = False
        requests = [*self.running.values(), *self.queue]
        tasks = list(self.tasks.values())
        self.running.clear()
        self.queue.clear()
        self.tasks.clear()
        self._versions.clear()
        self.busy = 0
        return requests, tasks

    def recover(self) -> None:
        """Return to service without any work."""
        self._advanced_at = self.clock.now
        self.alive = True

    def collect_usage(self) -> Usage:
        """Return the usage of the measuring window and open the next."""
        max_p99 = max(
            (_find_p99(entry[2]) for entry in self._window.values()),
            default=0.0,
        )
        usage = Usage(
            worker=self.name,
            begin=self._window_begin,
            end=self.clock.now,
            latencies={
                name: (entry[0], entry[1])
                for name, entry in self._window.items()
            },
            cores={
                task.id: task.used_cores * task.speed
                for task in self.tasks.values()
            },
            max_p99_seconds=max_p99,
        )
        self._window = self._open_window()
        self._window_begin = self.clock.now
        return usage

    @staticmethod
    def _open_window() -> dict[str, list]:
        return {}


def _find_p99(values: list[float]) -> float:
    return sorted(values)[int(0.99 * len(values))]


def _ignore(worker: Worker, task: BatchTask) -> None:
    del worker, task


def make_workers(
    clock: clock_module.EventQueue,
    truth: interfering.TrueInterference,
    site: Site,
    queue: int = 32,
) -> list[Worker]:
    """Return the 11 workers of a site: three per rack, three zones."""
    workers = []
    for number in range(WORKERS):
        rack = number // RACK_SIZE
        zone = f'{site.name}-{"abc"[rack % ZONES]}'
        workers.append(
            Worker(
                clock,
                truth,
                f'{site.name}-{number}',
                zone,
                f'rack-{rack}',
                queue,
            )
        )
    return workers


def draw_service(generator: random.Random, mean: float) -> float:
    """Draw a log-normal service time with this mean, in seconds."""
    location = math.log(mean) - _SERVICE_SIGMA**2 / 2
    return generator.lognormvariate(location, _SERVICE_SIGMA)
