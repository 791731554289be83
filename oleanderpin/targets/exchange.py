"""Exchange of soft state between instances."""

import threading
from collections.abc import Callable
from typing import Any

from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peers
from ..wire.generated.exchange import Exchange as ExchangeService
from ..wire.generated.exchange.ttypes import Push, SoftRecord
from ..wire.network import PeerNetwork
from ..wire.server import PeerServer

_PUSH_INTERVAL_S = 0.5
_PUSH_TIMEOUT_S = 1.0

Receiver = Callable[[SoftRecord], None]


class _ExchangeHandler:
    """Serves the Thrift service ``Exchange``."""

    def __init__(self, exchange: 'Exchange') -> None:
        self._exchange = exchange

    def push(self, update: Push) -> None:
        self._exchange.receive(update)


@plugins.register('exchange')
class Exchange(Plugin):
    """Pushes records published here to all live peers."""

    def __init__(self, kernel: Any) -> None:
        """Register the Thrift service."""
        super().__init__(kernel)
        self._peers = kernel.plugin(Peers)
        self._network = kernel.plugin(PeerNetwork)
        self._lock = threading.Lock()
        self._urgent = threading.Event()
        self._version = 0
        self._pending: dict[tuple[str, str], SoftRecord] = {}
        self._receivers: dict[str, Receiver] = {}
        kernel.plugin(PeerServer).register(
            'Exchange', ExchangeService.Processor(_ExchangeHandler(self))
        )

    def start(self) -> None:
        """Start the pushing thread."""
        threading.Thread(
            target=self._push_loop, name='exchange', daemon=True
        ).start()

    def on_record(self, kind: str, receiver: Receiver) -> None:
        """Pass records of ``kind`` that peers publish to ``receiver``."""
        self._receivers[kind] = receiver

    def publish(
        self,
        kind: str,
        name: str,
        payload: bytes,
        *,
        ttl_s: float,
        is_urgent: bool = False,
    ) -> None:
        """Send a record to all live peers.

        Parameters
        ----------
        kind : str
            Kind of record, as given to `on_record`.
        name : str
            Identifies the record within its kind.
        payload : bytes
            JSON of the record.
        ttl_s : float
            Seconds after which receivers forget the record.
        is_urgent : bool
            Whether to push at once instead of with the next batch.
        """
        with self._lock:
            self._version += 1
            self._pending[kind, name] = SoftRecord(
                kind=kind,
                name=name,
                version=self._version,
                payload=payload,
                ttl_ms=int(ttl_s * 1000),
            )
        if is_urgent:
            self._urgent.set()

    def receive(self, update: Push) -> None:
        """Pass the records of a push to their receivers."""
        for record in update.records:
            receiver = self._receivers.get(record.kind)
            if receiver is None:
                EVENTS.labels('exchange', 'unknown_kind').inc()
            else:
                receiver(record)

    def _push_loop(self) -> None:
        while not self.kernel.stopping.is_set():
            self._urgent.wait(_PUSH_INTERVAL_S)
            self._urgent.clear()
            with self._lock:
                records = list(self._pending.values())
                self._pending.clear()
            if records:
                self._push(records)

    def _push(self, records: list[SoftRecord]) -> None:
        own, *others = self._peers.alive()
        update = Push(
            origin=own.name, incarnation=own.incarnation, records=records
        )
        for peer in others:
            try:
                self._network.call(
                    peer.peer_address,
                    'Exchange',
                    'push',
                    update,
                    timeout_s=_PUSH_TIMEOUT_S,
                )
            except UnavailableError:
                EVENTS.labels('exchange', 'push_failed').inc()
