"""UDP datagrams between instances, on the port of the peer address."""

import logging
import socket
import threading
from collections.abc import Callable
from typing import Any

from ..core.metrics import EVENTS, PEER_BYTES
from ..core.plugin import Plugin, plugins
from .peer_traffic import DATAGRAM, PeerTraffic

_LOG = logging.getLogger(__name__)
_MAX_DATAGRAM_BYTES = 65535
_STOP_TIMEOUT_S = 1.0

Receiver = Callable[[str, bytes], None]


def _ignore_datagram(_address: str, _payload: bytes) -> None:
    EVENTS.labels('wire', 'datagram_ignored').inc()


@plugins.register('peer-datagrams')
class PeerDatagrams(Plugin):
    """Sends and receives UDP datagrams; delivery is not guaranteed."""

    def __init__(self, kernel: Any) -> None:
        """Initialize without a socket; received datagrams are ignored."""
        super().__init__(kernel)
        self._traffic = kernel.plugin(PeerTraffic)
        self._socket: socket.socket | None = None
        self._thread: threading.Thread | None = None
        self._receiver: Receiver = _ignore_datagram

    def on_datagram(self, receiver: Receiver) -> None:
        """Set the callback for sender address and payload of datagrams."""
        self._receiver = receiver

    def start(self) -> None:
        """Bind the peer address and start the receiving thread."""
        host, port = self.kernel.settings.listen.peer.split(':')
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.bind((host, int(port)))
        self._socket = udp_socket
        self._thread = threading.Thread(
            target=self._receive,
            args=(udp_socket,),
            name='datagrams',
            daemon=True,
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop the receiving thread and close the socket."""
        udp_socket = self._socket
        self._socket = None
        if udp_socket is None or self._thread is None:
            return
        # An empty datagram unblocks the thread that waits in recvfrom().
        udp_socket.sendto(b'', udp_socket.getsockname())
        self._thread.join(_STOP_TIMEOUT_S)
        udp_socket.close()

    def send(self, address: str, payload: bytes) -> None:
        """Send ``payload`` to a peer address without acknowledgement."""
        udp_socket = self._socket
        if udp_socket is None:
            return
        host, port = address.split(':')
        try:
            udp_socket.sendto(payload, (host, int(port)))
        except OSError:
            EVENTS.labels('wire', 'datagram_failed').inc()
            return
        PEER_BYTES.labels('sent').inc(len(payload))
        self._traffic.note(address, DATAGRAM, len(payload))

    def _receive(self, udp_socket: socket.socket) -> None:
        while self._socket is udp_socket:
            try:
                payload, source = udp_socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError:
                # recvfrom() reports ICMP errors of datagrams sent earlier.
                EVENTS.labels('wire', 'datagram_failed').inc()
                continue
            if payload:
                self._dispatch(f'{source[0]}:{source[1]}', payload)

    def _dispatch(self, address: str, payload: bytes) -> None:
        PEER_BYTES.labels('received').inc(len(payload))
        try:
            self._receiver(address, payload)
        except Exception:
            EVENTS.labels('wire', 'malformed_message').inc()
            _LOG.exception('cannot process datagram from %s', address)
