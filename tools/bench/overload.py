"""Quick requests above capacity, with the package's gate at entries."""

import random
import typing as t

from persimmonsail.decisions import learning
from persimmonsail.decisions import shedding
from tools.bench import baselines
from tools.bench import colocation
from tools.bench import interfering
from tools.bench import machines
from tools.bench import results

URGENT = 'wire-cut-check'
# At three times capacity, urgent requests alone take 0.63 of the slots.
QUICK = {URGENT: (0.15, 0.15), 'board-status': (0.10, 0.85)}
BATCH = {'archive': 1.0}
_MILLISECONDS = 1000.0


class World(colocation.World):
    """Fake workers behind three entries that may shed requests.

    Parameters
    ----------
    gate : str
        The kind of gate; see ``shedding.POLICIES``.
    load : float
        Offered requests, as a fraction of what the slots can serve.
    seed : int
        Seeds all random generators.
    """

    def __init__(self, gate: str, load: float, seed: int) -> None:
        super().__init__(
            machines.TALLOWFORD,
            interfering.TrueInterference({}),
            colocation.Load(load, 0.01, QUICK, BATCH),
            colocation.Reporting(),
            baselines.POLICIES['least-outstanding'],
            seed,
        )
        self.gates = [
            shedding.POLICIES[gate](
                learning.Learner(), random.Random(f'gate {seed} {number}')
            )
            for number in range(len(self.entries))
        ]
        self.offered: dict[str, int] = {}
        self.in_time: dict[str, int] = {}
        self.served_slot_seconds = 0.0
        self.refusal_latencies = results.Latencies()
        self._admitted: dict[int, tuple[int, float]] = {}

    def execute(self, seconds: float) -> results.Run:
        """Run, and add goodput and refusal latencies to the figures."""
        run = super().execute(seconds)
        extras = run.extras
        extras['goodput per s'] = sum(self.in_time.values()) / seconds
        extras['goodput in slots'] = self.served_slot_seconds / seconds
        for name in self.offered:
            fraction = self.in_time.get(name, 0) / self.offered[name]
            extras[f'{name} in time'] = fraction
        refusal_p99 = self.refusal_latencies.quantile(99)
        extras['refused after p99 ms'] = refusal_p99 * _MILLISECONDS
        return run

    def _route(
        self, request: machines.Request, number: int, tried: tuple[str, ...]
    ) -> None:
        if not tried and not self._is_admitted(request, number):
            self._complete_request(request, False)
            return
        super()._route(request, number, tried)

    def _is_admitted(self, request: machines.Request, number: int) -> bool:
        name = request.workload
        self.offered[name] = self.offered.get(name, 0) + 1
        gate = self.gates[number]
        now = self.clock.now
        live = self.list_live(self.entries[number])
        capacity = shedding.read_capacity(live, len(self.entries))
        decision = gate.decide(
            shedding.Demand(
                name, name == URGENT, request.deadline - now, 1 << 30
            ),
            capacity,
            now,
        )
        if decision.reason:
            return False
        gate.begin(name)
        self._admitted[request.id] = (number, now)
        return True

    def _complete_request(
        self, request: machines.Request, answered: bool
    ) -> None:
        super()._complete_request(request, answered)
        now = self.clock.now
        if not answered:
            self.refusal_latencies.record(now - request.sent_at)
        elif now + self.site.client_delay <= request.deadline:
            self._note_in_time(request)
        admitted = self._admitted.pop(request.id, None)
        if admitted is not None:
            number, began = admitted
            seconds = now - began if answered else None
            self.gates[number].end(request.workload, now, seconds)

    def _note_in_time(self, request: machines.Request) -> None:
        name = request.workload
        self.in_time[name] = self.in_time.get(name, 0) + 1
        self.served_slot_seconds += request.service


POLICIES: dict[str, tuple[str, float]] = {
    f'{name} x{load:g}': (gate, load)
    for name, gate in (('shedding', 'adaptive'), ('none', 'none'))
    for load in (0.7, 1.0, 1.5, 3.0)
}


def run_policy(policy: str, seed: int, seconds: float) -> results.Run:
    """Run one policy: a kind of gate at one load."""
    gate, load = POLICIES[policy]
    return World(gate, load, seed).execute(seconds)


def list_goodput(runs: t.Sequence[results.Summary]) -> list[float]:
    """Return the goodput of each seed, in busy slots.

    Requests per second would mislead: under overload more of the served
    requests are urgent, and those take longer.
    """
    return [run.extras['goodput in slots'] for run in runs]
