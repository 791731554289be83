"""The HTTP listener with malformed, slow and smuggled requests."""

import json
import socket
import time
from collections.abc import Iterator

import pytest

from ...core import http_server
from ...core.http import HttpListener, HttpRequest, HttpResponse
from ...testing import free_ports

GET = b'GET /a HTTP/1.1\r\nHost: desk\r\n\r\n'
POST = b'POST /a HTTP/1.1\r\nHost: desk\r\n'


class Listener:
    def __init__(self) -> None:
        self.port = free_ports(1)[0]
        self.seen: list[tuple[HttpRequest, bytes]] = []
        self.http = HttpListener(
            f'127.0.0.1:{self.port}',
            self.handle,
            threads=2,
            max_header_bytes=4096,
        )
        self.http.start()

    def handle(self, request: HttpRequest) -> HttpResponse | None:
        if request.path == '/unread':
            return HttpResponse(200, b'unread')
        body = request.open_body().read_up_to(1000000)
        self.seen.append((request, body))
        return HttpResponse(200, body or b'none')

    def connect(self) -> socket.socket:
        return socket.create_connection(('127.0.0.1', self.port), timeout=5)

    def send(self, payload: bytes) -> bytes:
        """Send on a new connection and return the received bytes."""
        with self.connect() as sock:
            sock.sendall(payload)
            received = b''
            while part := sock.recv(65536):
                received += part
                if b'200 OK' in received:
                    break
            return received


@pytest.fixture
def listener() -> Iterator[Listener]:
    started = Listener()
    yield started
    started.http.stop()


@pytest.mark.parametrize(
    ('reason', 'payload'),
    [
        ('malformed_request_line', b'GET  /a HTTP/1.1\r\nHost: a\r\n\r\n'),
        ('malformed_request_line', b'GET /a b HTTP/1.1\r\nHost: a\r\n\r\n'),
        ('malformed_request_line', b'get /a HTTP/1.1\r\nHost: a\r\n\r\n'),
        ('malformed_request_line', b'\x16\x03\x01\x02\x00\x01\r\n\r\n'),
        ('unsupported_version', b'GET /a HTTP/2.0\r\nHost: a\r\n\r\n'),
        ('bad_request_target', b'GET http://b/a HTTP/1.1\r\nHost: a\r\n\r\n'),
        ('bad_request_target', b'GET //b/a HTTP/1.1\r\nHost: a\r\n\r\n'),
        ('bad_request_target', b'GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n'),
        ('connect_not_allowed', b'CONNECT b:80 HTTP/1.1\r\nHost: b\r\n\r\n'),
        ('bad_host', b'GET /a HTTP/1.1\r\n\r\n'),
        ('bad_host', b'GET /a HTTP/1.1\r\nHost: a b\r\n\r\n'),
        ('bad_host', b'GET /a HTTP/1.1\r\nHost: a/b@c\r\n\r\n'),
        ('repeated_header', GET[:-2] + b'Host: other\r\n\r\n'),
        (
            'repeated_header',
            POST + b'Content-Length: 1\r\nContent-Length: 1\r\n\r\nx',
        ),
        (
            'repeated_header',
            POST + b'Transfer-Encoding: chunked\r\n'
            b'transfer-encoding: identity\r\n\r\n0\r\n\r\n',
        ),
        ('malformed_header', GET[:-2] + b'X-A: 1\r\n folded\r\n\r\n'),
        ('malformed_header', GET[:-2] + b'X-A : 1\r\n\r\n'),
        ('malformed_header', GET[:-2] + b'no colon\r\n\r\n'),
        ('malformed_header', GET[:-2] + b'X-A: a\x00b\r\n\r\n'),
        ('malformed_header', GET[:-2] + b'X-A: a\rb: c\r\n\r\n'),
        ('malformed_header', b'GET /a HTTP/1.1\nHost: a\n\n'),
        ('headers_too_large', GET[:-2] + b'X-A: ' + b'a' * 5000 + b'\r\n\r\n'),
        ('headers_too_large', b'GET /' + b'a' * 5000),
        ('headers_too_large', GET[:-2] + b'A:b\r\n' * 250 + b'\r\n'),
        (
            'ambiguous_length',
            POST + b'Content-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        ),
        ('ambiguous_length', POST + b'Content-Length: +3\r\n\r\nabc'),
        ('ambiguous_length', POST + b'Content-Length: 3, 3\r\n\r\nabc'),
        ('ambiguous_length', POST + b'Content-Length: -1\r\n\r\n'),
        (
            'ambiguous_length',
            POST + b'Content-Length: ' + b'9' * 50 + b'\r\n\r\n',
        ),
        (
            'unsupported_transfer_encoding',
            POST + b'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
        ),
        (
            'unsupported_transfer_encoding',
            POST + b'Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n',
        ),
        (
            'unsupported_transfer_encoding',
            b'POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        ),
        ('unsupported_expectation', GET[:-2] + b'Expect: magic\r\n\r\n'),
        ('malformed_body', b'xyz\r\n\r\n'),
        ('malformed_body', b'-1\r\n\r\n'),
        ('malformed_body', b'0x1\r\na\r\n0\r\n\r\n'),
        ('malformed_body', b'1\r\nab\r\n0\r\n\r\n'),
        ('malformed_body', b'1\na\n0\n\n'),
        ('malformed_body', b'1;' + b'e' * 999 + b'\r\na\r\n0\r\n\r\n'),
        ('malformed_body', b'0\r\n' + b'T: ' + b't' * 9999 + b'\r\n\r\n'),
    ],
)
def test_malformed_request_is_refused(
    listener: Listener, reason: str, payload: bytes
) -> None:
    """Guards against request smuggling and against a crash of the process."""
    if reason == 'malformed_body':
        payload = POST + b'Transfer-Encoding: chunked\r\n\r\n' + payload
    # The bytes that follow must not be parsed as a second request.
    received = listener.send(payload + GET)
    head, _separator, document = received.partition(b'\r\n\r\n')
    if b'\x0b' in payload:
        reason = 'malformed_header'
    assert json.loads(document)['reason'] == reason
    assert json.loads(document)['not_run'] is True
    assert b'application/problem+json' in head
    assert not listener.seen
    assert b'none' in listener.send(GET)


def test_path_is_passed_undecoded(listener: Listener) -> None:
    """Guards against a path that a target parses as a second request."""
    listener.send(b'GET /a%0d%0aHost:%20b?q=%20 HTTP/1.1\r\nHost: a\r\n\r\n')
    request, _body = listener.seen[0]
    assert request.path == '/a%0d%0aHost:%20b'
    assert request.query == 'q=%20'


def test_slow_senders_do_not_occupy_worker_threads(listener: Listener) -> None:
    """Guards against callers that stall in the middle of a head or body."""
    slow = [listener.connect() for _each in range(20)]
    for number, sock in enumerate(slow):
        head = b'GET /slow HTTP/1.1\r\nHost: a\r\nX-'
        body = POST + b'Content-Length: 1000\r\n\r\nfew'
        sock.sendall(head if number % 2 else body)
    assert b'none' in listener.send(GET)
    slow[1].sendall(b'A: b\r\n\r\n')
    assert b'200 OK' in slow[1].recv(65536)
    for sock in slow:
        sock.close()


def test_silent_connection_does_not_delay_others(listener: Listener) -> None:
    """Guards against blocking the accepting thread on the first byte."""
    with listener.connect(), listener.connect() as second:
        second.settimeout(2)
        second.sendall(GET)
        assert b'200 OK' in second.recv(65536)


def test_incomplete_request_times_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against connections that stay open indefinitely."""
    monkeypatch.setattr(http_server, 'REQUEST_TIMEOUT_S', 0.3)
    listener = Listener()
    try:
        received = listener.send(b'GET /slow HTTP/1.1\r\nHost: a\r\n')
    finally:
        listener.http.stop()
    assert b' 408 ' in received
    assert b'request_timeout' in received


def test_pipelined_requests_are_answered_in_order(listener: Listener) -> None:
    with listener.connect() as sock:
        chunked = POST + b'Transfer-Encoding: chunked\r\n\r\n'
        sock.sendall(chunked + b'3\r\nabc\r\n0\r\nT: x\r\n\r\n')
        sock.sendall(POST + b'Content-Length: 2\r\n\r\nde' + GET)
        received = b''
        while received.count(b'200 OK') < 3 or b'none' not in received:
            received += sock.recv(65536)
    assert [body for _request, body in listener.seen] == [b'abc', b'de', b'']


def test_response_is_readable_while_the_body_is_sent(
    listener: Listener,
) -> None:
    """Guards against a reset that discards an early response."""
    with listener.connect() as sock:
        sock.sendall(
            b'POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n\r\n'
        )
        for _each in range(10):
            sock.sendall(b'x' * 65536)
            time.sleep(0.005)
        received = b''
        while part := sock.recv(65536):
            received += part
    assert b'200 OK' in received
    assert b'Connection: close' in received
    assert received.endswith(b'unread')


def test_continue_is_sent_when_the_body_is_read(listener: Listener) -> None:
    """Guards against requesting a body that the handler does not read."""
    expect = b'Host: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n'
    with listener.connect() as sock:
        sock.sendall(b'POST /unread HTTP/1.1\r\n' + expect)
        assert sock.recv(65536).startswith(b'HTTP/1.1 200')
    with listener.connect() as sock:
        sock.sendall(b'POST /a HTTP/1.1\r\n' + expect)
        assert sock.recv(65536) == b'HTTP/1.1 100 Continue\r\n\r\n'
        sock.sendall(b'abc')
        assert sock.recv(65536).endswith(b'abc')


def test_http_1_0_closes(listener: Listener) -> None:
    received = listener.send(b'GET /a HTTP/1.0\r\n\r\n')
    assert b'Connection: close' in received


def test_drain_closes_connections_after_the_response(
    listener: Listener,
) -> None:
    with listener.connect() as sock:
        sock.sendall(GET)
        assert b'Connection: close' not in sock.recv(65536)
        listener.http.drain()
        sock.sendall(GET)
        assert b'Connection: close' in sock.recv(65536)
        assert sock.recv(1) == b''
    assert listener.http.wait_idle(timeout_s=5)


def test_drain_waits_for_a_partially_received_request(
    listener: Listener,
) -> None:
    """Guards against dropping a request whose head has begun to arrive."""
    with listener.connect() as sock:
        sock.sendall(GET[:10])
        time.sleep(0.1)
        listener.http.drain()
        assert not listener.http.wait_idle(timeout_s=0.5)
        sock.sendall(GET[10:])
        assert b'200 OK' in sock.recv(65536)
    assert listener.http.wait_idle(timeout_s=5)


def test_stop_does_not_wait_for_a_long_round_of_the_server() -> None:
    """Guards against planned stops that outlast their grace period.

    The stop of the admin port took up to half a second, after a drain that ends
    a fifth of a second before the grace period does.
    """
    longest_s = 0.0
    for _each in range(8):
        listener = HttpListener(
            f'127.0.0.1:{free_ports(1)[0]}',
            lambda _request: HttpResponse(200),
            threads=2,
            max_header_bytes=4096,
        )
        listener.start()
        time.sleep(0.05)
        begun_s = time.monotonic()
        listener.stop()
        longest_s = max(longest_s, time.monotonic() - begun_s)
    assert longest_s < 0.25
