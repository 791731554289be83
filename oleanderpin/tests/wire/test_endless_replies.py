"""Replies of peers that cost their callers more than they count."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from ...testing.fleet import build_fleet
from ...testing.garbage import traced_memory
from ...testing.listener_crowds import framed, varint
from ...wire.network import PeerCallError, PeerNetwork

CALL_TIMEOUT_S = 5.0
MB = 1024 * 1024
# A reply to Idempotency.copy; its field 3 is a list of records.
REPLY = b'\x82\x41\x00\x04copy\x0c\x00'
RECORDS = b'\x39\xfc'
ONE_RECORD = b'\x39\x1c'
# The first field of a record.
NAME = b'\x18'


@contextmanager
def peer_that_replies(reply: bytes) -> Iterator[str]:
    """Run a peer that sends the same reply to each call of a connection."""
    with socket.create_server(('127.0.0.1', 0)) as listener:

        def serve() -> None:
            connection, _address = listener.accept()
            with connection:
                while connection.recv(65536):
                    connection.sendall(reply)

        threading.Thread(target=serve, daemon=True).start()
        yield f'127.0.0.1:{listener.getsockname()[1]}'


@pytest.fixture
def network() -> Iterator[PeerNetwork]:
    (kernel,) = build_fleet(['a-1'])
    started = kernel.plugin(PeerNetwork)
    yield started
    started.stop()


def copy_records(network: PeerNetwork, address: str) -> Any:
    """Call Idempotency.copy."""
    return network.call(
        address, 'Idempotency', 'copy', '', timeout_s=CALL_TIMEOUT_S
    )


def test_reply_of_too_many_items_is_refused(network: PeerNetwork) -> None:
    """Guards against items of one byte that take a hundred in memory."""
    count = 1_000_000
    records = RECORDS + varint(count) + bytes(count)
    with peer_that_replies(framed(REPLY + records + bytes(2))) as address:
        with pytest.raises(PeerCallError):
            copy_records(network, address)


def test_idle_connection_keeps_no_reply(network: PeerNetwork) -> None:
    """Guards against large replies that each idle connection holds."""
    size_bytes = 8 * MB
    name = NAME + varint(size_bytes) + b'x' * size_bytes
    reply = framed(REPLY + ONE_RECORD + name + bytes(3))
    with peer_that_replies(reply) as address, traced_memory() as traced_bytes:
        assert len(copy_records(network, address).records) == 1
        assert traced_bytes() < MB
