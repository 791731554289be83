"""Bodies on a connection."""

import socket
from collections.abc import Iterator

import pytest

from ...core.http_stream import (
    ChunkedBody,
    LengthBody,
    SocketReader,
    StreamError,
)


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


def test_small_chunks_are_read_together(
    ends: tuple[SocketReader, socket.socket],
) -> None:
    """Guards against a write to the caller for each byte of a response."""
    reader, far = ends
    far.sendall(b'1\r\nx\r\n' * 1000 + b'0\r\n\r\n')
    body = ChunkedBody(reader)
    assert body.read_some(65536) == b'x' * 1000
    assert not body.read_some(65536)
    assert body.is_finished


@pytest.mark.parametrize('size', [1, 2, 4, 5, 100])
def test_small_chunks_keep_their_bytes(
    ends: tuple[SocketReader, socket.socket], size: int
) -> None:
    """Guards against bytes that are lost at the limit of a read."""
    reader, far = ends
    far.sendall(b'2\r\nab\r\n3;e=f\r\ncde\r\n1\r\nf\r\n0\r\nT: x\r\n\r\nrest')
    body = ChunkedBody(reader)
    assert b''.join(iter(lambda: body.read_some(size), b'')) == b'abcdef'
    assert reader.take(10) == b'rest'


@pytest.mark.parametrize(
    'malformed', [b'x\r\ny\r\n', b'1\ny\r\n', b'1\r\nyy\r\n', b'\r\n']
)
def test_malformed_chunk_behind_small_ones_is_found(
    ends: tuple[SocketReader, socket.socket], malformed: bytes
) -> None:
    """Guards against a body that seems whole although its framing is not."""
    reader, far = ends
    far.sendall(b'1\r\na\r\n1\r\nb\r\n' + malformed + b'0\r\n\r\n')
    body = ChunkedBody(reader)
    assert body.read_some(100) == b'ab'
    with pytest.raises(StreamError):
        while body.read_some(100):
            continue
