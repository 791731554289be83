"""Connection pool: idle time-out, freshness and limits."""

from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import pytest

from ...forwarding.connections import ConnectionLimitError, TargetConnections
from ...membership.peers import Peers
from ...testing import ManualClock, ScriptedConnection, ScriptedTarget
from .harness import FakeKernel, make_target


@pytest.fixture
def target() -> Iterator[ScriptedTarget]:
    started = ScriptedTarget(lambda connection: connection.wait_closed())
    yield started
    started.stop()


@pytest.fixture
def pool() -> Iterator[TargetConnections]:
    settings = SimpleNamespace(
        forwarding=SimpleNamespace(
            idle_connection_s=15.0, connect_timeout_s=1.0
        )
    )
    peers = SimpleNamespace(
        alive=lambda: (SimpleNamespace(roles=('entry',)),) * 2
    )
    kernel = FakeKernel(settings, {Peers: peers})
    kernel.clock = ManualClock()
    connections = kernel.plugin(TargetConnections)
    yield connections
    connections.stop()


def acquire(
    pool: Any, target: Any, *, fresh: bool = False, limit: int = 100
) -> Any:
    row = make_target(target.address, connections=limit)
    return pool.acquire(row, needs_fresh=fresh, timeout_s=1)


def test_idle_connection_is_reused(pool: Any, target: ScriptedTarget) -> None:
    first = acquire(pool, target)
    pool.release(first)
    assert acquire(pool, target) is first


def test_expired_connections_are_closed(
    pool: Any, target: ScriptedTarget
) -> None:
    """Guards against reuse of connections that a firewall silently dropped."""
    pool.release(acquire(pool, target))
    pool.kernel.clock.advance(14)
    pool.close_expired()
    assert pool.open_count(target.address) == 1
    pool.kernel.clock.advance(2)
    pool.close_expired()
    assert pool.open_count(target.address) == 0


def test_non_idempotent_request_needs_a_fresh_connection(
    pool: Any, target: ScriptedTarget
) -> None:
    """Guards against losing a request that must not be repeated."""
    first = acquire(pool, target)
    pool.release(first)
    pool.kernel.clock.advance(0.9)
    assert acquire(pool, target, fresh=True) is first
    pool.release(first)
    pool.kernel.clock.advance(1.1)
    second = acquire(pool, target, fresh=True)
    assert second is not first
    assert second.is_new


def test_closed_idle_connection_is_not_reused(pool: Any) -> None:
    target = ScriptedTarget(lambda _connection: None)
    first = acquire(pool, target)
    # The target closes at once; its FIN makes the socket readable.
    first.sock.recv(1)
    pool.release(first)
    assert acquire(pool, target).is_new


def test_connection_with_surplus_bytes_is_closed(pool: Any) -> None:
    """Guards against forwarding surplus bytes to the next caller."""

    def surplus(connection: ScriptedConnection) -> None:
        connection.send(b'HTTP/1.1 200 OK\r\n\r\n')
        connection.wait_closed()

    target = ScriptedTarget(surplus)
    first = acquire(pool, target)
    first.reader.receive()
    pool.release(first)
    assert pool.open_count(target.address) == 0


def test_connections_to_a_target_are_limited(
    pool: Any, target: ScriptedTarget
) -> None:
    """Guards against exceeding this instance's fraction of the limit."""
    held = [acquire(pool, target, limit=4) for _each in range(2)]
    with pytest.raises(ConnectionLimitError):
        acquire(pool, target, limit=4)
    pool.close(held[0])
    assert acquire(pool, target, limit=4).is_new
