"""Explains from logs only why a job was refused, was late or failed.

All lines about the job are printed in order of time across processes;
then each rule searches for one kind of cause. Each cause names the log
line it is based on, so that a reader can verify it.
"""

import argparse
import collections
import dataclasses
import pathlib
import sys
import typing as t

from persimmonsail.auditing import evidence
from persimmonsail.auditing import history
from persimmonsail import exits

# A loss of the store explains a refusal up to this much later: an entry's
# view of the store is at most a second old, and outages last seconds.
_STORE_LOSS_WINDOW_SECONDS = 20.0
# A job first observed later than this after its acceptance had no leader.
_MIN_DELAY_MS = 1000.0
_CONTEXT_EVENTS = frozenset(
    {'store-lost', 'store-regained', 'leading', 'starting'}
)
# A task that failed on this many instances is itself at fault.
_MIN_INSTANCES_FOR_JOB_FAULT = 2


@dataclasses.dataclass(frozen=True)
class Cause:
    """A cause that a rule found.

    Attributes
    ----------
    text : str
        A one-line description.
    event : persimmonsail.auditing.evidence.Event
        The log line that the cause is based on.
    """

    text: str
    event: evidence.Event


@dataclasses.dataclass
class Case:
    """The events that the rules examine.

    Attributes
    ----------
    events : list of persimmonsail.auditing.evidence.Event
        Events of the job and its tasks, in order of time.
    context : list of persimmonsail.auditing.evidence.Event
        Events about the store, the leader and process starts.
    """

    events: list[evidence.Event]
    context: list[evidence.Event]

    def select(self, name: str, **fields: str) -> list[evidence.Event]:
        """Return the job's events with this name and these fields."""
        return [
            event
            for event in self.events
            if event.name == name
            and all(event.get(key) == value for key, value in fields.items())
        ]


_Rule = t.Callable[[Case], t.Iterator[Cause]]
_RULES: list[_Rule] = []


def register(rule: _Rule) -> _Rule:
    """Add a rule; rules run in the order of registration."""
    _RULES.append(rule)
    return rule


def run(arguments: argparse.Namespace) -> int:
    """Print the history of a job and the causes found by the rules."""
    lines = history.collect_lines(arguments.id, arguments.logs)
    if not lines:
        print(f'no log line mentions {arguments.id}', file=sys.stderr)
        return exits.INVALID_INPUT
    print('\n'.join(lines))
    causes = find_causes(read_case(arguments.id, arguments.logs))
    for cause in causes:
        event = cause.event
        print(f'cause: {cause.text}')
        print(
            f'  decided by {event.name} of {event.process}, {event.location}'
        )
    if not causes:
        print('cause: no rule matched; see the lines above')
    return exits.OK


def read_case(id: str, paths: t.Iterable[pathlib.Path]) -> Case:
    """Read the events of a job and their context."""
    case = Case([], [])
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as file:
            for number, line in enumerate(file, start=1):
                event = evidence.read_event(line, str(path), number)
                if event is None:
                    continue
                task = event.get('task')
                if event.get('job') == id or task.startswith(f'{id}.'):
                    case.events.append(event)
                elif event.name in _CONTEXT_EVENTS:
                    case.context.append(event)
    case.events.sort(key=lambda event: event.time)
    case.context.sort(key=lambda event: event.time)
    return case


def find_causes(case: Case) -> list[Cause]:
    """Apply all rules."""
    return [cause for rule in _RULES for cause in rule(case)]


@register
def _find_refusal(case: Case) -> t.Iterator[Cause]:
    """Find why a submission was refused or its outcome is unknown."""
    for event in case.select('job-call', call='submit'):
        outcome = event.get('outcome')
        if outcome == 'invalid':
            yield Cause(
                f'the submission is invalid: {event.get("error")}', event
            )
        if outcome not in ('refused', 'unknown'):
            continue
        lost = _find_lost_store(case, event)
        if lost is None:
            continue
        age = event.time - lost.time
        yield Cause(
            f'{outcome}: {event.process} had lost the store {age:.1f} s '
            f'before ({lost.get("error")})',
            lost,
        )


@register
def _find_rejection(case: Case) -> t.Iterator[Cause]:
    """Find why a submission was rejected for load."""
    for event in case.select('job-rejected'):
        yield Cause(
            f'rejected: it would have ended in {event.get("end_seconds")} s '
            f'behind {event.get("ahead_core_ms")} core-ms of other work, and '
            f'is of use for {event.get("limit_seconds")} s; to return after '
            f'{event.get("retry_after")} s',
            event,
        )


def _find_lost_store(
    case: Case, event: evidence.Event
) -> evidence.Event | None:
    lost = None
    for other in case.context:
        if other.process != event.process or other.time > event.time + 1.0:
            continue
        if event.time - other.time > _STORE_LOSS_WINDOW_SECONDS:
            continue
        if other.name == 'store-lost':
            lost = other
        elif other.name == 'store-regained' and other.time <= event.time:
            lost = None
    return lost


@register
def _find_failure(case: Case) -> t.Iterator[Cause]:
    """Determine whether the job or an instance caused the failure."""
    failures = collections.defaultdict(list)
    for event in case.select('run-ended', how='failed'):
        failures[event.get('task')].append(event)
    if not failures or not case.select('job-phase', phase='failed'):
        return
    task, events = max(failures.items(), key=lambda item: len(item[1]))
    instances = {event.get('instance') for event in events}
    text = 'the job is to blame'
    if len(instances) < _MIN_INSTANCES_FOR_JOB_FAULT:
        text = 'inspect that instance'
    yield Cause(
        f'failed: {task} failed {len(events)} times on {len(instances)} '
        f'instances: {text}',
        events[-1],
    )


@register
def _find_crashes(case: Case) -> t.Iterator[Cause]:
    """Find tasks that crashed the agents that started them."""
    for event in case.select('job-given-up'):
        task = event.get('task')
        crashes = case.select('crash-counted', task=task)
        instances = {other.get('instance') for other in crashes}
        yield Cause(
            f'failed: {task} crashed {event.get("crashes")} agents that '
            f'started it, on {len(instances)} instances: the job is to blame',
            event,
        )


@register
def _find_failed_planning(case: Case) -> t.Iterator[Cause]:
    """Find out whether the program can't plan the job."""
    failed = case.select('job-set-aside')
    planned = case.select('job-planned-again')
    if failed and not (planned and planned[-1].time > failed[-1].time):
        yield Cause(
            f'set aside: planning it fails with {failed[-1].get("error")} at '
            f'{failed[-1].get("place")}; each leader tries it again',
            failed[-1],
        )


@register
def _find_absent_leader(case: Case) -> t.Iterator[Cause]:
    """Find a period in which no leader observed the job."""
    for event in case.select('job-seen'):
        if event.get_float('age_ms') <= _MIN_DELAY_MS:
            continue
        seconds = event.get_float('age_ms') / 1000
        leading = [
            other
            for other in case.context
            if other.name == 'leading' and other.time <= event.time
        ]
        text = f'late: no leader observed it for {seconds:.1f} s'
        yield Cause(text, leading[-1] if leading else event)


@register
def _find_lost_runs(case: Case) -> t.Iterator[Cause]:
    """Find runs that were lost with their instance."""
    lost = case.select('run-lost')
    lost += case.select('run-ended', how='lapsed')
    if lost:
        instances = sorted({event.get('instance') for event in lost})
        yield Cause(
            f'late: {len(lost)} runs were lost with {", ".join(instances)}',
            lost[-1],
        )


@register
def _find_interference(case: Case) -> t.Iterator[Cause]:
    """Find tasks stopped or moved because of colocated serving tasks."""
    throttled = case.select('paced', percent='0')
    starved = case.select('evicted', reason='starved')
    if throttled or starved:
        yield Cause(
            f'late: tasks were stopped {len(throttled)} times and moved '
            f'{len(starved)} times for what serves beside them',
            (throttled + starved)[-1],
        )


@register
def _find_capacity_wait(case: Case) -> t.Iterator[Cause]:
    """Find a long wait for the first placement."""
    observed = case.select('job-seen')
    placed = case.select('placed')
    if not observed or not placed:
        return
    seconds = placed[0].time - observed[0].time
    if seconds > _MIN_DELAY_MS / 1000:
        yield Cause(
            f'late: it waited {seconds:.1f} s for its first placement',
            placed[0],
        )
