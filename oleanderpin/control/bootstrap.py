"""Forms the initial group, or has this instance added to the group."""

import logging
import secrets
from collections.abc import Callable
from dataclasses import replace

from ..core.background import background_thread
from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..membership.peers import Peers
from ..wire.generated.common.ttypes import Unavailable
from ..wire.generated.raft.ttypes import (
    AdoptRequest,
    Envelope,
    IdentityReply,
    MemberAdd,
    MemberProblem,
)
from ..wire.network import PeerNetwork
from .convert import members_to_wire
from .leader import LeaderClient
from .raft import RaftNode
from .raft_state import Role
from .records import Member, Members
from .sources import configured_members

_LOG = logging.getLogger(__name__)
_FORM_RETRY_INTERVAL_S = 0.2
_CALL_TIMEOUT_S = 1.0
_CLUSTER_ID_BYTES = 8
# Short, since members are added one at a time and the others have to retry.
_JOIN_RETRY_INTERVAL_S = 0.3
_JOIN_TIMEOUT_S = 3.0
# For a member that may have been removed; a leader is usually found earlier.
_REJOIN_CHECK_INTERVAL_S = 1.0


class Bootstrap:
    """Forms the group from ``initial_members``, on the first of them.

    All of them must respond and have an empty disk. An instance that lost its
    disk therefore never forms a second group beside the remaining members.

    Parameters
    ----------
    node : RaftNode
        This member.
    """

    def __init__(self, node: RaftNode) -> None:
        self._node = node
        self._network = node.kernel.plugin(PeerNetwork)

    def start(self) -> None:
        """Form or join a group in a thread, and join it again if removed."""
        is_empty = not self._node.state.identity.cluster_id
        if is_empty and self._forms_group():
            self._start_thread(self._form_when_all_empty)
        elif is_empty:
            _LOG.info(
                'member %s has an empty disk and waits to be added',
                self._node.own_id,
            )
        if self._node.settings.join_automatically:
            self._start_thread(self._stay_member)

    def _start_thread(self, loop: Callable[[], None]) -> None:
        background_thread(self._node.kernel, loop, name='log-bootstrap').start()

    def _forms_group(self) -> bool:
        """Return whether this instance is the first of the initial members."""
        own_address = self._node.kernel.settings.listen.peer
        return self._initial_addresses()[:1] == [own_address]

    def _initial_addresses(self) -> list[str]:
        settings = self._node.kernel.settings
        control = settings.control
        if control.join_automatically and not control.form_from_seeds:
            # The seeds are known, but the group already exists.
            return []
        return [member.address for member in configured_members(settings)]

    def _stay_member(self) -> None:
        """Ask the leader to add this instance whenever it may be no member."""
        node = self._node
        while node.kernel.wait_while_running(self._join_interval_s()):
            if node.state.failure is None and self._may_be_no_member():
                self._ask_to_join()

    def _may_be_no_member(self) -> bool:
        if self._node.state.identity.cluster_id:
            return not self._hears_from_leader()
        return not self._forms_group()

    def _join_interval_s(self) -> float:
        if self._node.state.identity.cluster_id:
            return _REJOIN_CHECK_INTERVAL_S
        return _JOIN_RETRY_INTERVAL_S

    def _hears_from_leader(self) -> bool:
        """Return whether a leader replicates to this member, or it leads."""
        node = self._node
        with node.lock:
            limit_s = node.now_s() - node.settings.election_timeout_max_s
            is_leader = node.state.role is Role.LEADER
            return is_leader or node.state.leader_contact_s > limit_s

    def _ask_to_join(self) -> None:
        """Ask the leader to add this instance; members are not added twice."""
        node = self._node
        try:
            node.kernel.plugin(LeaderClient).call(
                'Raft',
                'add_member',
                MemberAdd(address=node.kernel.settings.listen.peer),
                timeout_s=_JOIN_TIMEOUT_S,
            )
        except (UnavailableError, MemberProblem) as error:
            EVENTS.labels('control', 'join_waits').inc()
            _LOG.info('not added to the control group yet: %s', error)

    def _form_when_all_empty(self) -> None:
        node = self._node
        addresses = self._initial_addresses()
        while not node.state.identity.cluster_id:
            members = self._collect_empty_members(addresses)
            if members:
                self._form_group(members)
            elif not node.kernel.wait_while_running(_FORM_RETRY_INTERVAL_S):
                return

    def _collect_empty_members(self, addresses: list[str]) -> Members:
        """Return all members, or none unless all respond and are empty."""
        members = []
        if self._group_exists():
            return ()
        for address in addresses:
            identity = self._fetch_identity(address)
            if identity is None or identity.cluster_id:
                EVENTS.labels('control', 'bootstrap_waits').inc()
                return ()
            members.append(
                Member(identity.member_id, identity.name, address, True)
            )
        return tuple(members)

    def _group_exists(self) -> bool:
        """Return whether a seed or live instance belongs to a group.

        ``initial_members`` may still name instances that were all replaced.
        """
        kernel = self._node.kernel
        gossiped = [
            peer.peer_address
            for peer in kernel.plugin(Peers).alive()
            if 'control' in peer.roles
        ]
        for address in {*kernel.settings.peers.seed_addresses(), *gossiped}:
            identity = self._fetch_identity(address)
            if identity is not None and identity.cluster_id:
                EVENTS.labels('control', 'bootstrap_waits').inc()
                return True
        return False

    def _fetch_identity(self, address: str) -> IdentityReply | None:
        try:
            return self._network.call(
                address, 'Raft', 'identity', timeout_s=_CALL_TIMEOUT_S
            )
        except UnavailableError:
            return None

    def _form_group(self, members: Members) -> None:
        node = self._node
        cluster_id = secrets.token_hex(_CLUSTER_ID_BYTES)
        with node.lock:
            if node.state.identity.cluster_id:
                return
            node.join_group(
                replace(
                    node.state.identity, cluster_id=cluster_id, members=members
                )
            )
            # No earlier group exists, so no earlier leader can hold a lease.
            node.state.election_deadline_s = node.now_s()
            node.state.started_s = float('-inf')
        for member in members:
            self._send_group(member, cluster_id, members)

    def _send_group(
        self, member: Member, cluster_id: str, members: Members
    ) -> None:
        """Send the group; a member that misses it learns it from the log."""
        if member.member_id == self._node.own_id:
            return
        request = AdoptRequest(
            envelope=Envelope(
                cluster_id=cluster_id,
                from_id=self._node.own_id,
                to_id=member.member_id,
                term=0,
            ),
            members=members_to_wire(members),
        )
        try:
            self._network.call(
                member.address,
                'Raft',
                'adopt',
                request,
                timeout_s=_CALL_TIMEOUT_S,
            )
        except (UnavailableError, Unavailable) as error:
            _LOG.warning(
                'could not send the new group to member %s: %s',
                member.name,
                error,
            )
