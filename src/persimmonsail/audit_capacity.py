"""The check of commitments: I1.

What is committed is added up anew from what each line says was begun
and ended; the sidecar's own sum is not asked.
"""

import collections
import dataclasses

from persimmonsail import admission
from persimmonsail import evidence as evidence_module
from persimmonsail import verdicts

_REFUSED = 'not-run'
_BEGINS = ('dispatch', 'task-dispatch', 'task-found')
_ENDS = ('outcome', 'task-ended', 'task-admission')


@dataclasses.dataclass
class _Instance:
    """What runs on an instance, by holder, as of one line."""

    capacity: admission.Size | None = None
    incarnations: dict[str, float] = dataclasses.field(default_factory=dict)
    held: dict[str, tuple[str, admission.Size]] = dataclasses.field(
        default_factory=dict
    )

    def sum_live(self, time: float) -> admission.Size:
        """Add up what the incarnations alive at a time hold."""
        return sum(
            (
                size
                for incarnation, size in self.held.values()
                if self.incarnations[incarnation] >= time
            ),
            admission.Size(),
        )


@verdicts.register('I1', 'no instance is committed beyond its capacity')
def check_capacity(case: verdicts.Case, report: verdicts.Report) -> None:
    """Follow what runs on each instance, line by line."""
    instances: dict[str, _Instance] = collections.defaultdict(_Instance)
    events = case.logs.select('takeover', *_BEGINS, *_ENDS)
    for event in events:
        lives = instances[event.process].incarnations
        lives[event.get('incarnation')] = event.time
    for event in events:
        _follow(instances[event.process], event, report)


def _follow(
    instance: _Instance,
    event: evidence_module.Event,
    report: verdicts.Report,
) -> None:
    if event.name == 'takeover':
        instance.capacity = _read_size(event)
        _drop_dead(instance, event.time)
    elif event.name in _BEGINS:
        size = _read_size(event)
        instance.held[_name_holder(event)] = (event.get('incarnation'), size)
        report.cases += 1
        _check_sum(instance, event, report)
    elif _has_ended(event):
        instance.held.pop(_name_holder(event), None)


def _drop_dead(instance: _Instance, time: float) -> None:
    instance.held = {
        holder: (incarnation, size)
        for holder, (incarnation, size) in instance.held.items()
        if instance.incarnations[incarnation] >= time
    }


def _check_sum(
    instance: _Instance,
    event: evidence_module.Event,
    report: verdicts.Report,
) -> None:
    if instance.capacity is None:
        report.miss(event.process, 'no line tells its capacity', event)
        return
    total = instance.sum_live(event.time)
    if not total.fits(instance.capacity):
        report.violate(
            event.process,
            f'{_describe(total)} committed of {_describe(instance.capacity)}',
            event,
        )


def _has_ended(event: evidence_module.Event) -> bool:
    if event.name == 'task-admission':
        return event.get('verdict') == _REFUSED
    return True


def _name_holder(event: evidence_module.Event) -> str:
    """Return what holds a commitment: an attempt, of either kind."""
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
