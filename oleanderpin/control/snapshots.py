"""Snapshots of the control state, so that the log can be compacted."""

from dataclasses import dataclass

from ..core.metrics import EVENTS
from .raft import RaftNode
from .records import SnapshotInfo
from .view import ControlView

_CAPTURE_ATTEMPTS = 5
# Entries of this size are written before the next snapshot, or as much as the
# last snapshot, so that snapshots at most double what is written.
_MIN_INTERVAL_BYTES = 8 * 1024 * 1024
# Size of the entries before a snapshot that are kept for slow followers.
_MAX_KEPT_BYTES = 4 * 1024 * 1024
_COMMIT_TIMEOUT_S = 2.0
_SYNC_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class _Capture:
    revision: int
    content: bytes


class Snapshots:
    """Takes a snapshot after ``snapshot_every_entries`` entries, or some MB.

    Load pattern: hundreds of changes that each carry the entire configuration.
    """

    def __init__(self, node: RaftNode, view: ControlView) -> None:
        self._node = node
        self._view = view
        self._last_size_bytes = 0

    def take_if_due(self) -> None:
        """Take a snapshot when enough entries were applied since the last.

        Raises
        ------
        StorageError
            If it cannot be written.
        """
        if not self._is_due():
            return
        capture = self._capture()
        info = self._committed_position(capture) if capture else None
        if capture is not None and info is not None:
            self._write(info, capture.content)
            self._last_size_bytes = len(capture.content)

    def _is_due(self) -> bool:
        node = self._node
        limit_bytes = max(_MIN_INTERVAL_BYTES, self._last_size_bytes)
        with node.lock:
            log = node.state.log
            covered = log.snapshot_info.index
            applied = node.state.applied_index
            if applied - covered >= node.settings.snapshot_every_entries:
                return True
            return (
                applied > covered
                and log.size_bytes_after(covered) >= limit_bytes
            )

    def _capture(self) -> _Capture | None:
        for _ in range(_CAPTURE_ATTEMPTS):
            revision = self._view.revision
            content = self._view.snapshot()
            if self._view.revision == revision:
                return _Capture(revision, content)
        return None

    def _committed_position(self, capture: _Capture) -> SnapshotInfo | None:
        """Return the position of the capture, None unless it is committed.

        The view may be ahead of this member's log: a follower also receives
        committed entries through the distribution.
        """
        node = self._node
        with node.lock:
            node.lock.wait_for(
                lambda: node.state.commit_index >= capture.revision,
                _COMMIT_TIMEOUT_S,
            )
            log = node.state.log
            term = log.term_at(capture.revision)
            is_committed = node.state.commit_index >= capture.revision
            if term is None or not is_committed:
                return None
            members = log.members_at(capture.revision)
            return SnapshotInfo(capture.revision, term, members)

    def _write(self, info: SnapshotInfo, content: bytes) -> None:
        node = self._node
        storage = node.storage
        with node.lock:
            keep = node.state.log.count_up_to(
                info.index,
                max_entries=node.settings.snapshot_every_entries,
                max_bytes=_MAX_KEPT_BYTES,
            )

        def save_and_compact() -> None:
            # One write: entries are kept if the snapshot is lost in a failure.
            storage.save_snapshot(info, content)
            storage.compact(info.index - keep)

        node.disk.submit(save_and_compact)
        node.disk.wait(node.disk.ticket, timeout_s=_SYNC_TIMEOUT_S)
        with node.lock:
            if info.index > node.state.log.snapshot_info.index:
                node.state.log.compact(info, keep=keep)
        EVENTS.labels('control', 'snapshot_taken').inc()
