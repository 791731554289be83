"""Traffic shares of the versions of a service."""

import logging
import threading
from collections.abc import Mapping
from typing import Any

from ..control.state import Move, Service
from ..control.view import ControlView
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins

ANY_VERSION = ''
_LOG = logging.getLogger(__name__)
_FULL_SHARE_PERCENT = 100.0


@plugins.register('version-split')
class VersionSplit(Plugin):
    """Takes the shares from committed moves; local halts only lower them."""

    def __init__(self, kernel: Any) -> None:
        """Look up the view of the control state."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._lock = threading.Lock()
        self._halted: dict[str, tuple[float, str]] = {}

    def weights(self, service: Service) -> Mapping[str, float]:
        """Return the share of each version, between 0 and 1.

        The key ``''`` stands for all versions that are not named. While the
        control state is stale, the new version has a share of 0, because a
        decision to roll it back may not have arrived yet.
        """
        state = self._view.state
        # The caller may have read the service before a move ended. The version
        # and the move must come from the same control state.
        service = state.services.get(service.name, service)
        move = state.moves.get(service.name)
        if move is None or move.status != 'running':
            return {service.version: 1.0}
        share = move.share_percent / _FULL_SHARE_PERCENT
        if self.halt_reason(move) or not self._view.is_fresh():
            share = 0.0
        return {move.to_version: share, move.from_version: 1 - share}

    def halt(self, move: Move, reason: str) -> None:
        """Stop sending requests to the new version from this instance.

        Parameters
        ----------
        move : Move
            The running move.
        reason : str
            The degradation that this instance has detected.
        """
        with self._lock:
            known = self._halted.get(move.service)
            if known is not None and known[0] == move.started_unix_s:
                return
            self._halted[move.service] = (move.started_unix_s, reason)
        EVENTS.labels('moves', 'local_halt').inc()
        _LOG.warning(
            'new version halted on this instance',
            extra={'service': move.service, 'reason': reason},
        )

    def halt_reason(self, move: Move) -> str:
        """Return why this instance halted the move; empty if it did not."""
        halted = self._halted.get(move.service)
        if halted is None or halted[0] != move.started_unix_s:
            return ''
        return halted[1]
