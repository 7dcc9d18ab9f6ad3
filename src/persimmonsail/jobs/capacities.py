"""How large instances are: a step that fits none of them can't be served.

A step that is larger than any instance would wait for ever, and its
caller with it. The leader sees all instances and keeps their capacities
in the store; any entry reads them and refuses such a job at once. A
capacity that was seen once stays known: an instance that is away for now
may come back, and a job that can wait for it must not be refused.
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

# A new kind of instance is known to all entries after these two at the
# most; a job that needs it and comes sooner is refused for now.
_SAVE_SECONDS = 2.0
_READ_SECONDS = 10.0
# A fleet has a few kinds of instances. Should one have more, further
# ones are left out and no job is refused for its size any more.
MAX_KINDS = 64

Size = specification_module.Size
_STORED = pydantic.TypeAdapter(dict[str, list[Size]])


class Capacities:
    """The capacities of all instances that were ever seen, by service."""

    def __init__(self) -> None:
        self._known: dict[str, set[Size]] = {}

    def note(self, service: str, capacity: Size) -> None:
        """Note what an instance of a service has."""
        known = self._known.setdefault(service, set())
        if any(capacity.fits(other) for other in known):
            return
        # What fits a smaller one fits this one. Each size of a room that
        # shrinks and grows would be a kind of its own.
        known -= {other for other in known if other.fits(capacity)}
        if len(known) < MAX_KINDS:
            known.add(capacity)

    def merge(self, text: str) -> None:
        """Add what ``export`` returned, here or elsewhere.

        Raises
        ------
        pydantic.ValidationError
            If it is something else.
        """
        for service, found in _STORED.validate_json(text).items():
            for capacity in found:
                self.note(service, capacity)

    def export(self) -> str:
        """Return everything known as text, alike for alike knowledge."""
        ordered = {
            service: sorted(known, key=_order)
            for service, known in sorted(self._known.items())
        }
        return _STORED.dump_json(ordered).decode()

    def check(
        self,
        service: str,
        specification: specification_module.Specification,
    ) -> None:
        """Raise an error that names each step that no instance can hold.

        Raises
        ------
        persimmonsail.exceptions.JobInvalid
            If there is one; never while no instance is known.
        """
        known = self._known.get(service, set())
        if not known or len(known) >= MAX_KINDS:
            return
        findings = [
            f'steps[{index}].size: no instance of {service} is so large; '
            f'{_describe_largest(known)}'
            for index, step in enumerate(specification.steps)
            if not any(step.committed.fits(capacity) for capacity in known)
        ]
        if findings:
            raise exceptions.JobInvalid('; '.join(findings))


def _order(size: Size) -> tuple[int, int, int]:
    return size.millicores, size.memory_mib, size.accelerators


def _describe_largest(known: t.Iterable[Size]) -> str:
    largest = max(known, key=_order)
    return (
        f'the largest has {largest.millicores} millicores, '
        f'{largest.memory_mib} MiB, {largest.accelerators} accelerators'
    )


async def load(
    store: store_module.TransactionalStore, capacities: Capacities
) -> None:
    """Add what the store has, if it can be read."""
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
        # Of another version; the leader writes it anew.
        logs.write_warning('capacities-unreadable', error=error)
    after = capacities.export()
    if after != before:
        logs.write_event(
            'capacities-known', revision=item.revision, services=after
        )


async def keep_reading(
    store: store_module.TransactionalStore,
    capacities: Capacities,
    period_seconds: float = _READ_SECONDS,
) -> None:
    """Read what the leader has saved from time to time."""
    while True:
        await load(store, capacities)
        await anyio.sleep(period_seconds)


async def keep_saving(
    store: store_module.TransactionalStore,
    fleet: t.Mapping[str, instances.Instance],
    period_seconds: float = _SAVE_SECONDS,
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
