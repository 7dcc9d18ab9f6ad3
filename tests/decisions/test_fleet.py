from persimmonsail import control_pb2
from persimmonsail.decisions import fleet
from tests import base


def make_report(name: str = 'one', **fields) -> control_pb2.SidecarReport:
    values = {
        'instance': name,
        'incarnation': 'first',
        'service': 'planning',
        'clock_ms': 1000,
        **fields,
    }
    return control_pb2.SidecarReport(**values)


class FleetTest(base.TestCase):
    def test_requests_in_flight_are_decremented_after_a_report(self):
        """An instance must not get ever less work from one entry.

        When a report arrives while a request is in flight, the request
        must decrement the counter that the entry goes on reading.
        """
        instances = fleet.Fleet(60)
        instance = instances.note_report(make_report())
        instance.outstanding += 1
        instances.note_report(make_report(clock_ms=2000))
        instance.outstanding -= 1
        self.assertEqual(0, instances.find('one').outstanding)

    def test_late_report_or_reply_changes_nothing(self):
        instances = fleet.Fleet(60)
        instances.note_report(make_report(clock_ms=2000, leaving=True))
        instances.note_report(make_report(clock_ms=1000, leaving=False))
        self.assertTrue(instances.find('one').leaving)
        late_reply = control_pb2.ExecuteReply(clock_ms=9000)
        instances.note_reply('one', 'before', late_reply)
        self.assertEqual(2000, instances.find('one').clock_ms)

    def test_instance_of_a_leaving_backend_server_gets_tasks(self):
        instances = fleet.Fleet(60)
        instances.note_report(make_report(backend_leaving=True))
        self.assertEqual([], instances.list_live('planning'))
        self.assertEqual(1, len(instances.list_live()))

    def test_instance_without_reports_is_removed(self):
        instances = fleet.Fleet(0.0, retention=0.0)
        instances.note_report(make_report('gone'))
        instances.note_report(make_report('busy')).outstanding = 1
        instances.note_report(make_report('here'))
        names = [instance.name for instance in instances.list_all()]
        self.assertEqual(['busy', 'here'], names)
