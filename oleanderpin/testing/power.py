"""Full disks and loss of power: files keep only what was synced."""

import errno
import os
import threading
from collections.abc import Callable
from pathlib import Path


class SyncedFiles:
    """Contents of files when they were last synced.

    Replaces ``os.fsync`` while it is used as a context manager. A new file is
    durable with its own sync; a changed name is once its folder is synced.

    Parameters
    ----------
    root : Path
        Folder below which syncs are recorded.

    Attributes
    ----------
    full_folders : set of Path
        Folders below which syncs fail. A segment whose sync failed still has
        its content for readers, but later syncs do not store it.
    """

    def __init__(self, root: Path) -> None:
        """Start without recorded files."""
        self.full_folders: set[Path] = set()
        self._unstored_inodes: dict[int, Path] = {}
        self._root = root
        self._lock = threading.Lock()
        self._fsync: Callable[[int], None] = os.fsync
        self._contents: dict[int, bytes] = {}
        self._inodes: dict[Path, int] = {}

    def __enter__(self) -> 'SyncedFiles':
        """Start recording."""
        os.fsync = self._record  # type: ignore[assignment]
        return self

    def __exit__(self, *_details: object) -> None:
        """Stop recording."""
        os.fsync = self._fsync  # type: ignore[assignment]

    def contents(self) -> dict[Path, bytes]:
        """Return what the files would hold if power were lost now."""
        with self._lock:
            return {
                path: self._contents[inode]
                for path, inode in self._inodes.items()
            }

    def _record(self, descriptor: int) -> None:
        self._fsync(descriptor)
        path = Path(os.readlink(f'/proc/self/fd/{descriptor}'))
        if not path.is_relative_to(self._root):
            return
        inode = os.fstat(descriptor).st_ino
        with self._lock:
            if any(path.is_relative_to(each) for each in self.full_folders):
                if path.name.startswith('segment-') and not path.suffix:
                    self._unstored_inodes[inode] = path.parent
                raise OSError(errno.ENOSPC, 'no space left on device')
            if path.is_dir():
                self._record_folder(path)
            elif inode not in self._unstored_inodes:
                self._contents[inode] = path.read_bytes()
                self._inodes.setdefault(path, inode)

    def _is_recorded_file(self, path: Path, inode: int) -> bool:
        """Return whether the inode is still that of the recorded file.

        Files are written once or appended to, so that another start means that
        the file was removed and a new one has its inode.
        """
        recorded = self._contents.get(inode, b'')
        return path.is_dir() or path.read_bytes().startswith(recorded)

    def _record_folder(self, folder: Path) -> None:
        existing = {path: path.stat().st_ino for path in folder.iterdir()}
        for path, inode in existing.items():
            if not self._is_recorded_file(path, inode):
                self._contents.pop(inode, None)
        self._unstored_inodes = {
            inode: each
            for inode, each in self._unstored_inodes.items()
            if each != folder or inode in existing.values()
        }
        for path in list(self._inodes):
            if path.parent == folder:
                self._inodes.pop(path)
        for path, inode in existing.items():
            if inode in self._contents:
                self._inodes[path] = inode


def lose_power(contents: dict[Path, bytes], folder: Path) -> None:
    """Set the files of a folder to what was synced.

    Parameters
    ----------
    contents : dict
        Contents by path, as returned by `SyncedFiles.contents`.
    folder : Path
        The folder of one instance.
    """
    for path in folder.rglob('*'):
        if path.is_file() and path not in contents:
            path.unlink()
    for path, content in contents.items():
        if path.is_relative_to(folder):
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_bytes(content)
