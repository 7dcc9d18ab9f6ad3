"""The check of commitments: I1.

Commitments are recomputed from the start and end lines of the log; the
sidecar's own total is not used.
"""

import collections
import dataclasses

from persimmonsail.auditing import evidence as evidence_module
from persimmonsail.auditing import verdicts
from persimmonsail.decisions import admission

_NOT_RUN = 'not-run'
_BEGIN_EVENTS = ('dispatch', 'task-dispatch', 'task-found')
_END_EVENTS = ('outcome', 'task-ended', 'task-admission', 'commitment-freed')


_SIZE_DIGITS = 6


@dataclasses.dataclass
class _Incarnation:
    """The open commitments of one incarnation of a sidecar."""

    last_seen: float
    total: admission.Size = dataclasses.field(default_factory=admission.Size)
    sizes: dict[str, admission.Size] = dataclasses.field(default_factory=dict)

    def begin(self, holder: str, size: admission.Size) -> None:
        """Add the size of a holder to the total."""
        self.end(holder)
        self.sizes[holder] = size
        self.total = _add(self.total, size, 1)

    def end(self, holder: str) -> None:
        """Subtract the size of a holder from the total."""
        if size := self.sizes.pop(holder, None):
            self.total = _add(self.total, size, -1)


@dataclasses.dataclass
class _Instance:
    """An instance with all incarnations of its sidecar."""

    capacity: admission.Size | None = None
    incarnations: dict[str, _Incarnation] = dataclasses.field(
        default_factory=dict
    )

    def sum_live(self, time: float) -> admission.Size:
        """Return the total commitment of the incarnations alive at a time."""
        totals = [
            incarnation.total
            for incarnation in self.incarnations.values()
            if incarnation.last_seen >= time
        ]
        return sum(totals, admission.Size())

    def end(self, holder: str) -> None:
        """Release a holder's size, whichever incarnation committed it."""
        for incarnation in self.incarnations.values():
            incarnation.end(holder)


def _add(
    one: admission.Size, other: admission.Size, sign: int
) -> admission.Size:
    # Rounding each step keeps float errors from adding up in long logs.
    return admission.Size(
        round(one.cores + sign * other.cores, _SIZE_DIGITS),
        round(one.memory_gb + sign * other.memory_gb, _SIZE_DIGITS),
        one.accelerators + sign * other.accelerators,
    )


@verdicts.register('I1', 'no instance is committed beyond its capacity')
def check_capacity(case: verdicts.Case, report: verdicts.Report) -> None:
    """Replay the commitments of each instance, line by line."""
    instances: dict[str, _Instance] = collections.defaultdict(_Instance)
    events = case.logs.select('takeover', *_BEGIN_EVENTS, *_END_EVENTS)
    for event in events:
        incarnations = instances[event.process].incarnations
        incarnations[event.get('incarnation')] = _Incarnation(event.time)
    for event in events:
        _apply_event(instances[event.process], event, report)


def _apply_event(
    instance: _Instance,
    event: evidence_module.Event,
    report: verdicts.Report,
) -> None:
    if event.name == 'takeover':
        instance.capacity = _read_size(event)
    elif event.name in _BEGIN_EVENTS:
        holder = _get_holder(event)
        # A new incarnation adopts the tasks that an earlier one started.
        instance.end(holder)
        incarnation = instance.incarnations[event.get('incarnation')]
        incarnation.begin(holder, _read_size(event))
        report.cases += 1
        _check_total(instance, event, report)
    elif _has_ended(event):
        instance.end(_get_holder(event))


def _check_total(
    instance: _Instance,
    event: evidence_module.Event,
    report: verdicts.Report,
) -> None:
    if instance.capacity is None:
        report.add_gap(
            event.process, 'no log line reports its capacity', event
        )
        return
    total = instance.sum_live(event.time)
    if not total.fits(instance.capacity):
        report.add_violation(
            event.process,
            f'{_describe(total)} committed of {_describe(instance.capacity)}',
            event,
        )


def _has_ended(event: evidence_module.Event) -> bool:
    if event.name == 'task-admission':
        return event.get('verdict') == _NOT_RUN
    return True


def _get_holder(event: evidence_module.Event) -> str:
    """Return the holder of a commitment: a request's or task's attempt."""
    return f'{event.get("task")}/{event.get("attempt")}'


def _read_size(event: evidence_module.Event) -> admission.Size:
    return admission.Size(
        event.get_float('cores'),
        event.get_float('memory_gb'),
        event.get_int('accelerators'),
    )


def _describe(size: admission.Size) -> str:
    return (
        f'{size.cores:g} cores, {size.memory_gb:g} GB, '
        f'{size.accelerators} accelerators'
    )
