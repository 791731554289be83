"""Which targets and instances are covered by a planned drain."""

from typing import Any

from ..control.view import ControlView
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peer
from ..targets.table import Target


@plugins.register('drains')
class Drains(Plugin):
    """Reads the drains from the committed control state."""

    def __init__(self, kernel: Any) -> None:
        """Look up the view of the control state."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)

    def is_draining(self, target: Target) -> bool:
        """Return whether a drain excludes a target from new requests."""
        return self._covers('target', target.target_id) or self._covers(
            'failure_domain', target.failure_domain
        )

    def is_draining_peer(self, peer: Peer) -> bool:
        """Return whether look-ups exclude an instance."""
        return (
            peer.draining
            or self._covers('instance', peer.name)
            or self._covers('failure_domain', peer.failure_domain)
        )

    def _covers(self, kind: str, name: str) -> bool:
        drain = self._view.state.drains.get(name)
        return drain is not None and drain.kind == kind
