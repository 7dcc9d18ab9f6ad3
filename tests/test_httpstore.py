import contextlib

import anyio
import anyio.abc
from starlette import applications
from starlette import responses
from starlette import routing

from persimmonsail import addresses
from persimmonsail import exceptions
from persimmonsail import httpserver
from persimmonsail import httpstore
from persimmonsail import store as store_module
from standins import store as store_stand_in
from tests import base
from tests import conformance


class HttpStoreTest(conformance.StoreConformance):
    @contextlib.asynccontextmanager
    async def open_store(self):
        store_server = store_stand_in.StoreServer()
        async with httpserver.HttpServer(
            store_server.app, '127.0.0.1:0', drain=0.1
        ) as server:
            async with anyio.create_task_group() as group:
                group.start_soon(store_server.expire_leases)
                store = httpstore.HttpStore(server.address, 20.0)
                yield store, store_server.memory
                await store.close()
                group.cancel_scope.cancel()


class InvalidResponseTest(base.TestCase):
    """Something other than the store responds, or nothing does."""

    async def check_unavailable(self, body: str, status: int = 200):
        async def respond(request):
            return responses.PlainTextResponse(body, status)

        app = applications.Starlette(
            routes=[routing.Route('/v1/{n:path}', respond, methods=['POST'])]
        )
        async with httpserver.HttpServer(
            app, '127.0.0.1:0', drain=0.1
        ) as server:
            store = httpstore.HttpStore(server.address, 20.0)
            for call, arguments in (
                (store.get, ('a',)),
                (store.scan, ('a',)),
                (store.put, ('a', 'x')),
                (store.grant_lease, (1.0,)),
                (store.watch, ('a', 0, 0.0)),
            ):
                try:
                    await call(*arguments)
                    self.fail(f'{call.__name__} accepted {body!r}')
                except exceptions.StoreUnavailable:
                    pass
            await store.close()

    async def test_invalid_json(self):
        await self.check_unavailable('<html>welcome</html>')

    async def test_json_with_another_schema(self):
        await self.check_unavailable('{"items": [{"key": 1}], "item": 7}')

    async def test_server_error(self):
        await self.check_unavailable('{}', 500)

    async def test_conflict_without_a_revision(self):
        await self.check_unavailable('oops', 409)

    async def test_connection_refused(self):
        sock = addresses.bind('127.0.0.1:0')
        address = addresses.format_address(sock)
        sock.close()
        store = httpstore.HttpStore(address, 20.0)
        try:
            await store.get('a')
            self.fail('got a response although nothing listens')
        except exceptions.StoreUnavailable:
            pass
        finally:
            await store.close()

    async def test_response_timeout(self):
        async def respond(request):
            await anyio.sleep_forever()

        app = applications.Starlette(
            routes=[routing.Route('/v1/get', respond, methods=['POST'])]
        )
        async with httpserver.HttpServer(
            app, '127.0.0.1:0', drain=0.1
        ) as server:
            store = httpstore.HttpStore(server.address, 0.05)
            try:
                await store.get('a')
                self.fail('got a response that was never sent')
            except exceptions.StoreUnavailable as error:
                self.assertIn('ReadTimeout', str(error))
            finally:
                await store.close()


class IdleConnectionTest(base.TestCase):
    async def test_idle_connections_are_not_reused_near_the_server_timeout(
        self,
    ):
        """A write gets no response, so its holder can't know its outcome.

        The store closes connections that were idle for 5 s, just as the next
        call is sent on one.
        """
        connections = 0

        async def serve(stream):
            nonlocal connections
            connections += 1
            body = b'{"item": null}'
            head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
            async with stream:
                with contextlib.suppress(anyio.EndOfStream):
                    while await stream.receive():
                        await stream.send(head % len(body) + body)

        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            store = httpstore.HttpStore(f'127.0.0.1:{port}', 5.0)
            for idle_seconds in (0.0, 4.2):
                await anyio.sleep(idle_seconds)
                await store.get('key')
            await store.close()
            group.cancel_scope.cancel()
        self.assertEqual(2, connections)


class StoreKindsTest(base.TestCase):
    def test_unknown_kind_error_lists_the_allowed_ones(self):
        error = self.assertRaises(
            exceptions.UnknownKind, store_module.open_adapter, 'etch', 'a:1', 1
        )
        self.assertIn("'etch'; allowed: http, platform", str(error))
