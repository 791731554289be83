"""Shares of traffic that the versions of a service get."""

from collections.abc import Mapping
from typing import Any

from ..control.state import Service
from ..control.view import ControlView
from ..core.plugin import Plugin, plugins

ANY_VERSION = ''
_WHOLE_PERCENT = 100.0


@plugins.register('version-split')
class VersionSplit(Plugin):
    """Reads the shares from the committed state of moves."""

    def __init__(self, kernel: Any) -> None:
        """Keep the view of the control state."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)

    def weights(self, service: Service) -> Mapping[str, float]:
        """Return the share of each version, between 0 and 1.

        The key ``''`` stands for all versions that are not named.
        """
        move = self._view.state.moves.get(service.name)
        if move is None or move.status != 'running':
            return {service.version: 1.0}
        share = move.share_percent / _WHOLE_PERCENT
        return {move.to_version: share, move.from_version: 1 - share}
