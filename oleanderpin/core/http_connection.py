"""Caller connections, and the number of requests in flight."""

import math
import socket
import struct
import threading
from typing import Any

from cheroot.server import HTTPConnection

from .clock import monotonic_s
from .errors import Refusal
from .http_request import ParsedRequest
from .http_stream import ChunkScanner, SocketReader
from .metrics import EVENTS
from .socket_queues import DeliveryProgress, undelivered_bytes

# A caller may still be sending when it gets its last response. Closing the
# connection at once would reset it before the caller has read the response.
_MAX_LINGER_BYTES = 4 * 1024 * 1024
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class SocketWriter:
    """Unbuffered writer of a socket that counts the bytes."""

    def __init__(self, sock: socket.socket) -> None:
        """Store the socket."""
        self._socket = sock
        self.bytes_written = 0
        # Infinite while no thread waits for the caller.
        self.blocked_since_s = math.inf

    def write(self, payload: bytes) -> None:
        """Send all bytes."""
        self.blocked_since_s = monotonic_s()
        try:
            self._socket.sendall(payload)
        finally:
            self.blocked_since_s = math.inf
        self.bytes_written += len(payload)


def _make_file(sock: socket.socket, mode: str, _size: int) -> Any:
    return SocketReader(sock) if 'r' in mode else SocketWriter(sock)


class CallerConnection(HTTPConnection):
    """A caller's connection."""

    RequestHandlerClass = ParsedRequest

    def __init__(
        self, server: Any, sock: socket.socket, _makefile: Any = None
    ) -> None:
        """Use the socket reader and writer of this package."""
        super().__init__(server, sock, _make_file)
        self.pending_refusal: Refusal | None = None
        self.linger_on_close = False
        self.linger_remaining_bytes = 0
        # Set while no thread serves it.
        self.is_waiting = False
        self.is_given_up = False
        # Bytes that the next request has at most, if its body is waited for.
        self.awaited_bytes = 0
        self.chunks: ChunkScanner | None = None
        self.has_continued = False
        self._is_reset = False
        self._delivery = DeliveryProgress()
        server.open_connections.add(self)

    @property
    def undelivered_bytes(self) -> int:
        """Bytes of responses that the caller has not acknowledged."""
        try:
            return undelivered_bytes(self.socket)
        except OSError:
            # A worker has closed it.
            return 0

    def has_delivered(self) -> bool:
        """Return whether the undelivered bytes changed since the last call."""
        return self._delivery.update(self.undelivered_bytes)

    def ask_for_body(self, interim: bytes) -> None:
        """Send an interim response that asks for the body."""
        self.has_continued = True
        try:
            self.socket.send(interim, socket.MSG_DONTWAIT)
        except OSError:
            # The caller reads nothing, and gets no whole response either.
            EVENTS.labels('http', 'connection_error').inc()

    def end_wait(self) -> bool:
        """Forget the wait for a body; return whether it was asked for."""
        has_continued = self.has_continued
        self.has_continued = False
        self.awaited_bytes = 0
        self.chunks = None
        return has_continued

    def give_up(self) -> None:
        """Let the accepting thread close the connection."""
        self.is_waiting = False
        self.is_given_up = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            EVENTS.labels('http', 'closed_by_caller').inc()

    def communicate(self) -> bool:
        """Serve requests; return whether the connection stays open."""
        with self.server.in_flight_requests:
            while super().communicate():
                if not self.server.has_next_request(self):
                    self.server.waiting_bytes.count(self, len(self.rfile))
                    return True
        return False

    def close(self) -> None:
        """Close the connection; linger first so that a response can be read."""
        if self.linger_on_close and self.server.ready:
            self.linger_on_close = False
            self.linger_remaining_bytes = _MAX_LINGER_BYTES
            try:
                self.server.waiting_bytes.count(self, 0)
                self.socket.shutdown(socket.SHUT_WR)
                self.server.linger(self)
            except (OSError, ValueError, KeyError):
                EVENTS.labels('http', 'closed_before_linger').inc()
            else:
                return
        self.server.waiting_bytes.count(self, 0)
        self.server.open_connections.discard(self)
        super().close()

    def _close_kernel_socket(self) -> None:
        # A shutdown would end the stream normally instead of resetting it.
        if self._is_reset:
            return
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The caller may have closed the connection already.
            EVENTS.labels('http', 'closed_by_caller').inc()

    def reset(self) -> None:
        """Reset on close, so that the caller detects a truncated response."""
        try:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        except OSError:
            EVENTS.labels('http', 'closed_before_reset').inc()
        self.linger_on_close = False
        self._is_reset = True


class InFlightRequests:
    """Counts requests that are being served."""

    def __init__(self) -> None:
        """Start at zero."""
        self._changed = threading.Condition()
        self._count = 0

    def __enter__(self) -> None:
        """Increment the count."""
        with self._changed:
            self._count += 1

    def __exit__(self, *_exc_info: object) -> None:
        """Decrement the count."""
        with self._changed:
            self._count -= 1
            if not self._count:
                self._changed.notify_all()

    @property
    def count(self) -> int:
        """Number of requests that are being served."""
        return self._count

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until the count is zero; return whether it became zero."""
        with self._changed:
            return self._changed.wait_for(lambda: not self._count, timeout_s)
