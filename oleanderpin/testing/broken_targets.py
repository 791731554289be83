"""Targets that answer before they have read the request, and then end."""

import socket
import threading
from typing import Literal

from .gateway import LoopbackTarget, header_of, read_message, reset

Ending = Literal['reset', 'close', 'half-close']
_READ_S = 0.3
_HOLD_S = 5.0


class EarlyTarget(LoopbackTarget):
    """Sends a response, complete or not, and ends the connection.

    Parameters
    ----------
    response : bytes
        What to send; ``%s`` in it is replaced by the id of the request.
    ending : str
        ``reset``, ``close`` or ``half-close``, which sends the end of the
        stream and keeps the connection.
    reads_request : bool
        Whether the whole request is read first. Otherwise only its beginning
        is read, and a long one stays unsent.
    """

    def __init__(
        self, response: bytes, ending: Ending, *, reads_request: bool = False
    ) -> None:
        """Store what to send."""
        super().__init__()
        self._response = response
        self._ending = ending
        self._reads_request = reads_request
        self._done = threading.Event()

    def stop(self) -> None:
        """Close the listening socket and end held connections."""
        self._done.set()
        super().stop()

    def serve(self, connection: socket.socket) -> None:
        """Answer one request."""
        if self._reads_request:
            request = read_message(connection, bytearray())
        else:
            request = connection.recv(1024)
        request_id = header_of(request, b'x-request-id')
        connection.sendall(self._response.replace(b'%s', request_id))
        # The caller has read the response when the end arrives.
        self._done.wait(_READ_S)
        if self._ending == 'reset':
            reset(connection)
        elif self._ending == 'half-close':
            try:
                connection.shutdown(socket.SHUT_WR)
            except OSError:
                # The gateway has closed the connection.
                return
            self._done.wait(_HOLD_S)
