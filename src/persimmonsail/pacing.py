"""How often sidecars report, as their number at an entry grows.

A report each half second from every sidecar of a zone is cheap for a
few instances and eats an entry's whole budget for a hundred. The entry
therefore names the interval: it spends a fixed number of messages a
second on reports, and both ends wait longer before a link is silent.
"""

import contextlib
import typing as t

REPORTS_PER_SECOND = 40.0
# A sidecar refuses work without an entry's fresh word on the catalogue
# within two seconds; reports further apart would stop it.
MAX_INTERVAL = 1.5
SHORTEST_INTERVAL = 0.5
_SILENT_REPORTS = 3.0


def choose_interval(links: int, shortest: float) -> float:
    """Return the seconds between two reports of one sidecar.

    Parameters
    ----------
    links : int
        The sidecars that report to this entry.
    shortest : float
        Seconds; never report more often than that.
    """
    paced = links / REPORTS_PER_SECOND
    return min(max(paced, shortest), max(MAX_INTERVAL, shortest))


def choose_silence(interval: float, shortest: float) -> float:
    """Return after how many silent seconds a link is given up."""
    return max(shortest, _SILENT_REPORTS * interval)


class Pace:
    """Counts an entry's links to sidecars, and paces their reports.

    Parameters
    ----------
    silence : float
        Seconds after which a link is silent while links are few.
    """

    def __init__(self, silence: float) -> None:
        self._silence = silence
        self._links = 0

    @contextlib.contextmanager
    def track(self) -> t.Iterator[None]:
        """Count a link while the context is open."""
        self._links += 1
        try:
            yield
        finally:
            self._links -= 1

    def choose_interval(self) -> float:
        """Return the seconds between two reports."""
        return choose_interval(self._links, SHORTEST_INTERVAL)

    def choose_silence(self) -> float:
        """Return the seconds after which an instance counts as silent."""
        return choose_silence(self.choose_interval(), self._silence)
