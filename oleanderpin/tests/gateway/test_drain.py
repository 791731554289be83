"""Requests on open connections while a gateway stops."""

import threading
import time
from pathlib import Path

import pytest

from ...control.configuration import ProfileDocument
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
from .test_plugin import status_of

REPEATABLE = ProfileDocument(is_repeatable=True, max_attempts=1)


class SlowTarget(ScriptedHttpTarget):
    """Responds to requests below ``/desk/slow/`` once it is told to."""

    def __init__(self) -> None:
        super().__init__(self.respond)
        self.released = threading.Event()

    def respond(self, request: bytes) -> bytes:
        if b'/desk/slow/' in request.partition(b'\r\n')[0]:
            self.released.wait(60)
        return answer_bytes(request, body=header_of(request, b'x-request-id'))


@pytest.fixture
def gateway(tmp_path: Path):
    with started_gateway(
        tmp_path, configuration(profile=REPEATABLE)
    ) as started:
        yield started


@pytest.fixture
def target(gateway: GatewayFixture):
    slow = SlowTarget().start()
    gateway.announce(slow, 't1')
    yield slow
    slow.released.set()


def drain(gateway: GatewayFixture) -> threading.Thread:
    """Start to drain the gateway, as on SIGTERM."""
    kernel = gateway.kernel
    thread = threading.Thread(target=lambda: kernel.drain(timeout_s=60))
    thread.start()
    wait_until('the drain', lambda: kernel.plugin(Gateway).listener.is_draining)
    return thread


def test_complete_response_is_not_lost_behind_one_that_never_comes(
    gateway: GatewayFixture, target: SlowTarget
) -> None:
    """Guards against a stop that discards a response that is ready.

    A caller's connection was closed six seconds after SIGTERM although the
    target had answered its request: an earlier one on the same connection was
    still unanswered.
    """
    buffer = bytearray()
    with gateway.connect() as connection:
        connection.sendall(
            request_bytes(
                path='/desk/slow/', request_id='r1', deadline_ms=50000
            )
            + request_bytes(request_id='r2', deadline_ms=50000)
        )
        wait_until('both requests', lambda: len(target.requests) == 2)
        time.sleep(0.2)
        drain(gateway).join(60)
        gateway.kernel.stop()
        responses = [read_message(connection, buffer) for _each in range(2)]
    assert status_of(responses[0]) == 504
    assert responses[1].endswith(b'r2')


def test_connection_takes_no_request_behind_others_while_draining(
    gateway: GatewayFixture, target: SlowTarget
) -> None:
    """Guards against pipelined connections that outlast the grace period."""
    buffer = bytearray()
    with gateway.connect() as connection:
        connection.sendall(request_bytes(path='/desk/slow/', request_id='r1'))
        wait_until('the first request', lambda: target.requests)
        draining = drain(gateway)
        connection.sendall(request_bytes(request_id='r2'))
        time.sleep(0.2)
        target.released.set()
        response = read_message(connection, buffer)
        assert not read_message(connection, buffer)
        draining.join(60)
    assert response.endswith(b'r1')
    assert header_of(response, b'connection') == b'close'
    assert len(target.requests) == 1
