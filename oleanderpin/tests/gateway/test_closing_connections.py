"""Responses and requests on connections that a gateway closes."""

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from ...control.configuration import ProfileDocument
from ...core.event_loop import EventLoop
from ...gateway.plugin import Gateway
from ...testing.gateway import (
    GatewayFixture,
    ScriptedHttpTarget,
    answer_bytes,
    configuration,
    header_of,
    read_message,
    request_bytes,
    started_gateway,
)
from ..control.group import wait_until
from .test_drain import drain
from .test_plugin import status_of

REPEATABLE = ProfileDocument(is_repeatable=True, max_attempts=1)
BODY = b'x' * 1_000_000
# For a request to arrive, and for the drain to ask the loop to close.
_ARRIVAL_S = 0.2
_POLL_S = 0.05
# The idle time-out of the configuration is a minute.
_CLOSE_S = 30.0


class LargeTarget(ScriptedHttpTarget):
    """Responds with a large body, once it is told to."""

    def __init__(self) -> None:
        """Start without permission to respond."""
        super().__init__(self.respond)
        self.released = threading.Event()

    def respond(self, request: bytes) -> bytes:
        self.released.wait(60)
        return answer_bytes(request, body=BODY)


@pytest.fixture
def gateway(tmp_path: Path):
    with started_gateway(
        tmp_path, configuration(profile=REPEATABLE), grace_s=20.0
    ) as started:
        yield started


@pytest.fixture
def target(gateway: GatewayFixture):
    large = LargeTarget().start()
    gateway.announce(large, 't1')
    yield large
    large.released.set()


@contextmanager
def held_loop(gateway: GatewayFixture) -> Iterator[None]:
    """Let the event loop of a gateway run nothing until the block ends."""
    begun = threading.Event()
    released = threading.Event()

    def hold() -> None:
        begun.set()
        released.wait(60)

    gateway.kernel.plugin(EventLoop).loop.call_soon_threadsafe(hold)
    begun.wait(60)
    try:
        yield
    finally:
        released.set()


def drain_gateway(gateway: GatewayFixture) -> threading.Thread:
    """Start to drain the gateway alone; other plug-ins may need its loop."""
    plugin = gateway.kernel.plugin(Gateway)
    deadline_s = gateway.kernel.clock.now_s() + 60
    thread = threading.Thread(
        target=lambda: plugin.drain(deadline_s=deadline_s)
    )
    thread.start()
    wait_until('the drain', lambda: plugin.listener.is_draining)
    return thread


def read_after_sending(
    connection: socket.socket, request: bytes, buffer: bytearray
) -> bytes:
    """Read a message of which a part has arrived, behind a further request."""
    buffer.extend(connection.recv(1000))
    connection.sendall(request)
    # The end of the connection would arrive now.
    time.sleep(0.2)
    return read_message(connection, buffer)


def test_response_at_a_stop_is_not_cut_by_a_request_behind_it(
    gateway: GatewayFixture, target: LargeTarget
) -> None:
    """Guards against a reset that discards the rest of a response.

    A gateway that stopped closed the connection while its last response was on
    its way, and the caller sent a further request.
    """
    buffer = bytearray()
    with gateway.connect_slowly() as connection:
        connection.sendall(request_bytes(request_id='r1'))
        wait_until('the request', lambda: target.requests)
        draining = drain(gateway)
        target.released.set()
        response = read_after_sending(
            connection, request_bytes(request_id='r2'), buffer
        )
        assert response.endswith(BODY)
        assert header_of(response, b'connection') == b'close'
        assert not connection.recv(1)
    draining.join(60)
    assert len(target.requests) == 1


def test_response_before_a_wanted_close_is_not_cut(
    gateway: GatewayFixture, target: LargeTarget
) -> None:
    """Guards against a reset by bytes that nobody reads any more."""
    target.released.set()
    request = request_bytes().replace(b'X-Empty: 1', b'Connection: close', 1)
    with gateway.connect_slowly() as connection:
        connection.sendall(request)
        response = read_after_sending(connection, b'\r\n', bytearray())
    assert response.endswith(BODY)


def test_response_before_a_rejected_request_is_not_cut(
    gateway: GatewayFixture, target: LargeTarget
) -> None:
    """Guards against a reset by what follows a malformed request."""
    target.released.set()
    buffer = bytearray()
    with gateway.connect_slowly() as connection:
        connection.sendall(request_bytes() + b'no request\r\n\r\n')
        response = read_after_sending(connection, b'more', buffer)
        assert response.endswith(BODY)
        assert status_of(read_message(connection, buffer)) == 400


def test_response_on_its_way_keeps_a_connection_open_at_a_stop(
    gateway: GatewayFixture, target: LargeTarget
) -> None:
    """Guards against a connection that counts as idle once all is written."""
    target.released.set()
    buffer = bytearray()
    listener = gateway.kernel.plugin(Gateway).listener
    with gateway.connect_slowly() as connection:
        connection.sendall(request_bytes(request_id='r1'))
        wait_until(
            'a written response',
            lambda: any(
                each.is_idle and target.requests
                for each in listener.connections
            ),
        )
        draining = drain(gateway)
        time.sleep(0.3)
        response = read_after_sending(
            connection, request_bytes(request_id='r2'), buffer
        )
        assert response.endswith(BODY)
    draining.join(60)


def test_request_that_waits_unread_at_a_stop_is_served(
    gateway: GatewayFixture, target: LargeTarget
) -> None:
    """Guards against a reset of a connection whose request nobody has read."""
    target.released.set()
    buffer = bytearray()
    with gateway.connect() as connection:
        connection.sendall(request_bytes(request_id='r1'))
        assert read_message(connection, buffer).endswith(BODY)
        with held_loop(gateway):
            draining = drain_gateway(gateway)
            connection.sendall(request_bytes(request_id='r2'))
            time.sleep(_ARRIVAL_S)
        assert read_message(connection, buffer).endswith(BODY)
    draining.join(60)


def test_connection_that_waits_to_be_accepted_at_a_stop_is_served(
    gateway: GatewayFixture, target: LargeTarget
) -> None:
    """Guards against a reset of connections in the queue of the listener."""
    target.released.set()
    with held_loop(gateway):
        draining = drain_gateway(gateway)
        connection = gateway.connect()
        connection.sendall(request_bytes())
        time.sleep(_ARRIVAL_S)
    with connection:
        assert read_message(connection, bytearray()).endswith(BODY)
    draining.join(60)


def test_refused_upload_of_a_caller_that_left_is_closed(
    gateway: GatewayFixture,
) -> None:
    """Guards against a stop that takes its whole grace period.

    The refusal of an upload that is not read stayed undelivered, and the reset
    was not noticed, until the idle time-out.
    """
    upload = request_bytes(method='POST', key='', body=BODY)
    listener = gateway.kernel.plugin(Gateway).listener
    connection = gateway.connect()
    wait_until('the connection', lambda: listener.connections)
    with held_loop(gateway), connection:
        connection.sendall(upload[: len(upload) // 10])
    end_s = time.monotonic() + _CLOSE_S
    while listener.connections and time.monotonic() < end_s:
        time.sleep(_POLL_S)
    assert not listener.connections
