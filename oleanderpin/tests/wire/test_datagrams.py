"""Start and stop of the datagram socket."""

import socket
from types import SimpleNamespace
from typing import Any

from ...testing import free_ports
from ...wire.datagrams import PeerDatagrams

_WAIT_S = 5.0


class LateSocket:
    """A socket whose user goes on only after the receiving thread has ended."""

    def __init__(self, datagrams: PeerDatagrams) -> None:
        self._datagrams = datagrams
        self._socket: Any = datagrams._socket

    def getsockname(self) -> Any:
        address = self._socket.getsockname()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.sendto(b'late', address)
        self._datagrams._thread.join(_WAIT_S)  # type: ignore[union-attr]
        return address

    def __getattr__(self, name: str) -> Any:
        return getattr(self._socket, name)


def test_stop_while_a_datagram_is_handled() -> None:
    """Guards against a stop that uses a socket the receiving thread closed."""
    port = free_ports(1)[0]
    listen = SimpleNamespace(peer=f'127.0.0.1:{port}')
    kernel = SimpleNamespace(
        settings=SimpleNamespace(listen=listen),
        plugin=lambda _wanted: None,
    )
    datagrams = PeerDatagrams(kernel)
    datagrams.start()
    late: Any = LateSocket(datagrams)
    datagrams._socket = late
    datagrams.stop()
    assert late.fileno() == -1
