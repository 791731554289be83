"""Callers that use a connection until its gateway is gone.

They send requests behind each other and read slowly. Checks that a gateway that
is not killed delivers each response whole, also while it stops.
"""

import random
import socket
import threading
import time
import uuid
from typing import Any

from oleanderpin.testing.gateway import read_message, request_bytes
from oleanderpin.testing.processes import CALLER_PORT, DaemonProcess

_CALLERS = 6
_RECEIVE_BUFFER_BYTES = 4096
_MAX_BEHIND = 3
# Longer than a pause and the grace period of a gateway together.
_TIMEOUT_S = 20.0
_PAUSES_S = (0.002, 0.01, 0.03)
_RETRY_S = 0.2
_READ_BYTES = 8192
_READ_PAUSE_S = 0.001


class _SlowReader:
    """Reads a connection a few kilobytes at a time."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection

    def recv(self, _size: int) -> bytes:
        """Return the next bytes, empty at the end."""
        time.sleep(_READ_PAUSE_S)
        return self._connection.recv(_READ_BYTES)


class Callers:
    """Keep a connection each, to one gateway after the other."""

    def __init__(self, fleet: Any, seen: Any, choose: random.Random) -> None:
        """Start without connections."""
        self._fleet = fleet
        self._seen = seen
        self._seeds = [choose.random() for _each in range(_CALLERS)]
        self._lock = threading.Lock()
        self._responses = 0

    def run(self, stopped: threading.Event) -> None:
        """Send requests until ``stopped`` is set."""
        threads = [
            threading.Thread(
                target=self._call, args=(random.Random(seed), stopped)
            )
            for seed in self._seeds
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def summary(self) -> str:
        """Return how many responses callers got."""
        return f'{self._responses} responses on open connections'

    def _call(self, choose: random.Random, stopped: threading.Event) -> None:
        while not stopped.is_set():
            daemon = choose.choice(self._fleet.of_role('gateway'))
            kills = self._fleet.kills[daemon.name]
            buffer = bytearray()
            with socket.socket() as connection:
                try:
                    _connect(connection, daemon)
                    while not stopped.is_set():
                        self._exchange(connection, buffer, choose)
                except OSError:
                    # Gone; the connection may have ended inside a response.
                    stopped.wait(_RETRY_S)
            if buffer and kills == self._fleet.kills[daemon.name]:
                self._seen.add_problem(
                    f'{daemon.name} cut a response after {len(buffer)} bytes'
                )

    def _exchange(
        self,
        connection: socket.socket,
        buffer: bytearray,
        choose: random.Random,
    ) -> None:
        """Send some requests behind each other and read their responses."""
        count = choose.randint(1, _MAX_BEHIND)
        sender = threading.Thread(
            target=_send, args=(connection, count, choose.choice(_PAUSES_S))
        )
        sender.start()
        try:
            for _each in range(count):
                if not read_message(_SlowReader(connection), buffer):
                    raise ConnectionAbortedError('closed between responses')
                with self._lock:
                    self._responses += 1
        finally:
            sender.join()


def _connect(connection: socket.socket, daemon: DaemonProcess) -> None:
    connection.settimeout(_TIMEOUT_S)
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    connection.connect((daemon.host, CALLER_PORT))


def _send(connection: socket.socket, count: int, pause_s: float) -> None:
    paused = threading.Event()
    for _each in range(count):
        request = request_bytes(
            path=f'/desk/{uuid.uuid4().hex}', request_id=uuid.uuid4().hex
        )
        try:
            connection.sendall(request)
        except OSError:
            # The reader sees the end of the connection.
            return
        paused.wait(pause_s)
