"""Conversion of log entries to the entries that the control view applies."""

from dataclasses import asdict

from ..wire.generated.control.ttypes import Entry
from .change import Change
from .commands import MEMBERS_SET
from .records import EntryKind, LogEntry, decode_members


def view_entry(entry: LogEntry) -> Entry:
    """Return the entry to apply to the control state.

    A membership entry is converted to a `Change`.
    """
    payload = entry.payload
    if entry.kind == EntryKind.MEMBERS:
        payload = _members_change(entry).encode()
    return Entry(revision=entry.index, term=entry.term, payload=payload)


def _members_change(entry: LogEntry) -> Change:
    members = decode_members(entry.payload)
    return Change(
        request_id=f'members-{entry.index}',
        command=MEMBERS_SET,
        arguments={'members': [asdict(member) for member in members]},
        operator='control-log',
    )


def is_written_by_log(change: Change) -> bool:
    """Return whether only the log itself may propose the change."""
    return change.command == MEMBERS_SET
