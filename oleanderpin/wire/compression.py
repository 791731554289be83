"""Frames between instances, compressed where that saves bytes.

Load pattern: the same long JSON documents go to each of several hundred
instances, over links between regions that bodies of requests need.
"""

import io
import struct
import zlib
from typing import Any

from thrift.transport.TTransport import TTransportBase, TTransportException

from .inbound import InboundConnection

_HEADER = struct.Struct('!i')
# The first byte of a zlib stream; an uncompressed message of the compact
# protocol begins with 0x82.
_COMPRESSED_MARK = 0x78
# Shorter frames hardly shrink.
_MIN_COMPRESSED_BYTES = 256
# Level 6 takes twice the processor time for 4% fewer bytes of a configuration.
_COMPRESSION_LEVEL = 1
_READ_BYTES = 65536
# Bounds the bytes that are expanded before they are counted.
_EXPANDED_BYTES = 1024 * 1024


class CompressedFrames(TTransportBase):
    """Compresses frames on their way to the socket, and expands them.

    It reads compressed and uncompressed frames, whatever it writes.

    Parameters
    ----------
    socket : TTransportBase
        Open or unopened socket.
    max_frame_bytes : int
        Longer frames are rejected, before or after they are expanded.
    compresses : bool
        Whether to write compressed frames.
    inbound : InboundConnection, optional
        Counts the bytes of the frames that are read.
    """

    def __init__(
        self,
        socket: TTransportBase,
        *,
        max_frame_bytes: int,
        compresses: bool,
        inbound: InboundConnection | None = None,
    ) -> None:
        """Start without unread bytes."""
        self._socket = socket
        self._max_frame_bytes = max_frame_bytes
        self._compresses = compresses
        self._inbound = inbound
        self._unread = io.BytesIO()
        self._body = b''

    def isOpen(self) -> bool:  # noqa: N802
        """Return whether the socket is open."""
        return bool(self._socket.isOpen())

    def open(self) -> None:
        """Open the socket."""
        self._socket.open()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def read(self, sz: int) -> bytes:
        """Read at most ``sz`` bytes of uncompressed frames.

        Raises
        ------
        TTransportException
            If a frame is too long or cannot be expanded.
        """
        chunk = self._unread.read(sz)
        if not chunk:
            if self._body:
                self._unread = io.BytesIO(self._body)
                self._body = b''
            else:
                self._unread = io.BytesIO(self._read_frame())
            chunk = self._unread.read(sz)
            if self._unread.tell() == len(self._unread.getbuffer()):
                # The reader has all of it; this one must not keep a copy.
                self._unread = io.BytesIO()
        return chunk

    def write(self, buf: bytes) -> None:
        """Write one frame with its length."""
        body = memoryview(buf)[_HEADER.size :]
        if self._compresses and len(body) >= _MIN_COMPRESSED_BYTES:
            compressed = zlib.compress(body, _COMPRESSION_LEVEL)
            if len(compressed) < len(body):
                buf = _HEADER.pack(len(compressed)) + compressed
        self._socket.write(buf)

    def flush(self) -> None:
        """Flush the socket."""
        self._socket.flush()

    def _read_frame(self) -> bytes:
        """Read a frame into the body and return its header."""
        inbound = self._inbound
        if inbound is not None:
            inbound.await_frame()
        header = bytes(self._socket.readAll(_HEADER.size))
        length = _HEADER.unpack(header)[0]
        if not 0 < length <= self._max_frame_bytes:
            # The framed transport rejects it by its length.
            return header
        if inbound is not None:
            inbound.start_frame()
        self._body = self._read_body(length)
        if self._body[0] == _COMPRESSED_MARK:
            self._body = self._expand(self._body)
            if inbound is not None:
                inbound.give_back(length)
        if inbound is not None:
            inbound.finish_frame()
        return _HEADER.pack(len(self._body))

    def _read_body(self, length: int) -> bytes:
        received = io.BytesIO()
        missing = length
        while missing:
            part = self._socket.read(min(missing, _READ_BYTES))
            if not part:
                raise TTransportException(
                    TTransportException.END_OF_FILE,
                    f'{missing} of {length} bytes of a frame missing',
                )
            self._take(len(part))
            received.write(part)
            missing -= len(part)
        return received.getvalue()

    def _expand(self, body: bytes) -> bytes:
        stream = zlib.decompressobj()
        expanded = io.BytesIO()
        unread = memoryview(body)
        try:
            while unread and not stream.eof:
                self._expand_part(stream, unread[:_READ_BYTES], expanded)
                unread = unread[_READ_BYTES:]
        except zlib.error as error:
            raise TTransportException(
                TTransportException.UNKNOWN,
                f'compressed frame of {len(body)} bytes is damaged: {error}',
            ) from error
        if not stream.eof:
            raise self._bad_size(body)
        return expanded.getvalue()

    def _expand_part(
        self, stream: Any, part: bytes | memoryview, expanded: io.BytesIO
    ) -> None:
        while part and not stream.eof:
            piece = stream.decompress(part, _EXPANDED_BYTES)
            if expanded.tell() + len(piece) > self._max_frame_bytes:
                raise self._bad_size(part)
            self._take(len(piece))
            expanded.write(piece)
            part = stream.unconsumed_tail

    def _take(self, size_bytes: int) -> None:
        if self._inbound is not None:
            self._inbound.take(size_bytes)

    def _bad_size(self, body: bytes | memoryview) -> TTransportException:
        return TTransportException(
            TTransportException.SIZE_LIMIT,
            f'compressed frame of {len(body)} bytes is cut short or expands '
            f'to more than {self._max_frame_bytes} bytes',
        )
