"""The entries of the log that a member holds in memory."""

from collections.abc import Sequence

from .records import (
    EntryKind,
    LogEntry,
    Members,
    SnapshotInfo,
    decode_members,
)

_MAX_BATCH_ENTRIES = 512
_MAX_BATCH_BYTES = 4 * 1024 * 1024


class EntryLog:
    """Entries since the last compaction; not thread-safe.

    Parameters
    ----------
    info : SnapshotInfo
        Position of the newest snapshot.
    entries : sequence of LogEntry
        Consecutive entries; they may begin before the snapshot.
    """

    def __init__(
        self, info: SnapshotInfo, entries: Sequence[LogEntry] = ()
    ) -> None:
        self.snapshot_info = info
        self._entries = list(entries)
        self._members: list[tuple[int, Members]] = []
        self._rebuild_members()

    @property
    def first_index(self) -> int:
        """Index of the first entry that is held or would be appended."""
        if self._entries:
            return self._entries[0].index
        return self.snapshot_info.index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        if self._entries:
            return self._entries[-1].index
        return self.snapshot_info.index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self.snapshot_info.term

    @property
    def members(self) -> Members:
        """Members by the last entry that sets them, committed or not."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """Index of the last entry that sets the members."""
        return self._members[-1][0]

    def members_at(self, index: int) -> Members:
        """Return the members as of ``index``."""
        found = self._members[0][1]
        for entry_index, members in self._members:
            if entry_index <= index:
                found = members
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if it is not known."""
        position = index - self.first_index
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        if index == self.snapshot_info.index:
            return self.snapshot_info.term
        return None

    def batch(self, first: int, last: int) -> list[LogEntry]:
        """Return entries from ``first`` up to ``last``, or fewer.

        The number of entries and their size in bytes are limited. The result
        is empty only if there are no entries.
        """
        position = max(0, first - self.first_index)
        end = min(position + _MAX_BATCH_ENTRIES, last + 1 - self.first_index)
        chosen: list[LogEntry] = []
        size_bytes = 0
        for entry in self._entries[position : max(position, end)]:
            size_bytes += len(entry.payload)
            if chosen and size_bytes > _MAX_BATCH_BYTES:
                break
            chosen.append(entry)
        return chosen

    def size_bytes_after(self, index: int) -> int:
        """Return the size in bytes of the entries after ``index``."""
        position = max(0, index + 1 - self.first_index)
        return sum(len(entry.payload) for entry in self._entries[position:])

    def count_up_to(
        self, index: int, *, max_entries: int, max_bytes: int
    ) -> int:
        """Return how many entries up to ``index`` are within both limits."""
        end = max(0, index + 1 - self.first_index)
        size_bytes = 0
        for count, entry in enumerate(reversed(self._entries[:end])):
            size_bytes += len(entry.payload)
            if count >= max_entries or size_bytes > max_bytes:
                return count
        return min(end, len(self._entries))

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Add entries; the first one may replace a conflicting suffix."""
        kept = entries[0].index - self.first_index
        is_replacing = kept < len(self._entries)
        if is_replacing:
            del self._entries[kept:]
        self._entries.extend(entries)
        if is_replacing:
            self._rebuild_members()
        else:
            self._add_members(entries)

    def compact(self, info: SnapshotInfo, *, keep: int) -> None:
        """Record a newer snapshot and drop entries far before it.

        Parameters
        ----------
        info : SnapshotInfo
            The snapshot.
        keep : int
            Number of entries before it to keep for slow followers.
        """
        dropped = info.index - keep + 1 - self.first_index
        self.snapshot_info = info
        if dropped > 0:
            del self._entries[:dropped]
        self._rebuild_members()

    def _rebuild_members(self) -> None:
        self._members = [(self.snapshot_info.index, self.snapshot_info.members)]
        self._add_members(self._entries)

    def _add_members(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            if entry.kind == EntryKind.MEMBERS:
                members = decode_members(entry.payload)
                self._members.append((entry.index, members))
