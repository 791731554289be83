"""TCP target whose bytes on the wire are determined by a test's script."""

import socket
import struct
import threading
from collections.abc import Callable
from typing import Any

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_TIMEOUT_S = 10.0


class ScriptedConnection:
    """Server side of one connection to a target."""

    def __init__(self, sock: socket.socket, number: int) -> None:
        """Wrap the socket; ``number`` counts the target's connections from 1."""
        self.sock = sock
        self.number = number
        self._buffer = b''

    def read_head(self) -> bytes:
        """Return the next request's head, or empty bytes if the peer closed."""
        while b'\r\n\r\n' not in self._buffer:
            received = self._receive()
            if not received:
                return b''
        head, _separator, rest = self._buffer.partition(b'\r\n\r\n')
        self._buffer = rest
        return head

    def read_body(self, size: int) -> bytes:
        """Return ``size`` bytes, or fewer if the peer closed."""
        while len(self._buffer) < size:
            if not self._receive():
                break
        body = self._buffer[:size]
        self._buffer = self._buffer[size:]
        return body

    def send(self, payload: bytes) -> None:
        """Send bytes unchanged."""
        self.sock.sendall(payload)

    def answer(
        self, body: bytes = b'ok', *, status: str = '200 OK', extra: str = ''
    ) -> None:
        """Send a complete response; ``extra`` holds header lines with CRLF."""
        head = (
            f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n'
        )
        self.send(head.encode() + body)

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        self.sock.close()

    def wait_closed(self) -> bool:
        """Wait for the peer to close; return False after a time-out."""
        try:
            while self._receive():
                self._buffer = b''
        except TimeoutError:
            return False
        return True

    def _receive(self) -> bytes:
        try:
            received = self.sock.recv(65536)
        except ConnectionError:
            return b''
        self._buffer += received
        return received


Script = Callable[[ScriptedConnection], Any]


class ScriptedTarget:
    """Runs a script for each connection, each in a separate thread.

    Parameters
    ----------
    script : callable
        Called with each accepted connection, which is closed afterwards.
    """

    def __init__(self, script: Script) -> None:
        """Listen on a free loopback port."""
        self.script = script
        self.connections = 0
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=256)
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Close the listening socket."""
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            return
        finally:
            self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _address = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve,
                args=(ScriptedConnection(sock, self.connections),),
                daemon=True,
            ).start()

    def _serve(self, connection: ScriptedConnection) -> None:
        connection.sock.settimeout(_TIMEOUT_S)
        try:
            self.script(connection)
        except OSError:
            # The peer may close at any time; tests check what it received.
            return
        finally:
            connection.sock.close()


def answer_all(connection: ScriptedConnection) -> None:
    """Respond with 200 to each request; requests must not have a body."""
    while connection.read_head():
        connection.answer()
