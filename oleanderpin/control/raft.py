"""Transitions of a Raft member: roles, terms, log entries and commits."""

import logging
import random
import threading
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from ..core.errors import StorageError
from ..core.metrics import EVENTS
from ..wire.generated.common.ttypes import NotLeader, Unavailable
from ..wire.generated.raft.ttypes import Envelope
from .disk import DiskWriter
from .entries import EntryLog
from .progress import Progress, majority_acked_s, majority_index, voter_ids
from .raft_state import RaftState, Role
from .records import (
    EntryKind,
    HardState,
    Identity,
    LogEntry,
    Members,
    SnapshotInfo,
    encode_members,
)
from .storage import LogStorage, StoredState

_LOG = logging.getLogger(__name__)


class RaftNode:
    """One member of the Raft group; ``lock`` protects its ``state``.

    Parameters
    ----------
    kernel : Kernel
        Provides the settings and the clock.
    storage : LogStorage
        Files of the member.
    contents : StoredState
        State read from these files at start-up.
    """

    def __init__(
        self, kernel: Any, storage: LogStorage, contents: StoredState
    ) -> None:
        """Start as a follower in the last known term."""
        self.kernel = kernel
        self.settings = kernel.settings.control
        self.storage = storage
        self.disk = DiskWriter(storage, self)
        self.lock = threading.Condition()
        # Set by `Replication`, which starts a thread for each new member.
        self.on_members_changed: Callable[[], None] = lambda: None
        # The seed differs between members, so that they rarely start elections
        # at the same time.
        self._random = random.Random(contents.identity.member_id)
        now_s = kernel.clock.now_s()
        log = _log_from(contents)
        first_index = log.snapshot_info.index
        self.state = RaftState(
            identity=contents.identity,
            hard_state=contents.hard_state,
            log=log,
            commit_index=max(first_index, contents.commit_index),
            applied_index=first_index,
            durable_index=log.last_index,
            started_s=now_s,
            election_deadline_s=now_s,
        )
        if voter_ids(log.members) != (contents.identity.member_id,):
            self.postpone_election()

    @property
    def own_id(self) -> str:
        return self.state.identity.member_id

    def now_s(self) -> float:
        """Return the time of the monotonic clock, in seconds."""
        return self.kernel.clock.now_s()

    def postpone_election(self) -> None:
        """Restart the election timer with a random timeout."""
        self.state.election_deadline_s = self.now_s() + self._random.uniform(
            self.settings.election_timeout_min_s,
            self.settings.election_timeout_max_s,
        )

    def is_voter(self) -> bool:
        """Return whether this member counts towards majorities."""
        return self.own_id in voter_ids(self.state.log.members)

    def is_leading(self, term: int) -> bool:
        """Return whether this member is the leader in ``term``."""
        state = self.state
        return state.role is Role.LEADER and state.hard_state.term == term

    def has_lease(self) -> bool:
        """Return whether this member holds the leader lease.

        While it does, no other member can have become leader. The lease
        requires that an entry of the leader's own term is applied.
        """
        with self.lock:
            state = self.state
            if state.role is not Role.LEADER or state.failure is not None:
                return False
            if state.applied_index < state.term_start_index:
                return False
            lease_s = self.settings.leader_lease_s
            return self.now_s() < self.quorum_acked_s() + lease_s

    def known_leader_address(self) -> str:
        """Return the leader's address, empty if it is not known.

        The address expires when the leader stops sending messages, since a
        removed member gets none from the next leader.
        """
        with self.lock:
            state = self.state
            limit_s = (
                state.leader_contact_s + self.settings.election_timeout_max_s
            )
            if state.role is Role.LEADER or self.now_s() < limit_s:
                return state.leader_address
            return ''

    def quorum_acked_s(self) -> float:
        """Return the latest send time that a majority has acknowledged."""
        state = self.state
        return majority_acked_s(
            state.log.members, state.progress, own_id=self.own_id
        )

    def require_lease(self) -> None:
        """Raise unless this member is the leader with a valid lease.

        Raises
        ------
        NotLeader
            If this member is not the leader, with the leader's address if
            that is known.
        Unavailable
            If this member is the leader, but its lease is not valid.
        """
        with self.lock:
            if self.state.role is not Role.LEADER:
                raise NotLeader(leader_address=self.known_leader_address())
            if not self.has_lease():
                raise Unavailable(
                    problem='the leader has no lease at present',
                    maybe_applied=False,
                )

    def is_read_confirmed(self, requested_s: float, revision: int) -> bool:
        """Return whether a read requested at ``requested_s`` may be served.

        A majority has to have acknowledged a message sent since then, and
        ``revision`` has to be applied.
        """
        is_applied = self.state.applied_index >= revision
        return is_applied and self.quorum_acked_s() >= requested_s

    def check_envelope(self, envelope: Envelope) -> None:
        """Reject a message that is addressed to another member or group.

        A member without a group joins the group of the sender: member ids are
        random, so only a group to which the member was added knows its id.

        Raises
        ------
        Unavailable
            If the message is rejected.
        """
        identity = self.state.identity
        if self.state.failure is not None:
            problem = str(self.state.failure)
        elif envelope.to_id != identity.member_id:
            problem = f'this is member {identity.member_id}'
        elif not identity.cluster_id:
            self.join_group(replace(identity, cluster_id=envelope.cluster_id))
            return
        elif identity.cluster_id != envelope.cluster_id:
            problem = f'this member belongs to group {identity.cluster_id}'
        else:
            return
        raise Unavailable(problem=problem, maybe_applied=False)

    def join_group(self, identity: Identity) -> None:
        """Join the group given by ``identity`` and store the identity."""
        state = self.state
        state.identity = identity
        if identity.members and not state.log.last_index:
            state.log = EntryLog(SnapshotInfo(members=identity.members))
        self.disk.submit(lambda: self.storage.save_identity(identity))
        _LOG.info('member %s joins group %s', self.own_id, identity.cluster_id)

    def save_hard_state(self, hard_state: HardState) -> None:
        """Set term and vote; replies must wait until they are synced."""
        self.state.hard_state = hard_state
        self.disk.submit(lambda: self.storage.save_hard_state(hard_state))

    def become_follower(self, term: int, *, voted_for: str = '') -> None:
        """Become a follower in ``term``, which is not below the current one.

        Parameters
        ----------
        term : int
            The term.
        voted_for : str
            Member that gets the vote of this member if the term is new.
        """
        state = self.state
        if term > state.hard_state.term:
            self.save_hard_state(HardState(term, voted_for))
            state.leader_address = ''
        if state.role is Role.LEADER:
            _LOG.warning('no longer the control leader, term %d', term)
            EVENTS.labels('control', 'stepped_down').inc()
            state.leader_address = ''
            self.postpone_election()
        state.role = Role.FOLLOWER
        state.progress = {}
        self.lock.notify_all()

    def become_leader(self) -> None:
        """Become the leader of the current term and append its first entry.

        The entry repeats the members, so that each member learns them from
        the log; it has no effect on the control state.
        """
        state = self.state
        state.role = Role.LEADER
        state.elected_s = self.now_s()
        state.leader_address = self.kernel.settings.listen.peer
        state.progress = {}
        entry = self.append_members(state.log.members)
        state.term_start_index = entry.index
        _LOG.info('control leader in term %d', state.hard_state.term)
        EVENTS.labels('control', 'became_leader').inc()

    def append_members(self, members: Members) -> LogEntry:
        """Append an entry that sets the members, and replicate to new ones."""
        earlier_ids = {each.member_id for each in self.state.log.members}
        entry = self.append_entry(EntryKind.MEMBERS, encode_members(members))
        progress = self.state.progress
        for member in members:
            member_id = member.member_id
            is_known = member_id in earlier_ids and member_id in progress
            if member_id != self.own_id and not is_known:
                progress[member_id] = Progress(entry.index, self.now_s())
        self.on_members_changed()
        return entry

    def append_entry(self, kind: EntryKind, payload: bytes) -> LogEntry:
        """Append an entry as the leader and queue it for the disk."""
        state = self.state
        entry = LogEntry(
            state.log.last_index + 1, state.hard_state.term, kind, payload
        )
        state.log.append([entry])
        self.disk.submit_entries([entry])
        self.lock.notify_all()
        return entry

    def advance_commit(self) -> None:
        """Advance the commit index to what a majority has synced.

        Only an entry of the current term is committed directly; it commits
        all entries before it.
        """
        state = self.state
        index = majority_index(
            state.log.members,
            state.progress,
            own_id=self.own_id,
            own_index=state.durable_index,
        )
        if index <= state.commit_index:
            return
        if state.log.term_at(index) != state.hard_state.term:
            return
        state.commit_index = index
        if index >= state.log.members_index and not self.is_voter():
            self.become_follower(state.hard_state.term)
        self.lock.notify_all()

    def mark_durable(self, entry: LogEntry) -> None:
        """Record that ``entry`` and all before it are synced on this disk."""
        with self.lock:
            state = self.state
            # The entry may have been replaced while it was written.
            if state.log.term_at(entry.index) != entry.term:
                return
            state.durable_index = max(state.durable_index, entry.index)
            if state.role is Role.LEADER:
                self.advance_commit()

    def mark_failed(self, error: StorageError) -> None:
        """Step down and take no part in the group; the disk failed."""
        with self.lock:
            self.state.disk_failure = error
            self._step_down()

    def mark_apply_failed(self, error: StorageError) -> None:
        """Step down and take no part until entries are applied again."""
        with self.lock:
            self.state.apply_failure = error
            self._step_down()

    def clear_apply_failure(self) -> None:
        """Take part again unless the disk failed."""
        with self.lock:
            self.state.apply_failure = None
            self.postpone_election()
            self.lock.notify_all()

    def restore(
        self, contents: StoredState, resume: Callable[[], None]
    ) -> None:
        """Continue from what is on the disk, as after a restart.

        Entries, terms and votes that were not synced are gone; nothing that
        depends on them has been confirmed.
        """
        with self.lock:
            if self.kernel.stopping.is_set():
                return
            resume()
            state = self.state
            log = _log_from(contents)
            first_index = log.snapshot_info.index
            state.identity = contents.identity
            state.hard_state = contents.hard_state
            state.log = log
            state.commit_index = max(first_index, contents.commit_index)
            state.applied_index = max(first_index, state.applied_index)
            state.durable_index = log.last_index
            state.disk_failure = None
            self.postpone_election()
            self.lock.notify_all()
            _LOG.info(
                'taking part in the control group again, term %d, last entry '
                '%d',
                state.hard_state.term,
                log.last_index,
            )

    def wait_until_applied(self, entry: LogEntry, *, timeout_s: float) -> bool:
        """Wait until an entry of this leader is committed and applied.

        Returns
        -------
        bool
            False if this is not confirmed within ``timeout_s`` seconds.
        """
        with self.lock:
            self.lock.wait_for(lambda: self._is_decided(entry), timeout_s)
            if self.state.applied_index < entry.index:
                return False
            return self.state.log.term_at(entry.index) == entry.term

    def _step_down(self) -> None:
        self.become_follower(self.state.hard_state.term)
        self.state.leader_address = ''

    def _is_decided(self, entry: LogEntry) -> bool:
        state = self.state
        if state.applied_index >= entry.index:
            return True
        if state.commit_index >= entry.index and state.failure is None:
            return False
        return not self.is_leading(entry.term)


def _log_from(contents: StoredState) -> EntryLog:
    info = contents.info
    if not info.index:
        info = SnapshotInfo(members=contents.identity.members)
    return EntryLog(info, contents.entries)
