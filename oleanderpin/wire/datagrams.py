"""Datagrams between instances, on the UDP port of the peer address."""

import logging
import socket
import threading
from collections.abc import Callable
from typing import Any

from ..core.metrics import EVENTS, PEER_BYTES
from ..core.plugin import Plugin, plugins

_LOG = logging.getLogger(__name__)
_MAX_DATAGRAM_BYTES = 65535
_STOP_TIMEOUT_S = 1.0

Receiver = Callable[[str, bytes], None]


def _ignore(_address: str, _payload: bytes) -> None:
    EVENTS.labels('wire', 'datagram_ignored').inc()


@plugins.register('peer-datagrams')
class PeerDatagrams(Plugin):
    """Sends and receives datagrams; delivery is not guaranteed."""

    def __init__(self, kernel: Any) -> None:
        """Start without a socket."""
        super().__init__(kernel)
        self._socket: socket.socket | None = None
        self._thread: threading.Thread | None = None
        self._receiver: Receiver = _ignore

    def on_datagram(self, receiver: Receiver) -> None:
        """Call ``receiver`` with sender address and payload of each one."""
        self._receiver = receiver

    def start(self) -> None:
        """Bind the peer address and receive."""
        host, port = self.kernel.settings.listen.peer.split(':')
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.bind((host, int(port)))
        self._socket = bound
        self._thread = threading.Thread(
            target=self._receive, args=(bound,), name='datagrams', daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Close the socket."""
        bound = self._socket
        self._socket = None
        if bound is None or self._thread is None:
            return
        # An empty datagram wakes up the thread that is blocked in recvfrom().
        bound.sendto(b'', bound.getsockname())
        self._thread.join(_STOP_TIMEOUT_S)

    def send(self, address: str, payload: bytes) -> None:
        """Send ``payload`` to a peer address, without confirmation."""
        bound = self._socket
        if bound is None:
            return
        host, port = address.split(':')
        try:
            bound.sendto(payload, (host, int(port)))
        except OSError:
            EVENTS.labels('wire', 'datagram_failed').inc()
            return
        PEER_BYTES.labels('sent').inc(len(payload))

    def _receive(self, bound: socket.socket) -> None:
        with bound:
            while self._socket is bound:
                try:
                    payload, source = bound.recvfrom(_MAX_DATAGRAM_BYTES)
                except OSError:
                    # An ICMP error of an earlier datagram is reported here.
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
            _LOG.exception('datagram from %s failed', address)
