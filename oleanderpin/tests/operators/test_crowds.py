"""Clients of the admin port that do not behave, against a real process."""

import contextlib
import http.client
import signal
import socket
import threading
import time
from pathlib import Path

import pytest

from ...testing.listener_crowds import (
    answers_operators,
    control_daemon,
    crowd_at,
    descriptors,
    is_alive,
    log_lines,
    memory_mb,
    processor_s,
    wait_until,
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


def test_bodies_that_are_given_up_release_their_memory(tmp_path: Path) -> None:
    """Guards against memory of closed connections that nothing else can use.

    Of 97 MB, 16 MB may wait.
    """
    body = b'Content-Length: 65000\r\n\r\n' + b' ' * 64_999
    with control_daemon(tmp_path) as daemon:
        before_mb = memory_mb(daemon)
        with crowd_at(daemon, ADMIN_PORT) as crowd:
            crowd.connect(1500)
            crowd.send(POST + body)
            assert answers_operators(daemon)
            assert memory_mb(daemon) < before_mb + 40
        assert is_alive(daemon)


def test_bodies_that_arrive_together_take_bounded_memory(
    tmp_path: Path,
) -> None:
    """Guards against bodies that are given up, but held until others are read.

    They arrive while the instance is stopped, so that it reads all in one pass.
    """
    body = b'Content-Length: 65000\r\n\r\n' + b' ' * 64_999
    with control_daemon(tmp_path) as daemon:
        before_mb = memory_mb(daemon)
        with crowd_at(daemon, ADMIN_PORT) as crowd:
            crowd.connect(1500)
            wait_until(lambda: descriptors(daemon) > 1500)
            daemon.send_signal(signal.SIGSTOP)
            crowd.send(POST + body)
            daemon.send_signal(signal.SIGCONT)
            assert any(answers_operators(daemon) for _attempt in range(10))
            assert memory_mb(daemon) < before_mb + 40
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


@pytest.mark.parametrize('request_before', [b'', GET])
def test_idle_connections_leave_room_for_operators(
    tmp_path: Path, request_before: bytes
) -> None:
    """Guards against connections without a request that shut others out.

    The operator's request arrives a moment after its connection.
    """
    with control_daemon(tmp_path, max_descriptors=200) as daemon:
        with (
            crowd_at(daemon, ADMIN_PORT) as crowd,
            crowd_at(daemon, ADMIN_PORT) as operator,
        ):
            crowd.connect(150)
            crowd.send(request_before)
            operator.connect(1)
            time.sleep(0.3)
            operator.send(GET)
            assert operator.sockets[0].recv(100).startswith(b'HTTP/1.1 200')
            assert descriptors(daemon) < 170
        assert is_alive(daemon)


def test_lack_of_descriptors_takes_no_processor(tmp_path: Path) -> None:
    """Guards against a listener that tries to accept without a pause."""
    with control_daemon(tmp_path, max_descriptors=32) as daemon:
        with crowd_at(daemon, ADMIN_PORT) as crowd:
            crowd.connect(60)
            used_s = processor_s(daemon)
            lines = log_lines(daemon)
            time.sleep(2)
            assert processor_s(daemon) - used_s < 1
            assert log_lines(daemon) - lines < 100
            assert answers_operators(daemon)
        assert is_alive(daemon)


def test_responses_that_nobody_reads_leave_threads(tmp_path: Path) -> None:
    """Guards against clients that keep all threads in writing."""
    request = b'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n'
    with control_daemon(tmp_path) as daemon:
        with crowd_at(daemon, ADMIN_PORT) as crowd:
            crowd.connect(8, receive_buffer_bytes=4096)
            crowd.send(request * 1000)
            for _attempt in range(8):
                time.sleep(1)
                assert answers_operators(daemon)
            assert memory_mb(daemon) < MAX_MEMORY_MB
        assert is_alive(daemon)
