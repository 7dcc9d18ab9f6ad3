import math
import time
import types

import anyio
import grpclib.server

from persimmonsail import addresses
from persimmonsail.catalogues import revisions
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import links
from persimmonsail.partitioning import partitions
from persimmonsail.partitioning import peers
from persimmonsail import settings
from persimmonsail.sidecars import attempts
from persimmonsail.sidecars import execution
from persimmonsail.sidecars import instance
from persimmonsail.sidecars import supervisor
from tests import base
from tests.catalogues import test_revisions

FRESHNESS = 60.0
SETTINGS = """\
[process]
name = {name}
region = piedmont
zone = piedmont-a
[store]
address = 127.0.0.1:1
[links]
heartbeat = 0.02
"""


class StubPeer(control_grpc.EntryBase):
    """An entry that returns a preset reply."""

    def __init__(self, reply: control_pb2.PeerReply) -> None:
        self.reply = reply
        self.asked = anyio.Event()

    async def Peer(self, stream):
        await stream.recv_message()
        await stream.send_message(self.reply)
        self.asked.set()
        self.asked = anyio.Event()

    async def Link(self, stream):
        raise NotImplementedError

    Submit = Query = Cancel = Status = Link


class PeersTest(base.TestCase):
    async def run_with_peer(self, reply, view, check):
        """Query one listed peer that sends this reply, then run a check."""
        stub = StubPeer(reply)
        server = grpclib.server.Server([stub])
        sock = addresses.bind('127.0.0.1:0')
        address = addresses.format_address(sock)
        await server.start(sock=sock)
        listed = {
            'one': partitions.LiveEntry('one', '127.0.0.1:1', 'a'),
            'two': partitions.LiveEntry('two', address, 'a'),
        }
        text = SETTINGS.format(name='one')
        with links.Links() as opened:
            found = peers.Peers(
                settings.parse('one.ini', text, 'entry'),
                view,
                opened,
                lambda: listed,
            )
            async with anyio.create_task_group() as group:
                group.start_soon(found.run)
                with anyio.fail_after(30):
                    await stub.asked.wait()
                    await stub.asked.wait()
                await check(found, listed)
                group.cancel_scope.cancel()
        server.close()
        await server.wait_closed()

    def make_view(self, revision: int = 1) -> revisions.View:
        view = revisions.View(FRESHNESS)
        head = test_revisions.make_head(revision)
        view.offer(head, 'poll')
        view.confirm(head, time.monotonic() - 1000)
        return view

    def make_reply(self, revision: int, age: float = math.inf, **fields):
        return control_pb2.PeerReply(
            entry='two', revision=revision, store_age_seconds=age, **fields
        )

    async def test_higher_revision_comes_from_a_peer(self):
        """An accepted edit is missing at one entry.

        Its watch delivers nothing and it cannot reach the store; another
        entry has the new revision.
        """
        view = self.make_view()
        head = revisions.dump_head(test_revisions.make_head(2))

        async def check(found, listed):
            self.assertEqual(2, view.revision)

        await self.run_with_peer(
            self.make_reply(2, 0.0, catalogue=head), view, check
        )

    async def test_peer_forwards_its_evidence(self):
        view = self.make_view()

        async def check(found, listed):
            self.assertTrue(view.is_fresh)

        await self.run_with_peer(self.make_reply(1, 0.5), view, check)

    async def test_old_evidence_of_a_peer_is_as_old_here(self):
        view = self.make_view()

        async def check(found, listed):
            self.assertFalse(view.is_fresh)

        await self.run_with_peer(
            self.make_reply(1, FRESHNESS + 1), view, check
        )

    async def test_all_entries_vouch_in_an_outage_of_the_store(self):
        view = self.make_view()

        async def check(found, listed):
            view.find_peer_evidence = found.find_confirmed_since
            self.assertTrue(view.is_fresh)
            listed['three'] = partitions.LiveEntry('three', '[::1]:1', 'a')
            self.assertFalse(view.is_fresh)

        await self.run_with_peer(
            self.make_reply(1, established=True), view, check
        )

    async def test_restarted_peer_can_not_vouch(self):
        """An accepted edit is lost.

        In a store outage, the only entry that has read it dies before it
        informs the others. After its restart it has no state, and its
        reply must not let them continue under the replaced revision.
        """
        view = self.make_view()

        async def check(found, listed):
            self.assertEqual(-math.inf, found.find_confirmed_since())

        await self.run_with_peer(
            self.make_reply(0, established=False), view, check
        )

    async def test_entry_unknown_to_the_store_can_not_agree_alone(self):
        view = self.make_view()

        async def check(found, listed):
            del listed['one']
            self.assertEqual(-math.inf, found.find_confirmed_since())

        await self.run_with_peer(
            self.make_reply(1, established=True), view, check
        )

    async def test_peer_with_a_higher_revision_does_not_confirm(self):
        """An entry admits work under a replaced catalogue.

        It cannot reach the store; its only peer has a newer revision,
        whose text it has not received.
        """
        view = self.make_view()

        async def check(found, listed):
            self.assertEqual(1, view.revision)
            self.assertEqual(-math.inf, found.find_confirmed_since())

        await self.run_with_peer(
            self.make_reply(2, established=True), view, check
        )


class SidecarRevisionTest(base.TestCase):
    """A replaced limit admits work again.

    The sidecar restarts and loses the highest revision; an entry that
    has missed an accepted change sends the old one.
    """

    async def execute(self, own, revision):
        request = control_pb2.ExecuteRequest(
            attempt='a',
            incarnation=own.incarnation,
            revision=revision,
            issued_ms=attempts.read_clock(),
        )
        limits = settings.Sidecar(
            entries='a:1', worker='a:1', service='s', backend='a:1', queue=0
        )
        async with anyio.create_task_group() as group:
            executor = execution.Executor(own, None, limits, group)
            return await executor.execute(request)

    async def start(self, own, revision):
        request = control_pb2.StartTaskRequest(
            task='t',
            attempt=1,
            incarnation=own.incarnation,
            revision=revision,
            boot='b',
            ticket=time.monotonic(),
            lease_seconds=60.0,
        )
        worker = types.SimpleNamespace(boot='b')
        return await supervisor.Supervisor(own, worker).start(request)

    async def test_nothing_is_admitted_before_a_fresh_notice(self):
        own = instance.OwnInstance(max_evidence_age=FRESHNESS)
        for admit in (self.execute, self.start):
            reply = await admit(own, 1)
            self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
            self.assertIn('no entry confirms', reply.reason)
            self.assertEqual(0, own.revision)

    async def test_lower_revision_is_refused_after_a_notice(self):
        own = instance.OwnInstance(max_evidence_age=FRESHNESS)
        own.record_confirmation(time.monotonic(), time.monotonic())
        own.record_revision(2)
        for admit in (self.execute, self.start):
            reply = await admit(own, 1)
            self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
            self.assertEqual('stale revision', reply.reason)


class OwnInstanceTest(base.TestCase):
    def test_restarted_sidecar_waits_for_a_fresh_entry(self):
        own = instance.OwnInstance(max_evidence_age=2.0)
        self.assertIn('no entry confirms', own.find_staleness())
        own.record_confirmation(time.monotonic(), time.monotonic())
        self.assertEqual('', own.find_staleness())

    def test_word_of_an_entry_grows_old(self):
        own = instance.OwnInstance(max_evidence_age=2.0)
        own.record_confirmation(time.monotonic() - 3.0, time.monotonic())
        self.assertIn('no entry confirms', own.find_staleness())

    def test_evidence_older_than_the_sidecar_is_not_enough(self):
        """A sidecar returns to a lower revision.

        Before its restart, one entry informed it of a change. After the
        restart, another entry is first, which has not received the change
        yet and still counts as fresh.
        """
        own = instance.OwnInstance(max_evidence_age=2.0)
        now = time.monotonic()
        own.record_confirmation(now, own.started_at - 0.1)
        self.assertIn('since the start', own.find_staleness())
        own.record_confirmation(now, own.started_at)
        self.assertEqual('', own.find_staleness())
