"""The stand-in for disks: what is left after a loss of power."""

import os
from pathlib import Path

from ...testing.power import SyncedFiles


def _sync(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    os.fsync(descriptor)
    os.close(descriptor)


def test_new_file_does_not_get_the_content_of_a_removed_one(
    tmp_path: Path,
) -> None:
    """Guards against an inode that is used again and shows old content."""
    with SyncedFiles(tmp_path) as synced:
        for number in range(20):
            old = tmp_path / f'old-{number}'
            old.write_bytes(b'synced')
            _sync(old)
            _sync(tmp_path)
            old.unlink()
            (tmp_path / f'new-{number}').write_bytes(b'not synced')
            _sync(tmp_path)
        assert synced.contents() == {}


def test_appended_part_is_lost_and_the_synced_one_is_kept(
    tmp_path: Path,
) -> None:
    """Guards against a stand-in that loses more than a disk does."""
    path = tmp_path / 'segment-1'
    with SyncedFiles(tmp_path) as synced:
        path.write_bytes(b'one')
        _sync(path)
        _sync(tmp_path)
        path.write_bytes(b'one two')
        _sync(tmp_path)
        assert synced.contents() == {path: b'one'}
