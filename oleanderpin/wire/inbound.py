"""Connections from peers, and the memory that their frames take."""

import socket
import threading
from dataclasses import dataclass

from thrift.transport.TTransport import TTransportException

from ..core.clock import monotonic_s
from ..core.metrics import EVENTS

# A frame may take this long, and longer at this rate if it is large.
_FRAME_TIMEOUT_S = 30.0
_MIN_FRAME_BYTES_PER_S = 16384


@dataclass(eq=False, slots=True)
class InboundConnection:
    """A connection from a peer.

    Parameters
    ----------
    pool : InboundPool
        Holds this connection and bounds the memory of all.
    sock : socket
        Connected socket.
    waiting_since_s : float
        Since when no whole frame has arrived.
    held_bytes : int
        Bytes of the frame that is read or handled.
    is_waiting : bool
        Whether no call is being handled.
    has_called : bool
        Whether a whole frame has arrived before.
    is_given_up : bool
        Whether it was shut down to make space for others.
    """

    pool: 'InboundPool'
    sock: socket.socket
    waiting_since_s: float
    held_bytes: int = 0
    is_waiting: bool = True
    has_called: bool = False
    is_given_up: bool = False

    def await_frame(self) -> None:
        """Give back the last frame; no call is being handled."""
        self.pool.hold(self, -self.held_bytes)
        self.is_waiting = True
        self.waiting_since_s = monotonic_s()

    def start_frame(self) -> None:
        """Start the time-out of a frame whose length has arrived."""
        self.waiting_since_s = monotonic_s()

    def take(self, size_bytes: int) -> None:
        """Hold more bytes of the frame.

        Raises
        ------
        TTransportException
            If there is no space for them, or the frame takes too long.
        """
        self.pool.hold(self, size_bytes)
        limit_s = _FRAME_TIMEOUT_S + self.held_bytes / _MIN_FRAME_BYTES_PER_S
        if monotonic_s() - self.waiting_since_s > limit_s:
            raise TTransportException(
                TTransportException.TIMED_OUT,
                f'{self.held_bytes} bytes of a frame within {limit_s:.0f} s',
            )

    def give_back(self, size_bytes: int) -> None:
        """Hold fewer bytes."""
        self.pool.hold(self, -size_bytes)

    def finish_frame(self) -> None:
        """Note that the frame is complete and its call will be handled."""
        self.is_waiting = False
        self.has_called = True


class InboundPool:
    """Bounds the connections from peers and the bytes of their frames.

    Parameters
    ----------
    max_connections : int
        Largest number of connections.
    max_held_bytes : int
        Largest size of the frames that are read or handled.
    """

    def __init__(self, *, max_connections: int, max_held_bytes: int) -> None:
        """Start without connections."""
        self._max_connections = max_connections
        self._max_held_bytes = max_held_bytes
        self._held_bytes = 0
        self._connections: set[InboundConnection] = set()
        self._lock = threading.Lock()

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._connections)

    def sockets(self) -> list[socket.socket]:
        """Return the sockets of all connections."""
        with self._lock:
            return [each.sock for each in self._connections]

    def admit(self, sock: socket.socket) -> InboundConnection | None:
        """Add a connection, in place of another one if there are too many.

        Returns
        -------
        InboundConnection or None
            None if all other connections have calls in progress.
        """
        with self._lock:
            is_full = len(self._connections) >= self._max_connections
            if is_full and not self._close_longest_waiting():
                return None
            connection = InboundConnection(self, sock, monotonic_s())
            self._connections.add(connection)
        return connection

    def make_room(self) -> None:
        """Close the connection without a call that has waited longest."""
        with self._lock:
            self._close_longest_waiting()

    def remove(self, connection: InboundConnection) -> None:
        """Forget a connection whose thread ends."""
        with self._lock:
            self._connections.discard(connection)
            self._held_bytes -= connection.held_bytes
            connection.held_bytes = 0

    def hold(self, connection: InboundConnection, size_bytes: int) -> None:
        """Add bytes to what a connection holds.

        If that is too much together, the connection with the largest
        incomplete frame is closed.

        Raises
        ------
        TTransportException
            If that is this one.
        """
        with self._lock:
            if connection.is_given_up:
                raise _no_space(connection)
            connection.held_bytes += size_bytes
            self._held_bytes += size_bytes
            while size_bytes > 0 and self._held_bytes > self._max_held_bytes:
                largest = max(
                    (each for each in self._connections if each.is_waiting),
                    key=lambda each: each.held_bytes,
                    default=connection,
                )
                self._give_up(largest)
                EVENTS.labels('wire', 'frames_too_large').inc()
                if largest is connection:
                    raise _no_space(connection)

    def _close_longest_waiting(self) -> bool:
        waiting = [each for each in self._connections if each.is_waiting]
        if not waiting:
            return False
        # Those that have never called are not known to be peers.
        self._give_up(
            min(
                waiting,
                key=lambda each: (each.has_called, each.waiting_since_s),
            )
        )
        EVENTS.labels('wire', 'connection_limit').inc()
        return True

    def _give_up(self, connection: InboundConnection) -> None:
        connection.is_given_up = True
        self._connections.discard(connection)
        self._held_bytes -= connection.held_bytes
        connection.held_bytes = 0
        try:
            connection.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer may already have closed the connection.
            EVENTS.labels('wire', 'closed_before_shutdown').inc()


def _no_space(connection: InboundConnection) -> TTransportException:
    return TTransportException(
        TTransportException.SIZE_LIMIT,
        'frames of all peers together exceed [peers] max_received_bytes; '
        f'this one waited since {connection.waiting_since_s:.1f}',
    )
