"""Why a job was turned away, late or failed, from the logs alone.

All lines about the job are told in order over all processes; then each
rule looks for the cause that it knows. A rule names the line that decided
it, so that whoever reads the answer can check it.
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

# A store that was lost this long before a refusal explains it: what an
# entry believes of it is at most a second old, and outages last seconds.
_STORE_SECONDS = 20.0
# A job that was seen so much after its acceptance had no leader.
_UNSEEN_MS = 1000.0
_CONTEXT = frozenset({'store-lost', 'store-regained', 'leading', 'starting'})
# Where a task failed on so many instances, none of them is to blame.
_INSTANCES_TO_CLEAR = 2


@dataclasses.dataclass(frozen=True)
class Cause:
    """What a rule found.

    Attributes
    ----------
    text : str
        The cause in a sentence.
    event : persimmonsail.evidence.Event
        The line that decided it.
    """

    text: str
    event: evidence.Event


@dataclasses.dataclass
class Case:
    """What a rule looks at.

    Attributes
    ----------
    events : list of persimmonsail.evidence.Event
        Of the job and its tasks, in order of time.
    context : list of persimmonsail.evidence.Event
        What processes said of the store, the leader and themselves.
    """

    events: list[evidence.Event]
    context: list[evidence.Event]

    def select(self, name: str, **fields: str) -> list[evidence.Event]:
        """Return the job's events of one kind with these fields."""
        return [
            event
            for event in self.events
            if event.name == name
            and all(event.get(key) == value for key, value in fields.items())
        ]


_Rule = t.Callable[[Case], t.Iterator[Cause]]
_RULES: list[_Rule] = []


def register(rule: _Rule) -> _Rule:
    """Add a rule to those that are asked, in order."""
    _RULES.append(rule)
    return rule


def run(arguments: argparse.Namespace) -> int:
    """Print a job's history and the causes that the rules found."""
    lines = history.tell(arguments.id, arguments.logs)
    if not lines:
        print(f'no line names {arguments.id}', file=sys.stderr)
        return exits.INVALID_INPUT
    print('\n'.join(lines))
    causes = find_causes(read_case(arguments.id, arguments.logs))
    for cause in causes:
        event = cause.event
        print(f'cause: {cause.text}')
        print(f'  decided by {event.name} of {event.process}, {event.place}')
    if not causes:
        print('cause: none that is known; read the lines above')
    return exits.OK


def read_case(id: str, paths: t.Iterable[pathlib.Path]) -> Case:
    """Read what the rules need of a job."""
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
                elif event.name in _CONTEXT:
                    case.context.append(event)
    case.events.sort(key=lambda event: event.time)
    case.context.sort(key=lambda event: event.time)
    return case


def find_causes(case: Case) -> list[Cause]:
    """Ask all rules."""
    return [cause for rule in _RULES for cause in rule(case)]


@register
def _find_refusal(case: Case) -> t.Iterator[Cause]:
    """Find why a caller heard no or nothing certain."""
    for event in case.select('job-call', call='submit'):
        outcome = event.get('outcome')
        if outcome == 'invalid':
            yield Cause(
                f'the submission is wrong: {event.get("error")}', event
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


def _find_lost_store(
    case: Case, event: evidence.Event
) -> evidence.Event | None:
    lost = None
    for other in case.context:
        if other.process != event.process or other.time > event.time + 1.0:
            continue
        if event.time - other.time > _STORE_SECONDS:
            continue
        if other.name == 'store-lost':
            lost = other
        elif other.name == 'store-regained' and other.time <= event.time:
            lost = None
    return lost


@register
def _find_failure(case: Case) -> t.Iterator[Cause]:
    """Tell whether the job or an instance made it fail."""
    failures = collections.defaultdict(list)
    for event in case.select('run-ended', how='failed'):
        failures[event.get('task')].append(event)
    if not failures or not case.select('job-phase', phase='failed'):
        return
    task, events = max(failures.items(), key=lambda item: len(item[1]))
    places = {event.get('instance') for event in events}
    text = 'the job is to blame'
    if len(places) < _INSTANCES_TO_CLEAR:
        text = 'look at that instance'
    yield Cause(
        f'failed: {task} failed {len(events)} times on {len(places)} '
        f'instances: {text}',
        events[-1],
    )


@register
def _find_crashes(case: Case) -> t.Iterator[Cause]:
    """Tell that a task crashed the agents that started it."""
    for event in case.select('job-given-up'):
        task = event.get('task')
        crashes = case.select('crash-counted', task=task)
        places = {other.get('instance') for other in crashes}
        yield Cause(
            f'failed: {task} crashed {event.get("crashes")} agents that '
            f'started it, on {len(places)} instances: the job is to blame',
            event,
        )


@register
def _find_absent_leader(case: Case) -> t.Iterator[Cause]:
    """Find a time without a leader that saw it."""
    for event in case.select('job-seen'):
        if event.get_float('age_ms') <= _UNSEEN_MS:
            continue
        seconds = event.get_float('age_ms') / 1000
        leading = [
            other
            for other in case.context
            if other.name == 'leading' and other.time <= event.time
        ]
        text = f'late: no leader saw it for {seconds:.1f} s'
        yield Cause(text, leading[-1] if leading else event)


@register
def _find_lost_runs(case: Case) -> t.Iterator[Cause]:
    """Find work that was lost with its instance."""
    lost = case.select('run-lost')
    lost += case.select('run-ended', how='lapsed')
    if lost:
        places = sorted({event.get('instance') for event in lost})
        yield Cause(
            f'late: {len(lost)} runs were lost with {", ".join(places)}',
            lost[-1],
        )


@register
def _find_disturbance(case: Case) -> t.Iterator[Cause]:
    """Find tasks that had to give way to what serves beside them."""
    slowed = case.select('paced', percent='0')
    starved = case.select('evicted', reason='starved')
    if slowed or starved:
        yield Cause(
            f'late: tasks were stopped {len(slowed)} times and moved '
            f'{len(starved)} times for what serves beside them',
            (slowed + starved)[-1],
        )


@register
def _find_wait_for_room(case: Case) -> t.Iterator[Cause]:
    """Find a long wait for the first place."""
    seen = case.select('job-seen')
    placed = case.select('placed')
    if not seen or not placed:
        return
    seconds = placed[0].time - seen[0].time
    if seconds > _UNSEEN_MS / 1000:
        yield Cause(
            f'late: it waited {seconds:.1f} s for its first place',
            placed[0],
        )
