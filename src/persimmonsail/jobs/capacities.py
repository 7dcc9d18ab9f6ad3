"""Capacities of instances: a step that fits none of them is refused.

A step larger than every instance would wait indefinitely, and so would its
caller. The leader sees all instances and saves their capacities in the store;
every entry reads them and refuses such a job immediately. A capacity remains
known once observed: an absent instance may come back, and a job that can wait
for it must not be refused.
"""

import typing as t

import anyio
import pydantic

from persimmonsail import exceptions
from persimmonsail.jobs import instances
from persimmonsail.jobs import record
from persimmonsail.jobs import specification as specification_module
from persimmonsail import logs
from persimmonsail import store as store_module

# A new kind of instance is known to all entries after at most the sum of these
# two periods; until then, jobs that need it are refused.
_SAVE_PERIOD_SECONDS = 2.0
_READ_PERIOD_SECONDS = 10.0
# A fleet has a few kinds of instances. If it has more than this, further kinds
# are not recorded and jobs are no longer refused for their size.
MAX_KINDS = 64

Size = specification_module.Size
_STORED = pydantic.TypeAdapter(dict[str, list[Size]])


class Capacities:
    """The capacities of all instances ever observed, by service."""

    def __init__(self) -> None:
        self._capacities: dict[str, set[Size]] = {}

    def note(self, service: str, capacity: Size) -> None:
        """Record the capacity of an instance of a service."""
        capacities = self._capacities.setdefault(service, set())
        if any(capacity.fits(other) for other in capacities):
            return
        # A step that fits a smaller capacity also fits this one. Otherwise
        # each size of a capacity that varies would become a kind of its own.
        capacities -= {other for other in capacities if other.fits(capacity)}
        if len(capacities) < MAX_KINDS:
            capacities.add(capacity)

    def merge(self, text: str) -> None:
        """Add capacities that ``export`` returned, here or elsewhere.

        Raises
        ------
        pydantic.ValidationError
            If the text is invalid.
        """
        for service, capacities in _STORED.validate_json(text).items():
            for capacity in capacities:
                self.note(service, capacity)

    def export(self) -> str:
        """Return all known capacities as text in a deterministic order."""
        ordered = {
            service: sorted(capacities, key=_order)
            for service, capacities in sorted(self._capacities.items())
        }
        return _STORED.dump_json(ordered).decode()

    def check(
        self,
        service: str,
        specification: specification_module.Specification,
    ) -> None:
        """Raise an error that names each step that fits no instance.

        Raises
        ------
        persimmonsail.exceptions.JobInvalid
            If there is one; never while no instance is known.
        """
        capacities = self._capacities.get(service, set())
        if not capacities or len(capacities) >= MAX_KINDS:
            return
        findings = [
            f'steps[{index}].size: no instance of {service} is so large; '
            f'{_describe_largest(capacities)}'
            for index, step in enumerate(specification.steps)
            if not any(
                step.committed.fits(capacity) for capacity in capacities
            )
        ]
        if findings:
            raise exceptions.JobInvalid('; '.join(findings))


def _order(size: Size) -> tuple[int, int, int]:
    return size.millicores, size.memory_mib, size.accelerators


def _describe_largest(capacities: t.Iterable[Size]) -> str:
    largest = max(capacities, key=_order)
    return (
        f'the largest has {largest.millicores} millicores, '
        f'{largest.memory_mib} MiB, {largest.accelerators} accelerators'
    )


async def load(
    store: store_module.TransactionalStore, capacities: Capacities
) -> None:
    """Add the stored capacities, if they can be read."""
    try:
        item = await store.get(record.CAPACITIES)
    except exceptions.StoreUnavailable as error:
        logs.write_event('capacities-unheard', error=error)
        return
    if item is None:
        return
    before = capacities.export()
    try:
        capacities.merge(item.value)
    except pydantic.ValidationError as error:
        # Written by another version; the leader overwrites it.
        logs.write_warning('capacities-unreadable', error=error)
    after = capacities.export()
    if after != before:
        logs.write_event(
            'capacities-known', revision=item.revision, services=after
        )


async def run_read_loop(
    store: store_module.TransactionalStore,
    capacities: Capacities,
    period_seconds: float = _READ_PERIOD_SECONDS,
) -> None:
    """Read the stored capacities periodically."""
    while True:
        await load(store, capacities)
        await anyio.sleep(period_seconds)


async def run_save_loop(
    store: store_module.TransactionalStore,
    fleet: t.Mapping[str, instances.Instance],
    period_seconds: float = _SAVE_PERIOD_SECONDS,
) -> None:
    """Save the capacities of a leader's instances whenever one is new."""
    capacities = Capacities()
    await load(store, capacities)
    saved = capacities.export()
    while True:
        for instance in fleet.values():
            if instance.boot:
                capacities.note(instance.service, instance.capacity)
        text = capacities.export()
        if text != saved:
            try:
                await store.put(record.CAPACITIES, text)
            except exceptions.StoreError as error:
                logs.write_event('capacities-unsaved', error=error)
            else:
                saved = text
                logs.write_event('capacities-saved', services=text)
        await anyio.sleep(period_seconds)
