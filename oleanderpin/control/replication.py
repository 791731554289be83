"""Replication from the leader, one thread for each other member."""

import threading
from typing import Any

from ..core.errors import StorageError, UnavailableError
from ..core.metrics import EVENTS
from ..wire.generated.common.ttypes import Unavailable
from ..wire.generated.raft.ttypes import (
    AppendReply,
    AppendRequest,
    Envelope,
    SnapshotReply,
    SnapshotRequest,
)
from ..wire.network import PeerNetwork
from .convert import entry_to_wire, members_to_wire
from .progress import Progress
from .raft import RaftNode
from .records import Member, SnapshotInfo

_CHUNK_BYTES = 1024 * 1024
_CHUNK_TIMEOUT_S = 5.0
# The reply to the last chunk waits until the receiver has decoded and synced
# the whole snapshot.
_INSTALL_TIMEOUT_S = 60.0


class Replication:
    """Sends entries, heartbeats and snapshots while this member leads."""

    def __init__(self, node: RaftNode) -> None:
        """Register with ``node`` for new terms and new members."""
        self._node = node
        self._network = node.kernel.plugin(PeerNetwork)
        self._running: set[tuple[int, str]] = set()
        node.on_members_changed = self.start_missing_threads

    def start_missing_threads(self) -> None:
        """Start a thread for each member that has none in this term."""
        node = self._node
        term = node.state.hard_state.term
        for member in node.state.log.members:
            key = (term, member.member_id)
            if member.member_id == node.own_id or key in self._running:
                continue
            self._running.add(key)
            threading.Thread(
                target=self._run,
                args=(term, member),
                name='log-replicate',
                daemon=True,
            ).start()

    def _run(self, term: int, member: Member) -> None:
        try:
            while self._is_replication_needed(term, member):
                self._replicate_once(term, member)
        except BaseException:
            with self._node.lock:
                self._running.discard((term, member.member_id))
            raise

    def _is_replication_needed(self, term: int, member: Member) -> bool:
        """Return whether to continue.

        A removed member gets entries until its removal is committed. The thread
        is deregistered under the same lock, so that a member that is added again
        gets a new one.
        """
        node = self._node
        with node.lock:
            if node.kernel.stopping.is_set() or not node.is_leading(term):
                self._running.discard((term, member.member_id))
                return False
            log = node.state.log
            members = log.members
            if log.members_index > node.state.commit_index:
                members += log.members_at(node.state.commit_index)
            is_member = member.member_id in {each.member_id for each in members}
            if not is_member:
                node.state.progress.pop(member.member_id, None)
                self._running.discard((term, member.member_id))
            return is_member

    def _replicate_once(self, term: int, member: Member) -> None:
        node = self._node
        with node.lock:
            if not node.is_leading(term):
                return
            progress = node.state.progress.setdefault(
                member.member_id,
                Progress(node.state.log.last_index + 1, node.now_s()),
            )
            progress.sent_s = node.now_s()
            is_behind = progress.next_index < node.state.log.first_index
        try:
            if is_behind:
                self._send_snapshot(term, member, progress)
            else:
                self._send_entries(term, member, progress)
        except (UnavailableError, Unavailable, StorageError):
            EVENTS.labels('control', 'replication_failed').inc()
            node.kernel.wait_while_running(node.settings.heartbeat_interval_s)
            return
        self._wait_for_work(term, progress)

    def _wait_for_work(self, term: int, progress: Progress) -> None:
        node = self._node
        with node.lock:
            due_s = progress.sent_s + node.settings.heartbeat_interval_s
            node.lock.wait_for(
                lambda: self._has_work(term, progress),
                max(0, due_s - node.now_s()),
            )

    def _has_work(self, term: int, progress: Progress) -> bool:
        state = self._node.state
        return (
            not self._node.is_leading(term)
            or self._node.kernel.stopping.is_set()
            or progress.has_work(state.log.last_index)
            or progress.sent_s < state.read_barrier_s
        )

    def _send_entries(
        self, term: int, member: Member, progress: Progress
    ) -> None:
        node = self._node
        with node.lock:
            request = self._append_request(term, member, progress)
        if request is None:
            return
        reply: AppendReply = self._call(
            member,
            'append_entries',
            request,
            timeout_s=node.settings.election_timeout_min_s,
        )
        with node.lock:
            if not self._record_reply(term, progress, reply.term):
                return
            if not reply.accepted:
                progress.next_index = reply.match_index + 1
                return
            progress.record_match(
                reply.match_index, request.prev_index + len(request.entries)
            )
            node.advance_commit()

    def _append_request(
        self, term: int, member: Member, progress: Progress
    ) -> AppendRequest | None:
        log = self._node.state.log
        prev_index = progress.next_index - 1
        prev_term = log.term_at(prev_index)
        if prev_term is None:
            # Compacted in the meantime; the next round sends a snapshot.
            progress.next_index = min(prev_index, log.first_index - 1)
            return None
        entries = log.batch(progress.next_index, log.last_index)
        return AppendRequest(
            envelope=self._envelope(term, member),
            leader_address=self._node.kernel.settings.listen.peer,
            prev_index=prev_index,
            prev_term=prev_term,
            entries=[entry_to_wire(entry) for entry in entries],
            commit_index=self._node.state.commit_index,
        )

    def _send_snapshot(
        self, term: int, member: Member, progress: Progress
    ) -> None:
        node = self._node
        EVENTS.labels('control', 'snapshot_sent').inc()
        stored = node.storage.read_snapshot()
        info = stored.info
        content = stored.content
        offset = 0
        while offset < len(content):
            with node.lock:
                if not node.is_leading(term):
                    return
                progress.sent_s = node.now_s()
            request = self._snapshot_request(
                term, member, info, content, offset
            )
            reply: SnapshotReply = self._call(
                member,
                'install_snapshot',
                request,
                timeout_s=_INSTALL_TIMEOUT_S
                if request.is_last
                else _CHUNK_TIMEOUT_S,
            )
            with node.lock:
                if not self._record_reply(term, progress, reply.term):
                    return
                progress.synced_s = progress.sent_s
            offset = reply.received_bytes
        with node.lock:
            progress.match_index = max(progress.match_index, info.index)
            progress.next_index = progress.match_index + 1

    def _snapshot_request(
        self,
        term: int,
        member: Member,
        info: SnapshotInfo,
        content: bytes,
        offset: int,
    ) -> SnapshotRequest:
        end = offset + _CHUNK_BYTES
        return SnapshotRequest(
            envelope=self._envelope(term, member),
            leader_address=self._node.kernel.settings.listen.peer,
            last_index=info.index,
            last_term=info.term,
            members=members_to_wire(info.members),
            offset_bytes=offset,
            chunk=content[offset:end],
            is_last=end >= len(content),
        )

    def _record_reply(
        self, term: int, progress: Progress, reply_term: int
    ) -> bool:
        """Record a reply for the lease; return whether still the leader."""
        node = self._node
        if reply_term > node.state.hard_state.term:
            node.become_follower(reply_term)
        if not node.is_leading(term):
            return False
        progress.acked_s = max(progress.acked_s, progress.sent_s)
        node.lock.notify_all()
        return True

    def _envelope(self, term: int, member: Member) -> Envelope:
        return Envelope(
            cluster_id=self._node.state.identity.cluster_id,
            from_id=self._node.own_id,
            to_id=member.member_id,
            term=term,
        )

    def _call(
        self, member: Member, method: str, request: Any, *, timeout_s: float
    ) -> Any:
        return self._network.call(
            member.address, 'Raft', method, request, timeout_s=timeout_s
        )
