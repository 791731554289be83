"""Entries and snapshots that a member receives from the leader."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..core.errors import StorageError
from ..core.metrics import EVENTS
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
from .records import EntryKind, LogEntry, SnapshotInfo

_SYNC_TIMEOUT_S = 10.0
# A reply that waits no longer arrives well before the leader's lease ends.
_SYNC_SHARE_OF_HEARTBEAT = 0.5

InstallSnapshot = Callable[[bytes], bool]


@dataclass(slots=True)
class _PartialSnapshot:
    """Chunks of a snapshot received so far."""

    leader_id: str
    index: int
    content: bytearray


@dataclass(frozen=True, slots=True)
class _Write:
    """A write, and the recoveries of the disk before it."""

    ticket: int
    after_recoveries: int


class Receiver:
    """Stores what the leader sends; confirms only what is synced.

    Parameters
    ----------
    node : RaftNode
        This member.
    install : callable
        Called with each complete snapshot of the control state.
    """

    def __init__(self, node: RaftNode, install: InstallSnapshot) -> None:
        self._node = node
        self._install = install
        self._partial = _PartialSnapshot('', 0, bytearray())

    def append_entries(self, request: AppendRequest) -> AppendReply:
        """Append entries if the log contains the entry before them."""
        node = self._node
        with node.lock:
            if not self._accept_leader(
                request.envelope, request.leader_address
            ):
                return AppendReply(
                    term=node.state.hard_state.term,
                    accepted=False,
                    match_index=0,
                )
            reply = self._append(request)
            write = _Write(node.disk.ticket, node.disk.recovery_count)
        return self._limit_to_synced(reply, write)

    def install_snapshot(self, request: SnapshotRequest) -> SnapshotReply:
        """Store a chunk; install the snapshot once it is complete."""
        node = self._node
        with node.lock:
            is_current = self._accept_leader(
                request.envelope, request.leader_address
            )
            reply = SnapshotReply(
                term=node.state.hard_state.term, received_bytes=0
            )
            if not is_current:
                return reply
            content = self._add_chunk(request)
            reply.received_bytes = len(content)
            ticket = node.disk.ticket
        is_complete = request.is_last and reply.received_bytes == (
            request.offset_bytes + len(request.chunk)
        )
        if is_complete:
            ticket = self._install_complete(request, bytes(content))
        self.wait_until_synced(ticket)
        return reply

    def wait_until_synced(self, ticket: int) -> None:
        """Wait until a write and all before it are synced.

        Parameters
        ----------
        ticket : int
            The last write, read under the lock under which the state was
            changed: a later one may follow a failure in which it was lost.

        Raises
        ------
        Unavailable
            If the disk failed or did not sync in time.
        """
        disk = self._node.disk
        try:
            disk.wait(ticket, timeout_s=_SYNC_TIMEOUT_S)
        except StorageError as error:
            raise _unavailable(error) from error

    def _limit_to_synced(
        self, reply: AppendReply, write: _Write
    ) -> AppendReply:
        """Return the reply with the entries that are synced soon.

        Fault: syncs take longer than the election timeout. The leader has to
        hear from this member meanwhile, or it steps down after each entry. Its
        lease depends on no write here: the vote of this member is synced, and
        after a restart it grants none for an election timeout.
        """
        node = self._node
        try:
            is_synced = node.disk.is_durable_within(
                write.ticket,
                timeout_s=node.settings.heartbeat_interval_s
                * _SYNC_SHARE_OF_HEARTBEAT,
            )
        except StorageError as error:
            raise _unavailable(error) from error
        if is_synced:
            return reply
        EVENTS.labels('control', 'slow_sync').inc()
        with node.lock:
            # Otherwise the log may hold other entries at these indexes.
            is_same_log = (
                node.state.hard_state.term == reply.term
                and node.disk.recovery_count == write.after_recoveries
            )
            synced_index = node.state.durable_index if is_same_log else 0
            reply.match_index = min(reply.match_index, synced_index)
        return reply

    def _accept_leader(self, envelope: Envelope, leader_address: str) -> bool:
        """Follow the sender if its term is current; return whether it is."""
        node = self._node
        node.check_envelope(envelope)
        if envelope.term < node.state.hard_state.term:
            return False
        is_new = envelope.term > node.state.hard_state.term
        if is_new or node.state.role is not Role.FOLLOWER:
            node.become_follower(envelope.term)
        node.state.leader_address = leader_address
        node.state.leader_contact_s = node.now_s()
        node.postpone_election()
        return True

    def _append(self, request: AppendRequest) -> AppendReply:
        state = self._node.state
        reply = AppendReply(term=state.hard_state.term, accepted=False)
        if state.log.term_at(request.prev_index) != request.prev_term:
            # Each leader holds the entries that are committed here.
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
        missing = _missing_entries(state.log, entries)
        if not missing:
            return
        first = missing[0].index
        if first <= state.commit_index:
            raise Unavailable(
                problem=f'entry {first} would replace a committed entry',
                maybe_applied=False,
            )
        state.durable_index = min(state.durable_index, first - 1)
        state.log.append(missing)
        self._node.disk.submit_entries(missing)

    def _add_chunk(self, request: SnapshotRequest) -> bytearray:
        leader_id = request.envelope.from_id
        partial = self._partial
        is_same = partial.leader_id == leader_id
        is_same = is_same and partial.index == request.last_index
        if not is_same or request.offset_bytes == 0:
            partial = _PartialSnapshot(
                leader_id, request.last_index, bytearray()
            )
            self._partial = partial
        if request.offset_bytes == len(partial.content):
            partial.content.extend(request.chunk)
        return partial.content

    def _install_complete(
        self, request: SnapshotRequest, snapshot: bytes
    ) -> int:
        """Install a snapshot and return the ticket of its write."""
        node = self._node
        info = SnapshotInfo(
            request.last_index,
            request.last_term,
            members_from_wire(request.members),
        )
        # The view is replaced without holding the lock: decoding may take
        # long, and a snapshot holds committed entries only.
        self._install(snapshot)
        with node.lock:
            self._partial = _PartialSnapshot('', 0, bytearray())
            if info.index > node.state.commit_index:
                self._require_no_failure()
                self._replace_log(info, snapshot)
                node.postpone_election()
                node.lock.notify_all()
            return node.disk.ticket

    def _require_no_failure(self) -> None:
        """Raise if the disk failed since the request was accepted."""
        failure = self._node.state.failure
        if failure is not None:
            raise Unavailable(problem=str(failure), maybe_applied=False)

    def _replace_log(self, info: SnapshotInfo, snapshot: bytes) -> None:
        node = self._node
        state = node.state
        storage = node.storage
        node.disk.submit(lambda: storage.save_snapshot(info, snapshot))
        if state.log.term_at(info.index) == info.term:
            state.log.compact(info, keep=0)
        else:
            state.log = EntryLog(info)
            state.durable_index = 0
            node.disk.submit(storage.discard_log)
        last_entry = LogEntry(info.index, info.term, EntryKind.CHANGE, b'')
        node.disk.submit(lambda: node.mark_durable(last_entry))
        state.commit_index = info.index
        state.applied_index = max(state.applied_index, info.index)


def _unavailable(error: StorageError) -> Unavailable:
    return Unavailable(problem=str(error), maybe_applied=False)


def _missing_entries(
    log: EntryLog, entries: Sequence[LogEntry]
) -> Sequence[LogEntry]:
    for position, entry in enumerate(entries):
        if log.term_at(entry.index) != entry.term:
            return entries[position:]
    return ()
