"""Selection of the gateways that callers of a failure domain use.

Callers use gateways of their own failure domain if it has enough of them,
else those of the region, else all. Where the links of the failure domain are
busier than those of its neighbours, some callers get gateways of these too.
"""

import logging
from collections.abc import Sequence
from typing import Any

from ..core.background import background_thread
from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peer, Peers
from ..routing.region_loads import aggregator_address
from ..wire.network import PeerNetwork
from .steering import DomainLinks, Steering, choose_neighbours

_LOG = logging.getLogger(__name__)
# In a failure domain with fewer gateways, callers get all gateways of the
# region, so that they have another one to try when one fails.
_MIN_GATEWAYS = 2
# Interval at which gateways report their loads.
_UPDATE_INTERVAL_S = 1.0
_CALL_TIMEOUT_S = 0.5
# Change of a share that is logged.
_LOGGED_CHANGE = 0.1


@plugins.register('gateways')
class Gateways(Plugin):
    """Lists the gateways that callers should use.

    Gateways of a drained failure domain stay listed: a drain only empties the
    targets of the domain.
    """

    def __init__(self, kernel: Any) -> None:
        """Find the plug-in that holds the membership."""
        super().__init__(kernel)
        self._peers = kernel.plugin(Peers)
        self._network = kernel.plugin(PeerNetwork)
        self._steering = Steering()
        self._has_loads = True
        self._logged_shares: dict[str, float] = {}
        self._updated_s = kernel.clock.now_s()

    def start(self) -> None:
        """Start following the loads, on instances that answer look-ups."""
        if 'control' in self.kernel.settings.instance.roles:
            background_thread(
                self.kernel, self._update_loop, name='steering'
            ).start()

    def nearest(
        self, region: str, failure_domain: str, *, caller: str = ''
    ) -> list[str]:
        """Return the addresses of the gateways that callers should use.

        Parameters
        ----------
        region, failure_domain : str
            Where the callers are.
        caller : str
            Identifies the caller, which gets the same gateways while the loads
            stay the same.
        """
        usable = self._usable()
        near = choose_nearest(usable, region, failure_domain)
        chosen = {peer.name for peer in near}
        others = [
            peer
            for peer in usable
            if peer.region == region and peer.name not in chosen
        ]
        added = choose_neighbours(
            near,
            others,
            share=self._steering.share(failure_domain),
            caller=caller,
        )
        return [peer.caller_address for peer in (*near, *added)]

    def update(self) -> None:
        """Fetch the loads of the failure domains and adjust the shares."""
        now_s = self.kernel.clock.now_s()
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        links = self._fetch_links()
        self._steering.update(links, elapsed_s=elapsed_s)
        for domain, link in links.items():
            share = self._steering.share(domain)
            logged = self._logged_shares.get(domain, 0.0)
            if abs(share - logged) >= _LOGGED_CHANGE:
                self._logged_shares[domain] = share
                _LOG.info(
                    'callers sent to neighbouring failure domains',
                    extra={
                        'failure_domain': domain,
                        'share': round(share, 2),
                        'link_load': round(link.link_load, 2),
                        'gateways': link.gateways,
                    },
                )

    def _usable(self) -> list[Peer]:
        return [
            peer
            for peer in self._peers.alive()
            if 'gateway' in peer.roles and not peer.draining
        ]

    def _fetch_links(self) -> dict[str, DomainLinks]:
        address = aggregator_address(self._peers.alive())
        if address is None:
            return {}
        try:
            domains = self._network.call(
                address, 'Loads', 'domains', timeout_s=_CALL_TIMEOUT_S
            )
        except UnavailableError as error:
            EVENTS.labels('lookup', 'loads_not_known').inc()
            if self._has_loads:
                _LOG.warning('loads of the gateways are not known: %s', error)
            self._has_loads = False
            return {}
        self._has_loads = True
        regions = {
            peer.failure_domain: peer.region for peer in self._peers.alive()
        }
        return {
            each.failure_domain: DomainLinks(
                regions.get(each.failure_domain, ''),
                each.reporters,
                each.link_load,
            )
            for each in domains
        }

    def _update_loop(self) -> None:
        while self.kernel.wait_while_running(_UPDATE_INTERVAL_S):
            self.update()


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
