"""Share of a failure domain's callers that use gateways of its neighbours.

Load pattern: the callers of one failure domain press on few gateways whose
links fill up, while those of another one in the region are idle. Look-ups that
only go by distance keep them there. Callers follow a look-up seconds later, and
some use it three times as long, so the shares change slowly. Callers stay in
their region: requests that must not leave it would, and the links between
regions carry the bodies anyway.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from ..membership.peers import Peer

# Load of the links from which on callers are moved. A link that is used less
# delays a body by less than its own transmission time.
_BUSY_LOAD = 0.4
# Change of a share per second, for each unit by which the load of the failure
# domain exceeds that of its neighbours. The product with the delay of the
# callers, about 3 s, stays below one, so that the shares do not oscillate.
_GAIN_PER_S = 0.1
# A failure domain that is not busy takes its callers back at this rate.
_RETURN_PER_S = 0.05
_HASH_RANGE = 2.0**64


@dataclass(frozen=True, slots=True)
class DomainLinks:
    """Gateways of a failure domain and the mean load of their links.

    Parameters
    ----------
    region : str
        Region of the failure domain.
    gateways : int
        Gateways that report their load.
    link_load : float
        Fraction of the links that is used.
    """

    region: str
    gateways: int
    link_load: float


class Steering:
    """Shares of callers that use neighbouring failure domains."""

    def __init__(self) -> None:
        """Start with all callers in their own failure domain."""
        self._shares: dict[str, float] = {}

    def share(self, failure_domain: str) -> float:
        """Return the share of a failure domain's callers to send elsewhere."""
        return self._shares.get(failure_domain, 0.0)

    def update(
        self, links: Mapping[str, DomainLinks], *, elapsed_s: float
    ) -> None:
        """Adjust the shares to the loads.

        Parameters
        ----------
        links : mapping of str to DomainLinks
            Failure domains with known loads; the shares of others decrease.
        elapsed_s : float
            Time since the last update.
        """
        domains = self._shares.keys() | links.keys()
        self._shares = {
            domain: self._next_share(domain, links, elapsed_s)
            for domain in domains
        }

    def _next_share(
        self, domain: str, links: Mapping[str, DomainLinks], elapsed_s: float
    ) -> float:
        own = links.get(domain)
        share = self.share(domain)
        neighbours = [
            each
            for name, each in links.items()
            if own and name != domain and each.region == own.region
        ]
        gateways = sum(each.gateways for each in neighbours)
        if own is None or not gateways:
            return max(0.0, share - _RETURN_PER_S * elapsed_s)
        neighbour_load = (
            sum(each.link_load * each.gateways for each in neighbours)
            / gateways
        )
        change_per_s = (own.link_load - neighbour_load) * _GAIN_PER_S
        if own.link_load < _BUSY_LOAD:
            change_per_s = min(change_per_s, -_RETURN_PER_S)
        most = gateways / (gateways + own.gateways)
        return min(max(share + change_per_s * elapsed_s, 0.0), most)


def choose_neighbours(
    near: Sequence[Peer], others: Sequence[Peer], *, share: float, caller: str
) -> list[Peer]:
    """Return the gateways to add to those of a caller's failure domain.

    A caller picks any gateway of its look-up, so the number of gateways that
    are added determines the share of its requests that they get. The same
    caller gets the same ones, and keeps its connections.

    Parameters
    ----------
    near : sequence of Peer
        Gateways of the caller's failure domain.
    others : sequence of Peer
        Other gateways of the region.
    share : float
        Share of the callers' requests that the added gateways should get.
    caller : str
        Identifies the caller.
    """
    if share <= 0 or not others:
        return []
    wanted = len(near) * share / max(1 - share, 1 / _HASH_RANGE)
    chance = xxhash.xxh3_64_intdigest(caller.encode()) / _HASH_RANGE
    # Rounded up for as many callers as the fraction says.
    count = min(len(others), int(wanted + chance))
    ordered = sorted(
        others,
        key=lambda peer: xxhash.xxh3_64_intdigest(
            f'{caller}/{peer.name}'.encode()
        ),
    )
    return ordered[:count]
