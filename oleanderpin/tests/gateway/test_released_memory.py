"""Memory of requests that have ended, while cycles are not collected.

A share of the budget that is closed before its memory is free lets callers and
targets make a process hold more than its budget.
"""

import socket
from pathlib import Path

import pytest

from ...control.configuration import ProfileDocument
from ...testing.garbage import body_bytes, no_collections
from ...testing.gateway import (
    GatewayFixture,
    LoopbackTarget,
    configuration,
    request_bytes,
    reset,
    started_gateway,
)
from ..control.group import wait_until

REPEATABLE = ProfileDocument(is_repeatable=True, max_attempts=1)
BODY = bytes(500_000)
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
