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


def test_bodies_that_are_asked_for_and_do_not_come(tmp_path: Path) -> None:
    """Guards against worker threads that all wait for small bodies."""
    first = (
        b'POST /' + HEAD + b'Content-Length: 9\r\nExpect: 100-continue\r\n\r\n'
    )
    with EntryProcess(tmp_path, extra='[forwarding]\nthreads = 4\n') as entry:
        crowd = open_connections(entry, 8, first)
        check_process(entry, max_descriptors=100)
        close_all(crowd)


def test_trailers_in_single_bytes(tmp_path: Path) -> None:
    """Guards against uploads that last for ever after their last chunk."""
    head = b'POST /' + HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    settings = '[forwarding]\nthreads = 4\nreplay_buffer_bytes = 0\n'
    with EntryProcess(
        tmp_path, extra=settings, profile={'progress_timeout_s': 1.0}
    ) as entry:
        crowd = open_connections(entry, 2, head + b'1\r\na\r\n1\r\nb\r\n0\r\n')

        def step() -> None:
            send_all(crowd, b't')
            time.sleep(0.2)

        repeat(step, duration_s=4)
        with entry.connect() as ordinary:
            ordinary.sendall(head + b'1\r\na\r\n0\r\n\r\n')
            assert ordinary.recv(1024).startswith(b'HTTP/1.1 200 ')
        check_process(entry, max_descriptors=100)
        close_all(crowd)


def test_bodies_in_single_bytes_on_the_admin_port(tmp_path: Path) -> None:
    """Guards against targets that can no longer announce themselves."""
    first = (
        b'POST /targets/announce' + HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    )
    with EntryProcess(tmp_path) as entry:
        crowd = []
        for _number in range(16):
            connection = socket.create_connection(entry.admin, timeout=5)
            connection.sendall(first)
            crowd.append(connection)

        def step() -> None:
            send_all(crowd, b'1')
            time.sleep(0.5)

        repeat(step, duration_s=6)
        check_process(entry, max_descriptors=100)
        close_all(crowd)


def test_many_small_bodies_that_stop_short(tmp_path: Path) -> None:
    """Guards against memory by connections, each within its own limit."""
    first = (
        b'POST /' + HEAD + b'Content-Length: 65000\r\nX: ' + b'a' * 30000
    ) + b'\r\n\r\n'
    with EntryProcess(tmp_path, max_descriptors=6000) as entry:
        crowd = open_connections(entry, 2000, first + b'x' * 64000)
        check_process(entry, max_descriptors=2200)
        close_all(crowd)
