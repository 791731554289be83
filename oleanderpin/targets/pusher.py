"""The thread that pushes records to one peer."""

from typing import TYPE_CHECKING, Any

from ..core.background import background_thread
from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..membership.peers import Peer
from ..wire.network import PeerNetwork

if TYPE_CHECKING:
    from .exchange import Exchange

_PUSH_TIMEOUT_S = 1.0
_BATCH_DELAY_S = 0.5
_PUSH_ATTEMPTS = 2
_RETRY_DELAY_S = 0.2
# A peer that is suspected only briefly is not sent all records again.
_KEEP_SILENT_PEER_S = 30.0


class Pusher:
    """Pushes to one peer, so that an unresponsive peer delays no other.

    ``sent_version`` is the version up to which the peer has confirmed all
    records.

    Parameters
    ----------
    kernel : Kernel
        Provides the clock and the life cycle.
    exchange : Exchange
        Provides the records.
    network : PeerNetwork
        Network of this instance.
    """

    def __init__(
        self, kernel: Any, exchange: 'Exchange', network: PeerNetwork
    ) -> None:
        """Start with nothing sent."""
        self._kernel = kernel
        self._exchange = exchange
        self._network = network
        self.sent_version = 0
        self.roles: tuple[str, ...] = ()
        self._receiver_start_id = 0
        self._address = ''
        self._alive_s = float('-inf')

    def start(self) -> None:
        """Start the thread; it ends once the peer is no longer recently alive."""
        background_thread(self._kernel, self._run, name='push').start()

    def note_alive(self, peer: Peer) -> None:
        """Record that the peer is alive, with its address and roles."""
        self._address = peer.peer_address
        self.roles = peer.roles
        self._alive_s = self._kernel.clock.now_s()

    def is_recently_alive(self) -> bool:
        """Return whether the peer was alive recently."""
        return self._kernel.clock.now_s() - self._alive_s < _KEEP_SILENT_PEER_S

    def push_once(self) -> bool:
        """Push the records that the peer has not confirmed.

        Returns
        -------
        bool
            Whether the peer now has all records; False if it did not answer or
            lost records in a restart.
        """
        version = self._exchange.published.version
        update = self._exchange.update_after(self.sent_version)
        try:
            reply = self._network.call(
                self._address,
                'Exchange',
                'push',
                update,
                timeout_s=_PUSH_TIMEOUT_S,
            )
        except UnavailableError:
            EVENTS.labels('exchange', 'push_failed').inc()
            return False
        is_same_process = reply.start_id == self._receiver_start_id
        # A restarted peer has lost all records; the next push sends them all.
        is_complete = is_same_process or self.sent_version == 0
        self.sent_version = version if is_complete else 0
        self._receiver_start_id = reply.start_id
        with self._exchange.confirmed:
            self._exchange.confirmed.notify_all()
        return is_complete

    def _run(self) -> None:
        while self.is_recently_alive() and not self._kernel.stopping.is_set():
            self._wait_for_changes()
            if self._kernel.stopping.is_set():
                return
            # A second attempt may use another connection that still works.
            if not any(self.push_once() for _each in range(_PUSH_ATTEMPTS)):
                self._kernel.wait_while_running(_RETRY_DELAY_S)

    def _wait_for_changes(self) -> None:
        published = self._exchange.published
        with published.changed:
            published.changed.wait_for(
                self._has_changes, self._exchange.renew_interval_s()
            )
            if self._is_urgent() or not self._has_changes():
                return
        self._wait_for_batch()

    def _wait_for_batch(self) -> None:
        published = self._exchange.published
        with published.changed:
            published.changed.wait_for(self._is_urgent, _BATCH_DELAY_S)

    def _has_changes(self) -> bool:
        return self._is_unsent(self._exchange.published.version)

    def _is_urgent(self) -> bool:
        return self._is_unsent(self._exchange.published.urgent_version)

    def _is_unsent(self, version: int) -> bool:
        is_stopping = self._kernel.stopping.is_set()
        return is_stopping or version > self.sent_version
