"""Callers that keep connections open and record how each request ends."""

import threading
from collections import Counter
from dataclasses import dataclass, field
from typing import Self

from ..core.clock import monotonic_s
from .gateway import read_message, request_bytes
from .gateway_process import GatewayProcess

# Longer than any deadline of the requests.
_ANSWER_TIMEOUT_S = 20.0
_PAUSE_S = 0.02
# A response of less than a status line.
_NO_STATUS = 'no answer'


@dataclass(slots=True)
class Callers:
    """Callers that send one request after the other until the block ends.

    Parameters
    ----------
    process : GatewayProcess
        The gateway.
    path : str
        Path of the requests.
    count : int
        Number of callers, each with a connection of its own.
    method : str
        ``GET``, or ``POST`` for requests with a body.
    deadline_ms : int
        Deadline of each request.
    ends : Counter
        How many requests ended with a status, or without an answer.
    slowest_s : float
        Longest time until an answer.
    """

    process: GatewayProcess
    path: str
    count: int
    method: str = 'GET'
    deadline_ms: int = 5000
    ends: Counter[str] = field(default_factory=Counter)
    slowest_s: float = 0.0
    _stopped: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def __enter__(self) -> Self:
        """Start the callers."""
        for number in range(self.count):
            thread = threading.Thread(target=self._call, args=(number,))
            thread.start()
            self._threads.append(thread)
        return self

    def __exit__(self, *_exc_info: object) -> None:
        """Wait for the last answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _call(self, number: int) -> None:
        sent = 0
        while not self._stopped.is_set():
            try:
                sent = self._use_connection(number, sent)
            except OSError:
                self.ends[_NO_STATUS] += 1
                # A process that has ended refuses all connections.
                self._stopped.wait(_PAUSE_S)

    def _use_connection(self, number: int, sent: int) -> int:
        """Send requests until the connection is closed."""
        buffer = bytearray()
        with self.process.connect(_ANSWER_TIMEOUT_S) as connection:
            while not self._stopped.is_set():
                sent += 1
                started_s = monotonic_s()
                connection.sendall(
                    request_bytes(
                        method=self.method,
                        path=self.path,
                        request_id=f'{self.path}-{number}-{sent}',
                        deadline_ms=self.deadline_ms,
                        body=b'x' * 1000 if self.method == 'POST' else b'',
                    )
                )
                response = read_message(connection, buffer)
                self.slowest_s = max(self.slowest_s, monotonic_s() - started_s)
                if not response:
                    self.ends[_NO_STATUS] += 1
                    return sent
                self.ends[response.split(b' ', 2)[1].decode()] += 1
                if b'\r\nConnection: close\r\n' in response:
                    return sent
                self._stopped.wait(_PAUSE_S)
        return sent
