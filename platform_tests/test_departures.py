"""Departures of targets at an instance that has just started."""

import http.client
from collections.abc import Iterator
from pathlib import Path

import pytest
from adapter import control_interface  # noqa: F401 - registers the plug-in
from adapter.addresses import ADDRESSES

from oleanderpin import daemon  # noqa: F401 - registers the plug-ins
from oleanderpin.targets.exchange import Exchange
from oleanderpin.testing import free_ports
from oleanderpin.tests.control.group import Group, wait_until


@pytest.fixture
def group(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Group]:
    """Three instances, of which c2 is started by the test."""
    made = Group(tmp_path)
    made.start('c0', 'c1')
    address = f'127.0.0.1:{free_ports(1)[0]}'
    monkeypatch.setattr(ADDRESSES, 'control', address)
    yield made
    made.stop()


def _depart(target_id: str) -> int:
    connection = http.client.HTTPConnection(ADDRESSES.control, timeout=10)
    connection.request('DELETE', f'/instances/{target_id}')
    status = connection.getresponse().status
    connection.close()
    return status


def test_departure_of_a_target_that_is_not_known_yet_is_refused(
    group: Group, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a confirmed departure that no instance has recorded.

    An instance that has just started does not know the targets that announced
    themselves to others; they would go on sending requests to them.
    """
    with monkeypatch.context() as patched:
        patched.setattr(Exchange, 'pull_step', lambda _exchange: False)
        group.start('c2')
        assert _depart('i-1') == 503
    # A target that nobody knows has left already.
    wait_until('all targets known', lambda: _depart('i-1') == 200)
