import socket

from persimmonsail import addresses
from tests import base


class AddressesTest(base.TestCase):
    def test_listening_socket_declares_tcp(self):
        """Every quick request takes 40 ms longer than its work.

        The event loop disables Nagle's algorithm only on sockets whose
        protocol is TCP; accepted sockets inherit it from the listening one.
        """
        sock = addresses.bind('127.0.0.1:0')
        self.addCleanup(sock.close)
        self.assertEqual(socket.IPPROTO_TCP, sock.proto)
        client = socket.create_connection(sock.getsockname())
        self.addCleanup(client.close)
        sock.setblocking(True)
        accepted, _ = sock.accept()
        self.addCleanup(accepted.close)
        self.assertEqual(socket.IPPROTO_TCP, accepted.proto)
