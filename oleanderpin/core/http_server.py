"""A cheroot server whose worker threads never wait for a slow head."""

import errno
import logging
import select
import socket
import threading
import time
from collections.abc import Callable
from fractions import Fraction
from typing import Any

from cheroot import connections
from cheroot.server import HTTPServer

from .clock import monotonic_s
from .http_connection import CallerConnection, InFlightRequests
from .http_head import bad_request
from .http_waiting import CONTENT_LENGTH, EXPECT, WaitingBytes, WholeBodies
from .metrics import EVENTS
from .process_resources import connection_limit

# Time-out for receiving the head and small body of a request, and for idle
# connections.
REQUEST_TIMEOUT_S = 10.0
_MAX_CONNECTIONS = 4096
# The other descriptors are for targets and peers.
_OF_DESCRIPTORS = Fraction(1, 2)
# Connections closed at once when there are too many, as a divisor of the limit.
_ROOM_DIVISOR = 16
_NO_DESCRIPTOR_ERRORS = frozenset((errno.EMFILE, errno.ENFILE))
_NO_DESCRIPTOR_PAUSE_S = 0.1
# Maximum time a worker waits for the next request on the same connection.
_NEXT_REQUEST_WAIT_MS = 2
_SMALL_BODY_BYTES = 65536
# Slower callers are given up once they have used up the time-out.
_MIN_BYTES_PER_S = 8192
# Time that a thread waits for a caller to read while others wait for a thread.
_MAX_BLOCKED_S = 1.0
_MAX_WAITING_BYTES = 16 * 1024 * 1024
_RECEIVE_BYTES = 65536


def _is_readable(sock: socket.socket) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(_NEXT_REQUEST_WAIT_MS))


def _closing_order(conn: CallerConnection) -> tuple[int, float]:
    """Return a sort key: refused, then without a request, then idle."""
    if conn.linger_remaining_bytes:
        stage = 0
    else:
        stage = 2 if conn.requests_seen else 1
    return (stage, conn.last_used or 0.0)


class _ConnectionManager(connections.ConnectionManager):
    """Tracks idle connections and those with an incomplete request."""

    _selector: Any
    _lacks_descriptors: bool

    def make_room(self, count: int) -> None:
        """Close ``count`` connections that no worker is serving.

        Only between two passes over the readable connections.
        """
        waiting = sorted(self.snapshot(), key=_closing_order)
        for conn in waiting[:count]:
            EVENTS.labels('http', 'connection_limit').inc()
            self._selector.unregister(conn.socket.fileno())
            conn.linger_on_close = False
            conn.close()

    def snapshot(self) -> list[Any]:
        """Return the connections that no worker is serving."""
        return [
            conn
            for _descriptor, conn in self._selector.connections
            if conn is not self.server
        ]

    def watch(self, conn: CallerConnection) -> None:
        """Register a connection until more bytes arrive."""
        if conn.last_used is None:
            conn.last_used = time.time()
        conn.is_waiting = True
        self._selector.register(conn.socket.fileno(), 1, data=conn)

    def run(self, expiration_interval: float) -> None:
        """Serve until the server stops."""
        select = self._selector.select
        self._lacks_descriptors = False

        def select_with_room(timeout: float) -> Any:
            self.server.make_room()
            if self._lacks_descriptors:
                self._lacks_descriptors = False
                self.make_room(1)
            return select(timeout=timeout)

        # Each pass accepts at most one connection.
        self._selector.select = select_with_room
        super().run(expiration_interval)

    def _from_server_socket(self, server_socket: Any) -> Any:
        try:
            # The stubs of cheroot name its public methods only.
            return super()._from_server_socket(  # type: ignore[misc]
                server_socket
            )
        except OSError as error:
            if error.errno not in _NO_DESCRIPTOR_ERRORS:
                raise
        # Accepting fails again at once until a descriptor is free.
        EVENTS.labels('http', 'no_descriptor').inc()
        self._lacks_descriptors = True
        time.sleep(_NO_DESCRIPTOR_PAUSE_S)
        return None

    def _expire(self, threshold: float) -> None:
        requests = self.server.requests
        if requests.qsize and not requests.idle:
            self.server.free_workers()
        expired = [
            (descriptor, conn)
            for descriptor, conn in self._selector.connections
            if conn is not self.server and conn.last_used < threshold
        ]
        for descriptor, conn in expired:
            if conn.has_delivered():
                conn.last_used = time.time()
                continue
            self._selector.unregister(descriptor)
            is_kept = self.server.waiting_bytes.end_wait(conn)
            is_partial = is_kept and conn.rfile.has_data()
            if is_partial and not conn.linger_remaining_bytes:
                conn.pending_refusal = bad_request(
                    'request_timeout',
                    f'no whole request within {REQUEST_TIMEOUT_S} s',
                    remedy='send it faster',
                    status=408,
                )
                self.server.requests.put(conn)
            else:
                conn.close()


class CallerServer(HTTPServer):
    """Passes a connection to a worker once a complete head has arrived."""

    ConnectionClass = CallerConnection
    keep_alive_conn_limit = _MAX_CONNECTIONS
    timeout: Any
    _connections: Any

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Set the connection limit and time-outs."""
        super().__init__(*args, **kwargs)
        # All that are open: waiting, queued, with a worker, or refused.
        self.open_connections: set[CallerConnection] = set()
        self.in_flight_requests = InFlightRequests()
        self.waiting_bytes = WaitingBytes(max_bytes=_MAX_WAITING_BYTES)
        self.whole_bodies: WholeBodies | None = None
        self.on_starved: Callable[[int], None] | None = None
        # Leaves half of the workers to requests that have arrived.
        self.slow_bodies = threading.BoundedSemaphore(
            max(1, int(self.requests.max) // 2)
        )
        self.is_draining = False
        self.timeout = REQUEST_TIMEOUT_S
        self.request_queue_size = 512
        self._max_connections = connection_limit(
            _MAX_CONNECTIONS, of_descriptors=_OF_DESCRIPTORS
        )

    def clear_stats(self) -> None:
        """Reset the statistics, but keep no reference to this server.

        cheroot adds each server to a table of the process and never removes it.
        """
        super().clear_stats()
        table: dict[str, Any] = getattr(logging, 'statistics', {})
        table.pop(f'Cheroot HTTPServer {id(self)}', None)

    def prepare(self) -> None:
        """Bind the address and install this module's connection manager."""
        super().prepare()
        self._connections.close()
        self._connections = _ConnectionManager(self)

    def make_room(self) -> None:
        """Close waiting connections if there is no room for a new one."""
        if len(self.open_connections) >= self._max_connections:
            self._connections.make_room(
                max(1, self._max_connections // _ROOM_DIVISOR)
            )

    def free_workers(self) -> None:
        """Let requests that take workers for long end, since others wait."""
        if self.whole_bodies is not None:
            self.give_up_blocked()
        if self.on_starved is not None:
            self.on_starved(int(self.requests.qsize))

    def give_up_blocked(self) -> None:
        """Close callers for which a thread has waited in writing for long."""
        since_s = monotonic_s() - _MAX_BLOCKED_S
        for conn in list(self.open_connections):
            if conn.wfile.blocked_since_s < since_s:
                EVENTS.labels('http', 'slow_reader').inc()
                conn.give_up()

    def process_conn(self, conn: CallerConnection) -> None:
        """Receive available bytes; queue the connection if a worker can serve it."""
        if not self.waiting_bytes.end_wait(conn):
            conn.close()
            return
        if len(self.open_connections) > self._max_connections:
            # All others wait for a worker or are with one.
            EVENTS.labels('http', 'connection_limit').inc()
            conn.close()
            return
        is_open = self._receive(conn)
        if conn.linger_remaining_bytes:
            self._discard(conn, is_open=is_open)
        elif self._is_ready_for_worker(conn):
            conn.last_used = None
            self.requests.put(conn)
        elif is_open and self.ready:
            self._await_more_data(conn)
        else:
            conn.close()

    def has_next_request(self, conn: CallerConnection) -> bool:
        """Return whether the worker continues with the same connection.

        Handing a connection over between threads costs more than a short wait
        for the next request, as long as there are spare workers.
        """
        if (
            self.requests.qsize
            or self.in_flight_requests.count > self.requests.max // 2
        ):
            return False
        if not conn.rfile.has_data() and not _is_readable(conn.socket):
            return False
        # The accepting thread detects and handles the end of the stream.
        return self._receive(conn) and self._is_ready_for_worker(conn)

    def linger(self, conn: CallerConnection) -> None:
        """Discard bytes that a refused caller still sends, then close."""
        conn.rfile.close()
        conn.last_used = time.time()
        self._connections.watch(conn)

    def has_partial_requests(self) -> bool:
        """Return whether a caller is in the middle of sending a request."""
        return any(
            conn.rfile.has_data() and not conn.linger_remaining_bytes
            for conn in self._connections.snapshot()
        )

    def has_undelivered_responses(self) -> bool:
        """Return whether a caller has not acknowledged a whole response."""
        return any(
            conn.undelivered_bytes for conn in self._connections.snapshot()
        )

    def _receive(self, conn: CallerConnection) -> bool:
        is_first = not conn.rfile.has_data()
        # A whole request fits; what follows it waits in the kernel.
        room = self.max_request_header_size + _SMALL_BODY_BYTES + 1
        room = max(room, conn.awaited_bytes) - len(conn.rfile)
        if room <= 0:
            return True
        size = min(room, _RECEIVE_BYTES)
        bytes_before = conn.rfile.bytes_read
        try:
            is_open = bool(conn.rfile.receive(blocking=False, size=size))
        except BlockingIOError:
            return True
        except OSError:
            EVENTS.labels('http', 'connection_error').inc()
            return False
        self.waiting_bytes.count(conn, len(conn.rfile))
        self._extend_timeout(
            conn, conn.rfile.bytes_read - bytes_before, is_first=is_first
        )
        return is_open

    def _extend_timeout(
        self, conn: CallerConnection, size: int, *, is_first: bool
    ) -> None:
        now_s = time.time()
        if is_first or conn.last_used is None:
            # The time-out of a request starts with its first byte.
            conn.last_used = now_s
        elif self.whole_bodies is not None:
            earned_s = size / _MIN_BYTES_PER_S
            conn.last_used = min(now_s, conn.last_used + earned_s)

    def _is_ready_for_worker(self, conn: CallerConnection) -> bool:
        head_end = conn.rfile.head_end()
        limit = self.max_request_header_size
        if head_end > limit or (head_end < 0 and len(conn.rfile) > limit):
            conn.pending_refusal = bad_request(
                'headers_too_large',
                f'request line and headers exceed {limit} bytes',
                remedy='send fewer or shorter headers',
                status=431,
            )
            return True
        if head_end < 0:
            return False
        if self.whole_bodies is not None:
            return self.whole_bodies.has_arrived(conn, head_end)
        head = conn.rfile.peek(head_end)
        match = CONTENT_LENGTH.search(head)
        if match is None or EXPECT.search(head):
            return True
        length = int(match.group(1))
        missing = head_end + length - len(conn.rfile)
        return length > _SMALL_BODY_BYTES or missing <= 0

    def _await_more_data(self, conn: CallerConnection) -> None:
        try:
            self._connections.watch(conn)
        except (OSError, ValueError, KeyError):
            EVENTS.labels('http', 'connection_error').inc()
            conn.close()

    def _discard(self, conn: CallerConnection, *, is_open: bool) -> None:
        conn.linger_remaining_bytes = max(
            0, conn.linger_remaining_bytes - len(conn.rfile)
        )
        conn.rfile.close()
        self.waiting_bytes.count(conn, 0)
        if is_open and conn.linger_remaining_bytes and self.ready:
            self._connections.watch(conn)
        else:
            conn.close()
