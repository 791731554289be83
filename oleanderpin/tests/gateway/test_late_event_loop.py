"""Failures: delays of the own event loop that are charged to targets."""

import asyncio
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from prometheus_client import REGISTRY

from ...core.event_loop import EventLoop
from ...gateway.candidate import Candidate
from ...gateway.connection_pool import ConnectionPool
from ...gateway.plugin import Gateway
from ...gateway.target_connection import TargetConnection
from ...testing.gateway import (
    GatewayFixture,
    ScriptedHttpTarget,
    answer_bytes,
    configuration,
    request_bytes,
    started_gateway,
)
from ..control.group import wait_until

_BLOCKED_S = 1.3
_WAIT_S = 10.0


@pytest.fixture(name='gateway')
def _gateway(tmp_path: Path) -> Iterator[GatewayFixture]:
    with started_gateway(tmp_path, configuration()) as gateway:
        yield gateway


def _block(gateway: GatewayFixture) -> None:
    """Keep the event loop busy; return once it is."""
    begun = threading.Event()

    def work() -> None:
        begun.set()
        time.sleep(_BLOCKED_S)

    gateway.kernel.plugin(EventLoop).loop.call_soon_threadsafe(work)
    assert begun.wait(_WAIT_S)


def _block_when_connecting(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep the event loop busy while a connection is being opened."""
    open_connection = ConnectionPool._open

    async def open_late(self: ConnectionPool, address: str) -> TargetConnection:
        asyncio.get_running_loop().call_soon(time.sleep, _BLOCKED_S)
        return await open_connection(self, address)

    monkeypatch.setattr(ConnectionPool, '_open', open_late)


def _candidate(gateway: GatewayFixture) -> Candidate:
    async def find() -> Candidate:
        directory = gateway.kernel.plugin(Gateway)._forwarder._directory
        (candidate,) = directory.for_service('desk').candidates
        return candidate

    found: Candidate = gateway.kernel.plugin(EventLoop).run(find())
    return found


def _events(name: str) -> float:
    labels = {'concern': 'gateway', 'event': name}
    return REGISTRY.get_sample_value('oleanderpin_events_total', labels) or 0.0


def _require_no_blame(gateway: GatewayFixture) -> None:
    health = _candidate(gateway).health
    assert health.ejections == 0
    assert health.consecutive_failures == 0
    assert health.failure_fraction == 0
    assert not health.may_have_restarted


def test_target_is_not_blamed_for_a_late_connection(
    gateway: GatewayFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against sound targets set aside since the own loop was busy."""
    gateway.announce(ScriptedHttpTarget().start(), 't1')
    _block_when_connecting(monkeypatch)
    (response,) = gateway.ask(request_bytes())
    assert response.startswith(b'HTTP/1.1 200')
    _require_no_blame(gateway)


def test_response_that_arrived_in_time_is_delivered(
    gateway: GatewayFixture,
) -> None:
    """Guards against 504 in place of a response that waits to be read."""

    def script(request: bytes) -> bytes:
        if b'/late' in request:
            _block(gateway)
        return answer_bytes(request)

    gateway.announce(ScriptedHttpTarget(script).start(), 't1')
    first, second = gateway.ask(
        request_bytes(), request_bytes(path='/desk/late', deadline_ms=500)
    )
    assert first.startswith(b'HTTP/1.1 200')
    assert second.startswith(b'HTTP/1.1 200')
    _require_no_blame(gateway)


def test_target_that_had_no_time_is_not_blamed(
    gateway: GatewayFixture,
) -> None:
    """Guards against failures counted for requests that had no time left."""

    def script(request: bytes) -> bytes:
        _block(gateway)
        time.sleep(_BLOCKED_S * 1.5)
        return answer_bytes(request)

    gateway.announce(ScriptedHttpTarget(script).start(), 't1')
    (response,) = gateway.ask(request_bytes(deadline_ms=500))
    assert response.startswith(b'HTTP/1.1 504')
    _require_no_blame(gateway)


def test_silent_target_is_still_blamed(gateway: GatewayFixture) -> None:
    """Guards against hanging targets that are taken for sound ones."""
    released = threading.Event()

    def script(_request: bytes) -> bytes:
        released.wait(_WAIT_S)
        return b''

    gateway.announce(ScriptedHttpTarget(script).start(), 't1')
    (response,) = gateway.ask(request_bytes(deadline_ms=300))
    released.set()
    assert response.startswith(b'HTTP/1.1 504')
    assert _candidate(gateway).health.consecutive_failures == 1


def test_probe_that_was_answered_in_time_succeeds(
    gateway: GatewayFixture,
) -> None:
    """Guards against targets in doubt since the own loop was busy."""

    def script(request: bytes) -> bytes:
        if request.startswith(b'GET /health'):
            _block(gateway)
        return answer_bytes(request, extra='X-Target-Id: t1\r\n')

    target = ScriptedHttpTarget(script).start()
    gateway.announce(target, 't1')
    (response,) = gateway.ask(request_bytes())
    assert response.startswith(b'HTTP/1.1 200')
    failed_before = _events('probe_failed')
    _candidate(gateway).health.may_have_restarted = True
    wait_until(
        'probe', lambda: not _candidate(gateway).health.may_have_restarted
    )
    assert _events('probe_failed') == failed_before
    assert len(target.requests) == 2
    _require_no_blame(gateway)


def test_duration_with_an_own_delay_is_no_measure_of_the_target(
    gateway: GatewayFixture,
) -> None:
    """Guards against sound targets that count as slow, and get less."""

    def script(request: bytes) -> bytes:
        if b'/late' in request:
            _block(gateway)
        return answer_bytes(request)

    gateway.announce(ScriptedHttpTarget(script).start(), 't1')
    for path in ('/desk/1', '/desk/1', '/desk/late'):
        (response,) = gateway.ask(request_bytes(path=path))
        assert response.startswith(b'HTTP/1.1 200')
    health = _candidate(gateway).health
    assert health.responses == 3
    assert health.warm_responses == 1
    assert health.warm_latency_s < _BLOCKED_S / 10
