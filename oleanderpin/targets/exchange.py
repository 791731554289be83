"""Exchange of soft state between instances."""

import json
import threading
from dataclasses import asdict
from typing import Any

from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peers
from ..wire.generated.exchange import Exchange as ExchangeService
from ..wire.generated.exchange.ttypes import Push, SoftRecord
from ..wire.network import PeerNetwork
from ..wire.server import PeerServer
from .table import TARGET_LEASE_S, Target, TargetTable

_PUSH_INTERVAL_S = 0.5
_PUSH_TIMEOUT_S = 1.0


class _ExchangeHandler:
    """Serves the Thrift service ``Exchange``."""

    def __init__(self, table: TargetTable) -> None:
        self._table = table

    def push(self, update: Push) -> None:
        for record in update.records:
            self._table.merge(
                record.payload,
                version=record.version,
                ttl_s=record.ttl_ms / 1000,
            )


@plugins.register('exchange')
class Exchange(Plugin):
    """Pushes what targets announced here to all live peers."""

    def __init__(self, kernel: Any) -> None:
        """Register the Thrift service."""
        super().__init__(kernel)
        self._peers = kernel.plugin(Peers)
        self._network = kernel.plugin(PeerNetwork)
        self._table = kernel.plugin(TargetTable)
        self._lock = threading.Lock()
        self._pending: dict[str, SoftRecord] = {}
        self._table.on_change(self._enqueue)
        kernel.plugin(PeerServer).register(
            'Exchange',
            ExchangeService.Processor(_ExchangeHandler(self._table)),
        )

    def start(self) -> None:
        """Start the pushing thread."""
        threading.Thread(
            target=self._push_loop, name='exchange', daemon=True
        ).start()

    def _enqueue(self, target: Target, version: int) -> None:
        record = SoftRecord(
            kind='target',
            name=f'{target.service}/{target.target_id}',
            version=version,
            payload=json.dumps(asdict(target)).encode(),
            ttl_ms=int(TARGET_LEASE_S * 1000),
        )
        with self._lock:
            self._pending[record.name] = record

    def _push_loop(self) -> None:
        while self.kernel.wait_while_running(_PUSH_INTERVAL_S):
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
