"""Frames between instances, compressed or not."""

import json
import random
import zlib
from typing import Any

import pytest
from thrift.transport.TTransport import (
    TFramedTransport,
    TMemoryBuffer,
    TTransportException,
)

from ...wire.compression import CompressedFrames

MAX_FRAME_BYTES = 100_000
DOCUMENT = json.dumps(
    [
        {'target_id': f'i-{number}', 'failure_domain': 'north-a', 'slots': 9}
        for number in range(300)
    ]
).encode()


def framed(buffer: Any, *, compresses: bool = True) -> TFramedTransport:
    """Return the transport of a connection over a buffer."""
    frames = CompressedFrames(
        buffer, max_frame_bytes=MAX_FRAME_BYTES, compresses=compresses
    )
    return TFramedTransport(frames, MAX_FRAME_BYTES)


def written(message: bytes, *, compresses: bool = True) -> bytes:
    """Return the bytes that a message takes on the wire."""
    buffer = TMemoryBuffer()
    transport = framed(buffer, compresses=compresses)
    transport.write(message)
    transport.flush()
    content: bytes = buffer.getvalue()
    return content


def test_documents_take_a_fraction_of_their_size() -> None:
    """Guards against documents that fill the links between regions."""
    assert len(written(DOCUMENT)) < len(DOCUMENT) / 5


@pytest.mark.parametrize('compresses', [True, False])
def test_reader_takes_both_kinds_of_frames(*, compresses: bool) -> None:
    """Guards against instances that do not understand each other.

    The fleet has instances with and without compression while it changes.
    """
    messages = [b'\x82short', DOCUMENT.replace(b'[', b'\x82', 1), b'\x82end']
    content = b''.join(
        written(message, compresses=compresses) for message in messages
    )
    reader = framed(TMemoryBuffer(content))
    for message in messages:
        assert reader.readAll(len(message)) == message


def test_incompressible_message_is_sent_as_it_is() -> None:
    """Guards against messages that grow."""
    message = b'\x82' + random.Random(1).randbytes(2000)
    assert written(message) == written(message, compresses=False)


@pytest.mark.parametrize(
    'body',
    [
        b'\x78\x01damaged',
        zlib.compress(DOCUMENT)[:-10],
        zlib.compress(b'0' * (MAX_FRAME_BYTES + 1)),
    ],
    ids=['damaged', 'cut short', 'too long when expanded'],
)
def test_damaged_frame_closes_the_connection(body: bytes) -> None:
    """Guards against a frame that takes all memory or is half a message."""
    content = len(body).to_bytes(4) + body
    with pytest.raises(TTransportException):
        framed(TMemoryBuffer(content)).readAll(4)


def test_length_beyond_the_limit_is_rejected() -> None:
    """Guards against reading what a broken peer announces."""
    content = (MAX_FRAME_BYTES + 1).to_bytes(4) + b'0'
    with pytest.raises(TTransportException):
        framed(TMemoryBuffer(content)).readAll(4)
