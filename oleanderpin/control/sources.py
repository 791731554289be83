"""From which peers an instance takes the control state."""

from collections.abc import Iterable

import xxhash

from ..core.settings import Settings
from ..membership.peers import Peer
from .state import ControlMember, ControlState

RELAYS_PER_DOMAIN = 2
# Bounds the peers of other failure domains that are asked in turn while
# neither relays nor control instances respond.
_MAX_FALLBACKS = 3


def control_members(
    settings: Settings, state: ControlState
) -> list[ControlMember]:
    """Return the members of the control group.

    Parameters
    ----------
    settings : Settings
        Name the first members, for as long as the state holds none.
    state : ControlState
        Holds the committed members.
    """
    if state.members:
        return list(state.members.values())
    return configured_members(settings)


def configured_members(settings: Settings) -> list[ControlMember]:
    """Return the first members that the settings name, without ids.

    Seeds are given by address only, which then stands for their names.
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


def rank(owner: str, candidate: str) -> int:
    """Return the rendezvous hash of ``candidate`` for ``owner``.

    Parameters
    ----------
    owner : str
        Failure domain or instance that chooses.
    candidate : str
        Instance that may be chosen; the lowest hash comes first.
    """
    return xxhash.xxh64_intdigest(f'{owner}/{candidate}'.encode())


def relays(failure_domain: str, peers: Iterable[Peer]) -> list[Peer]:
    """Return the live instances that relay for a failure domain.

    Parameters
    ----------
    failure_domain : str
        The failure domain.
    peers : iterable of Peer
        Live instances; draining ones are not chosen.
    """
    candidates = [
        peer
        for peer in peers
        if peer.failure_domain == failure_domain and not peer.draining
    ]
    candidates.sort(key=lambda peer: rank(failure_domain, peer.name))
    return candidates[:RELAYS_PER_DOMAIN]


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
    others.sort(key=lambda peer: rank(own.name, peer.name))
    relay_names = {peer.name for peer in domain_relays}
    near = [peer.peer_address for peer in others if peer.name in relay_names]
    rest = [
        peer.peer_address
        for peer in others
        if peer.name not in relay_names and not peer.draining
    ]
    control = list(control_addresses)
    if is_relay or 'control' in own.roles:
        ordered = [*control, *near, *rest[:_MAX_FALLBACKS]]
    else:
        ordered = [*near, *rest[:_MAX_FALLBACKS], *control]
    return [
        address
        for address in dict.fromkeys(ordered)
        if address != own.peer_address
    ]
