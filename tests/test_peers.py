import math
import time

import anyio
import grpclib.server

from persimmonsail import addresses
from persimmonsail import control_grpc
from persimmonsail import control_pb2
from persimmonsail import instance
from persimmonsail import links
from persimmonsail import partitions
from persimmonsail import peers
from persimmonsail import revisions
from persimmonsail import settings
from tests import base
from tests import test_revisions

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
    """An entry that answers what a test tells it to."""

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
        """Follow one listed peer that answers so, then run a check."""
        stub = StubPeer(reply)
        server = grpclib.server.Server([stub])
        sock = addresses.bind('127.0.0.1:0')
        address = addresses.name_of(sock)
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

        Its watch is silent and it can't reach the store; another entry
        has the new revision.
        """
        view = self.make_view()
        head = revisions.dump_head(test_revisions.make_head(2))

        async def check(found, listed):
            self.assertEqual(2, view.revision)

        await self.run_with_peer(
            self.make_reply(2, 0.0, catalogue=head), view, check
        )

    async def test_peer_passes_its_evidence_on(self):
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
            view.witness = found.find_agreement
            self.assertTrue(view.is_fresh)
            listed['three'] = partitions.LiveEntry('three', '[::1]:1', 'a')
            self.assertFalse(view.is_fresh)

        await self.run_with_peer(
            self.make_reply(1, established=True), view, check
        )

    async def test_restarted_peer_can_not_vouch(self):
        """An accepted edit is forgotten.

        In an outage, the only entry that has read it dies before it
        tells anybody. Restarted, it knows nothing, and its empty word
        must not let the others serve on under the replaced revision.
        """
        view = self.make_view()

        async def check(found, listed):
            self.assertEqual(-math.inf, found.find_agreement())

        await self.run_with_peer(
            self.make_reply(0, established=False), view, check
        )

    async def test_entry_unknown_to_the_store_can_not_agree_alone(self):
        view = self.make_view()

        async def check(found, listed):
            del listed['one']
            self.assertEqual(-math.inf, found.find_agreement())

        await self.run_with_peer(
            self.make_reply(1, established=True), view, check
        )


class OwnInstanceTest(base.TestCase):
    def test_restarted_sidecar_waits_for_a_fresh_entry(self):
        """A replaced limit admits work again.

        The sidecar restarts and forgets the highest revision; an entry
        that slept through an accepted change sends the old one.
        """
        own = instance.OwnInstance(notice_limit=2.0)
        self.assertIn('no entry confirms', own.find_staleness())
        own.note_fresh(time.monotonic())
        self.assertEqual('', own.find_staleness())

    def test_word_of_an_entry_grows_old(self):
        own = instance.OwnInstance(notice_limit=2.0)
        own.note_fresh(time.monotonic() - 3.0)
        self.assertIn('no entry confirms', own.find_staleness())
