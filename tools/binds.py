"""Prints what held jobs up on a day, from its logs: `make binds`.

For each queue: how long its jobs took, and where that time went. A run's
time counts as held back for the part of its speed that it was paced down
by, and as lost if the run did not end as done.
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

# A line of a played day: the day's time, the machine, and what it wrote.
_PLAYED = re.compile(r'\s*(-?[\d.]+) (\S+) (time=.*)')
_MILLISECONDS = 1000
_FULL_PACE = 100.0


@dataclasses.dataclass
class Run:
    """One run of a task, by the leader's lines.

    Attributes
    ----------
    placed_at, ended_at : float
        Seconds of the day; 0 for not ended.
    how : str
        How it ended.
    pace : float
        Its share of its speed now, in percent.
    paced_at : float
        Since when.
    held_seconds : float
        The seconds of work that it lost to its paces.
    """

    placed_at: float
    pace: float = _FULL_PACE
    ended_at: float = 0.0
    how: str = ''
    paced_at: float = 0.0
    held_seconds: float = 0.0

    def note_pace(self, pace: float, at: float) -> None:
        """Count the time at the pace until now, and go on at another."""
        part = 1 - self.pace / _FULL_PACE
        self.held_seconds += part * (at - max(self.paced_at, self.placed_at))
        self.pace = pace
        self.paced_at = at


@dataclasses.dataclass
class Job:
    """One job, by the leader's lines."""

    queue: str
    accepted_at: float
    phase: str = ''
    ended_at: float = 0.0
    runs: dict[tuple[str, str], Run] = dataclasses.field(default_factory=dict)


class Day:
    """What the leaders' lines of one day tell of its jobs."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.events: collections.Counter[str] = collections.Counter()
        self.evictions: collections.Counter[str] = collections.Counter()

    def read(self, lines: t.Iterable[str]) -> None:
        """Take lines in, of one day and in its order."""
        for line in lines:
            found = _PLAYED.match(line)
            if found is None:
                continue
            try:
                fields = logs.parse_line(found[3])
            except logs.LogSyntaxError:
                # Cut by whoever kept the log.
                continue
            self._note(float(found[1]), fields)

    def _note(self, at: float, fields: dict[str, str]) -> None:
        event = fields.get('event', '')
        self.events[event] += 1
        handle = _HANDLERS.get(event)
        if handle is not None:
            handle(self, at, fields)

    def find_run(self, fields: dict[str, str]) -> Run | None:
        """Return the run that a line is about, if its start was seen."""
        job = self.jobs.get(fields['task'].partition('.')[0])
        return job.runs.get((fields['task'], fields['run'])) if job else None


Handler = t.Callable[[Day, float, dict[str, str]], None]

_HANDLERS: dict[str, Handler] = {}


def register(event: str) -> t.Callable[[Handler], Handler]:
    """Add what an event tells."""

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
def _note_pace(day: Day, at: float, fields: dict[str, str]) -> None:
    run = day.find_run(fields)
    if run is not None:
        run.note_pace(float(fields['percent']), at)


@register('evicted')
def _note_eviction(day: Day, at: float, fields: dict[str, str]) -> None:
    day.evictions[fields['reason']] += 1


@register('run-ended')
def _note_end(day: Day, at: float, fields: dict[str, str]) -> None:
    run = day.find_run(fields)
    if run is not None:
        run.ended_at = at
        run.how = fields['how']
        run.note_pace(run.pace, at)


@register('run-lost')
def _note_lost(day: Day, at: float, fields: dict[str, str]) -> None:
    run = day.find_run(fields)
    if run is not None:
        run.ended_at = at
        run.how = 'lost'


@dataclasses.dataclass(frozen=True)
class Account:
    """Where the time of one queue's jobs went, in seconds.

    Attributes
    ----------
    jobs : int
        How many were accepted.
    first : float
        From acceptance to the first placing; 95 of 100 took less.
    span : float
        From acceptance to the end, in the mean of those that completed.
    worked, held, lost : float
        Seconds of all runs that ended as done, what these lost to their
        paces, and those of runs that ended otherwise.
    hows : dict of str to int
        How runs ended.
    """

    jobs: int
    first: float
    span: float
    worked: float
    held: float
    lost: float
    hows: dict[str, int]


def account(day: Day, queue: str) -> Account:
    """Return where the time of a queue's jobs went."""
    jobs = [job for job in day.jobs.values() if job.queue == queue]
    firsts = sorted(
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
        first=firsts[int(0.95 * len(firsts))] if firsts else 0.0,
        span=statistics.mean(spans) if spans else 0.0,
        worked=sum(run.ended_at - run.placed_at for run in done),
        held=sum(run.held_seconds for run in done),
        lost=sum(run.ended_at - run.placed_at for run in others),
        hows=dict(collections.Counter(run.how for run in ended)),
    )


def _print_report(path: pathlib.Path) -> None:
    """Print where worth is missing, from the file that a play leaves."""
    found = json.loads(path.read_text(encoding='utf-8'))
    for name, weight, value in found['parts']:
        print(f'{name}: {value:.3f}, missing {weight * (1 - value):.3f}')
    rows = [*found['classes'], *found['windows']]
    for row in sorted(rows, key=lambda row: row['worth'])[:8]:
        owed = row['n'] - row['not_owed']
        print(
            f'worth={row["worth"]:.3f} {row["name"]}: in time {row["in_aim"]}'
            f' of {owed}, late {row["late"]}, failed {row["failed"]}'
        )


def main() -> int:
    """Print a line for each queue, and what happened how often."""
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
        found = account(day, queue)
        print(
            f'{queue}: jobs={found.jobs} first_p95={found.first:.2f}s'
            f' span={found.span:.1f}s worked={found.worked:.0f}s'
            f' held={found.held:.0f}s lost={found.lost:.0f}s'
            f' ends={found.hows}'
        )
    print(f'evicted: {dict(day.evictions)}')
    for event in ('leading', 'deposed', 'loop-late', 'instance-lost'):
        print(f'{event}: {day.events[event]}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
