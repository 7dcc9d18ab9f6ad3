"""Load shedding of quick requests by class, before any work is done.

An entry has a gate for each service that limits outstanding requests to
what the service's sidecars can serve with short queues. Requests beyond
it are rejected immediately and finally, with a retry time; they are
never queued at the entry.
"""

import contextlib
import dataclasses
import math
import random
import time
import typing as t

from persimmonsail.catalogues import catalogue
from persimmonsail.decisions import fleet as fleet_module
from persimmonsail.decisions import learning
from persimmonsail.decisions import retryafter
from persimmonsail import logs
from persimmonsail import problems

# Part of the limit that is reserved for urgent requests.
URGENT_RESERVE = 0.3
# The limit shrinks while more requests than this are queued per slot.
TARGET_QUEUE_PER_SLOT = 1.0
SHRINK_FACTOR = 0.7
# Minimum time between two changes of a limit: queue lengths must be
# reported after one change before they can justify the next.
ADAPT_PERIOD_SECONDS = 0.5
# The limit stays between this multiple of an entry's even share of the
# service's slots and this multiple of all its slots. It starts at the
# maximum: bursts are absorbed by the sidecars' bounded queues, and only
# long reported queues show that there is more load than a burst.
MIN_LIMIT_PER_SLOT = 1.0
MAX_LIMIT_PER_SLOT = 4.0

_DEFAULT_SECONDS = 0.1
_MEDIAN_PERCENTILE = 50


@dataclasses.dataclass(frozen=True)
class Capacity:
    """The total capacity that a service's live sidecars report.

    ``entries`` is the number of entries that send requests there.
    """

    slots: int
    queued: int
    entries: int = 1

    @property
    def queued_per_slot(self) -> float:
        """Queued requests per slot."""
        return self.queued / max(self.slots, 1)


@dataclasses.dataclass(frozen=True)
class Demand:
    """A request to be admitted, with the seconds until its deadline."""

    workload: str
    urgent: bool
    remaining_seconds: float
    max_concurrent: int


@dataclasses.dataclass(frozen=True)
class Decision:
    """Whether a request is admitted, and what decided it.

    ``reason`` is empty if it is; ``retry_after`` is in seconds.
    """

    reason: str
    outstanding: int
    limit: float
    wait: float
    retry_after: float = 0.0


def read_capacity(
    instances: t.Iterable[fleet_module.Instance], entries: int
) -> Capacity:
    """Return the capacity that live instances report."""
    live = list(instances)
    return Capacity(
        sum(instance.slots for instance in live),
        sum(instance.queued for instance in live),
        max(entries, 1),
    )


def find_part(total: int, rank: int, parts: int) -> int:
    """Return the part of one rank in an even split of a total."""
    quotient, remainder = divmod(total, max(parts, 1))
    return quotient + (rank < remainder)


POLICIES: dict[str, type['Gate']] = {}


def register(name: str) -> t.Callable[[type], type]:
    """Register a gate class under a name."""

    def add(kind: type) -> type:
        POLICIES[name] = kind
        return kind

    return add


@register('none')
class Gate:
    """Admits everything; the baseline for comparison."""

    def __init__(
        self, learner: learning.Learner, generator: random.Random
    ) -> None:
        self.outstanding = 0
        self.retry_scheduler = retryafter.RetryScheduler(generator)
        self._learner = learner
        self._running: dict[str, int] = {}

    def decide(
        self, demand: Demand, capacity: Capacity, now: float
    ) -> Decision:
        """Decide on a request; ``now`` is monotonic seconds."""
        return Decision('', self.outstanding, math.inf, 0.0)

    def begin(self, workload: str) -> None:
        """Count an admitted request."""
        self.outstanding += 1
        self._running[workload] = self._running.get(workload, 0) + 1

    def end(
        self, workload: str, now: float, seconds: float | None = None
    ) -> None:
        """Count a request's end; ``seconds`` is its duration if served."""
        self.outstanding -= 1
        self._running[workload] -= 1
        if seconds is not None:
            self.retry_scheduler.drain_rate.note(now)
            self._learner.note_run(workload, seconds)


@register('adaptive')
class AdaptiveGate(Gate):
    """Limits outstanding requests by the queues that sidecars report.

    The limit falls by 30 % while queues are longer than the target and
    rises by at least one slot while they are short and it is in use. A
    request that would miss its deadline is rejected as well: it would
    occupy a slot that another request could use in time.
    """

    def __init__(
        self, learner: learning.Learner, generator: random.Random
    ) -> None:
        super().__init__(learner, generator)
        self.limit = 0.0
        self._adapted_at = -math.inf

    def decide(
        self, demand: Demand, capacity: Capacity, now: float
    ) -> Decision:
        """See ``Gate.decide``."""
        self._adapt(capacity, now)
        limit = self.limit if demand.urgent else self._find_regular_limit()
        seconds = self._learner.estimate_seconds(
            demand.workload, _MEDIAN_PERCENTILE, _DEFAULT_SECONDS
        )
        slots = capacity.slots / capacity.entries
        wait = capacity.queued_per_slot * seconds
        reason = ''
        if not capacity.slots:
            return Decision('', self.outstanding, limit, wait)
        if self._running.get(demand.workload, 0) >= demand.max_concurrent:
            reason = 'max-concurrent'
        elif self.outstanding >= limit:
            reason = 'overload'
        elif wait + seconds > demand.remaining_seconds:
            reason = 'deadline'
        retry_after = 0.0
        if reason:
            ahead = self.outstanding - limit + 1
            retry_after = self.retry_scheduler.find_retry_after(
                now, ahead, slots / seconds
            )
        return Decision(reason, self.outstanding, limit, wait, retry_after)

    def _find_regular_limit(self) -> float:
        return max(self.limit * (1 - URGENT_RESERVE), 1.0)

    def _adapt(self, capacity: Capacity, now: float) -> None:
        slots = capacity.slots / capacity.entries
        if not self.limit:
            self.limit = capacity.slots * MAX_LIMIT_PER_SLOT
            self._adapted_at = now
        if now - self._adapted_at >= ADAPT_PERIOD_SECONDS:
            self._adapted_at = now
            if capacity.queued_per_slot > TARGET_QUEUE_PER_SLOT:
                self.limit *= SHRINK_FACTOR
            elif self.outstanding >= self._find_regular_limit():
                self.limit += max(slots / 16, 1.0)
        min_limit = max(slots * MIN_LIMIT_PER_SLOT, 1.0)
        # The load balancer may send one entry more than its even share.
        max_limit = max(capacity.slots * MAX_LIMIT_PER_SLOT, 1.0)
        self.limit = min(max(self.limit, min_limit), max_limit)


class Request(t.Protocol):
    """The attributes of a quick request that the shedder reads."""

    id: str
    workload: str
    limits: catalogue.Workload
    key: str

    @property
    def left(self) -> float:
        """Seconds until the deadline."""


class Shedder:
    """An entry's gates, one for each service.

    Parameters
    ----------
    fleet : persimmonsail.decisions.fleet.Fleet
        The entry's view of instances.
    generator : random.Random
        Adds jitter to the retry times of rejected callers.
    policy : str, optional
        The registered name of the gate class; see ``POLICIES``.
    clock : callable, optional
        Returns monotonic seconds.
    name : str, optional
        This entry's name.
    list_entries : callable, optional
        Returns the names of all live entries, which share concurrency
        limits and slots.
    """

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        generator: random.Random,
        policy: str = 'adaptive',
        clock: t.Callable[[], float] = time.monotonic,
        name: str = '',
        list_entries: t.Callable[[], t.Iterable[str]] = tuple,
    ) -> None:
        self.name = name
        self.list_entries = list_entries
        self.learner = learning.Learner()
        self._fleet = fleet
        self._generator = generator
        self._gate_class = POLICIES[policy]
        self._clock = clock
        self._gates: dict[str, Gate] = {}

    @contextlib.contextmanager
    def admit(self, request: Request) -> t.Iterator[None]:
        """Count a request as outstanding while the context is open.

        Its duration is learned only if it was served: a rejection says
        nothing about the run time.

        Raises
        ------
        persimmonsail.problems.Problem
            If the request is shed.
        """
        decision = self.decide(request)
        if decision.reason:
            raise _make_problem(request, decision)
        gate = self.find_gate(request.limits.service)
        started_at = self._clock()
        gate.begin(request.workload)
        served = False
        try:
            yield
            served = True
        finally:
            now = self._clock()
            seconds = now - started_at if served else None
            gate.end(request.workload, now, seconds)

    def decide(self, request: Request) -> Decision:
        """Decide on a request, and log a rejection with its reasons."""
        service = request.limits.service
        names = sorted({*self.list_entries(), self.name})
        capacity = read_capacity(self._fleet.list_live(service), len(names))
        demand = Demand(
            request.workload,
            request.limits.urgent,
            request.left,
            find_part(
                request.limits.max_concurrent,
                names.index(self.name),
                len(names),
            ),
        )
        gate = self.find_gate(service)
        decision = gate.decide(demand, capacity, self._clock())
        if decision.reason:
            _log_rejection(request, capacity, decision)
        return decision

    def find_gate(self, service: str) -> Gate:
        """Return a service's gate."""
        if service not in self._gates:
            self._gates[service] = self._gate_class(
                self.learner, self._generator
            )
        return self._gates[service]


def _log_rejection(
    request: Request, capacity: Capacity, decision: Decision
) -> None:
    logs.write_event(
        'shed',
        request=request.id,
        workload=request.workload,
        service=request.limits.service,
        urgent=request.limits.urgent,
        reason=decision.reason,
        outstanding=decision.outstanding,
        limit=decision.limit,
        slots=capacity.slots,
        queued=capacity.queued,
        wait=decision.wait,
        left=request.left,
        retry_after=decision.retry_after,
    )


def _make_problem(request: Request, decision: Decision) -> problems.Problem:
    # Work under an idempotency key may have run for an earlier request,
    # at this entry or at another; only the replay path can tell.
    work = problems.UNKNOWN if request.key else problems.NOT_RUN
    status = 429 if decision.reason == 'max-concurrent' else 503
    return problems.Problem(
        status, 'Overloaded', work, decision.reason, decision.retry_after
    )
