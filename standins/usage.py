"""The worker stand-in's usage reports, which come late or never."""

import collections
import dataclasses
import typing as t

_WINDOW_SECONDS = 0.5
_MAX_WINDOWS = 600


@dataclasses.dataclass
class _Window:
    sequence: int
    begin: float
    end: float
    tasks: list[dict]


class UsageReports:
    """Measures windows of use; ``lag`` is how late each is given out."""

    def __init__(self) -> None:
        self.lag = 0.0
        self.missing = False
        self._begin: float | None = None
        self._used: dict[str, float] = {}
        self._windows: collections.deque[_Window] = collections.deque(
            maxlen=_MAX_WINDOWS
        )
        self._sequence = 0

    def measure(self, runs: t.Iterable, now: float, elapsed: float) -> None:
        """Add a stretch of time to the window, and close it when due."""
        if self._begin is None:
            self._begin = now
            return
        active = [run for run in runs if run.phase == 'active']
        for run in active:
            spent = elapsed * run.cores * run.speed
            self._used[run.task] = self._used.get(run.task, 0.0) + spent
        if now - self._begin < _WINDOW_SECONDS:
            return
        length = now - self._begin
        tasks = [
            {
                'task': run.task,
                'workload': run.workload,
                'cores': self._used.get(run.task, 0.0) / length,
                'speed': run.speed,
                'active': True,
            }
            for run in active
        ]
        self._sequence += 1
        if not self.missing:
            self._windows.append(
                _Window(self._sequence, self._begin, now, tasks)
            )
        self._begin = now
        self._used = {}

    def list_after(self, sequence: int, now: float) -> list[dict]:
        """Return the windows after one that are old enough by now."""
        return [
            dataclasses.asdict(window)
            for window in self._windows
            if window.sequence > sequence and window.end <= now - self.lag
        ]
