"""The checks of planned stops: I7 and I8."""

import collections
import typing as t

from persimmonsail.auditing import evidence as evidence_module
from persimmonsail.auditing import verdicts

_CUT_OFF = 'cut off'


@verdicts.register('I7', 'a leaving backend server gets no new work')
def check_leaving(case: verdicts.Case, report: verdicts.Report) -> None:
    """Find work sent to an incarnation too long after it began to leave."""
    max_delay = case.tolerances.leaving + case.tolerances.clock
    first_stops = _find_first_stops(case.logs)
    report.cases = len(first_stops)
    for event in case.logs.select(
        'routing', 'placement', 'dispatch', 'task-dispatch'
    ):
        stop = first_stops.get(event.get('incarnation'))
        if stop is not None and event.time > stop.time + max_delay:
            report.add_violation(
                stop.process,
                f'{event.name} {event.time - stop.time:.2f} s after it '
                'began to leave',
                stop,
                event,
            )


def _find_first_stops(
    evidence: evidence_module.Evidence,
) -> dict[str, evidence_module.Event]:
    """Return the first stop announcement of each incarnation."""
    found: dict[str, evidence_module.Event] = {}
    for event in evidence.select('stopping', 'leaving'):
        if event.get('incarnation'):
            found.setdefault(event.get('incarnation'), event)
    return found


@verdicts.register('I8', 'a planned stop cuts off no request in flight')
def check_stops(case: verdicts.Case, report: verdicts.Report) -> None:
    """Find requests begun before a stop that did not end before it."""
    requests = _collect_open(
        case.logs, 'request', evidence_module.FINAL_EVENTS, 'request'
    )
    attempts = _collect_open(case.logs, 'dispatch', ('outcome',), 'attempt')
    stopped = _group_by_process(case.logs.select('stopped'))
    starts = _group_by_process(case.logs.select('listening'))
    for stop in case.logs.select('stopping'):
        report.cases += 1
        end = _find_next(stopped.get(stop.process, ()), stop.time)
        restart = _find_next(starts.get(stop.process, ()), stop.time)
        if end is None or (restart and restart.time < end.time):
            report.add_gap(
                stop.process,
                'it began to stop; the end of the stop is not logged',
                stop,
            )
            continue
        start = _find_last(starts.get(stop.process, ()), stop.time)
        since = start.time if start else 0.0
        for event in [*requests, *attempts]:
            if event.process == stop.process and since <= event.time:
                if event.time <= end.time:
                    report.add_violation(
                        event.get('request'),
                        f'{stop.process} stopped before the request ended',
                        event,
                        end,
                    )
    _check_cut_off(case, report)


def _check_cut_off(case: verdicts.Case, report: verdicts.Report) -> None:
    for event in case.logs.select('outcome'):
        if event.get('reason') == _CUT_OFF:
            report.add_violation(
                event.get('request'),
                f'{event.process} aborted it while stopping',
                event,
            )


def _collect_open(
    evidence: evidence_module.Evidence,
    begin: str,
    ends: t.Sequence[str],
    field: str,
) -> list[evidence_module.Event]:
    """Return the begin events without an end event of their process."""
    ended = {
        (event.process, event.get(field)) for event in evidence.select(*ends)
    }
    return [
        event
        for event in evidence.select(begin)
        if (event.process, event.get(field)) not in ended
    ]


def _group_by_process(
    events: list[evidence_module.Event],
) -> dict[str, list[evidence_module.Event]]:
    found = collections.defaultdict(list)
    for event in events:
        found[event.process].append(event)
    return found


def _find_next(
    events: t.Iterable[evidence_module.Event], time: float
) -> evidence_module.Event | None:
    return next((e for e in events if e.time >= time), None)


def _find_last(
    events: t.Iterable[evidence_module.Event], time: float
) -> evidence_module.Event | None:
    earlier = [event for event in events if event.time <= time]
    return earlier[-1] if earlier else None
