"""Frames between instances, compressed where that saves bytes.

Load pattern: the same long JSON documents go to each of several hundred
instances, over links between regions that bodies of requests need.
"""

import io
import struct
import zlib

from thrift.transport.TTransport import TTransportBase, TTransportException

_HEADER = struct.Struct('!i')
# The first byte of a zlib stream; an uncompressed message of the compact
# protocol begins with 0x82.
_COMPRESSED_MARK = 0x78
# Shorter frames hardly shrink.
_MIN_COMPRESSED_BYTES = 256
# Level 6 takes twice the processor time for 4% fewer bytes of a configuration.
_COMPRESSION_LEVEL = 1


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
    """

    def __init__(
        self, socket: TTransportBase, *, max_frame_bytes: int, compresses: bool
    ) -> None:
        """Start without unread bytes."""
        self._socket = socket
        self._max_frame_bytes = max_frame_bytes
        self._compresses = compresses
        self._unread = io.BytesIO()

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
            self._unread = io.BytesIO(self._read_frame())
            chunk = self._unread.read(sz)
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
        header = self._socket.readAll(_HEADER.size)
        length = _HEADER.unpack(header)[0]
        if not 0 < length <= self._max_frame_bytes:
            # The framed transport rejects it by its length.
            return bytes(header)
        body: bytes = self._socket.readAll(length)
        if body[0] != _COMPRESSED_MARK:
            return header + body
        expanded = self._expand(body)
        return _HEADER.pack(len(expanded)) + expanded

    def _expand(self, body: bytes) -> bytes:
        stream = zlib.decompressobj()
        try:
            expanded = stream.decompress(body, self._max_frame_bytes)
        except zlib.error as error:
            raise TTransportException(
                TTransportException.UNKNOWN,
                f'compressed frame of {len(body)} bytes is damaged: {error}',
            ) from error
        if not stream.eof:
            raise TTransportException(
                TTransportException.SIZE_LIMIT,
                f'compressed frame of {len(body)} bytes is cut short or expands '
                f'to more than {self._max_frame_bytes} bytes',
            )
        return expanded
