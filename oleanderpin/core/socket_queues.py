"""Bytes that the kernel holds for a TCP socket, see tcp(7)."""

import array
import errno
import fcntl
import socket
import struct
import termios

# Linger is on, for zero seconds.
_NO_LINGER = struct.pack('ii', 1, 0)


def unread_bytes(connected: socket.socket) -> int:
    """Return the bytes that have arrived and nobody has read.

    Raises
    ------
    OSError
        If the socket is closed.
    """
    return _queued_bytes(connected, termios.FIONREAD)


def undelivered_bytes(connected: socket.socket) -> int:
    """Return the written bytes that the peer has not acknowledged.

    The end of the outgoing direction counts as one byte. Of a connection that
    the peer has reset, nothing can be delivered any more.

    Raises
    ------
    OSError
        If the socket is closed.
    """
    # The same number as SIOCOUTQ.
    queued_bytes = _queued_bytes(connected, termios.TIOCOUTQ)
    if queued_bytes and _is_reset(connected):
        return 0
    return queued_bytes


def reset_on_close(connected: socket.socket) -> None:
    """Let the kernel reset a connection and drop its data when it is closed."""
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


class DeliveryProgress:
    """Tells whether the peer of a connection acknowledges what is written."""

    def __init__(self) -> None:
        """Start with nothing undelivered."""
        self.undelivered_bytes = 0

    def update(self, undelivered_bytes: int) -> bool:
        """Return whether the undelivered bytes changed since the last call."""
        has_changed = undelivered_bytes != self.undelivered_bytes
        self.undelivered_bytes = undelivered_bytes
        return has_changed


def _is_reset(connected: socket.socket) -> bool:
    """Return whether the connection has ended without a close on this side."""
    try:
        connected.getpeername()
    except OSError as error:
        if error.errno != errno.ENOTCONN:
            raise
        return True
    return False


def _queued_bytes(connected: socket.socket, request: int) -> int:
    size = array.array('i', [0])
    fcntl.ioctl(connected.fileno(), request, size)
    return size[0]
