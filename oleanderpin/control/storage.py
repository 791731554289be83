"""Durable state of a member of the log, in files that one thread writes.

The log consists of segment files that are only appended to. Entries that are
written together form one frame, and the next frame is written only after the
previous one is synced; hence only the last frame can be torn by a crash. An
entry whose index is already present replaces that entry and all later ones.

After a failed write the files are read and written anew. A segment that was
written so holds all entries, and earlier segments, which may be damaged, are
ignored from then on.
"""

import fcntl
import json
import logging
import os
import secrets
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import BinaryIO

from ..core.errors import StorageAccessError, StorageError
from .records import (
    HardState,
    Identity,
    LogEntry,
    Member,
    SnapshotInfo,
    decode_entries,
    encode_entries,
    encode_frame,
    scan_frames,
)

_LOG = logging.getLogger(__name__)
_SYNCED_COMMIT_FILE = 'commit'
_LATEST_COMMIT_FILE = 'commit-latest'
_COMPLETE_SUFFIX = '-complete'
_PROBE_BYTES = 4096
_SEGMENT_BYTES = 1024 * 1024
_MEMBER_ID_BYTES = 8
_WIPE_REMEDY = (
    'empty the data directory, start the instance again and replace the '
    'member (docs/operators/members.md)'
)


@dataclass(slots=True)
class _Segment:
    path: Path
    last_index: int = 0


@dataclass(frozen=True, slots=True)
class EntryPosition:
    """Identifies an entry of the log."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class StoredSnapshot:
    """A snapshot and its position."""

    info: SnapshotInfo
    content: bytes


@dataclass(slots=True)
class StoredState:
    """State read from the disk at start-up."""

    identity: Identity
    hard_state: HardState = HardState()
    info: SnapshotInfo = SnapshotInfo()
    snapshot: bytes = b''
    entries: list[LogEntry] = field(default_factory=list)
    # Last entry that is known to be committed; 0 if there is none.
    commit_index: int = 0


class LogStorage:
    """Files of one member.

    Parameters
    ----------
    directory : Path
        Directory that only this log uses.
    """

    def __init__(self, directory: Path) -> None:
        self.sync: Callable[[int], None] = os.fsync
        self._directory = directory
        self._segments: list[_Segment] = []
        self._active: BinaryIO | None = None
        self._lock_file: BinaryIO | None = None
        self._next_segment_number = 1

    def load(self) -> StoredState:
        """Lock the directory, read all files and truncate a torn tail.

        Raises
        ------
        StorageAccessError
            If another process uses the directory or the disk refuses access.
        StorageError
            If its content is damaged.
        """
        try:
            self._lock_directory()
            return self._load()
        except OSError as error:
            raise StorageAccessError(
                f'{self._directory}: cannot be read: {error}',
                remedy='check the disk, or ' + _WIPE_REMEDY,
            ) from error

    def reopen(self) -> StoredState:
        """Read all files again after a failed write, and write them anew.

        Data whose sync failed may still be read, although it is not on the
        disk, and a later sync of the same file does not write it. Hence each
        file is replaced by a new one that is synced.

        Raises
        ------
        OSError
            If the disk still refuses writes.
        StorageError
            If the content is damaged.
        """
        self._close_failed_segment()
        self._probe()
        self._segments = []
        self._next_segment_number = 1
        contents = self._load()
        self.save_identity(contents.identity)
        self.save_hard_state(contents.hard_state)
        if contents.snapshot:
            self.save_snapshot(contents.info, contents.snapshot)
        self._replace_segments(contents.entries)
        return contents

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Write entries as one frame and sync it."""
        active = self._open_segment()
        active.write(encode_frame(encode_entries(entries)))
        active.flush()
        self.sync(active.fileno())
        segment = self._segments[-1]
        segment.last_index = max(segment.last_index, entries[-1].index)
        if active.tell() >= _SEGMENT_BYTES:
            self._close_segment()

    def save_identity(self, identity: Identity) -> None:
        """Replace the identity."""
        self._replace_file('identity', json.dumps(asdict(identity)).encode())

    def save_hard_state(self, hard_state: HardState) -> None:
        """Replace term and vote."""
        self._replace_file(
            'hard-state', json.dumps(asdict(hard_state)).encode()
        )

    def save_snapshot(self, info: SnapshotInfo, snapshot: bytes) -> None:
        """Replace the snapshot."""
        head = json.dumps(asdict(info)).encode()
        self._replace_file('snapshot', head, snapshot)

    def save_commit(self, entry: EntryPosition) -> None:
        """Store the last entry that is known to be committed, and sync it."""
        self._replace_file(
            _SYNCED_COMMIT_FILE, json.dumps(asdict(entry)).encode()
        )

    def save_commit_unsynced(self, entry: EntryPosition) -> None:
        """Store the last entry that is known to be committed, without a sync.

        After a power loss the file may be outdated or damaged, and is then not
        used.
        """
        temporary = self._directory / f'{_LATEST_COMMIT_FILE}.new'
        temporary.write_bytes(encode_frame(json.dumps(asdict(entry)).encode()))
        temporary.replace(self._directory / _LATEST_COMMIT_FILE)

    def read_snapshot(self) -> StoredSnapshot:
        """Return the newest snapshot; any thread may call this.

        Raises
        ------
        StorageError
            If there is none or it is damaged.
        """
        bodies = self._read_file('snapshot')
        if not bodies:
            raise StorageError('no snapshot yet', remedy='try again later')
        return StoredSnapshot(_snapshot_info(bodies[0]), bodies[1])

    def compact(self, index: int) -> None:
        """Delete the oldest segments that end at or before ``index``."""
        self._close_segment()
        while self._segments and self._segments[0].last_index <= index:
            self._segments.pop(0).path.unlink()
        self._sync_directory()

    def discard_log(self) -> None:
        """Delete all segments, the newest first."""
        self._close_segment()
        while self._segments:
            self._segments.pop().path.unlink()
        self._sync_directory()

    def close(self) -> None:
        """Close all files and release the directory."""
        self._close_segment()
        if self._lock_file is not None:
            self._lock_file.close()

    def _load(self) -> StoredState:
        contents = StoredState(self._load_identity())
        hard_state = self._read_file('hard-state')
        if hard_state:
            contents.hard_state = HardState(**json.loads(hard_state[0]))
        if (self._directory / 'snapshot').exists():
            stored = self.read_snapshot()
            contents.info = stored.info
            contents.snapshot = stored.content
        contents.entries = self._load_segments()
        self._sync_directory()
        if not _matches_snapshot(contents.info, contents.entries):
            contents.entries = []
            self.discard_log()
        contents.commit_index = self._load_commit_index(contents.entries)
        return contents

    def _load_commit_index(self, entries: Sequence[LogEntry]) -> int:
        """Return the highest stored commit position that the log contains.

        A log that contains a committed entry contains all before it as well.
        """
        held = {EntryPosition(each.index, each.term) for each in entries}
        positions = [
            self._read_commit_position(name)
            for name in (_SYNCED_COMMIT_FILE, _LATEST_COMMIT_FILE)
        ]
        return max(
            (
                each.index
                for each in positions
                if each is not None and each in held
            ),
            default=0,
        )

    def _read_commit_position(self, name: str) -> EntryPosition | None:
        try:
            bodies = self._read_file(name)
        except StorageError:
            _LOG.info('ignoring a damaged file with the last committed entry')
            return None
        return EntryPosition(**json.loads(bodies[0])) if bodies else None

    def _lock_directory(self) -> None:
        self._directory.mkdir(parents=True, exist_ok=True)
        self._lock_file = (self._directory / 'lock').open('ab')
        try:
            fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise StorageAccessError(
                f'{self._directory} is in use by another process',
                remedy='give each instance its own data_dir',
            ) from error

    def _load_identity(self) -> Identity:
        stored = self._read_file('identity')
        if stored:
            fields = json.loads(stored[0])
            members = tuple(Member(**each) for each in fields.pop('members'))
            return Identity(**fields, members=members)
        if any(self._directory.glob('segment-*')):
            raise StorageError(
                f'{self._directory} holds a log without an identity',
                remedy=_WIPE_REMEDY,
            )
        identity = Identity(secrets.token_hex(_MEMBER_ID_BYTES))
        self.save_identity(identity)
        return identity

    def _load_segments(self) -> list[LogEntry]:
        paths = sorted(self._directory.glob('segment-*'))
        complete = [each for each in paths if _is_complete(each)]
        if complete:
            first = paths.index(complete[-1])
            for outdated in paths[:first]:
                outdated.unlink()
            paths = paths[first:]
        entries: list[LogEntry] = []
        for path in paths:
            segment = _Segment(path)
            for entry in self._read_segment(path, is_last=path is paths[-1]):
                segment.last_index = max(segment.last_index, entry.index)
                _append_or_replace(entries, entry, path)
            self._segments.append(segment)
            self._next_segment_number = int(path.name.split('-')[1]) + 1
        return entries

    def _read_segment(self, path: Path, *, is_last: bool) -> list[LogEntry]:
        content = path.read_bytes()
        scan = scan_frames(content)
        if scan.valid_bytes < len(content):
            if not (is_last and scan.is_torn):
                raise StorageError(
                    f'{path}: bad checksum at byte {scan.valid_bytes}',
                    remedy=_WIPE_REMEDY,
                )
        if is_last:
            # Data written by a killed process may not be synced yet.
            with path.open('r+b') as segment_file:
                segment_file.truncate(scan.valid_bytes)
                self.sync(segment_file.fileno())
        return [entry for body in scan.bodies for entry in decode_entries(body)]

    def _open_segment(self) -> BinaryIO:
        if self._active is None:
            path = self._directory / f'segment-{self._next_segment_number:012d}'
            self._next_segment_number += 1
            self._active = path.open('xb')
            self._segments.append(_Segment(path))
            self._sync_directory()
        return self._active

    def _probe(self) -> None:
        """Write and sync a small file, which fails sooner than all files."""
        probe = self._directory / 'probe'
        probe.unlink(missing_ok=True)
        with probe.open('wb') as probe_file:
            probe_file.write(bytes(_PROBE_BYTES))
            probe_file.flush()
            self.sync(probe_file.fileno())
        probe.unlink()

    def _replace_segments(self, entries: Sequence[LogEntry]) -> None:
        """Replace all segments by a new one with these entries."""
        number = self._next_segment_number
        self._next_segment_number += 1
        name = f'segment-{number:012d}{_COMPLETE_SUFFIX}'
        frames = [encode_entries(entries)] if entries else []
        outdated = self._segments
        self._replace_file(name, *frames)
        last_index = entries[-1].index if entries else 0
        self._segments = [_Segment(self._directory / name, last_index)]
        for segment in outdated:
            segment.path.unlink()
        self._sync_directory()

    def _close_failed_segment(self) -> None:
        active = self._active
        self._active = None
        if active is None:
            return
        try:
            active.close()
        except OSError as error:
            # Only the rest of a frame that nobody relies on is lost.
            _LOG.info('closing a segment failed: %s', error)

    def _close_segment(self) -> None:
        if self._active is not None:
            self._active.close()
            self._active = None

    def _replace_file(self, name: str, *bodies: bytes) -> None:
        temporary = self._directory / f'{name}.new'
        # A file whose sync failed may not be written by a later one.
        temporary.unlink(missing_ok=True)
        with temporary.open('wb') as new_file:
            for body in bodies:
                new_file.write(encode_frame(body))
            new_file.flush()
            self.sync(new_file.fileno())
        temporary.replace(self._directory / name)
        self._sync_directory()

    def _read_file(self, name: str) -> tuple[bytes, ...]:
        path = self._directory / name
        if not path.exists():
            return ()
        content = path.read_bytes()
        scan = scan_frames(content)
        if not scan.bodies or scan.valid_bytes < len(content):
            raise StorageError(f'{path}: bad checksum', remedy=_WIPE_REMEDY)
        return scan.bodies

    def _sync_directory(self) -> None:
        descriptor = os.open(self._directory, os.O_RDONLY)
        try:
            self.sync(descriptor)
        finally:
            os.close(descriptor)


def _is_complete(segment: Path) -> bool:
    return segment.name.endswith(_COMPLETE_SUFFIX)


def _snapshot_info(head: bytes) -> SnapshotInfo:
    fields = json.loads(head)
    members = tuple(Member(**each) for each in fields.pop('members'))
    return SnapshotInfo(**fields, members=members)


def _append_or_replace(
    entries: list[LogEntry], entry: LogEntry, path: Path
) -> None:
    if entries and entry.index <= entries[-1].index:
        kept = max(0, entry.index - entries[0].index)
        del entries[kept:]
    if entries and entry.index != entries[-1].index + 1:
        raise StorageError(
            f'{path}: entry {entry.index} follows entry {entries[-1].index}',
            remedy=_WIPE_REMEDY,
        )
    entries.append(entry)


def _matches_snapshot(info: SnapshotInfo, entries: list[LogEntry]) -> bool:
    """Return whether the entries belong to the same log as the snapshot."""
    if not entries:
        return True
    first = entries[0].index
    if first > info.index + 1:
        raise StorageError(
            f'gap in the log: it starts at entry {first}, '
            f'the snapshot ends at entry {info.index}',
            remedy=_WIPE_REMEDY,
        )
    if first == info.index + 1:
        return True
    offset = info.index - first
    return offset < len(entries) and entries[offset].term == info.term
