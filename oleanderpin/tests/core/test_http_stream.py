"""Bodies on a connection."""

import socket
from collections.abc import Iterator

import pytest

from ...core.http_stream import ChunkedBody, LengthBody, SocketReader


@pytest.fixture
def ends() -> Iterator[tuple[SocketReader, socket.socket]]:
    """Return a reader and the other end of its connection."""
    near, far = socket.socketpair()
    with near, far:
        near.settimeout(5)
        yield SocketReader(near), far


@pytest.mark.parametrize(
    ('chunks', 'has_arrived'),
    [
        (b'0\r\n\r\n', True),
        (b'3;a=b\r\nabc\r\n0\r\nT: x\r\n\r\nGET /', True),
        (b'3\r\nabc\r\n0\r\n', False),
        (b'3\r\nabc\r\n0\r\nT: x\r\n', False),
        (b'3\r\nabc\r\n', False),
        (b'3\r\nabc', False),
        (b'3', False),
        # The end of a body inside a chunk that has not arrived.
        (b'99\r\n0\r\n\r\n', False),
        (b'x\r\n0\r\n\r\n', False),
    ],
)
def test_whole_chunked_body_is_recognized(
    ends: tuple[SocketReader, socket.socket], chunks: bytes, has_arrived: bool
) -> None:
    """Guards against worker threads that wait for what seems to be there."""
    reader, far = ends
    far.sendall(chunks)
    reader.receive()
    assert ChunkedBody(reader).has_arrived() is has_arrived


def test_whole_body_by_length_is_recognized(
    ends: tuple[SocketReader, socket.socket],
) -> None:
    """Guards against worker threads that wait for what seems to be there."""
    reader, far = ends
    far.sendall(b'abc')
    reader.receive()
    assert LengthBody(reader, 3).has_arrived()
    assert not LengthBody(reader, 4).has_arrived()


def test_reads_end_with_their_time(
    ends: tuple[SocketReader, socket.socket],
) -> None:
    """Guards against a size of a chunk that arrives byte by byte for ever."""
    reader, far = ends
    body = ChunkedBody(reader)
    body.limit_time(0)
    far.sendall(b'1;')
    with pytest.raises(TimeoutError, match='too slow'):
        body.read_some(1)
