"""Forms the first group, or has an empty instance added to the group."""

import logging
import secrets
import threading
from collections.abc import Callable
from dataclasses import replace

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
from .records import Member, Members
from .sources import configured_members

_LOG = logging.getLogger(__name__)
_RETRY_S = 0.2
_CALL_TIMEOUT_S = 1.0
_ID_BYTES = 8
# Members are added one at a time, so those that wait ask again soon.
_JOIN_RETRY_S = 0.3
_JOIN_TIMEOUT_S = 3.0


class Bootstrap:
    """Forms the group from ``initial_members``; the first one decides.

    All of them must answer and be empty. An instance that lost its disk
    therefore never forms a second group beside the members that are left.

    Parameters
    ----------
    node : RaftNode
        This member.
    """

    def __init__(self, node: RaftNode) -> None:
        """Keep the node."""
        self._node = node
        self._network = node.kernel.plugin(PeerNetwork)

    def start(self) -> None:
        """Wait for the others in a thread, if this member is empty."""
        if self._node.state.identity.cluster_id:
            return
        settings = self._node.kernel.settings
        addresses = self._first_addresses()
        if addresses[:1] == [settings.listen.peer]:
            _start_thread(lambda: self._run(addresses))
            return
        _LOG.info(
            'member %s has an empty disk and waits to be added',
            self._node.own_id,
        )
        if settings.control.join_automatically:
            _start_thread(self._join)

    def _first_addresses(self) -> list[str]:
        settings = self._node.kernel.settings
        control = settings.control
        if control.join_automatically and not control.form_from_seeds:
            # Seeds are known, but the group was formed before.
            return []
        return [member.address for member in configured_members(settings)]

    def _join(self) -> None:
        """Ask the leader to add this instance, until it belongs to a group."""
        node = self._node
        leader = node.kernel.plugin(LeaderClient)
        own_address = node.kernel.settings.listen.peer
        while node.kernel.wait_while_running(_JOIN_RETRY_S):
            if node.state.identity.cluster_id:
                return
            try:
                leader.call(
                    'Raft',
                    'add_member',
                    MemberAdd(address=own_address),
                    timeout_s=_JOIN_TIMEOUT_S,
                )
            except (UnavailableError, MemberProblem) as error:
                EVENTS.labels('control', 'join_waits').inc()
                _LOG.info('not added to the control group yet: %s', error)

    def _run(self, addresses: list[str]) -> None:
        node = self._node
        while not node.state.identity.cluster_id:
            members = self._empty_members(addresses)
            if members:
                self._form(members)
            elif not node.kernel.wait_while_running(_RETRY_S):
                return

    def _empty_members(self, addresses: list[str]) -> Members:
        """Return all members, or none unless all of them are empty."""
        members = []
        if self._is_group_known():
            return ()
        for address in addresses:
            identity = self._identity_at(address)
            if identity is None or identity.cluster_id:
                EVENTS.labels('control', 'bootstrap_waits').inc()
                return ()
            members.append(
                Member(identity.member_id, identity.name, address, True)
            )
        return tuple(members)

    def _is_group_known(self) -> bool:
        """Return whether a seed or live instance belongs to a group.

        ``initial_members`` may still name instances that were all replaced.
        """
        kernel = self._node.kernel
        announced = [
            peer.peer_address
            for peer in kernel.plugin(Peers).alive()
            if 'control' in peer.roles
        ]
        for address in {*kernel.settings.peers.seed_addresses(), *announced}:
            identity = self._identity_at(address)
            if identity is not None and identity.cluster_id:
                EVENTS.labels('control', 'bootstrap_waits').inc()
                return True
        return False

    def _identity_at(self, address: str) -> IdentityReply | None:
        try:
            return self._network.call(
                address, 'Raft', 'identity', timeout_s=_CALL_TIMEOUT_S
            )
        except UnavailableError:
            return None

    def _form(self, members: Members) -> None:
        node = self._node
        cluster_id = secrets.token_hex(_ID_BYTES)
        with node.lock:
            if node.state.identity.cluster_id:
                return
            node.adopt(
                replace(
                    node.state.identity, cluster_id=cluster_id, members=members
                )
            )
            # No earlier group exists, so nobody relies on an older leader.
            node.state.deadline_s = node.now_s()
            node.state.started_s = float('-inf')
        for member in members:
            self._invite(member, cluster_id, members)

    def _invite(
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
            _LOG.warning('invitation of %s failed: %s', member.name, error)


def _start_thread(target: Callable[[], None]) -> None:
    threading.Thread(target=target, name='log-bootstrap', daemon=True).start()
