"""Bytes of calls to peers, by the border that they cross."""

import logging
from types import SimpleNamespace
from typing import Any

import pytest

from ...membership.peers import Peers
from ...testing import ManualClock
from ...testing.fleet import build_fleet
from ...wire.network import PeerNetwork
from ...wire.peer_traffic import PeerTraffic

CALL_TIMEOUT_S = 5.0


def logged_bytes(caplog: pytest.LogCaptureFixture) -> dict[str, int]:
    """Return the bytes of the last log line."""
    record: Any = caplog.records[-1]
    return record.bytes_by_call_and_border


def test_peer_that_becomes_known_with_the_reply_is_counted_by_its_border(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against the bytes of a start, which no border is known of yet."""
    caplog.set_level(logging.INFO)
    kernel: Any = SimpleNamespace(clock=ManualClock(0.0))
    traffic = PeerTraffic(kernel)
    traffic.note('10.0.0.1:7220', 'Membership.join', 900)
    traffic.borders = lambda: {'10.0.0.1:7220': 'region'}
    kernel.clock.advance(11)
    traffic.note('10.0.0.1:7220', 'Membership.join', 100)
    assert logged_bytes(caplog) == {'Membership.join region': 1000}


def test_bytes_of_a_call_are_request_and_reply() -> None:
    """Guards against a count that misses one direction."""
    near, far = build_fleet(['a-1', 'b-1'])
    for kernel in (near, far):
        kernel.start()
    counted: list[tuple[str, int]] = []
    traffic = near.plugin(PeerTraffic)
    address = far.settings.listen.peer
    try:
        traffic.note = (  # type: ignore[method-assign]
            lambda _address, call, count: counted.append((call, count))
        )
        near.plugin(PeerNetwork).call(
            address,
            'Membership',
            'ping',
            near.plugin(Peers).table.own,
            timeout_s=CALL_TIMEOUT_S,
        )
        border = near.plugin(Peers)._borders().get(address, 'unknown')
        assert border in {'region', 'unknown'}
    finally:
        for kernel in (near, far):
            kernel.stop()
    pings = [count for call, count in counted if call == 'Membership.ping']
    assert pings
    # Both sides describe themselves, with three addresses each.
    assert min(pings) > 2 * len(f'{address}{address}{address}')
