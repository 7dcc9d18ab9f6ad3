import testtools

from persimmonsail import control_pb2
from persimmonsail import exceptions
from persimmonsail import pacing
from persimmonsail import reports
from persimmonsail import settings
from tests import base


def make_report(sequence: int, **fields) -> control_pb2.SidecarReport:
    report = control_pb2.SidecarReport(
        instance='one',
        zone='piedmont-a',
        address='127.0.0.1:7',
        incarnation='ab' * 16,
        sequence=sequence,
        clock_ms=1000 + sequence,
        **fields,
    )
    report.load.committed.cores = 8
    return report


class ReportTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.writer = reports.ReportWriter()
        self.reader = reports.ReportReader()

    def send(self, report):
        sent = self.writer.shorten(report)
        received = control_pb2.SidecarReport.FromString(
            sent.SerializeToString()
        )
        self.assertEqual(report, self.reader.restore(received))
        return sent

    def test_an_unchanged_report_is_a_few_bytes(self):
        self.send(make_report(1))
        self.assertLess(self.send(make_report(2)).ByteSize(), 12)

    def test_a_changed_load_is_sent_and_nought_is_a_load(self):
        self.send(make_report(1))
        changed = make_report(2)
        changed.load.committed.cores = 0
        changed.load.busy_slots = 3
        sent = self.send(changed)
        self.assertEqual('', sent.instance)
        idle = make_report(3)
        idle.load.Clear()
        self.send(idle)

    def test_any_other_change_is_sent_in_full(self):
        """A leaving instance gets new work.

        Its sidecar says so on a link that carries only changes; a form
        that left out what it does not know would lose the news.
        """
        self.send(make_report(1))
        sent = self.send(make_report(2, leaving=True))
        self.assertEqual('one', sent.instance)
        self.send(make_report(3))

    def test_a_stream_may_not_begin_with_a_short_report(self):
        short = control_pb2.SidecarReport(sequence=4)
        with testtools.ExpectedException(exceptions.LinkLost):
            self.reader.restore(short)

    def test_lists_are_sent_again_only_when_they_change(self):
        writer = reports.NoticeWriter()

        def write(near, far):
            notice = control_pb2.EntryNotice(revision=1)
            return writer.shorten(notice, near, far, 0.5)

        self.assertEqual(['a', 'b'], list(write(['b', 'a'], ['c']).entries))
        self.assertEqual(2, write(['a', 'b'], ['c']).ByteSize())
        self.assertEqual(['a'], list(write(['a'], ['c']).entries))


class PacingTest(base.TestCase):
    def test_few_links_report_at_the_shortest_interval(self):
        self.assertEqual(0.5, pacing.choose_interval(11, 0.5))

    def test_reports_keep_to_a_number_a_second(self):
        interval = pacing.choose_interval(50, 0.5)
        self.assertLessEqual(50 / interval, pacing.REPORTS_PER_SECOND)

    def test_reports_stay_close_enough_for_the_catalogue(self):
        """Every instance of a large zone refuses all work.

        A sidecar trusts its revision for two seconds after an entry's
        word; the entry paced the reports further apart.
        """
        interval = pacing.choose_interval(10_000, 0.5)
        self.assertLess(interval, settings.Links().silence)

    def test_a_paced_link_is_not_taken_for_silent(self):
        interval = pacing.choose_interval(120, 0.5)
        self.assertGreater(pacing.choose_silence(interval, 2.0), 2 * interval)

    def test_only_open_links_are_counted(self):
        pace = pacing.Pace(2.0)
        with pace.track():
            self.assertEqual(0.5, pace.choose_interval())
        self.assertEqual(2.0, pace.choose_silence())
