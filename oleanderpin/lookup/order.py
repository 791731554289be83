"""The order in which callers use the instances.

Instances are grouped by distance from the caller's site. Within a group,
rendezvous hashing spreads callers evenly, and the loss of an instance moves
only the callers that used it. A response has room for instances at each greater
distance, so that the failure of a site or failure domain leaves some to try.
"""

import heapq
import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass

import xxhash

from ..membership.peers import Peer

# Bounds the size of a response: a list of 530 instances takes 70 KB.
MAX_INSTANCES = 16
# Entries of a response reserved for each greater distance, so that a caller has
# instances to try when all nearer ones have failed.
_MIN_PER_FARTHER_DISTANCE = 2
# Callers of a site are hashed into this many slots; those of a slot share an
# order, so that few orders need to be cached.
CALLER_SLOTS = 1024
# An order takes about 300 bytes.
_MAX_CACHED_ORDERS = 4096
_DISTANCE_COUNT = 4


@dataclass(frozen=True, slots=True)
class LookupEntry:
    """One instance in the order in which a caller should use it."""

    name: str
    address: str
    failure_domain: str
    region: str
    weight: int


@dataclass(frozen=True, slots=True)
class Place:
    """Location of a site: failure domains and regions of its instances."""

    site: str
    failure_domains: frozenset[str]
    regions: frozenset[str]

    def distance(self, peer: Peer) -> int:
        """Return the distance to an instance, from 0 to 3.

        It is 0 in the same site, 1 in the same failure domain, 2 in the same
        region and 3 in another region.
        """
        if peer.site == self.site:
            return 0
        if peer.failure_domain in self.failure_domains:
            return 1
        return 2 if peer.region in self.regions else 3


@dataclass(frozen=True, slots=True)
class _Candidate:
    """An instance with its precomputed data, the same for all callers."""

    entry: LookupEntry
    encoded: bytes
    hashed_name: bytes


@dataclass(frozen=True, slots=True)
class Order:
    """The instances for one caller, nearest first, and their JSON."""

    entries: tuple[LookupEntry, ...]
    encoded: tuple[bytes, ...]


class Orders:
    """Orders of one set of instances, cached by site and caller slot.

    Parameters
    ----------
    own : Peer
        The responding instance; its place is used for callers of unknown
        sites.
    peers : sequence of Peer
        Instances to return.
    places : mapping of str to Place
        Places of the known sites.
    """

    def __init__(
        self, own: Peer, peers: Sequence[Peer], places: Mapping[str, Place]
    ) -> None:
        """Encode each instance once."""
        self._own = place_of(own.site, (own,))
        self._places = places
        self._peers = [(peer, _as_candidate(peer)) for peer in peers]
        self._groups: dict[str | None, list[list[_Candidate]]] = {}
        self._cached: dict[tuple[str | None, int], Order] = {}

    def find(self, site: str | None, client_ip: str) -> Order:
        """Return the order for a caller.

        Parameters
        ----------
        site : str or None
            Site of the caller's block.
        client_ip : str
            Address of the caller; its hash spreads callers over the instances
            at equal distance.
        """
        known = site if site in self._places else None
        slot = xxhash.xxh64_intdigest(client_ip.encode()) % CALLER_SLOTS
        order = self._cached.get((known, slot))
        if order is None:
            order = self._compute_order(known, slot)
            if len(self._cached) >= _MAX_CACHED_ORDERS:
                self._cached.clear()
            self._cached[(known, slot)] = order
        return order

    def _compute_order(self, site: str | None, slot: int) -> Order:
        groups = [group for group in self._groups_by_distance(site) if group]
        chosen: list[_Candidate] = []
        for position, group in enumerate(groups, 1):
            reserved = _MIN_PER_FARTHER_DISTANCE * (len(groups) - position)
            count = MAX_INSTANCES - len(chosen) - reserved
            chosen.extend(_first_by_hash(group, count, slot))
        return Order(
            tuple(each.entry for each in chosen),
            tuple(each.encoded for each in chosen),
        )

    def _groups_by_distance(self, site: str | None) -> list[list[_Candidate]]:
        groups = self._groups.get(site)
        if groups is None:
            place = self._own if site is None else self._places[site]
            groups = [[] for _distance in range(_DISTANCE_COUNT)]
            for peer, candidate in self._peers:
                groups[place.distance(peer)].append(candidate)
            self._groups[site] = groups
        return groups


def place_of(site: str, peers: Iterable[Peer]) -> Place:
    """Return the place of a site, given its instances."""
    peers = tuple(peers)
    return Place(
        site,
        frozenset(peer.failure_domain for peer in peers),
        frozenset(peer.region for peer in peers),
    )


def places_of(peers: Iterable[Peer]) -> dict[str, Place]:
    """Return the places of all sites that have instances among ``peers``."""
    by_site: dict[str, list[Peer]] = {}
    for peer in peers:
        by_site.setdefault(peer.site, []).append(peer)
    return {site: place_of(site, of_site) for site, of_site in by_site.items()}


def _first_by_hash(
    group: Sequence[_Candidate], count: int, slot: int
) -> list[_Candidate]:
    """Return the first ``count`` instances of a group by rendezvous hash."""
    prefix = b'%d/' % slot
    return heapq.nsmallest(
        count,
        group,
        key=lambda each: xxhash.xxh64_intdigest(prefix + each.hashed_name),
    )


def _as_candidate(peer: Peer) -> _Candidate:
    entry = LookupEntry(
        name=peer.name,
        address=peer.caller_address,
        failure_domain=peer.failure_domain,
        region=peer.region,
        weight=100,
    )
    return _Candidate(
        entry, json.dumps(asdict(entry)).encode(), peer.name.encode()
    )
