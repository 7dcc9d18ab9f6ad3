"""Network addresses written as ``host:port``, and listening sockets."""

import re
import socket

# A host by its name or number, and a port.
PATTERN = r'^[0-9A-Za-z.\-\[\]:]+:\d{1,5}$'
MAX_PORT = 65535
_BACKLOG = 512


def split(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def check(address: str) -> None:
    """Check what came from outside.

    Raises
    ------
    ValueError
        If it is no ``host:port``.
    """
    if not re.fullmatch(PATTERN, address):
        raise ValueError(f'{address!r} is no host:port')
    if not 0 < split(address)[1] <= MAX_PORT:
        raise ValueError(f'a port is from 1 to {MAX_PORT}, not {address!r}')


def bind(address: str) -> socket.socket:
    """Return a listening socket; port 0 picks a free one."""
    host, port = split(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # Named, because the event loop turns Nagle's algorithm off only for
    # sockets that say they are TCP; it held each reply back for 40 ms.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(_BACKLOG)
    sock.setblocking(False)
    return sock


def name_of(sock: socket.socket) -> str:
    """Return a bound socket's ``host:port``."""
    host, port = sock.getsockname()[:2]
    return f'{host}:{port}'
