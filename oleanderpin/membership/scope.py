"""Which members an instance probes, fetches tables from and notifies.

Load pattern: several hundred instances, each of which is news to all others
after a start. Control instances reach all members; the others stay near, so
that updates cross a border between regions through few instances.
"""

import random
from collections.abc import Mapping

from ..core.places import distance
from ..wire.generated.membership.ttypes import PeerInfo
from .members import Member

# Fewer members than this do not probe each other often enough.
_MIN_SCOPE = 4
# The whole table is fetched from another member periodically, which repairs
# what gossip has missed. The interval grows with the membership, so that the
# bytes per second stay the same.
_SYNC_MIN_INTERVAL_S = 30.0
_SYNC_INTERVAL_PER_MEMBER_S = 1.0
# After a start, when many instances may be new, the first syncs follow each
# other soon, and then the interval doubles. Gossip alone takes longer to spread
# so many updates.
_FIRST_SYNC_INTERVAL_S = 1.0
_FIRST_SYNCS = 6
_MAX_SYNC_DOUBLINGS = 16
# Number of members that are notified directly of a suspicion, a drain or a
# stop. Waiting for the next probes of all members instead took up to 8 s with
# 32 nodes.
_NOTIFIED_MEMBERS = 16
_NOTIFIED_CONTROLS = 10


def probe_scope(own: PeerInfo, running: list[Member]) -> list[Member]:
    """Return the members that an instance probes and exchanges updates with.

    Control instances probe all members. The others stay within their failure
    domain or region if it has a control instance, through which updates pass.

    Parameters
    ----------
    own : PeerInfo
        The probing instance.
    running : list of Member
        All members that are not known to be dead or to have left.
    """
    if 'control' in own.roles:
        return running
    for place in ('failure_domain', 'region'):
        near = [
            member
            for member in running
            if getattr(member.info, place) == getattr(own, place)
        ]
        has_control = any('control' in member.info.roles for member in near)
        if has_control and len(near) >= _MIN_SCOPE:
            return near
    return running


def next_in_round(
    queue: list[str], scope: Mapping[str, Member]
) -> Member | None:
    """Return the next member to probe; None if there is none.

    Parameters
    ----------
    queue : list of str
        Names that are left of the current round; a new round is added to an
        empty one. Members that are no longer in the scope are skipped.
    scope : mapping of str to Member
        Members to probe by name.
    """
    while queue:
        member = scope.get(queue.pop())
        if member is not None:
            return member
    queue.extend(scope)
    random.shuffle(queue)
    return scope[queue.pop()] if queue else None


def sync_partners(own: PeerInfo, running: list[Member]) -> list[Member]:
    """Return the members of which one sends its whole table.

    Tables cross regions only between control instances.

    Parameters
    ----------
    own : PeerInfo
        The instance that asks.
    running : list of Member
        All members that are not known to be dead or to have left.
    """
    control = [member for member in running if 'control' in member.info.roles]
    if 'control' in own.roles or not control:
        return control or running
    shortest = min(distance(own, member.info) for member in control)
    return [
        member for member in control if distance(own, member.info) == shortest
    ]


def sync_interval_s(sync_count: int, member_count: int) -> float:
    """Return the time between two syncs.

    Parameters
    ----------
    sync_count : int
        Syncs since the start.
    member_count : int
        Number of known members.
    """
    doublings = min(max(0, sync_count - _FIRST_SYNCS), _MAX_SYNC_DOUBLINGS)
    steady_s = max(
        _SYNC_MIN_INTERVAL_S, member_count * _SYNC_INTERVAL_PER_MEMBER_S
    )
    return min(steady_s, _FIRST_SYNC_INTERVAL_S * 2**doublings)


def members_to_notify(own: PeerInfo, running: list[Member]) -> list[Member]:
    """Return random members that are told of a suspicion, a drain or a stop.

    Most of them are control instances, one of each failure domain, which pass
    updates on there.

    Parameters
    ----------
    own : PeerInfo
        The instance that notifies.
    running : list of Member
        All members that are not known to be dead or to have left.
    """
    control = [member for member in running if 'control' in member.info.roles]
    random.shuffle(control)
    by_domain = {member.info.failure_domain: member for member in control}
    chosen = list(by_domain.values())[:_NOTIFIED_CONTROLS]
    others = [
        member for member in probe_scope(own, running) if member not in chosen
    ]
    count = min(_NOTIFIED_MEMBERS - len(chosen), len(others))
    return [*chosen, *random.sample(others, count)]
