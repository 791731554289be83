"""Clients of the admin port that do not behave, against a real process."""

import contextlib
import http.client
import socket
import threading
from pathlib import Path

import pytest

from ...testing.listener_crowds import (
    answers_operators,
    control_daemon,
    crowd_at,
    is_alive,
    memory_mb,
)
from ...testing.processes import ADMIN_PORT

MAX_MEMORY_MB = 200
POST = b'POST /v1/changes HTTP/1.1\r\nHost: a\r\n'
GET = b'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n'


def test_requests_without_a_pause_take_bounded_memory(tmp_path: Path) -> None:
    """Guards against bytes that are read faster than requests are handled.

    Each request is 36 bytes; after each one, 64 KB more were read.
    """
    with control_daemon(tmp_path) as daemon:
        with crowd_at(daemon, ADMIN_PORT) as crowd:
            crowd.connect(2)
            for sock in crowd.sockets:
                threading.Thread(target=_discard, args=(sock,)).start()
            crowd.send(GET * 3_000_000)
            assert memory_mb(daemon) < MAX_MEMORY_MB
            assert answers_operators(daemon)
        assert is_alive(daemon)


def _discard(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while sock.recv(65536):
            pass


def test_unfinished_bodies_leave_threads_for_other_calls(
    tmp_path: Path,
) -> None:
    """Guards against bodies of a byte a second that occupy all threads.

    Some have a length, others come in chunks, others wait to be asked for.
    """
    bodies = [
        b'Content-Length: 3000000\r\n\r\n' + b' ' * 100_000,
        b'Transfer-Encoding: chunked\r\n\r\n1\r\n \r\n',
        b'Content-Length: 3000000\r\nExpect: 100-continue\r\n\r\n',
    ]
    with control_daemon(tmp_path) as daemon, contextlib.ExitStack() as stack:
        for body in bodies:
            crowd = stack.enter_context(crowd_at(daemon, ADMIN_PORT))
            crowd.connect(8)
            crowd.send(POST + body)
            assert answers_operators(daemon)
        assert is_alive(daemon)


def test_bodies_in_small_pieces_take_bounded_memory(tmp_path: Path) -> None:
    """Guards against pieces of two bytes that take 35 in memory each."""
    body = b'Transfer-Encoding: chunked\r\n\r\n' + b'2\r\n  \r\n' * 700_000
    with control_daemon(tmp_path) as daemon:
        with crowd_at(daemon, ADMIN_PORT) as crowd:
            crowd.connect(8)
            crowd.send(POST + body)
            assert answers_operators(daemon)
            assert memory_mb(daemon) < MAX_MEMORY_MB
        assert is_alive(daemon)


def test_many_unfinished_bodies_take_bounded_memory(tmp_path: Path) -> None:
    """Guards against bodies that are complete but for the last byte."""
    body = b'Content-Length: 3000000\r\n\r\n' + b' ' * 2_999_999
    small = b'Content-Length: 65000\r\n\r\n' + b' ' * 64_999
    with control_daemon(tmp_path) as daemon, contextlib.ExitStack() as stack:
        for count, each in ((80, body), (1500, small)):
            crowd = stack.enter_context(crowd_at(daemon, ADMIN_PORT))
            crowd.connect(count)
            crowd.send(POST + each)
            assert answers_operators(daemon)
            assert memory_mb(daemon) < MAX_MEMORY_MB
        assert is_alive(daemon)


@pytest.mark.parametrize('chunk_bytes', [1000, 4_000_000])
def test_largest_change_is_read(tmp_path: Path, chunk_bytes: int) -> None:
    """Guards against a legal body that the bounds refuse.

    The body is read whole, and refused since it is no change.
    """
    text = b' ' * 4_000_000
    parts = [
        text[start : start + chunk_bytes]
        for start in range(0, len(text), chunk_bytes)
    ]
    with control_daemon(tmp_path) as daemon:
        client = http.client.HTTPConnection(daemon.host, ADMIN_PORT, timeout=20)
        client.request('POST', '/v1/changes', iter(parts), encode_chunked=True)
        response = client.getresponse()
        assert response.status == 400
        assert b'EOF' in response.read()
        client.close()


def test_documents_of_empty_lists_take_bounded_memory(tmp_path: Path) -> None:
    """Guards against items that take three bytes, and a hundred in memory."""
    text = b'{"arguments": {"x": [[]%s]}}' % (b',[]' * 1_200_000)
    body = b'Content-Length: %d\r\n\r\n' % len(text) + text
    with control_daemon(tmp_path) as daemon:
        with crowd_at(daemon, ADMIN_PORT) as crowd:
            crowd.connect(4)
            crowd.send(POST + body)
            crowd.await_ends()
            assert answers_operators(daemon)
            assert memory_mb(daemon) < MAX_MEMORY_MB
        assert is_alive(daemon)
