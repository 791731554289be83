"""Records of the replicated log and their encoding on disk."""

import json
import struct
import zlib
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from enum import IntEnum

_FRAME_MAGIC = b'OLPF'
# Magic, body length, checksum of the body, checksum of the header.
_FRAME_HEADER = struct.Struct('>4sIII')
_HEADER_CHECKED = struct.Struct('>4sII')
_ENTRY_HEADER = struct.Struct('>QQBI')


class EntryKind(IntEnum):
    """What the payload of an entry holds."""

    CHANGE = 0
    MEMBERS = 1


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry; its index is the revision of the control state."""

    index: int
    term: int
    kind: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote, which a member must sync before it replies."""

    term: int = 0
    voted_for: str = ''


@dataclass(frozen=True, slots=True)
class Member:
    """A member of the group; only voters count towards majorities.

    A member that is no voter is a learner.
    """

    member_id: str
    name: str
    address: str
    is_voter: bool


Members = tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of a member; ``members`` is the initial group, if known.

    It is bound to the disk: a member that lost its disk gets a new one.
    """

    member_id: str
    cluster_id: str = ''
    members: Members = ()


@dataclass(frozen=True, slots=True)
class SnapshotInfo:
    """Position of a snapshot and the members at that position."""

    index: int = 0
    term: int = 0
    members: Members = ()


@dataclass(frozen=True, slots=True)
class Frame:
    """A valid frame and the offset of the byte after it."""

    body: bytes
    end: int


@dataclass(frozen=True, slots=True)
class FrameScan:
    """Bodies of the valid frames at the start of a file.

    ``valid_bytes`` is where the first invalid frame starts. ``is_torn`` is
    True if no valid frame follows it, as after an interrupted write.
    """

    bodies: tuple[bytes, ...]
    valid_bytes: int
    is_torn: bool


def encode_members(members: Iterable[Member]) -> bytes:
    """Return members as JSON."""
    return json.dumps([asdict(member) for member in members]).encode()


def decode_members(payload: bytes) -> Members:
    """Read members from JSON."""
    return tuple(Member(**fields) for fields in json.loads(payload))


def encode_frame(body: bytes) -> bytes:
    """Return ``body`` with its length and checksums."""
    checked = _HEADER_CHECKED.pack(_FRAME_MAGIC, len(body), zlib.crc32(body))
    return checked + struct.pack('>I', zlib.crc32(checked)) + body


def read_frame(content: bytes, offset: int) -> Frame | None:
    """Return the frame at ``offset``, or None if it is not valid."""
    start = offset + _FRAME_HEADER.size
    if start > len(content):
        return None
    magic, length, body_sum, header_sum = _FRAME_HEADER.unpack_from(
        content, offset
    )
    checked = _HEADER_CHECKED.pack(magic, length, body_sum)
    if magic != _FRAME_MAGIC or zlib.crc32(checked) != header_sum:
        return None
    body = content[start : start + length]
    if len(body) < length or zlib.crc32(body) != body_sum:
        return None
    return Frame(body, start + length)


def scan_frames(content: bytes) -> FrameScan:
    """Read frames up to the end or to the first invalid one."""
    bodies = []
    offset = 0
    frame = read_frame(content, offset)
    while frame is not None:
        bodies.append(frame.body)
        offset = frame.end
        frame = read_frame(content, offset)
    is_torn = not _has_frame_after(content, offset)
    return FrameScan(tuple(bodies), offset, is_torn)


def encode_entries(entries: Iterable[LogEntry]) -> bytes:
    """Return the body of a frame that holds ``entries``."""
    parts = []
    for entry in entries:
        parts.append(
            _ENTRY_HEADER.pack(
                entry.index, entry.term, entry.kind, len(entry.payload)
            )
        )
        parts.append(entry.payload)
    return b''.join(parts)


def decode_entries(body: bytes) -> list[LogEntry]:
    """Read the entries of a frame."""
    entries = []
    offset = 0
    while offset < len(body):
        index, term, kind, length = _ENTRY_HEADER.unpack_from(body, offset)
        offset += _ENTRY_HEADER.size
        payload = body[offset : offset + length]
        entries.append(LogEntry(index, term, kind, payload))
        offset += length
    return entries


def _has_frame_after(content: bytes, offset: int) -> bool:
    candidate = content.find(_FRAME_MAGIC, offset + 1)
    while candidate >= 0:
        if read_frame(content, candidate) is not None:
            return True
        candidate = content.find(_FRAME_MAGIC, candidate + 1)
    return False
