"""Callers of an entry process that read responses until they end."""

import math
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Self

from .entry_process import EntryProcess
from .gateway import header_of

_PAUSE_S = 0.02
_READ_BYTES = 65536
_BROKEN = 'broken'
_LAST_CHUNK = b'0\r\n\r\n'


@dataclass(slots=True)
class EntryCallers:
    """Callers that send one request after the other until the block ends.

    Parameters
    ----------
    process : EntryProcess
        The entry instance.
    service : str
        Service that they ask for.
    count : int
        Number of callers, each with a connection of its own.
    method : str
        ``GET``, or ``POST`` for requests with a body.
    ends : Counter
        How many requests ended with a status, or broke off.
    slowest_s : float
        Longest time until an answer was complete.
    """

    process: EntryProcess
    service: str
    count: int
    method: str = 'GET'
    ends: Counter[str] = field(default_factory=Counter)
    slowest_s: float = 0.0
    _stopped: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def __enter__(self) -> Self:
        """Start the callers."""
        while len(self._threads) < self.count:
            thread = threading.Thread(target=self._call)
            thread.start()
            self._threads.append(thread)
        return self

    def __exit__(self, *_exc_info: object) -> None:
        """Stop; a response in progress is given up."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _call(self) -> None:
        while not self._stopped.is_set():
            try:
                with self.process.connect() as connection:
                    self._use_connection(connection)
            except OSError:
                self.ends[_BROKEN] += 1
            self._stopped.wait(_PAUSE_S)

    def _use_connection(self, connection: socket.socket) -> None:
        """Send requests until a response does not end as it should."""
        body = b'x' * 1000 if self.method == 'POST' else b''
        head = (
            f'{self.method} /stock HTTP/1.1\r\nHost: {self.service}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        is_open = True
        while is_open and not self._stopped.is_set():
            started_s = time.monotonic()
            connection.sendall(head.encode() + body)
            end = self._read_response(connection)
            is_open = end not in {_BROKEN, ''}
            if end:
                self.ends[end] += 1
                self.slowest_s = max(
                    self.slowest_s, time.monotonic() - started_s
                )
            self._stopped.wait(_PAUSE_S)

    def _read_response(self, connection: socket.socket) -> str:
        """Return the status of a response, empty if the callers stop.

        Most of it is discarded: parsing it would take time from the others.
        """
        buffer = bytearray()
        while b'\r\n\r\n' not in buffer:
            received = connection.recv(_READ_BYTES)
            if not received:
                return _BROKEN
            buffer += received
        head, _separator, rest = bytes(buffer).partition(b'\r\n\r\n')
        length = header_of(head, b'content-length')
        remaining = int(length) - len(rest) if length else math.inf
        while remaining and not rest.endswith(_LAST_CHUNK):
            if self._stopped.is_set():
                return ''
            rest = connection.recv(_READ_BYTES)
            if not rest:
                return _BROKEN
            remaining -= len(rest)
        return head.split(b' ', 2)[1].decode()
