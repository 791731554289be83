"""Callers that send without end or do not read, at a real process.

They guard against a process that ends, since such callers cost it more memory
or descriptors than it counts, or that does not answer others any more.
"""

import socket
import threading
import time
from pathlib import Path

import pytest

from ...control.configuration import LimitsDocument
from ...testing.crowds import (
    LARGE_RESPONSE_BYTES,
    MB,
    Crowd,
    crowds,
    head_bytes,
)
from ...testing.gateway import (
    ScriptedHttpTarget,
    answer_bytes,
    read_message,
    request_bytes,
)
from ...testing.gateway_process import GatewayProcess, gateway_process
from .test_plugin import status_of

# Memory of the smallest machine that runs a gateway in the deployments.
MACHINE_MEMORY_MB = 200
MAX_DESCRIPTORS = 300
# The tests do not depend on how long callers may take.
LIMITS = LimitsDocument(header_timeout_s=3600, idle_timeout_s=3600)
SHORT_LIMITS = LimitsDocument(header_timeout_s=2, idle_timeout_s=2)
LARGE_BUDGET = ('max_buffered_bytes = 104857600',)
SMALL_BUDGET = ('max_buffered_bytes = 8388608',)
LEGAL_BODY_BYTES = 64 * MB
MANY_DESCRIPTORS_CROWD = 'connections-without-a-request'
TRIES = 10
BYTES_READ_SLOWLY = 80
REQUEST_TIMEOUT_S = 60.0


class Target(ScriptedHttpTarget):
    """Responds by path, and reads no body of ``/desk/unread``."""

    def __init__(self) -> None:
        """Start without requests."""
        super().__init__(self.respond)
        self.released = threading.Event()

    def serve(self, connection: socket.socket) -> None:
        if b'/desk/unread' in connection.recv(100, socket.MSG_PEEK):
            self.released.wait()
            return
        super().serve(connection)

    def respond(self, request: bytes) -> bytes:
        self.requests.clear()
        size = LARGE_RESPONSE_BYTES if b'/desk/large' in request[:60] else 2
        return answer_bytes(request, body=bytes(size))


@pytest.fixture
def target():
    started = Target().start()
    yield started
    started.released.set()
    started.stop()


def ask(process: GatewayProcess, request: bytes) -> bytes:
    """Return the response to a request on a connection of its own."""
    with socket.create_connection(
        ('127.0.0.1', process.port), REQUEST_TIMEOUT_S
    ) as connection:
        connection.sendall(request)
        return read_message(connection, bytearray())


def assert_serves(process: GatewayProcess) -> None:
    """Check that an ordinary request is answered, in one of a few tries."""
    statuses = []
    for number in range(TRIES):
        request = request_bytes(
            method='POST', body=b'x' * 1000, request_id=f'ordinary-{number}'
        )
        try:
            response = ask(process, request)
        except OSError as error:
            statuses.append(repr(error))
            continue
        statuses.append(str(status_of(response)) if response else 'closed')
        if statuses[-1] == '200':
            return
    raise AssertionError(f'not served in {TRIES} tries: {statuses}')


@pytest.mark.parametrize('name', list(crowds))
def test_process_outlives_costly_callers(
    tmp_path: Path, target: Target, name: str
) -> None:
    """Guards against an end for want of memory or descriptors, and a hang."""
    is_many = name == MANY_DESCRIPTORS_CROWD
    is_large = name == 'whole-bodies-at-a-target-that-does-not-read'
    with gateway_process(
        tmp_path,
        target,
        options=LARGE_BUDGET if is_large else SMALL_BUDGET,
        limits=LIMITS,
        max_descriptors=MAX_DESCRIPTORS if is_many else None,
    ) as process:
        crowd = Crowd(process.port)
        try:
            crowds.get(name)(crowd)
            assert_serves(process)
            assert process.is_alive
            assert process.peak_memory_mb() < MACHINE_MEMORY_MB
            if is_many:
                assert process.open_descriptors() < MAX_DESCRIPTORS
        finally:
            crowd.leave()


def test_unfinished_body_is_refused_in_time(
    tmp_path: Path, target: Target
) -> None:
    """Guards against bodies that are waited for after the deadline."""
    head = (
        b'POST /desk/1 HTTP/1.1\r\nHost: shop.example\r\n'
        b'X-Request-Deadline-Ms: 1000\r\nAuthorization: Bearer key-of-shop\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n'
    )
    with (
        gateway_process(tmp_path, target, limits=SHORT_LIMITS) as process,
        socket.create_connection(
            ('127.0.0.1', process.port), REQUEST_TIMEOUT_S
        ) as connection,
    ):
        connection.sendall(head)
        response = read_message(connection, bytearray())
        assert status_of(response) == 408


def test_body_of_the_largest_legal_size_is_served(
    tmp_path: Path, target: Target
) -> None:
    """Guards against limits that refuse what callers may send."""
    with gateway_process(tmp_path, target, options=LARGE_BUDGET) as process:
        request = request_bytes(
            method='POST', body=bytes(LEGAL_BODY_BYTES), deadline_ms=60_000
        )
        assert status_of(ask(process, request)) == 200
        assert process.is_alive
        assert process.peak_memory_mb() < MACHINE_MEMORY_MB


def test_trailers_are_not_passed_on(tmp_path: Path, target: Target) -> None:
    """Guards against trailers that reach targets as headers of the request."""
    seen: list[bytes] = []

    def respond(request: bytes) -> bytes:
        seen.append(request)
        return answer_bytes(request)

    target.script = respond
    request = (
        b'POST /desk/1 HTTP/1.1\r\nHost: shop.example\r\n'
        b'X-Request-Id: r1\r\nAuthorization: Bearer key-of-shop\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n'
        b'Host: other.example\r\nX-Request-Id: other\r\nX-Unknown: 1\r\n\r\n'
    )
    with gateway_process(tmp_path, target) as process:
        assert status_of(ask(process, request)) == 200
    (request,) = seen
    assert request.lower().count(b'\r\nhost: ') == 1
    assert b'other' not in request
    assert b'x-unknown' not in request.lower()


def test_caller_that_reads_byte_by_byte_is_closed(
    tmp_path: Path, target: Target
) -> None:
    """Guards against readers that keep a response and a connection for ever."""
    request = head_bytes(method='GET', path='/desk/large')
    with gateway_process(
        tmp_path, target, options=LARGE_BUDGET, limits=SHORT_LIMITS
    ) as process:
        crowd = Crowd(process.port)
        try:
            connection = crowd.connect(reads_slowly=True)
            connection.sendall(request)
            for _byte in range(BYTES_READ_SLOWLY):
                connection.recv(1)
                time.sleep(0.1)
            with pytest.raises(ConnectionError):
                while connection.recv(65536):
                    pass
                raise AssertionError('the whole response has arrived')
        finally:
            crowd.leave()


def test_request_behind_a_rejected_one_reaches_no_target(
    tmp_path: Path, target: Target
) -> None:
    """Guards against requests that run although their connection closes."""
    seen: list[bytes] = []

    def respond(request: bytes) -> bytes:
        seen.append(request)
        time.sleep(0.2)
        return answer_bytes(request)

    target.script = respond
    first = request_bytes(request_id='first')
    rejected = request_bytes(
        method='POST', request_id='rejected', body=b'x' * 2000
    )
    behind = request_bytes(request_id='behind')
    limits = LimitsDocument(max_body_bytes=1000)
    with gateway_process(tmp_path, target, limits=limits) as process:
        with socket.create_connection(
            ('127.0.0.1', process.port), REQUEST_TIMEOUT_S
        ) as connection:
            connection.sendall(first + rejected + behind)
            buffer = bytearray()
            assert status_of(read_message(connection, buffer)) == 200
            assert status_of(read_message(connection, buffer)) == 413
            assert not read_message(connection, buffer)
        assert_serves(process)
    assert [b'first' in each or b'ordinary' in each for each in seen] == [
        True
    ] * len(seen)


def test_served_uploads_leave_the_memory(
    tmp_path: Path, target: Target
) -> None:
    """Guards against bodies that are kept after their requests are served.

    A cycle of references kept the body of each upload until the next full
    collection, and no count told of it.
    """
    with gateway_process(tmp_path, target, options=LARGE_BUDGET) as process:
        for number in range(6):
            request = request_bytes(
                method='POST',
                body=bytes(LEGAL_BODY_BYTES),
                request_id=f'upload-{number}',
                deadline_ms=60_000,
            )
            assert status_of(ask(process, request)) == 200
        assert process.peak_memory_mb() < MACHINE_MEMORY_MB


def test_steady_reader_gets_the_whole_response(
    tmp_path: Path, target: Target
) -> None:
    """Guards against slow readers inside the limits that are given up.

    The kernel takes nothing more of a response for seconds, although the
    caller reads all the time.
    """
    request = head_bytes(method='GET', path='/desk/large')
    with (
        gateway_process(
            tmp_path, target, options=LARGE_BUDGET, limits=SHORT_LIMITS
        ) as process,
        socket.socket() as connection,
    ):
        connection.settimeout(REQUEST_TIMEOUT_S)
        connection.connect(('127.0.0.1', process.port))
        connection.sendall(request)
        received = 0
        while received < LARGE_RESPONSE_BYTES:
            part = connection.recv(16384)
            assert part, f'closed after {received} bytes'
            received += len(part)
            time.sleep(0.04)
