"""What entries tell each other of the instances in their zones.

A sidecar is linked only to the entries of its own zone: linked to all,
each entry would carry the whole fleet's heartbeats. Entries of other
zones ask one of them now and then, and get what changed. Loads are
compared in coarse steps, because a far instance is chosen only when no
near one fits, and its sidecar decides in the end.
"""

import dataclasses
import typing as t
import uuid

import anyio

from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import fleet as fleet_module
from persimmonsail import links as links_module
from persimmonsail import logs
from persimmonsail import partitions
from persimmonsail import reports

PERIOD = 3.0
_TIMEOUT = 1.0
_LOAD_STEPS = 8
_SILENT_PERIODS = 4


@dataclasses.dataclass
class _Line:
    """One instance of the digest, since which version it is so."""

    report: control_pb2.SidecarReport
    version: int
    gone: bool = False


class DigestSource:
    """Keeps the digest of the instances linked to this entry."""

    def __init__(self, fleet: fleet_module.Fleet, zone: str) -> None:
        self._fleet = fleet
        self._zone = zone
        self._name = uuid.uuid4().hex
        self._version = 0
        self._lines: dict[str, _Line] = {}

    def describe(
        self, query: control_pb2.DigestQuery
    ) -> control_pb2.DigestReply:
        """Return what changed since the asker's digest."""
        self._update()
        reply = control_pb2.DigestReply(
            source=self._name, version=self._version
        )
        known = query.version if query.source == self._name else 0
        for name, line in self._lines.items():
            if line.version <= known:
                continue
            if line.gone:
                reply.gone.append(name)
            else:
                reply.reports.append(line.report)
        return reply

    def _update(self) -> None:
        live = {
            instance.name: instance.report
            for instance in self._fleet.list_linked()
            if instance.zone == self._zone
        }
        self._version += 1
        for name, report in live.items():
            line = self._lines.get(name)
            if line is None or line.gone or _differs(line.report, report):
                self._lines[name] = _Line(report, self._version)
        for name, line in self._lines.items():
            if name not in live and not line.gone:
                self._lines[name] = _Line(line.report, self._version, True)


def _differs(
    before: control_pb2.SidecarReport, after: control_pb2.SidecarReport
) -> bool:
    return (
        reports.strip(before) != reports.strip(after)
        or before.revision != after.revision
        or _coarsen(before) != _coarsen(after)
    )


def _coarsen(report: control_pb2.SidecarReport) -> tuple[int, ...]:
    committed, capacity = report.load.committed, report.capacity
    return (
        _to_step(committed.cores, capacity.cores),
        _to_step(committed.memory_gb, capacity.memory_gb),
        committed.accelerators,
    )


def _to_step(part: float, whole: float) -> int:
    return round(part / whole * _LOAD_STEPS) if whole else 0


class DigestFollower:
    """Asks one entry of each other zone, until cancelled.

    Parameters
    ----------
    zone : str
        This entry's own zone, of which it needs no digest.
    list_entries : callable
        Returns the live entries by name, as last read from the store.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        fleet: fleet_module.Fleet,
        links: links_module.Links,
        list_entries: t.Callable[[], dict[str, partitions.LiveEntry]],
    ) -> None:
        self._name = name
        self._zone = zone
        self._fleet = fleet
        self._links = links
        self._list_entries = list_entries
        self._known: dict[str, control_pb2.DigestQuery] = {}
        self._names: dict[str, set[str]] = {}

    async def run(self) -> None:
        """Follow every other zone."""
        while True:
            async with anyio.create_task_group() as group:
                for entry in self._choose_entries():
                    group.start_soon(self._ask, entry)
            await anyio.sleep(PERIOD)

    def _choose_entries(self) -> t.Iterator[partitions.LiveEntry]:
        by_zone: dict[str, dict[str, partitions.LiveEntry]] = {}
        for entry in self._list_entries().values():
            if entry.zone != self._zone:
                by_zone.setdefault(entry.zone, {})[entry.name] = entry
        for zone, entries in by_zone.items():
            # Each asker weighs by its own name, which spreads askers.
            chosen = partitions.prefer_entry(f'{zone}/{self._name}', entries)
            yield entries[chosen]

    async def _ask(self, entry: partitions.LiveEntry) -> None:
        query = self._known.get(entry.zone, control_pb2.DigestQuery())
        try:
            reply = await self._links.call(
                entry.control,
                control_grpc.EntryStub,
                'Digest',
                query,
                _TIMEOUT,
            )
        except exceptions.LinkLost as error:
            logs.write_event('digest-failed', zone=entry.zone, error=error)
            return
        self._note(entry.zone, query, reply)

    def _note(
        self,
        zone: str,
        query: control_pb2.DigestQuery,
        reply: control_pb2.DigestReply,
    ) -> None:
        names = self._names.setdefault(zone, set())
        if reply.source != query.source:
            names.clear()
        for report in reply.reports:
            names.add(report.instance)
            self._fleet.note_far(report)
        names.difference_update(reply.gone)
        silence = PERIOD * _SILENT_PERIODS
        for name in names:
            self._fleet.confirm_far(name, silence)
        self._known[zone] = control_pb2.DigestQuery(
            source=reply.source, version=reply.version
        )
