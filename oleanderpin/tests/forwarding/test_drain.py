"""Drain of an instance: no request is interrupted."""

import socket
import threading
import time
from typing import Any

from ...testing import ScriptedConnection, ScriptedTarget, answer_all
from .harness import KEY, Instance, read_all

GET = f'GET /a HTTP/1.1\r\nHost: desk\r\nAuthorization: Bearer {KEY}\r\n\r\n'
BODY = b'x' * 1_000_000
SHORT_TTL = '[forwarding]\nlookup_ttl_s = 0.3\n'


def drain(instance: Instance, *, timeout_s: float) -> threading.Thread:
    deadline_s = instance.kernel.clock.now_s() + timeout_s
    thread = threading.Thread(
        target=instance.pipeline.drain, kwargs={'deadline_s': deadline_s}
    )
    thread.start()
    return thread


def test_transfer_in_flight_is_finished(make_instance: Any) -> None:
    """Guards against interrupting a long transfer at a planned stop."""
    instance = make_instance(extra=SHORT_TTL)
    release = threading.Event()

    def slow(connection: ScriptedConnection) -> None:
        connection.read_head()
        connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n')
        connection.send(b'x' * 100000)
        release.wait(10)
        connection.send(b'x' * 100000)

    instance.use_targets(ScriptedTarget(slow))
    with instance.connect() as sock:
        sock.sendall(GET.encode())
        received = sock.recv(1000)
        thread = drain(instance, timeout_s=20)
        time.sleep(0.8)
        assert thread.is_alive()
        release.set()
        while part := sock.recv(65536):
            received += part
            if received.count(b'x') >= 200000:
                break
    thread.join(5)
    assert not thread.is_alive()
    assert received.count(b'x') >= 200000


def test_requests_are_served_until_lookups_have_expired(
    make_instance: Any,
) -> None:
    """Guards against rejecting callers that use an unexpired look-up."""
    instance = make_instance(extra=SHORT_TTL)
    instance.use_targets(ScriptedTarget(answer_all))
    thread = drain(instance, timeout_s=20)
    time.sleep(0.1)
    assert thread.is_alive()
    response = instance.request()
    assert response.status == 200
    assert response.headers['Connection'] == 'close'
    thread.join(5)
    assert not thread.is_alive()


def test_drain_ends_at_its_time_limit(make_instance: Any) -> None:
    instance = make_instance(extra=SHORT_TTL)
    release = threading.Event()

    def hang(connection: ScriptedConnection) -> None:
        connection.read_head()
        release.wait(10)

    instance.use_targets(ScriptedTarget(hang))
    with instance.connect() as sock:
        sock.sendall(GET.encode())
        time.sleep(0.1)
        thread = drain(instance, timeout_s=0.6)
        thread.join(5)
        release.set()
        assert not thread.is_alive()


def answer_with_body(connection: ScriptedConnection) -> None:
    while connection.read_head():
        connection.answer(BODY)


def connect_slowly(instance: Instance) -> socket.socket:
    """Open a connection that takes in a few kilobytes at a time."""
    sock = socket.socket()
    sock.settimeout(10)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(('127.0.0.1', instance.port))
    return sock


def test_response_before_a_wanted_close_is_not_cut(make_instance: Any) -> None:
    """Guards against a reset that discards the rest of a response.

    The connection was closed while its last response was on its way, and the
    caller sent further bytes.
    """
    instance = make_instance(extra=SHORT_TTL)
    instance.use_targets(ScriptedTarget(answer_with_body))
    request = f'{GET[:-2]}Connection: close\r\n\r\n'
    with connect_slowly(instance) as sock:
        sock.sendall(request.encode())
        received = sock.recv(1000)
        sock.sendall(b'\r\n')
        time.sleep(0.5)
        received += read_all(sock)
    assert received.endswith(BODY)


def test_stop_waits_until_responses_are_delivered(make_instance: Any) -> None:
    """Guards against connections that count as idle once all is written."""
    instance = make_instance(extra=SHORT_TTL)
    instance.use_targets(ScriptedTarget(answer_with_body))
    with connect_slowly(instance) as sock:
        sock.sendall(GET.encode())
        received = sock.recv(1000)
        draining = drain(instance, timeout_s=20)
        draining.join(1.5)
        if not draining.is_alive():
            instance.pipeline.stop()
        sock.sendall(GET.encode())
        time.sleep(0.5)
        while received.count(b'x') < len(BODY):
            received += sock.recv(65536)
    draining.join(5)
    assert not draining.is_alive()
