"""Hundreds of changes that each carry an entire configuration."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from ...control import configuration  # noqa: F401 - registers commands
from ...control.change import Change
from ...control.distribution import Distribution
from ...control.entries import EntryLog
from ...control.records import LogEntry, SnapshotInfo
from .group import Group, wait_until

_MB = 1024 * 1024
_CHANGES = 60
_CHANGE_BYTES = _MB // 2


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    made = Group(tmp_path, size=1, initial=1)
    made.start()
    yield made
    made.stop()


def _replace_configuration(group: Group, number: int) -> str:
    annotation = f'{number:06d}' * (_CHANGE_BYTES // 6)
    limits = {'annotation': annotation}
    change = Change(
        request_id=f'configuration-{number}',
        command='configuration.replace',
        arguments={
            'number': number,
            'based_on': number - 1,
            'objects': {},
            'limits': limits,
        },
    )
    return group.kernels['c0'].plugin(Distribution).propose(change).kind


def _held_bytes(group: Group) -> int:
    """Return the size of the entries that the log and the view hold."""
    log = group.log('c0')._node.state.log
    recent = group.view('c0').entries_after(log.first_index - 1) or []
    in_log = log.size_bytes_after(0)
    view = group.view('c0')
    in_view = sum(len(each.payload) for each in view._recent_entries)
    assert len(recent) <= len(view._recent_entries)
    return in_log + in_view


def _stored_bytes(group: Group) -> int:
    segments = (group.directory / 'c0' / 'log').glob('segment-*')
    return sum(each.stat().st_size for each in segments)


def test_whole_configurations_do_not_fill_memory_or_disk(group: Group) -> None:
    """Guards against entries that are kept by number, whatever their size.

    Together the changes are 30 MB, fewer than a snapshot is taken for.
    """
    group.leader()
    for number in range(1, _CHANGES + 1):
        assert _replace_configuration(group, number) == 'ok'
        assert _held_bytes(group) < 24 * _MB
    wait_until('compacted', lambda: _stored_bytes(group) < 16 * _MB)
    group.stop('c0')
    group.start('c0')
    group.leader()
    assert group.view('c0').state.configuration.number == _CHANGES
    assert _held_bytes(group) < 24 * _MB


def test_entries_before_a_snapshot_are_kept_by_number_and_size() -> None:
    """Guards against slow followers that need a snapshot for each lost call."""
    small = [LogEntry(each, 1, 0, b'x' * 10) for each in range(1, 11)]
    log = EntryLog(SnapshotInfo(), small)
    assert log.count_up_to(8, max_entries=5, max_bytes=1000) == 5
    assert log.count_up_to(8, max_entries=5, max_bytes=25) == 2
    assert log.count_up_to(8, max_entries=50, max_bytes=1000) == 8
    assert log.size_bytes_after(8) == 20
