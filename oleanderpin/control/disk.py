"""Thread that writes a member's files and syncs entries in batches."""

import logging
import threading
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from ..core.errors import StorageError
from ..core.metrics import EVENTS
from .records import LogEntry
from .storage import LogStorage, StoredState

_LOG = logging.getLogger(__name__)
_RETRY_INTERVAL_S = 0.5
# Waiters give up after seconds, in which the disk fails a few times at most.
_MAX_REMEMBERED_FAILURES = 1000

Action = Callable[[], None]


class DiskListener(Protocol):
    """Notified by the writer thread of durable entries and failures."""

    def mark_durable(self, entry: LogEntry) -> None:
        """Record that ``entry`` and all before it are synced."""
        ...

    def mark_failed(self, error: StorageError) -> None:
        """Record that nothing is synced until ``restore`` is called."""
        ...

    def restore(
        self, contents: StoredState, resume: Callable[[], None]
    ) -> None:
        """Continue from what is on the disk.

        ``resume`` makes the writer accept writes again. It has to be called
        while no other thread can submit a write that is based on the state
        before.
        """
        ...


@dataclass(slots=True)
class _Batch:
    """Entries to append, or another action on the storage."""

    entries: list[LogEntry]
    action: Action | None
    ticket: int


@dataclass(frozen=True, slots=True)
class _LostWrites:
    """Writes that were submitted before a failure and not performed."""

    after_ticket: int
    last_ticket: int
    failure: StorageError


class DiskWriter:
    """Performs writes in the order in which they are submitted.

    After a failure, all writes that are not performed yet are lost: the
    operating system may drop the pages of a failed fsync, so that a later
    successful fsync does not prove that they were written. Once the disk takes
    writes again, all files are written anew and the listener continues from
    what they hold, as after a restart.
    """

    def __init__(self, storage: LogStorage, listener: DiskListener) -> None:
        self._storage = storage
        self._listener = listener
        self._condition = threading.Condition()
        self._pending: list[_Batch] = []
        self._failure: StorageError | None = None
        self._submitted_ticket = 0
        self._completed_ticket = 0
        self._recovery_count = 0
        self._lost: deque[_LostWrites] = deque(maxlen=_MAX_REMEMBERED_FAILURES)
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

    @property
    def recovery_count(self) -> int:
        """Number of recoveries from failures, each of which lost writes."""
        with self._condition:
            return self._recovery_count

    def submit_entries(self, entries: Sequence[LogEntry]) -> None:
        """Queue entries for appending; those queued together share one sync."""
        with self._condition:
            self._submitted_ticket += 1
            if self._failure is not None:
                return
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
            if self._failure is not None:
                return
            self._pending.append(_Batch([], action, self._submitted_ticket))
            self._condition.notify_all()

    def wait(self, ticket: int, *, timeout_s: float) -> None:
        """Wait until the write with this ticket is durable.

        Raises
        ------
        StorageError
            If it is not durable within ``timeout_s`` or the disk failed.
        """
        if not self.is_durable_within(ticket, timeout_s=timeout_s):
            raise StorageError(
                f'the disk did not sync within {timeout_s} s',
                remedy='check the disk of this instance',
            )

    def is_durable_within(self, ticket: int, *, timeout_s: float) -> bool:
        """Return whether a write is durable after ``timeout_s`` at most.

        Raises
        ------
        StorageError
            If the disk failed and the write is lost.
        """
        with self._condition:
            self._condition.wait_for(
                lambda: (
                    self._failure_of(ticket) is not None
                    or self._completed_ticket >= ticket
                ),
                timeout_s,
            )
            failure = self._failure_of(ticket)
            if failure is not None:
                raise failure
            return self._completed_ticket >= ticket

    def _failure_of(self, ticket: int) -> StorageError | None:
        """Return why a write is not performed, also after a recovery."""
        if self._failure is not None:
            return self._failure
        for lost in self._lost:
            if lost.after_ticket < ticket <= lost.last_ticket:
                return lost.failure
        return None

    def _run(self) -> None:
        while True:
            batches = self._take_pending()
            if not batches:
                return
            try:
                for batch in batches:
                    self._write(batch)
            except Exception as error:
                # Whatever the reason is, later writes must not be confirmed.
                self._fail(error)
                if not self._recover():
                    return

    def _recover(self) -> bool:
        """Try to read and write all files anew; return False if stopping."""
        while self._wait_for_retry():
            try:
                contents = self._storage.reopen()
            except Exception as error:
                EVENTS.labels('control', 'disk_retry_failed').inc()
                self._note_failure(error)
                continue
            self._listener.restore(contents, self._resume)
            return True
        return False

    def _wait_for_retry(self) -> bool:
        with self._condition:
            self._condition.wait_for(
                lambda: self._is_stopping, _RETRY_INTERVAL_S
            )
            return not self._is_stopping

    def _resume(self) -> None:
        with self._condition:
            if self._failure is not None:
                self._lost.append(
                    _LostWrites(
                        self._completed_ticket,
                        self._submitted_ticket,
                        self._failure,
                    )
                )
            self._recovery_count += 1
            # State that is read from here on depends on no lost write.
            self._submitted_ticket += 1
            self._completed_ticket = self._submitted_ticket
            self._failure = None
            self._condition.notify_all()
        EVENTS.labels('control', 'disk_recovered').inc()
        _LOG.warning('the disk takes writes again, all files are written anew')

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
            'the disk failed, taking no part in the group until it takes '
            'writes again: %s',
            error,
        )
        failure = self._note_failure(error)
        self._listener.mark_failed(failure)

    def _note_failure(self, error: Exception) -> StorageError:
        failure = StorageError(
            f'the disk failed: {error}',
            remedy='repair or empty the disk; the instance retries by itself',
        )
        with self._condition:
            self._failure = failure
            self._pending = []
            self._condition.notify_all()
        return failure
