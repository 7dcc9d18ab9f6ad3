from persimmonsail.bookkeeping import refsets
from persimmonsail import control_pb2
from tests import base


def make_refs(*names):
    return [control_pb2.TaskRef(task=name, attempt=1) for name in names]


class RefSetTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.writer = refsets.RefSetWriter()
        self.reader = refsets.RefSetReader()

    def renew(self, refs, reader=None):
        """Send one renewal; return its request and the tasks read."""
        request = control_pb2.RenewRequest(partition=3, incarnation='ab')
        self.writer.add_tasks(request, refs)
        received = control_pb2.RenewRequest.FromString(
            request.SerializeToString()
        )
        known = (reader or self.reader).restore(received)
        reply = control_pb2.RenewReply(accepted=known, resend=not known)
        self.writer.note_reply(request, reply)
        return request, list(received.tasks) if known else None

    def test_the_same_tasks_are_sent_once(self):
        refs = make_refs('a', 'b')
        first, _ = self.renew(refs)
        self.assertEqual(2, len(first.tasks))
        repeated, read = self.renew(refs)
        self.assertEqual(0, len(repeated.tasks))
        self.assertEqual(refs, read)

    def test_a_changed_set_is_sent_again(self):
        """A released task continues and is also started elsewhere.

        Its holder omits it from the next renewal; a sidecar that still
        used the old set would extend its lease.
        """
        self.renew(make_refs('a', 'b'))
        _, read = self.renew(make_refs('a'))
        self.assertEqual(make_refs('a'), read)
        _, read = self.renew([])
        self.assertEqual([], read)

    def test_a_sidecar_without_the_set_requests_it(self):
        """A task's lease expires although its holder renews it.

        Another holder has sent a set for the partition in between, or
        the sidecar has lost the set.
        """
        refs = make_refs('a', 'b')
        self.renew(refs)
        fresh = refsets.RefSetReader()
        _, read = self.renew(refs, fresh)
        self.assertIsNone(read)
        request, read = self.renew(refs, fresh)
        self.assertEqual(2, len(request.tasks))
        self.assertEqual(refs, read)

    def test_another_attempt_is_another_set(self):
        self.renew(make_refs('a'))
        later = [control_pb2.TaskRef(task='a', attempt=2)]
        request, read = self.renew(later)
        self.assertEqual(later, list(request.tasks))

    def test_active_states_are_dropped(self):
        reply = control_pb2.RenewReply()
        reply.states.add(task='a', phase=control_pb2.ACTIVE)
        reply.states.add(task='b', phase=control_pb2.ABSENT)
        refsets.drop_active(reply)
        self.assertEqual(['b'], [state.task for state in reply.states])
