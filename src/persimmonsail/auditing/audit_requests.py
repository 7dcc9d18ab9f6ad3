"""The checks of callers' requests: I4, I5 and I6."""

import collections

from persimmonsail.auditing import evidence as evidence_module
from persimmonsail.auditing import runs as runs_module
from persimmonsail.auditing import verdicts
from persimmonsail.bookkeeping import records
from persimmonsail import logs
from persimmonsail.sidecars import backends

_NOT_RUN = 'not-run'
_ANSWERED = 'answered'
_NOT_IDEMPOTENT = 'no'


@verdicts.register('I4', 'every caller gets the whole answer to its request')
def check_answers(case: verdicts.Case, report: verdicts.Report) -> None:
    """Compare each final answer with the outcome of the work."""
    outcomes = case.logs.group('outcome', 'request')
    for event in case.logs.select('answer'):
        # A repeated idempotency key gets the answer of the first request.
        ran_as = event.get('ran_as') or event.get('request')
        _check_answer(report, event, outcomes.get(ran_as, []))
    for event in case.logs.select('task-answer'):
        _check_task_answer(case, report, event)
    _check_single_final(case, report)
    for task in case.ledger.history:
        finished = case.ledger.find(task, records.Finished)
        if len(finished) > 1:
            report.add_violation(
                task, f'{len(finished)} final outcomes', *finished
            )


def _check_answer(
    report: verdicts.Report,
    event: evidence_module.Event,
    outcomes: list[evidence_module.Event],
) -> None:
    request = event.get('request')
    if not outcomes:
        report.add_gap(
            request, 'no sidecar logged the outcome behind the answer', event
        )
        return
    same = any(
        outcome.get('verdict') == _ANSWERED
        and outcome.get('answer') == event.get('answer')
        and outcome.get('status') == event.get('status')
        for outcome in outcomes
    )
    if not same:
        report.add_violation(
            request,
            "the caller's answer differs from the backend server's",
            event,
            *outcomes,
        )


def _check_task_answer(
    case: verdicts.Case, report: verdicts.Report, event: evidence_module.Event
) -> None:
    task = event.get('task')
    phase = event.get('phase')
    entries = case.ledger.history.get(task, [])
    if not entries:
        if case.ledger.is_complete(task):
            report.add_violation(
                task, 'an accepted task is not in the ledger', event
            )
        else:
            report.add_gap(
                task, 'the task is missing from a ledger with gaps', event
            )
    if phase not in records.FINAL_PHASES or not entries:
        return
    finished = [e.record for e in case.ledger.find(task, records.Finished)]
    same = any(
        record.phase == phase
        and logs.digest(record.answer.encode()) == event.get('answer')
        for record in finished
    )
    if not same and case.ledger.is_complete(task):
        report.add_violation(
            task,
            "the caller's answer differs from the ledger's outcome",
            event,
        )
    elif not same:
        report.add_gap(
            task, 'the outcome is missing from a ledger with gaps', event
        )


def _check_single_final(case: verdicts.Case, report: verdicts.Report) -> None:
    finals = collections.Counter(
        event.get('request')
        for event in case.logs.select(*evidence_module.FINAL_EVENTS)
        if event.get('request')
    )
    stopped = _list_stops(case.logs)
    for event in case.logs.select('request'):
        report.cases += 1
        request = event.get('request')
        if finals[request] > 1:
            report.add_violation(
                request, f'{finals[request]} final answers', event
            )
        elif not finals[request] and any(
            stop.time >= event.time for stop in stopped[event.process]
        ):
            report.add_violation(
                request, 'no final answer before the stop', event
            )
        elif not finals[request]:
            report.add_gap(
                request,
                f'no final answer; {event.process} logged no stop since',
                event,
            )


def _list_stops(
    evidence: evidence_module.Evidence,
) -> dict[str, list[evidence_module.Event]]:
    stops: dict[str, list[evidence_module.Event]] = collections.defaultdict(
        list
    )
    for event in evidence.select('stopped'):
        stops[event.process].append(event)
    return stops


@verdicts.register('I5', 'work refused as not run did not run')
def check_not_run(case: verdicts.Case, report: verdicts.Report) -> None:
    """Search the dispatched work for requests refused as not run."""
    dispatches = case.logs.group('dispatch', 'request')
    routings = case.logs.group('routing', 'request')
    for event in case.logs.select('refusal'):
        if event.get('work') != _NOT_RUN:
            continue
        report.cases += 1
        request = event.get('request')
        if not request:
            continue
        for dispatch in dispatches.get(request, ()):
            _check_not_sent(case, report, event, dispatch)
        for routing in routings.get(request, ()):
            if routing.get('chosen') not in case.logs.processes:
                report.add_gap(
                    request,
                    f'the log of {routing.get("chosen")} is missing',
                    routing,
                )
        if event.get('task'):
            _check_not_accepted(case, report, event)
    _check_refused_starts(case, report)


def _find_outcome(
    case: verdicts.Case, attempt: str
) -> evidence_module.Event | None:
    found = case.logs.derive(_group_outcomes).get(attempt)
    return found[0] if found else None


def _group_outcomes(
    evidence: evidence_module.Evidence,
) -> dict[str, list[evidence_module.Event]]:
    return evidence.group('outcome', 'attempt')


def may_have_been_sent(
    case: verdicts.Case, dispatch: evidence_module.Event
) -> bool:
    """Whether a dispatched attempt may have reached the backend server.

    Only a connection that was never established rules this out.
    """
    outcome = _find_outcome(case, dispatch.get('attempt'))
    return (
        outcome is None
        or outcome.get('verdict') != _NOT_RUN
        or outcome.get('reason') != backends.NO_CONNECTION
    )


def _check_not_sent(
    case: verdicts.Case,
    report: verdicts.Report,
    refusal: evidence_module.Event,
    dispatch: evidence_module.Event,
) -> None:
    if may_have_been_sent(case, dispatch):
        report.add_violation(
            refusal.get('request'),
            f'refused as not run, yet sent to {dispatch.process}',
            refusal,
            dispatch,
        )


def _check_not_accepted(
    case: verdicts.Case, report: verdicts.Report, event: evidence_module.Event
) -> None:
    task = event.get('task')
    request = event.get('request')
    if not case.ledger.find(task, records.Submitted):
        if not case.ledger.is_complete(task):
            report.add_gap(request, f'the ledger of {task} has gaps', event)
        return
    others = case.logs.derive(_group_task_requests).get(task, set())
    if not others - {request}:
        report.add_violation(
            request, f'refused as not run, yet {task} was accepted', event
        )


def _group_task_requests(
    evidence: evidence_module.Evidence,
) -> dict[str, set[str]]:
    """Return, for each task, the requests that may have submitted it."""
    found: dict[str, set[str]] = collections.defaultdict(set)
    for event in evidence.select('task-answer', 'refusal'):
        if event.get('work') != _NOT_RUN and event.get('request'):
            found[event.get('task')].add(event.get('request'))
    return found


def _check_refused_starts(
    case: verdicts.Case, report: verdicts.Report
) -> None:
    """Find attempts reported as not run that their worker has ended."""
    for attempts in case.logs.derive(runs_module.collect).values():
        for run in (run for found in attempts.values() for run in found):
            ran = run.phase not in ('', 'absent')
            if run.verdict == _NOT_RUN and ran:
                report.add_violation(
                    run.dispatch.get('task'),
                    f'attempt {run.dispatch.get("attempt")} was refused as '
                    f'not run, yet the worker reports it {run.phase}',
                    run.dispatch,
                    run.ended,
                )


@verdicts.register('I6', 'a non-idempotent request runs at most once')
def check_at_most_once(case: verdicts.Case, report: verdicts.Report) -> None:
    """Count the dispatches of work that must not run twice."""
    for request, found in case.logs.group('dispatch', 'request').items():
        sent = [
            event
            for event in found
            if event.get('idempotent') == _NOT_IDEMPOTENT
            and may_have_been_sent(case, event)
        ]
        report.cases += bool(sent)
        if len({event.get('attempt') for event in sent}) > 1:
            report.add_violation(
                request, f'sent to run {len(sent)} times', *sent
            )
    _check_tasks_at_most_once(case, report)


def _check_tasks_at_most_once(
    case: verdicts.Case, report: verdicts.Report
) -> None:
    placements = case.logs.group('placement', 'task')
    for task, attempts in case.logs.derive(runs_module.collect).items():
        ran = [
            run
            for _, found in sorted(attempts.items())
            for run in found
            if run.may_have_run
        ]
        if not ran:
            continue
        placed = placements.get(task)
        if placed is None:
            report.add_gap(
                task, 'no log line reports its placement', ran[0].dispatch
            )
        elif runs_module.must_run_once(placed[0]):
            report.cases += 1
            _check_checkpoints(report, task, ran)


def _check_checkpoints(
    report: verdicts.Report, task: str, ran: list[runs_module.Run]
) -> None:
    """Check that later attempts continue the work of earlier ones.

    Two runs from the same checkpoint, or both from none, repeat work.
    """
    first: dict[str, runs_module.Run] = {}
    for run in ran:
        earlier = first.setdefault(run.checkpoint, run)
        if earlier is not run:
            report.add_violation(
                task,
                f'attempt {run.dispatch.get("attempt")} repeated the work of '
                f'attempt {earlier.dispatch.get("attempt")}',
                earlier.dispatch,
                run.dispatch,
            )
