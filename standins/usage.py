"""Usage reports of the worker stand-in, which may be late or missing."""

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
    """Measures usage by window; each is reported ``lag`` seconds late."""

    def __init__(self) -> None:
        self.lag = 0.0
        self.missing = False
        self._window_begin: float | None = None
        self._core_seconds: dict[str, float] = {}
        self._windows: collections.deque[_Window] = collections.deque(
            maxlen=_MAX_WINDOWS
        )
        self._sequence = 0

    def measure(self, runs: t.Iterable, now: float, elapsed: float) -> None:
        """Add elapsed time to the current window; close it when due."""
        if self._window_begin is None:
            self._window_begin = now
            return
        active = [run for run in runs if run.phase == 'active']
        for run in active:
            added = elapsed * run.cores * run.speed
            self._core_seconds[run.task] = (
                self._core_seconds.get(run.task, 0.0) + added
            )
        if now - self._window_begin < _WINDOW_SECONDS:
            return
        duration = now - self._window_begin
        tasks = [
            {
                'task': run.task,
                'workload': run.workload,
                'cores': self._core_seconds.get(run.task, 0.0) / duration,
                'speed': run.speed,
                'active': True,
            }
            for run in active
        ]
        self._sequence += 1
        if not self.missing:
            self._windows.append(
                _Window(self._sequence, self._window_begin, now, tasks)
            )
        self._window_begin = now
        self._core_seconds = {}

    def list_after(self, sequence: int, now: float) -> list[dict]:
        """Return the windows after ``sequence`` that are reported by now."""
        return [
            dataclasses.asdict(window)
            for window in self._windows
            if window.sequence > sequence and window.end <= now - self.lag
        ]
