"""Framed Thrift compact protocol over a socket that counts its traffic."""

import logging

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import (
    TFramedTransport,
    TTransportException,
)

from ..core.metrics import PEER_BYTES
from .compression import CompressedFrames
from .inbound import InboundConnection

# Larger frames are rejected before they are read; snapshots are sent in
# chunks.
MAX_FRAME_BYTES = 64 * 1024 * 1024
# An item may take one byte of a call or reply, and a hundred in memory.
_MAX_CONTAINER_ITEMS = 100000
# Thrift logs every failed connection attempt, which callers already report as
# PeerCallError.
logging.getLogger('thrift.transport.TSocket').setLevel(logging.CRITICAL)


class CountingSocket(TSocket):
    """Thrift socket that counts the bytes sent to and received from peers."""

    def __init__(self, host: str = '', port: int = 0) -> None:
        """Start without a connection."""
        super().__init__(host, port)
        self.byte_count = 0

    def read(self, sz: int) -> bytes:
        """Read at most ``sz`` bytes."""
        chunk: bytes = super().read(sz)
        PEER_BYTES.labels('received').inc(len(chunk))
        self.byte_count += len(chunk)
        return chunk

    def write(self, buff: bytes) -> None:
        """Write all bytes of ``buff``."""
        super().write(buff)
        PEER_BYTES.labels('sent').inc(len(buff))
        self.byte_count += len(buff)


class MessageTransport(TFramedTransport):
    """Framed transport in which each message lies in one frame.

    Thrift would join frames without end while a string lacks bytes.
    """

    def __init__(self, frames: CompressedFrames) -> None:
        """Expect the first frame."""
        super().__init__(frames, MAX_FRAME_BYTES)
        self._has_frame = False

    def readFrame(self) -> None:  # noqa: N802
        """Read the frame of a message.

        Raises
        ------
        TTransportException
            If the message goes on behind its frame.
        """
        if self._has_frame:
            raise TTransportException(
                TTransportException.SIZE_LIMIT,
                'a message goes on behind the end of its frame',
            )
        self._has_frame = True
        super().readFrame()

    def expect_message(self) -> None:
        """Forget the last message, and let the next one have a frame."""
        self._has_frame = False
        last_frame = self.cstringio_buf
        last_frame.seek(0)
        last_frame.truncate()

    def flush(self) -> None:
        """Send what was written; the peer answers with a message."""
        super().flush()
        self.expect_message()


def framed_protocol(
    peer_socket: TSocket,
    *,
    compresses: bool,
    inbound: InboundConnection | None = None,
) -> TCompactProtocolAccelerated:
    """Return the peer protocol on top of ``peer_socket``.

    Parameters
    ----------
    peer_socket : TSocket
        Open or unopened socket.
    compresses : bool
        Whether to compress what is written.
    inbound : InboundConnection, optional
        Counts the bytes of the frames that are read.
    """
    frames = CompressedFrames(
        peer_socket,
        max_frame_bytes=MAX_FRAME_BYTES,
        compresses=compresses,
        inbound=inbound,
    )
    return TCompactProtocolAccelerated(
        MessageTransport(frames),
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=_MAX_CONTAINER_ITEMS,
    )
