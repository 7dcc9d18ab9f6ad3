"""Metrics of one process, and their text exposition.

Durations are recorded in HdrHistogram over a moving window, so that
quantiles cover the last minutes and not the lifetime of the process. The
number of label sets is bounded, and with it the memory: neither callers
nor a large catalogue can make a process exceed its instance's memory.
"""

import dataclasses
import math
import os
import pathlib
import time
import typing as t

from hdrh import histogram

# Media type of the text exposition format.
MEDIA_TYPE = 'text/plain; version=0.0.4'
WINDOW_SECONDS = 60.0
MAX_SERIES = 100
OTHER = 'other'
QUANTILES = (0.5, 0.9, 0.99, 0.999)

_UNIT_SECONDS = 1e-4
_MAX_UNITS = 6_000_000
_SIGNIFICANT_DIGITS = 2
_WORD_BYTES = 4
_STATM = pathlib.Path('/proc/self/statm')

_Labels = tuple[str, ...]
Clock = t.Callable[[], float]


@dataclasses.dataclass(frozen=True)
class Sample:
    """One value of a metric, with its labels by name."""

    name: str
    labels: t.Mapping[str, str]
    value: float


class Metric:
    """Base of all metrics: a name, a help text and label names."""

    kind = ''

    def __init__(self, name: str, text: str, labels: _Labels = ()) -> None:
        self.name = name
        self.text = text
        self.labels = labels

    def collect(self) -> t.Iterator[Sample]:
        """Return all samples of this metric."""
        raise NotImplementedError

    def _name_labels(self, values: _Labels) -> dict[str, str]:
        return dict(zip(self.labels, values, strict=True))

    def _limit_labels(
        self, values: _Labels, existing: t.Collection
    ) -> _Labels:
        """Return the labels, or the overflow set at the series limit."""
        if values in existing or len(existing) < MAX_SERIES:
            return values
        return (OTHER,) * len(self.labels)


class Counter(Metric):
    """Counts events since the process started."""

    kind = 'counter'

    def __init__(self, name: str, text: str, labels: _Labels = ()) -> None:
        super().__init__(name, text, labels)
        self._values: dict[_Labels, int] = {}

    def increment(self, *labels: str, by: int = 1) -> None:
        """Add to the count for these labels."""
        key = self._limit_labels(labels, self._values)
        self._values[key] = self._values.get(key, 0) + by

    def read(self, *labels: str) -> int:
        """Return the count for these labels."""
        return self._values.get(labels, 0)

    def collect(self) -> t.Iterator[Sample]:
        """See ``Metric.collect``."""
        for key, value in self._values.items():
            yield Sample(self.name, self._name_labels(key), value)


class Duration(Metric):
    """A summary of durations; quantiles cover one or two windows."""

    kind = 'summary'

    def __init__(
        self,
        name: str,
        text: str,
        labels: _Labels = (),
        clock: Clock = time.monotonic,
    ) -> None:
        super().__init__(name, text, labels)
        self._series: dict[_Labels, _Series] = {}
        self._clock = clock

    def record(self, seconds: float, *labels: str) -> None:
        """Record one duration for these labels."""
        key = self._limit_labels(labels, self._series)
        series = self._series.get(key)
        if series is None:
            series = self._series[key] = _Series(self._clock())
        series.record(seconds, self._clock())

    def collect(self) -> t.Iterator[Sample]:
        """See ``Metric.collect``."""
        for key, series in self._series.items():
            labels = self._name_labels(key)
            for quantile, seconds in series.read(self._clock()):
                yield Sample(
                    self.name, {**labels, 'quantile': str(quantile)}, seconds
                )
            yield Sample(f'{self.name}_sum', labels, series.sum)
            yield Sample(f'{self.name}_count', labels, series.count)


class Gauge(Metric):
    """A value that is read on collection."""

    kind = 'gauge'

    def __init__(
        self, name: str, text: str, read: t.Callable[[], float]
    ) -> None:
        super().__init__(name, text)
        self._read = read

    def collect(self) -> t.Iterator[Sample]:
        """See ``Metric.collect``."""
        yield Sample(self.name, {}, self._read())


class _Series:
    """Durations of one label set: current and previous window."""

    def __init__(self, now: float) -> None:
        self.sum = 0.0
        self.count = 0
        self._window_start = now
        self._current = _make_histogram()
        self._previous = _make_histogram()

    def record(self, seconds: float, now: float) -> None:
        self._rotate_windows(now)
        self.sum += seconds
        self.count += 1
        units = round(seconds / _UNIT_SECONDS)
        self._current.record_value(min(max(units, 1), _MAX_UNITS))

    def read(self, now: float) -> t.Iterator[tuple[float, float]]:
        self._rotate_windows(now)
        merged = _make_histogram()
        merged.add(self._previous)
        merged.add(self._current)
        if merged.get_total_count():
            for quantile in QUANTILES:
                units = merged.get_value_at_percentile(quantile * 100)
                yield quantile, units * _UNIT_SECONDS

    def _rotate_windows(self, now: float) -> None:
        elapsed = now - self._window_start
        if elapsed < WINDOW_SECONDS:
            return
        if elapsed < 2 * WINDOW_SECONDS:
            self._previous = self._current
        else:
            self._previous = _make_histogram()
        self._current = _make_histogram()
        self._window_start = now


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        1, _MAX_UNITS, _SIGNIFICANT_DIGITS, word_size=_WORD_BYTES
    )


REQUEST_SECONDS = Duration(
    'persimmonsail_request_seconds',
    'From a request to its final answer, refusals too.',
    ('workload', 'outcome'),
)
QUEUE_SECONDS = Duration(
    'persimmonsail_queue_seconds',
    'Waiting for a slot of the backend server.',
    ('workload',),
)
ATTEMPTS = Counter(
    'persimmonsail_attempts_total',
    'Attempts at quick requests, by what became of them.',
    ('verdict',),
)
ADMISSIONS = Counter(
    'persimmonsail_admissions_total',
    'What a sidecar made of attempts at requests and tasks.',
    ('workload', 'verdict'),
)
RETRIES = Counter(
    'persimmonsail_retries_total',
    'Attempts at quick requests after a first one.',
    ('workload',),
)
REFUSALS = Counter(
    'persimmonsail_refusals_total',
    'Problems returned to callers.',
    ('title', 'work'),
)
STORE_CALLS = Counter(
    'persimmonsail_store_calls_total',
    "Calls of the platform's store; a waiting watch is one.",
    ('call', 'outcome'),
)
STORE_SECONDS = Duration(
    'persimmonsail_store_seconds',
    "Answer times of the platform's store.",
    ('call',),
)
LEDGER_COMMITS = Counter(
    'persimmonsail_ledger_commits_total',
    'Group commits to partition ledgers.',
)
LEDGER_RECORDS = Counter(
    'persimmonsail_ledger_records_total',
    'Records in those commits.',
)
LINKS_LOST = Counter(
    'persimmonsail_links_lost_total',
    'Calls between processes that ended without an answer.',
    ('method',),
)
CLAIMS_WITHDRAWN = Counter(
    'persimmonsail_claims_withdrawn_total',
    'Claims of capacity that were given up before the start was sent.',
    ('reason',),
)
JOBS_REJECTED = Counter(
    'persimmonsail_jobs_rejected_total',
    'Jobs that were rejected, as they would have ended too late.',
    ('queue',),
)
CRASHES_COUNTED = Counter(
    'persimmonsail_crashes_counted_total',
    "Crashes of workers' agents counted for a task.",
    ('queue',),
)
PLANNING_FAILURES = Counter(
    'persimmonsail_planning_failures_total',
    'Scheduling rounds in which a job could not be planned for an error.',
    ('queue',),
)
LOOP_LAG_SECONDS = Duration(
    'persimmonsail_loop_lag_seconds',
    'How much later than asked for the event loop ran a timer.',
    (),
)


def _read_resident() -> float:
    pages = int(_STATM.read_text(encoding='ascii').split()[1])
    return float(pages * os.sysconf('SC_PAGE_SIZE'))


_PROCESS_METRICS: tuple[Metric, ...] = (
    REQUEST_SECONDS,
    QUEUE_SECONDS,
    ATTEMPTS,
    ADMISSIONS,
    RETRIES,
    REFUSALS,
    STORE_CALLS,
    STORE_SECONDS,
    LEDGER_COMMITS,
    LEDGER_RECORDS,
    LINKS_LOST,
    CLAIMS_WITHDRAWN,
    JOBS_REJECTED,
    CRASHES_COUNTED,
    PLANNING_FAILURES,
    LOOP_LAG_SECONDS,
    Gauge(
        'process_cpu_seconds_total',
        'Processor time of this process.',
        time.process_time,
    ),
    Gauge(
        'process_resident_memory_bytes',
        'Resident memory of this process.',
        _read_resident,
    ),
)


def list_metrics() -> tuple[Metric, ...]:
    """Return the metrics that every process has."""
    return _PROCESS_METRICS


def render(*extra: Metric) -> str:
    """Return all metrics in the text exposition format 0.0.4.

    Parameters
    ----------
    *extra : Metric
        Additional metrics of the calling role.
    """
    lines = []
    for metric in (*_PROCESS_METRICS, *extra):
        lines.append(f'# HELP {metric.name} {metric.text}')
        lines.append(f'# TYPE {metric.name} {metric.kind}')
        lines.extend(_format_sample(s) for s in metric.collect())
    return '\n'.join(lines) + '\n'


def _format_sample(sample: Sample) -> str:
    labels = ','.join(
        f'{name}="{_escape(value)}"' for name, value in sample.labels.items()
    )
    label_text = f'{{{labels}}}' if labels else ''
    value = '+Inf' if math.isinf(sample.value) else f'{sample.value:.12g}'
    return f'{sample.name}{label_text} {value}'


def _escape(value: str) -> str:
    return value.replace('\\', r'\\').replace('"', r'\"').replace('\n', r'\n')
