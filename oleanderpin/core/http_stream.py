"""Buffered socket reader, and message bodies by framing."""

import re
import socket
import time
from collections.abc import Callable

from .clock import monotonic_s

_RECEIVE_BYTES = 65536
_MAX_CHUNK_LINE_BYTES = 256
_MAX_TRAILER_BYTES = 8192
_MAX_CHUNKS_TAKEN = 1024
# More chunks at once than this are small; a body gets 10,000 of them a second.
_MAX_CHUNKS_WITHOUT_PAUSE = 64
_PAUSE_FOR_CHUNK_S = 0.0001
_HEAD_END = re.compile(rb'\n\r?\n')
# Fifteen hex digits exceed any real chunk size and bound the cost of int().
_CHUNK_SIZE = re.compile(
    rb'^([0-9A-Fa-f]{1,15})[ \t]*(;[^\x00-\x08\x0a-\x1f]*)?$'
)


class StreamError(Exception):
    """A message that is truncated or malformed."""


class ChunkScanner:
    """Finds the end of a body in chunked transfer coding while it arrives.

    Parameters
    ----------
    start : int
        Position of the first chunk in the buffer.
    """

    def __init__(self, start: int) -> None:
        """Expect the size of the first chunk."""
        self.position = start
        self.is_malformed = False
        self._trailer_start: int | None = None

    def scan(self, buffer: bytearray) -> bool:
        """Return whether the body has ended, or is malformed.

        Parameters
        ----------
        buffer : bytearray
            All bytes since the head, with those of earlier calls.
        """
        while self.position <= len(buffer):
            end = buffer.find(b'\n', self.position)
            limit = _MAX_CHUNK_LINE_BYTES
            if self._trailer_start is not None:
                limit = _MAX_TRAILER_BYTES - self.position + self._trailer_start
            last = len(buffer) if end < 0 else end
            if last - self.position >= limit:
                self.is_malformed = True
                return True
            if end < 0:
                return False
            line = bytes(buffer[self.position : end - 1])
            self.position = end + 1
            if self._ends_with(line):
                return True
        return False

    def _ends_with(self, line: bytes) -> bool:
        if self._trailer_start is not None:
            return not line
        match = _CHUNK_SIZE.match(line)
        if match is None:
            self.is_malformed = True
            return True
        size = int(match.group(1), 16)
        if size:
            self.position += size + 2
        else:
            self._trailer_start = self.position
        return False


class SocketReader:
    """Buffered reader of a socket.

    Parameters
    ----------
    sock : socket
        Connected socket; its timeout bounds each wait for data.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Start with an empty buffer."""
        self.socket = sock
        self._buffer = bytearray()
        self.bytes_read = 0
        # Called before each blocking receive; may raise to abort the read.
        self.before_receive: Callable[[], None] | None = None
        # Monotonic time after which no blocking receive begins.
        self.deadline_s: float | None = None

    def __len__(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._buffer)

    def has_data(self) -> bool:
        """Return whether bytes are buffered."""
        return bool(self._buffer)

    def receive(
        self, *, blocking: bool = True, size: int = _RECEIVE_BYTES
    ) -> bool:
        """Receive once, at most ``size`` bytes, into the buffer.

        Returns
        -------
        bool
            False if the peer has closed the connection.

        Raises
        ------
        BlockingIOError
            If ``blocking`` is False and nothing has arrived.
        """
        if blocking:
            self._prepare_receive()
            received = self.socket.recv(size)
        else:
            received = self._receive_nonblocking(size)
        self._buffer += received
        self.bytes_read += len(received)
        return bool(received)

    def _prepare_receive(self) -> None:
        if self.deadline_s is not None and monotonic_s() >= self.deadline_s:
            raise TimeoutError('too slow')
        if self.before_receive is not None:
            self.before_receive()

    def _receive_nonblocking(self, size: int) -> bytes:
        # A socket with a time-out blocks even if MSG_DONTWAIT is given.
        timeout_s = self.socket.gettimeout()
        self.socket.settimeout(0)
        try:
            return self.socket.recv(size)
        finally:
            self.socket.settimeout(timeout_s)

    def head_end(self) -> int:
        """Return the length of the buffered head, or -1 if incomplete."""
        start = 2 if self._buffer.startswith(b'\r\n') else 0
        match = _HEAD_END.search(self._buffer, start)
        return match.end() if match else -1

    def peek(self, size: int) -> bytes:
        """Return the first buffered bytes without removing them."""
        return bytes(self._buffer[:size])

    def scan(self, chunks: 'ChunkScanner') -> bool:
        """Return whether the buffer holds the end of a chunked body."""
        return chunks.scan(self._buffer)

    def take(self, size: int) -> bytes:
        """Remove and return at most ``size`` buffered bytes."""
        taken = bytes(self._buffer[:size])
        del self._buffer[:size]
        return taken

    def take_chunks(self, size: int) -> list[bytes]:
        """Remove buffered whole chunks; return at most ``size`` bytes of them.

        Empty if no chunk is whole, or the first is the last one, malformed or
        too long.
        """
        parts: list[bytes] = []
        position = 0
        while size and len(parts) < _MAX_CHUNKS_TAKEN:
            start, stop = self._whole_chunk(position)
            if stop == start or stop - start > size:
                break
            parts.append(bytes(self._buffer[start:stop]))
            size -= stop - start
            position = stop + 2
        del self._buffer[:position]
        return parts

    def _whole_chunk(self, position: int) -> tuple[int, int]:
        """Return where a chunk's payload starts and stops; equal if not whole."""
        buffer = self._buffer
        end = buffer.find(b'\n', position, position + _MAX_CHUNK_LINE_BYTES)
        line = bytes(buffer[position : max(position, end + 1)])
        match = _CHUNK_SIZE.match(line[:-2])
        if match is None or not line.endswith(b'\r\n'):
            return 0, 0
        stop = end + 1 + int(match.group(1), 16)
        is_whole = buffer[stop : stop + 2] == b'\r\n'
        return (end + 1, stop) if is_whole else (0, 0)

    def read_some(self, size: int) -> bytes:
        """Return between one and ``size`` bytes, or ``b''`` at the end."""
        if self._buffer:
            return self.take(size)
        self._prepare_receive()
        received = self.socket.recv(size)
        self.bytes_read += len(received)
        return received

    def read_head(self, *, limit_bytes: int) -> bytes:
        """Return a complete message head.

        Raises
        ------
        StreamError
            If it is longer than ``limit_bytes`` or truncated.
        """
        end = self.head_end()
        while end < 0:
            if len(self._buffer) > limit_bytes:
                raise StreamError(f'head is longer than {limit_bytes} bytes')
            if not self.receive():
                raise StreamError('connection closed inside the head')
            end = self.head_end()
        return self.take(end)

    def read_line(self, *, limit_bytes: int) -> bytes:
        """Return a line without its CRLF.

        Raises
        ------
        StreamError
            If it is too long, truncated or ends without CR.
        """
        end = self._buffer.find(b'\n')
        while end < 0:
            if len(self._buffer) > limit_bytes:
                raise StreamError(f'line is longer than {limit_bytes} bytes')
            if not self.receive():
                raise StreamError('connection closed inside a line')
            end = self._buffer.find(b'\n')
        line = self.take(end + 1)
        if len(line) > limit_bytes or not line.endswith(b'\r\n'):
            raise StreamError(f'malformed line {line[:40]!r}')
        return line[:-2]

    def close(self) -> None:
        """Clear the buffer; the owner of the socket closes it."""
        # Cleared, it would keep one byte until the connection is collected, and
        # the memory between such bytes is too short for buffers of that size.
        self._buffer = bytearray()


class Body:
    """An empty message body, and base class of the other bodies."""

    length: int | None = 0

    def __init__(self) -> None:
        """Start at the first byte."""
        self.is_finished = True

    def read_some(self, size: int) -> bytes:
        """Return between one and ``size`` bytes, or ``b''`` at the end.

        Raises
        ------
        StreamError
            If the body is truncated or malformed.
        """
        return b''

    def has_arrived(self) -> bool:
        """Return whether the whole body is buffered; before it is read."""
        return True

    def limit_time(self, timeout_s: float) -> None:
        """Raise TimeoutError from reads that wait after ``timeout_s``.

        It also bounds what is no payload: sizes of chunks and trailers.
        """

    def read_up_to(self, size: int) -> bytes:
        """Return ``size`` bytes, or fewer if the body ends earlier."""
        # Pieces of a few bytes would take many times their size in a list.
        body = bytearray()
        while len(body) < size:
            part = self.read_some(size - len(body))
            if not part:
                break
            body += part
        return bytes(body)


class LengthBody(Body):
    """A body framed by Content-Length."""

    def __init__(self, reader: SocketReader, length: int) -> None:
        """Expect ``length`` bytes."""
        super().__init__()
        self._reader = reader
        self.length = length
        self.remaining = length
        self.is_finished = not length

    def has_arrived(self) -> bool:
        """Return whether the whole body is buffered; before it is read."""
        return len(self._reader) >= self.remaining

    def limit_time(self, timeout_s: float) -> None:
        """Raise TimeoutError from reads that wait after ``timeout_s``."""
        self._reader.deadline_s = monotonic_s() + timeout_s

    def read_some(self, size: int) -> bytes:
        """Return between one and ``size`` bytes, or ``b''`` at the end."""
        if not self.remaining:
            return b''
        part = self._reader.read_some(min(size, self.remaining))
        if not part:
            raise StreamError(f'{self.remaining} bytes of the body missing')
        self.remaining -= len(part)
        self.is_finished = not self.remaining
        return part


class ChunkedBody(Body):
    """A body in chunked transfer coding; trailers are discarded."""

    length = None

    def __init__(self, reader: SocketReader) -> None:
        """Expect the first chunk."""
        super().__init__()
        self._reader = reader
        self._chunk_remaining = 0
        self._is_first = True
        self.is_finished = False

    def has_arrived(self) -> bool:
        """Return whether the whole body is buffered; before it is read."""
        scanner = ChunkScanner(0)
        return self._reader.scan(scanner) and not scanner.is_malformed

    def limit_time(self, timeout_s: float) -> None:
        """Raise TimeoutError from reads that wait after ``timeout_s``."""
        self._reader.deadline_s = monotonic_s() + timeout_s

    def read_some(self, size: int) -> bytes:
        """Return between one and ``size`` bytes, or ``b''`` at the end."""
        if self.is_finished:
            return b''
        if not self._chunk_remaining:
            # Passing small chunks on one by one would cost a write for each.
            if not self._reader.has_data():
                self._reader.receive()
            parts = self._reader.take_chunks(size)
            if len(parts) > _MAX_CHUNKS_WITHOUT_PAUSE:
                # Parsing holds the interpreter's lock, which others need.
                time.sleep(len(parts) * _PAUSE_FOR_CHUNK_S)
            if parts:
                return b''.join(parts)
            self._start_chunk()
            if self.is_finished:
                return b''
        part = self._reader.read_some(min(size, self._chunk_remaining))
        if not part:
            raise StreamError('connection closed inside a chunk')
        self._chunk_remaining -= len(part)
        if not self._chunk_remaining:
            self._end_chunk()
        return part

    def _start_chunk(self) -> None:
        line = self._reader.read_line(limit_bytes=_MAX_CHUNK_LINE_BYTES)
        match = _CHUNK_SIZE.match(line)
        if match is None:
            raise StreamError(f'malformed chunk size {line[:40]!r}')
        self._chunk_remaining = int(match.group(1), 16)
        if not self._chunk_remaining:
            self._discard_trailers()
            self.is_finished = True

    def _end_chunk(self) -> None:
        if self._reader.read_line(limit_bytes=2):
            raise StreamError('chunk is longer than its size')

    def _discard_trailers(self) -> None:
        remaining = _MAX_TRAILER_BYTES
        while line := self._reader.read_line(limit_bytes=remaining):
            remaining -= len(line) + 2


class UntilCloseBody(Body):
    """A body that is delimited by the end of the connection."""

    length = None

    def __init__(self, reader: SocketReader) -> None:
        """Read until the end."""
        super().__init__()
        self._reader = reader
        self.is_finished = False

    def read_some(self, size: int) -> bytes:
        """Return between one and ``size`` bytes, or ``b''`` at the end."""
        part = b'' if self.is_finished else self._reader.read_some(size)
        self.is_finished = not part
        return part
