"""Entries and snapshots that a member receives from the leader."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..core.errors import StorageError
from ..wire.generated.common.ttypes import Unavailable
from ..wire.generated.raft.ttypes import (
    AppendReply,
    AppendRequest,
    Envelope,
    RaftEntry,
    SnapshotReply,
    SnapshotRequest,
)
from .convert import entry_from_wire, members_from_wire
from .entries import EntryLog
from .raft import RaftNode
from .raft_state import Role
from .records import LogEntry, SnapshotInfo

_SYNC_TIMEOUT_S = 10.0

InstallSnapshot = Callable[[bytes], bool]


@dataclass(slots=True)
class _Incoming:
    """A snapshot that arrives in chunks."""

    leader_id: str
    index: int
    content: bytearray


class Receiver:
    """Appends what the leader sends; answers only after it is synced.

    Parameters
    ----------
    node : RaftNode
        This member.
    install : callable
        Takes a complete snapshot of the control state.
    """

    def __init__(self, node: RaftNode, install: InstallSnapshot) -> None:
        """Start without a partial snapshot."""
        self._node = node
        self._install = install
        self._incoming = _Incoming('', 0, bytearray())

    def append_entries(self, request: AppendRequest) -> AppendReply:
        """Append entries that follow a known entry."""
        node = self._node
        with node.lock:
            if not self._follow(request.envelope, request.leader_address):
                return AppendReply(
                    term=node.state.hard.term, accepted=False, match_index=0
                )
            reply = self._append(request)
        self.sync()
        return reply

    def install_snapshot(self, request: SnapshotRequest) -> SnapshotReply:
        """Keep a chunk; install the snapshot once it is complete."""
        node = self._node
        with node.lock:
            is_current = self._follow(request.envelope, request.leader_address)
            reply = SnapshotReply(term=node.state.hard.term, received_bytes=0)
            if not is_current:
                return reply
            content = self._keep_chunk(request)
            reply.received_bytes = len(content)
        is_complete = request.is_last and reply.received_bytes == (
            request.offset_bytes + len(request.chunk)
        )
        if is_complete:
            self._install_complete(request, bytes(content))
        self.sync()
        return reply

    def sync(self) -> None:
        """Wait until everything submitted so far is synced.

        Raises
        ------
        Unavailable
            If it is not.
        """
        disk = self._node.disk
        try:
            disk.wait(disk.ticket, timeout_s=_SYNC_TIMEOUT_S)
        except StorageError as error:
            raise Unavailable(
                problem=str(error), maybe_applied=False
            ) from error

    def _follow(self, envelope: Envelope, leader_address: str) -> bool:
        """Return whether the sender leads in the current term."""
        node = self._node
        node.check_envelope(envelope)
        if envelope.term < node.state.hard.term:
            return False
        is_new = envelope.term > node.state.hard.term
        if is_new or node.state.role is not Role.FOLLOWER:
            node.become_follower(envelope.term)
        node.state.leader_address = leader_address
        node.state.leader_contact_s = node.now_s()
        node.postpone_election()
        return True

    def _append(self, request: AppendRequest) -> AppendReply:
        state = self._node.state
        reply = AppendReply(term=state.hard.term, accepted=False)
        if state.log.term_at(request.prev_index) != request.prev_term:
            # What is committed here is present at each leader.
            reply.match_index = state.commit_index
            if request.prev_index > state.log.last_index:
                reply.match_index = state.log.last_index
            return reply
        self._append_missing(request.entries)
        reply.accepted = True
        reply.match_index = request.prev_index + len(request.entries)
        committed = min(request.commit_index, reply.match_index)
        if committed > state.commit_index:
            state.commit_index = committed
            self._node.lock.notify_all()
        return reply

    def _append_missing(self, received: Sequence[RaftEntry]) -> None:
        state = self._node.state
        entries = [entry_from_wire(entry) for entry in received]
        missing = _without_known(state.log, entries)
        if not missing:
            return
        first = missing[0].index
        if first <= state.commit_index:
            raise Unavailable(
                problem=f'entry {first} would replace a committed one',
                maybe_applied=False,
            )
        state.durable_index = min(state.durable_index, first - 1)
        state.log.append(missing)
        self._node.disk.submit_entries(missing)

    def _keep_chunk(self, request: SnapshotRequest) -> bytearray:
        leader_id = request.envelope.from_id
        incoming = self._incoming
        is_same = incoming.leader_id == leader_id
        is_same = is_same and incoming.index == request.last_index
        if not is_same or request.offset_bytes == 0:
            incoming = _Incoming(leader_id, request.last_index, bytearray())
            self._incoming = incoming
        if request.offset_bytes == len(incoming.content):
            incoming.content.extend(request.chunk)
        return incoming.content

    def _install_complete(
        self, request: SnapshotRequest, snapshot: bytes
    ) -> None:
        node = self._node
        info = SnapshotInfo(
            request.last_index,
            request.last_term,
            members_from_wire(request.members),
        )
        # The view is replaced without the lock: decoding may take long, and
        # a snapshot holds committed entries only.
        self._install(snapshot)
        with node.lock:
            self._incoming = _Incoming('', 0, bytearray())
            if info.index <= node.state.commit_index:
                return
            self._replace_log(info, snapshot)
            node.postpone_election()
            node.lock.notify_all()

    def _replace_log(self, info: SnapshotInfo, snapshot: bytes) -> None:
        node = self._node
        state = node.state
        storage = node.storage
        node.disk.submit(lambda: storage.save_snapshot(info, snapshot))
        if state.log.term_at(info.index) == info.term:
            state.log.compact(info, keep=0)
        else:
            state.log = EntryLog(info)
            state.durable_index = info.index
            node.disk.submit(storage.discard_log)
        state.commit_index = info.index
        state.applied_index = max(state.applied_index, info.index)


def _without_known(
    log: EntryLog, entries: Sequence[LogEntry]
) -> Sequence[LogEntry]:
    for position, entry in enumerate(entries):
        if log.term_at(entry.index) != entry.term:
            return entries[position:]
    return ()
