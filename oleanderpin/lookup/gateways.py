"""Selection of the gateways that callers of a failure domain use.

Callers use gateways of their own failure domain if it has enough of them,
else those of the region, else all.
"""

from collections.abc import Sequence
from typing import Any

from ..core.plugin import Plugin, plugins
from ..membership.peers import Peer, Peers

# In a failure domain with fewer gateways, callers get all gateways of the
# region, so that they have another one to try when one fails.
_MIN_GATEWAYS = 2


@plugins.register('gateways')
class Gateways(Plugin):
    """Lists the nearest live gateways.

    Gateways of a drained failure domain stay listed: a drain only empties the
    targets of the domain.
    """

    def __init__(self, kernel: Any) -> None:
        """Find the plug-in that holds the membership."""
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
    """Return the gateways of the failure domain, the region or all regions.

    Parameters
    ----------
    peers : sequence of Peer
        Live gateways.
    region, failure_domain : str
        Where the callers are.
    """
    near = [peer for peer in peers if peer.failure_domain == failure_domain]
    if len(near) >= _MIN_GATEWAYS:
        return near
    regional = [peer for peer in peers if peer.region == region]
    return regional or list(peers)
