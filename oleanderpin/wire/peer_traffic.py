"""Bytes between instances by call and by the border that they cross.

Tells which messages between instances use the links between regions and
between failure domains.
"""

import logging
import threading
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Literal

from ..core.metrics import PEER_CALL_BYTES
from ..core.plugin import Plugin, plugins

_LOG = logging.getLogger(__name__)
_COUNT_INTERVAL_S = 1.0
_LOG_INTERVAL_S = 10.0
_LOGGED_CALLS = 12

Border = Literal['none', 'failure_domain', 'region', 'unknown']
# By distance.
BORDERS: tuple[Border, ...] = ('none', 'failure_domain', 'region')

DATAGRAM = 'datagram'


def _no_borders() -> Mapping[str, Border]:
    return {}


@plugins.register('peer-traffic')
class PeerTraffic(Plugin):
    """Counts bytes at the instance that makes the call, in both directions.

    Each byte is counted once in the fleet. A peer may become known with the
    reply to a call, so that its border is determined some time later.
    """

    def __init__(self, kernel: Any) -> None:
        """Start without counts."""
        super().__init__(kernel)
        self._lock = threading.Lock()
        self._pending: Counter[tuple[str, str]] = Counter()
        self._logged: Counter[tuple[str, Border]] = Counter()
        self._counted_s = kernel.clock.now_s()
        self._logged_s = self._counted_s
        # Set by the membership.
        self.borders: Callable[[], Mapping[str, Border]] = _no_borders

    def note(self, address: str, call: str, byte_count: int) -> None:
        """Count bytes of a call.

        Parameters
        ----------
        address : str
            Peer address of the callee.
        call : str
            Service and method, or `DATAGRAM`.
        byte_count : int
            Bytes of request and reply.
        """
        now_s = self.kernel.clock.now_s()
        with self._lock:
            self._pending[address, call] += byte_count
            if now_s - self._counted_s < _COUNT_INTERVAL_S:
                return
            self._counted_s = now_s
            pending = self._pending
            self._pending = Counter()
        self._count(pending, now_s)

    def _count(self, pending: Counter[tuple[str, str]], now_s: float) -> None:
        borders = self.borders()
        for (address, call), byte_count in pending.items():
            border = borders.get(address, 'unknown')
            PEER_CALL_BYTES.labels(call, border).inc(byte_count)
            self._logged[call, border] += byte_count
        interval_s = now_s - self._logged_s
        if interval_s < _LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        largest = self._logged.most_common(_LOGGED_CALLS)
        _LOG.info(
            'bytes exchanged with peers',
            extra={
                'interval_ms': int(interval_s * 1000),
                'bytes_by_call_and_border': {
                    f'{call} {border}': byte_count
                    for (call, border), byte_count in largest
                },
            },
        )
        self._logged.clear()
