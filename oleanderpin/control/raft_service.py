"""The Thrift service ``Raft`` of a member."""

from dataclasses import replace

from ..wire.generated.raft import Raft
from ..wire.generated.raft.ttypes import (
    AdoptRequest,
    AppendReply,
    AppendRequest,
    IdentityReply,
    MemberAdd,
    MemberRemove,
    MembersReply,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from ..wire.server import PeerServer
from .convert import members_from_wire
from .members import MemberChanges
from .raft import RaftNode
from .receiver import Receiver
from .voting import Voting

_CHANGE_TIMEOUT_S = 3.0


class RaftHandler:
    """Delegates each method to the module that implements it."""

    def __init__(
        self,
        node: RaftNode,
        *,
        voting: Voting,
        receiver: Receiver,
        members: MemberChanges,
    ) -> None:
        self._node = node
        self._voting = voting
        self._receiver = receiver
        self._members = members

    def register(self) -> None:
        """Serve the methods on the peer address."""
        server = self._node.kernel.plugin(PeerServer)
        server.register('Raft', Raft.Processor(self))

    def pre_vote(self, request: VoteRequest) -> VoteReply:
        """Return whether a vote would be granted."""
        return self._voting.pre_vote(request)

    def request_vote(self, request: VoteRequest) -> VoteReply:
        """Grant or refuse a vote."""
        return self._voting.request_vote(request)

    def append_entries(self, request: AppendRequest) -> AppendReply:
        """Append entries of the leader."""
        return self._receiver.append_entries(request)

    def install_snapshot(self, request: SnapshotRequest) -> SnapshotReply:
        """Store a chunk of a snapshot of the leader."""
        return self._receiver.install_snapshot(request)

    def identity(self) -> IdentityReply:
        """Return the ids, name and address of this member."""
        settings = self._node.kernel.settings
        with self._node.lock:
            state = self._node.state
            return IdentityReply(
                member_id=state.identity.member_id,
                cluster_id=state.identity.cluster_id,
                name=settings.instance.name,
                address=settings.listen.peer,
                last_index=state.log.last_index,
            )

    def adopt(self, request: AdoptRequest) -> None:
        """Join the initial group, which another member has formed."""
        node = self._node
        with node.lock:
            is_empty = not node.state.identity.cluster_id
            node.check_envelope(request.envelope)
            if is_empty:
                members = members_from_wire(request.members)
                node.join_group(replace(node.state.identity, members=members))
                node.state.started_s = float('-inf')
                node.postpone_election()
            ticket = node.disk.ticket
        self._receiver.wait_until_synced(ticket)

    def members(self) -> MembersReply:
        """Return the status of all members as known to the leader."""
        return self._members.status()

    def add_member(self, request: MemberAdd) -> MembersReply:
        """Add an instance as a learner."""
        self._members.add(request.address, timeout_s=_CHANGE_TIMEOUT_S)
        return self._members.status()

    def remove_member(self, request: MemberRemove) -> MembersReply:
        self._members.remove(request.member, timeout_s=_CHANGE_TIMEOUT_S)
        return self._members.status()
