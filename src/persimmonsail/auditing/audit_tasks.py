"""The checks of tasks: I2, I3, and I6 for tasks.

Order is derived from ledger positions and attempt numbers. Clocks are
compared only between the end of one attempt and the start of the next,
within the configured tolerance.
"""

import itertools
import typing as t

from persimmonsail.auditing import chain
from persimmonsail.auditing import runs as runs_module
from persimmonsail.auditing import verdicts
from persimmonsail.bookkeeping import records
from persimmonsail import logs

_EVICTED = 'evicted'
_SECONDS_DIGITS = 2


@verdicts.register('I2', 'a task never runs in two places at once')
def check_single_placement(
    case: verdicts.Case, report: verdicts.Report
) -> None:
    """Compare starts with claims, and attempts with each other."""
    for task in case.ledger.history:
        _check_claims(case, report, task)
    for task, attempts in case.logs.derive(runs_module.collect).items():
        started = _list_started(attempts)
        report.cases += bool(started)
        for run in started:
            _check_claim_exists(case, report, task, run)
        for earlier, later in itertools.combinations(started, 2):
            _check_overlap(case, report, task, earlier, later)


def _list_started(
    attempts: dict[int, list[runs_module.Run]],
) -> list[runs_module.Run]:
    return [
        run
        for _, found in sorted(attempts.items())
        for run in found
        if run.may_have_run
    ]


def _check_claims(
    case: verdicts.Case, report: verdicts.Report, task: str
) -> None:
    """Find claims made while an earlier one was still in effect."""
    claimed: chain.Entry | None = None
    for entry in case.ledger.history[task]:
        record = entry.record
        if isinstance(record, records.Claimed):
            if claimed is not None and case.ledger.is_complete(task):
                report.add_violation(
                    task,
                    f'attempt {record.attempt} was claimed while '
                    f'attempt {claimed.record.attempt} still was',
                    claimed,
                    entry,
                )
            claimed = entry
        elif isinstance(record, records.Released | records.Finished):
            claimed = None


def _check_claim_exists(
    case: verdicts.Case,
    report: verdicts.Report,
    task: str,
    run: runs_module.Run,
) -> None:
    """Find starts without a matching claim in the ledger."""
    attempt = run.dispatch.get_int('attempt')
    claims = [
        entry
        for entry in case.ledger.find(task, records.Claimed)
        if entry.record.attempt == attempt
        and entry.record.instance == run.dispatch.process
    ]
    if not claims and case.ledger.is_complete(task):
        report.add_violation(
            task,
            f'attempt {attempt} was started on {run.dispatch.process} '
            'without a claim',
            run.dispatch,
        )
    elif not claims:
        report.add_gap(
            task, f'no claim of attempt {attempt} was found', run.dispatch
        )
    elif all(c.epoch != run.dispatch.get_int('epoch') for c in claims):
        report.add_violation(
            task,
            f'attempt {attempt} was started under epoch '
            f'{run.dispatch.get("epoch")}, claimed under {claims[0].epoch}',
            run.dispatch,
        )


def _check_overlap(
    case: verdicts.Case,
    report: verdicts.Report,
    task: str,
    earlier: runs_module.Run,
    later: runs_module.Run,
) -> None:
    """Find two runs that overlap in time."""
    if earlier.dispatch.time > later.dispatch.time:
        earlier, later = later, earlier
    began = later.dispatch.time + case.tolerances.clock
    ended = earlier.ended.time if earlier.ended else float('inf')
    if began >= min(ended, earlier.latest_expiry):
        return
    lines = [earlier.dispatch, later.dispatch]
    if earlier.ended:
        lines.append(earlier.ended)
    text = (
        f'attempt {later.dispatch.get("attempt")} began on '
        f'{later.dispatch.process} before attempt '
        f'{earlier.dispatch.get("attempt")} ended on '
        f'{earlier.dispatch.process}'
    )
    if began < min(ended, earlier.earliest_expiry):
        overlap = min(ended, earlier.earliest_expiry) - later.dispatch.time
        report.add_violation(
            task, f'{text}, by {overlap:.{_SECONDS_DIGITS}f} s', *lines
        )
    else:
        report.add_gap(task, f'it cannot be determined whether {text}', *lines)


@verdicts.register('I3', 'evicted work resumes exactly once')
def check_resumption(case: verdicts.Case, report: verdicts.Report) -> None:
    """Match each eviction with the one attempt that resumes it."""
    attempts = case.logs.derive(runs_module.collect)
    for task, entries in case.ledger.history.items():
        for number, entry in enumerate(entries):
            record = entry.record
            if isinstance(record, records.Released) and record.checkpoint:
                report.cases += 1
                later_records = [e.record for e in entries[number + 1 :]]
                _check_resumed(case, report, task, entry, later_records)
    for task, found in attempts.items():
        for run in _list_started(found):
            if run.phase == _EVICTED:
                _check_checkpoint_retained(case, report, task, run)


def _check_resumed(
    case: verdicts.Case,
    report: verdicts.Report,
    task: str,
    eviction: chain.Entry,
    later_records: list[t.Any],
) -> None:
    following = next(
        (
            record
            for record in later_records
            if not isinstance(record, records.CancelAsked)
        ),
        None,
    )
    attempt = eviction.record.attempt
    if isinstance(following, records.Claimed):
        _check_resume_point(case, report, task, eviction, following.attempt)
    elif following is None:
        report.add_gap(
            task, f'attempt {attempt} was evicted; no resumption yet', eviction
        )
    elif getattr(following, 'phase', '') != records.TaskPhase.CANCELLED:
        report.add_violation(
            task, f'attempt {attempt} was evicted and never resumed', eviction
        )


def _check_resume_point(
    case: verdicts.Case,
    report: verdicts.Report,
    task: str,
    eviction: chain.Entry,
    attempt: int,
) -> None:
    expected = logs.digest(eviction.record.checkpoint.encode())
    found = case.logs.derive(runs_module.collect).get(task, {})
    started = [r for r in found.get(attempt, ()) if r.may_have_run]
    for run in started:
        if run.checkpoint != expected:
            report.add_violation(
                task,
                f'attempt {attempt} did not start from the checkpoint of '
                f'attempt {eviction.record.attempt}',
                run.dispatch,
            )
    if len(started) > 1:
        report.add_violation(
            task,
            f'attempt {attempt} resumed the work {len(started)} times',
            *(run.dispatch for run in started),
        )


def _check_checkpoint_retained(
    case: verdicts.Case,
    report: verdicts.Report,
    task: str,
    run: runs_module.Run,
) -> None:
    """Find evictions whose checkpoint was not recorded in the ledger."""
    attempt = run.dispatch.get_int('attempt')
    ends = [
        entry.record
        for entry in case.ledger.history.get(task, ())
        if isinstance(entry.record, records.Released | records.Finished)
        and entry.record.attempt == attempt
    ]
    if not ends:
        report.add_gap(
            task,
            f'the eviction of attempt {attempt} is not in the ledger',
            run.ended,
        )
        return
    checkpoint = getattr(ends[0], 'checkpoint', '')
    cancelled = getattr(ends[0], 'phase', '') == records.TaskPhase.CANCELLED
    retained = logs.digest(checkpoint.encode()) == run.ended.get('checkpoint')
    if (
        not retained
        and not cancelled
        and not _arrived_after_lease(run, ends[0])
    ):
        report.add_violation(
            task, f'the checkpoint of attempt {attempt} was lost', run.ended
        )


def _arrived_after_lease(run: runs_module.Run, end: t.Any) -> bool:
    """Whether a checkpoint was reported only after its lease expired.

    The instance was unreachable for the whole lease; the watcher has
    been restarted elsewhere by then and must not be resumed again.
    """
    reported_late = run.ended.time > run.latest_expiry
    return reported_late and end.reason == records.LEASE_EXPIRED
