"""Applies committed entries of the log to the control view of this instance."""

import logging

from ..core.errors import StorageError
from ..core.metrics import EVENTS
from .commit_checkpoint import CommitCheckpoint
from .raft import RaftNode
from .records import LogEntry
from .snapshots import Snapshots
from .view import ControlView
from .view_entries import view_entry

_LOG = logging.getLogger(__name__)
_RETRY_INTERVAL_S = 1.0


class Applying:
    """Applies each committed entry once and in order.

    While an entry cannot be applied, the member takes no part in the group: if
    it skipped the entry, or answered without it, it would show another state
    than the others.

    Parameters
    ----------
    node : RaftNode
        This member.
    view : ControlView
        Copy of the control state on this instance.
    """

    def __init__(self, node: RaftNode, view: ControlView) -> None:
        self._node = node
        self._view = view
        self._snapshots = Snapshots(node, view)
        self._commit_checkpoint = CommitCheckpoint(node)
        self._has_failed = False

    def run(self) -> None:
        """Apply entries until the instance stops."""
        node = self._node
        while not node.kernel.stopping.is_set():
            entries = self._committed_entries()
            if not entries or not self._apply(entries):
                continue
            with node.lock:
                applied = max(node.state.applied_index, entries[-1].index)
                node.state.applied_index = applied
                node.lock.notify_all()
            self._commit_checkpoint.update()
            try:
                self._snapshots.take_if_due()
            except StorageError as error:
                _LOG.warning(
                    'cannot take a snapshot of the control state: %s', error
                )

    def _committed_entries(self) -> list[LogEntry]:
        node = self._node
        state = node.state
        with node.lock:
            node.lock.wait_for(
                lambda: (
                    node.kernel.stopping.is_set()
                    or state.commit_index > state.applied_index
                )
            )
            return state.log.batch(state.applied_index + 1, state.commit_index)

    def _apply(self, entries: list[LogEntry]) -> bool:
        """Apply entries; return False, after a pause, if that fails."""
        try:
            self._view.apply([view_entry(entry) for entry in entries])
        except Exception as error:
            self._note_failure(error)
            self._node.kernel.wait_while_running(_RETRY_INTERVAL_S)
            return False
        if self._has_failed:
            self._has_failed = False
            _LOG.warning('entries of the control log are applied again')
            self._node.clear_apply_failure()
        return True

    def _note_failure(self, error: Exception) -> None:
        revision = self._view.revision + 1
        EVENTS.labels('control', 'apply_failed').inc()
        if not self._has_failed:
            _LOG.error(
                'cannot apply entry %d of the control log',
                revision,
                exc_info=error,
            )
        self._has_failed = True
        failure = StorageError(
            f'cannot apply entry {revision} of the control log: {error!r}',
            remedy='install a version that applies it; the log is kept',
        )
        self._node.mark_apply_failed(failure)
