"""The files of the log: torn tails, bad checksums and replaced entries."""

from pathlib import Path

import pytest

from ...control.records import HardState, LogEntry, Member, SnapshotInfo
from ...control.storage import EntryPosition, LogStorage
from ...core.errors import StorageError


def entry(index: int, *, term: int = 1) -> LogEntry:
    return LogEntry(index, term, 0, f'change {index}/{term}'.encode())


def write(directory: Path, *frames: list[LogEntry]) -> Path:
    """Write frames and return the path of the segment."""
    storage = LogStorage(directory)
    storage.load()
    for frame in frames:
        storage.append(frame)
    storage.close()
    return max(directory.glob('segment-*'))


def reload(directory: Path) -> list[LogEntry]:
    storage = LogStorage(directory)
    try:
        return storage.load().entries
    finally:
        storage.close()


@pytest.mark.parametrize('lost_bytes', [1, 20, 50])
def test_torn_tail_is_cut_off(tmp_path: Path, lost_bytes: int) -> None:
    """Guards against a crash during a write that blocks the next start."""
    segment = write(tmp_path, [entry(1), entry(2)], [entry(3), entry(4)])
    torn = segment.read_bytes()[:-lost_bytes]
    segment.write_bytes(torn)
    assert reload(tmp_path) == [entry(1), entry(2)]
    # Entries appended afterwards follow the truncated part.
    write(tmp_path, [entry(3, term=2)])
    assert reload(tmp_path)[2:] == [entry(3, term=2)]


def test_zeros_at_the_end_are_cut_off(tmp_path: Path) -> None:
    """Guards against space that was allocated but not written."""
    segment = write(tmp_path, [entry(1)])
    segment.write_bytes(segment.read_bytes() + bytes(4096))
    assert reload(tmp_path) == [entry(1)]


def test_bad_checksum_before_synced_entries_is_refused(
    tmp_path: Path,
) -> None:
    """Guards against dropping acknowledged entries as if they were torn."""
    segment = write(tmp_path, [entry(1)], [entry(2)], [entry(3)])
    damaged = bytearray(segment.read_bytes())
    position = damaged.index(b'change 2/1')
    damaged[position] ^= 1
    segment.write_bytes(damaged)
    with pytest.raises(StorageError, match='bad checksum'):
        reload(tmp_path)


def test_damaged_length_before_synced_entries_is_refused(
    tmp_path: Path,
) -> None:
    """Guards against a bad length that seems to reach beyond the end."""
    segment = write(tmp_path, [entry(1)], [entry(2)])
    damaged = bytearray(segment.read_bytes())
    damaged[4] ^= 0x40
    segment.write_bytes(damaged)
    with pytest.raises(StorageError, match='bad checksum'):
        reload(tmp_path)


def test_later_entries_replace_earlier_ones(tmp_path: Path) -> None:
    """Guards against a conflicting suffix that returns after a restart."""
    write(
        tmp_path,
        [entry(1), entry(2), entry(3)],
        [entry(2, term=2)],
    )
    assert reload(tmp_path) == [entry(1), entry(2, term=2)]


def test_log_that_conflicts_with_the_snapshot_is_dropped(
    tmp_path: Path,
) -> None:
    """Guards against a crash between a received snapshot and its log."""
    write(tmp_path, [entry(1), entry(2), entry(3)])
    storage = LogStorage(tmp_path)
    storage.load()
    member = Member('a1', 'north-1', '127.0.0.1:1', is_voter=True)
    info = SnapshotInfo(2, 5, (member,))
    storage.save_snapshot(info, b'state')
    storage.close()
    storage = LogStorage(tmp_path)
    contents = storage.load()
    storage.close()
    assert contents.info == info
    assert contents.snapshot == b'state'
    assert not contents.entries
    assert not list(tmp_path.glob('segment-*'))


def test_compaction_keeps_what_follows_the_snapshot(tmp_path: Path) -> None:
    """Guards against compaction that deletes entries still needed."""
    storage = LogStorage(tmp_path)
    storage.load()
    for index in range(1, 21):
        storage.append([entry(index)])
        if index == 10:
            storage.compact(0)
    storage.save_snapshot(SnapshotInfo(15, 1), b'state')
    storage.compact(15)
    storage.append([entry(21)])
    storage.close()
    assert [each.index for each in reload(tmp_path)] == list(range(11, 22))


def test_vote_and_identity_survive(tmp_path: Path) -> None:
    """Guards against a second vote in the same term after a restart."""
    storage = LogStorage(tmp_path)
    identity = storage.load().identity
    storage.save_hard_state(HardState(7, 'b2'))
    storage.close()
    storage = LogStorage(tmp_path)
    contents = storage.load()
    storage.close()
    assert contents.hard_state == HardState(7, 'b2')
    assert contents.identity == identity


def test_folder_in_use_is_refused(tmp_path: Path) -> None:
    """Guards against two processes that write the same files."""
    storage = LogStorage(tmp_path)
    storage.load()
    with pytest.raises(StorageError, match='in use'):
        LogStorage(tmp_path).load()
    storage.close()


def commit_index(directory: Path, *, recorded: EntryPosition) -> int:
    """Return the commit index that the next start loads."""
    storage = LogStorage(directory)
    storage.load()
    storage.save_commit(recorded)
    storage.close()
    again = LogStorage(directory)
    try:
        return again.load().commit_index
    finally:
        again.close()


def test_committed_entry_is_found_again(tmp_path: Path) -> None:
    """Guards against a start that has to wait for the next leader."""
    write(tmp_path, [entry(1), entry(2)], [entry(3)])
    assert commit_index(tmp_path, recorded=EntryPosition(2, 1)) == 2


@pytest.mark.parametrize(
    'recorded', [EntryPosition(4, 1), EntryPosition(3, 2)], ids=['lost', 'old']
)
def test_commit_position_missing_from_the_log_is_ignored(
    tmp_path: Path, recorded: EntryPosition
) -> None:
    """Guards against applying entries that were never committed."""
    write(tmp_path, [entry(1), entry(2)], [entry(3)])
    assert commit_index(tmp_path, recorded=recorded) == 0


@pytest.mark.parametrize('content', [b'', b'torn', bytes(64)])
def test_damaged_commit_position_is_ignored(
    tmp_path: Path, content: bytes
) -> None:
    """Guards against a damaged checkpoint that blocks the next start."""
    write(tmp_path, [entry(1), entry(2)])
    assert commit_index(tmp_path, recorded=EntryPosition(1, 1)) == 1
    (tmp_path / 'commit-latest').write_bytes(content)
    storage = LogStorage(tmp_path)
    contents = storage.load()
    storage.close()
    assert contents.commit_index == 1
    assert contents.entries == [entry(1), entry(2)]


def test_later_commit_position_is_used(tmp_path: Path) -> None:
    """Guards against a kill after which the last changes are missing."""
    write(tmp_path, [entry(1), entry(2)])
    storage = LogStorage(tmp_path)
    storage.load()
    storage.save_commit_unsynced(EntryPosition(2, 1))
    storage.close()
    assert commit_index(tmp_path, recorded=EntryPosition(1, 1)) == 2
