"""Conversion between records of the log and Thrift messages."""

from collections.abc import Iterable

from ..wire.generated.raft.ttypes import RaftEntry, RaftMember
from .records import LogEntry, Member, Members


def entry_to_wire(entry: LogEntry) -> RaftEntry:
    """Return an entry as a Thrift message."""
    return RaftEntry(
        index=entry.index,
        term=entry.term,
        kind=int(entry.kind),
        payload=entry.payload,
    )


def entry_from_wire(entry: RaftEntry) -> LogEntry:
    """Return the entry of a Thrift message."""
    return LogEntry(entry.index, entry.term, entry.kind, entry.payload)


def member_to_wire(member: Member) -> RaftMember:
    """Return a member as a Thrift message."""
    return RaftMember(
        member_id=member.member_id,
        name=member.name,
        address=member.address,
        is_voter=member.is_voter,
    )


def members_to_wire(members: Members) -> list[RaftMember]:
    """Return members as Thrift messages."""
    return [member_to_wire(member) for member in members]


def members_from_wire(members: Iterable[RaftMember]) -> Members:
    """Return the members of Thrift messages."""
    return tuple(
        Member(each.member_id, each.name, each.address, each.is_voter)
        for each in members
    )
