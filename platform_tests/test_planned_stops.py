"""Calls of operators and targets while a control instance stops."""

import http.client
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
from adapter import control_interface
from adapter.addresses import ADDRESSES

from oleanderpin import daemon  # noqa: F401 - registers the plug-ins
from oleanderpin.operators.actions import OperatorActions
from oleanderpin.testing import free_ports
from oleanderpin.tests.control.group import Group, wait_until

_ZONE = 'north-a'


@pytest.fixture
def group(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Group]:
    """Three instances; only c2 listens for orders."""
    made = Group(tmp_path)
    made.start('c0', 'c1')
    address = f'127.0.0.1:{free_ports(1)[0]}'
    monkeypatch.setattr(ADDRESSES, 'control', address)
    made.start('c2')
    made.leader()
    yield made
    made.stop()


def test_order_in_progress_is_answered_before_an_instance_stops(
    group: Group, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an order that acts, but whose response is cut off."""
    actions = group.kernels['c2'].plugin(OperatorActions)
    drain_failure_domain = actions.drain_failure_domain
    begun = threading.Event()
    released = threading.Event()

    def drain_when_released(*arguments: object, **options: object) -> object:
        begun.set()
        released.wait(10)
        return drain_failure_domain(*arguments, **options)

    monkeypatch.setattr(actions, 'drain_failure_domain', drain_when_released)
    connection = http.client.HTTPConnection(ADDRESSES.control, timeout=10)
    connection.request('POST', f'/evacuations/{_ZONE}')
    wait_until('the order', begun.is_set)
    interface = group.kernels['c2'].plugin(control_interface.ControlInterface)
    deadline_s = interface.kernel.clock.now_s() + 6
    draining = threading.Thread(
        target=lambda: interface.drain(deadline_s=deadline_s)
    )
    draining.start()
    draining.join(0.2)
    assert draining.is_alive()
    released.set()
    assert connection.getresponse().status == 200
    draining.join(10)
    with pytest.raises(ConnectionRefusedError):
        http.client.HTTPConnection(ADDRESSES.control, timeout=10).connect()
