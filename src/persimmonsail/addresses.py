"""Network addresses written as ``host:port``, and listening sockets."""

import re
import socket

# A host name or IP address, and a port.
PATTERN = r'^[0-9A-Za-z.\-\[\]:]+:\d{1,5}$'
MAX_PORT = 65535
_LISTEN_BACKLOG = 512


def split(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def check(address: str) -> None:
    """Validate an address from an untrusted source.

    Raises
    ------
    ValueError
        If it is not a valid ``host:port``.
    """
    if not re.fullmatch(PATTERN, address):
        raise ValueError(f'{address!r} is no host:port')
    if not 0 < split(address)[1] <= MAX_PORT:
        raise ValueError(f'a port is from 1 to {MAX_PORT}, not {address!r}')


def bind(address: str) -> socket.socket:
    """Return a listening socket; port 0 selects a free port."""
    host, port = split(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # The protocol is explicit because the event loop disables Nagle's
    # algorithm only on sockets whose protocol is TCP; otherwise each reply
    # is delayed by 40 ms.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(_LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


def format_address(sock: socket.socket) -> str:
    """Return the ``host:port`` that a socket is bound to."""
    host, port = sock.getsockname()[:2]
    return f'{host}:{port}'
