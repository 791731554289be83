"""Thread that writes a member's files and syncs entries in batches."""

import logging
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from ..core.errors import StorageError
from ..core.metrics import EVENTS
from .records import LogEntry
from .storage import LogStorage

_LOG = logging.getLogger(__name__)

Action = Callable[[], None]


class DiskListener(Protocol):
    """Notified by the writer thread of durable entries and failures."""

    def mark_durable(self, entry: LogEntry) -> None:
        """Record that ``entry`` and all before it are synced."""
        ...

    def mark_failed(self, error: StorageError) -> None:
        """Record that no further entries will be synced."""
        ...


@dataclass(slots=True)
class _Batch:
    """Entries to append, or another action on the storage."""

    entries: list[LogEntry]
    action: Action | None
    ticket: int


class DiskWriter:
    """Performs writes in the order in which they are submitted.

    After the first failure nothing more is written or acknowledged: the
    operating system may drop the pages of a failed fsync, so that a later
    successful fsync does not prove that they were written.
    """

    def __init__(self, storage: LogStorage, listener: DiskListener) -> None:
        self._storage = storage
        self._listener = listener
        self._condition = threading.Condition()
        self._pending: list[_Batch] = []
        self._failure: StorageError | None = None
        self._submitted_ticket = 0
        self._completed_ticket = 0
        self._is_stopping = False
        self._thread = threading.Thread(
            target=self._run, name='log-disk', daemon=True
        )

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def stop(self) -> None:
        """Finish submitted writes and close the files."""
        with self._condition:
            self._is_stopping = True
            self._condition.notify_all()
        if self._thread.is_alive():
            self._thread.join()
        self._storage.close()

    @property
    def ticket(self) -> int:
        """Ticket of the last submitted write."""
        with self._condition:
            return self._submitted_ticket

    def submit_entries(self, entries: Sequence[LogEntry]) -> None:
        """Queue entries for appending; those queued together share one sync."""
        with self._condition:
            self._submitted_ticket += 1
            if self._pending and self._pending[-1].action is None:
                self._pending[-1].entries.extend(entries)
                self._pending[-1].ticket = self._submitted_ticket
            else:
                batch = _Batch(list(entries), None, self._submitted_ticket)
                self._pending.append(batch)
            self._condition.notify_all()

    def submit(self, action: Action) -> None:
        """Queue an action on the storage behind all earlier writes."""
        with self._condition:
            self._submitted_ticket += 1
            self._pending.append(_Batch([], action, self._submitted_ticket))
            self._condition.notify_all()

    def wait(self, ticket: int, *, timeout_s: float) -> None:
        """Wait until the write with this ticket is durable.

        Raises
        ------
        StorageError
            If it is not durable within ``timeout_s`` or the disk failed.
        """
        with self._condition:
            self._condition.wait_for(
                lambda: (
                    self._failure is not None
                    or self._completed_ticket >= ticket
                ),
                timeout_s,
            )
            if self._failure is not None:
                raise self._failure
            if self._completed_ticket < ticket:
                raise StorageError(
                    f'the disk did not sync within {timeout_s} s',
                    remedy='check the disk of this instance',
                )

    def _run(self) -> None:
        while True:
            batches = self._take_pending()
            if not batches:
                return
            for batch in batches:
                try:
                    self._write(batch)
                except (OSError, StorageError) as error:
                    self._fail(error)
                    return

    def _take_pending(self) -> list[_Batch]:
        with self._condition:
            self._condition.wait_for(lambda: self._pending or self._is_stopping)
            batches = self._pending
            self._pending = []
            return batches

    def _write(self, batch: _Batch) -> None:
        if batch.action is None:
            self._storage.append(batch.entries)
            EVENTS.labels('control', 'synced').inc()
        else:
            batch.action()
        if batch.entries:
            self._listener.mark_durable(batch.entries[-1])
        with self._condition:
            self._completed_ticket = batch.ticket
            self._condition.notify_all()

    def _fail(self, error: Exception) -> None:
        EVENTS.labels('control', 'disk_failed').inc()
        _LOG.error(
            'the disk failed, no longer taking part in the group: %s', error
        )
        failure = StorageError(
            f'the disk failed: {error}',
            remedy='repair or empty the disk, then restart the instance',
        )
        with self._condition:
            self._failure = failure
            self._condition.notify_all()
        self._listener.mark_failed(failure)
