"""The check of the catalogue: I9."""

import bisect
import collections
import dataclasses

from persimmonsail.auditing import evidence as evidence_module
from persimmonsail.auditing import verdicts

# An admission line names the last revision the sidecar had received.
_DECISION_EVENTS = ('routing', 'placement', 'admission')


@dataclasses.dataclass(frozen=True)
class _Change:
    """An accepted revision and the event that dates its acceptance."""

    revision: int
    event: evidence_module.Event


@verdicts.register('I9', 'an accepted change is in force and never reverts')
def check_catalogue(case: verdicts.Case, report: verdicts.Report) -> None:
    """Check each accepted change against every process."""
    changes = _collect_changes(case, report)
    report.cases = len(changes)
    _check_identity(case, report)
    _check_store(case, report)
    _check_no_rollback(case, report)
    _check_in_force(case, report, changes)


def _collect_changes(
    case: verdicts.Case, report: verdicts.Report
) -> list[_Change]:
    first_events: dict[int, evidence_module.Event] = {}
    for event in case.logs.select('catalogue-accepted'):
        first_events.setdefault(event.get_int('revision'), event)
    for event in case.logs.select('catalogue'):
        revision = event.get_int('revision')
        if revision not in first_events:
            report.add_gap(
                f'revision {revision}',
                'no log line reports when it was accepted; the time of the '
                'first process that applied it is used',
                event,
            )
            first_events[revision] = event
    return [_Change(r, event) for r, event in sorted(first_events.items())]


def _check_identity(case: verdicts.Case, report: verdicts.Report) -> None:
    """Find different catalogues with the same revision."""
    first: dict[int, evidence_module.Event] = {}
    for event in case.logs.select('catalogue-accepted', 'catalogue'):
        if not event.get('id'):
            continue
        earlier = first.setdefault(event.get_int('revision'), event)
        if earlier.get('id') != event.get('id'):
            report.add_violation(
                f'revision {event.get("revision")}',
                'two catalogues have this revision',
                earlier,
                event,
            )


def _check_store(case: verdicts.Case, report: verdicts.Report) -> None:
    """Find accepted changes that are missing from the store's history."""
    if case.heads is None:
        return
    stored = {head.revision: head.id for head in case.heads}
    for event in case.logs.select('catalogue-accepted'):
        revision = event.get_int('revision')
        if stored.get(revision) != event.get('id'):
            report.add_violation(
                f'revision {revision}',
                'the accepted change is not in the store',
                event,
            )


def _check_no_rollback(case: verdicts.Case, report: verdicts.Report) -> None:
    """Find processes that reverted, including across a restart."""
    highest: dict[str, evidence_module.Event] = {}
    for event in case.logs.select('catalogue', *_DECISION_EVENTS):
        earlier = highest.get(event.process)
        revision = event.get_int('revision')
        if earlier is None or revision >= earlier.get_int('revision'):
            highest[event.process] = event
        elif revision:
            report.add_violation(
                event.process,
                f'it reverted to revision {revision} from '
                f'{earlier.get("revision")}',
                earlier,
                event,
            )


def _check_in_force(
    case: verdicts.Case, report: verdicts.Report, changes: list[_Change]
) -> None:
    """Find decisions based on a revision replaced too long before."""
    max_delay = case.tolerances.catalogue + case.tolerances.clock
    deadlines: list[tuple[float, int, evidence_module.Event]] = sorted(
        (change.event.time + max_delay, change.revision, change.event)
        for change in changes
    )
    times = [time for time, _, _ in deadlines]
    highest = _accumulate_highest(deadlines)
    late_counts: dict[tuple[str, int], int] = collections.Counter()
    for event in case.logs.select(*_DECISION_EVENTS):
        expired = bisect.bisect_left(times, event.time)
        if not expired:
            continue
        revision, accepted = highest[expired - 1]
        if event.get_int('revision') >= revision or not _starts_work(event):
            continue
        late_counts[(event.process, revision)] += 1
        if late_counts[(event.process, revision)] == 1:
            report.add_violation(
                event.process,
                f'{event.name} under revision {event.get("revision")}, '
                f'{event.time - accepted.time:.2f} s after revision '
                f'{revision} was accepted',
                accepted,
                event,
            )


def _accumulate_highest(deadlines) -> list[tuple[int, evidence_module.Event]]:
    highest: list[tuple[int, evidence_module.Event]] = []
    for _, revision, event in deadlines:
        if highest and highest[-1][0] > revision:
            highest.append(highest[-1])
        else:
            highest.append((revision, event))
    return highest


def _starts_work(event: evidence_module.Event) -> bool:
    """Whether a decision let work run; refusals need no catalogue."""
    return event.name != 'admission' or event.get('verdict') == 'answered'
