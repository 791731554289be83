"""A real entry instance with callers that do not behave.

Only that the process lives, its memory and descriptors, and one ordinary
request are checked: what is refused and how is left to other tests.
"""

import contextlib
import socket
import time
from collections.abc import Callable
from pathlib import Path

from ...testing.entry_process import EntryProcess
from ...testing.targets import TargetAnswer

MAX_RESIDENT_MB = 200
HEAD = b' HTTP/1.1\r\nHost: desk\r\n'
LOOKUP = b'GET /lookup/desk' + HEAD + b'\r\n'


def send_all(connections: list[socket.socket], payload: bytes) -> None:
    """Send what the process takes at once on each connection."""
    for connection in connections:
        # The process may have closed it.
        with contextlib.suppress(OSError):
            connection.send(payload)


def receive_all(connections: list[socket.socket]) -> None:
    """Discard what has arrived on each connection."""
    for connection in connections:
        # Nothing may have arrived, or the process may have closed it.
        with contextlib.suppress(OSError):
            connection.recv(1024 * 1024)


def repeat(step: Callable[[], None], *, duration_s: float) -> None:
    """Repeat a step."""
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        step()


def open_connections(
    entry: EntryProcess, count: int, first: bytes
) -> list[socket.socket]:
    """Open connections that begin with the same bytes."""
    connections = []
    for _number in range(count):
        # The process may refuse connections of such a crowd.
        with contextlib.suppress(OSError):
            connection = entry.connect()
            connections.append(connection)
            connection.sendall(first)
    for connection in connections:
        connection.setblocking(False)
    return connections


def close_all(connections: list[socket.socket]) -> None:
    """Close the connections."""
    for connection in connections:
        connection.close()


def check_process(entry: EntryProcess, *, max_descriptors: int) -> None:
    """Check that the process lives within its limits and answers."""
    assert entry.is_alive()
    assert entry.resident_mb() < MAX_RESIDENT_MB
    assert entry.descriptors() < max_descriptors
    assert entry.ordinary_status() == 200


def test_pipelined_requests_without_end(tmp_path: Path) -> None:
    """Guards against buffering all that a caller sends ahead."""
    with EntryProcess(tmp_path) as entry:
        crowd = open_connections(entry, 4, LOOKUP)

        def step() -> None:
            send_all(crowd, LOOKUP * 1000)
            receive_all(crowd)

        repeat(step, duration_s=4)
        check_process(entry, max_descriptors=100)
        close_all(crowd)


def test_refused_callers_that_stay(tmp_path: Path) -> None:
    """Guards against refused connections that use up the descriptors.

    A refused connection stays until its caller has read the refusal.
    """
    with EntryProcess(tmp_path, max_descriptors=200) as entry:
        crowd = open_connections(entry, 150, b'BAD\r\n\r\n')
        check_process(entry, max_descriptors=180)
        more = open_connections(entry, 150, b'BAD\r\n\r\n')
        check_process(entry, max_descriptors=180)
        close_all(crowd + more)


def test_connections_without_a_request(tmp_path: Path) -> None:
    """Guards against ordinary callers who find all connections taken."""
    with EntryProcess(tmp_path, max_descriptors=200) as entry:
        crowd = open_connections(entry, 300, b'')
        check_process(entry, max_descriptors=180)
        # An ordinary caller that sends a moment after it has connected.
        with entry.connect() as ordinary:
            time.sleep(0.5)
            ordinary.sendall(LOOKUP)
            assert ordinary.recv(1024).startswith(b'HTTP/1.1 200 ')
        check_process(entry, max_descriptors=180)
        close_all(crowd)


def test_more_requests_than_worker_threads(tmp_path: Path) -> None:
    """Guards against waiting requests that use up the descriptors."""
    settings = '[forwarding]\nthreads = 4\n'
    with EntryProcess(
        tmp_path,
        max_descriptors=200,
        extra=settings,
        behaviour=lambda _request: TargetAnswer(delay_s=0.5),
    ) as entry:
        crowd = open_connections(entry, 300, b'GET /' + HEAD + b'\r\n')
        assert entry.descriptors() < 180
        close_all(crowd)
        # Requests that have begun end first.
        time.sleep(1)
        check_process(entry, max_descriptors=180)
