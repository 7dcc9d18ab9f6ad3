"""Short forms of the messages on a link between sidecar and entry.

Each end remembers what it last sent or received on the stream. Only
changes are sent, so that an idle link carries proof of life and little
more. A stream delivers in order and once, so that both ends agree on
the last message; a new stream begins with the full form.
"""

import typing as t

from persimmonsail import control_pb2
from persimmonsail import exceptions

# These may grow from report to report; nought means unchanged.
_RISING = ('revision', 'clock_ms')
_FIELDS = control_pb2.SidecarReport.DESCRIPTOR.fields_by_name
_OWN_FIELDS = tuple(name for name in _RISING if name in _FIELDS)


class ReportWriter:
    """Shortens the reports of one stream, in the sidecar."""

    def __init__(self) -> None:
        self._sent = control_pb2.SidecarReport()

    def shorten(
        self, report: control_pb2.SidecarReport
    ) -> control_pb2.SidecarReport:
        """Return a report, reduced to what changed if that is possible."""
        sent, self._sent = self._sent, report
        if strip(sent) != strip(report):
            return report
        short = control_pb2.SidecarReport(sequence=report.sequence)
        for name in _OWN_FIELDS:
            if getattr(report, name) != getattr(sent, name):
                setattr(short, name, getattr(report, name))
        if report.load != sent.load:
            short.load.CopyFrom(report.load)
        return short


class ReportReader:
    """Restores the reports of one stream, in the entry."""

    def __init__(self) -> None:
        self._known = control_pb2.SidecarReport()

    def restore(
        self, report: control_pb2.SidecarReport
    ) -> control_pb2.SidecarReport:
        """Return the full form of a received report.

        Raises
        ------
        persimmonsail.exceptions.LinkLost
            If the stream did not begin with a full report.
        """
        if report.instance:
            self._known = report
            return report
        if not self._known.instance:
            raise exceptions.LinkLost('the stream began with a short report')
        full = control_pb2.SidecarReport()
        full.CopyFrom(self._known)
        full.sequence = report.sequence
        for name in _OWN_FIELDS:
            if value := getattr(report, name):
                setattr(full, name, value)
        if report.HasField('load'):
            full.load.CopyFrom(report.load)
        self._known = full
        return full


class NoticeWriter:
    """Shortens the notices of one stream, in the entry."""

    def __init__(self) -> None:
        self._entries: tuple[str, ...] = ()
        self._far_entries: tuple[str, ...] = ()
        self._interval = 0.0

    def shorten(
        self,
        notice: control_pb2.EntryNotice,
        entries: t.Iterable[str],
        far_entries: t.Iterable[str],
        interval: float,
    ) -> control_pb2.EntryNotice:
        """Add to a notice what differs from the last one."""
        near, far = tuple(sorted(entries)), tuple(sorted(far_entries))
        if (near, far) != (self._entries, self._far_entries):
            self._entries, self._far_entries = near, far
            notice.entries.extend(near)
            notice.far_entries.extend(far)
        if interval != self._interval:
            self._interval = interval
            notice.report_seconds = interval
        return notice


class EntryEnd:
    """The entry's end of one stream."""

    def __init__(self) -> None:
        self._reader = ReportReader()
        self._writer = NoticeWriter()
        self.restore = self._reader.restore
        self.shorten = self._writer.shorten


def strip(
    report: control_pb2.SidecarReport,
) -> control_pb2.SidecarReport:
    """Return a report without what changes from one to the next."""
    rest = control_pb2.SidecarReport()
    rest.CopyFrom(report)
    for name in ('load', 'sequence', *_OWN_FIELDS):
        rest.ClearField(name)
    return rest
