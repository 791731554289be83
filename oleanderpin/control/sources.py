"""Choice of the peers from which an instance gets the control state.

A few relays in each failure domain watch the control instances and the other
instances watch the relays, which limits the number of watchers of the leader.
"""

import itertools
from collections.abc import Iterable

import xxhash

from ..core.places import distance
from ..core.settings import Settings
from ..membership.peers import Peer
from .state import ControlMember, ControlState

RELAYS_PER_DOMAIN = 2
# Limits the non-relay peers, in any failure domain, that are tried in turn
# while neither relays nor, for a relay, control instances respond.
_MAX_FALLBACKS = 3


def control_members(
    settings: Settings, state: ControlState
) -> list[ControlMember]:
    """Return the members of the control group.

    Parameters
    ----------
    settings : Settings
        Source of the initial members, used while the state has none.
    state : ControlState
        Source of the committed members.
    """
    if state.members:
        return list(state.members.values())
    return configured_members(settings)


def configured_members(settings: Settings) -> list[ControlMember]:
    """Return the initial members from the settings, without ids.

    Seeds are configured by address only, which is used as their name.
    """
    if settings.control.form_from_seeds or settings.control.join_automatically:
        return [
            ControlMember('', address, address, is_voter=True)
            for address in sorted(settings.peers.seed_addresses())
        ]
    pairs = [
        member.partition('=') for member in settings.control.initial_members
    ]
    return [
        ControlMember('', name, address, is_voter=True)
        for name, _equals, address in pairs
    ]


def rendezvous_hash(owner: str, candidate: str) -> int:
    """Return the rendezvous hash of ``candidate`` for ``owner``.

    Parameters
    ----------
    owner : str
        Failure domain or instance for which peers are chosen.
    candidate : str
        Instance that may be chosen; lower hashes are preferred.
    """
    return xxhash.xxh64_intdigest(f'{owner}/{candidate}'.encode())


def relays(failure_domain: str, peers: Iterable[Peer]) -> list[Peer]:
    """Return the live instances that are relays of a failure domain.

    Parameters
    ----------
    failure_domain : str
        The failure domain.
    peers : iterable of Peer
        Live instances; draining ones are skipped.
    """
    candidates = [
        peer
        for peer in peers
        if peer.failure_domain == failure_domain and not peer.draining
    ]
    candidates.sort(key=lambda peer: rendezvous_hash(failure_domain, peer.name))
    return candidates[:RELAYS_PER_DOMAIN]


def control_sources(
    own: Peer,
    peers: Iterable[Peer],
    *,
    leaders: Iterable[str],
    configured: Iterable[str],
) -> list[str]:
    """Return the control instances to watch, the preferred one first.

    Load pattern: several hundred instances that each need every change. Those
    that do not take part in the log prefer the control instances of their own
    failure domain, which receive each change through the log anyway, so that it
    crosses a border once for each control instance.

    Parameters
    ----------
    own : Peer
        The watching instance.
    peers : iterable of Peer
        Live instances.
    leaders : iterable of str
        Addresses known as the leader's, the most reliable one first; empty ones
        are ignored.
    configured : iterable of str
        Addresses from the settings, used while no others are known.
    """
    control = [
        peer
        for peer in peers
        if 'control' in peer.roles and peer.name != own.name
    ]
    control.sort(key=lambda peer: (distance(own, peer), peer.name))
    near: list[str] = []
    if 'control' not in own.roles:
        near = [
            peer.peer_address
            for peer in control
            if peer.failure_domain == own.failure_domain
        ]
    known = [peer.peer_address for peer in control]
    ordered = [*near, *leaders, *known, *configured]
    return [address for address in dict.fromkeys(ordered) if address]


def sources(
    own: Peer, peers: Iterable[Peer], control_addresses: Iterable[str]
) -> list[str]:
    """Return the peer addresses to watch, the preferred one first.

    Parameters
    ----------
    own : Peer
        The watching instance.
    peers : iterable of Peer
        Live instances, ``own`` included.
    control_addresses : iterable of str
        Control instances, the preferred one first.
    """
    peers = list(peers)
    domain_relays = relays(own.failure_domain, peers)
    is_relay = own.name in {peer.name for peer in domain_relays}
    others = [peer for peer in peers if peer.name != own.name]
    others.sort(key=lambda peer: rendezvous_hash(own.name, peer.name))
    relay_names = {peer.name for peer in domain_relays}
    relay_addresses = [
        peer.peer_address for peer in others if peer.name in relay_names
    ]
    fallback_addresses = [
        peer.peer_address
        for peer in others
        if peer.name not in relay_names and not peer.draining
    ]
    control = list(control_addresses)
    if is_relay or 'control' in own.roles:
        ordered = [
            *control,
            *relay_addresses,
            *fallback_addresses[:_MAX_FALLBACKS],
        ]
    else:
        # Instances of a failure domain often fail together.
        near = [*relay_addresses[1:], *fallback_addresses[:_MAX_FALLBACKS]]
        ordered = [*relay_addresses[:1], *_alternate(control, near)]
    return _without_own(ordered, own)


def standby_sources(
    own: Peer, peers: Iterable[Peer], control_addresses: Iterable[str]
) -> list[str]:
    """Return the addresses for a second watch, the preferred one first.

    Its path is independent of the first one: relays of other failure domains
    for most instances, control instances for relays. Control instances have
    none, so that confirmations never go round in a circle.

    Parameters
    ----------
    own : Peer
        The watching instance.
    peers : iterable of Peer
        Live instances, ``own`` included.
    control_addresses : iterable of str
        Control instances, the preferred one first.
    """
    if 'control' in own.roles:
        return []
    peers = list(peers)
    control = list(control_addresses)
    own_relays = relays(own.failure_domain, peers)
    if own.name in {peer.name for peer in own_relays}:
        return _without_own(control, own)
    distant = [
        relay
        for domain in {peer.failure_domain for peer in peers}
        if domain != own.failure_domain
        for relay in relays(domain, peers)
        if 'control' not in relay.roles
    ]
    distant.sort(key=lambda peer: rendezvous_hash(own.name, peer.name))
    first = [peer.peer_address for peer in distant if peer.region == own.region]
    last = [peer.peer_address for peer in distant if peer.region != own.region]
    ordered = [*first[:_MAX_FALLBACKS], *control, *last[:_MAX_FALLBACKS]]
    return _without_own(ordered, own)


def _without_own(addresses: Iterable[str], own: Peer) -> list[str]:
    return [
        address
        for address in dict.fromkeys(addresses)
        if address != own.peer_address
    ]


def _alternate(first: list[str], second: list[str]) -> list[str]:
    """Return the items of both lists in turn, beginning with ``first``."""
    pairs = itertools.zip_longest(first, second, fillvalue='')
    return [each for pair in pairs for each in pair if each]
