"""Framed Thrift compact protocol over a socket that counts its traffic."""

import logging

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport

from ..core.metrics import PEER_BYTES
from .compression import CompressedFrames
from .inbound import InboundConnection

# Larger frames are rejected before they are read; snapshots are sent in
# chunks.
MAX_FRAME_BYTES = 64 * 1024 * 1024
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
        TFramedTransport(frames, MAX_FRAME_BYTES),
        string_length_limit=MAX_FRAME_BYTES,
    )
