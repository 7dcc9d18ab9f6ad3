"""The checks of jobs: J1 to J4."""

import collections
import typing as t

from persimmonsail.auditing import evidence as evidence_module
from persimmonsail.auditing import verdicts

_END_EVENTS = ('run-ended', 'run-lost', 'run-barred')
_Run = tuple[str, int]


@verdicts.register('J1', 'a task of a job never runs in two places')
def check_single_runs(case: verdicts.Case, report: verdicts.Report) -> None:
    """Find runs that began before the previous run had ended."""
    clock = case.tolerances.clock
    acknowledged = _find_acknowledged(case.logs)
    ends = _find_first_ends(case.logs)
    for task, starts in case.logs.group('started', 'task').items():
        report.cases += 1
        runs = _find_first_starts(starts)
        numbers = sorted(runs)
        for before, after in zip(numbers, numbers[1:], strict=False):
            first, second = runs[before], runs[after]
            end = ends.get((task, before))
            if end is None:
                report.add_violation(
                    task,
                    f'run {after} began, and no end of run {before} is logged',
                    first,
                    second,
                )
            elif end.time > second.time + clock:
                report.add_violation(
                    task,
                    f'run {after} began before the end of run {before}',
                    second,
                    end,
                )
            elif _is_done(end) and _is_acknowledged(end, acknowledged):
                report.add_violation(
                    task,
                    f'run {after} began after the task was done',
                    end,
                    second,
                )


@verdicts.register('J2', 'a job is complete only when all of it is done')
def check_complete_jobs(case: verdicts.Case, report: verdicts.Report) -> None:
    """Find complete jobs with a task that never ended as done."""
    done = {
        event.get('task')
        for event in case.logs.select('run-ended')
        if _is_done(event)
    }
    # One logged end covers all members of a gang.
    done_steps = {_find_step(task) for task in done}
    placed = collections.defaultdict(dict)
    for event in case.logs.select('placed'):
        task = event.get('task')
        placed[task.partition('.')[0]][task] = event
    for event in case.logs.select('job-phase'):
        if event.get('phase') != 'complete':
            continue
        report.cases += 1
        for task, placement in placed[event.get('job')].items():
            gang = placement.get('gang') == 'yes'
            if task in done or (gang and _find_step(task) in done_steps):
                continue
            report.add_violation(
                task, 'its job is complete, but the task is not', event
            )


@verdicts.register('J3', 'nothing of a cancelled job begins any more')
def check_cancelled_jobs(case: verdicts.Case, report: verdicts.Report) -> None:
    """Find tasks that began too long after their job was cancelled."""
    allowed = case.tolerances.cancel + case.tolerances.clock
    cancels = _find_cancels(case.logs)
    report.cases += len(cancels)
    for start in case.logs.select('started'):
        task = start.get('task')
        cancel = cancels.get(task.partition('.')[0])
        if cancel is not None and start.time > cancel.time + allowed:
            late = start.time - cancel.time
            report.add_violation(
                task,
                f'run {start.get("run")} began {late:.2f} s after the cancel',
                cancel,
                start,
            )


@verdicts.register('J4', 'a job that was only rejected never begins')
def check_rejected_jobs(case: verdicts.Case, report: verdicts.Report) -> None:
    """Find starts of jobs whose submissions were all rejected."""
    submissions = collections.defaultdict(list)
    for event in case.logs.select('job-call'):
        if event.get('call') == 'submit':
            submissions[event.get('job')].append(event)
    rejected = {
        job: events[0]
        for job, events in submissions.items()
        if all(event.get('outcome') == 'rejected' for event in events)
    }
    report.cases += len(rejected)
    for start in case.logs.select('started'):
        task = start.get('task')
        rejection = rejected.get(task.partition('.')[0])
        if rejection is not None:
            report.add_violation(
                task,
                f'run {start.get("run")} began, and its job was rejected',
                rejection,
                start,
            )


def _find_cancels(
    evidence: evidence_module.Evidence,
) -> dict[str, evidence_module.Event]:
    """Return the first accepted cancel of each job."""
    found: dict[str, evidence_module.Event] = {}
    for event in evidence.select('job-call'):
        if event.get('call') != 'cancel' or event.get('outcome') != 'accepted':
            continue
        first = found.setdefault(event.get('job'), event)
        if event.time < first.time:
            found[event.get('job')] = event
    return found


def _find_first_ends(
    evidence: evidence_module.Evidence,
) -> dict[_Run, evidence_module.Event]:
    found: dict[_Run, evidence_module.Event] = {}
    for event in evidence.select(*_END_EVENTS):
        key = (event.get('task'), event.get_int('run'))
        found.setdefault(key, event)
    return found


def _find_acknowledged(
    evidence: evidence_module.Evidence,
) -> dict[str, int]:
    """Return the highest committed end number of each boot."""
    found: dict[str, int] = {}
    for event in evidence.select('ends-acknowledged'):
        boot = event.get('boot')
        found[boot] = max(found.get(boot, 0), event.get_int('number'))
    return found


def _is_acknowledged(
    end: evidence_module.Event, acknowledged: t.Mapping[str, int]
) -> bool:
    """Whether an end was committed to the store and cannot be lost.

    A leader may have read an end without committing it. If the leader,
    the store and all instances then fail together, the end is lost and
    the task runs again.
    """
    return end.get_int('number') <= acknowledged.get(end.get('boot'), 0)


def _find_first_starts(
    events: t.Iterable[evidence_module.Event],
) -> dict[int, evidence_module.Event]:
    found: dict[int, evidence_module.Event] = {}
    for event in events:
        found.setdefault(event.get_int('run'), event)
    return found


def _is_done(event: evidence_module.Event) -> bool:
    return event.get('how') == 'done' and event.get('used') == 'yes'


def _find_step(task: str) -> str:
    return task.rpartition('.')[0]
