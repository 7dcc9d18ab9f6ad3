"""Prints what delayed the jobs of a day, from its logs: `make binds`.

For each queue: how long its jobs took, and how that time was spent. A run's
time counts as held for the share by which the run was throttled, and as
lost if the run did not end as done.
"""

import argparse
import collections
import dataclasses
import json
import pathlib
import re
import statistics
import sys
import typing as t

from persimmonsail import logs

# A line of a played day: the day's time, the machine, and its log line.
_LOG_LINE = re.compile(r'\s*(-?[\d.]+) (\S+) (time=.*)')
_MILLISECONDS = 1000
_FULL_SPEED_PERCENT = 100.0


@dataclasses.dataclass
class Run:
    """One run of a task, from the leader's log lines.

    Attributes
    ----------
    placed_at, ended_at : float
        Seconds of the day; 0 for not ended.
    how : str
        How it ended.
    speed_limit : float
        Its speed limit, in percent of full speed.
    limited_at : float
        Since when.
    throttled_seconds : float
        The seconds of work that it lost to its speed limits.
    """

    placed_at: float
    speed_limit: float = _FULL_SPEED_PERCENT
    ended_at: float = 0.0
    how: str = ''
    limited_at: float = 0.0
    throttled_seconds: float = 0.0

    def set_speed_limit(self, speed_limit: float, at: float) -> None:
        """Account for the time at the old speed limit, and set a new one."""
        lost_share = 1 - self.speed_limit / _FULL_SPEED_PERCENT
        self.throttled_seconds += lost_share * (
            at - max(self.limited_at, self.placed_at)
        )
        self.speed_limit = speed_limit
        self.limited_at = at


@dataclasses.dataclass
class Job:
    """One job, from the leader's log lines."""

    queue: str
    accepted_at: float
    phase: str = ''
    ended_at: float = 0.0
    runs: dict[tuple[str, str], Run] = dataclasses.field(default_factory=dict)


class Day:
    """The jobs of one day, from the leaders' log lines."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.events: collections.Counter[str] = collections.Counter()
        self.evictions: collections.Counter[str] = collections.Counter()

    def read(self, lines: t.Iterable[str]) -> None:
        """Read log lines of one day, in order."""
        for line in lines:
            match = _LOG_LINE.match(line)
            if match is None:
                continue
            try:
                fields = logs.parse_line(match[3])
            except logs.LogSyntaxError:
                # Truncated when the log was collected.
                continue
            self._note(float(match[1]), fields)

    def _note(self, at: float, fields: dict[str, str]) -> None:
        event = fields.get('event', '')
        self.events[event] += 1
        handle = _HANDLERS.get(event)
        if handle is not None:
            handle(self, at, fields)

    def find_run(self, fields: dict[str, str]) -> Run | None:
        """Return the run that a line is about, if its start was read."""
        job = self.jobs.get(fields['task'].partition('.')[0])
        return job.runs.get((fields['task'], fields['run'])) if job else None


Handler = t.Callable[[Day, float, dict[str, str]], None]

_HANDLERS: dict[str, Handler] = {}


def register(event: str) -> t.Callable[[Handler], Handler]:
    """Register the handler of an event."""

    def decorate(handle: Handler) -> Handler:
        _HANDLERS[event] = handle
        return handle

    return decorate


@register('job-seen')
def _note_job(day: Day, at: float, fields: dict[str, str]) -> None:
    accepted_at = at - float(fields['age_ms']) / _MILLISECONDS
    day.jobs.setdefault(fields['job'], Job(fields['queue'], accepted_at))


@register('job-phase')
def _note_phase(day: Day, at: float, fields: dict[str, str]) -> None:
    job = day.jobs.get(fields['job'])
    if job is not None:
        job.phase = fields['phase']
        job.ended_at = at


@register('placed')
def _note_placed(day: Day, at: float, fields: dict[str, str]) -> None:
    job = day.jobs.get(fields['task'].partition('.')[0])
    if job is not None:
        run = Run(at, float(fields['percent']))
        job.runs[fields['task'], fields['run']] = run


@register('paced')
def _note_speed_limit(day: Day, at: float, fields: dict[str, str]) -> None:
    run = day.find_run(fields)
    if run is not None:
        run.set_speed_limit(float(fields['percent']), at)


@register('evicted')
def _note_eviction(day: Day, at: float, fields: dict[str, str]) -> None:
    day.evictions[fields['reason']] += 1


@register('run-ended')
def _note_end(day: Day, at: float, fields: dict[str, str]) -> None:
    run = day.find_run(fields)
    if run is not None:
        run.ended_at = at
        run.how = fields['how']
        run.set_speed_limit(run.speed_limit, at)


@register('run-lost')
def _note_lost(day: Day, at: float, fields: dict[str, str]) -> None:
    run = day.find_run(fields)
    if run is not None:
        run.ended_at = at
        run.how = 'lost'


@dataclasses.dataclass(frozen=True)
class Account:
    """How the time of one queue's jobs was spent, in seconds.

    Attributes
    ----------
    jobs : int
        How many were accepted.
    first_seconds : float
        From acceptance to the first placement; 95 of 100 took less.
    span : float
        From acceptance to the end; the mean of completed jobs.
    worked, held, lost : float
        Seconds of all runs that ended as done, those that these lost to
        throttling, and those of runs that ended otherwise.
    end_counts : dict of str to int
        How runs ended.
    """

    jobs: int
    first_seconds: float
    span: float
    worked: float
    held: float
    lost: float
    end_counts: dict[str, int]


def account(day: Day, queue: str) -> Account:
    """Return how the time of a queue's jobs was spent."""
    jobs = [job for job in day.jobs.values() if job.queue == queue]
    delays = sorted(
        min(run.placed_at for run in job.runs.values()) - job.accepted_at
        for job in jobs
        if job.runs
    )
    spans = [
        job.ended_at - job.accepted_at
        for job in jobs
        if job.phase == 'complete'
    ]
    ended = [r for job in jobs for r in job.runs.values() if r.ended_at]
    done = [run for run in ended if run.how == 'done']
    others = [run for run in ended if run.how != 'done']
    return Account(
        jobs=len(jobs),
        first_seconds=delays[int(0.95 * len(delays))] if delays else 0.0,
        span=statistics.mean(spans) if spans else 0.0,
        worked=sum(run.ended_at - run.placed_at for run in done),
        held=sum(run.throttled_seconds for run in done),
        lost=sum(run.ended_at - run.placed_at for run in others),
        end_counts=dict(collections.Counter(run.how for run in ended)),
    )


def _print_report(path: pathlib.Path) -> None:
    """Print where worth is missing, from the report file of a played day."""
    report = json.loads(path.read_text(encoding='utf-8'))
    for name, weight, value in report['parts']:
        print(f'{name}: {value:.3f}, missing {weight * (1 - value):.3f}')
    rows = [*report['classes'], *report['windows']]
    for row in sorted(rows, key=lambda row: row['worth'])[:8]:
        counted = row['n'] - row['not_owed']
        print(
            f'worth={row["worth"]:.3f} {row["name"]}: in time {row["in_aim"]}'
            f' of {counted}, late {row["late"]}, failed {row["failed"]}'
        )


def main() -> int:
    """Print a line for each queue, and the counts of some events."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('log', type=pathlib.Path)
    parser.add_argument('--report', type=pathlib.Path)
    arguments = parser.parse_args()
    day = Day()
    with arguments.log.open(encoding='utf-8', errors='replace') as lines:
        day.read(lines)
    if arguments.report is not None:
        _print_report(arguments.report)
    for queue in sorted({job.queue for job in day.jobs.values()}):
        total = account(day, queue)
        print(
            f'{queue}: jobs={total.jobs} first_p95={total.first_seconds:.2f}s'
            f' span={total.span:.1f}s worked={total.worked:.0f}s'
            f' held={total.held:.0f}s lost={total.lost:.0f}s'
            f' ends={total.end_counts}'
        )
    print(f'evicted: {dict(day.evictions)}')
    for event in ('leading', 'deposed', 'loop-late', 'instance-lost'):
        print(f'{event}: {day.events[event]}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
