"""Callers' connections, and the count of requests in progress."""

import socket
import struct
import threading
from typing import Any

from cheroot.server import HTTPConnection

from .errors import Refusal
from .http_request import ParsedRequest
from .http_stream import SocketReader
from .metrics import EVENTS

# A refused caller may still be sending its body; closing at once would reset
# the connection before the refusal is read.
_LINGER_BYTES = 4 * 1024 * 1024
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class SocketWriter:
    """Writes to a socket without a buffer."""

    def __init__(self, sock: socket.socket) -> None:
        """Keep the socket."""
        self._socket = sock
        self.bytes_written = 0

    def write(self, payload: bytes) -> None:
        """Send all bytes."""
        self._socket.sendall(payload)
        self.bytes_written += len(payload)


def _make_file(sock: socket.socket, mode: str, _size: int) -> Any:
    return SocketReader(sock) if 'r' in mode else SocketWriter(sock)


class CallerConnection(HTTPConnection):
    """A caller's connection."""

    RequestHandlerClass = ParsedRequest

    def __init__(
        self, server: Any, sock: socket.socket, _makefile: Any = None
    ) -> None:
        """Use the readers and writers of this package."""
        super().__init__(server, sock, _make_file)
        self.problem: Refusal | None = None
        self.wants_linger = False
        self.linger_left = 0
        self._is_reset = False

    def communicate(self) -> bool:
        """Serve requests; return whether the connection stays open."""
        with self.server.activity:
            while super().communicate():
                if not self.server.has_next(self):
                    return True
        return False

    def close(self) -> None:
        """Close, after the caller has read a refusal."""
        if self.wants_linger and self.server.ready:
            self.wants_linger = False
            self.linger_left = _LINGER_BYTES
            try:
                self.socket.shutdown(socket.SHUT_WR)
                self.server.linger(self)
            except (OSError, ValueError, KeyError):
                EVENTS.labels('http', 'closed_before_linger').inc()
            else:
                return
        super().close()

    def _close_kernel_socket(self) -> None:
        # A shutdown would end the stream in order instead of resetting it.
        if self._is_reset:
            return
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The caller may have closed the connection already.
            EVENTS.labels('http', 'closed_by_caller').inc()

    def reset(self) -> None:
        """Make the caller see that its answer is broken."""
        try:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        except OSError:
            EVENTS.labels('http', 'closed_before_reset').inc()
        self.wants_linger = False
        self._is_reset = True


class Activity:
    """Counts requests that are being served."""

    def __init__(self) -> None:
        """Start without requests."""
        self._changed = threading.Condition()
        self._count = 0

    def __enter__(self) -> None:
        """Count a request."""
        with self._changed:
            self._count += 1

    def __exit__(self, *_exc_info: object) -> None:
        """Count a request less."""
        with self._changed:
            self._count -= 1
            if not self._count:
                self._changed.notify_all()

    @property
    def count(self) -> int:
        """How many requests are being served."""
        return self._count

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is served; return whether that happened."""
        with self._changed:
            return self._changed.wait_for(lambda: not self._count, timeout_s)
