"""The order in which the callers of a site use the instances."""

import heapq
import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass

import xxhash

from ..membership.peers import Peer

# Bounds the size of an answer: with 530 instances, all of them take 70 KB.
MAX_INSTANCES = 16
# Places of an answer kept for each greater distance, so that a caller has
# instances to try when all near ones are lost.
_MIN_FARTHER = 2
# Callers of a site share orders, so that few orders need to be kept.
CALLER_SLOTS = 1024
# About 300 bytes each.
_MAX_KEPT_ORDERS = 4096
_DISTANCES = 4


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
    """Where a site is: the failure domains and regions of its instances."""

    site: str
    failure_domains: frozenset[str]
    regions: frozenset[str]

    def distance(self, peer: Peer) -> int:
        """Return 0 for the same site, up to 3 for another region."""
        if peer.site == self.site:
            return 0
        if peer.failure_domain in self.failure_domains:
            return 1
        return 2 if peer.region in self.regions else 3


@dataclass(frozen=True, slots=True)
class _Candidate:
    """An instance with what does not depend on the caller."""

    entry: LookupEntry
    encoded: bytes
    hashed_name: bytes


@dataclass(frozen=True, slots=True)
class Order:
    """The instances for one caller and their JSON."""

    entries: tuple[LookupEntry, ...]
    encoded: tuple[bytes, ...]


class Orders:
    """Orders of one set of instances, kept by site and slot of callers.

    Parameters
    ----------
    own : Peer
        The answering instance; its place serves callers of unknown sites.
    peers : sequence of Peer
        Instances to return.
    places : mapping of str to Place
        Places of the known sites.
    """

    def __init__(
        self, own: Peer, peers: Sequence[Peer], places: Mapping[str, Place]
    ) -> None:
        """Encode the instances."""
        self._own = place_of(own.site, (own,))
        self._places = places
        self._peers = [(peer, _as_candidate(peer)) for peer in peers]
        self._groups: dict[str | None, list[list[_Candidate]]] = {}
        self._kept: dict[tuple[str | None, int], Order] = {}

    def find(self, site: str | None, client_ip: str) -> Order:
        """Return the order for a caller.

        Parameters
        ----------
        site : str or None
            Site of the caller's block.
        client_ip : str
            Address of the caller; spreads callers over equal distances.
        """
        known = site if site in self._places else None
        slot = xxhash.xxh64_intdigest(client_ip.encode()) % CALLER_SLOTS
        order = self._kept.get((known, slot))
        if order is None:
            order = self._arrange(known, slot)
            if len(self._kept) >= _MAX_KEPT_ORDERS:
                self._kept.clear()
            self._kept[(known, slot)] = order
        return order

    def _arrange(self, site: str | None, slot: int) -> Order:
        groups = [group for group in self._grouped(site) if group]
        chosen: list[_Candidate] = []
        for position, group in enumerate(groups, 1):
            farther = _MIN_FARTHER * (len(groups) - position)
            room = MAX_INSTANCES - len(chosen) - farther
            chosen.extend(_spread(group, room, slot))
        return Order(
            tuple(each.entry for each in chosen),
            tuple(each.encoded for each in chosen),
        )

    def _grouped(self, site: str | None) -> list[list[_Candidate]]:
        groups = self._groups.get(site)
        if groups is None:
            place = self._own if site is None else self._places[site]
            groups = [[] for _distance in range(_DISTANCES)]
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
    """Return the places of all sites with live instances."""
    by_site: dict[str, list[Peer]] = {}
    for peer in peers:
        by_site.setdefault(peer.site, []).append(peer)
    return {site: place_of(site, of_site) for site, of_site in by_site.items()}


def _spread(
    group: Sequence[_Candidate], count: int, slot: int
) -> list[_Candidate]:
    """Return the first instances of a group by rendezvous hash."""
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
