import contextlib
import re
import time

import anyio
import anyio.abc
import testtools

from persimmonsail import exceptions
from persimmonsail import httpclient
from tests import base

OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
CHUNKED = (
    b'HTTP/1.1 409 Conflict\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nno\r\n3\r\npe!\r\n0\r\n\r\n'
)
TRUNCATED = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhal'


class ScriptedService:
    """Answers each request with the next of the given replies.

    ``None`` closes the connection, a float delays the next reply by that
    many seconds, and a tuple is sent part by part; floats in it are pauses.
    """

    def __init__(self, *replies):
        self.replies = list(replies)
        self.connections = 0
        self.requests = []

    async def serve(self, stream):
        self.connections += 1
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            async with stream:
                while self.replies:
                    if not await self.answer(stream):
                        return

    async def answer(self, stream):
        request = b''
        while b'\r\n\r\n' not in request:
            request += await stream.receive()
        self.requests.append(request)
        reply = self.replies.pop(0)
        if isinstance(reply, float):
            await anyio.sleep(reply)
            reply = self.replies.pop(0)
        if reply is None:
            return False
        if isinstance(reply, tuple):
            await self.send_parts(stream, reply)
            return True
        await stream.send(reply)
        return reply != TRUNCATED

    async def send_parts(self, stream, parts):
        for part in parts:
            if isinstance(part, float):
                await anyio.sleep(part)
            else:
                await stream.send(part)


class HttpClientTest(base.TestCase):
    @contextlib.asynccontextmanager
    async def open(self, *replies, timeout=1.0):
        service = ScriptedService(*replies)
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        client = httpclient.Client(f'127.0.0.1:{port}', timeout)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, service.serve)
            yield client, service
            await client.close()
            group.cancel_scope.cancel()
        await listener.aclose()

    async def test_sequential_calls_share_a_connection(self):
        async with self.open(OK, CHUNKED, OK) as (client, service):
            first = await client.call('GET', '/v1/one?key=a')
            self.assertEqual(httpclient.Response(200, b'ok'), first)
            second = await client.call(
                'POST', '/v1/two', {'a': 1}, {'Expected-Instance': 'i-1'}
            )
            self.assertEqual(httpclient.Response(409, b'nope!'), second)
            await client.call('DELETE', '/v1/three')
            self.assertEqual(1, service.connections)
            self.assertIn(b'Expected-Instance: i-1', service.requests[1])
            self.assertTrue(service.requests[1].endswith(b'{"a":1}'))

    async def test_a_call_for_a_peer_needs_a_confirmed_connection(self):
        """A call is executed by the process that replaced its peer."""
        async with self.open(OK, OK) as (client, service):
            with testtools.ExpectedException(exceptions.PeerUnconfirmed):
                await client.call('GET', '/v1/one', peer='p')
            self.assertEqual([], service.requests)
            client.confirm_peer(await client.call('GET', '/v1/one'), 'p')
            await client.call('GET', '/v1/two', peer='p')
            with testtools.ExpectedException(exceptions.PeerUnconfirmed):
                await client.call('GET', '/v1/three', peer='q')
            self.assertEqual(1, service.connections)

    async def test_an_unanswered_call_ends_all_connections_to_its_peer(self):
        """A replaced peer is noticed only after many timeouts."""
        async with self.open(0.1, OK, OK, None) as (client, service):

            async def connect():
                client.confirm_peer(await client.call('GET', '/v1/one'), 'p')

            async with anyio.create_task_group() as group:
                group.start_soon(connect)
                group.start_soon(connect)
            self.assertEqual(2, service.connections)
            with testtools.ExpectedException(exceptions.ServiceUnanswered):
                await client.call('GET', '/v1/two', peer='p')
            with testtools.ExpectedException(exceptions.PeerUnconfirmed):
                await client.call('GET', '/v1/three', peer='p')

    async def test_an_unanswered_call_ends_all_older_connections(self):
        """Each silent connection costs one timeout after the other.

        All connections to a service went silent at one moment. Those on
        which something came since the unanswered call are kept.
        """
        replies = [(0.1, OK)] * 3 + [(0.6, OK), OK, OK]
        async with self.open(*replies, timeout=0.3) as (client, service):
            async with anyio.create_task_group() as group:
                for _ in range(3):
                    group.start_soon(client.call, 'GET', '/')
            self.assertEqual(3, service.connections)
            async with anyio.create_task_group() as group:
                group.start_soon(self.expect_timeout, client)
                await anyio.sleep(0.1)
                # On the second connection, after the first call was sent.
                await client.call('GET', '/')
            self.assertEqual(1, len(client._idle))
            await client.call('GET', '/')
            self.assertEqual(3, service.connections)

    async def expect_timeout(self, client):
        with testtools.ExpectedException(exceptions.ServiceUnanswered):
            await client.call('GET', '/')

    async def test_an_answer_may_come_slowly_and_not_stop(self):
        """A long response over a slow link can never be read completely.

        The timeout applied to the whole response, although data kept
        arriving. A response that stalls still times out.
        """
        head = b'HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n'
        slow = (head, *(part for i in range(6) for part in (0.2, b'x')))
        async with self.open(slow, timeout=0.5) as (client, _):
            answer = await client.call('GET', '/v1/one')
            self.assertEqual(b'xxxxxx', answer.content)
        stopped = (head, 0.2, b'xx', 5.0, b'xxxx')
        async with self.open(stopped, timeout=0.5) as (client, _):
            with testtools.ExpectedException(
                exceptions.ServiceUnanswered, '.* after 40 bytes, .*'
            ):
                await client.call('GET', '/v1/one')

    async def test_data_that_came_during_a_standstill_is_read(self):
        """A call fails although its answer kept coming.

        The process stood still for most of the limit between two parts.
        """
        head = b'HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n'
        slow = (head, *(part for i in range(6) for part in (0.2, b'x')))
        async with self.open(slow, timeout=0.5) as (client, _):
            async with anyio.create_task_group() as group:
                group.start_soon(self.stand_still, 0.28, 0.45)
                answer = await client.call('GET', '/v1/one')
        self.assertEqual(b'xxxxxx', answer.content)

    async def stand_still(self, after, seconds):
        await anyio.sleep(after)
        time.sleep(seconds)  # noqa: ASYNC251

    async def test_an_answer_that_never_ends_is_given_up(self):
        endless = b'HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n'
        parts = (endless, *(part for i in range(99) for part in (0.05, b'x')))
        async with self.open(parts, timeout=0.2) as (client, _):
            client.max_call_seconds = 0.6
            with testtools.ExpectedException(exceptions.ServiceUnanswered):
                await client.call('GET', '/v1/one')

    async def test_an_error_tells_whose_the_time_was(self):
        """Operators can't tell a slow service from a blocked process.

        Both show up as a call without a response, but only the first is a
        fault of the service.
        """
        async with self.open(5.0, 5.0, OK, OK, timeout=0.2) as (client, _):
            service_delay = await self.read_detection_delay(client)
            async with anyio.create_task_group() as group:
                group.start_soon(self.block_loop, 1.0)
                blocked_delay = await self.read_detection_delay(client)
        self.assertLess(service_delay, blocked_delay)
        self.assertGreater(blocked_delay, 0.8)

    async def read_detection_delay(self, client):
        """Return how long after its deadline a call detected the timeout."""
        try:
            await client.call('GET', '/v1/one')
        except exceptions.ServiceUnanswered as error:
            return float(re.search(r'([\d.]+) s late', str(error))[1])
        raise AssertionError('the call did not time out')

    async def block_loop(self, seconds):
        """Block the event loop."""
        await anyio.sleep(0.1)
        time.sleep(seconds)  # noqa: ASYNC251

    async def test_concurrent_calls_do_not_wait_for_each_other(self):
        async with self.open(0.3, OK, OK) as (client, service):
            async with anyio.create_task_group() as group:
                group.start_soon(client.call, 'GET', '/slow')
                await anyio.sleep(0.05)
                with anyio.fail_after(0.2):
                    await client.call('GET', '/quick')
            self.assertEqual(2, service.connections)

    async def test_a_closed_connection_is_not_reused(self):
        """An order gets no response although the worker's agent is healthy.

        The order was sent on an idle connection that the agent had closed.
        """
        async with self.open(OK, None, OK) as (client, service):
            await client.call('GET', '/')
            stream = client._idle[0]._stream
            await stream.send(b'GET / HTTP/1.1\r\n\r\n')
            await anyio.sleep(0.05)
            answer = await client.call('GET', '/')
            self.assertEqual(200, answer.status)
            self.assertEqual(2, service.connections)

    async def test_unsent_and_unanswered_requests_raise_different_errors(self):
        """An order that was never sent is blocked until its lease expires."""
        async with self.open(None, TRUNCATED, 0.5, OK, timeout=0.2) as (
            client,
            _,
        ):
            for _ in range(3):
                with self.assertRaises(exceptions.ServiceUnanswered):
                    await client.call('POST', '/', {})
            self.assertEqual([], client._idle)
        with self.assertRaises(exceptions.ServiceNotReached):
            await client.call('GET', '/')

    async def test_a_late_response_is_not_returned_to_the_next_call(self):
        """A poll returns the response to an earlier request.

        A call was cancelled while waiting, and its response was delivered
        to the next call on the same connection.
        """
        late_response = OK.replace(b'ok', b'xx')
        async with self.open(0.1, late_response, OK) as (client, service):
            with anyio.move_on_after(0.05):
                await client.call('GET', '/first')
            await anyio.sleep(0.1)
            answer = await client.call('GET', '/second')
            self.assertEqual(b'ok', answer.content)
            self.assertEqual(2, service.connections)

    async def test_a_response_that_is_not_http_is_an_error(self):
        async with self.open(b'\x00\x01garbage\r\n\r\n') as (client, _):
            with self.assertRaises(exceptions.ServiceUnanswered):
                await client.call('GET', '/')

    async def test_an_answer_at_the_very_limit_is_no_answer(self):
        """An entry answers a read with 500 and an empty body.

        Its call to the store reached the deadline just as data arrived and
        extended the deadline: the call was cancelled, but was treated as
        completed, without a response.
        """
        deadline = httpclient._Deadline(30.0, 60.0)

        async def call():
            with deadline.enforce():
                deadline._scope.cancel()
                deadline.note_data(1)
                await anyio.sleep(0.0)

        with self.assertRaises(TimeoutError):
            await call()
