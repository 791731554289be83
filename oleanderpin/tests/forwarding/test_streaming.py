"""Streamed request and response bodies: complete or visibly incomplete."""

import threading
import time
from typing import Any

import pytest

from ...testing import ScriptedConnection, ScriptedTarget, answer_all
from .harness import KEY, Instance, read_all

HEAD = f'Host: desk\nAuthorization: Bearer {KEY}\n'
GET = f'GET /a HTTP/1.1\n{HEAD}Connection: close\n\n'
LONG = 300000


class Upload:
    """A target that records the request it receives."""

    def __init__(self) -> None:
        self.head = b''
        self.body = b''
        self.closed = threading.Event()
        self.started = threading.Event()
        self.target = ScriptedTarget(self.serve)

    def serve(self, connection: ScriptedConnection) -> None:
        self.head = connection.read_head()
        self.started.set()
        if b'chunked' in self.head:
            while not self.body.endswith(b'\r\n0\r\n\r\n'):
                part = connection.read_body(1)
                if not part:
                    break
                self.body += part
        else:
            self.body = connection.read_body(LONG)
        if len(self.body) >= LONG or self.body.endswith(b'0\r\n\r\n'):
            connection.answer()
        if connection.wait_closed():
            self.closed.set()


def test_long_body_is_streamed(instance: Instance) -> None:
    upload = Upload()
    instance.use_targets(upload.target)
    response = instance.request('PUT', body=b'x' * LONG)
    assert response.status == 200
    assert upload.body == b'x' * LONG
    assert b'Content-Length: 300000' in upload.head


def test_chunked_body_is_forwarded(instance: Instance) -> None:
    upload = Upload()
    instance.use_targets(upload.target)
    parts = [b'y' * 40000] * 3
    assert instance.request('PUT', body=iter(parts)).status == 200
    assert b'Transfer-Encoding: chunked' in upload.head
    assert upload.body.count(b'y') == 120000


def test_streamed_body_is_not_replayed(instance: Instance) -> None:
    """Guards against sending the remainder of a body as a complete one."""

    def lose(connection: ScriptedConnection) -> None:
        connection.read_head()
        connection.read_body(1000)
        connection.reset()

    second = ScriptedTarget(answer_all)
    instance.use_targets(ScriptedTarget(lose), second)
    response = instance.request('PUT', body=b'x' * LONG)
    assert response.status == 502
    assert response.problem['not_run'] is False
    assert second.connections == 0


def test_small_body_is_replayed(instance: Instance) -> None:
    def lose(connection: ScriptedConnection) -> None:
        connection.read_head()
        connection.reset()

    bodies: list[bytes] = []

    def keep(connection: ScriptedConnection) -> None:
        connection.read_head()
        bodies.append(connection.read_body(5))
        connection.answer()

    instance.use_targets(ScriptedTarget(lose), ScriptedTarget(keep))
    assert instance.request('PUT', body=b'small').status == 200
    assert bodies == [b'small']


def test_early_response_during_upload_is_forwarded(instance: Instance) -> None:
    def refuse(connection: ScriptedConnection) -> None:
        connection.read_head()
        connection.answer(b'too long', status='413 Too Large')
        connection.wait_closed()

    instance.use_targets(ScriptedTarget(refuse))
    sock = instance.connect()
    sock.sendall(
        f'PUT /a HTTP/1.1\n{HEAD}Content-Length: 1000000\n\n'.replace(
            '\n', '\r\n'
        ).encode()
        + b'x' * 65536
    )
    time.sleep(0.2)
    sock.sendall(b'x' * 65536)
    received = read_all(sock)
    assert received.startswith(b'HTTP/1.1 413')
    assert received.endswith(b'too long')


def test_stalled_upload_times_out(instance: Instance) -> None:
    """Guards against callers that occupy worker threads indefinitely."""
    instance.set_profile(progress_timeout_s=0.3)
    upload = Upload()
    instance.use_targets(upload.target)
    received = instance.send_raw(
        f'PUT /a HTTP/1.1\n{HEAD}Content-Length: 300000\n\n', b'x' * 70000
    )
    assert received.startswith(b'HTTP/1.1 408')
    assert b'"not_run": false' in received
    assert upload.closed.wait(5)
    assert instance.router.held == 0


def test_broken_chunk_closes_the_target_connection(
    instance: Instance,
) -> None:
    upload = Upload()
    instance.use_targets(upload.target)
    received = instance.send_raw(
        f'PUT /a HTTP/1.1\n{HEAD}Transfer-Encoding: chunked\n\n',
        b'11170\r\n' + b'x' * 70000 + b'\r\nbroken\r\n',
    )
    assert received.startswith(b'HTTP/1.1 400')
    assert b'malformed_body' in received
    assert b'"not_run": false' in received
    assert upload.closed.wait(5)


def test_caller_disconnect_during_upload(instance: Instance) -> None:
    upload = Upload()
    instance.use_targets(upload.target)
    with instance.connect() as sock:
        head = f'PUT /a HTTP/1.1\n{HEAD}Content-Length: 300000\n\n'
        sock.sendall(head.replace('\n', '\r\n').encode() + b'x' * 100000)
        assert upload.started.wait(5)
    assert upload.closed.wait(5)


def test_uploads_leave_threads_to_small_requests(make_instance: Any) -> None:
    """Guards against slow uploads that occupy all worker threads."""
    instance = make_instance(extra='[forwarding]\nthreads = 4\n')
    upload = Upload()
    instance.use_targets(upload.target)
    slow = []
    for _each in range(6):
        sock = instance.connect()
        head = f'PUT /a HTTP/1.1\n{HEAD}Content-Length: 300000\n\n'
        sock.sendall(head.replace('\n', '\r\n').encode() + b'x' * 100)
        slow.append(sock)
    time.sleep(0.3)
    refused = [sock for sock in slow if _has_refusal(sock)]
    assert len(refused) == 4
    instance.use_targets(ScriptedTarget(answer_all))
    assert instance.request().status == 200
    for sock in slow:
        sock.close()


def _has_refusal(sock: Any) -> bool:
    sock.settimeout(0.2)
    try:
        return b'too_many_transfers' in sock.recv(65536)
    except TimeoutError:
        return False


@pytest.mark.parametrize(
    ('raw', 'body'),
    [
        (b'Content-Length: 300000\r\n\r\n' + b'z' * LONG, b'z' * LONG),
        (b'\r\n' + b'z' * LONG, b'z' * LONG),
        (
            b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n'
            b'0\r\nT: x\r\n\r\n',
            b'abcde',
        ),
    ],
)
def test_complete_response_is_forwarded(
    instance: Instance, raw: bytes, body: bytes
) -> None:
    def send(connection: ScriptedConnection) -> None:
        connection.read_head()
        connection.send(b'HTTP/1.1 200 OK\r\n' + raw)

    instance.use_targets(ScriptedTarget(send))
    assert instance.request().body == body


@pytest.mark.parametrize(
    'raw',
    [
        b'Content-Length: 300000\r\n\r\n' + b'z' * 100000,
        b'Transfer-Encoding: chunked\r\n\r\n186a0\r\n' + b'z' * 100000,
        b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nxx\r\n',
    ],
)
def test_broken_response_is_visibly_broken(
    instance: Instance, raw: bytes
) -> None:
    """Guards against an incomplete response that looks complete."""

    def send(connection: ScriptedConnection) -> None:
        connection.read_head()
        connection.send(b'HTTP/1.1 200 OK\r\n' + raw)

    instance.use_targets(ScriptedTarget(send))
    with instance.connect() as sock:
        sock.sendall(GET.replace('\n', '\r\n').encode())
        received = b''
        with pytest.raises(ConnectionResetError):
            while part := sock.recv(65536):
                received += part
        assert not received.endswith(b'0\r\n\r\n')
    assert instance.router.records[0][1].result == 'reset'


def test_broken_small_response_is_retried(instance: Instance) -> None:
    def send(connection: ScriptedConnection) -> None:
        connection.read_head()
        connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfew')

    instance.use_targets(ScriptedTarget(send), ScriptedTarget(answer_all))
    assert instance.request().body == b'ok'
    instance.use_targets(ScriptedTarget(send), ScriptedTarget(answer_all))
    response = instance.request('POST')
    assert response.problem['reason'] == 'answer_broken'
    assert response.problem['not_run'] is False


def test_stalled_response_times_out(instance: Instance) -> None:
    instance.set_profile(progress_timeout_s=0.2)

    def stall(connection: ScriptedConnection) -> None:
        connection.read_head()
        connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\nfew')
        connection.wait_closed()

    instance.use_targets(ScriptedTarget(stall))
    received = instance.send_raw(GET)
    assert b'few' not in received or len(received) < 99999
    assert instance.router.held == 0


def test_response_head_in_single_bytes_ends_with_the_deadline(
    instance: Instance,
) -> None:
    """Guards against a target that holds a worker thread for hours."""
    instance.set_profile(request_timeout_s=1.0)

    def drip(connection: ScriptedConnection) -> None:
        connection.read_head()
        connection.send(b'HTTP/1.1 200 OK\r\nX-Long: ')
        for _number in range(40):
            try:
                connection.send(b'x')
            except OSError:
                return
            time.sleep(0.1)

    instance.use_targets(ScriptedTarget(drip))
    started_s = time.monotonic()
    received = instance.send_raw(GET)
    assert received.startswith(b'HTTP/1.1 504 ')
    assert time.monotonic() - started_s < 2
    assert instance.router.held == 0


def test_caller_disconnect_during_response(instance: Instance) -> None:
    closed = threading.Event()

    def trickle(connection: ScriptedConnection) -> None:
        connection.read_head()
        connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\nfew')
        if connection.wait_closed():
            closed.set()

    instance.use_targets(ScriptedTarget(trickle))
    with instance.connect() as sock:
        sock.sendall(GET.replace('\n', '\r\n').encode())
        time.sleep(0.1)
    assert closed.wait(5)


def test_interim_responses_are_skipped(instance: Instance) -> None:
    def send(connection: ScriptedConnection) -> None:
        connection.read_head()
        connection.send(b'HTTP/1.1 100 Continue\r\n\r\n')
        connection.send(b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n')
        connection.answer(b'final')

    instance.use_targets(ScriptedTarget(send))
    assert instance.request().body == b'final'


@pytest.mark.parametrize(
    ('method', 'status', 'length'),
    [
        ('HEAD', '200 OK', '5'),
        ('GET', '204 None', None),
        ('GET', '304 Same', '5'),
    ],
)
def test_response_without_body_keeps_connections(
    instance: Instance, method: str, status: str, length: str | None
) -> None:
    """Guards against waiting for a body that is not sent."""

    def send(connection: ScriptedConnection) -> None:
        while connection.read_head():
            extra = f'Content-Length: {length}\r\n' if length else ''
            connection.send(f'HTTP/1.1 {status}\r\n{extra}\r\n'.encode())

    target = ScriptedTarget(send)
    instance.use_targets(target)
    for _each in range(2):
        response = instance.request(method)
        assert response.status == int(status[:3])
        assert response.headers.get('Content-Length') == length
    assert target.connections == 1


def test_permits_are_free_while_a_caller_reads_slowly(
    instance: Instance,
) -> None:
    """Guards against slow callers that occupy a target's slots."""
    instance.use_targets(ScriptedTarget(answer_all))
    assert instance.request().status == 200
    assert instance.queue.held == 0
    assert instance.router.held == 0


def test_hop_by_hop_headers_are_dropped(instance: Instance) -> None:
    heads: list[bytes] = []

    def keep(connection: ScriptedConnection) -> None:
        heads.append(connection.read_head())
        connection.answer(extra='Connection: X-Inner\r\nX-Inner: 1\r\n')

    instance.use_targets(ScriptedTarget(keep))
    response = instance.request(
        headers={'Connection': 'X-Hop', 'X-Hop': '1', 'TE': 'trailers'}
    )
    assert b'X-Hop' not in heads[0]
    assert b'TE:' not in heads[0]
    assert KEY.encode() not in heads[0]
    assert 'X-Inner' not in response.headers
