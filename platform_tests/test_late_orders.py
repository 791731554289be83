"""Orders that wait in a socket while an instance stands still."""

import http.client
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from adapter import control_interface  # noqa: F401 - registers the plug-in
from adapter.addresses import ADDRESSES

from oleanderpin import daemon  # noqa: F401 - registers the plug-ins
from oleanderpin.core.event_loop import EventLoop
from oleanderpin.operators.actions import OperatorActions
from oleanderpin.testing import free_ports
from oleanderpin.tests.control.group import Group, wait_until

_PAUSE_S = 2.0
_GIVEN_UP_S = 1.0
_ZONE = 'north-a'
_PATH = f'/evacuations/{_ZONE}'


@pytest.fixture
def group(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Group]:
    """Three instances; only c1 listens for orders."""
    made = Group(tmp_path)
    made.start('c0')
    with monkeypatch.context() as patched:
        address = f'127.0.0.1:{free_ports(1)[0]}'
        patched.setattr(ADDRESSES, 'control', address)
        made.start('c1')
        patched.setattr(ADDRESSES, 'control', '')
        made.start('c2')
        made.leader()
        patched.setattr(ADDRESSES, 'control', address)
        yield made
    made.stop()


def _send(method: str) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(
        ADDRESSES.control, timeout=_GIVEN_UP_S
    )
    connection.request(method, _PATH)
    return connection


def _order(method: str) -> int:
    connection = _send(method)
    status = connection.getresponse().status
    connection.close()
    return status


def _pause(group: Group, name: str) -> None:
    """Stop the event loop of an instance for a while."""

    async def stand_still() -> None:
        time.sleep(_PAUSE_S)

    group.kernels[name].plugin(EventLoop).submit(stand_still())


def test_order_that_waited_in_a_socket_does_not_act(group: Group) -> None:
    """Guards against a cancelled drain that was started again meanwhile.

    The sender of the first cancellation gives up after a second, cancels the
    drain elsewhere and starts it again. The instance does not see that its
    connection was closed, as if the link was cut.
    """
    # Refused with 503 while the group elects another leader.
    wait_until('the drain', lambda: _order('POST') == 200)
    _pause(group, 'c1')
    time.sleep(0.2)
    given_up = _send('DELETE')
    with pytest.raises(socket.timeout):
        given_up.getresponse()
    other = group.kernels['c0'].plugin(OperatorActions)
    valid_until_s = other.kernel.clock.now_s() + 30
    other.return_failure_domain(_ZONE, valid_until_s=valid_until_s)
    other.drain_failure_domain(_ZONE, valid_until_s=valid_until_s)
    time.sleep(_PAUSE_S)
    given_up.close()
    assert _ZONE in group.view(group.leader()).state.drains
    wait_until('orders are taken again', lambda: _order('DELETE') == 200)
    assert _ZONE not in group.view(group.leader()).state.drains
