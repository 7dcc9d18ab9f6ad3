from persimmonsail import control_pb2
from persimmonsail import digests
from persimmonsail import fleet
from persimmonsail import partitions
from tests import base


def make_report(name: str, **fields) -> control_pb2.SidecarReport:
    report = control_pb2.SidecarReport(
        instance=name,
        zone=fields.pop('zone', 'piedmont-a'),
        address='127.0.0.1:7',
        incarnation='ab',
        clock_ms=1000,
        **fields,
    )
    report.capacity.cores = 64
    return report


def ask(source, asker, query):
    reply = source.describe(query)
    for report in reply.reports:
        asker.note_far(report)
    return reply, control_pb2.DigestQuery(
        source=reply.source, version=reply.version
    )


class DigestTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.near = fleet.Fleet(30.0)
        self.far = fleet.Fleet(30.0)
        self.source = digests.DigestSource(self.near, 'piedmont-a')
        self.near.note_report(make_report('one'))
        self.near.note_report(make_report('two'))
        self.near.note_report(make_report('far', zone='piedmont-b'))

    def test_first_answer_names_all_of_the_own_zone(self):
        ask(self.source, self.far, control_pb2.DigestQuery())
        names = {instance.name for instance in self.far.list_live()}
        self.assertEqual({'one', 'two'}, names)

    def test_only_what_changed_is_told_again(self):
        _, query = ask(self.source, self.far, control_pb2.DigestQuery())
        reply, query = ask(self.source, self.far, query)
        self.assertEqual(0, len(reply.reports))
        busy = make_report('two')
        busy.load.committed.cores = 32
        self.near.note_report(busy)
        reply, _ = ask(self.source, self.far, query)
        self.assertEqual(['two'], [r.instance for r in reply.reports])

    def test_a_leaving_instance_is_told_at_once(self):
        _, query = ask(self.source, self.far, control_pb2.DigestQuery())
        self.near.note_report(make_report('one', leaving=True))
        ask(self.source, self.far, query)
        names = {instance.name for instance in self.far.list_live()}
        self.assertEqual({'two'}, names)

    def test_another_source_begins_anew(self):
        _, query = ask(self.source, self.far, control_pb2.DigestQuery())
        other = digests.DigestSource(self.near, 'piedmont-a')
        reply, _ = ask(other, self.far, query)
        self.assertEqual(2, len(reply.reports))

    def test_what_the_sidecar_itself_says_goes_first(self):
        """Placement sees an old load.

        An instance is linked here, and another zone's entry, to which
        it was linked before, still tells what it knew.
        """
        busy = make_report('one')
        busy.load.committed.cores = 32
        self.far.note_report(busy)
        ask(self.source, self.far, control_pb2.DigestQuery())
        self.assertEqual(32, self.far.find('one').committed.cores)

    def test_a_far_clock_never_runs_ahead(self):
        """A quick request is refused as expired on a far instance.

        Its clock is told once and then no more, because its digest does
        not change; the asker reckons it on, behind the true one.
        """
        ask(self.source, self.far, control_pb2.DigestQuery())
        found = self.far.find('one')
        found.reported_at -= 10.0
        self.far.confirm_far('one', 12.0)
        self.assertGreater(found.clock_ms, 1000 + 9900)
        self.assertLess(found.clock_ms, 1000 + 10050)


class SplitTest(base.TestCase):
    def test_entries_are_split_by_zone(self):
        entries = [
            partitions.LiveEntry('a', 'a:1', 'piedmont-a'),
            partitions.LiveEntry('b', 'b:1', 'piedmont-b'),
        ]
        near, far = partitions.split_by_zone(entries, 'piedmont-b')
        self.assertEqual((['b:1'], ['a:1']), (near, far))
