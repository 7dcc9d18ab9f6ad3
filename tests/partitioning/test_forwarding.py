import time
import types

from persimmonsail.bookkeeping import tasks
from persimmonsail.catalogues import revisions
from persimmonsail import control_pb2
from persimmonsail.partitioning import forwarding
from tests import base
from tests.catalogues import test_revisions

FRESHNESS = 60.0


class StubHolder:
    """Accepts every submitted task."""

    ready = True

    def __init__(self, *known_tasks: str) -> None:
        self.table = tasks.Table()
        for task in known_tasks:
            self.table.tasks[task] = self.make_task(task)

    def make_task(self, task):
        return tasks.Task(task, 'build', 'team', '{}', 1)

    async def submit(self, request):
        return self.make_task(request.task)


class SubmitHereTest(base.TestCase):
    def make_forwarder(self, view, *known_tasks):
        partitions = types.SimpleNamespace(held={0: StubHolder(*known_tasks)})
        entry = types.SimpleNamespace(partitions=partitions, view=view)
        return forwarding.TaskForwarder(entry)

    def make_view(self, age):
        view = revisions.View(FRESHNESS)
        text = test_revisions.TEXT + (
            '[workload build]\nowner = tallowford\nclass = batch\n'
            'cores = 1\nmemory-gb = 1\n'
        )
        head = test_revisions.make_head(1, text)
        view.offer(head, 'poll')
        view.confirm(head, time.monotonic() - age)
        return view

    def make_request(self, revision=1):
        return control_pb2.SubmitRequest(
            task='t', workload='build', payload=b'{}', revision=revision
        )

    async def test_holder_without_evidence_accepts_nothing(self):
        """A task is accepted under an outdated quota.

        The entry that the caller reached is up to date; the one that
        holds the partition reaches neither store nor peers.
        """
        forwarder = self.make_forwarder(self.make_view(FRESHNESS + 1))
        reply = await forwarder.submit_local(self.make_request())
        self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
        self.assertIn('neither store nor peers', reply.reason)
        self.assertGreater(reply.retry_after_seconds, 0)

    async def test_holder_with_a_lower_revision_accepts_nothing(self):
        forwarder = self.make_forwarder(self.make_view(0))
        reply = await forwarder.submit_local(self.make_request(2))
        self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
        self.assertIn('does not know the revision', reply.reason)
        reply = await forwarder.submit_local(self.make_request(1))
        self.assertTrue(reply.accepted)

    async def test_known_task_is_never_called_not_run(self):
        """A caller gets 'not run' for a build that has run.

        It repeats its request with the same key while the holder has no
        evidence of the current revision; the build was accepted earlier.
        """
        view = self.make_view(FRESHNESS + 1)
        forwarder = self.make_forwarder(view, 't')
        reply = await forwarder.submit_local(self.make_request())
        self.assertTrue(reply.accepted)
