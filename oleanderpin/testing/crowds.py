"""Crowds of callers that cost a gateway more than ordinary ones.

Each crowd keeps its connections open, so that what it costs stays. It stops
sending on a connection that the gateway closes.
"""

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager

from ..core.registry import Registry
from .gateway import KEY

MB = 1024 * 1024
_TIMEOUT_S = 20.0
_SMALL_RECEIVE_BUFFER_BYTES = 4096
_READ_SECONDS = 5

CHUNKED = 'Transfer-Encoding: chunked'
LARGE_RESPONSE_BYTES = 4 * MB


class Crowd:
    """Connections of callers to one gateway.

    Parameters
    ----------
    port : int
        Caller port of the gateway on loopback.
    """

    def __init__(self, port: int) -> None:
        """Start without connections."""
        self._port = port
        self.connections: list[socket.socket] = []
        # Connections that the gateway has closed or refused.
        self.closed = 0

    def connect(self, *, reads_slowly: bool = False) -> socket.socket:
        """Open one more connection."""
        connection = socket.socket()
        connection.settimeout(_TIMEOUT_S)
        if reads_slowly:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_RECEIVE_BUFFER_BYTES
            )
        self.connections.append(connection)
        connection.connect(('127.0.0.1', self._port))
        return connection

    def members(self, count: int) -> Iterator[AbstractContextManager[None]]:
        """Return a context for each of so many callers, see `member`."""
        return (self.member() for _number in range(count))

    @contextmanager
    def member(self) -> Iterator[None]:
        """Run what one caller does; it ends if its connection is closed."""
        try:
            yield
        except OSError:
            self.closed += 1

    def leave(self) -> None:
        """Close all connections."""
        for connection in self.connections:
            connection.close()


crowds: Registry[Callable[[Crowd], None]] = Registry('crowd')


def head_bytes(
    *headers: str, method: str = 'POST', path: str = '/desk/1'
) -> bytes:
    """Return the head of a proper request with further headers."""
    lines = (
        f'{method} {path} HTTP/1.1',
        'Host: shop.example',
        f'Authorization: Bearer {KEY}',
        *headers,
    )
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def send_again(
    connection: socket.socket, part: bytes, count: int, *, pause_s: float = 0
) -> None:
    """Send the same bytes so many times."""
    for number in range(count):
        if number and pause_s:
            time.sleep(pause_s)
        connection.sendall(part)


@crowds.register('trailers')
def send_trailers(crowd: Crowd) -> None:
    """Two callers send 16 MB of short trailers each."""
    fields = b'a: b\r\n' * 10_000
    for member in crowd.members(2):
        with member:
            connection = crowd.connect()
            connection.sendall(head_bytes(CHUNKED) + b'1\r\nx\r\n0\r\n')
            send_again(connection, fields, 16 * MB // len(fields))


@crowds.register('one-long-trailer')
def send_long_trailer(crowd: Crowd) -> None:
    """Two callers send one trailer of 100 MB each."""
    part = b'v' * MB
    for member in crowd.members(2):
        with member:
            connection = crowd.connect()
            connection.sendall(head_bytes(CHUNKED) + b'1\r\nx\r\n0\r\na: ')
            send_again(connection, part, 100)


@crowds.register('small-pieces')
def send_small_pieces(crowd: Crowd) -> None:
    """Eight callers send 1 MB each in chunks of two bytes, without an end."""
    pieces = b'2\r\nxx\r\n' * 8192
    for member in crowd.members(8):
        with member:
            connection = crowd.connect()
            connection.sendall(head_bytes(CHUNKED))
            send_again(connection, pieces, 64)


@crowds.register('unfinished-bodies')
def send_unfinished_bodies(crowd: Crowd) -> None:
    """Twenty callers send bodies of 512 KiB but for the last byte."""
    size = MB // 2
    for member in crowd.members(20):
        with member:
            connection = crowd.connect()
            connection.sendall(head_bytes(f'Content-Length: {size}'))
            connection.sendall(bytes(size - 1))


@crowds.register('unfinished-bodies-in-chunks')
def send_unfinished_chunks(crowd: Crowd) -> None:
    """Twenty callers send 512 KiB in chunks, without the last chunk."""
    chunk = b'8000\r\n' + bytes(0x8000) + b'\r\n'
    for member in crowd.members(20):
        with member:
            connection = crowd.connect()
            connection.sendall(head_bytes(CHUNKED))
            send_again(connection, chunk, 16)


@crowds.register('whole-bodies-at-a-target-that-does-not-read')
def send_whole_bodies(crowd: Crowd) -> None:
    """Twelve callers send bodies of 8 MB to a target that reads only heads."""
    size = 8 * MB
    for member in crowd.members(12):
        with member:
            connection = crowd.connect()
            path = '/desk/unread'
            connection.sendall(
                head_bytes(f'Content-Length: {size}', path=path) + bytes(size)
            )


@crowds.register('unfinished-heads')
def send_unfinished_heads(crowd: Crowd) -> None:
    """A thousand callers send 1,500 short headers each, without an end."""
    head = head_bytes().removesuffix(b'\r\n') + b'a: b\r\n' * 1500
    for member in crowd.members(1000):
        with member:
            crowd.connect().sendall(head)


@crowds.register('connections-without-a-request')
def open_idle_connections(crowd: Crowd) -> None:
    """Four hundred callers connect and send nothing."""
    for member in crowd.members(400):
        with member:
            crowd.connect()


@crowds.register('responses-that-are-not-read')
def read_nothing(crowd: Crowd) -> None:
    """Sixty callers read nothing but the beginning of a response of 4 MB."""
    for member in crowd.members(60):
        with member:
            connection = crowd.connect(reads_slowly=True)
            connection.sendall(head_bytes(method='GET', path='/desk/large'))
            connection.recv(1)


@crowds.register('responses-behind-each-other-that-are-not-read')
def read_nothing_of_many(crowd: Crowd) -> None:
    """Four callers ask for 16 responses of 4 MB each, and read none."""
    for member in crowd.members(4):
        with member:
            connection = crowd.connect(reads_slowly=True)
            request = head_bytes(method='GET', path='/desk/large')
            send_again(connection, request, 16, pause_s=0.05)


@crowds.register('responses-that-are-read-byte-by-byte')
def read_slowly(crowd: Crowd) -> None:
    """Sixty callers read a byte of a response of 4 MB every second."""
    for member in crowd.members(60):
        with member:
            connection = crowd.connect(reads_slowly=True)
            connection.sendall(head_bytes(method='GET', path='/desk/large'))
            connection.recv(1)
    for second in range(_READ_SECONDS):
        time.sleep(1.0)
        for connection in crowd.connections:
            with crowd.member():
                connection.recv(1)
