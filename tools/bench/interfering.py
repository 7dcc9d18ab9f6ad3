"""The true interference that the fakes obey and no policy is told.

A request's service time is multiplied by::

    1 + sum over batch classes b of
        strength[v, b] * share_b ** 1.3 * (0.4 + 0.9 * u ** 2)

with ``share_b`` the class's used cores over the instance's and ``u`` the
busy part of its slots. Neither the exponent nor the load's curve is in
the estimator, which is linear in shares with steps by load.
"""

import dataclasses
import typing as t

_EXPONENT = 1.3
_LOAD_FLOOR = 0.4
_LOAD_RISE = 0.9


@dataclasses.dataclass
class Truth:
    """Strengths by (latency-critical class, batch class).

    ``crowding`` slows a batch task for each further task of its own
    class on the instance; ``contention`` slows it by busy slots.
    """

    strengths: dict[tuple[str, str], float]
    crowding: float = 0.04
    contention: float = 0.10

    def slow_request(
        self, victim: str, shares: t.Mapping[str, float], busy: float
    ) -> float:
        """Return the factor on a request's service time."""
        by_load = _LOAD_FLOOR + _LOAD_RISE * busy * busy
        excess = 0.0
        for aggressor, share in shares.items():
            strength = self.strengths.get((victim, aggressor), 0.0)
            excess += strength * share**_EXPONENT
        return 1.0 + excess * by_load

    def slow_batch(self, same_class: int, busy: float) -> float:
        """Return the factor on a batch task's run time."""
        crowded = self.crowding * (same_class - 1)
        return 1.0 + crowded + self.contention * busy
