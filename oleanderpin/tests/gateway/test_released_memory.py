"""Memory of requests that have ended, while cycles are not collected.

A share of the budget that is closed before its memory is free lets callers and
targets make a process hold more than its budget.
"""

import asyncio
import socket
from pathlib import Path

import pytest

from ...control.configuration import ProfileDocument
from ...core.memory_budget import MemoryBudget
from ...core.settings import GatewaySettings
from ...gateway.messages import EncodedRequest, TargetFailure
from ...gateway.response_budget import ResponseBudget
from ...gateway.target_connection import TargetConnection
from ...gateway.traffic import TrafficMeter
from ...testing.garbage import body_bytes, no_collections, traced_memory
from ...testing.gateway import (
    GatewayFixture,
    LoopbackTarget,
    configuration,
    read_message,
    request_bytes,
    reset,
    started_gateway,
)
from ..control.group import wait_until

REPEATABLE = ProfileDocument(is_repeatable=True, max_attempts=1)
BODY = bytes(500_000)
LONG_HEAD = b'GET /desk/1 HTTP/1.1\r\nX-Long: ' + b'x' * 250_000
LONG_RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\nX-Long: ' + b'x' * 100_000
REFUSED_CALLERS = 40
MB = 1024 * 1024
# Of the responses of the gateway itself, and of what its own loops hold.
SMALL_BYTES = 10_000


class SilentTarget(LoopbackTarget):
    """Reads requests and never responds."""

    def serve(self, connection: socket.socket) -> None:
        while connection.recv(65536):
            continue


def chunked(body: bytes) -> bytes:
    """Return a request whose body has one chunk."""
    request = request_bytes(method='POST').replace(
        b'X-Empty: 1\r\n', b'Transfer-Encoding: chunked\r\n'
    )
    return b'%b%x\r\n%b\r\n0\r\n\r\n' % (request, len(body), body)


@pytest.fixture
def gateway(tmp_path: Path):
    change = configuration(profile=REPEATABLE)
    with started_gateway(tmp_path, change) as started:
        started.announce(SilentTarget().start(), 't1')
        yield started


@pytest.mark.parametrize(
    'request_data',
    [
        pytest.param(request_bytes(method='POST', body=BODY), id='length'),
        pytest.param(chunked(BODY), id='chunked'),
    ],
)
def test_request_of_a_caller_that_has_left_is_freed(
    gateway: GatewayFixture, request_data: bytes
) -> None:
    """Guards against bodies that cost memory after their callers have left."""
    with no_collections():
        with gateway.connect() as connection:
            connection.sendall(request_data)
            wait_until('a request', lambda: body_bytes() >= len(BODY))
            reset(connection)
        wait_until('nothing held', lambda: gateway.held_bytes() == 0)
        wait_until('a free body', lambda: body_bytes() < SMALL_BYTES)


def test_head_of_a_refused_caller_is_freed(gateway: GatewayFixture) -> None:
    """Guards against fields that cost memory after they were refused."""
    with traced_memory() as traced_bytes:
        for _caller in range(REFUSED_CALLERS):
            with gateway.connect() as connection:
                connection.sendall(LONG_HEAD)
                response = read_message(connection, bytearray())
                assert response.startswith(b'HTTP/1.1 431 ')
        wait_until('nothing held', lambda: gateway.held_bytes() == 0)
        assert traced_bytes() < MB


async def _bytes_after_failed_heads(count: int) -> int:
    """Return what stays of connections whose targets sent endless fields."""
    memory = MemoryBudget(100 * MB)
    budget = ResponseBudget(GatewaySettings(), memory)
    loop = asyncio.get_running_loop()
    kept = []
    with traced_memory() as traced_bytes:
        for _connection in range(count):
            own, other = socket.socketpair()
            _transport, connection = await loop.create_connection(
                lambda: TargetConnection(
                    b'x-request-id', budget, TrafficMeter(), address='t1'
                ),
                sock=own,
            )
            request = EncodedRequest(b'GET / HTTP/1.1\r\n\r\n', b'')
            failed = connection.send(b'r1', request, is_head=False)
            other.sendall(LONG_RESPONSE_HEAD)
            with pytest.raises(TargetFailure, match='too_large'):
                await failed
            other.close()
            kept.append(connection)
        assert not memory.held_bytes
        return traced_bytes()


def test_head_of_a_target_that_is_given_up_is_freed() -> None:
    """Guards against fields that a failed connection goes on holding."""
    assert asyncio.run(_bytes_after_failed_heads(20)) < MB
