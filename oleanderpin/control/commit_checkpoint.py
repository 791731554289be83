"""Stores on disk which entries are committed, for the next start.

Fault: all processes are killed at once, or all instances lose power. Without
the checkpoint, members learn only from the next leader which entries are
committed, so that gateways have no configuration until the election is over.
"""

import logging

from ..core.metrics import EVENTS
from .raft import RaftNode
from .storage import EntryPosition

# Entries of the log wait in the queue behind the two syncs of a checkpoint.
_SYNC_INTERVAL_S = 1.0

_LOG = logging.getLogger(__name__)


class CommitCheckpoint:
    """Keeps the checkpoint close to the applied entries.

    At most one write is queued at a time.

    Parameters
    ----------
    node : RaftNode
        This member.
    """

    def __init__(self, node: RaftNode) -> None:
        self._node = node
        # Recoveries of the disk before the queued write, which a failure loses;
        # None if no write is queued.
        self._queued_after_recoveries: int | None = None
        self._has_failed = False
        self._synced_s = float('-inf')

    def update(self) -> None:
        """Queue a write of the position of the last applied entry."""
        disk = self._node.disk
        recoveries = disk.recovery_count
        if self._queued_after_recoveries != recoveries:
            self._queued_after_recoveries = recoveries
            disk.submit(self._write)

    def _write(self) -> None:
        # Entries that are applied from here on need another write.
        self._queued_after_recoveries = None
        node = self._node
        with node.lock:
            index = node.state.applied_index
            term = node.state.log.term_at(index)
        if term is None:
            return
        now_s = node.now_s()
        is_due = now_s - self._synced_s >= _SYNC_INTERVAL_S
        try:
            if is_due:
                node.storage.save_commit(EntryPosition(index, term))
                self._synced_s = now_s
            else:
                node.storage.save_commit_unsynced(EntryPosition(index, term))
        except OSError as error:
            # Correctness does not depend on the checkpoint; the log itself may
            # still be writable.
            EVENTS.labels('control', 'commit_note_failed').inc()
            if not self._has_failed:
                _LOG.warning(
                    'cannot store which entries are committed: %s', error
                )
            self._has_failed = True
            return
        self._has_failed = False
