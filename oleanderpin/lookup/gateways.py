"""Which gateways callers of a failure domain use."""

from collections.abc import Sequence
from typing import Any

from ..core.plugin import Plugin, plugins
from ..membership.peers import Peer, Peers

# A failure domain with fewer gateways shares those of its region, so that
# callers have another one to turn to.
_ENOUGH = 2


@plugins.register('gateways')
class Gateways(Plugin):
    """Lists live gateways by distance.

    A drained failure domain keeps its gateways: only its targets are emptied.
    """

    def __init__(self, kernel: Any) -> None:
        """Keep the membership."""
        super().__init__(kernel)
        self._peers = kernel.plugin(Peers)

    def nearest(self, region: str, failure_domain: str) -> list[str]:
        """Return the addresses of the gateways that callers should use.

        Parameters
        ----------
        region, failure_domain : str
            Where the callers are.
        """
        usable = [
            peer
            for peer in self._peers.alive()
            if 'gateway' in peer.roles and not peer.draining
        ]
        return [
            peer.caller_address
            for peer in choose_nearest(usable, region, failure_domain)
        ]


def choose_nearest(
    peers: Sequence[Peer], region: str, failure_domain: str
) -> list[Peer]:
    """Return the gateways of the failure domain, region or all regions.

    Parameters
    ----------
    peers : sequence of Peer
        Live gateways.
    region, failure_domain : str
        Where the callers are.
    """
    near = [peer for peer in peers if peer.failure_domain == failure_domain]
    if len(near) >= _ENOUGH:
        return near
    regional = [peer for peer in peers if peer.region == region]
    return regional or list(peers)
