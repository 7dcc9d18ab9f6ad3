"""The interference that the fakes apply; policies can't observe it.

A request's service time is multiplied by::

    1 + sum over batch classes b of
        strength[v, b] * share_b ** 1.3 * (0.4 + 0.9 * u ** 2)

with ``share_b`` the class's used cores over the instance's and ``u`` the
busy fraction of its slots. The estimator models neither the exponent nor
the load curve: it is linear in shares, with steps by load.
"""

import dataclasses
import typing as t

_SHARE_EXPONENT = 1.3
_LOAD_FLOOR = 0.4
_LOAD_GAIN = 0.9


@dataclasses.dataclass
class TrueInterference:
    """Interference strengths by (latency-critical class, batch class).

    ``crowding`` slows a batch task for each further task of its own
    class on the instance; ``contention`` slows it by busy slots.
    """

    strengths: dict[tuple[str, str], float]
    crowding: float = 0.04
    contention: float = 0.10

    def find_request_slowdown(
        self, victim: str, shares: t.Mapping[str, float], busy: float
    ) -> float:
        """Return the factor on a request's service time."""
        load_factor = _LOAD_FLOOR + _LOAD_GAIN * busy * busy
        excess = 0.0
        for aggressor, share in shares.items():
            strength = self.strengths.get((victim, aggressor), 0.0)
            excess += strength * share**_SHARE_EXPONENT
        return 1.0 + excess * load_factor

    def find_batch_slowdown(self, same_class: int, busy: float) -> float:
        """Return the factor on a batch task's run time."""
        crowding_slowdown = self.crowding * (same_class - 1)
        return 1.0 + crowding_slowdown + self.contention * busy
