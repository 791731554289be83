"""Membership changes of the group, made one at a time by the leader."""

import logging
from dataclasses import dataclass

from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..wire.generated.common.ttypes import Unavailable
from ..wire.generated.raft.ttypes import (
    IdentityReply,
    MemberProblem,
    MembersReply,
    MemberStatus,
)
from ..wire.network import PeerNetwork
from .convert import member_to_wire
from .member_policy import MAX_VOTERS, next_members
from .progress import majority_size, voter_ids
from .raft import RaftNode
from .raft_state import Role
from .records import LogEntry, Member, Members

_LOG = logging.getLogger(__name__)
# A learner is promoted when it is at most this many entries behind; the next
# append request carries them all.
_MAX_PROMOTION_LAG_ENTRIES = 64
_IDENTITY_TIMEOUT_S = 2.0
# A longer pause between two calls means that this process stood still.
_MAX_UPKEEP_PAUSE_S = 1.0
_NEVER_MS = -1


@dataclass(frozen=True, slots=True)
class OwnMember:
    """Status that a member reports about itself, for operators."""

    member_id: str
    cluster_id: str
    role: str
    term: int
    leader_address: str
    revision: int
    problem: str


class MemberChanges:
    """Adds, promotes and removes members.

    Parameters
    ----------
    node : RaftNode
        This member.
    """

    def __init__(self, node: RaftNode) -> None:
        self._node = node
        self._network = node.kernel.plugin(PeerNetwork)
        self._upkeep_s = float('-inf')
        self._observed_since_s = float('inf')

    def add(self, address: str, *, timeout_s: float) -> None:
        """Add the instance at ``address`` as a learner.

        Adding an existing member has no effect, so that the command can be
        repeated.

        Raises
        ------
        NotLeader, Unavailable, MemberProblem
            If this member is not the leader or the change is not possible.
        """
        self._node.require_lease()
        identity = self._fetch_identity(address)
        with self._node.lock:
            self._wait_for_pending_change(timeout_s)
            members = self._node.state.log.members
            if identity.member_id in {each.member_id for each in members}:
                return
            self._check_addition(address, members)
            learner = Member(
                identity.member_id, identity.name, address, is_voter=False
            )
            entry = self._node.append_members((*members, learner))
        self._require_applied(entry, timeout_s)

    def remove(self, name: str, *, timeout_s: float) -> None:
        """Remove a member, given by its id, instance name or peer address.

        Raises
        ------
        NotLeader, Unavailable, MemberProblem
            If this member is not the leader or the change is not possible.
        """
        with self._node.lock:
            # A new leader needs some time to learn which members respond.
            self._node.lock.wait_for(
                lambda: self._is_removable(name), timeout_s
            )
            self._wait_for_pending_change(timeout_s)
            members = self._node.state.log.members
            removed = _find_member(name, members)
            if removed is None:
                return
            remaining = tuple(each for each in members if each != removed)
            self._check_removal(removed, remaining)
            entry = self._node.append_members(remaining)
        self._require_applied(entry, timeout_s)

    def maintain(self) -> None:
        """Make at most one change that the members' responses call for.

        A learner that has caught up becomes a voter. An older voter at the same
        address has lost its disk and is removed first. In a group whose members
        join automatically, members that are gone are removed.
        """
        node = self._node
        with node.lock:
            self._note_upkeep()
            if not node.has_lease() or self._is_change_in_progress():
                return
            members = node.state.log.members
            changed = next_members(
                members,
                ready=self._find_caught_up_learner(members),
                silent=self._silent_members(members),
            )
            if changed != members:
                self._append(members, changed)

    def status(self) -> MembersReply:
        """Return the status of all members as known to the leader."""
        node = self._node
        with node.lock:
            node.require_lease()
            state = node.state
            return MembersReply(
                cluster_id=state.identity.cluster_id,
                revision=state.commit_index,
                change_in_progress=self._is_change_in_progress(),
                members=[self._status_of(each) for each in state.log.members],
            )

    def _status_of(self, member: Member) -> MemberStatus:
        state = self._node.state
        status = MemberStatus(
            member=member_to_wire(member),
            is_leader=member.member_id == self._node.own_id,
            synced_revision=state.durable_index,
            last_answer_age_ms=0,
        )
        if not status.is_leader:
            progress = state.progress.get(member.member_id)
            status.synced_revision = progress.match_index if progress else 0
            status.last_answer_age_ms = self._reply_age_ms(member)
        return status

    def _reply_age_ms(self, member: Member) -> int:
        progress = self._node.state.progress.get(member.member_id)
        if progress is None or progress.acked_s < 0:
            return _NEVER_MS
        return int((self._node.now_s() - progress.acked_s) * 1000)

    def _fetch_identity(self, address: str) -> IdentityReply:
        try:
            identity = self._network.call(
                address, 'Raft', 'identity', timeout_s=_IDENTITY_TIMEOUT_S
            )
        except UnavailableError as error:
            raise MemberProblem(
                kind='invalid_input',
                problem=f'no control instance answers at {address!r}: {error}',
                remedy='start it with the control role and check the address',
            ) from error
        own_group = self._node.state.identity.cluster_id
        if identity.cluster_id not in {'', own_group}:
            raise MemberProblem(
                kind='conflict',
                problem=f'the instance at {address!r} belongs to group '
                f'{identity.cluster_id!r}',
                remedy='stop it, empty its data directory and start it again',
            )
        return identity

    def _check_addition(self, address: str, members: Members) -> None:
        silent = self._silent_members(members)
        others = [
            each
            for each in members
            if each.address != address and each not in silent
        ]
        if len(others) >= MAX_VOTERS:
            raise MemberProblem(
                kind='invalid_input',
                problem=f'the group has {len(others)} members already, '
                f'at most {MAX_VOTERS} are possible',
                remedy='remove one first',
            )

    def _check_removal(self, removed: Member, remaining: Members) -> None:
        if self._is_majority_responding(removed, remaining):
            return
        voters = [each for each in remaining if each.is_voter]
        responding = sum(self._is_responding(each) for each in voters)
        raise MemberProblem(
            kind='conflict',
            problem=f'without {removed.name!r} only {responding} of '
            f'{len(voters)} voters would answer, '
            f'{majority_size(remaining)} are needed',
            remedy='repair or remove the members that do not answer first',
        )

    def _is_removable(self, name: str) -> bool:
        """Return whether the result is known without further waiting."""
        if self._node.state.role is not Role.LEADER:
            return True
        members = self._node.state.log.members
        removed = _find_member(name, members)
        if removed is None:
            return True
        remaining = tuple(each for each in members if each != removed)
        return self._is_majority_responding(removed, remaining)

    def _is_majority_responding(
        self, removed: Member, remaining: Members
    ) -> bool:
        responding = sum(
            self._is_responding(each) for each in remaining if each.is_voter
        )
        return not removed.is_voter or responding >= majority_size(remaining)

    def _wait_for_pending_change(self, timeout_s: float) -> None:
        """Wait until no member change, such as a promotion, is in progress."""
        node = self._node
        node.lock.wait_for(
            lambda: (
                node.state.role is not Role.LEADER
                or not self._is_change_in_progress()
            ),
            timeout_s,
        )
        node.require_lease()
        if self._is_change_in_progress():
            raise MemberProblem(
                kind='conflict',
                problem='another member change is in progress',
                remedy='wait until the members command shows no such change',
            )

    def _note_upkeep(self) -> None:
        """Restart the observation of silence if this member could not listen.

        While it had no lease or the process stood still, a member's silence
        says nothing about that member.
        """
        now_s = self._node.now_s()
        if now_s - self._upkeep_s > _MAX_UPKEEP_PAUSE_S:
            self._observed_since_s = now_s
        self._upkeep_s = now_s

    def _silent_members(self, members: Members) -> list[Member]:
        """Return the members that may be gone, the longest silent one first."""
        node = self._node
        if not node.settings.join_automatically:
            return []
        limit_s = node.now_s() - node.settings.member_timeout_s
        if self._observed_since_s > limit_s:
            return []
        heard_s = {
            member.member_id: self._last_heard_s(member) for member in members
        }
        silent = [each for each in members if heard_s[each.member_id] < limit_s]
        return sorted(silent, key=lambda each: heard_s[each.member_id])

    def _last_heard_s(self, member: Member) -> float:
        node = self._node
        progress = node.state.progress.get(member.member_id)
        if member.member_id == node.own_id or progress is None:
            return node.now_s()
        return max(progress.synced_s, progress.created_s)

    def _append(self, members: Members, changed: Members) -> None:
        """Append a change of the members and log what it changes."""
        kept_ids = {each.member_id for each in changed}
        removed = [each for each in members if each.member_id not in kept_ids]
        event = 'member_removed' if removed else 'member_promoted'
        EVENTS.labels('control', event).inc()
        _LOG.info(
            'members of the control group change',
            extra={
                'members': [each.name for each in changed],
                'voter_count': len(voter_ids(changed)),
                'removed': [each.name for each in removed],
                'removed_silent_s': [
                    round(self._node.now_s() - self._last_heard_s(each), 1)
                    for each in removed
                ],
            },
        )
        self._node.append_members(changed)

    def _is_change_in_progress(self) -> bool:
        state = self._node.state
        return state.log.members_index > state.commit_index

    def _is_responding(self, member: Member) -> bool:
        """Return whether the member replies and its disk takes writes."""
        node = self._node
        if member.member_id == node.own_id:
            return True
        progress = node.state.progress.get(member.member_id)
        limit_s = node.settings.election_timeout_min_s
        return (
            progress is not None and node.now_s() - progress.synced_s < limit_s
        )

    def _find_caught_up_learner(self, members: Members) -> Member | None:
        state = self._node.state
        for member in members:
            progress = state.progress.get(member.member_id)
            if member.is_voter or progress is None:
                continue
            lag = state.log.last_index - progress.match_index
            if lag <= _MAX_PROMOTION_LAG_ENTRIES and self._is_responding(
                member
            ):
                return member
        return None

    def _require_applied(self, entry: LogEntry, timeout_s: float) -> None:
        if not self._node.wait_until_applied(entry, timeout_s=timeout_s):
            raise Unavailable(
                problem='the member change is not confirmed by a majority',
                maybe_applied=True,
            )


def _find_member(name: str, members: Members) -> Member | None:
    found = [
        each
        for each in members
        if name in {each.member_id, each.name, each.address}
    ]
    if len(found) > 1:
        ids = [each.member_id for each in found]
        raise MemberProblem(
            kind='conflict',
            problem=f'{name!r} names several members',
            remedy=f'give one of the ids {ids}',
        )
    return found[0] if found else None


def describe_own_member(node: RaftNode) -> OwnMember:
    """Return the status that this member reports about itself."""
    with node.lock:
        state = node.state
        return OwnMember(
            member_id=node.own_id,
            cluster_id=state.identity.cluster_id,
            role=_role_name(node),
            term=state.hard_state.term,
            leader_address=node.known_leader_address(),
            revision=state.applied_index,
            problem=str(state.failure or ''),
        )


def _role_name(node: RaftNode) -> str:
    state = node.state
    if not state.identity.cluster_id:
        return 'waiting to be added'
    if state.role is Role.LEADER:
        return 'leader'
    member_ids = {each.member_id for each in state.log.members}
    if node.own_id not in member_ids:
        # Either removed, or added but without the entry that adds it so far.
        return 'no member'
    is_voter = node.own_id in voter_ids(state.log.members)
    return 'follower' if is_voter else 'learner'
