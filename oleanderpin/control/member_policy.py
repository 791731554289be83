"""Which member the leader of an automatically joined group changes next.

Fault: a control instance is replaced at another address. Nobody says that it
is gone for good, and for a while it looks like one that is frozen, cut off or
restarting. If it stayed a voter, each replacement would take one voter away
until no majority is left; if every silent voter were removed, a short outage of
several would shrink the group to the few that are left.

A silent voter is therefore removed only if the group does not get weaker: from
an even number of voters, which needs one vote less afterwards, or if another
instance is ready to take its place. A removed member that comes back with its
disk asks to be added again; it is still bound by its votes.
"""

from collections.abc import Sequence
from dataclasses import replace

from .progress import voter_ids
from .records import Member, Members

MAX_VOTERS = 7


def next_members(
    members: Members, *, ready: Member | None, silent: Sequence[Member]
) -> Members:
    """Return the members after the next single change, or the same ones.

    Parameters
    ----------
    members : Members
        Committed members.
    ready : Member or None
        A learner that has caught up and responds.
    silent : sequence of Member
        Members that have not responded for longer than a restart takes, the
        longest silent one first.

    Returns
    -------
    Members
        Differs from ``members`` by at most one voter.
    """
    outdated = _same_address(members, ready)
    if outdated is not None:
        # It has lost its disk and returned as another member.
        return _without(members, outdated)
    voters = len(voter_ids(members))
    if ready is not None and voters < MAX_VOTERS:
        others = _without(members, ready)
        return (*others, replace(ready, is_voter=True))
    for member in silent:
        is_weaker = voters % 2 == 1 and ready is None
        if not member.is_voter or not is_weaker:
            return _without(members, member)
    return members


def _same_address(members: Members, ready: Member | None) -> Member | None:
    if ready is None:
        return None
    for member in members:
        is_same = member.address == ready.address
        if is_same and member.member_id != ready.member_id:
            return member
    return None


def _without(members: Members, removed: Member) -> Members:
    return tuple(each for each in members if each != removed)
