"""Elections: pre-vote, votes, and stepping down without a majority."""

import logging
import threading
from dataclasses import dataclass, field
from typing import Any

from ..core.errors import StorageError, UnavailableError
from ..core.metrics import EVENTS
from ..wire.generated.common.ttypes import Unavailable
from ..wire.generated.raft.ttypes import Envelope, VoteReply, VoteRequest
from ..wire.network import PeerNetwork
from .progress import majority_size
from .raft import RaftNode
from .raft_state import Role
from .receiver import Receiver
from .records import HardState, Member, Members

_LOG = logging.getLogger(__name__)
_TICK_INTERVAL_S = 0.05
_SYNC_TIMEOUT_S = 10.0


@dataclass(slots=True)
class _Ballot:
    """Votes of one election round.

    ``pending`` counts outstanding replies, and ``term`` is the highest term
    in a reply.
    """

    required: int
    pending: int
    granted: int = 1
    term: int = 0
    changed: threading.Condition = field(default_factory=threading.Condition)

    def add_reply(self, reply: VoteReply | None) -> None:
        """Count a reply, None if the member did not reply."""
        with self.changed:
            self.pending -= 1
            if reply is not None:
                self.granted += int(reply.granted)
                self.term = max(self.term, reply.term)
            self.changed.notify_all()

    def is_decided(self) -> bool:
        """Return whether further replies cannot change the result."""
        return self.granted >= self.required or self.pending == 0


class Voting:
    """Grants votes, and runs elections in a thread of its own.

    Parameters
    ----------
    node : RaftNode
        This member.
    receiver : Receiver
        Waits for the disk before each reply.
    """

    def __init__(self, node: RaftNode, receiver: Receiver) -> None:
        self._node = node
        self._receiver = receiver
        self._network = node.kernel.plugin(PeerNetwork)

    def start(self) -> None:
        """Start the election thread."""
        threading.Thread(
            target=self._run, name='log-election', daemon=True
        ).start()

    def pre_vote(self, request: VoteRequest) -> VoteReply:
        """Return whether a vote would be granted, without changing state."""
        node = self._node
        with node.lock:
            node.check_envelope(request.envelope)
            term = node.state.hard_state.term
            granted = (
                not self._has_recent_leader()
                and request.envelope.term > term
                and self._is_up_to_date(request)
            )
            ticket = node.disk.ticket
        self._receiver.wait_until_synced(ticket)
        return VoteReply(term=term, granted=granted)

    def request_vote(self, request: VoteRequest) -> VoteReply:
        """Grant at most one vote in each term."""
        node = self._node
        with node.lock:
            node.check_envelope(request.envelope)
            granted = not self._has_recent_leader() and self._try_grant(request)
            term = node.state.hard_state.term
            ticket = node.disk.ticket
        self._receiver.wait_until_synced(ticket)
        if granted:
            # The candidate learns of the vote only now.
            with node.lock:
                node.postpone_election()
        return VoteReply(term=term, granted=granted)

    def _has_recent_leader(self) -> bool:
        """Return whether a leader's lease may still depend on this member.

        After a start the member does not know when a leader last contacted
        it, so the time of the start counts as contact.
        """
        node = self._node
        state = node.state
        last_contact_s = max(state.leader_contact_s, state.started_s)
        if state.role is Role.LEADER:
            last_contact_s = max(last_contact_s, node.quorum_acked_s())
        return (
            node.now_s() < last_contact_s + node.settings.election_timeout_min_s
        )

    def _try_grant(self, request: VoteRequest) -> bool:
        node = self._node
        candidate = request.envelope.from_id
        term = request.envelope.term
        if term < node.state.hard_state.term:
            return False
        is_up_to_date = self._is_up_to_date(request)
        if term > node.state.hard_state.term:
            # Term and vote are stored at once: on a slow disk, a second write
            # takes longer than the candidate waits.
            voted_for = candidate if is_up_to_date else ''
            node.become_follower(term, voted_for=voted_for)
        elif is_up_to_date and not node.state.hard_state.voted_for:
            node.save_hard_state(HardState(term, candidate))
        if node.state.hard_state.voted_for != candidate:
            return False
        node.postpone_election()
        return is_up_to_date

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self._node.state.log
        own = (log.last_term, log.last_index)
        return (request.last_term, request.last_index) >= own

    def _run(self) -> None:
        node = self._node
        while node.kernel.wait_while_running(_TICK_INTERVAL_S):
            try:
                self._tick()
            except StorageError as error:
                _LOG.warning('election given up: %s', error)
            except Exception:
                # An error in one round must not prevent later elections.
                EVENTS.labels('control', 'election_error').inc()
                _LOG.exception('unexpected error in an election round')

    def _tick(self) -> None:
        node = self._node
        with node.lock:
            if node.state.role is Role.LEADER:
                self._check_quorum()
                return
            is_due = self._is_election_due()
        if is_due:
            self._campaign()

    def _check_quorum(self) -> None:
        node = self._node
        state = node.state
        limit_s = node.settings.election_timeout_min_s
        # A new leader has this long to get replies to its first heartbeats.
        if node.now_s() > max(node.quorum_acked_s(), state.elected_s) + limit_s:
            EVENTS.labels('control', 'quorum_lost').inc()
            node.become_follower(state.hard_state.term)

    def _is_election_due(self) -> bool:
        state = self._node.state
        is_able = state.failure is None and self._node.is_voter()
        return is_able and self._node.now_s() >= state.election_deadline_s

    def _campaign(self) -> None:
        node = self._node
        with node.lock:
            node.postpone_election()
            node.state.leader_address = ''
            term = node.state.hard_state.term + 1
            request = self._vote_request(term)
        timeout_s = node.settings.election_timeout_min_s
        if not self._collect_votes('pre_vote', request, timeout_s=timeout_s):
            EVENTS.labels('control', 'pre_vote_lost').inc()
            return
        with node.lock:
            # A leader may have been elected during the pre-vote.
            if (
                node.state.hard_state.term != term - 1
                or self._has_recent_leader()
            ):
                return
            node.state.role = Role.CANDIDATE
            node.save_hard_state(HardState(term, node.own_id))
            request = self._vote_request(term)
            ticket = node.disk.ticket
        timeout_s = self._time_for_votes_s()
        if not self._collect_votes(
            'request_vote', request, timeout_s=timeout_s
        ):
            EVENTS.labels('control', 'election_lost').inc()
            return
        # The own vote counts once it is synced, like those of the others.
        node.disk.wait(ticket, timeout_s=_SYNC_TIMEOUT_S)
        with node.lock:
            is_candidate = node.state.role is Role.CANDIDATE
            if is_candidate and node.state.hard_state.term == term:
                node.become_leader()

    def _time_for_votes_s(self) -> float:
        """Restart the election timer and return the time until it ends.

        Fault: disks are slow. Each voter syncs its vote before it replies, so
        a candidate that waits less than it may is never elected.
        """
        node = self._node
        with node.lock:
            node.postpone_election()
            return node.state.election_deadline_s - node.now_s()

    def _vote_request(self, term: int) -> VoteRequest:
        state = self._node.state
        return VoteRequest(
            envelope=Envelope(
                cluster_id=state.identity.cluster_id,
                from_id=self._node.own_id,
                term=term,
            ),
            last_index=state.log.last_index,
            last_term=state.log.last_term,
        )

    def _collect_votes(
        self, method: str, request: VoteRequest, *, timeout_s: float
    ) -> bool:
        node = self._node
        with node.lock:
            members = node.state.log.members
        others = _other_voters(members, node.own_id)
        ballot = _Ballot(required=majority_size(members), pending=len(others))
        for member in others:
            threading.Thread(
                target=self._ask_for_vote,
                args=(ballot, method, member, request, timeout_s),
                name=f'log-{method}',
                daemon=True,
            ).start()
        with ballot.changed:
            ballot.changed.wait_for(ballot.is_decided, timeout_s)
            is_elected = ballot.granted >= ballot.required
        with node.lock:
            if ballot.term > node.state.hard_state.term:
                node.become_follower(ballot.term)
        return is_elected

    def _ask_for_vote(
        self,
        ballot: _Ballot,
        method: str,
        member: Member,
        request: VoteRequest,
        timeout_s: float,
    ) -> None:
        reply: Any = None
        try:
            reply = self._network.call(
                member.address,
                'Raft',
                method,
                _addressed_to(request, member.member_id),
                timeout_s=timeout_s,
            )
        except (UnavailableError, Unavailable):
            EVENTS.labels('control', 'vote_unanswered').inc()
        finally:
            ballot.add_reply(reply)


def _other_voters(members: Members, own_id: str) -> list[Member]:
    return [
        member
        for member in members
        if member.is_voter and member.member_id != own_id
    ]


def _addressed_to(request: VoteRequest, member_id: str) -> VoteRequest:
    envelope = request.envelope
    return VoteRequest(
        envelope=Envelope(
            cluster_id=envelope.cluster_id,
            from_id=envelope.from_id,
            to_id=member_id,
            term=envelope.term,
        ),
        last_index=request.last_index,
        last_term=request.last_term,
    )
